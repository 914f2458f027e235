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

// world runs state machines of several hosts against an abstract store and network. Messages may be lost, late
// and out of order; hosts restart; epochs change as membership changes them.
type world struct {
	now   time.Time
	head  Head
	epoch membership.Epoch
	// older is the epoch before, for the rule on when the next one may be proposed.
	older membership.Epoch
	hosts []*simHost
	acks  []ack
	open  []*attempt
}

type simHost struct {
	id    host.ID
	m     *machine
	inbox []func(*machine)
}

// ack is a change that its operator was told to be in force.
type ack struct {
	generation uint64
	at         time.Time
}

// attempt is an accepted change that is not acknowledged yet.
type attempt struct {
	applier *simHost
	id      host.ID
	head    Head
	under   uint64
	answers map[string]uint64
}

func newWorld(n int) *world {
	w := &world{now: time.Unix(1000, 0)}
	for i := range n {
		h := &simHost{id: host.ID{Name: fmt.Sprint("h", i), Addr: fmt.Sprint("h", i), Zone: fmt.Sprint("z", i%2)}}
		w.hosts = append(w.hosts, h)
		w.restart(h)
	}
	w.epoch.Number = 1
	for _, h := range w.hosts[:max(1, n-2)] {
		w.epoch.Hosts = append(w.epoch.Hosts, h.id)
	}
	return w
}

func (w *world) restart(h *simHost) {
	h.id.Incarnation++
	h.m, h.inbox = newMachine(h.id, w.now), nil
	w.open = slices.DeleteFunc(w.open, func(a *attempt) bool { return a.applier == h })
}

// ask queues the answer of one host to GetHead of another, as it is now.
func (w *world) ask(from, to *simHost) {
	m := to.m
	r := reply{from: to.id, generation: m.installed.Generation, sentAt: w.now, epoch: m.epoch.Number, configEpoch: m.configEpoch}
	head, a, storeAge := m.installed, age(w.now, m.confirmedAt), age(w.now, m.storeAt)
	from.inbox = append(from.inbox, func(m *machine) { m.peerReply(r, head, a, storeAge, w.now) })
}

// commit accepts a change through a host that knows the stored epoch.
func (w *world) commit(h *simHost) {
	if h.m.epoch.Number != w.epoch.Number || h.m.target.Generation > w.head.Generation {
		return
	}
	g := w.head.Generation + 1
	w.head = Head{Generation: g, Index: hashOf(fmt.Sprint(g))}
	h.m.announced(w.head)
	h.m.install(w.head)
	w.open = append(w.open, &attempt{applier: h, id: h.id, head: w.head, under: w.epoch.Number, answers: map[string]uint64{}})
}

func (w *world) push(a *attempt, to *simHost) {
	to.m.announced(a.head)
	if _, ok := to.m.wanted(w.now); ok {
		to.m.install(to.m.target)
	}
	a.answers[to.id.String()] = to.m.installed.Generation
}

func (w *world) acknowledge(a *attempt) {
	holds := func(id host.ID) bool {
		if id == a.applier.id {
			return a.applier.m.installed.Generation >= a.head.Generation
		}
		return a.answers[id.String()] >= a.head.Generation
	}
	if a.applier.m.acknowledged(a.under, holds) {
		w.acks = append(w.acks, ack{a.head.Generation, w.now})
		w.open = slices.DeleteFunc(w.open, func(o *attempt) bool { return o == a })
	}
}

// change proposes an epoch: one host joins, and incarnations that are gone may be left out. It waits until enough
// of the older epoch's hosts know the present one, as machine.acknowledged requires.
func (w *world) change(joiner *simHost, dropGone bool) {
	unaware := 0
	for _, h := range w.older.Hosts {
		for _, s := range w.hosts {
			if s.id == h && s.m.epoch.Number < w.epoch.Number {
				unaware++
			}
		}
	}
	if len(w.older.Hosts) > 0 && unaware >= majority(len(w.older.Hosts)) {
		return
	}
	next := membership.Epoch{Number: w.epoch.Number + 1}
	for _, h := range w.epoch.Hosts {
		live := slices.ContainsFunc(w.hosts, func(s *simHost) bool { return s.id == h })
		if (live || !dropGone) && h.Name != joiner.id.Name {
			next.Hosts = append(next.Hosts, h)
		}
	}
	next.Hosts = append(next.Hosts, joiner.id)
	w.older, w.epoch = w.epoch, next
}

