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
	// settleTime exceeds a takeover wait, a command and a backoff together.
	settleTime = 5 * time.Minute
)

// TestScenarios injects a fault into a fleet with one engine and changes the declared model meanwhile. Afterwards the
// engine must have the declared state after few commands, and no invariant may have been violated.
func TestScenarios(t *testing.T) {
	for _, c := range []struct {
		name string
		// maxCommands is the largest permitted number of applied commands.
		maxCommands int
		run         func(f *fleet)
	}{
		// Guards against commands to engines that already have the declared state, and against two hosts that both
		// send commands because their epochs differ.
		{"two hosts race", 1, func(f *fleet) { f.setEpochs("a", "b"); f.declareModel("m2") }},
		// Guards against a command that an owner sends after a pause during which its lease expired.
		{"owner pauses beyond its lease", 2, pausedOwner},
		// Guards against repeating a command when its response was lost but the state shows its effect.
		{"responses lost", 1, func(f *fleet) {
			f.loseResponses = 3
			f.hosts["a"].client.LoseResponses(3)
			f.declareModel("m2")
		}},
		// Guards against treating a command as ended because its connection was cut or because the rules were changed
		// back to the engine's state, and against a hand-over while the command is being executed.
		{"connection cut while the engine executes a command", 3, func(f *fleet) {
			f.execution, f.cutConnections = 28*time.Second, 1
			f.declareModel("m3")
			time.Sleep(7 * time.Second)
			f.declareModel("m1")
			time.Sleep(7 * time.Second)
			f.declareModel("m2")
			f.setEpochs("b", "b")
		}},
		// Guards against commands without a lease.
		{"store outage", 1, func(f *fleet) {
			f.hosts["a"].client.SetDown(true)
			time.Sleep(time.Minute)
			f.declareModel("m2")
			time.Sleep(settleTime)
			if f.commands() != 0 {
				f.t.Error("command sent without a lease")
			}
			f.hosts["a"].client.SetDown(false)
		}},
		// Guards against relying on an earlier read of the state after the engine has lost its model.
		{"engine loses its model", 2, func(f *fleet) {
			f.declareModel("m2")
			time.Sleep(settleTime)
			f.cores["s0"].Crash()
			s, _ := f.cores["s0"].State(context.Background())
			_ = f.cores["s0"].Apply(context.Background(), engine.Command{Fence: s.Fence, Model: "none"})
		}},
		// Guards against an owner that can never command an engine that has received a higher fencing token.
		{"fencing token too low", 1, func(f *fleet) {
			s := f.hosts["a"].service
			s.mu.Lock()
			fence := s.reconcilers["s0"].fence
			s.mu.Unlock()
			_ = f.cores["s0"].Apply(context.Background(), engine.Command{Fence: fence + 1})
			f.declareModel("m2")
		}},
	} {
		for _, fencing := range []rules.Fencing{checked, unchecked} {
			t.Run(c.name+" "+string(fencing), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					f := newFleet(t, 1, fencing, variant{})
					f.setEpochs("a", "a")
					time.Sleep(settleTime)
					c.run(f)
					time.Sleep(settleTime)
					g.Expect(f.serving("m2")).To(BeTrue())
					g.Expect(f.commands()).To(And(BeNumerically(">=", 1), BeNumerically("<=", c.maxCommands)))
					g.Expect(f.violated()).To(BeEmpty())
				})
			})
		}
	}
}

// pausedOwner pauses host a between its read of the state and its command, until host b has sent a command.
func pausedOwner(f *fleet) {
	f.hosts["a"].pause(4 * time.Minute)
	f.declareRole(rules.RolePrefill)
	f.setEpochs("a", "b")
	time.Sleep(5 * time.Minute)
	f.declareModel("m2")
}

// expiringOwner sends a long command at the end of the lease term that it relies on, although the store has expired the
// lease early.
func expiringOwner(f *fleet) {
	f.execution = 25 * time.Second
	f.hosts["a"].client.SetDown(true)
	f.setEpochs("a", "b")
	s := f.hosts["a"].service
	s.mu.Lock()
	end := s.lease.end
	f.store.ExpireLease(s.leaseID)
	s.mu.Unlock()
	time.Sleep(time.Until(end) - 6*time.Second)
	f.declareRole(rules.RolePrefill)
	time.Sleep(settleTime)
}

// Guards against invariant checks that cannot fail: the unmodified service violates no invariant in either schedule,
// and each variant without a safety rule violates one in its schedule.
func TestBrokenVariantsAreCaught(t *testing.T) {
	for _, c := range []struct {
		name     string
		v        variant
		run      func(f *fleet)
		violated bool
	}{
		{"pause", variant{}, pausedOwner, false},
		{"pause, no check of the lease", variant{noLeaseCheck: true}, pausedOwner, true},
		{"takeover", variant{}, expiringOwner, false},
		{"takeover, no wait", variant{noWait: true}, expiringOwner, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1, unchecked, c.v)
				f.setEpochs("a", "a")
				time.Sleep(settleTime)
				c.run(f)
				time.Sleep(settleTime)
				NewWithT(t).Expect(len(f.violated()) > 0).To(Equal(c.violated), "%v", f.violated())
			})
		})
	}
}

