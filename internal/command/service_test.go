package command

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/rules"
)

const (
	checked   = rules.FencingChecked
	unchecked = rules.FencingUnchecked
	// settled is longer than a takeover, a command and a backoff together.
	settled = 5 * time.Minute
)

// TestScenarios drives one engine through a fault, changes the declared model in it, and expects the declared state
// afterwards, few commands, and no violation of the invariant.
func TestScenarios(t *testing.T) {
	for _, c := range []struct {
		name string
		// most is how many applied commands are enough.
		most int
		run  func(f *fleet)
	}{
		// Guards against commands to engines that already serve what is declared, and against two hosts that both
		// command because their epochs differ.
		{"two hosts race", 1, func(f *fleet) { f.home("a", "b"); f.declare("m2") }},
		// Guards against a command sent after a pause beyond the lease.
		{"owner pauses beyond its lease", 2, pausedOwner},
		// Guards against repeating a command whose effect the state shows.
		{"answers lost", 1, func(f *fleet) {
			f.lose = 3
			f.hosts["a"].client.LoseAnswers(3)
			f.declare("m2")
		}},
		// Guards against commands without a lease.
		{"store outage", 1, func(f *fleet) {
			f.hosts["a"].client.SetDown(true)
			time.Sleep(time.Minute)
			f.declare("m2")
			time.Sleep(settled)
			if f.commands() != 0 {
				f.t.Error("command sent without a lease")
			}
			f.hosts["a"].client.SetDown(false)
		}},
		// Guards against trusting an earlier read-back after the engine has lost its model.
		{"engine forgets its model", 2, func(f *fleet) {
			f.declare("m2")
			time.Sleep(settled)
			f.cores["s0"].Crash()
			s, _ := f.cores["s0"].State(context.Background())
			_ = f.cores["s0"].Apply(context.Background(), engine.Command{Fence: s.Fence, Model: "none"})
		}},
		// Guards against an owner that never gets past an engine that has seen a higher number.
		{"fencing number too low", 1, func(f *fleet) {
			s := f.hosts["a"].service
			s.mu.Lock()
			fence := s.machines["s0"].fence
			s.mu.Unlock()
			_ = f.cores["s0"].Apply(context.Background(), engine.Command{Fence: fence + 1})
			f.declare("m2")
		}},
	} {
		for _, fencing := range []rules.Fencing{checked, unchecked} {
			t.Run(c.name+" "+string(fencing), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					f := newFleet(t, 1, fencing, variant{})
					f.home("a", "a")
					time.Sleep(settled)
					c.run(f)
					time.Sleep(settled)
					g.Expect(f.serving("m2")).To(BeTrue())
					g.Expect(f.commands()).To(And(BeNumerically(">=", 1), BeNumerically("<=", c.most)))
					g.Expect(f.faulty()).To(BeEmpty())
				})
			})
		}
	}
}

// pausedOwner pauses host a between its read of the state and the command, until host b has commanded.
func pausedOwner(f *fleet) {
	f.hosts["a"].pause(4 * time.Minute)
	f.declareRole(rules.RolePrefill)
	f.home("a", "b")
	time.Sleep(5 * time.Minute)
	f.declare("m2")
}

// dyingOwner sends a long command just before its lease lapses.
func dyingOwner(f *fleet) {
	f.work = 25 * time.Second
	f.hosts["a"].client.SetDown(true)
	f.home("a", "b")
	s := f.hosts["a"].service
	s.mu.Lock()
	end := s.lease.end
	s.mu.Unlock()
	time.Sleep(time.Until(end) - 6*time.Second)
	f.declareRole(rules.RolePrefill)
	time.Sleep(settled)
}

// Guards against checks that cannot fail: the rules hold in both schedules, and each broken variant violates the
// invariant in one of them.
func TestBrokenVariantsAreCaught(t *testing.T) {
	for _, c := range []struct {
		name   string
		v      variant
		run    func(f *fleet)
		faulty bool
	}{
		{"pause", variant{}, pausedOwner, false},
		{"pause, no check of the lease", variant{noLeaseCheck: true}, pausedOwner, true},
		{"takeover", variant{}, dyingOwner, false},
		{"takeover, no wait", variant{noWait: true}, dyingOwner, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1, unchecked, c.v)
				f.home("a", "a")
				time.Sleep(settled)
				c.run(f)
				time.Sleep(settled)
				NewWithT(t).Expect(len(f.faulty()) > 0).To(Equal(c.faulty), "%v", f.faulty())
			})
		})
	}
}

