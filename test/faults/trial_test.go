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
	tickInterval = 250 * time.Millisecond
	// warmUp fills the token buckets, which are empty at the start, enough for a case.
	warmUp = 1500 * time.Millisecond
	// serveLimit limits the time from readiness until every host serves. A new home host of a bucket first waits until the
	// grants of its predecessor expire.
	serveLimit = 20 * time.Second
	// settleTime is the time after the last request in which charges are written and failed releases are retried.
	settleTime = 5 * time.Second
	// recoveryLimit limits the time until all hosts are ready again after a fault.
	recoveryLimit = 40 * time.Second
	// stepLimit limits the time until work that was started reaches the step at which the fault is injected.
	stepLimit = 15 * time.Second

	promptTokens, outputTokens = 200, 40
)

// trial is one case on a fleet of its own. The goroutine of the case drives all steps.
type trial struct {
	*fleet.Fleet
	*record
	name string
	// serving receives the request, home is the home host of decode server d-a, and other receives repeated bookings
	// and changes. They are three different hosts.
	serving, home, other *fleet.Host
	target               *fleet.Call
	repeats              []*fleet.Call
	// generations are the highest observed configuration generations by host.
	generations map[string]uint64
	requests    int
	ticks       int
	// rules are those of the most recently started change.
	rules   fleet.Rules
	changes []<-chan fleet.ConfigChange
	// withdrawn and leaving are the times at which the change that withdraws a key or sets a server to leaving was
	// accepted; zero for never.
	withdrawn, leaving time.Time
	drains             []drain
	// cutOff is set when the fault prevents hosts from receiving changes of the configuration.
	cutOff bool
	// mustComplete is set when the design guarantees a complete response to the target.
	mustComplete bool
}

// drain is a graceful shutdown of a host, with the calls that were open when it began.
type drain struct {
	at    time.Time
	calls []*fleet.Call
	done  chan error
}

// newTrial starts a fleet and reports whether it started. The caller must close the trial in either case.
func newTrial(name string, o fleet.Options, r *record) (t *trial, started bool) {
	f, err := fleet.New(o)
	t = &trial{Fleet: f, record: r, name: name, generations: map[string]uint64{}, rules: fleet.DefaultRules()}
	if !r.check("step", err == nil, "the fleet did not start: %v", err) {
		return t, false
	}
	t.home = f.ServerHome(f.Hosts["a1"], "d-a")
	t.serving = f.Hosts["a1"]
	if t.home == t.serving {
		t.serving = f.Hosts["a2"]
	}
	t.other = f.Hosts["b1"]
	// Steps send requests of both workspaces; a host that has not served a workspace may have no grant of its rate yet.
	for _, workspace := range []string{"guests", "crew"} {
		t.check("step", t.servedAll(workspace), "not every host serves workspace %s after the start", workspace)
	}
	t.pass(warmUp)
	return t, true
}

// servedAll sends requests to every host until each has served one, and reports whether all did in time.
func (t *trial) servedAll(workspace string) bool {
	served := map[string]bool{}
	return t.until(serveLimit, func() bool {
		for _, h := range t.All() {
			if served[h.Name] {
				continue
			}
			c := t.generate(h, workspace, 20, 2)
			<-c.Finished
			served[h.Name] = c.Result().Err == nil
		}
		return len(served) == len(t.All()) && !slices.Contains(slices.Collect(maps.Values(served)), false)
	})
}

// pass waits for d with background load: the tightly limited workspace exceeds its rate through all hosts, requests
// with the withdrawn key are sent to all hosts, and the configuration generations are checked.
func (t *trial) pass(d time.Duration) {
	for end := time.Now().Add(d); ; {
		t.background()
		left := time.Until(end)
		if left <= tickInterval {
			time.Sleep(max(left, 0))
			return
		}
		time.Sleep(tickInterval)
	}
}

// until waits with background load until the condition holds, and reports whether it held within the limit.
func (t *trial) until(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); !condition(); t.pass(tickInterval) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// background sends the requests of one tick of the background load and checks the generation of every host.
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

