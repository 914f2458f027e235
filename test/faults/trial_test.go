package faults

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/boragecourse/boragecourse/test/fleet"
)

const (
	tick = 250 * time.Millisecond
	// warmUp lets the buckets, which begin empty, fill enough for a case.
	warmUp = 1500 * time.Millisecond
	// serves is the longest time until every host serves after it is ready. A new home host of a bucket waits for
	// the terms of its predecessor.
	serves = 20 * time.Second
	// settle lets charges be written and releases be repeated after the last request.
	settle = 5 * time.Second
	// recovered is the longest time until all hosts are ready again after a fault.
	recovered = 40 * time.Second
	// stepLimit is the longest wait for a step.
	stepLimit = 15 * time.Second

	promptTokens, outputTokens = 200, 40
)

// trial is one case on its own fleet. Its main goroutine drives everything.
type trial struct {
	*fleet.Fleet
	*record
	name string
	// serving gets the request, home keeps the reservations of decode server d-a, and other repeats bookings. The
	// three differ.
	serving, home, other *fleet.Host
	target               *fleet.Call
	repeats              []*fleet.Call
	// generations are the highest seen by host.
	generations map[string]uint64
	requests    int
	ticks       int
	// rules are those of the last change that was begun.
	rules   fleet.Rules
	changes []<-chan fleet.Applied
	// withdrawn, leaving and drained say when such a change was accepted or begun; zero for never.
	withdrawn, leaving time.Time
	drains             []drain
	// cutOff is set when the fault keeps hosts from hearing of changes.
	cutOff bool
	// mustBeWhole is set when the design promises that the target's answer survives.
	mustBeWhole bool
}

// drain is a graceful shutdown.
type drain struct {
	at    time.Time
	calls []*fleet.Call
	done  chan error
}

// newTrial starts a fleet. The trial is closed by the caller even when the fleet did not start, in which case it reports false.
func newTrial(name string, o fleet.Options, r *record) (t *trial, started bool) {
	f, err := fleet.New(o)
	t = &trial{Fleet: f, record: r, name: name, generations: map[string]uint64{}, rules: fleet.DefaultRules()}
	if !r.check("step", err == nil, "the fleet did not start: %v", err) {
		return t, false
	}
	t.home = f.SlotHome(f.Hosts["a1"], "d-a")
	t.serving = f.Hosts["a1"]
	if t.home == t.serving {
		t.serving = f.Hosts["a2"]
	}
	t.other = f.Hosts["b1"]
	// Steps send requests of both workspaces; a host that has served neither may still lack its grant of the rate.
	for _, workspace := range []string{"guests", "crew"} {
		t.check("step", t.servedAll(workspace), "the hosts do not serve %s after their start", workspace)
	}
	t.pass(warmUp)
	return t, true
}

// servedAll sends requests through every host until each has answered one, and reports whether all did in time.
func (t *trial) servedAll(workspace string) bool {
	served := map[string]bool{}
	return t.until(serves, func() bool {
		for _, h := range t.All() {
			if served[h.Name] {
				continue
			}
			c := t.generate(h, workspace, 20, 2)
			<-c.Returns
			served[h.Name] = c.Seen().Err == nil
		}
		return len(served) == len(t.All()) && !slices.Contains(slices.Collect(maps.Values(served)), false)
	})
}

// pass lets time go by while a tightly limited workspace sends several times its rate through all hosts, the
// withdrawn key is tried everywhere, and the generations are watched.
func (t *trial) pass(d time.Duration) {
	for end := time.Now().Add(d); ; {
		t.background()
		left := time.Until(end)
		if left <= tick {
			time.Sleep(max(left, 0))
			return
		}
		time.Sleep(tick)
	}
}

// until passes time until the condition holds and reports whether it did within the limit.
func (t *trial) until(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); !condition(); t.pass(tick) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

func (t *trial) background() {
	t.ticks++
	hosts := t.All()
	h := hosts[t.ticks%len(hosts)]
	if h.Alive() {
		if t.ticks%8 == 0 {
			t.Send(h, fleet.Request{Workspace: "guests", Key: "secret-of-nobody", Path: fleet.PathStatus, Body: "guess"})
		}
		t.Send(h, fleet.Request{Workspace: "tight", Path: fleet.PathStatus, Body: fmt.Sprintf("status %d", t.ticks)})
		if !t.withdrawn.IsZero() {
			t.Send(h, fleet.Request{Workspace: "guests", Path: fleet.PathStatus, Body: fmt.Sprintf("probe %d", t.ticks)})
		}
	}
	for _, h := range hosts {
		if !h.Alive() {
			continue
		}
		g := h.Config.Generation()
		if g > 0 {
			t.check("I12", g >= t.generations[h.Name], "host %s went from generation %d back to %d", h.Name, t.generations[h.Name], g)
		}
		t.generations[h.Name] = max(t.generations[h.Name], g)
	}
	t.collect()
}

