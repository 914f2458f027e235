// Package retrybudget bounds the sends of a service beyond the first of each request, over all hosts together and
// without messages between them: each host keeps to its part of the fixed minimum, and to the ratio of the requests
// that it took itself. It answers the load of many failing sends at once, when every host wants to repeat.
package retrybudget

import (
	"time"

	"github.com/boragecourse/boragecourse/internal/fleet"
)

// buckets divide the window; the budget of a window is exact to one bucket, and errs on the strict side.
const buckets = 10

// Budget counts the requests and repeats of one service on one host. It is not safe for concurrent use.
type Budget struct {
	limits fleet.RetryLimits
	// start makes bucket numbers from the steady clock.
	start time.Time
	slots [buckets + 1]counts
	last  int64
	// wholeAt is when the process before this one on the host can no longer have repeated within the window.
	wholeAt time.Time
}

type counts struct {
	requests, repeats int
	// hosts is the largest number of hosts that were known.
	hosts int
}

// New returns an unused budget. started is when this process started, if another one may have run on the host before;
// until a window later, the host's part of the minimum counts as used.
func New(limits fleet.RetryLimits, started, now time.Time) *Budget {
	return &Budget{limits: limits, start: now, wholeAt: started.Add(limits.Window)}
}

// Request counts a request's first send.
func (b *Budget) Request(now time.Time) {
	b.slots[b.turn(now)].requests++
}

// Repeat tells whether a request may be sent again with the given number of sends, and counts them if so. hosts is the
// largest number of hosts that may be taking requests; the part of one that left is given out a window later.
func (b *Budget) Repeat(now time.Time, hosts, sends int) bool {
	slot := b.turn(now)
	b.slots[slot].hosts = max(b.slots[slot].hosts, hosts)
	requests, repeats := 0, 0
	for i, c := range b.slots {
		repeats += c.repeats
		hosts = max(hosts, c.hosts)
		// The oldest bucket lies partly outside the window: its repeats count, its requests do not.
		if i != (slot+1)%len(b.slots) {
			requests += c.requests
		}
	}
	allowed := b.limits.Ratio * float64(requests)
	if !now.Before(b.wholeAt) {
		allowed += float64(b.limits.Minimum) / float64(max(hosts, 1))
	}
	if float64(repeats+sends) > allowed {
		return false
	}
	b.slots[slot].repeats += sends
	return true
}

// Sent moves repeats that were allowed at an earlier time to the time at which they are sent, so that the window counts
// them when they arrive.
func (b *Budget) Sent(allowed, now time.Time, sends int) {
	slot := b.turn(now)
	from := b.bucket(allowed)
	if from <= b.last-int64(len(b.slots)) {
		b.slots[slot].repeats += sends
		return
	}
	b.slots[from%int64(len(b.slots))].repeats -= sends
	b.slots[slot].repeats += sends
}

// bucket numbers the buckets from the start on.
func (b *Budget) bucket(at time.Time) int64 {
	return max(int64(at.Sub(b.start)), 0) / max(int64(b.limits.Window)/buckets, 1)
}

// turn empties the buckets that have left the window and returns the present one.
func (b *Budget) turn(now time.Time) int {
	n := b.bucket(now)
	for i := max(b.last+1, n-buckets); i <= n; i++ {
		b.slots[i%int64(len(b.slots))] = counts{}
	}
	b.last = max(b.last, n)
	return int(b.last % int64(len(b.slots)))
}