// collect receives the results of finished changes and records their times.
func (t *trial) collect() {
	var open []<-chan fleet.ConfigChange
	for _, c := range t.changes {
		select {
		case a := <-c:
			if a.Err != nil || a.HostEnded {
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

// change starts a change of the rules through a host, based on the generation that is active on the host.
func (t *trial) change(through *fleet.Host, r fleet.Rules) {
	t.rules = r
	t.changes = append(t.changes, t.StartApply(through.Name, through.Config.Generation(), r))
}

// prompt returns a text of the given number of tokens (4 bytes each) that shares no prefix with other requests.
func (t *trial) prompt(tokens int) string {
	t.requests++
	start := fmt.Sprintf("%s request %d: ", t.name, t.requests)
	return (start + strings.Repeat("the lamp was lit and the fog came in; ", tokens))[:4*tokens-1] + "."
}

func (t *trial) generate(h *fleet.Host, workspace string, prompt, output int) *fleet.Call {
	return t.Send(h, fleet.Request{Workspace: workspace, Prompt: t.prompt(prompt), Tokens: int64(output)})
}

func (t *trial) submitBooking(h *fleet.Host) *fleet.Call {
	return t.Send(h, fleet.Request{
		Workspace: "crew", Path: fleet.PathReserve, Body: "van for " + t.name, IdempotencyKey: "booking",
	})
}

// reach starts work and waits until the step has been entered n times. Steps of earlier requests do not count.
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
				seen = append(seen, c.Path, c.Result().Err)
			}
		}
		t.check("step", false, "step %q was not reached: %v", step, seen)
	}
}

// finish waits for drains, heals all faults, waits until all hosts serve again, and checks all invariants.
func (t *trial) finish() {
	for _, d := range t.drains {
		t.check("I11", <-d.done == nil, "the drain failed or timed out")
		for _, c := range d.calls {
			<-c.Finished
			s := c.Result()
			t.check("I11", !s.HostEnded && (s.Err == nil || unrelatedToDrain(c)), "the drain interrupted request %s: %v", c.ID, s.Err)
		}
	}
	t.SetHook(func(string, string) {})
	t.check("recovery", t.Heal() == nil, "a host did not restart")
	t.check("recovery", t.until(recoveryLimit, t.recoveredAll), "the hosts did not recover: %s", t.hostStates())
	t.check("recovery", t.servedAll("island"), "not every host serves after the fault")
	if t.target != nil && t.target.IdempotencyKey != "" {
		t.repeats = append(t.repeats, t.submitBooking(t.other), t.submitBooking(t.serving))
	}
	t.pass(settleTime)
	for _, c := range t.Calls() {
		select {
		case <-c.Finished:
		case <-time.After(2 * time.Minute):
			t.check("I14", false, "request %s has no response", c.ID)
		}
	}
	t.collect()
	time.Sleep(settleTime)
	t.checkAll()
}

// recoveredAll reports whether all hosts are ready, admit requests and have the same configuration.
func (t *trial) recoveredAll() bool {
	g := t.All()[0].Config.Generation()
	for _, h := range t.All() {
		if h.Config.Generation() != g || h.Config.KeyedRequestsAllowed("guests") != nil || h.Members.CheckAuthority(time.Now()) != nil {
			return false
		}
	}
	return t.Ready()
}

// hostStates formats the state of every host for the message of a failed recovery.
func (t *trial) hostStates() string {
	var b strings.Builder
	for _, h := range t.All() {
		fmt.Fprintf(&b, "%s: ready %v, generation %d, fresh %v, admits %v, epoch %v; ", h.Name, h.Ready(),
			h.Config.Generation(), h.Config.FreshnessAge(time.Now()), h.Members.CheckAuthority(time.Now()), h.Members.Epoch())
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
		d.done <- h.DrainAndStop(ctx)
	}()
	t.drains = append(t.drains, d)
}
