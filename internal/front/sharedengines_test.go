package front

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/serverlimit"
)

// Load: 33 hosts with 20 engines, and 300 hosts with 3,000. Guards against engines that all hosts fill at once while their memory
// is short, against hosts or engines that are left without each other, and against a share where hosts know of each other at once.
func TestContendedEnginesAreLeftToFewHosts(t *testing.T) {
	for _, fleet := range []struct{ hosts, engines int }{{33, 20}, {300, 3000}} {
		g := NewWithT(t)
		var members []serverlimit.Host
		for i := range fleet.hosts {
			members = append(members, serverlimit.Host{Address: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250), Zone: "a"})
		}
		users := make([]int, fleet.engines)
		without := 0
		for _, m := range members {
			shared := newSharedEngines(serverlimit.NewHostSet(members, m.Address), fleet.engines)
			used := 0
			for e := range fleet.engines {
				key := fmt.Sprintf("e-%d/1", e)
				g.Expect(shared.mayUse(key, contendedOccupancy-0.01)).To(BeTrue())
				if shared.mayUse(key, contendedOccupancy) {
					users[e]++
					used++
				}
			}
			if used == 0 {
				without++
			}
		}
		expected := (enginesPerHost*fleet.hosts + fleet.engines - 1) / fleet.engines
		for _, n := range users {
			g.Expect(n).To(Equal(expected))
		}
		g.Expect(float64(without)).To(BeNumerically("<=", 0.1*float64(fleet.hosts)))
	}
	g := NewWithT(t)
	few := []serverlimit.Host{{Address: "10.0.0.1:9000"}, {Address: "10.0.0.2:9000"}}
	for _, self := range []string{"10.0.0.1:9000", "10.0.0.2:9000"} {
		g.Expect(newSharedEngines(serverlimit.NewHostSet(few, self), 1).mayUse("e/1", 0.9)).To(BeTrue())
	}
}

// Guards against a host that may use no engine because it is not in its own list of hosts.
func TestHostThatIsNotListedMayUseAllEngines(t *testing.T) {
	g := NewWithT(t)
	var members []serverlimit.Host
	for i := range 20 {
		members = append(members, serverlimit.Host{Address: fmt.Sprintf("10.0.0.%d:9000", i)})
	}
	g.Expect(newSharedEngines(serverlimit.NewHostSet(members, "10.1.0.1:9000"), 40).mayUse("e/1", 0.9)).To(BeTrue())
}
