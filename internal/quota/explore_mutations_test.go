package quota

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/rules"
)

// applyMutation alters the host's state before an event as the mutation requires. revertMutation undoes changes
// that must not accumulate.
func (sim *simulation) applyMutation(h *simHost, now time.Time) {
	if sim.mutation == noMutation {
		return
	}
	n := h.node
	ws := n.workspace("ws")
	switch sim.mutation {
	case mutationBorrowerRefills:
		// The borrower refills its grants, although the lender's refill already covers the full rate.
		for _, g := range ws.borrower.grants {
			if g.used+g.reserved > 0 && g.amount < 100 {
				g.amount += 10
			}
		}
	case mutationNoCapacityRule:
		if ws.bucket != nil {
			ws.bucket.share.Burst += ws.bucket.ownReserved + ws.bucket.unsettled
		}
	case mutationStartsFull, mutationIgnoresInherited:
		sim.mutateTakeover(h, now)
	case mutationSkipsAcknowledgements:
		for _, peer := range n.ownership.Unacknowledged() {
			n.ownership.RecordAck(peer.Name, n.ownership.Number())
		}
		n.ownership.Advance(now, func(uint64) bool { return true })
		fallthrough
	case mutationImmediateShareIncrease:
		if newest := n.divisions.newest(); newest != nil {
			newest.complete, newest.effectiveAt = true, now
			n.divisions.Advance(now)
			n.applyShares(now)
		}
	}
}

func (sim *simulation) mutateTakeover(h *simHost, now time.Time) {
	ws := h.node.workspace("ws")
	if ws.bucket != nil {
		return
	}
	bucket := h.node.bucket(now, "ws")
	if bucket == nil {
		return
	}
	switch sim.mutation {
	case mutationStartsFull:
		bucket.inherited, bucket.level.at, bucket.level.tokens = 0, now, bucket.share.Burst
	case mutationIgnoresInherited:
		bucket.inherited = 0
	}
}

func (sim *simulation) revertMutation(h *simHost) {
	if sim.mutation != mutationNoCapacityRule {
		return
	}
	if bucket := h.node.workspace("ws").bucket; bucket != nil {
		bucket.share = h.node.share("ws")
	}
}

// The following functions restrict the conditions to those under which one mutation or fault can lead to a violation of
// the bound.
func takeover(c *conditions) {
	c.oneZone, c.tokensPerSecond, c.faults = true, 1000, []int{1}
	c.lossPercent, c.latePercent, c.propagationDelay, c.maxIdle = 0, 0, 50*time.Millisecond, 4*time.Second
	c.arrivalEvery, c.largePercent, c.fullPercent, c.longPercent = 100*time.Millisecond, 0, 100, 0
	c.maxPause = time.Second
}

func grantsInFlight(lateDelay time.Duration) func(c *conditions) {
	return func(c *conditions) {
		takeover(c)
		c.tokensPerSecond, c.latePercent, c.lateDelay, c.largePercent = 3000, 50, lateDelay, 50
		c.arrivalEvery, c.maxIdle = 400*time.Millisecond, lateDelay
	}
}

func ownershipMoves(c *conditions) {
	takeover(c)
	c.propagationDelay, c.faults, c.arrivalEvery = 6*time.Second, []int{4}, 10*time.Millisecond
}

func unresponsiveBorrower(c *conditions) {
	takeover(c)
	c.maxPause, c.faults, c.faultsOnLastHost, c.usePercent = 33*time.Second, []int{0}, true, 10
	c.arrivalEvery, c.tokensPerSecond, c.largePercent = 10*time.Millisecond, 300, 20
}

// scriptedRuns are sequences that random exploration reaches too rarely. Each returns the admissions of a run with
// or without the fault.
var scriptedRuns = map[string]func(faulty bool) []*simAdmission{
	"term counted from receipt of the grant": func(faulty bool) []*simAdmission {
		first, successor, b := newScriptedRun(10 * time.Millisecond)
		grant := first.Draw(scriptTime(0), 1, 1000, 1000)
		sent := scriptTime(0)
		if faulty {
			sent = scriptTime(6 * time.Second)
		}
		b.Add(scriptTime(6*time.Second), sent, Lender{}, grant)
		return admitAll(6*time.Second, successor, b)
	},
	"refill before short grants of the predecessor have ended": func(faulty bool) []*simAdmission {
		first, successor, b := newScriptedRun(10 * time.Millisecond)
		b.Add(scriptTime(900*time.Millisecond), scriptTime(0), Lender{}, first.Draw(scriptTime(0), 1, 1000, 1000))
		if faulty {
			successor.level.at = scriptTime(10 * time.Millisecond)
		}
		return admitAll(900*time.Millisecond, successor, b)
	},
	"refund of an expired entry": func(faulty bool) []*simAdmission {
		bucket, _, b := newScriptedRun(0)
		b.Add(scriptTime(0), scriptTime(0), Lender{}, bucket.Draw(scriptTime(0), 1, 1000, 1000))
		ReleaseParts(b.Take(scriptTime(0), 1000))
		bucket.Advance(scriptTime(35 * time.Second))
		late := 40 * time.Second
		admitted := admitAll(late, bucket, &Borrower{})
		bucket.Settle(scriptTime(late), 1, 0, 1000)
		if faulty {
			bucket.level.tokens += 1000
		}
		return append(admitted, admitAll(late, bucket, &Borrower{})...)
	},
}

