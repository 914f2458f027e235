package exchange

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a restarted fleet that does not get copies of the store for a long time: the hosts that have one send it
// to all others at once, so that no transfer ends within fetchTimeout and all are repeated. The model is a fleet of 100
// hosts with links of 10 Mbit/s and copies of 250 KB, one of which has a copy and none of which reaches the store.
func TestCopiesSpreadWithinTimeoutsAfterARestart(t *testing.T) {
	const hosts, size, link, step = 100, 250_000, 10, 10 * time.Millisecond
	spread := func(bounded bool) time.Duration {
		type transfer struct {
			from  int
			left  float64
			until time.Time
		}
		now := time.Unix(1000, 0)
		start := now
		have := map[int]bool{0: true}
		budgets := make([]*copyBudget, hosts)
		for i := range budgets {
			budgets[i] = newCopyBudget(link, now)
		}
		running := map[int]*transfer{}
		pausedUntil := map[int]time.Time{}
		for len(have) < hosts && now.Sub(start) < time.Minute {
			now = now.Add(step)
			load := map[int]float64{}
			for _, r := range running {
				load[r.from]++
			}
			for to, r := range running {
				r.left -= link * 1e6 / 8 * step.Seconds() / load[r.from]
				switch {
				case r.left <= 0:
					have[to] = true
					delete(running, to)
				case now.After(r.until):
					delete(running, to)
				}
			}
			for to := range hosts {
				if have[to] || running[to] != nil || bounded && now.Before(pausedUntil[to]) {
					continue
				}
				// Each host hears of the hosts with a copy in turn.
				for k := range hosts {
					from := (to*7 + int(now.Sub(start)/step) + k) % hosts
					if !have[from] {
						continue
					}
					if bounded && !budgets[from].allow(size, now) {
						pausedUntil[to] = now.Add(copyPause)
						break
					}
					running[to] = &transfer{from, size, now.Add(fetchTimeout)}
					break
				}
			}
		}
		return now.Sub(start)
	}
	g := NewWithT(t)
	unbounded, bounded := spread(false), spread(true)
	t.Logf("all hosts have a copy after %v without the bound, %v with it", unbounded, bounded)
	g.Expect(unbounded).To(BeNumerically(">", 30*time.Second), "the model has the fault")
	g.Expect(bounded).To(BeNumerically("<", 6*time.Second))
}
