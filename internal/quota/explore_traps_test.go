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

// spoil breaks the host's state before an event in the way of the trap; unspoil takes back what must not add up.
func (w *world) spoil(h *simHost, now time.Time) {
	if w.trap == noTrap {
		return
	}
	n := h.node
	ws := n.workspace("ws")
	switch w.trap {
	case trapRateLent:
		// A borrower refills its grants at a part of the rate, which the lender refills as well.
		for _, g := range ws.borrower.grants {
			if g.used+g.reserved > 0 && g.amount < 100 {
				g.amount += 10
			}
		}
	case trapNoCap:
		if ws.home != nil {
			ws.home.share.Burst += ws.home.ownReserved + ws.home.unsettled
		}
	case trapStartsFull, trapNoReducedCap:
		w.spoilTakeover(h, now)
	case trapNoHandOverWait:
		for _, peer := range n.ownership.Waiting() {
			n.ownership.Acked(peer.Name, n.ownership.Number())
		}
		n.ownership.Advance(now, func(uint64) bool { return true })
		fallthrough
	case trapShareRaisedAtOnce:
		if last := n.divisions.newest(); last != nil {
			last.complete, last.effectiveAt = true, now
			n.divisions.Advance(now)
			n.applyShares(now)
		}
	}
}

func (w *world) spoilTakeover(h *simHost, now time.Time) {
	ws := h.node.workspace("ws")
	if ws.home != nil {
		return
	}
	home := h.node.home(now, "ws")
	if home == nil {
		return
	}
	switch w.trap {
	case trapStartsFull:
		home.inherited, home.level.at, home.level.tokens = 0, now, home.share.Burst
	case trapNoReducedCap:
		home.inherited = 0
	}
}

func (w *world) unspoil(h *simHost) {
	if w.trap != trapNoCap {
		return
	}
	if home := h.node.workspace("ws").home; home != nil {
		home.share = h.node.share("ws")
	}
}

// Focuses narrow the conditions down to those in which one trap shows.
func takeover(c *conditions) {
	c.oneZone, c.tokensPerSecond, c.faults = true, 1000, []int{1}
	c.lossPercent, c.latePercent, c.learn, c.quiet = 0, 0, 50*time.Millisecond, 4*time.Second
	c.arrivalEvery, c.largePercent, c.fullPercent, c.longPercent = 100*time.Millisecond, 0, 100, 0
	c.pause = time.Second
}

func inFlight(late time.Duration) func(c *conditions) {
	return func(c *conditions) {
		takeover(c)
		c.tokensPerSecond, c.latePercent, c.late, c.largePercent = 3000, 50, late, 50
		c.arrivalEvery, c.quiet = 400*time.Millisecond, late
	}
}

func moves(c *conditions) {
	takeover(c)
	c.learn, c.faults, c.arrivalEvery = 6*time.Second, []int{4}, 10*time.Millisecond
}

func silence(c *conditions) {
	takeover(c)
	c.pause, c.faults, c.onlyLast, c.usePercent = 33*time.Second, []int{0}, true, 10
	c.arrivalEvery, c.tokensPerSecond, c.largePercent = 10*time.Millisecond, 300, 20
}

// scripts are runs too rare for random exploration. Each returns the admissions of one broken or sound fleet.
var scripts = map[string]func(broken bool) []*simAdmission{
	"terms count from receipt": func(broken bool) []*simAdmission {
		first, successor, b := scripted(10 * time.Millisecond)
		grant := first.Draw(scriptTime(0), 1, 1000, 1000)
		sent := scriptTime(0)
		if broken {
			sent = scriptTime(6 * time.Second)
		}
		b.Add(scriptTime(6*time.Second), sent, Lender{}, grant)
		return spendBoth(6*time.Second, successor, b)
	},
	"short grants ignored at a takeover": func(broken bool) []*simAdmission {
		first, successor, b := scripted(10 * time.Millisecond)
		b.Add(scriptTime(900*time.Millisecond), scriptTime(0), Lender{}, first.Draw(scriptTime(0), 1, 1000, 1000))
		if broken {
			successor.level.at = scriptTime(10 * time.Millisecond)
		}
		return spendBoth(900*time.Millisecond, successor, b)
	},
	"refund of a closed entry": func(broken bool) []*simAdmission {
		home, _, b := scripted(0)
		b.Add(scriptTime(0), scriptTime(0), Lender{}, home.Draw(scriptTime(0), 1, 1000, 1000))
		Release(b.Take(scriptTime(0), 1000))
		home.Advance(scriptTime(35 * time.Second))
		late := 40 * time.Second
		admitted := spendBoth(late, home, &Borrower{})
		home.Settle(scriptTime(late), 1, 0, 1000)
		if broken {
			home.level.tokens += 1000
		}
		return append(admitted, spendBoth(late, home, &Borrower{})...)
	},
}