// Guards against an engine that checks fencing tokens and still applies a delayed command of an earlier owner after a
// command of a later one.
func TestLateCommandIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(t, 1, checked, variant{})
		f.setEpochs("a", "a")
		time.Sleep(settleTime)
		f.deliveryDelay = 10 * time.Minute
		f.declareModel("m2")
		time.Sleep(6 * time.Second)
		f.mu.Lock()
		f.deliveryDelay = 0
		f.mu.Unlock()
		f.setEpochs("b", "b")
		time.Sleep(settleTime)
		f.declareModel("m3")
		time.Sleep(2 * settleTime)
		g.Expect(f.serving("m3")).To(BeTrue())
		g.Expect(f.commands()).To(Equal(2))
		g.Expect(f.violated()).To(BeEmpty())
	})
}

// Guards against commands without backoff to an engine that accepts commands and does not execute them.
func TestIgnoredCommandsBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(t, 1, unchecked, variant{})
		f.setEpochs("a", "a")
		time.Sleep(settleTime)
		f.ignoreCommands = true
		f.declareModel("m2")
		time.Sleep(time.Hour)
		g.Expect(f.commands()).To(And(BeNumerically(">", 20), BeNumerically("<", 40)))
		g.Expect(f.hosts["a"].metrics.Count(metricDrifts)).To(BeNumerically(">", 20))
	})
}

// Guards against overloading the weight store when many engines of a zone change their model at once, and against load
// slots that are never released.
func TestLoadsPerZoneAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(t, 8, checked, variant{})
		f.execution = 10 * time.Second
		f.setEpochs("ab", "ab")
		time.Sleep(settleTime)
		f.declareModel("m2")
		time.Sleep(settleTime)
		f.declareModel("m3")
		time.Sleep(settleTime)
		g.Expect(f.serving("m3")).To(BeTrue())
		g.Expect(f.maxLoads).To(Equal(defaultLoads))
	})
}

// Guards against a takeover wait after a hand-over, and against a hand-over record written by an owner that is itself
// still in its takeover wait.
func TestHandOver(t *testing.T) {
	for _, c := range []struct {
		name      string
		after     time.Duration
		immediate bool
	}{{"after the wait", settleTime, true}, {"during the wait", 20 * time.Second, false}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newFleet(t, 1, unchecked, variant{})
				f.setEpochs("a", "a")
				time.Sleep(c.after)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				g.Expect(f.hosts["a"].service.Drain(ctx)).To(Succeed())
				f.setEpochs("b", "b")
				f.declareModel("m2")
				time.Sleep(20 * time.Second)
				g.Expect(f.serving("m2")).To(Equal(c.immediate))
				time.Sleep(settleTime)
				g.Expect(f.serving("m2")).To(BeTrue())
			})
		})
	}
}

// Guards against schedules that the cases above do not cover. Faults, epochs and rules change at random and overlap;
// the invariants hold throughout, and the declared state is reached after the last fault.
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
					switch r.IntN(10) {
					case 0:
						f.setEpochs(views[r.IntN(4)], views[r.IntN(4)])
					case 1:
						h.pause(time.Duration(r.IntN(120)) * time.Second)
					case 2:
						h.client.SetDown(r.IntN(2) == 0)
					case 3:
						h.client.LoseResponses(r.IntN(3))
					case 4, 5:
						f.declareModel([]string{"m1", "m2", "m3"}[r.IntN(3)])
					case 6:
						f.declareRole([]rules.Role{rules.RoleBoth, rules.RolePrefill}[r.IntN(2)])
					case 7:
						h.client.SetDelay(time.Duration(r.IntN(1500)) * time.Millisecond)
					case 8:
						// The store expires a lease early.
						h.service.mu.Lock()
						f.store.ExpireLease(h.service.leaseID)
						h.service.mu.Unlock()
					case 9:
						f.mu.Lock()
						f.execution, f.loseResponses, f.cutConnections = time.Duration(r.IntN(29))*time.Second, r.IntN(3), r.IntN(4)
						f.mu.Unlock()
					}
					time.Sleep(time.Duration(r.IntN(30_000)) * time.Millisecond)
				}
				for _, h := range f.hosts {
					h.client.SetDown(false)
					h.client.SetDelay(0)
				}
				f.setEpochs("ab", "ab")
				f.declareModel("m9")
				time.Sleep(2 * settleTime)
				g.Expect(f.serving("m9")).To(BeTrue(), "seed %d", seed)
				g.Expect(f.violated()).To(BeEmpty(), "seed %d", seed)
			})
		}
	}
}
