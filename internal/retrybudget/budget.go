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
}

type counts struct{ requests, repeats int }

// New returns an unused budget.
func New(limits fleet.RetryLimits, now time.Time) *Budget { return &Budget{limits: limits, start: now} }

// Request counts a request's first send.
func (b *Budget) Request(now time.Time) {
	b.slots[b.turn(now)].requests++
}

// Repeat tells whether a request may be sent again, and counts the send if so. hosts is the largest number of hosts
// that may be taking requests.
func (b *Budget) Repeat(now time.Time, hosts int) bool {
	slot := b.turn(now)
	requests, repeats := 0, 0
	for i, c := range b.slots {
		repeats += c.repeats
		// The oldest bucket lies partly outside the window: its repeats count, its requests do not.
		if i != (slot+1)%len(b.slots) {
			requests += c.requests
		}
	}
	allowed := b.limits.Ratio*float64(requests) + float64(b.limits.Minimum)/float64(max(hosts, 1))
	if float64(repeats+1) > allowed {
		return false
	}
	b.slots[slot].repeats++
	return true
}

// turn empties the buckets that have left the window and returns the present one.
func (b *Budget) turn(now time.Time) int {
	width := max(int64(b.limits.Window)/buckets, 1)
	n := max(int64(now.Sub(b.start)), 0) / width
	for i := max(b.last+1, n-buckets); i <= n; i++ {
		b.slots[i%int64(len(b.slots))] = counts{}
	}
	b.last = max(b.last, n)
	return int(b.last % int64(len(b.slots)))
}
