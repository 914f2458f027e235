package fleet_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/fleet"
)

// Guards against ranks that follow the route before the workspace, against an urgency that reverses two ranks, and against
// several ranks where all requests are equal.
func TestRanksOfService(t *testing.T) {
	g := NewWithT(t)
	priority := func(n int) *int { return &n }
	route := func(name, service string, priority int) *fleet.Route {
		return &fleet.Route{Name: name, Host: "h", Priority: priority, Destinations: []fleet.Destination{{Service: service, Weight: 1}}}
	}
	fast, slow, other := route("fast", "app", 0), route("slow", "app", 2), route("other", "lone", 1)
	first, second, none := &fleet.Workspace{Priority: priority(0)}, &fleet.Workspace{Priority: priority(1)}, &fleet.Workspace{}
	routes := []*fleet.Route{fast, slow, other}
	c := fleet.NewConfiguration(1, fleet.Limits{}, routes, nil, []*fleet.Workspace{first, second, none})
	last := -1
	lastUrgency := 0
	for _, r := range []fleet.Rank{
		fleet.RankOf(fast, first), fleet.RankOf(slow, first), fleet.RankOf(fast, second), fleet.RankOf(slow, second), fleet.RankOf(slow, none),
	} {
		index, ranks := c.RankIndex("app", r)
		g.Expect(ranks).To(Equal(5))
		g.Expect(index).To(BeNumerically(">", last))
		g.Expect(r.Urgency()).To(BeNumerically(">=", lastUrgency))
		last, lastUrgency = index, r.Urgency()
	}
	g.Expect(fleet.Rank{Primary: 40, Secondary: 7}.Urgency()).To(Equal(9))
	alone := fleet.NewConfiguration(1, fleet.Limits{}, routes, nil, nil)
	_, ranks := alone.RankIndex("lone", fleet.RankOf(other, nil))
	g.Expect(ranks).To(Equal(1))
	_, ranks = alone.RankIndex("unknown", fleet.Rank{})
	g.Expect(ranks).To(Equal(1))
}