// collect takes the answers to changes.
func (t *trial) collect() {
	var open []<-chan fleet.Applied
	for _, c := range t.changes {
		select {
		case a := <-c:
			if a.Err != nil || a.Dead {
				continue
			}
			if a.Rules.Keys["guests"] == "" && t.withdrawn.IsZero() {
				t.withdrawn = a.Answered
			}
			if len(a.Rules.Leaving) > 0 && t.leaving.IsZero() {
				t.leaving = a.Answered
			}
		default:
			open = append(open, c)
		}
	}
	t.changes = open
}

// change begins a change of the rules through a host, on the generation that the host has.
func (t *trial) change(through *fleet.Host, r fleet.Rules) {
	t.rules = r
	t.changes = append(t.changes, t.StartApply(through.Name, through.Config.Generation(), r))
}

// prompt returns a text of promptTokens that no other request begins with.
func (t *trial) prompt(tokens int) string {
	t.requests++
	start := fmt.Sprintf("%s request %d: ", t.name, t.requests)
	return (start + strings.Repeat("the lamp was lit and the fog came in; ", tokens))[:4*tokens-1] + "."
}

func (t *trial) generate(h *fleet.Host, workspace string, prompt, output int) *fleet.Call {
	return t.Send(h, fleet.Request{Workspace: workspace, Prompt: t.prompt(prompt), Tokens: int64(output)})
}

func (t *trial) book(h *fleet.Host) *fleet.Call {
	return t.Send(h, fleet.Request{
		Workspace: "crew", Path: fleet.PathReserve, Body: "van for " + t.name, IdempotencyKey: "booking",
	})
}

// reach begins work and waits until its step was entered n times. Steps of earlier requests do not count.
func (t *trial) reach(step string, n int, begin func()) {
	earlier := map[string]bool{}
	for _, c := range t.Calls() {
		earlier[c.ID] = true
	}
	reached := make(chan struct{})
	var mu sync.Mutex
	t.SetHook(func(s, id string) {
		mu.Lock()
		defer mu.Unlock()
		if at := strings.LastIndexByte(id, '.'); s != step || at >= 0 && earlier[id[:at]] {
			return
		}
		if n--; n == 0 {
			close(reached)
		}
	})
	begin()
	select {
	case <-reached:
		t.check("step", true, "")
	case <-time.After(stepLimit):
		var seen []any
		for _, c := range t.Calls() {
			if !earlier[c.ID] {
				seen = append(seen, c.Path, c.Seen().Err)
			}
		}
		t.check("step", false, "step %q was not reached: %v", step, seen)
	}
}

// finish heals everything, lets time pass, sends requests through all hosts, and checks all invariants.
func (t *trial) finish() {
	for _, d := range t.drains {
		t.check("I11", <-d.done == nil, "the drain did not end")
		for _, c := range d.calls {
			<-c.Returns
			s := c.Seen()
			t.check("I11", !s.Cut && (s.Err == nil || harmless(c)), "the drain cut request %s: %v", c.ID, s.Err)
		}
	}
	t.SetHook(func(string, string) {})
	t.check("recovery", t.Heal() == nil, "a host did not start again")
	t.check("recovery", t.until(recovered, t.recoveredAll), "the hosts did not agree again: %s", t.disagreement())
	t.check("recovery", t.servedAll("island"), "the hosts do not serve after the fault")
	if t.target != nil && t.target.IdempotencyKey != "" {
		t.repeats = append(t.repeats, t.book(t.other), t.book(t.serving))
	}
	t.pass(settle)
	for _, c := range t.Calls() {
		select {
		case <-c.Returns:
		case <-time.After(2 * time.Minute):
			t.check("I14", false, "request %s has no answer", c.ID)
		}
	}
	t.collect()
	time.Sleep(settle)
	t.checkAll()
}

func (t *trial) recoveredAll() bool {
	g := t.All()[0].Config.Generation()
	for _, h := range t.All() {
		if h.Config.Generation() != g || h.Config.KeyedRequestsAllowed("guests") != nil || h.Members.CanAdmit(time.Now()) != nil {
			return false
		}
	}
	return t.Ready()
}

func (t *trial) disagreement() string {
	var b strings.Builder
	for _, h := range t.All() {
		fmt.Fprintf(&b, "%s: ready %v, generation %d, fresh %v, admits %v, epoch %v; ", h.Name, h.Ready(),
			h.Config.Generation(), h.Config.FreshnessAge(time.Now()), h.Members.CanAdmit(time.Now()), h.Members.Epoch())
	}
	return b.String()
}

// leave drains a host in the background.
func (t *trial) leave(h *fleet.Host) {
	d := drain{at: time.Now(), done: make(chan error, 1)}
	for _, c := range t.Calls() {
		if c.Host == h && !c.Returned() {
			d.calls = append(d.calls, c)
		}
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		d.done <- h.Leave(ctx)
	}()
	t.drains = append(t.drains, d)
}
