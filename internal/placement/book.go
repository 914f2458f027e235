package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/rules"
)

// Book is the reservation table of one server at its home host. It is a pure state machine: the caller passes the
// time and serializes calls. Queued reservation requests get their result from Advance.
type Book struct {
	opt    Options
	queues map[Stage]*stageQueue
	// Down is set by the home host while the server does not respond, Leaving while its rule removes it from placement.
	// In both cases new and queued reservation requests are denied; granted reservations stay.
	Down, Leaving bool
}

// Shared are the fair-share tables that all reservation tables of a home host use together, so that fairness holds
// across its servers.
type Shared struct {
	Prefill, Decode *Shares
}

// NewShared returns empty fair-share tables.
func NewShared() *Shared { return &Shared{Prefill: NewShares(), Decode: NewShares()} }

// NewBook returns an empty reservation table with a stage queue for each stage that the server's role runs.
func NewBook(s *rules.Server, o Options, shared *Shared) *Book {
	b := &Book{opt: o.withDefaults(), queues: map[Stage]*stageQueue{}}
	if runsStage(s.Role, StagePrefill) {
		b.queues[StagePrefill] = newStageQueue(StagePrefill, s.Slots, &b.opt, shared.Prefill)
	}
	if runsStage(s.Role, StageDecode) {
		b.queues[StageDecode] = newStageQueue(StageDecode, s.Slots, &b.opt, shared.Decode)
	}
	return b
}

// Reserve grants, queues or denies a reservation request. Repeating the request of a granted reservation returns the
// grant again and changes nothing. The error is a *StageError.
func (b *Book) Reserve(now time.Time, a Ask) (Answer, error) {
	q := b.queues[a.Stage]
	if q == nil {
		return Answer{}, &StageError{Stage: a.Stage}
	}
	if q.grants[a.ID] != nil {
		return Answer{ID: a.ID, Granted: true}, nil
	}
	if b.Down || b.Leaving {
		return Answer{ID: a.ID, RetryAfter: b.opt.WaitRound}, nil
	}
	q.shares.Ask(now, a.Workspace, a.Weight, a.Tokens)
	if !a.WaitClass {
		q.lastLatency = now
	}
	over := q.shares.Over(now, a.Workspace)
	rank := b.rank(now, q)
	key := rank(a)
	ahead, work := 0, time.Duration(0)
	for _, w := range q.waiting {
		if key.compare(rank(w)) >= 0 {
			ahead++
			work += w.Duration
		}
	}
	if ahead == 0 && q.grantable(now, a, over) {
		q.grant(now, a)
		return Answer{ID: a.ID, Granted: true}, nil
	}
	wait := q.wait(now, ahead, work)
	if len(q.waiting) >= b.opt.ServerQueueLimit {
		return Answer{ID: a.ID, QueueFull: true, RetryAfter: wait}, nil
	}
	if !a.Deadline.After(now) || (!a.WaitClass && now.Add(wait).After(a.Deadline)) {
		return Answer{ID: a.ID, RetryAfter: max(wait, time.Millisecond)}, nil
	}
	q.waiting = append(q.waiting, a)
	return Answer{ID: a.ID, Queued: true}, nil
}

// Release frees a granted reservation or removes a queued request. It reports whether one existed.
func (b *Book) Release(now time.Time, id ReservationID) bool {
	found := false
	for _, q := range b.queues {
		found = q.release(now, id) || found
	}
	return found
}

// Restore adds a reservation that its owner still holds after the home host lost or never had this table.
func (b *Book) Restore(now time.Time, a Ask) {
	if q := b.queues[a.Stage]; q != nil && q.grants[a.ID] == nil {
		q.grant(now, a)
		q.unreserved = max(0, q.unreserved-1)
	}
}

// ReleaseOwner releases all reservations of one owner, for example after it left the epoch, and returns their number.
func (b *Book) ReleaseOwner(now time.Time, o OwnerID) int {
	n := 0
	for _, id := range b.IDs(o) {
		if b.Release(now, id) {
			n++
		}
	}
	return n
}

