package membership

import (
	"runtime/debug"
	"testing"

	. "github.com/onsi/gomega"
)

// topologies are the zone sizes of the explored fleets. Some disabled rules have no effect in a zone of two hosts, so
// zones of three and four hosts are needed to detect them.
var topologies = [][]int{{2, 2, 1}, {2, 2, 1}, {3, 1, 1}, {4, 1}}

const (
	exploredRuns   = 3000
	exploreWorkers = 4
	// exploreGCPercent lets the heap grow to a few tens of megabytes.
	exploreGCPercent = 500
)

// explore runs the simulation with consecutive seeds until one violates the invariant, and returns the seed and a
// description of the violation.
func explore(p policy, from, runs int) (seed uint64, violation string, stats map[string]int) {
	type result struct {
		seed uint64
		sim  *sim
	}
	stats = map[string]int{}
	// The runs produce much short-lived garbage, and frequent collections take a third of the time.
	defer debug.SetGCPercent(debug.SetGCPercent(exploreGCPercent))
	for first := from; first < from+runs; first += exploreWorkers {
		// The runs of a group are concurrent. The lowest violating seed of the group is reported, so the result is
		// deterministic.
		results := make(chan result, exploreWorkers)
		for worker := range exploreWorkers {
			go func() {
				n := uint64(first + worker)
				s := newSim(n, topologies[int(n)%len(topologies)], p)
				s.run()
				results <- result{n, s}
			}()
		}
		for range exploreWorkers {
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

// Guards against an excluded host that may still admit requests, under any combination of faults.
func TestExcludedHostsCannotAdmit(t *testing.T) {
	g := NewWithT(t)
	seed, violation, stats := explore(policy{}, 0, exploredRuns)
	g.Expect(violation).To(BeEmpty(), "seed %d", seed)
	t.Log(stats)
	for _, seen := range []string{"lease", "majority", "zone", "fencing", "isolation", "replaced"} {
		g.Expect(stats[seen]).To(BeNumerically(">", exploredRuns/20), "the runs must exercise %s", seen)
	}
}

// Guards against an exploration that does not detect the violations that the rules prevent: with any one rule disabled,
// it must find a violation.
func TestExplorationDetectsDisabledRules(t *testing.T) {
	for _, tc := range []struct {
		name   string
		policy policy
		// from is the first seed. For rare violations it is close to the seed that finds them, to save time.
		from int
	}{
		{"contact with one zone peer satisfies the zone condition", policy{anyZonePeer: true}, 0},
		{"more than half of a zone is fenced at once", policy{anySetSize: true}, 0},
		{"the platform's host list is taken as proof", policy{trustHostList: true}, 0},
		{"a lease is treated as expired while the store is unavailable", policy{unreadableIsExpired: true}, 500},
		{"isolation does not wait for the isolation limit after the lease expired", policy{anyExpiryAge: true}, 0},
		{"a host whose lease has not expired is excluded", policy{ignoreLease: true}, 0},
		{"replies to a reported host still count as contact", policy{keepContact: true}, 0},
		{"a read without a new session restores contact", policy{readRestoresContact: true}, 0},
		{"authority is cached while the process is paused", policy{cachedAuthority: true}, 0},
		{"the contact window starts at the receipt of the reply", policy{contactFromReceipt: true}, 0},
		{"an epoch is proposed before a majority has the current one", policy{ungatedEpochs: true}, 2300},
		{"reports by a majority of the current hosts suffice", policy{currentHostsOnly: true}, 2300},
		{"a host that may not have the current hosts of its zone is fenced", policy{ignoreZoneChanges: true}, 0},
		{"a renewal extends the lease condition without a read of the epoch", policy{renewalWithoutRead: true}, 0},
		{"there is no margin for different clock rates", policy{noClockMargin: true}, 800},
		{"a delayed lease acquisition replaces a later registration", policy{anyAcquisition: true}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			seed, violation, stats := explore(tc.policy, tc.from, exploredRuns)
			NewWithT(t).Expect(violation).NotTo(BeEmpty(), "%v", stats)
			t.Logf("seed %d: %s", seed, violation)
		})
	}
}
