package retrybudget_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/fleet"
	"github.com/boragecourse/boragecourse/internal/retrybudget"
)

var limits = fleet.RetryLimits{Window: 10 * time.Second, Ratio: 0.2, Minimum: 56}

// Guards against hosts that together repeat more than the shared budget when every send fails.
func TestHostsTogetherKeepTheBudget(t *testing.T) {
	g := NewWithT(t)
	const hosts = 4
	start := time.Unix(0, 0)
	var repeats []time.Time
	requests := 0
	budgets := make([]*retrybudget.Budget, hosts)
	for i := range budgets {
		budgets[i] = retrybudget.New(limits, start)
	}
	for at := time.Duration(0); at < time.Minute; at += 25 * time.Millisecond {
		b := budgets[int(at/(25*time.Millisecond))%hosts]
		b.Request(start.Add(at))
		requests++
		for b.Repeat(start.Add(at), hosts) {
			repeats = append(repeats, start.Add(at))
		}
	}
	first, worst := 0, 0
	for last, at := range repeats {
		for at.Sub(repeats[first]) > limits.Window {
			first++
		}
		worst = max(worst, last-first+1)
	}
	perWindow := float64(requests) * limits.Window.Seconds() / 60
	g.Expect(float64(worst)).To(BeNumerically("<=", limits.Ratio*perWindow+float64(limits.Minimum)))
	g.Expect(len(repeats)).To(BeNumerically(">", 100))
}

// Guards against a budget that never recovers, or that a pause of the process refills twice.
func TestBudgetRecoversAfterTheWindow(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(0, 0)
	b := retrybudget.New(limits, start)
	spend := func(at time.Time) (n int) {
		for b.Repeat(at, 1) {
			n++
		}
		return n
	}
	g.Expect(spend(start)).To(Equal(limits.Minimum))
	g.Expect(spend(start.Add(9 * time.Second))).To(BeZero())
	g.Expect(spend(start.Add(time.Hour))).To(Equal(limits.Minimum))
	g.Expect(b.Repeat(start, 1)).To(BeFalse(), "an earlier time than the last one")
}
