package membership

import (
	"runtime/debug"
	"testing"

	. "github.com/onsi/gomega"
)

// topologies are the zone sizes of the explored fleets. Zones of three and four hosts are needed for rules that
// a zone of two cannot tell apart.
var topologies = [][]int{{2, 2, 1}, {2, 2, 1}, {3, 1, 1}, {4, 1}}

const (
	exploredRuns = 3000
	exploreSlots = 4
	// exploreGCPercent lets the heap grow to a few tens of megabytes.
	exploreGCPercent = 500
)

// explore runs seeds until one violates the invariant, and returns its seed and description.
func explore(p policy, from, runs int) (seed uint64, violation string, stats map[string]int) {
	type result struct {
		seed uint64
		sim  *sim
	}
	stats = map[string]int{}
	// The runs make much short-lived garbage, and collecting it often takes a third of the time.
	defer debug.SetGCPercent(debug.SetGCPercent(exploreGCPercent))
	for first := from; first < from+runs; first += exploreSlots {
		// The slots run side by side, and the lowest violating seed of a group is reported, so the verdict is always the same.
		results := make(chan result, exploreSlots)
		for slot := range exploreSlots {
			go func() {
				n := uint64(first + slot)
				s := newSim(n, topologies[int(n)%len(topologies)], p)
				s.run()
				results <- result{n, s}
			}()
		}
		for range exploreSlots {
			r := <-results
			for k, v := range r.sim.stats {
				stats[k] += v
			}
			if r.sim.violation != "" && (violation == "" || r.seed < seed) {
				seed, violation = r.seed, r.sim.violation
			}
		}
		if violation != "" {
			break
		}
	}
	return seed, violation, stats
}

// Guards against an excluded host that can still admit, whatever the faults.
func TestExcludedHostsCannotAdmit(t *testing.T) {
	g := NewWithT(t)
	seed, violation, stats := explore(policy{}, 0, exploredRuns)
	g.Expect(violation).To(BeEmpty(), "seed %d", seed)
	t.Log(stats)
	for _, seen := range []string{"lease", "majority", "zone", "b", "c", "replaced"} {
		g.Expect(stats[seen]).To(BeNumerically(">", exploredRuns/20), "the runs must exercise %s", seen)
	}
}

// Guards against an exploration that is too weak to find the faults that the rules prevent.
func TestExplorationCatchesKnownTraps(t *testing.T) {
	for _, trap := range []struct {
		name   string
		policy policy
		// from is the first seed. Rare violations start near the seed that finds them, to save time.
		from int
	}{
		{"any one zone peer is enough to continue", policy{anyZonePeer: true}, 0},
		{"two hosts that are cut off together keep each other admitting", policy{anySetSize: true}, 0},
		{"the platform's list is taken as proof", policy{trustHostList: true}, 0},
		{"lease lapse is counted while the store was down", policy{unreadableIsExpired: true}, 500},
		{"the lapse is not required to last the isolation limit", policy{anyExpiryAge: true}, 0},
		{"the lapse is not required", policy{ignoreLease: true}, 0},
		{"a report is not a promise", policy{noPromise: true}, 0},
		{"a read without a new session ends a promise", policy{readEndsPromise: true}, 0},
		{"authority is cached over a pause", policy{cachedAuthority: true}, 0},
		{"contact counts from the receipt of the reply", policy{contactFromReceipt: true}, 0},
		{"epochs follow without a majority of the previous hosts", policy{ungatedEpochs: true}, 2300},
		{"reports count against the present hosts only", policy{currentHostsOnly: true}, 2300},
		{"a host that may not know its zone is fenced", policy{ignoreZoneChanges: true}, 0},
		{"a renewal counts without a read of the epoch", policy{renewalWithoutRead: true}, 0},
		{"clock rates are taken as equal", policy{noClockMargin: true}, 800},
		{"a delayed acquisition takes the registration over", policy{anyAcquisition: true}, 0},
	} {
		t.Run(trap.name, func(t *testing.T) {
			seed, violation, stats := explore(trap.policy, trap.from, exploredRuns)
			NewWithT(t).Expect(violation).NotTo(BeEmpty(), "%v", stats)
			t.Logf("seed %d: %s", seed, violation)
		})
	}
}
