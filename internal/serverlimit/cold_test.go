package serverlimit_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/serverlimit"
)

// Guards against hosts that together exceed the limit of a cold server in some second, or leave most of it unused, in fleets of
// any size.
func TestSharesOfAColdServer(t *testing.T) {
	g := NewWithT(t)
	for _, n := range []int{1, 4, 28, 60, 119, 350} {
		for _, perSecond := range []float64{2, 10, 44, 200} {
			for _, cost := range []int{1, 2} {
				limit := serverlimit.ColdLimit{PerSecond: perSecond, Ratio: 1.5, Slack: 5}
				rate, users := 0.0, 0
				for _, h := range hosts(n) {
					if share := serverlimit.ColdShare(limit, cost, 7, "z1", serverlimit.NewHostSet(hosts(n), h.Address), n); share > 0 {
						rate += share * float64(cost)
						users++
					}
				}
				g.Expect(rate).To(BeNumerically(">=", 0.8*perSecond), "%d hosts, limit %v, cost %d", n, perSecond, cost)
				g.Expect(rate+float64(users*cost)).To(BeNumerically("<=", 1.5*perSecond+5-1), "%d hosts, limit %v, cost %d", n, perSecond, cost)
			}
		}
	}
	limit := serverlimit.ColdLimit{PerSecond: 44, Ratio: 1.5, Slack: 5}
	alone := serverlimit.ColdShare(limit, 1, 7, "z1", serverlimit.NewHostSet(hosts(1), hosts(1)[0].Address), 60)
	g.Expect(alone).To(BeNumerically("<=", 4), "a host that does not know the others yet")
	g.Expect(alone).To(BeNumerically(">", 0))
}

// Guards against a server that gets all its requests while it is cold: after its start, after an evacuation, by its registration,
// or by its response; and against one that stays cold because its registration is read again, or because the host has started.
func TestWhenServersAreCold(t *testing.T) {
	g := NewWithT(t)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	c := serverlimit.NewCold()
	a := serverlimit.Registered{Server: 1, ColdStart: 10 * time.Second}
	b := serverlimit.Registered{Server: 2, ColdStart: 10 * time.Second, Left: 3 * time.Second}
	g.Expect(c.Register([]serverlimit.Registered{a, b}, start)).To(Equal(1))
	g.Expect(c.IsCold(1, start)).To(BeFalse(), "it was running before the host")
	g.Expect(c.IsCold(2, at(2.9))).To(BeTrue())
	c.Register([]serverlimit.Registered{a, b}, at(2))
	g.Expect(c.IsCold(2, at(3.1))).To(BeFalse(), "the registration was not written again")

	joined := serverlimit.Registered{Server: 3, ColdStart: 10 * time.Second}
	c.Register([]serverlimit.Registered{a, b, joined}, at(5))
	g.Expect(c.IsCold(3, at(14.9))).To(BeTrue())
	g.Expect(c.Count(at(14.9))).To(Equal(1))
	g.Expect(c.MayHave(at(14.9))).To(BeTrue())
	g.Expect(c.Count(at(15))).To(BeZero())
	g.Expect(c.MayHave(at(15))).To(BeFalse())
	c.Register([]serverlimit.Registered{a, joined}, at(16))
	c.Register([]serverlimit.Registered{a, b, joined}, at(40))
	g.Expect(c.IsCold(2, at(40))).To(BeFalse(), "its registration had expired")

	a.Evacuated = true
	c.Register([]serverlimit.Registered{a, b, joined}, at(50))
	a.Evacuated = false
	c.Register([]serverlimit.Registered{a, b, joined}, at(60))
	g.Expect(c.IsCold(1, at(69.9))).To(BeTrue())
	g.Expect(c.Observe(1, 2*time.Second, at(61))).To(BeFalse(), "known to be cold")
	g.Expect(c.IsCold(1, at(63))).To(BeFalse(), "the server says so itself")
	g.Expect(c.Observe(1, 2*time.Second, at(70))).To(BeTrue())
	g.Expect(c.IsCold(1, at(71))).To(BeTrue())
}
