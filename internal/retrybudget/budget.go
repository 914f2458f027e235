// Package retrybudget limits the retries of a service across all hosts without messages between them: each host may use
// an equal share of a fixed minimum plus a ratio of the requests that it accepted itself. The limit matters when many
// sends fail at once and every host would retry. The package does no I/O and reads no clock.
package retrybudget

import (
	"time"

	"github.com/boragecourse/boragecourse/internal/fleet"
)

// buckets is the number of parts into which the window is divided. The limit is exact to one bucket: it may allow too
// few retries near the edges of the window, but never too many.
const buckets = 10

// Budget counts the requests and retries of one service on one host. It is not safe for concurrent use.
type Budget struct {
	limits fleet.RetryLimits
	// start is the origin of the bucket numbers; its monotonic reading keeps them independent of clock changes.
	start time.Time
	// ring holds the buckets of the window, and an older one that lies partly in the window. The index is the bucket
	// number modulo the length.
	ring [buckets + 1]counts
	// last is the number of the newest bucket.
	last int64
	// minimumFrom is when the host's share of the minimum becomes available: by then, the retries of the previous
	// process on this host have left the window.
	minimumFrom time.Time
}

// counts is the content of one bucket.
type counts struct {
	requests, retries int
	// hosts is the largest number of hosts passed to AllowRetry during the bucket.
	hosts int
}

// New returns an unused budget. started is when this process started, or the zero time if no other process can have run
// on the host before. The host's share of the minimum counts as used until one window after started, since a previous
// process may have used it.
func New(limits fleet.RetryLimits, started, now time.Time) *Budget {
	return &Budget{limits: limits, start: now, minimumFrom: started.Add(limits.Window)}
}

// RecordRequest counts an accepted request. Its retries are counted by AllowRetry.
func (b *Budget) RecordRequest(now time.Time) {
	b.ring[b.advance(now)].requests++
}

// AllowRetry reports whether a request may be retried with the given number of sends, and counts them if so. hosts is
// the largest number of hosts that may be accepting requests. The share of a host that left is redistributed one window
// later, since that host may have used it within the current window.
func (b *Budget) AllowRetry(now time.Time, hosts, sends int) bool {
	if !b.Available(now, hosts, sends) {
		return false
	}
	b.ring[b.advance(now)].retries += sends
	return true
}

// Charge counts sends that turned out to be retries only after they were sent, whether or not the budget covers them.
func (b *Budget) Charge(now time.Time, sends int) {
	b.ring[b.advance(now)].retries += sends
}

// Refund takes back sends that were charged at an earlier time and turned out to be no retries.
func (b *Budget) Refund(charged, now time.Time, sends int) {
	b.advance(now)
	if from := b.bucket(charged); from > b.last-int64(len(b.ring)) {
		b.ring[from%int64(len(b.ring))].retries -= sends
	}
}

// Available reports whether AllowRetry would allow the given number of sends, without counting them.
func (b *Budget) Available(now time.Time, hosts, sends int) bool {
	current := b.advance(now)
	b.ring[current].hosts = max(b.ring[current].hosts, hosts)
	requests, retries := 0, 0
	for i, c := range b.ring {
		retries += c.retries
		hosts = max(hosts, c.hosts)
		// The oldest bucket lies partly outside the window: its retries count, its requests do not.
		if i != (current+1)%len(b.ring) {
			requests += c.requests
		}
	}
	allowed := b.limits.Ratio * float64(requests)
	if !now.Before(b.minimumFrom) {
		allowed += float64(b.limits.Minimum) / float64(max(hosts, 1))
	}
	return float64(retries+sends) <= allowed
}

// RecordSend moves retries that AllowRetry allowed at an earlier time to the time at which they are sent, so that the
// window counts them when they load the backend servers.
func (b *Budget) RecordSend(allowed, now time.Time, sends int) {
	current := b.advance(now)
	from := b.bucket(allowed)
	if from <= b.last-int64(len(b.ring)) {
		b.ring[current].retries += sends
		return
	}
	b.ring[from%int64(len(b.ring))].retries -= sends
	b.ring[current].retries += sends
}

// bucket returns the number of the bucket that contains a time.
func (b *Budget) bucket(at time.Time) int64 {
	return max(int64(at.Sub(b.start)), 0) / max(int64(b.limits.Window)/buckets, 1)
}

// advance clears the buckets that have left the window and returns the index of the current one. If now is earlier than
// in a previous call, the result is the index of the newest bucket.
func (b *Budget) advance(now time.Time) int {
	n := b.bucket(now)
	for i := max(b.last+1, n-buckets); i <= n; i++ {
		b.ring[i%int64(len(b.ring))] = counts{}
	}
	b.last = max(b.last, n)
	return int(b.last % int64(len(b.ring)))
}
