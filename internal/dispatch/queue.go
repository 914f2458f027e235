// Package dispatch assigns waiting requests to slots of backend servers and refuses those that cannot be served in
// time. It does no I/O.
package dispatch

import (
	"fmt"
	"slices"
	"time"
)

// RefusedError reports that a job cannot get a slot before its deadline.
type RefusedError struct {
	Stats  Stats
	Waited time.Duration
	// Ahead is the number of jobs of higher rank: those queued ahead, or the higher-valued recent arrivals when the
	// job was refused on arrival.
	Ahead int
	// RateAllowsAfter is when the rate limits of the backend servers allow the job, from now on; 0 when they are not the
	// reason.
	RateAllowsAfter time.Duration
	// Software is the version that the job needs, if no backend server has it.
	Software string
	// TooLate is set when the response could not have been in time while those of other waiting jobs can.
	TooLate bool
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.Software != "" {
		return fmt.Sprintf("none of %d backend servers has the software version %.40q that the stream began at", e.Stats.Servers, e.Software)
	}
	if e.RateAllowsAfter > 0 {
		return fmt.Sprintf("no send allowed before the deadline by the rate limits of %d backend servers, %d jobs ahead, next in %v",
			e.Stats.Servers, e.Ahead, e.RateAllowsAfter.Round(time.Millisecond))
	}
	return fmt.Sprintf("no slot available before the deadline: %d of %d slots of %d backend servers in use, %d jobs ahead",
		e.Stats.Used, e.Stats.Slots, e.Stats.Servers, e.Ahead)
}

type result struct {
	grant *Grant
	err   error
}

type waiter struct {
	job   Job
	since time.Time
	done  chan result
}

// before reports whether a job goes before another one whatever the time and the shares of the ranks: its response has
// begun, its rank is more urgent, or its value higher.
func (j *Job) before(o *Job) bool {
	if j.Begun != o.Begun {
		return j.Begun
	}
	return j.Rank < o.Rank || j.Rank == o.Rank && j.Value > o.Value
}

// queue holds waiting jobs in order of rank and in descending order of value, equal ones in order of arrival.
type queue struct {
	waiters []*waiter
}

func (q *queue) Len() int { return len(q.waiters) }

func (q *queue) add(w *waiter) {
	i, _ := slices.BinarySearchFunc(q.waiters, w, func(a, b *waiter) int {
		if b.job.before(&a.job) {
			return 1
		}
		return -1
	})
	q.waiters = slices.Insert(q.waiters, i, w)
}

func (q *queue) remove(w *waiter) bool {
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return true
}

// ordered returns a copy in the order in which jobs get slots: those that have begun first, then ranks that are owed a
// share, then by rank and value. Among equal jobs, those that can still be in time come first, the earliest deadline first.
func (q *queue) ordered(now time.Time, owed func(rank int) bool) []*waiter {
	out := slices.Clone(q.waiters)
	if len(out) < 2 {
		return out
	}
	first := map[int]bool{}
	for _, w := range out {
		if _, known := first[w.job.Rank]; !known {
			first[w.job.Rank] = owed(w.job.Rank)
		}
	}
	slices.SortStableFunc(out, func(a, b *waiter) int {
		switch {
		case a.job.Begun != b.job.Begun:
			return trueFirst(a.job.Begun)
		case first[a.job.Rank] != first[b.job.Rank]:
			return trueFirst(first[a.job.Rank])
		case a.job.before(&b.job):
			return -1
		case b.job.before(&a.job):
			return 1
		case a.job.inTime(now) != b.job.inTime(now):
			return trueFirst(a.job.inTime(now))
		case a.job.inTime(now):
			return a.job.DueBy.Compare(b.job.DueBy)
		}
		return 0
	})
	return out
}

func trueFirst(a bool) int {
	if a {
		return -1
	}
	return 1
}

// inTime reports whether the response can be in time if the job starts now. It is true for jobs without DueBy.
func (j *Job) inTime(now time.Time) bool { return j.DueBy.IsZero() || now.Before(j.DueBy) }

// rate counts events over a sliding window.
type rate struct {
	window time.Duration
	times  []time.Time
}

func (r *rate) add(now time.Time) {
	r.prune(now)
	r.times = append(r.times, now)
}

// undo removes the newest event.
func (r *rate) undo() {
	if n := len(r.times); n > 0 {
		r.times = r.times[:n-1]
	}
}

func (r *rate) perSecond(now time.Time) float64 {
	r.prune(now)
	return float64(len(r.times)) / r.window.Seconds()
}

func (r *rate) prune(now time.Time) {
	i := 0
	for i < len(r.times) && now.Sub(r.times[i]) > r.window {
		i++
	}
	r.times = slices.Delete(r.times, 0, i)
}

// valueWindow holds the ranks and values of the jobs that arrived within a sliding window.
type valueWindow struct {
	window  time.Duration
	entries []arrival
}

type arrival struct {
	at  time.Time
	job Job
}

func (v *valueWindow) add(now time.Time, job Job) {
	v.prune(now)
	v.entries = append(v.entries, arrival{now, Job{Begun: job.Begun, Rank: job.Rank, Value: job.Value}})
}

// countAbove returns the number of jobs that go before a job.
func (v *valueWindow) countAbove(now time.Time, job Job) int {
	v.prune(now)
	n := 0
	for i := range v.entries {
		if v.entries[i].job.before(&job) {
			n++
		}
	}
	return n
}

func (v *valueWindow) prune(now time.Time) {
	i := 0
	for i < len(v.entries) && now.Sub(v.entries[i].at) > v.window {
		i++
	}
	v.entries = slices.Delete(v.entries, 0, i)
}
