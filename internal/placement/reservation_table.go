package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/rules"
)

// ReservationTable is the reservation table of one server at its home host. It is a pure state machine: the caller
// passes the time and serializes calls. Queued reservation requests get their result from Advance.
type ReservationTable struct {
	opt    Options
	queues map[Stage]*stageQueue
	// Down is set by the home host while the server does not respond, Leaving while its rule removes it from placement.
	// In both cases new and queued reservation requests are denied; granted reservations stay.
	Down, Leaving bool
}

// FairShareTables are the fair-share tables that all reservation tables of a home host use together, so that fairness
// holds across its servers.
type FairShareTables struct {
	Prefill, Decode *FairShareTable
}

// NewFairShareTables returns an empty fair-share table for each of the two stages.
func NewFairShareTables() *FairShareTables {
	return &FairShareTables{Prefill: NewFairShareTable(), Decode: NewFairShareTable()}
}

// NewReservationTable returns an empty reservation table with a stage queue for each stage that the server's role runs.
func NewReservationTable(s *rules.Server, o Options, shared *FairShareTables) *ReservationTable {
	t := &ReservationTable{opt: o.withDefaults(), queues: map[Stage]*stageQueue{}}
	if runsStage(s.Role, StagePrefill) {
		t.queues[StagePrefill] = newStageQueue(StagePrefill, s.Slots, &t.opt, shared.Prefill)
	}
	if runsStage(s.Role, StageDecode) {
		t.queues[StageDecode] = newStageQueue(StageDecode, s.Slots, &t.opt, shared.Decode)
	}
	return t
}

// Reserve grants, queues or denies a reservation request. Repeating the request of a granted reservation returns the
// grant again and changes nothing. The error is a *StageError.
func (t *ReservationTable) Reserve(now time.Time, req ReservationRequest) (ReservationResult, error) {
	q := t.queues[req.Stage]
	if q == nil {
		return ReservationResult{}, &StageError{Stage: req.Stage}
	}
	if q.grants[req.ID] != nil {
		return ReservationResult{ID: req.ID, Granted: true}, nil
	}
	if t.Down || t.Leaving {
		return ReservationResult{ID: req.ID, RetryAfter: t.opt.WaitPerAttempt}, nil
	}
	q.shares.AddRequested(now, req.Workspace, req.Weight, req.Tokens)
	if !req.WaitClass {
		q.lastLatency = now
	}
	over := q.shares.OverFairShare(now, req.Workspace)
	rank := t.rank(now, q)
	key := rank(req)
	ahead, work := 0, time.Duration(0)
	for _, w := range q.waiting {
		if key.compare(rank(w)) >= 0 {
			ahead++
			work += w.Duration
		}
	}
	if ahead == 0 && q.grantable(now, req, over) {
		q.grant(now, req)
		return ReservationResult{ID: req.ID, Granted: true}, nil
	}
	wait := q.wait(now, ahead, work)
	if len(q.waiting) >= t.opt.ServerQueueLimit {
		return ReservationResult{ID: req.ID, QueueFull: true, RetryAfter: wait}, nil
	}
	if !req.Deadline.After(now) || (!req.WaitClass && now.Add(wait).After(req.Deadline)) {
		return ReservationResult{ID: req.ID, RetryAfter: max(wait, time.Millisecond)}, nil
	}
	q.waiting = append(q.waiting, req)
	return ReservationResult{ID: req.ID, Queued: true}, nil
}

// Release frees a granted reservation or removes a queued request. It reports whether one existed.
func (t *ReservationTable) Release(now time.Time, id ReservationID) bool {
	found := false
	for _, q := range t.queues {
		found = q.release(now, id) || found
	}
	return found
}

// Restore adds a reservation that its owner still holds but this table does not contain, because the home host lost the
// table or is new.
func (t *ReservationTable) Restore(now time.Time, req ReservationRequest) {
	if q := t.queues[req.Stage]; q != nil && q.grants[req.ID] == nil {
		q.grant(now, req)
		q.unreserved = max(0, q.unreserved-1)
	}
}

