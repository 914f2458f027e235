package overload_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/overload"
)

// Guards against a preview that changes the controller or that states another probability than Admit uses.
func TestPreviewChangesNothing(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	seen, unseen := overload.New(), overload.New()
	refused := 0
	for i := range 400 {
		now = now.Add(10 * time.Millisecond)
		arrival := overload.Arrival{Random: float64(i%10) / 10, TimeLeft: time.Second}
		var probability float64
		for range 3 {
			probability, _ = seen.Preview(arrival, objective, now)
		}
		var decisions []bool
		for _, c := range []*overload.Controller{seen, unseen} {
			c.SetObjective(objective)
			c.Report("a", overload.Load{Running: 4, Waiting: 40, Slots: 4, TimePercent: 100}, now)
			c.Completed("a", 5*work, 4, 4, now)
			decisions = append(decisions, c.Admit(arrival, now) != nil)
		}
		g.Expect(decisions[0]).To(Equal(decisions[1]))
		if decisions[0] {
			refused++
		}
		if i == 399 {
			again, refusal := seen.Preview(arrival, objective, now)
			g.Expect(again).To(BeNumerically("~", probability, 0.1))
			g.Expect(refusal).NotTo(BeNil())
		}
	}
	g.Expect(refused).To(BeNumerically(">", 0))
}
