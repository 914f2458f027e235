package exchange_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against admitted tokens that get lost, or count for another workspace, in fleets in which some hosts do not read
// indices of workspaces, or have other workspaces in their configurations. Hosts 0 to 2 are the first relays of the zones, hosts 3
// to 5 the second ones.
func TestAdmittedTokensReachHostsOfOtherVersionsAndConfigurations(t *testing.T) {
	every := func(int) bool { return true }
	none := func(int) bool { return false }
	for name, c := range map[string]struct{ old, other func(i int) bool }{
		"relays of the earlier version": {func(i int) bool { return i < 6 }, none},
		"relays of the new version":     {func(i int) bool { return i >= 6 }, none},
		"relays of either version":      {func(i int) bool { return i%2 == 0 }, none},
		"other configuration at relays": {none, func(i int) bool { return i < 6 }},
		"other configuration at some":   {none, func(i int) bool { return i%2 == 0 }},
		"both":                          {func(i int) bool { return i%4 == 0 }, func(i int) bool { return i%3 == 0 || i == 1 }},
		"configuration rolled out":      {none, every},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(t)
				all := n.grow(15, 3)
				n.lock(func() {
					for i, m := range all {
						m.old = c.old(i)
					}
				})
				time.Sleep(settled)
				r := rand.New(rand.NewPCG(11, 11))
				for i, m := range all {
					if c.other(i) {
						// The indices of all workspaces but the first change.
						m.exchange.SetWorkspaces(append(slices.Delete(workspaceNames(38), 1, 3), "new"))
					}
					n.work(r, 3, 50*time.Millisecond)
				}
				time.Sleep(settled)
				n.expectConsistent("at the end")
				n.lock(func() {
					n.g.Expect(n.byIndex > 0).To(Equal(name != "relays of the earlier version"), "reports by index: %d", n.byIndex)
				})
				n.stopAll()
			})
		})
	}
}
