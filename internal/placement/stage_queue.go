package placement

import (
	"slices"
	"time"
)

// OwnerID identifies the host and incarnation that own a reservation.
type OwnerID struct {
	Host        string
	Incarnation uint64
}

// ReservationID is unique among all hosts: ID is unique within its owner.
type ReservationID struct {
	Owner OwnerID
	ID    string
}

// ReservationRequest is a request to the home host of a server for a decode slot or a prefill on that server.
type ReservationRequest struct {
	ID        ReservationID
	Workspace string
	// Weight is the workspace's rate in tokens per second.
	Weight   int64
	Stage    Stage
	Tokens   int64
	Priority int
	// WaitClass requests stay queued until Deadline; others are denied at once when the predicted wait exceeds it.
	WaitClass bool
	// Start is when the slot is needed, Deadline the latest time at which a grant is still useful.
	Start, Deadline time.Time
	// Duration is how long the slot is expected to be held.
	Duration time.Duration
}

// ReservationResult is the decision of a home host on a ReservationRequest: granted, queued or denied.
type ReservationResult struct {
	ID      ReservationID
	Granted bool
	// Queued is set while the request waits; Advance returns the final result.
	Queued    bool
	QueueFull bool
	// RetryAfter is the predicted time until a slot is free. It is set on denials.
	RetryAfter time.Duration
}

const (
	// overcommit is the number of decode slots that may be granted before they are free, if they are predicted to be
	// free at the start time. One covers the gap between a release and the end of the next prefill; with more, finished
	// prefills could be left without a decode slot for their KV cache.
	overcommit = 1
	// latencyReservePeriod is how long after a latency-class request slots are reserved for that class.
	latencyReservePeriod = 5 * time.Second
	// durationRatioWeight is the weight of a new sample in the moving average of held to expected duration.
	durationRatioWeight = 0.05
	// defaultDurationRatio applies before the first sample; outputs are usually shorter than the maximum.
	defaultDurationRatio = 0.7
	// overdueFraction is the fraction of its expected duration that an overdue reservation is assumed to need still.
	overdueFraction = 0.25
)

// grant is a granted reservation.
type grant struct {
	request ReservationRequest
	at      time.Time
}

// stageQueue holds the granted and queued reservations of one server and stage. Decode counts slots. Prefill counts the
// backlog in time, because an engine prefills one prompt after the other.
type stageQueue struct {
	stage      Stage
	slots      int
	opt        *Options
	shares     *FairShareTable
	grants     map[ReservationID]*grant
	grantOrder []ReservationID
	waiting    []ReservationRequest
	// unreserved is the number of the engine's requests that no reservation accounts for: the smaller number of the last
	// two load reports. lastUnreserved is the number of the last report.
	unreserved, lastUnreserved int
	durationRatio              float64
	// headStart is when the first prefill in grantOrder began. releaseTimes are the times of the releases that a load
	// report may not include yet.
	headStart    time.Time
	releaseTimes []time.Time
	lastLatency  time.Time
}

func newStageQueue(stage Stage, slots int, opt *Options, shares *FairShareTable) *stageQueue {
	return &stageQueue{stage: stage, slots: slots, opt: opt, shares: shares, durationRatio: defaultDurationRatio,
		grants: map[ReservationID]*grant{}}
}

// remaining predicts how much longer a granted reservation holds its slot.
func (q *stageQueue) remaining(now time.Time, g *grant) time.Duration {
	expected := time.Duration(float64(g.request.Duration) * q.durationRatio)
	start := g.at
	if g.request.Start.After(start) {
		start = g.request.Start
	}
	if left := start.Add(expected).Sub(now); left > 0 {
		return left
	}
	return time.Duration(float64(expected) * overdueFraction)
}

// free predicts the number of free decode slots at the start time. It may be negative.
func (q *stageQueue) free(now, start time.Time) int {
	ending := 0
	for _, g := range q.grants {
		if ending < overcommit && now.Add(q.remaining(now, g)).Before(start) {
			ending++
		}
	}
	return q.slots - len(q.grants) - q.unreserved + ending
}

// backlog predicts how long the engine needs to finish the granted prefills.
func (q *stageQueue) backlog(now time.Time) time.Duration {
	var sum, longest time.Duration
	for i, id := range q.grantOrder {
		d := q.grants[id].request.Duration
		if i == 0 {
			d = max(d-now.Sub(q.headStart), d/10)
		}
		sum += d
		longest = max(longest, d)
	}
	return sum + time.Duration(q.unreserved)*max(longest, q.opt.MaxPrefillBacklog)
}