// Guards against a checked engine whose delayed command of an earlier owner is applied after a later one's.
func TestLateCommandIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(t, 1, checked, variant{})
		f.home("a", "a")
		time.Sleep(settled)
		f.late = 10 * time.Minute
		f.declare("m2")
		time.Sleep(6 * time.Second)
		f.mu.Lock()
		f.late = 0
		f.mu.Unlock()
		f.home("b", "b")
		time.Sleep(settled)
		f.declare("m3")
		time.Sleep(2 * settled)
		g.Expect(f.serving("m3")).To(BeTrue())
		g.Expect(f.commands()).To(Equal(2))
		g.Expect(f.faulty()).To(BeEmpty())
	})
}

// Guards against a command storm at an engine that answers and does nothing.
func TestIgnoredCommandsBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(t, 1, unchecked, variant{})
		f.home("a", "a")
		time.Sleep(settled)
		f.ignore = true
		f.declare("m2")
		time.Sleep(time.Hour)
		g.Expect(f.commands()).To(And(BeNumerically(">", 20), BeNumerically("<", 40)))
		g.Expect(f.hosts["a"].metrics.Count(metricDrifts)).To(BeNumerically(">", 20))
	})
}

// Guards against a rush on the weight store when many engines of a zone change their model, and against load slots
// that are never given back.
func TestLoadsPerZoneAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(t, 8, checked, variant{})
		f.work = 10 * time.Second
		f.home("ab", "ab")
		time.Sleep(settled)
		f.declare("m2")
		time.Sleep(settled)
		f.declare("m3")
		time.Sleep(settled)
		g.Expect(f.serving("m3")).To(BeTrue())
		g.Expect(f.maxLoads).To(Equal(defaultLoads))
	})
}

// Guards against a wait after an orderly hand-over, and against an announcement by an owner that has not waited out
// its own predecessor.
func TestHandOver(t *testing.T) {
	for _, c := range []struct {
		name  string
		after time.Duration
		fast  bool
	}{{"after the wait", settled, true}, {"during the wait", 20 * time.Second, false}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newFleet(t, 1, unchecked, variant{})
				f.home("a", "a")
				time.Sleep(c.after)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				g.Expect(f.hosts["a"].service.Drain(ctx)).To(Succeed())
				f.home("b", "b")
				f.declare("m2")
				time.Sleep(20 * time.Second)
				g.Expect(f.serving("m2")).To(Equal(c.fast))
				time.Sleep(settled)
				g.Expect(f.serving("m2")).To(BeTrue())
			})
		})
	}
}

// Guards against schedules that the cases above leave out: faults, epochs and rules change at random, twice and
// together; the invariant holds throughout and the declared state is reached after the last fault.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(30) {
		for _, fencing := range []rules.Fencing{checked, unchecked} {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				r := rand.New(rand.NewPCG(seed, 1))
				f := newFleet(t, 2, fencing, variant{})
				views := []string{"a", "b", "ab", ""}
				for range 100 {
					h := f.hosts[views[r.IntN(2)]]
					switch r.IntN(8) {
					case 0:
						f.home(views[r.IntN(4)], views[r.IntN(4)])
					case 1:
						h.pause(time.Duration(r.IntN(120)) * time.Second)
					case 2:
						h.client.SetDown(r.IntN(2) == 0)
					case 3:
						h.client.LoseAnswers(r.IntN(3))
					case 4, 5:
						f.declare([]string{"m1", "m2", "m3"}[r.IntN(3)])
					case 6:
						f.declareRole([]rules.Role{rules.RoleBoth, rules.RolePrefill}[r.IntN(2)])
					case 7:
						f.mu.Lock()
						f.work, f.lose = time.Duration(r.IntN(29))*time.Second, r.IntN(3)
						f.mu.Unlock()
					}
					time.Sleep(time.Duration(r.IntN(30_000)) * time.Millisecond)
				}
				for _, h := range f.hosts {
					h.client.SetDown(false)
				}
				f.home("ab", "ab")
				f.declare("m9")
				time.Sleep(2 * settled)
				g.Expect(f.serving("m9")).To(BeTrue(), "seed %d", seed)
				g.Expect(f.faulty()).To(BeEmpty(), "seed %d", seed)
			})
		}
	}
}
