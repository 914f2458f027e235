package front

import (
	"fmt"
	"sync"
	"time"

	"github.com/boragecourse/boragecourse/internal/dispatch"
	"github.com/boragecourse/boragecourse/internal/fleet"
	"github.com/boragecourse/boragecourse/internal/outlier"
	"github.com/boragecourse/boragecourse/internal/registry"
	"github.com/boragecourse/boragecourse/internal/retrybudget"
)

const (
	// plainQueueFactor is how many requests of this host a slot of a plain backend server takes: one runs, one waits.
	plainQueueFactor = 2
	// prefillConcurrency is how many prompts one prefill engine gets at a time. Prompts share its compute, so that
	// more of them only finish later together.
	prefillConcurrency = 4
)

// group is the backend servers of one service as this host uses them.
type group struct {
	service string
	// plain serves requests whole; prefill and decode serve the stages of generations.
	plain, prefill, decode *dispatch.Pool

	mu       sync.Mutex
	servers  map[string]fleet.Server
	outliers *outlier.Detector
	budget   *retrybudget.Budget
	now      func() time.Time
	// rechecking is set while a look at paused backend servers is due.
	rechecking bool
}

func newGroup(service, zone string, limits fleet.RetryLimits, now func() time.Time) *group {
	return &group{
		service: service, now: now, servers: map[string]fleet.Server{}, outliers: outlier.New(),
		plain: dispatch.NewPool(zone, now), prefill: dispatch.NewPool(zone, now), decode: dispatch.NewPool(zone, now),
		budget: retrybudget.New(limits, now()),
	}
}

// serverKey names one lifetime of a backend server.
func serverKey(s fleet.Server) string { return fmt.Sprintf("%s/%d", s.ID, s.Born) }

// update takes over the usable backend servers.
func (g *group) update(usable []registry.State) {
	g.mu.Lock()
	g.servers = make(map[string]fleet.Server, len(usable))
	for _, s := range usable {
		g.servers[serverKey(s.Server)] = s.Server
	}
	g.outliers.Forget(func(key string) bool { _, known := g.servers[key]; return known })
	g.mu.Unlock()
	g.refresh()
}

// refresh sets the pools' candidates: all usable backend servers but those that are paused. When all of a stage are
// paused, all of them are tried.
func (g *group) refresh() {
	g.mu.Lock()
	var all, active [3][]dispatch.Candidate
	now := g.now()
	paused := false
	for key, s := range g.servers {
		stage, c := candidate(key, s)
		all[stage] = append(all[stage], c)
		if !g.outliers.Paused(key, now) {
			active[stage] = append(active[stage], c)
		} else {
			paused = true
		}
	}
	recheck := paused && !g.rechecking
	g.rechecking = g.rechecking || paused
	g.mu.Unlock()
	for stage, pool := range g.pools() {
		if len(active[stage]) == 0 {
			active[stage] = all[stage]
		}
		pool.SetCandidates(active[stage])
	}
	if recheck {
		time.AfterFunc(pauseCheck, func() {
			g.mu.Lock()
			g.rechecking = false
			g.mu.Unlock()
			g.refresh()
		})
	}
}

// pauseCheck is how often paused backend servers are looked at again.
const pauseCheck = 100 * time.Millisecond

func candidate(key string, s fleet.Server) (stage int, c dispatch.Candidate) {
	c = dispatch.Candidate{Key: key, Zone: s.Zone, Slots: max(s.Slots, 1)}
	switch s.Stage {
	case fleet.Prefill:
		c.Slots = prefillConcurrency
		return 1, c
	case fleet.Decode, fleet.Colocated:
		return 2, c
	default:
		c.Slots *= plainQueueFactor
		return 0, c
	}
}

// pools returns the pools of all stages.
func (g *group) pools() []*dispatch.Pool { return []*dispatch.Pool{g.plain, g.prefill, g.decode} }

// own returns the slots that this host uses, by backend server.
func (g *group) own() map[string]int {
	used := map[string]int{}
	for _, p := range g.pools() {
		for key, n := range p.Own() {
			used[key] += n
		}
	}
	return used
}

// setOthers takes over the slots that other hosts use.
func (g *group) setOthers(used map[string]int) {
	for _, p := range g.pools() {
		p.SetOthers(used)
	}
}

// server returns the backend server of a candidate.
func (g *group) server(key string) (fleet.Server, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, known := g.servers[key]
	return s, known
}

// observe records what a send showed.
func (g *group) observe(key string, r outlier.Result) (paused bool) {
	g.mu.Lock()
	paused = g.outliers.Observe(key, r, g.now())
	g.mu.Unlock()
	if paused {
		g.refresh()
	}
	return paused
}

func (g *group) countRequest() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Request(g.now())
}

func (g *group) mayRepeat(hosts int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Repeat(g.now(), hosts)
}
