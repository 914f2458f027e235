package placement

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/rules"
)

// Guards against a refusal for an evacuation that names another reason, or one for another reason that names an evacuation:
// with all zones evacuated, with the last prefill or decode server, for a request that waits, and for services.
func TestRefusalsNameEvacuations(t *testing.T) {
	spread := func(prefill, decode string, evacuated ...string) []rules.Rule {
		all := []rules.Rule{
			&rules.Server{Name: "p", Addr: "p", Zone: prefill, Role: rules.RolePrefill, Model: "m", Slots: 1},
			&rules.Server{Name: "d", Addr: "d", Zone: decode, Role: rules.RoleDecode, Model: "m", Slots: 1},
			&rules.Server{Name: "s", Addr: "s", Zone: decode, Role: rules.RoleService, Pool: "s", Slots: 1},
			&rules.Server{Name: "x", Addr: "x", Zone: prefill, Role: rules.RolePrefill, Model: "only prefill", Slots: 1},
		}
		for _, zone := range evacuated {
			all = append(all, &rules.Evacuation{Zone: zone})
		}
		return all
	}
	isEvacuated := func(err error) bool {
		var none *NoServerError
		return errors.As(err, &none) && none.Evacuated
	}
	inFleet(t, Options{}, spread("z", "y"), func(g *GomegaWithT, f *fleet) {
		held, err := f.place("a", rules.ClassWait)
		g.Expect(err).NotTo(HaveOccurred())
		waiting := make(chan error, 1)
		go func() {
			_, err := f.place("b", rules.ClassWait)
			waiting <- err
		}()
		time.Sleep(time.Second)
		f.setRules(2, spread("z", "y", "y"))
		time.Sleep(10 * time.Second)
		g.Expect(isEvacuated(<-waiting)).To(BeTrue(), "a request that waits for a slot")
		held.ReleasePrefill()
		held.ReleaseDecode()
		for i, c := range []struct {
			rules             []rules.Rule
			engines, services bool
		}{
			{spread("z", "y", "z", "y"), true, true},
			{spread("z", "y", "z"), true, false},
			{spread("z", "y", "y"), true, true},
			{spread("z", "y", "x"), false, false},
		} {
			f.setRules(uint64(3+i), c.rules)
			time.Sleep(2 * time.Second)
			for _, class := range []rules.Class{rules.ClassLatency, rules.ClassWait} {
				p, err := f.place("a", class)
				g.Expect(isEvacuated(err)).To(Equal(c.engines), "%d: %v", i, err)
				if err == nil {
					p.ReleasePrefill()
					p.ReleaseDecode()
				}
			}
			_, _, err := f.services["a"].PlaceService(context.Background(), f.Current(), "s", nil)
			g.Expect(isEvacuated(err)).To(Equal(c.services), "%d: %v", i, err)
			g.Expect(err != nil).To(Equal(c.services))
		}
		r := f.request(rules.ClassLatency)
		r.Model = "only prefill"
		f.setRules(9, spread("z", "y", "z"))
		_, err = f.services["a"].Place(context.Background(), f.Current(), r)
		g.Expect(err != nil && !isEvacuated(err)).To(BeTrue(), "%v", err)
		g.Expect(f.metrics.Count(metricRefusals, metrics.L("reason", reasonEvacuated))).To(BeEquivalentTo(9))
	})
}
