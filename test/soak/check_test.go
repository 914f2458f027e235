package soak_test

import (
	"net/http"
	"slices"
	"time"

	"github.com/boragecourse/boragecourse/test/standin/users"
)

// checkAfter checks the promises once the load has ended and the fleet serves again.
func (g *game) checkAfter(c *callers) {
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
		if o.saysNotRun() && runs[o.id] > 0 {
			g.t.Errorf("%s %s is answered %d and has run", o.kind.name, o.id, o.status)
		}
		if o.status == http.StatusOK && !o.broken {
			served++
		}
	}
	g.t.Logf("%d of %d requests served", served, len(c.done))
	if served < len(c.done)/4 {
		g.t.Errorf("only %d of %d requests served", served, len(c.done))
	}
	g.checkRequests(c)
	g.checkKey(c)
	g.checkDrains(c)
	g.checkRate()
	g.checkCommands()
	for _, h := range g.f.hosts {
		if h.ended() {
			g.t.Errorf("%s ended by itself", h.spec.Name)
		}
	}
	g.checkIdle()
}

// checkRequests checks that backend servers ran only what callers sent, for the workspace of their key, without the key.
func (g *game) checkRequests(c *callers) {
	sent := map[string]kind{}
	for _, o := range c.done {
		sent[o.id] = o.kind
	}
	for _, w := range g.f.workers() {
		for id := range w.Runs() {
			k, known := sent[id]
			if !known {
				continue // One of the requests that wait for the fleet.
			}
			workspace := "guests"
			if k.name == "limited" {
				workspace = "limited"
			}
			if h := w.Header(id); h.Get("Tenant") != workspace || h.Get("Authorization") != "" {
				g.t.Errorf("%s ran for %q with key %q", id, h.Get("Tenant"), h.Get("Authorization"))
			}
		}
	}
}

// inContact tells whether a host had no fault for the contact time before at, and until then.
func (h *host) inContact(at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastFault.Add(contact).Before(at)
}

// checkKey checks that a withdrawn key works no more on hosts in contact. The faults of a host are known by the end of
// the last one, so that only requests after it are judged.
func (g *game) checkKey(c *callers) {
	if g.withdrawn.IsZero() {
		return
	}
	for _, o := range c.done {
		late := o.sent.After(g.withdrawn.Add(configApply + schedulingSlack))
		if o.kind.name == "spare" && late && o.status == http.StatusOK && g.f.hosts[o.host].inContact(o.sent) {
			g.t.Errorf("%s: withdrawn key works %v later", o.id, o.sent.Sub(g.withdrawn))
		}
	}
	for i := range g.f.hosts {
		o := c.call("withdrawn-"+g.f.hosts[i].spec.Name, kinds[1], i, 1, 0)
		if o.status != http.StatusUnauthorized {
			g.t.Errorf("%s: withdrawn key is answered %d, %v", g.f.hosts[i].spec.Name, o.status, o.err)
		}
	}
}

// checkDrains checks that a leaving backend server gets no new work from hosts in contact.
func (g *game) checkDrains(c *callers) {
	byID := map[string]outcome{}
	for _, o := range c.done {
		byID[o.id] = o
	}
	for w, at := range g.drained {
		for id, ran := range w.RunAt() {
			o, known := byID[id]
			if known && ran.After(at.Add(drainNotice+schedulingSlack)) && g.f.hosts[o.host].inContact(at) {
				g.t.Errorf("%s reached %s %v after it announced its departure", id, w.ID, ran.Sub(at))
			}
		}
	}
}

const (
	// quotaWindow, quotaRatio and quotaSlack are those of the settings.
	quotaWindow = 8 * time.Second
	quotaRatio  = 0.1
	quotaSlack  = 1000
)

// checkRate checks that the limited workspace keeps to its rate in every window.
func (g *game) checkRate() {
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
			g.t.Errorf("the limited workspace used %.0f of %.0f tokens in a window", used, allowed)
			return
		}
	}
}

// checkCommands checks that commands to a backend server come from one host at a time.
func (g *game) checkCommands() {
	for _, w := range g.f.workers() {
		commands, _ := w.Commands()
		for i := 1; i < len(commands); i++ {
			a, b := commands[i-1], commands[i]
			if b.FencingToken < a.FencingToken || a.Holder != b.Holder && b.At.Sub(a.At) < 3*time.Second {
				g.t.Errorf("%s: commands of %s (%d) and %s (%d) within %v", w.ID, a.Holder, a.FencingToken, b.Holder, b.FencingToken, b.At.Sub(a.At))
			}
		}
	}
}

// checkIdle checks that no backend server works on requests that are gone.
func (g *game) checkIdle() {
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
			g.t.Errorf("%s still works on %d requests", w.ID, n)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}
