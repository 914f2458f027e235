package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/rules"
)

// Book keeps the reservations of one server at its home host. It is a pure state machine: the caller passes the
// time and serializes calls. Answers to waiting asks come from Advance.
type Book struct {
	opt   Options
	lanes map[Stage]*lane
	// Down is set by the home host while the server does not answer, Leaving while its rule takes it out of placement.
	// Both refuse new and waiting asks; reservations that were granted stay.
	Down, Leaving bool
}

// Shared are the tables that all books of a home host share, so that fairness holds across its servers.
type Shared struct {
	Prefill, Decode *Shares
}

// NewShared returns empty tables.
func NewShared() *Shared { return &Shared{Prefill: NewShares(), Decode: NewShares()} }

// NewBook returns an empty book with lanes for what the server's role runs.
func NewBook(s *rules.Server, o Options, shared *Shared) *Book {
	b := &Book{opt: o.withDefaults(), lanes: map[Stage]*lane{}}
	if does(s.Role, StagePrefill) {
		b.lanes[StagePrefill] = newLane(StagePrefill, s.Slots, &b.opt, shared.Prefill)
	}
	if does(s.Role, StageDecode) {
		b.lanes[StageDecode] = newLane(StageDecode, s.Slots, &b.opt, shared.Decode)
	}
	return b
}

// Reserve grants, queues or refuses an ask. A repeated ask for a granted reservation is granted again without a
// second effect.
func (b *Book) Reserve(now time.Time, a Ask) (Answer, error) {
	l := b.lanes[a.Stage]
	if l == nil {
		return Answer{}, &StageError{Stage: a.Stage}
	}
	if l.grants[a.ID] != nil {
		return Answer{ID: a.ID, Granted: true}, nil
	}
	if b.Down || b.Leaving {
		return Answer{ID: a.ID, RetryAfter: b.opt.WaitRound}, nil
	}
	l.shares.Ask(now, a.Workspace, a.Weight, a.Tokens)
	if !a.WaitClass {
		l.lastLatency = now
	}
	over := l.shares.Over(now, a.Workspace)
	rank := b.rank(now, l)
	mine := rank(a)
	ahead, work := 0, time.Duration(0)
	for _, w := range l.waiting {
		if mine.compare(rank(w)) >= 0 {
			ahead++
			work += w.Duration
		}
	}
	if ahead == 0 && l.grantable(now, a, over) {
		l.grant(now, a)
		return Answer{ID: a.ID, Granted: true}, nil
	}
	wait := l.wait(now, ahead, work)
	if len(l.waiting) >= b.opt.ServerQueueLimit {
		return Answer{ID: a.ID, QueueFull: true, RetryAfter: wait}, nil
	}
	if !a.Deadline.After(now) || (!a.WaitClass && now.Add(wait).After(a.Deadline)) {
		return Answer{ID: a.ID, RetryAfter: max(wait, time.Millisecond)}, nil
	}
	l.waiting = append(l.waiting, a)
	return Answer{ID: a.ID, Queued: true}, nil
}

// Release frees a reservation or withdraws a waiting one. It reports whether it existed.
func (b *Book) Release(now time.Time, id ReservationID) bool {
	found := false
	for _, l := range b.lanes {
		found = l.release(now, id) || found
	}
	return found
}

// Restore adds a reservation that its owner still holds after this book was lost.
func (b *Book) Restore(now time.Time, a Ask) {
	if l := b.lanes[a.Stage]; l != nil && l.grants[a.ID] == nil {
		l.grant(now, a)
		l.foreign = max(0, l.foreign-1)
	}
}

// ReleaseOwner drops everything of one owner, for example when it is gone.
func (b *Book) ReleaseOwner(now time.Time, o OwnerID) int {
	n := 0
	for _, id := range b.IDs(o) {
		if b.Release(now, id) {
			n++
		}
	}
	return n
}

