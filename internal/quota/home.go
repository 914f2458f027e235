package quota

import "time"

// Home is the bucket of one workspace's zone share at its home host. It is a pure state machine: callers
// serialize calls and pass times of one monotonic clock that do not run backwards.
//
// Its invariant is level + outstanding <= burst share, where outstanding is what may still be admitted or
// returned: open amounts of entries, own reservations, and what a predecessor gave away.
type Home struct {
	share   Share
	level   level
	own     int64
	entries map[uint64]*entry
	// open is the sum of the entries' open amounts.
	open int64
	// inherited is the most that borrowers of a predecessor still hold unspent, until inheritedUntil.
	inherited      int64
	inheritedUntil time.Time
	// nextClose is the earliest time at which an entry may have to be closed.
	nextClose time.Time
	// stopped is set when the bucket was handed over. Every later call has no effect.
	stopped bool
}

// entry is the lender's record of one grant or loan.
type entry struct {
	amount, used, returned int64
	// long entries count against the half of the share.
	long bool
	// spendUntil is the end of the term by the lender's clock, margin included.
	spendUntil time.Time
	closeAt    time.Time
}

func (e *entry) open() int64 { return e.amount - e.used - e.returned }

// NewHome returns the bucket of a home host that took over at the given time without a hand-over. It is empty
// until every short grant of a predecessor has ended. Up to half of the share may be held by a
// predecessor's borrowers until every long grant has ended.
func NewHome(since time.Time, share Share) *Home {
	return &Home{
		share:          share,
		level:          level{at: since.Add(withMargin(ShortTerm))},
		entries:        map[uint64]*entry{},
		inherited:      share.half(),
		inheritedUntil: since.Add(withMargin(GrantTerm)),
	}
}

// Handed is the state that a home host hands to its successor.
type Handed struct {
	Level int64
	// Outstanding is what borrowers may still admit, for at most Remaining.
	Outstanding int64
	Remaining   time.Duration
}

// NewHomeFrom returns a bucket that continues a handed-over one. The request for the hand-over was sent at
// the given time; the remaining term is counted from the receipt of the answer, which is later than the
// predecessor's count.
func NewHomeFrom(now time.Time, share Share, h Handed) *Home {
	home := &Home{
		share:          share,
		level:          level{tokens: max(h.Level, 0), at: now},
		entries:        map[uint64]*entry{},
		inherited:      max(h.Outstanding, 0),
		inheritedUntil: now.Add(withMargin(h.Remaining)),
	}
	home.level.cut(home.room(now))
	return home
}

// Pause stops the refill until Resume, while the share is not yet in force.
func (h *Home) Pause(now time.Time) { h.level.at = now.Add(pauseForever) }

// Resume starts the refill again; the time of the pause adds nothing.
func (h *Home) Resume(now time.Time) {
	if h.level.at.Sub(now) > pauseForever/2 {
		h.level.at = now
	}
}

// pauseForever is longer than any process runs.
const pauseForever = 100 * 365 * 24 * time.Hour

// room is the most that the level may be.
func (h *Home) room(now time.Time) int64 {
	room := h.share.Burst - h.own - h.open
	if now.Before(h.inheritedUntil) {
		room -= h.inherited
	}
	return max(room, 0)
}

// Advance refills the level and closes entries whose borrower was silent too long.
func (h *Home) Advance(now time.Time) {
	if h.inherited > 0 && !now.Before(h.inheritedUntil) {
		before := h.inheritedUntil.Add(-1)
		h.level.refill(before, h.share.Rate, h.room(before))
		h.inherited = 0
	}
	h.level.refill(now, h.share.Rate, h.room(now))
	if len(h.entries) > 0 && !now.Before(h.nextClose) {
		h.closeSilent(now)
	}
}

// closeSilent closes entries without a settlement for EntryTTL. Their rest counts as used, which costs
// refunds and never admits more.
func (h *Home) closeSilent(now time.Time) {
	h.nextClose = time.Time{}
	for id, e := range h.entries {
		if !now.Before(e.closeAt) {
			h.open -= e.open()
			delete(h.entries, id)
			continue
		}
		h.noteClose(e.closeAt)
	}
}

func (h *Home) noteClose(at time.Time) {
	if h.nextClose.IsZero() || at.Before(h.nextClose) {
		h.nextClose = at
	}
}

// SetShare changes the share. A decrease cuts the level at once; an increase adds nothing but refill.
func (h *Home) SetShare(now time.Time, share Share) {
	if h.share == share {
		return
	}
	h.Advance(now)
	h.share = share
	if now.Before(h.inheritedUntil) && h.inherited > 0 {
		// The predecessor may have lent under the larger share.
		h.inherited = max(h.inherited, share.half())
	}
	h.level.cut(h.room(now))
}

// Level returns the tokens that can be reserved or drawn now.
func (h *Home) Level(now time.Time) int64 {
	h.Advance(now)
	if h.stopped {
		return 0
	}
	return h.level.tokens
}

// Reserve takes tokens for a request on the home host itself.
func (h *Home) Reserve(now time.Time, tokens int64) bool {
	if h.Level(now) < tokens {
		return false
	}
	h.level.tokens -= tokens
	h.own += tokens
	return true
}

// Use marks tokens of own reservations as used.
func (h *Home) Use(tokens int64) {
	if !h.stopped {
		h.own -= tokens
	}
}

// Refund returns tokens of own reservations.
func (h *Home) Refund(now time.Time, tokens int64) {
	if h.stopped {
		return
	}
	h.Advance(now)
	h.own -= tokens
	h.level.tokens += tokens
	h.level.cut(h.room(now))
}

// Idle reports whether the bucket may be dropped from memory. A dropped bucket is recreated by
// NewHome(since) and must not come back fuller than it was. So it must be full with nothing outstanding, and
// one that was untouched since the host took over must be full too.
func (h *Home) Idle(now, since time.Time) bool {
	h.Advance(now)
	if h.own != 0 || len(h.entries) != 0 || h.inherited != 0 || h.level.tokens < h.share.Burst {
		return false
	}
	fresh := NewHome(since, h.share)
	return fresh.Level(now) >= h.share.Burst && fresh.inherited == 0
}

// HandOver stops the bucket and returns what its successor continues with. Running reservations count as used
// from here on.
func (h *Home) HandOver(now time.Time) Handed {
	h.Advance(now)
	handed := Handed{Level: h.level.tokens}
	if h.inherited > 0 {
		handed.Outstanding = h.inherited
		handed.Remaining = h.inheritedUntil.Sub(now)
	}
	for _, e := range h.entries {
		if now.Before(e.spendUntil) {
			handed.Outstanding += e.open()
			handed.Remaining = max(handed.Remaining, e.spendUntil.Sub(now))
		}
	}
	h.Stop()
	return handed
}

// Merge takes in the bucket of a predecessor that had stopped before this one started empty.
func (h *Home) Merge(now time.Time, handed Handed) {
	h.Advance(now)
	h.inherited, h.inheritedUntil = max(handed.Outstanding, 0), now.Add(withMargin(handed.Remaining))
	h.level.tokens += max(handed.Level, 0)
	h.level.cut(h.room(now))
}

// Stop ends the bucket without a successor's state.
func (h *Home) Stop() {
	h.stopped = true
	h.level.tokens, h.level.fraction = 0, 0
}
