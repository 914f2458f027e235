package placement

import (
	"slices"
	"time"
)

// OwnerID names the run of the daemon that owns a reservation.
type OwnerID struct {
	Host        string
	Incarnation uint64
}

// ReservationID is unique in the fleet.
type ReservationID struct {
	Owner OwnerID
	ID    string
}

// Ask describes a reservation.
type Ask struct {
	ID        ReservationID
	Workspace string
	// Weight is the workspace's rate in tokens per second.
	Weight   int64
	Stage    Stage
	Tokens   int64
	Priority int
	// Wait-class requests wait until Deadline for their turn; others are refused when the predicted wait passes it.
	WaitClass bool
	// Start is when the slot is needed, Deadline the latest useful grant.
	Start, Deadline time.Time
	// Duration is how long the slot will be held.
	Duration time.Duration
}

// Answer is the result of an ask.
type Answer struct {
	ID      ReservationID
	Granted bool
	// Queued is true while the ask waits; a later answer follows.
	Queued    bool
	QueueFull bool
	// RetryAfter is when a slot is expected, set on refusals.
	RetryAfter time.Duration
}

const (
	// overcommit is how many decode slots are granted on the prediction that they will be free at the start time.
	// One covers the gap between a release and the end of the next prefill; more would leave KV caches without a slot.
	overcommit = 1
	// latencySeen is how long after a latency-class ask slots are kept back from wait-class asks.
	latencySeen = 5 * time.Second
	// ratioWeight is the weight of a new sample in the learned ratio of held to expected duration.
	ratioWeight = 0.05
	// defaultRatio is the ratio before the first sample: answers are usually shorter than the maximum.
	defaultRatio = 0.7
	// overdueShare is the share of its expected duration that an overdue holder is expected to need still.
	overdueShare = 0.25
)

type grant struct {
	ask Ask
	at  time.Time
}

// lane is the reservation state of one server and stage. Decode lanes count slots; prefill lanes count the
// backlog in time, because an engine prefills one prompt after the other.
type lane struct {
	stage   Stage
	slots   int
	opt     *Options
	shares  *Shares
	grants  map[ReservationID]*grant
	order   []ReservationID
	waiting []Ask
	// foreign is the engine's work that no reservation explains, unconfirmed what the last report alone says of it.
	foreign, unconfirmed int
	ratio                float64
	// headSince is when the first prefill in order began; releases counts grants given back, for load reports.
	headSince   time.Time
	released    []time.Time
	lastLatency time.Time
}

func newLane(stage Stage, slots int, opt *Options, shares *Shares) *lane {
	return &lane{stage: stage, slots: slots, opt: opt, shares: shares, ratio: defaultRatio,
		grants: map[ReservationID]*grant{}}
}

// remaining is how long a grant is expected to hold its slot from now.
func (l *lane) remaining(now time.Time, g *grant) time.Duration {
	expected := time.Duration(float64(g.ask.Duration) * l.ratio)
	start := g.at
	if g.ask.Start.After(start) {
		start = g.ask.Start
	}
	if left := start.Add(expected).Sub(now); left > 0 {
		return left
	}
	return time.Duration(float64(expected) * overdueShare)
}

// free is the number of decode slots that are free at the start time; it may be negative.
func (l *lane) free(now, start time.Time) int {
	ending := 0
	for _, g := range l.grants {
		if ending < overcommit && now.Add(l.remaining(now, g)).Before(start) {
			ending++
		}
	}
	return l.slots - len(l.grants) - l.foreign + ending
}

// backlog is the time that granted prefills still need.
func (l *lane) backlog(now time.Time) time.Duration {
	var sum, longest time.Duration
	for i, id := range l.order {
		d := l.grants[id].ask.Duration
		if i == 0 {
			d = max(d-now.Sub(l.headSince), d/10)
		}
		sum += d
		longest = max(longest, d)
	}
	return sum + time.Duration(l.foreign)*max(longest, l.opt.PrefillAhead)
}

