package main

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	drainTime   = 2 * time.Second
	contactTime = 3 * time.Second
)

// leavingWorker has a worker leave without a notice while one host is cut off from the store for 1.3 s. The rule DRAIN bounds how
// long that host may send to the worker once it is in touch again.
func leavingWorker(f *fleet, trouble bool) error {
	if err := f.configure(nil); err != nil {
		return err
	}
	if err := f.addHosts(2); err != nil {
		return err
	}
	a, b := f.hosts[0], f.hosts[1]
	cold, err := f.workersOf(a, b)
	if err != nil {
		return err
	}
	leaving := cold[len(cold)-1]
	stop := sync.OnceFunc(f.callers(a, b))
	defer stop()
	f.renewInTurn(cold)
	cutAt := time.Now()
	if trouble {
		a.link.set(true)
		f.line("%s is cut off from the store", a.name)
	}
	goneAt, err := f.takeAway(leaving)
	if err != nil {
		return err
	}
	f.sleep(time.Until(cutAt.Add(1300 * time.Millisecond)))
	a.link.set(false)
	healed := time.Now()
	f.line("%s reaches the store; cut off for %v", a.name, healed.Sub(cutAt).Round(time.Millisecond))
	f.sleep(time.Until(goneAt.Add(10 * time.Second)))
	_ = leaving.server.Close()
	f.line("worker %s has ended", leaving.id)
	stop()
	f.sleep(time.Second)
	// Requests that a host in touch got from a caller later than the bound.
	bound := healed.Add(contactTime)
	if t := goneAt.Add(drainTime); t.After(bound) {
		bound = t
	}
	late := leaving.ranAfter(bound.Add(100 * time.Millisecond))
	f.line("worker %s ran %d requests later than %v after it was gone, from hosts in touch", leaving.id, len(late), bound.Sub(goneAt).Round(time.Millisecond))
	f.line("%d requests that may not be repeated got no answer of a worker", f.lost.Load())
	if len(late) > 0 {
		return errBroken
	}
	return nil
}

// workersOf starts seven workers and returns the four that are cold. The last one of these is in the zone of a.
func (f *fleet) workersOf(a, b *host) (cold []*worker, err error) {
	for i := range 7 {
		zone, slow := zoneOf(b), 30*time.Second
		switch {
		case i < 3:
			slow = 0
		case i == 6:
			zone = zoneOf(a)
		}
		w, err := f.addWorker("app-"+strconv.Itoa(i+1), zone, slow)
		if err != nil {
			return nil, err
		}
		if slow > 0 {
			cold = append(cold, w)
		}
	}
	return cold, nil
}

// renewInTurn has the cold workers renew their entries for five heartbeats, except that the last one has yet to do so.
func (f *fleet) renewInTurn(cold []*worker) {
	turn := heartbeat / time.Duration(len(cold))
	for i := range 5*len(cold) - 1 {
		f.sleep(turn)
		cold[i%len(cold)].register()
	}
	f.sleep(turn - beforeRenewal)
}

// beforeRenewal is the time from the beginning of the cut to the renewal.
const beforeRenewal = 30 * time.Millisecond

// takeAway has a worker renew its entry and leave, and writes a configuration. It returns when the entry was removed.
func (f *fleet) takeAway(w *worker) (time.Time, error) {
	f.sleep(beforeRenewal)
	w.register()
	f.line("worker %s renews its entry", w.id)
	f.sleep(150 * time.Millisecond)
	f.store.Remove("servers/" + w.id)
	goneAt := time.Now()
	f.line("worker %s is leaving: its entry is removed, it goes on to serve for 10 s", w.id)
	f.sleep(50 * time.Millisecond)
	return goneAt, f.configure(nil)
}

// callers sends 20 lookups and 20 bookings a second to each host until the returned function is called.
func (f *fleet) callers(hosts ...*host) (stop func()) {
	done := make(chan struct{})
	for _, h := range hosts {
		for _, kind := range []struct{ method, path string }{{http.MethodGet, "/view/1"}, {http.MethodPost, "/reserve/1"}} {
			go f.caller(done, h, kind.method, kind.path)
		}
	}
	return func() { close(done) }
}

func (f *fleet) caller(done <-chan struct{}, h *host, method, path string) {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		go func() {
			x := f.send(h, method, path, http.NoBody, 0)
			if method == http.MethodPost && x.status != http.StatusOK {
				f.lost.Add(1)
			}
			f.line("%s to %s: %s %s: status %d %v", x.id, h.name, method, path, x.status, x.err)
		}()
	}
}
