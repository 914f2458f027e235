package config

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/membership"
)

// simulation runs the state machines of several hosts against an abstract store and network. Messages may be lost,
// delayed and reordered, hosts restart, and epochs change by the rules of membership.
type simulation struct {
	now   time.Time
	head  Head
	epoch membership.Epoch
	// previous is the previous epoch; changeEpoch needs it to decide whether the next one may be proposed.
	previous membership.Epoch
	hosts    []*simHost
	acks     []ack
	open     []*attempt
}

type simHost struct {
	id    host.ID
	m     *stateMachine
	inbox []func(*stateMachine)
}

// ack is a change that was acknowledged to its operator, and when.
type ack struct {
	generation uint64
	at         time.Time
}

// attempt is an accepted change that is not acknowledged yet.
type attempt struct {
	applier    *simHost
	id         host.ID
	head       Head
	underEpoch uint64
	replies    map[string]uint64
}

func newSimulation(n int) *simulation {
	sim := &simulation{now: time.Unix(1000, 0)}
	for i := range n {
		h := &simHost{id: host.ID{Name: fmt.Sprint("h", i), Addr: fmt.Sprint("h", i), Zone: fmt.Sprint("z", i%2)}}
		sim.hosts = append(sim.hosts, h)
		sim.restart(h)
	}
	sim.epoch.Number = 1
	for _, h := range sim.hosts[:max(1, n-2)] {
		sim.epoch.Hosts = append(sim.epoch.Hosts, h.id)
	}
	return sim
}

func (sim *simulation) restart(h *simHost) {
	h.id.Incarnation++
	h.m, h.inbox = newStateMachine(h.id, sim.now), nil
	sim.open = slices.DeleteFunc(sim.open, func(a *attempt) bool { return a.applier == h })
}

// queueReply queues the reply of host to, in its current state, to a GetHead call of host from.
func (sim *simulation) queueReply(from, to *simHost) {
	m := to.m
	r := reply{from: to.id, generation: m.installed.Generation, sentAt: sim.now, epoch: m.epoch.Number, configEpoch: m.configEpoch}
	head, a, storeAge := m.installed, age(sim.now, m.confirmedAt), age(sim.now, m.storeConfirmedAt)
	from.inbox = append(from.inbox, func(m *stateMachine) { m.recordReply(r, head, a, storeAge, sim.now) })
}

// commit accepts a change through a host, provided that it knows the stored epoch and its target is not above the
// stored head.
func (sim *simulation) commit(h *simHost) {
	if h.m.epoch.Number != sim.epoch.Number || h.m.target.Generation > sim.head.Generation {
		return
	}
	g := sim.head.Generation + 1
	sim.head = Head{Generation: g, Index: hashOf(fmt.Sprint(g))}
	h.m.raiseTarget(sim.head)
	h.m.install(sim.head)
	sim.open = append(sim.open, &attempt{applier: h, id: h.id, head: sim.head, underEpoch: sim.epoch.Number, replies: map[string]uint64{}})
}

func (sim *simulation) push(a *attempt, to *simHost) {
	to.m.raiseTarget(a.head)
	if _, ok := to.m.wanted(sim.now); ok {
		to.m.install(to.m.target)
	}
	a.replies[to.id.String()] = to.m.installed.Generation
}

func (sim *simulation) acknowledge(a *attempt) {
	holds := func(id host.ID) bool {
		if id == a.applier.id {
			return a.applier.m.installed.Generation >= a.head.Generation
		}
		return a.replies[id.String()] >= a.head.Generation
	}
	if a.applier.m.acknowledged(a.underEpoch, holds) {
		sim.acks = append(sim.acks, ack{a.head.Generation, sim.now})
		sim.open = slices.DeleteFunc(sim.open, func(o *attempt) bool { return o == a })
	}
}

