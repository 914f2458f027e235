// Package dispatch decides which waiting request gets a slot, at which backend server, and which are refused. It does
// no I/O.
package dispatch

import (
	"fmt"
	"slices"
	"time"
)

// RefusedError reports that no slot can be had in time.
type RefusedError struct {
	Stats  Stats
	Waited time.Duration
	// Ahead is the number of waiting jobs that were preferred.
	Ahead int
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("no slot in time: %d of %d slots of %d backend servers in use, %d waiting ahead",
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

// queue holds waiting jobs by falling value; equal ones in order of arrival.
type queue struct {
	waiters []*waiter
}

func (q *queue) Len() int { return len(q.waiters) }

func (q *queue) add(w *waiter) {
	i, _ := slices.BinarySearchFunc(q.waiters, w, func(a, b *waiter) int {
		if a.job.Value >= b.job.Value {
			return -1
		}
		return 1
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

// ordered returns a copy, so that the caller may remove entries while it goes through them.
func (q *queue) ordered() []*waiter { return slices.Clone(q.waiters) }

// rate counts events over a sliding window.
type rate struct {
	window time.Duration
	times  []time.Time
}

func (r *rate) add(now time.Time) {
	r.drop(now)
	r.times = append(r.times, now)
}

// undo takes back the newest event.
func (r *rate) undo() {
	if n := len(r.times); n > 0 {
		r.times = r.times[:n-1]
	}
}

func (r *rate) perSecond(now time.Time) float64 {
	r.drop(now)
	return float64(len(r.times)) / r.window.Seconds()
}

func (r *rate) drop(now time.Time) {
	i := 0
	for i < len(r.times) && now.Sub(r.times[i]) > r.window {
		i++
	}
	r.times = slices.Delete(r.times, 0, i)
}

// values holds the values of jobs over a sliding window.
type values struct {
	window  time.Duration
	entries []arrival
}

type arrival struct {
	at    time.Time
	value float64
}

func (v *values) add(now time.Time, value float64) {
	v.drop(now)
	v.entries = append(v.entries, arrival{now, value})
}

// above counts the jobs of more value.
func (v *values) above(now time.Time, value float64) int {
	v.drop(now)
	n := 0
	for _, e := range v.entries {
		if e.value > value {
			n++
		}
	}
	return n
}

func (v *values) drop(now time.Time) {
	i := 0
	for i < len(v.entries) && now.Sub(v.entries[i].at) > v.window {
		i++
	}
	v.entries = slices.Delete(v.entries, 0, i)
}