// IDs returns the owner's granted and queued reservations.
func (b *Book) IDs(o OwnerID) []ReservationID {
	var ids []ReservationID
	for _, q := range b.queues {
		for id := range q.grants {
			if id.Owner == o {
				ids = append(ids, id)
			}
		}
		for _, a := range q.waiting {
			if a.ID.Owner == o {
				ids = append(ids, a.ID)
			}
		}
	}
	return ids
}

// Advance grants or denies the queued requests that can be decided now and returns the results. Call it after Release
// and Report, and every few milliseconds while Waiting is not zero.
func (b *Book) Advance(now time.Time) []Answer {
	var out []Answer
	for _, q := range b.queues {
		if len(q.waiting) == 0 {
			continue
		}
		rank := b.rank(now, q)
		slices.SortStableFunc(q.waiting, func(x, y Ask) int { return rank(x).compare(rank(y)) })
		stillWaiting, work := q.waiting[:0], time.Duration(0)
		for _, a := range q.waiting {
			switch {
			case b.Down || b.Leaving || !a.Deadline.After(now):
				out = append(out, Answer{ID: a.ID, RetryAfter: max(q.wait(now, len(stillWaiting), work), time.Millisecond)})
			case q.grantable(now, a, q.shares.Over(now, a.Workspace)):
				q.grant(now, a)
				out = append(out, Answer{ID: a.ID, Granted: true})
			default:
				stillWaiting = append(stillWaiting, a)
				work += a.Duration
			}
		}
		q.waiting = stillWaiting
	}
	return out
}

// Waiting is the number of queued reservation requests.
func (b *Book) Waiting() int {
	n := 0
	for _, q := range b.queues {
		n += len(q.waiting)
	}
	return n
}

// Report applies an engine's load report that was received at the given time.
func (b *Book) Report(now time.Time, r engine.LoadReport) {
	at := now.Add(-r.Age)
	if q := b.queues[StageDecode]; q != nil {
		if r.Slots > 0 {
			q.slots = r.Slots
		}
		q.report(at, r.Running+r.Waiting)
		return
	}
	b.queues[StagePrefill].report(at, r.Running+r.Waiting)
}

// Load is the state of a server that a host needs to choose between servers.
type Load struct {
	Slots, Busy, Waiting int
	// SlotWait and PrefillWait are the predicted waits of a new latency-class request, SlotQueue and PrefillQueue those
	// of a new wait-class request, which is queued behind the latency class.
	SlotWait, PrefillWait   time.Duration
	SlotQueue, PrefillQueue time.Duration
	Down                    bool
}

// Load returns the load at the given time.
func (b *Book) Load(now time.Time) Load {
	load := Load{Down: b.Down}
	if q := b.queues[StageDecode]; q != nil {
		load.Slots, load.Busy, load.Waiting = q.slots, len(q.grants)+q.unreserved, len(q.waiting)
		n, _ := q.queued(false)
		load.SlotWait, load.SlotQueue = q.slotWait(now, n+1), q.slotWait(now, len(q.waiting)+1+q.latencyReserve(now))
	}
	if q := b.queues[StagePrefill]; q != nil {
		_, latencyWork := q.queued(false)
		_, allWork := q.queued(true)
		load.PrefillWait, load.PrefillQueue = q.wait(now, 0, latencyWork), q.wait(now, 0, allWork)
	}
	return load
}

// rankKey orders queued requests: workspaces within their fair share first, then the latency class, the lower virtual
// token counter, the higher priority and the earlier deadline.
type rankKey struct {
	over, waitClass bool
	counter         float64
	priority        int
	deadline        time.Time
}

// counterStep is the difference of virtual counters, in seconds of a workspace's rate, that counts as equal.
const counterStep = 0.1

func (b *Book) rank(now time.Time, q *stageQueue) func(Ask) rankKey {
	return func(a Ask) rankKey {
		return rankKey{
			over: q.shares.Over(now, a.Workspace), waitClass: a.WaitClass,
			counter:  float64(int64(q.shares.Counter(a.Workspace) / counterStep)),
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