// slotWait predicts how long the n-th next ask waits for a slot, counting from 1.
func (l *lane) slotWait(now time.Time, n int) time.Duration {
	missing := n - (l.slots - len(l.grants) - l.foreign)
	if missing <= 0 {
		return 0
	}
	ends := make([]time.Duration, 0, len(l.grants))
	for _, g := range l.grants {
		ends = append(ends, l.remaining(now, g))
	}
	slices.Sort(ends)
	if len(ends) == 0 {
		return l.opt.WaitRound
	}
	rounds := time.Duration((missing - 1) / len(ends))
	return ends[(missing-1)%len(ends)] + rounds*ends[len(ends)-1]
}

// wait predicts the wait of a new ask behind the given number of waiting asks and their durations.
func (l *lane) wait(now time.Time, ahead int, work time.Duration) time.Duration {
	if l.stage == StageDecode {
		return l.slotWait(now, ahead+1)
	}
	return l.backlog(now) + work
}

// queued returns the number and the durations of waiting asks, all of them or those of the latency class.
func (l *lane) queued(all bool) (n int, work time.Duration) {
	for _, a := range l.waiting {
		if all || !a.WaitClass {
			n++
			work += a.Duration
		}
	}
	return n, work
}

// grantable reports whether the ask can be granted now.
func (l *lane) grantable(now time.Time, a Ask, over bool) bool {
	if l.stage == StagePrefill {
		if a.WaitClass && l.kept(now) > 0 {
			return l.backlog(now) <= l.opt.PrefillAhead/8
		}
		return l.backlog(now) <= l.opt.PrefillAhead
	}
	need := 1
	if over {
		need += l.opt.FairReserve
	}
	if over || a.WaitClass {
		need += l.kept(now)
	}
	start := a.Start
	if start.Before(now) {
		start = now
	}
	return l.free(now, start) >= need
}

// kept is the number of slots that are kept back from wait-class requests: none while only they come.
func (l *lane) kept(now time.Time) int {
	if now.Sub(l.lastLatency) >= latencySeen {
		return 0
	}
	return l.opt.WaitReserve
}

func (l *lane) grant(now time.Time, a Ask) {
	if len(l.order) == 0 {
		l.headSince = now
	}
	l.grants[a.ID] = &grant{ask: a, at: now}
	l.order = append(l.order, a.ID)
	l.shares.Grant(now, a.Workspace, a.Weight, a.Tokens)
}

// release frees a grant or drops a waiting ask and reports whether either existed.
func (l *lane) release(now time.Time, id ReservationID) bool {
	before := len(l.waiting)
	l.waiting = slices.DeleteFunc(l.waiting, func(a Ask) bool { return a.ID == id })
	g := l.grants[id]
	if g == nil {
		return len(l.waiting) < before
	}
	if held := now.Sub(g.at); g.ask.Duration > 0 && now.After(g.ask.Start) && l.stage == StageDecode {
		if g.ask.Start.After(g.at) {
			held = now.Sub(g.ask.Start)
		}
		sample := min(2, float64(held)/float64(g.ask.Duration))
		l.ratio += ratioWeight * (sample - l.ratio)
	}
	delete(l.grants, id)
	i := slices.Index(l.order, id)
	l.order = slices.Delete(l.order, i, i+1)
	if i == 0 {
		l.headSince = now
	}
	l.released = append(l.released, now)
	return true
}

// report takes an engine's count of running and waiting requests at a past time. What this lane's reservations do
// not explain belongs to others: to hosts that placed without a reservation, or to a book that was lost.
func (l *lane) report(at time.Time, count int) {
	l.released = slices.DeleteFunc(l.released, func(t time.Time) bool { return t.Before(at) })
	known := len(l.released)
	for _, g := range l.grants {
		if !g.at.After(at) {
			known++
		}
	}
	extra := max(0, count-known)
	// A request that starts or ends while the report travels looks like foreign work once, but not twice.
	l.foreign, l.unconfirmed = min(extra, l.unconfirmed), extra
}