// IDs returns the owner's granted and waiting reservations.
func (b *Book) IDs(o OwnerID) []ReservationID {
	var ids []ReservationID
	for _, l := range b.lanes {
		for id := range l.grants {
			if id.Owner == o {
				ids = append(ids, id)
			}
		}
		for _, a := range l.waiting {
			if a.ID.Owner == o {
				ids = append(ids, a.ID)
			}
		}
	}
	return ids
}

// Advance answers waiting asks whose turn or deadline has come. Call it after Release and Report, and every few
// milliseconds while Waiting is not zero.
func (b *Book) Advance(now time.Time) []Answer {
	var out []Answer
	for _, l := range b.lanes {
		if len(l.waiting) == 0 {
			continue
		}
		rank := b.rank(now, l)
		slices.SortStableFunc(l.waiting, func(x, y Ask) int { return rank(x).compare(rank(y)) })
		kept, work := l.waiting[:0], time.Duration(0)
		for _, a := range l.waiting {
			switch {
			case b.Down || b.Leaving || !a.Deadline.After(now):
				out = append(out, Answer{ID: a.ID, RetryAfter: max(l.wait(now, len(kept), work), time.Millisecond)})
			case l.grantable(now, a, l.shares.Over(now, a.Workspace)):
				l.grant(now, a)
				out = append(out, Answer{ID: a.ID, Granted: true})
			default:
				kept = append(kept, a)
				work += a.Duration
			}
		}
		l.waiting = kept
	}
	return out
}

// Waiting is the number of asks that wait.
func (b *Book) Waiting() int {
	n := 0
	for _, l := range b.lanes {
		n += len(l.waiting)
	}
	return n
}

// Report takes an engine's load report that was received now.
func (b *Book) Report(now time.Time, r engine.LoadReport) {
	at := now.Add(-r.Age)
	if l := b.lanes[StageDecode]; l != nil {
		if r.Slots > 0 {
			l.slots = r.Slots
		}
		l.report(at, r.Running+r.Waiting)
		return
	}
	b.lanes[StagePrefill].report(at, r.Running+r.Waiting)
}

// Load is what a chooser needs to know of a server.
type Load struct {
	Slots, Busy, Waiting int
	// SlotWait and PrefillWait are the predicted waits of a new ask of the latency class, SlotQueue and PrefillQueue
	// those of a wait-class one, which goes behind it.
	SlotWait, PrefillWait   time.Duration
	SlotQueue, PrefillQueue time.Duration
	Down                    bool
}

// Load returns the present load.
func (b *Book) Load(now time.Time) Load {
	load := Load{Down: b.Down}
	if l := b.lanes[StageDecode]; l != nil {
		load.Slots, load.Busy, load.Waiting = l.slots, len(l.grants)+l.foreign, len(l.waiting)
		n, _ := l.queued(false)
		load.SlotWait, load.SlotQueue = l.slotWait(now, n+1), l.slotWait(now, len(l.waiting)+1+l.kept(now))
	}
	if l := b.lanes[StagePrefill]; l != nil {
		_, short := l.queued(false)
		_, long := l.queued(true)
		load.PrefillWait, load.PrefillQueue = l.wait(now, 0, short), l.wait(now, 0, long)
	}
	return load
}

// rankKey orders waiting asks: workspaces within their share first, then the latency class, then the virtual
// token counter, the priority and the deadline.
type rankKey struct {
	over, waitClass bool
	counter         float64
	priority        int
	deadline        time.Time
}

// counterStep is the difference of virtual counters, in seconds of a workspace's rate, that counts as equal.
const counterStep = 0.1

func (b *Book) rank(now time.Time, l *lane) func(Ask) rankKey {
	return func(a Ask) rankKey {
		return rankKey{
			over: l.shares.Over(now, a.Workspace), waitClass: a.WaitClass,
			counter:  float64(int64(l.shares.Counter(a.Workspace) / counterStep)),
			priority: a.Priority, deadline: a.Deadline,
		}
	}
}

func (k rankKey) compare(o rankKey) int {
	return cmp.Or(
		compareBool(k.over, o.over), compareBool(k.waitClass, o.waitClass), cmp.Compare(k.counter, o.counter),
		cmp.Compare(o.priority, k.priority), k.deadline.Compare(o.deadline),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
