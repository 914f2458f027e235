package quota

import "time"

// Home is the bucket of one workspace's zone share at its home host. It is a pure state machine: callers serialize
// calls and pass non-decreasing times of one monotonic clock.
//
// Its invariant is level + outstanding <= burst of the share, where outstanding is what may still be admitted or
// returned: unsettled amounts of entries, reservations on this host, and unspent grants of a predecessor.
type Home struct {
	share       Share
	level       level
	ownReserved int64
	entries     map[uint64]*entry
	// unsettled is the sum of the unsettled amounts of the entries.
	unsettled int64
	// inherited is an upper bound of the tokens that a predecessor's borrowers hold unspent until inheritedUntil.
	inherited      int64
	inheritedUntil time.Time
	// nextExpiry is the earliest time at which an entry can expire.
	nextExpiry time.Time
	// stopped is set when the bucket was handed over or dropped. It admits, grants and settles nothing afterwards.
	stopped bool
}

// entry is the lender's record of one grant or loan.
type entry struct {
	amount, used, returned int64
	// long entries count against the lending limit of the share.
	long bool
	// spendUntil is the end of the term by the lender's clock, including the clock margin.
	spendUntil time.Time
	expiresAt  time.Time
}

func (e *entry) unsettled() int64 { return e.amount - e.used - e.returned }

// NewHome returns the bucket of a home host that took over at the given time without a handover. It stays empty
// until every short grant of a predecessor has ended. Until every long grant has ended, up to half of the burst may
// be held by the predecessor's borrowers, so the capacity is lower by that amount.
func NewHome(since time.Time, share Share) *Home {
	return &Home{
		share:          share,
		level:          level{at: since.Add(withMargin(ShortTerm))},
		entries:        map[uint64]*entry{},
		inherited:      share.lendingLimit(),
		inheritedUntil: since.Add(withMargin(GrantTerm)),
	}
}

// Handed is the state of a bucket that a home host passes to its successor.
type Handed struct {
	Level int64
	// Outstanding is the amount that borrowers may still admit, for at most Remaining.
	Outstanding int64
	Remaining   time.Duration
}

// NewHomeFrom returns a bucket that continues the one that was handed over. The remaining term counts from now,
// when the reply was received. This is later than the time from which the predecessor counts it.
func NewHomeFrom(now time.Time, share Share, h Handed) *Home {
	home := &Home{
		share:          share,
		level:          level{tokens: max(h.Level, 0), at: now},
		entries:        map[uint64]*entry{},
		inherited:      max(h.Outstanding, 0),
		inheritedUntil: now.Add(withMargin(h.Remaining)),
	}
	home.level.capAt(home.capacity(now))
	return home
}

// Pause stops the refill until Resume, while the share is not active yet.
func (h *Home) Pause(now time.Time) { h.level.at = now.Add(pauseDuration) }

// Resume restarts the refill. Nothing is added for the time of the pause.
func (h *Home) Resume(now time.Time) {
	if h.level.at.Sub(now) > pauseDuration/2 {
		h.level.at = now
	}
}

// pauseDuration is longer than any process runs; Resume ends the pause.
const pauseDuration = 100 * 365 * 24 * time.Hour

// capacity returns the highest level that keeps the invariant of Home.
func (h *Home) capacity(now time.Time) int64 {
	capacity := h.share.Burst - h.ownReserved - h.unsettled
	if now.Before(h.inheritedUntil) {
		capacity -= h.inherited
	}
	return max(capacity, 0)
}

// Advance refills the level and closes expired entries.
func (h *Home) Advance(now time.Time) {
	if h.inherited > 0 && !now.Before(h.inheritedUntil) {
		justBefore := h.inheritedUntil.Add(-1)
		h.level.refill(justBefore, h.share.Rate, h.capacity(justBefore))
		h.inherited = 0
	}
	h.level.refill(now, h.share.Rate, h.capacity(now))
	if len(h.entries) > 0 && !now.Before(h.nextExpiry) {
		h.expireEntries(now)
	}
}

