package soak_test

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/boragecourse/boragecourse/test/standin/users"
)

// checkGuarantees checks the guarantees to callers and backend servers after the load has ended and all hosts serve
// again.
func (g *soakRun) checkGuarantees(c *callers) {
	runs := map[string]int{}
	for _, w := range g.f.workers() {
		for id, n := range w.Runs() {
			runs[id] += n
		}
	}
	served := 0
	for i := range c.done {
		o := &c.done[i]
		if err := o.check(); err != nil {
			g.t.Errorf("%s %s: %v", o.kind.name, o.id, err)
		}
		if !o.kind.repeatable && runs[o.id] > 1 {
			g.t.Errorf("%s %s ran %d times", o.kind.name, o.id, runs[o.id])
		}
		// The status is the answer to the last send; each earlier one may have run.
		if o.reportsNotRun() && runs[o.id] > max(o.sends-1, 0) {
			g.t.Errorf("%s %s ran %d times in %d sends although its status is %d (not run)", o.kind.name, o.id, runs[o.id], o.sends, o.status)
		}
		if o.status == http.StatusOK && !o.broken {
			served++
		}
	}
	g.t.Logf("%d of %d requests served", served, len(c.done))
	if served < len(c.done)/4 {
		g.t.Errorf("only %d of %d requests served", served, len(c.done))
	}
	if !slices.ContainsFunc(g.choices, func(f faultChoice) bool { return !slices.Contains(plannedWork, f) }) {
		g.checkLost(c, runs)
	}
	g.checkRequests(c)
	g.checkKey(c)
	g.checkDrains(c)
	g.checkAnnouncements(c)
	g.checkRefusals(c)
	g.checkEvacuation(c)
	g.checkRate()
	g.checkCommands()
	for _, h := range g.f.hosts {
		if h.exitedUnexpectedly() {
			g.t.Errorf("process of %s exited unexpectedly", h.spec.Name)
		}
	}
	g.checkIdle()
}

// checkLost checks that each request that ran and was not canceled by its caller got a complete response, unless its time limit was
// reached.
func (g *soakRun) checkLost(c *callers, runs map[string]int) {
	for _, o := range c.done {
		limitReached := o.ended.Sub(o.sent) >= callerTimeout-limitMargin
		if runs[o.id] > 0 && !o.canceled && !limitReached && (o.err != nil || o.broken) {
			g.t.Errorf("%s %s ran at %s but got no complete response: status %d, %v", o.kind.name, o.id, g.f.hosts[o.host].spec.Name, o.status, o.err)
		}
	}
}

// limitMargin is how much earlier than the caller's time limit a host may end a response.
const limitMargin = 50 * time.Millisecond

// checkRequests checks that requests reach backend servers with the workspace of the caller's key and without the key.
func (g *soakRun) checkRequests(c *callers) {
	sent := map[string]kind{}
	for _, o := range c.done {
		sent[o.id] = o.kind
	}
	for _, w := range g.f.workers() {
		for id := range w.Runs() {
			k, known := sent[id]
			if !known {
				continue // A request of awaitServing.
			}
			workspace := "guests"
			if k.name == "limited" {
				workspace = "limited"
			}
			if h := w.Header(id); h.Get("Tenant") != workspace || h.Get("Authorization") != "" {
				g.t.Errorf("%s ran for workspace %q with Authorization %q", id, h.Get("Tenant"), h.Get("Authorization"))
			}
		}
	}
}

// faultFreeBefore reports whether the host's last fault ended at least faultFreeTime before at.
func (h *host) faultFreeBefore(at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastFault.Add(faultFreeTime).Before(at)
}

// checkKey checks that hosts without recent faults refuse a withdrawn key. Only the end of a host's last fault is known,
// so requests that were sent before it are not checked.
func (g *soakRun) checkKey(c *callers) {
	if g.withdrawn.IsZero() {
		return
	}
	for _, o := range c.done {
		late := o.sent.After(g.withdrawn.Add(configApply + schedulingSlack))
		if o.kind.name == "spare" && late && o.status == http.StatusOK && g.f.hosts[o.host].faultFreeBefore(o.sent) {
			g.t.Errorf("%s: withdrawn key was accepted %v after the withdrawal", o.id, o.sent.Sub(g.withdrawn))
		}
	}
	for i := range g.f.hosts {
		o := c.call("withdrawn-"+g.f.hosts[i].spec.Name, kinds[1], i, 1, 0)
		if o.status != http.StatusUnauthorized {
			g.t.Errorf("%s: request with the withdrawn key has status %d, error %v", g.f.hosts[i].spec.Name, o.status, o.err)
		}
	}
}

// checkDrains checks that hosts without recent faults send no new work to a draining backend server.
func (g *soakRun) checkDrains(c *callers) {
	byID := map[string]outcome{}
	for _, o := range c.done {
		byID[o.id] = o
	}
	for w, at := range g.drained {
		for id, ran := range w.RunAt() {
			o, known := byID[id]
			if known && ran.After(at.Add(drainNotice+schedulingSlack)) && g.f.hosts[o.host].faultFreeBefore(at) {
				g.t.Errorf("%s reached %s %v after the server was set to draining", id, w.ID, ran.Sub(at))
			}
		}
	}
}