func scriptTime(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

// scripted returns a full bucket, its successor that takes over after a while, and a borrower.
func scripted(takeover time.Duration) (first, successor *Home, b *Borrower) {
	share := Share{Burst: 1000, Rate: 1000 * nano}
	return NewHome(scriptTime(-time.Minute), share), NewHome(scriptTime(takeover), share), &Borrower{}
}

// spendBoth admits all that a home host and a borrower have.
func spendBoth(at time.Duration, h *Home, b *Borrower) []*simAdmission {
	now := scriptTime(at)
	fromHome, fromGrants := h.Level(now), b.Free(now)
	h.Reserve(now, fromHome)
	h.Use(fromHome)
	b.Take(now, fromGrants)
	return []*simAdmission{{at: at, reserved: fromHome}, {at: at, reserved: fromGrants}}
}

func TestScriptedTraps(t *testing.T) {
	for name, script := range scripts {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := &world{conditions: conditions{tokensPerSecond: 1000}}
			w.admitted = script(false)
			g.Expect(w.check()).To(Succeed())
			w.admitted = script(true)
			g.Expect(w.check()).NotTo(Succeed())
		})
	}
}

// The successor refills from its takeover. If the bucket of the host that left went on refilling until it was handed
// over, that time would count twice.
func TestLeaveStopsRefill(t *testing.T) {
	g := NewWithT(t)
	self, other := host.ID{Name: "a", Addr: "a", Zone: "za"}, host.ID{Name: "b", Addr: "b", Zone: "za"}
	n := NewNode(self)
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
	answer := n.HandOver(scriptTime(time.Minute+5*time.Second), other, 2)
	g.Expect(answer.GetBuckets()).To(HaveLen(1))
	g.Expect(answer.GetBuckets()[0].GetLevel()).To(BeZero())
}

// exploreSeeds is how many fleets are explored in each focus, trapSeeds how many it may take to catch a trap.
const exploreSeeds, trapSeeds = 15, 100

var traps = []struct {
	name  string
	trap  trap
	focus func(c *conditions)
	// from is the first seed, near one that catches the trap.
	from uint64
}{
	{"rate is lent", trapRateLent, nil, 0},
	{"refund without the cap rule", trapNoCap, nil, 0},
	{"new home host starts full", trapStartsFull, nil, 0},
	{"no reduced cap after a takeover", trapNoReducedCap, takeover, 40},
	{"new home host does not wait", trapNoHandOverWait, moves, 110},
	{"grants in flight at a takeover", noTrap, inFlight(time.Second), 0},
	{"grants in flight for long", noTrap, inFlight(7 * time.Second), 0},
	{"long silence of a borrower", noTrap, silence, 0},
	{"clean leave", noTrap, func(c *conditions) { takeover(c); c.faults = []int{5} }, 0},
	{"share raised at once", trapShareRaisedAtOnce, func(c *conditions) { c.faults = []int{3} }, 0},
}

// Guards against every way found so far in which a fleet admits more than burst + rate * window.
func TestExploreBound(t *testing.T) {
	for _, c := range traps {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := c.from; seed < c.from+exploreSeeds; seed++ {
				if err := newWorld(seed, noTrap, c.focus).run(); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
			}
		})
	}
}

// Guards against an exploration that would miss a known trap.
func TestExploreCatchesTraps(t *testing.T) {
	for _, c := range traps {
		if c.trap == noTrap {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var err error
			for seed := c.from; seed < c.from+trapSeeds && err == nil; seed++ {
				if err = newWorld(seed, c.trap, c.focus).run(); err != nil {
					t.Logf("seed %d: %v", seed, err)
				}
			}
			NewWithT(t).Expect(err).To(HaveOccurred())
		})
	}
}
