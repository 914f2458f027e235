package overload_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/overload"
)

const (
	work      = 30 * time.Millisecond
	objective = 150 * time.Millisecond
)

var start = time.Unix(1000, 0)

// feed reports the same load of two servers every 30 ms for a time, and returns the time after it.
func feed(c *overload.Controller, now time.Time, l overload.Load, length time.Duration) time.Time {
	for end := now.Add(length); now.Before(end); now = now.Add(work) {
		for _, key := range []string{"a", "b"} {
			c.Report(key, l, now)
			c.Completed(key, work*time.Duration(l.Slots+l.Waiting)/time.Duration(l.Slots), l.Running+l.Waiting, l.Slots, now)
		}
	}
	return now
}

func newController() *overload.Controller {
	c := overload.New()
	c.SetObjective(objective)
	return c
}

// Guards against a controller that takes seconds to refuse or to stop refusing, that refuses without recent reports, and
// that refuses while a server is free.
func TestProbabilityFollowsTheQueue(t *testing.T) {
	g := NewWithT(t)
	c := newController()
	now := feed(c, start, overload.Load{Running: 4, Slots: 6}, time.Second)
	g.Expect(c.Probability(now)).To(BeZero())
	now = feed(c, now, overload.Load{Running: 6, Waiting: 18, Slots: 6}, 300*time.Millisecond)
	g.Expect(c.Probability(now)).To(BeNumerically(">", 0.4))
	g.Expect(c.Admit(overload.Arrival{Random: 0}, now)).NotTo(BeNil())
	g.Expect(c.Admit(overload.Arrival{Random: 0, FreeSlot: true}, now)).To(BeNil())
	g.Expect(c.Admit(overload.Arrival{Random: 0.999}, now)).To(BeNil())
	g.Expect(c.Probability(now.Add(time.Second))).To(BeZero(), "no recent reports")

	c = newController()
	now = feed(c, start, overload.Load{Running: 6, Waiting: 18, Slots: 6}, time.Second)
	now = feed(c, now, overload.Load{Running: 5, Slots: 6}, 300*time.Millisecond)
	g.Expect(c.Probability(now)).To(BeZero(), "no queue")
	unaware := overload.New()
	now = feed(unaware, start, overload.Load{Running: 6, Waiting: 18, Slots: 6}, time.Second)
	g.Expect(unaware.Probability(now)).To(BeZero(), "no objective")
}

// Guards against servers without reports, and against refusals because single requests take long at servers that are not full.
func TestResponseTimesReplaceReports(t *testing.T) {
	g := NewWithT(t)
	c := newController()
	now := start
	answer := func(took time.Duration, occupied int) {
		for range 20 {
			now = now.Add(25 * time.Millisecond)
			c.Completed("a", took, occupied, 6, now)
		}
	}
	answer(work, 3)
	answer(5*work, 3)
	g.Expect(c.Probability(now)).To(BeZero())
	answer(work, 3)
	answer(5*work, 12)
	g.Expect(c.Probability(now)).To(BeNumerically(">", 0.2))
}

// Guards against reports that make no sense: they must neither stop the service nor break the arithmetic.
func TestNonsenseIsIgnored(t *testing.T) {
	g := NewWithT(t)
	for _, l := range []overload.Load{{}, {Slots: -1}, {Running: 1000, Slots: 6}, {Waiting: 9, Slots: 6}, {Running: -1, Slots: 6}} {
		c := newController()
		c.Report("a", l, start)
		_, known := c.Outstanding("a", start)
		g.Expect(known).To(BeFalse())
	}
	c := newController()
	now := start
	for range 100 {
		now = now.Add(work)
		c.Report("a", overload.Load{Running: 6, Waiting: 1 << 20, Slots: 6, TimePercent: 1e6}, now)
		c.Completed("a", work, 3, 6, now)
	}
	g.Expect(c.Probability(now)).To(BeZero(), "a queue that responses do not show")
	o, _ := c.Outstanding("a", now)
	g.Expect(o.Limit).To(BeNumerically(">=", 12))
}

// Guards against a server that keeps getting requests beyond the queue at which it refused one, and against a limit that
// stays. A refusal by a server with free slots is no effect of the load.
func TestFullServerLowersItsLimit(t *testing.T) {
	g := NewWithT(t)
	c := newController()
	now := feed(c, start, overload.Load{Running: 6, Waiting: 10, Slots: 6}, time.Second)
	before, _ := c.Outstanding("a", now)
	g.Expect(c.Full("a", now)).To(BeTrue())
	after, _ := c.Outstanding("a", now)
	g.Expect(after.Limit).To(BeNumerically("<", min(before.Limit, 16)))
	now = feed(c, now, overload.Load{Running: 4, Slots: 6}, 3*time.Second)
	later, _ := c.Outstanding("a", now)
	g.Expect(later.Limit).To(BeNumerically(">=", before.Limit))
	g.Expect(c.Full("a", now)).To(BeFalse())
}

// Guards against a split that refuses another share than asked for, that refuses urgent requests before others, or that
// leaves a rank without its bounded share. A returned caller must be refused less often than a new one.
func TestRanksShareTheRefusals(t *testing.T) {
	g := NewWithT(t)
	for _, counts := range [][]float64{{10}, {10, 10}, {1, 99}, {99, 1}, {30, 0, 60, 10}} {
		for _, p := range []float64{0, 0.1, 0.5, 0.9} {
			split := overload.Split(p, counts)
			refused, total := 0.0, 0.0
			for i, n := range counts {
				refused, total = refused+split[i]*n, total+n
				if n > 0 {
					g.Expect(1 - split[i]).To(BeNumerically(">=", overload.MinShare*(1-p)-1e-9))
				}
				if i > 0 && n > 0 && counts[i-1] > 0 {
					g.Expect(split[i-1]).To(BeNumerically("<=", split[i]+1e-9))
				}
			}
			g.Expect(refused).To(BeNumerically("~", p*total, 1e-6))
		}
	}
	c := newController()
	now := feed(c, start, overload.Load{Running: 6, Waiting: 12, Slots: 6}, 400*time.Millisecond)
	p := c.Probability(now)
	g.Expect(p).To(And(BeNumerically(">", 0.2), BeNumerically("<", 0.9)))
	g.Expect(c.Admit(overload.Arrival{Random: 0.98 * p}, now)).NotTo(BeNil())
	g.Expect(c.Admit(overload.Arrival{Random: 0.98 * p, Returned: true}, now)).To(BeNil())
	refusal := c.Admit(overload.Arrival{TimeLeft: 300 * time.Millisecond}, now)
	g.Expect(refusal.RetryAfter).To(Equal(100 * time.Millisecond))
}