// slotWait predicts how long the n-th next request waits for a slot, counting from 1.
func (q *stageQueue) slotWait(now time.Time, n int) time.Duration {
	missing := n - (q.slots - len(q.grants) - q.unreserved)
	if missing <= 0 {
		return 0
	}
	ends := make([]time.Duration, 0, len(q.grants))
	for _, g := range q.grants {
		ends = append(ends, q.remaining(now, g))
	}
	slices.Sort(ends)
	if len(ends) == 0 {
		return q.opt.WaitPerAttempt
	}
	rounds := time.Duration((missing - 1) / len(ends))
	return ends[(missing-1)%len(ends)] + rounds*ends[len(ends)-1]
}

// wait predicts the wait of a new request behind the given number of queued requests with the given total duration.
func (q *stageQueue) wait(now time.Time, ahead int, work time.Duration) time.Duration {
	if q.stage == StageDecode {
		return q.slotWait(now, ahead+1)
	}
	return q.backlog(now) + work
}

// queued returns the number and total duration of the queued requests, of all classes or of the latency class only.
func (q *stageQueue) queued(all bool) (n int, work time.Duration) {
	for _, req := range q.waiting {
		if all || !req.WaitClass {
			n++
			work += req.Duration
		}
	}
	return n, work
}

// grantable reports whether the request can be granted now without exceeding the prefill backlog or taking reserved
// slots. over is set if its workspace is over its fair share.
func (q *stageQueue) grantable(now time.Time, req ReservationRequest, over bool) bool {
	if q.stage == StagePrefill {
		if req.WaitClass && q.latencyReserve(now) > 0 {
			return q.backlog(now) <= q.opt.MaxPrefillBacklog/8
		}
		return q.backlog(now) <= q.opt.MaxPrefillBacklog
	}
	need := 1
	if over {
		need += q.opt.FairShareReserve
	}
	if over || req.WaitClass {
		need += q.latencyReserve(now)
	}
	start := req.Start
	if start.Before(now) {
		start = now
	}
	return q.free(now, start) >= need
}

// latencyReserve is the number of slots reserved for the latency class. It is zero once no latency-class request has
// arrived for latencyReservePeriod.
func (q *stageQueue) latencyReserve(now time.Time) int {
	if now.Sub(q.lastLatency) >= latencyReservePeriod {
		return 0
	}
	return q.opt.LatencyReserve
}

func (q *stageQueue) grant(now time.Time, req ReservationRequest) {
	if len(q.grantOrder) == 0 {
		q.headStart = now
	}
	q.grants[req.ID] = &grant{request: req, at: now}
	q.grantOrder = append(q.grantOrder, req.ID)
	q.shares.AddGranted(now, req.Workspace, req.Weight, req.Tokens)
}

// release frees a granted reservation or removes a queued request, and reports whether either existed.
func (q *stageQueue) release(now time.Time, id ReservationID) bool {
	before := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(req ReservationRequest) bool { return req.ID == id })
	g := q.grants[id]
	if g == nil {
		return len(q.waiting) < before
	}
	if held := now.Sub(g.at); g.request.Duration > 0 && now.After(g.request.Start) && q.stage == StageDecode {
		if g.request.Start.After(g.at) {
			held = now.Sub(g.request.Start)
		}
		sample := min(2, float64(held)/float64(g.request.Duration))
		q.durationRatio += durationRatioWeight * (sample - q.durationRatio)
	}
	delete(q.grants, id)
	i := slices.Index(q.grantOrder, id)
	q.grantOrder = slices.Delete(q.grantOrder, i, i+1)
	if i == 0 {
		q.headStart = now
	}
	q.releaseTimes = append(q.releaseTimes, now)
	return true
}

// report applies an engine's count of running and waiting requests at a past time. Requests that no reservation
// accounts for were placed by hosts in fallback mode, or their reservations were lost with a previous table.
func (q *stageQueue) report(at time.Time, count int) {
	q.releaseTimes = slices.DeleteFunc(q.releaseTimes, func(t time.Time) bool { return t.Before(at) })
	known := len(q.releaseTimes)
	for _, g := range q.grants {
		if !g.at.After(at) {
			known++
		}
	}
	extra := max(0, count-known)
	// A request that starts or ends while the report is in transit looks unreserved in one report, but not in two.
	q.unreserved, q.lastUnreserved = min(extra, q.lastUnreserved), extra
}
