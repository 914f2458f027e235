package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Load: one to two times the capacity of 20 jobs a second, with 1 in 10 to 9 in 10 jobs urgent. Jobs wait for up to 0.5 s.
// Guards against a rank that is served less than a quarter as often as all, and against one that is served less often than
// a less urgent one.
func TestRankSharesBoundBothRanks(t *testing.T) {
	const tick, patience, capacity = 10 * time.Millisecond, 500 * time.Millisecond, 20.0
	for _, multiple := range []float64{1, 1.3, 1.6, 2} {
		for _, urgent := range []float64{0.1, 0.5, 0.9} {
			g := NewWithT(t)
			rng := rand.New(rand.NewPCG(1, 2))
			var shares rankShares
			var waiting [2][]time.Time
			var arrived, granted [2]float64
			start, tokens := time.Unix(0, 0), 0.0
			for now := start; now.Before(start.Add(40 * time.Second)); now = now.Add(tick) {
				if rng.Float64() < multiple*capacity*tick.Seconds() {
					rank := 0
					if rng.Float64() >= urgent {
						rank = 1
					}
					waiting[rank] = append(waiting[rank], now)
					shares.arrived(rank, now)
					arrived[rank]++
				}
				for rank := range waiting {
					for len(waiting[rank]) > 0 && now.Sub(waiting[rank][0]) > patience {
						waiting[rank] = waiting[rank][1:]
					}
				}
				tokens = min(tokens+capacity*tick.Seconds(), 1)
				rank := 0
				if len(waiting[0]) == 0 || len(waiting[1]) > 0 && shares.owed(1, now) && !shares.owed(0, now) {
					rank = 1
				}
				if tokens >= 1 && len(waiting[rank]) > 0 {
					tokens--
					waiting[rank] = waiting[rank][1:]
					shares.granted(rank, now)
					granted[rank]++
				}
			}
			all := (granted[0] + granted[1]) / (arrived[0] + arrived[1])
			high, low := granted[0]/arrived[0], granted[1]/arrived[1]
			t.Logf("%.1f times the capacity, %.1f urgent: urgent %.2f, other %.2f, all %.2f", multiple, urgent, high, low, all)
			g.Expect(low).To(BeNumerically(">=", all/4))
			g.Expect(high).To(BeNumerically(">=", low))
		}
	}
}