// check guards the claim behind every confirmation: whoever is confirmed as of a time has every change that was
// acknowledged by then.
func (w *world) check(t *rapid.T) {
	for _, h := range w.hosts {
		for _, a := range w.acks {
			if !h.m.confirmedAt.IsZero() && !h.m.confirmedAt.Before(a.at) && h.m.installed.Generation < a.generation {
				t.Fatalf("%s is confirmed with generation %d although %d was acknowledged before", h.id, h.m.installed.Generation, a.generation)
			}
		}
		if h.m.installed.Generation > w.head.Generation {
			t.Fatalf("%s has generation %d, which was never accepted", h.id, h.m.installed.Generation)
		}
	}
}

// Guards against a confirmation without knowledge of an acknowledged change: by relay, by majority, after a
// restart, and across epochs.
func TestConfirmationProperty(t *testing.T) {
	// Known faults show up in one run of several hundred to several thousand.
	if flag.Lookup("rapid.checks").Value.String() == "100" {
		_ = flag.Set("rapid.checks", "3000")
		defer func() { _ = flag.Set("rapid.checks", "100") }()
	}
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rapid.IntRange(1, 5).Draw(rt, "hosts"))
		pick := func(rt *rapid.T) *simHost { return rapid.SampledFrom(w.hosts).Draw(rt, "host") }
		step := func(f func(rt *rapid.T)) func(*rapid.T) {
			return func(rt *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(rt, "ms")) * time.Millisecond)
				f(rt)
			}
		}
		deliver := func(h *simHost) {
			for len(h.inbox) > 0 {
				h.inbox[0](h.m)
				h.inbox = h.inbox[1:]
			}
			if _, ok := h.m.wanted(w.now); ok {
				h.m.install(h.m.target)
			}
		}
		read := step(func(rt *rapid.T) {
			h := pick(rt)
			if rapid.Bool().Draw(rt, "epoch") {
				h.m.observeEpoch(w.epoch, w.now)
			}
			h.m.storeRead(w.head, w.now)
			if rapid.Bool().Draw(rt, "install") {
				deliver(h)
			}
		})
		push := step(func(rt *rapid.T) {
			if len(w.open) > 0 {
				a := rapid.SampledFrom(w.open).Draw(rt, "attempt")
				for range 2 {
					w.push(a, pick(rt))
				}
				w.acknowledge(a)
			}
		})
		ask := step(func(rt *rapid.T) {
			from := pick(rt)
			for range 3 {
				w.ask(from, pick(rt))
			}
			if rapid.Bool().Draw(rt, "deliver") {
				deliver(from)
			}
		})
		rt.Repeat(map[string]func(*rapid.T){
			"read": read, "push": push, "push again": push, "ask": ask, "ask again": ask, "ask more": ask,
			"deliver": step(func(rt *rapid.T) { deliver(pick(rt)) }),
			"commit": step(func(rt *rapid.T) {
				h := pick(rt)
				h.m.observeEpoch(w.epoch, w.now)
				w.commit(h)
			}),
			"restart": step(func(rt *rapid.T) { w.restart(pick(rt)) }),
			"epoch":   step(func(rt *rapid.T) { w.change(pick(rt), rapid.Bool().Draw(rt, "drop")) }),
			"learn": step(func(rt *rapid.T) {
				a, b := pick(rt), pick(rt)
				a.m.observeEpoch(b.m.epoch, w.now)
			}),
			"": w.check,
		})
	})
}