// process is one process of a host.
type process struct{ host, starts int }

// checkAnnouncements checks that a process sends a backend server no request that was sent later than drainNotice after the process
// had relayed a response in which the server announced that it leaves.
func (g *soakRun) checkAnnouncements(c *callers) {
	for _, w := range g.f.workers() {
		announced := map[process]time.Time{}
		for _, o := range c.done {
			at, known := announced[process{o.host, o.starts}]
			fromHere := o.header.Get("Server-Leaving") != "" && strings.HasPrefix(o.header.Get("Response-Stamp"), w.ID+".") && w.Runs()[o.id] > 0
			if fromHere && (!known || o.headAt.Before(at)) {
				announced[process{o.host, o.starts}] = o.headAt
			}
		}
		arrivals := w.Arrivals()
		for _, o := range c.done {
			at, known := announced[process{o.host, o.starts}]
			_, reached := arrivals[o.id]
			if known && reached && o.sent.After(at.Add(drainNotice)) {
				g.t.Errorf("%s reached %s, sent %v after %s had relayed that it leaves", o.id, w.ID, o.sent.Sub(at), g.f.hosts[o.host].spec.Name)
			}
		}
	}
}

const (
	// refusalNotice is the time from which on a host must heed the wait that a refusal names, and refusalSlack the number of requests
	// that may reach the server even so.
	refusalNotice = 500 * time.Millisecond
	refusalSlack  = 2
)

// checkRefusals checks that hosts without faults since then send a backend server nothing for the time that its refusal names.
func (g *soakRun) checkRefusals(c *callers) {
	sentBy := map[string]process{}
	for _, o := range c.done {
		sentBy[o.id] = process{o.host, o.starts}
	}
	for _, w := range g.f.workers() {
		for _, r := range w.Refusals() {
			by, known := sentBy[r.RequestID]
			if !known || !g.f.hosts[by.host].faultFreeBefore(r.At.Add(faultFreeTime)) {
				continue
			}
			n := 0
			for _, a := range w.ArrivalTimes() {
				if sentBy[a.RequestID] == by && a.At.After(r.At.Add(refusalNotice)) && a.At.Before(r.Until) {
					n++
				}
			}
			if n > refusalSlack {
				g.t.Errorf("%d requests of %s reached %s within the wait that its refusal had named", n, g.f.hosts[by.host].spec.Name, w.ID)
			}
		}
	}
}

const (
	// quotaWindow, quotaRatio and quotaSlack equal the settings quotaWindowS, quotaOver and quotaSlack.
	quotaWindow = 8 * time.Second
	quotaRatio  = 0.1
	quotaSlack  = 1000
)

// checkRate checks that the limited workspace stays within its rate, burst and tolerance in every window.
func (g *soakRun) checkRate() {
	var at []time.Time
	for _, w := range g.f.workers() {
		for id, ran := range w.RunAt() {
			if w.Header(id).Get("Tenant") == "limited" {
				at = append(at, ran)
			}
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	allowed := (limitedRate*quotaWindow.Seconds()+limitedRate)*(1+quotaRatio) + quotaSlack
	firstIn := 0
	for last, t := range at {
		for t.Sub(at[firstIn]) > quotaWindow {
			firstIn++
		}
		if used := float64((last - firstIn + 1) * plainCost); used > allowed {
			g.t.Errorf("the limited workspace used %.0f tokens in a window that allows %.0f", used, allowed)
			return
		}
	}
}

// checkCommands checks that fencing tokens of the commands to a backend server never decrease, and that commands of two
// hosts are at least 3 s apart, so that there is one leader at a time.
func (g *soakRun) checkCommands() {
	for _, w := range g.f.workers() {
		commands, _ := w.Commands()
		for i := 1; i < len(commands); i++ {
			a, b := commands[i-1], commands[i]
			if b.FencingToken < a.FencingToken || a.Leader != b.Leader && b.At.Sub(a.At) < 3*time.Second {
				g.t.Errorf("%s: commands of %s (fencing token %d) and %s (fencing token %d) within %v", w.ID, a.Leader, a.FencingToken, b.Leader, b.FencingToken, b.At.Sub(a.At))
			}
		}
	}
}

// checkIdle checks that backend servers finish or abort all requests within 5 s.
func (g *soakRun) checkIdle() {
	busy := func() (w *users.Worker, n int) {
		for _, w := range g.f.workers() {
			if n, _, _ := w.Busy(); n > 0 {
				return w, n
			}
		}
		return nil, 0
	}
	end := time.Now().Add(5 * time.Second)
	for {
		w, n := busy()
		if n == 0 {
			return
		}
		if time.Now().After(end) {
			g.t.Errorf("%s still runs %d requests after waiting 5 s", w.ID, n)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}
