package quota

import "time"

// Bucket is the bucket of one workspace's zone share at its home host. It is a pure state machine: callers serialize
// calls and pass non-decreasing times of one monotonic clock.
//
// Its invariant is level + outstanding <= burst of the share, where outstanding is what may still be admitted or
// returned: unsettled amounts of entries, reservations on this host, and unspent grants of the previous home host (the
// predecessor).
type Bucket struct {
	share       Share
	level       level
	ownReserved int64
	entries     map[uint64]*entry
	// unsettled is the sum of the unsettled amounts of the entries.
	unsettled int64
	// inherited is an upper bound of the unspent tokens that the predecessor's borrowers hold. It counts until
	// inheritedUntil.
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

// NewBucket returns the bucket of a home host that took over at the given time without a handover. It stays empty
// until every short grant of a predecessor has ended. Until every long grant has ended, up to half of the burst may
// be held by the predecessor's borrowers, so the capacity is lower by that amount.
func NewBucket(since time.Time, share Share) *Bucket {
	return &Bucket{
		share:          share,
		level:          level{at: since.Add(withMargin(ShortTerm))},
		entries:        map[uint64]*entry{},
		inherited:      share.lendingLimit(),
		inheritedUntil: since.Add(withMargin(GrantTerm)),
	}
}

// BucketState is the state of a bucket that a home host passes to its successor.
type BucketState struct {
	Level int64
	// Outstanding is the amount that borrowers may still admit, for at most Remaining.
	Outstanding int64
	Remaining   time.Duration
}

// NewBucketFromHandover returns a bucket that continues the one that was handed over. The remaining term counts from
// now, when the reply was received. This is later than the time from which the predecessor counts it.
func NewBucketFromHandover(now time.Time, share Share, state BucketState) *Bucket {
	bucket := &Bucket{
		share:          share,
		level:          level{tokens: max(state.Level, 0), at: now},
		entries:        map[uint64]*entry{},
		inherited:      max(state.Outstanding, 0),
		inheritedUntil: now.Add(withMargin(state.Remaining)),
	}
	bucket.level.capAt(bucket.capacity(now))
	return bucket
}

// Pause stops the refill until Resume is called. It is used while no division is active, and on a host that leaves the
// epoch.
func (b *Bucket) Pause(now time.Time) { b.level.at = now.Add(pauseDuration) }

// Resume restarts the refill. Nothing is added for the time of the pause.
func (b *Bucket) Resume(now time.Time) {
	if b.level.at.Sub(now) > pauseDuration/2 {
		b.level.at = now
	}
}

// pauseDuration is longer than any process runs; Resume ends the pause.
const pauseDuration = 100 * 365 * 24 * time.Hour

// capacity returns the highest level that keeps the invariant of Bucket.
func (b *Bucket) capacity(now time.Time) int64 {
	capacity := b.share.Burst - b.ownReserved - b.unsettled
	if now.Before(b.inheritedUntil) {
		capacity -= b.inherited
	}
	return max(capacity, 0)
}

// Advance refills the level and closes expired entries.
func (b *Bucket) Advance(now time.Time) {
	if b.inherited > 0 && !now.Before(b.inheritedUntil) {
		justBefore := b.inheritedUntil.Add(-1)
		b.level.refill(justBefore, b.share.Rate, b.capacity(justBefore))
		b.inherited = 0
	}
	b.level.refill(now, b.share.Rate, b.capacity(now))
	if len(b.entries) > 0 && !now.Before(b.nextExpiry) {
		b.expireEntries(now)
	}
}

// expireEntries closes entries that received no settlement for EntryTTL. Their remaining tokens count as used:
// refunds are lost, but nothing is admitted twice.
func (b *Bucket) expireEntries(now time.Time) {
	b.nextExpiry = time.Time{}
	for id, e := range b.entries {
		if !now.Before(e.expiresAt) {
			b.unsettled -= e.unsettled()
			delete(b.entries, id)
			continue
		}
		b.updateNextExpiry(e.expiresAt)
	}
}

func (b *Bucket) updateNextExpiry(expiresAt time.Time) {
	if b.nextExpiry.IsZero() || expiresAt.Before(b.nextExpiry) {
		b.nextExpiry = expiresAt
	}
}

// SetShare changes the share. A decrease lowers the level at once; an increase adds tokens only through the refill.
func (b *Bucket) SetShare(now time.Time, share Share) {
	if b.share == share {
		return
	}
	b.Advance(now)
	b.share = share
	if now.Before(b.inheritedUntil) && b.inherited > 0 {
		// The predecessor may have lent tokens under the larger share.
		b.inherited = max(b.inherited, share.lendingLimit())
	}
	b.level.capAt(b.capacity(now))
}

// Level returns the number of tokens that can be reserved or drawn now.
func (b *Bucket) Level(now time.Time) int64 {
	b.Advance(now)
	if b.stopped {
		return 0
	}
	return b.level.tokens
}

// Reserve takes tokens for a request on the home host itself. It reports whether the level sufficed.
func (b *Bucket) Reserve(now time.Time, tokens int64) bool {
	if b.Level(now) < tokens {
		return false
	}
	b.level.tokens -= tokens
	b.ownReserved += tokens
	return true
}

// Use marks tokens that were reserved on this host as used.
func (b *Bucket) Use(tokens int64) {
	if !b.stopped {
		b.ownReserved -= tokens
	}
}

// Refund returns unused tokens that were reserved on this host.
func (b *Bucket) Refund(now time.Time, tokens int64) {
	if b.stopped {
		return
	}
	b.Advance(now)
	b.ownReserved -= tokens
	b.level.tokens += tokens
	b.level.capAt(b.capacity(now))
}

// Idle reports whether the bucket may be dropped from memory. A dropped bucket is recreated by NewBucket(since) and
// must not have a higher level than before. So the bucket must be full with nothing outstanding, and the recreated
// one must be full too.
func (b *Bucket) Idle(now, since time.Time) bool {
	b.Advance(now)
	if b.ownReserved != 0 || len(b.entries) != 0 || b.inherited != 0 || b.level.tokens < b.share.Burst {
		return false
	}
	recreated := NewBucket(since, b.share)
	return recreated.Level(now) >= b.share.Burst && recreated.inherited == 0
}

// HandOver stops the bucket and returns the state with which its successor continues. The tokens of running
// reservations count as used from then on.
func (b *Bucket) HandOver(now time.Time) BucketState {
	b.Advance(now)
	state := BucketState{Level: b.level.tokens}
	if b.inherited > 0 {
		state.Outstanding = b.inherited
		state.Remaining = b.inheritedUntil.Sub(now)
	}
	for _, e := range b.entries {
		if now.Before(e.spendUntil) {
			state.Outstanding += e.unsettled()
			state.Remaining = max(state.Remaining, e.spendUntil.Sub(now))
		}
	}
	b.Stop()
	return state
}

// Merge adds the state of the predecessor's bucket. That bucket must have been stopped before this one was started
// empty.
func (b *Bucket) Merge(now time.Time, state BucketState) {
	b.Advance(now)
	b.inherited, b.inheritedUntil = max(state.Outstanding, 0), now.Add(withMargin(state.Remaining))
	b.level.tokens += max(state.Level, 0)
	b.level.capAt(b.capacity(now))
}

// Stop empties the bucket permanently. It is called when the bucket is handed over or must no longer be used.
func (b *Bucket) Stop() {
	b.stopped = true
	b.level.tokens, b.level.fraction = 0, 0
}
