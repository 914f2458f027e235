package exchange

import "time"

const (
	// copyLinkShare is the part of a host's link that complete copies of the store may take. When a whole fleet restarts, the
	// few hosts that have a copy are asked by all others. Without a bound, the copies share the link until every one of
	// them times out and is asked for again, together with the reports on the same link.
	copyLinkShare = 0.25
	// copyPause is the shortest time between two requests for another host's copy after one has failed. It is doubled at
	// random, so that hosts do not ask again together.
	copyPause = 250 * time.Millisecond
)

// copyBudget decides whether a host sends a complete copy of the store. A host that gets none asks another one, or reads
// the store. It is not safe for concurrent use.
type copyBudget struct {
	// rate is in bytes a second, 0 for no bound.
	rate  float64
	level float64
	at    time.Time
}

func newCopyBudget(linkMbps int32, now time.Time) *copyBudget {
	rate := copyLinkShare * float64(linkMbps) * 1e6 / 8
	return &copyBudget{rate: rate, level: rate, at: now}
}

// allow reports whether a copy of a size may be sent now, and charges it. A copy may take more than what is left, so that
// every copy can be sent at some time.
func (b *copyBudget) allow(bytes int, now time.Time) bool {
	if b.rate <= 0 {
		return true
	}
	b.level = min(b.level+b.rate*now.Sub(b.at).Seconds(), b.rate)
	b.at = now
	if b.level <= 0 {
		return false
	}
	b.level -= float64(bytes)
	return true
}