func scriptTime(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

// newScriptedRun returns a full bucket, its successor that takes over at the given time, and a borrower.
func newScriptedRun(takeover time.Duration) (first, successor *Bucket, b *Borrower) {
	share := Share{Burst: 1000, Rate: 1000 * nano}
	return NewBucket(scriptTime(-time.Minute), share), NewBucket(scriptTime(takeover), share), &Borrower{}
}

// admitAll admits all tokens of a home host and a borrower.
func admitAll(at time.Duration, bucket *Bucket, b *Borrower) []*simAdmission {
	now := scriptTime(at)
	fromHome, fromGrants := bucket.Level(now), b.Free(now)
	bucket.Reserve(now, fromHome)
	bucket.Use(fromHome)
	b.Take(now, fromGrants)
	return []*simAdmission{{at: at, reserved: fromHome}, {at: at, reserved: fromGrants}}
}

func TestScriptedRuns(t *testing.T) {
	for name, script := range scriptedRuns {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			sim := &simulation{conditions: conditions{tokensPerSecond: 1000}}
			sim.admitted = script(false)
			g.Expect(sim.check()).To(Succeed())
			sim.admitted = script(true)
			g.Expect(sim.check()).NotTo(Succeed())
		})
	}
}

// Guards against tokens that are refilled twice: the successor refills its bucket from its takeover, so the bucket
// of the host that left must not refill until it is handed over.
func TestLeaveStopsRefill(t *testing.T) {
	g := NewWithT(t)
	self, other := host.ID{Name: "a", Addr: "a", Zone: "za"}, host.ID{Name: "b", Addr: "b", Zone: "za"}
	n := NewHostState(self)
	snapshot := config.NewSnapshot(1, []rules.Rule{
		&rules.Zone{Name: "za", Share: 1}, &rules.Workspace{Name: "ws", Rate: 100, Burst: 1000},
	})
	known := func(uint64) bool { return true }
	n.Sync(scriptTime(0), membership.Epoch{Number: 1, Hosts: []host.ID{self}}, snapshot, known)
	a, err := n.Admit(scriptTime(time.Minute), "ws", 1000)
	g.Expect(err).NotTo(HaveOccurred())
	a.Use(1000)
	n.Leave(scriptTime(time.Minute))
	n.Sync(scriptTime(time.Minute), membership.Epoch{Number: 2, Hosts: []host.ID{other}}, snapshot, known)
	reply := n.HandOver(scriptTime(time.Minute+5*time.Second), other, 2)
	g.Expect(reply.GetBuckets()).To(HaveLen(1))
	g.Expect(reply.GetBuckets()[0].GetLevel()).To(BeZero())
}

// exploreSeeds is the number of fleets that are explored per case. mutationSeeds is the largest number of seeds
// within which a mutation must be detected.
const exploreSeeds, mutationSeeds = 15, 100

var explorationCases = []struct {
	name     string
	mutation mutation
	focus    func(c *conditions)
	// firstSeed is a little smaller than a seed that detects the mutation, to save time.
	firstSeed uint64
}{
	{"borrower refills its grants", mutationBorrowerRefills, nil, 0},
	{"refund above the capacity", mutationNoCapacityRule, nil, 0},
	{"new home host starts full", mutationStartsFull, nil, 0},
	{"capacity not reduced after a takeover", mutationIgnoresInherited, takeover, 40},
	{"new home host skips acknowledgements", mutationSkipsAcknowledgements, ownershipMoves, 110},
	{"grants in flight at a takeover", noMutation, grantsInFlight(time.Second), 0},
	{"grants delayed beyond their term", noMutation, grantsInFlight(7 * time.Second), 0},
	{"borrower without settlements beyond the entry TTL", noMutation, unresponsiveBorrower, 0},
	{"host drains and leaves", noMutation, func(c *conditions) { takeover(c); c.faults = []int{5} }, 0},
	{"share increased at once", mutationImmediateShareIncrease, func(c *conditions) { c.faults = []int{3} }, 0},
}

// Guards against every known sequence in which a fleet admits more than burst + rate * window.
func TestExploreBound(t *testing.T) {
	for _, c := range explorationCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := c.firstSeed; seed < c.firstSeed+exploreSeeds; seed++ {
				if err := newSimulation(seed, noMutation, c.focus).run(); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
			}
		})
	}
}

// Guards against an exploration that does not detect a known faulty variant.
func TestExploreDetectsMutations(t *testing.T) {
	for _, c := range explorationCases {
		if c.mutation == noMutation {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var err error
			for seed := c.firstSeed; seed < c.firstSeed+mutationSeeds && err == nil; seed++ {
				if err = newSimulation(seed, c.mutation, c.focus).run(); err != nil {
					t.Logf("seed %d: %v", seed, err)
				}
			}
			NewWithT(t).Expect(err).To(HaveOccurred())
		})
	}
}
