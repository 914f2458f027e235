package soak_test

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// evacuationBound equals the setting evacuateMs. contactTime is the time for which a host must have been without faults to
	// count as in contact with the store.
	evacuationBound = 5 * time.Second
	contactTime     = 4 * time.Second
)

// zones are the zones of the fleet. Each has a backend server of every service and stage, so that one of them can be evacuated.
var zones = []string{"z", "y"}

// evacuation is an evacuation of a zone from the store's response to its removal.
type evacuation struct {
	zone         string
	begun, ended time.Time
	// boundFrom holds the time from which each host must send nothing to the zone. Faults after the evacuation don't count.
	boundFrom []time.Time
}

// binds reports whether the host that sent the request with an id must send nothing to the zone at a time. An unknown id, as in
// calls that carry none, could be of any host, so all must be bound.
func (e *evacuation) binds(sentBy map[string]int, id string, at time.Time) bool {
	from := slices.MaxFunc(e.boundFrom, time.Time.Compare)
	if host, known := sentBy[id]; known {
		from = e.boundFrom[host]
	}
	return at.After(from) && at.Before(e.ended)
}

// backendCall is a call that reached a backend server, also one without the id of a caller's request.
type backendCall struct {
	at       time.Time
	id, path string
}

// callLog records the calls that reach the backend servers of each zone.
type callLog struct {
	mu     sync.Mutex
	byZone map[string][]backendCall
}

func (l *callLog) record(zone string, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byZone[zone] = append(l.byZone[zone], backendCall{time.Now(), r.Header.Get("Request-Id"), r.URL.Path})
}

// evacuate evacuates a zone once, while faults follow each other. It has a random generator of its own, so that the seeds of
// earlier versions still stand for the same faults.
func (g *soakRun) evacuate(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	e := &evacuation{zone: zones[rng.IntN(len(zones))]}
	time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
	length := evacuationBound + time.Duration(500+rng.IntN(2000))*time.Millisecond
	g.f.store.Put("op/evacuate/"+e.zone, []byte("{}"))
	e.begun = time.Now()
	g.logFault("zone %s is evacuated for %v", e.zone, length)
	time.Sleep(length)
	e.ended = time.Now()
	for _, h := range g.f.hosts {
		h.mu.Lock()
		from := h.lastFault.Add(contactTime)
		h.mu.Unlock()
		if bound := e.begun.Add(evacuationBound); from.Before(bound) {
			from = bound
		}
		e.boundFrom = append(e.boundFrom, from)
	}
	g.f.store.Remove("op/evacuate/" + e.zone)
	g.logFault("evacuation of zone %s has ended", e.zone)
	g.evacuated = e
}

// checkEvacuation checks that hosts in contact with the store send nothing to the evacuated zone once the bound is over.
func (g *soakRun) checkEvacuation(c *callers) {
	e, sentBy := g.evacuated, map[string]int{}
	for _, o := range c.done {
		sentBy[o.id] = o.host
	}
	g.f.calls.mu.Lock()
	defer g.f.calls.mu.Unlock()
	before, during := 0, 0
	for _, call := range g.f.calls.byZone[e.zone] {
		if call.at.Before(e.begun) {
			before++
		} else if call.at.Before(e.ended) {
			during++
		}
		if e.binds(sentBy, call.id, call.at) {
			g.t.Errorf("%s %q reached zone %s %v after the start of its evacuation", call.path, call.id, e.zone, call.at.Sub(e.begun))
		}
	}
	g.t.Logf("zone %s got %d calls before its evacuation and %d during it", e.zone, before, during)
	if before == 0 {
		g.t.Errorf("zone %s got no calls before its evacuation, so the check shows nothing", e.zone)
	}
}