// expireEntries closes entries that received no settlement for EntryTTL. Their remaining tokens count as used:
// refunds are lost, but nothing is admitted twice.
func (h *Home) expireEntries(now time.Time) {
	h.nextExpiry = time.Time{}
	for id, e := range h.entries {
		if !now.Before(e.expiresAt) {
			h.unsettled -= e.unsettled()
			delete(h.entries, id)
			continue
		}
		h.noteExpiry(e.expiresAt)
	}
}

func (h *Home) noteExpiry(expiresAt time.Time) {
	if h.nextExpiry.IsZero() || expiresAt.Before(h.nextExpiry) {
		h.nextExpiry = expiresAt
	}
}

// SetShare changes the share. A decrease lowers the level at once; an increase adds tokens only through the refill.
func (h *Home) SetShare(now time.Time, share Share) {
	if h.share == share {
		return
	}
	h.Advance(now)
	h.share = share
	if now.Before(h.inheritedUntil) && h.inherited > 0 {
		// The predecessor may have lent tokens under the larger share.
		h.inherited = max(h.inherited, share.lendingLimit())
	}
	h.level.capAt(h.capacity(now))
}

// Level returns the number of tokens that can be reserved or drawn now.
func (h *Home) Level(now time.Time) int64 {
	h.Advance(now)
	if h.stopped {
		return 0
	}
	return h.level.tokens
}

// Reserve takes tokens for a request on the home host itself. It reports whether the level sufficed.
func (h *Home) Reserve(now time.Time, tokens int64) bool {
	if h.Level(now) < tokens {
		return false
	}
	h.level.tokens -= tokens
	h.ownReserved += tokens
	return true
}

// Use marks tokens that were reserved on this host as used.
func (h *Home) Use(tokens int64) {
	if !h.stopped {
		h.ownReserved -= tokens
	}
}

// Refund returns unused tokens that were reserved on this host.
func (h *Home) Refund(now time.Time, tokens int64) {
	if h.stopped {
		return
	}
	h.Advance(now)
	h.ownReserved -= tokens
	h.level.tokens += tokens
	h.level.capAt(h.capacity(now))
}

// Idle reports whether the bucket may be dropped from memory. A dropped bucket is recreated by NewHome(since) and
// must not have a higher level than before. So the bucket must be full with nothing outstanding, and the recreated
// one must be full too.
func (h *Home) Idle(now, since time.Time) bool {
	h.Advance(now)
	if h.ownReserved != 0 || len(h.entries) != 0 || h.inherited != 0 || h.level.tokens < h.share.Burst {
		return false
	}
	recreated := NewHome(since, h.share)
	return recreated.Level(now) >= h.share.Burst && recreated.inherited == 0
}

// HandOver stops the bucket and returns the state with which its successor continues. The tokens of running
// reservations count as used from then on.
func (h *Home) HandOver(now time.Time) Handed {
	h.Advance(now)
	state := Handed{Level: h.level.tokens}
	if h.inherited > 0 {
		state.Outstanding = h.inherited
		state.Remaining = h.inheritedUntil.Sub(now)
	}
	for _, e := range h.entries {
		if now.Before(e.spendUntil) {
			state.Outstanding += e.unsettled()
			state.Remaining = max(state.Remaining, e.spendUntil.Sub(now))
		}
	}
	h.Stop()
	return state
}

// Merge adds the state of a predecessor's bucket that was stopped before this bucket was started empty.
func (h *Home) Merge(now time.Time, state Handed) {
	h.Advance(now)
	h.inherited, h.inheritedUntil = max(state.Outstanding, 0), now.Add(withMargin(state.Remaining))
	h.level.tokens += max(state.Level, 0)
	h.level.capAt(h.capacity(now))
}

// Stop empties the bucket for good. It is called when the bucket is handed over or must no longer be used.
func (h *Home) Stop() {
	h.stopped = true
	h.level.tokens, h.level.fraction = 0, 0
}