// changeEpoch commits an epoch in which one host joins and, if dropStopped is set, stopped incarnations are left out.
// It does nothing while a majority of the previous epoch's hosts do not know the current epoch, which
// stateMachine.acknowledged relies on.
func (sim *simulation) changeEpoch(joiner *simHost, dropStopped bool) {
	unaware := 0
	for _, h := range sim.previous.Hosts {
		for _, s := range sim.hosts {
			if s.id == h && s.m.epoch.Number < sim.epoch.Number {
				unaware++
			}
		}
	}
	if len(sim.previous.Hosts) > 0 && unaware >= majority(len(sim.previous.Hosts)) {
		return
	}
	next := membership.Epoch{Number: sim.epoch.Number + 1}
	for _, h := range sim.epoch.Hosts {
		live := slices.ContainsFunc(sim.hosts, func(s *simHost) bool { return s.id == h })
		if (live || !dropStopped) && h.Name != joiner.id.Name {
			next.Hosts = append(next.Hosts, h)
		}
	}
	next.Hosts = append(next.Hosts, joiner.id)
	sim.previous, sim.epoch = sim.epoch, next
}

// checkConfirmations checks the invariant of confirmations: a host that is confirmed as of a time has installed every
// change that was acknowledged by then.
func (sim *simulation) checkConfirmations(t *rapid.T) {
	for _, h := range sim.hosts {
		for _, a := range sim.acks {
			if !h.m.confirmedAt.IsZero() && !h.m.confirmedAt.Before(a.at) && h.m.installed.Generation < a.generation {
				t.Fatalf("%s is confirmed with generation %d although generation %d was acknowledged earlier", h.id, h.m.installed.Generation, a.generation)
			}
		}
		if h.m.installed.Generation > sim.head.Generation {
			t.Fatalf("%s has generation %d, which was never accepted", h.id, h.m.installed.Generation)
		}
	}
}

// Guards against confirming a host that lacks an acknowledged change: by a relayed confirmation, by a majority, after
// a restart, or across epochs.
func TestConfirmationProperty(t *testing.T) {
	// Faults of this kind are found once in several hundred to several thousand runs, more than rapid's default of 100.
	if flag.Lookup("rapid.checks").Value.String() == "100" {
		_ = flag.Set("rapid.checks", "3000")
		defer func() { _ = flag.Set("rapid.checks", "100") }()
	}
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rapid.IntRange(1, 5).Draw(rt, "hosts"))
		pick := func(rt *rapid.T) *simHost { return rapid.SampledFrom(sim.hosts).Draw(rt, "host") }
		step := func(f func(rt *rapid.T)) func(*rapid.T) {
			return func(rt *rapid.T) {
				sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(rt, "ms")) * time.Millisecond)
				f(rt)
			}
		}
		deliver := func(h *simHost) {
			for len(h.inbox) > 0 {
				h.inbox[0](h.m)
				h.inbox = h.inbox[1:]
			}
			if _, ok := h.m.wanted(sim.now); ok {
				h.m.install(h.m.target)
			}
		}
		read := step(func(rt *rapid.T) {
			h := pick(rt)
			if rapid.Bool().Draw(rt, "epoch") {
				h.m.observeEpoch(sim.epoch, sim.now)
			}
			h.m.recordStoreRead(sim.head, sim.now)
			if rapid.Bool().Draw(rt, "install") {
				deliver(h)
			}
		})
		push := step(func(rt *rapid.T) {
			if len(sim.open) > 0 {
				a := rapid.SampledFrom(sim.open).Draw(rt, "attempt")
				for range 2 {
					sim.push(a, pick(rt))
				}
				sim.acknowledge(a)
			}
		})
		queueReply := step(func(rt *rapid.T) {
			from := pick(rt)
			for range 3 {
				sim.queueReply(from, pick(rt))
			}
			if rapid.Bool().Draw(rt, "deliver") {
				deliver(from)
			}
		})
		rt.Repeat(map[string]func(*rapid.T){
			"read": read, "push": push, "push again": push, "ask": queueReply, "ask again": queueReply, "ask more": queueReply,
			"deliver": step(func(rt *rapid.T) { deliver(pick(rt)) }),
			"commit": step(func(rt *rapid.T) {
				h := pick(rt)
				h.m.observeEpoch(sim.epoch, sim.now)
				sim.commit(h)
			}),
			"restart": step(func(rt *rapid.T) { sim.restart(pick(rt)) }),
			"epoch":   step(func(rt *rapid.T) { sim.changeEpoch(pick(rt), rapid.Bool().Draw(rt, "drop")) }),
			"learn": step(func(rt *rapid.T) {
				a, b := pick(rt), pick(rt)
				a.m.observeEpoch(b.m.epoch, sim.now)
			}),
			"": sim.checkConfirmations,
		})
	})
}