// ReleaseOwner releases all reservations of one owner, for example after it left the epoch, and returns their number.
func (t *ReservationTable) ReleaseOwner(now time.Time, o OwnerID) int {
	n := 0
	for _, id := range t.OwnerReservations(o) {
		if t.Release(now, id) {
			n++
		}
	}
	return n
}

// OwnerReservations returns the owner's granted and queued reservations.
func (t *ReservationTable) OwnerReservations(o OwnerID) []ReservationID {
	var ids []ReservationID
	for _, q := range t.queues {
		for id := range q.grants {
			if id.Owner == o {
				ids = append(ids, id)
			}
		}
		for _, req := range q.waiting {
			if req.ID.Owner == o {
				ids = append(ids, req.ID)
			}
		}
	}
	return ids
}

// Advance grants or denies the queued requests that can be decided now and returns the results. Call it after Release
// and Report, and every few milliseconds while QueueLength is not zero.
func (t *ReservationTable) Advance(now time.Time) []ReservationResult {
	var out []ReservationResult
	for _, q := range t.queues {
		if len(q.waiting) == 0 {
			continue
		}
		rank := t.rank(now, q)
		slices.SortStableFunc(q.waiting, func(x, y ReservationRequest) int { return rank(x).compare(rank(y)) })
		stillWaiting, work := q.waiting[:0], time.Duration(0)
		for _, req := range q.waiting {
			switch {
			case t.Down || t.Leaving || !req.Deadline.After(now):
				out = append(out, ReservationResult{ID: req.ID, RetryAfter: max(q.wait(now, len(stillWaiting), work), time.Millisecond)})
			case q.grantable(now, req, q.shares.OverFairShare(now, req.Workspace)):
				q.grant(now, req)
				out = append(out, ReservationResult{ID: req.ID, Granted: true})
			default:
				stillWaiting = append(stillWaiting, req)
				work += req.Duration
			}
		}
		q.waiting = stillWaiting
	}
	return out
}

// QueueLength returns the number of queued reservation requests of all stages.
func (t *ReservationTable) QueueLength() int {
	n := 0
	for _, q := range t.queues {
		n += len(q.waiting)
	}
	return n
}

// Report applies an engine's load report that was received at the given time.
func (t *ReservationTable) Report(now time.Time, r engine.LoadReport) {
	at := now.Add(-r.Age)
	if q := t.queues[StageDecode]; q != nil {
		if r.Slots > 0 {
			q.slots = r.Slots
		}
		q.report(at, r.Running+r.Waiting)
		return
	}
	t.queues[StagePrefill].report(at, r.Running+r.Waiting)
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

// Load returns the slots in use and the predicted waits of a new request at the given time.
func (t *ReservationTable) Load(now time.Time) Load {
	load := Load{Down: t.Down}
	if q := t.queues[StageDecode]; q != nil {
		load.Slots, load.Busy, load.Waiting = q.slots, len(q.grants)+q.unreserved, len(q.waiting)
		n, _ := q.queued(false)
		load.SlotWait, load.SlotQueue = q.slotWait(now, n+1), q.slotWait(now, len(q.waiting)+1+q.latencyReserve(now))
	}
	if q := t.queues[StagePrefill]; q != nil {
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

// counterStep is the step, in seconds, to whose multiples virtual counters (granted tokens divided by the workspace's
// rate in tokens per second) are rounded down for the comparison. Among requests in the same step, priority and
// deadline decide.
const counterStep = 0.1

func (t *ReservationTable) rank(now time.Time, q *stageQueue) func(ReservationRequest) rankKey {
	return func(req ReservationRequest) rankKey {
		return rankKey{
			over: q.shares.OverFairShare(now, req.Workspace), waitClass: req.WaitClass,
			counter:  float64(int64(q.shares.VirtualCounter(req.Workspace) / counterStep)),
			priority: req.Priority, deadline: req.Deadline,
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
