package front

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/boragecourse/boragecourse/internal/dispatch"
	"github.com/boragecourse/boragecourse/internal/fleet"
	"github.com/boragecourse/boragecourse/internal/outlier"
	"github.com/boragecourse/boragecourse/internal/overload"
	"github.com/boragecourse/boragecourse/internal/registry"
	"github.com/boragecourse/boragecourse/internal/retrybudget"
	"github.com/boragecourse/boragecourse/internal/serverload"
	"github.com/boragecourse/boragecourse/internal/stagesplit"
)

const (
	// plainQueueFactor is the number of requests per slot that a plain backend server gets at a time: one runs and one
	// waits.
	plainQueueFactor = 2
	// prefillConcurrency is the number of prompts that a prefill engine gets at a time. They share its compute, so a
	// larger number would only delay all of them.
	prefillConcurrency = 4
)

// Reasons why servers get no requests that the pools do not know.
const (
	reasonEvacuated     dispatch.Reason = "zone_evacuated"
	reasonLeaving       dispatch.Reason = "leaving"
	reasonMisdirected   dispatch.Reason = "misdirected"
	reasonHeldOff       dispatch.Reason = "held_off"
	reasonPaused        dispatch.Reason = "paused"
	reasonChangingStage dispatch.Reason = "changing_stage"
	reasonNoMemory      dispatch.Reason = "no_kv_memory"
	reasonNotRecorded   dispatch.Reason = "software_version_not_recorded"
)

// group holds the backend servers of one service with this host's pools, outlier detector and retry budget for them.
type group struct {
	service string
	// plain holds the servers of plain requests; prefill and decode hold the engines of the two stages of a generation.
	plain, prefill, decode *dispatch.Pool
	// begins reports whether streams may begin at a software version.
	begins func(software string) bool
	// load is what is known of the speed of the servers.
	load *serverLoad

	mu sync.Mutex
	// evacuated is the number of backend servers that are not usable only because their zone is evacuated, in the order of pools.
	evacuated [3]int
	servers   map[string]fleet.Server
	outliers  *outlier.Detector
	// changing holds the engines that are changing their stage, with the time until which they get no work.
	changing map[string]time.Time
	// heldOff holds the servers that have refused a request and named a time for which they want no others.
	heldOff map[string]time.Time
	totals  stagesplit.Totals
	// overload has its own lock, which is taken after mu if both are.
	overload groupOverload
	budget   *retrybudget.Budget
	// refusing holds the prefill engines that have refused the last prompt that they answered.
	refusing   map[string]bool
	retryRatio float64
	now        func() time.Time
	// recheckDue is set while a re-check of paused backend servers is scheduled.
	recheckDue bool
	// limited is set while a backend server has a rate limit.
	limited bool
}

func newGroup(service, zone string, limits fleet.RetryLimits, started time.Time, now func() time.Time) *group {
	g := &group{
		service: service, now: now, begins: func(string) bool { return true }, load: newServerLoad(), servers: map[string]fleet.Server{}, heldOff: map[string]time.Time{}, refusing: map[string]bool{}, retryRatio: limits.Ratio,
		outliers: outlier.New(), overload: groupOverload{controller: overload.New()},
		plain: dispatch.NewPool(zone, now), prefill: dispatch.NewPool(zone, now), decode: dispatch.NewPool(zone, now),
		budget: retrybudget.New(limits, started, now()),
	}
	for _, p := range g.pools() {
		p.SetModel(g.load)
	}
	return g
}

// serverKey identifies one incarnation of a backend server.
func serverKey(s fleet.Server) string { return s.ID + "/" + strconv.FormatInt(s.StartMillis, 10) }

// update replaces the usable backend servers and refreshes the pools.
func (g *group) update(usable []registry.State) {
	g.setServers(usable)
	g.refresh()
}

// setServers replaces the usable backend servers. The pools get them with refresh.
func (g *group) setServers(usable []registry.State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.servers = make(map[string]fleet.Server, len(usable))
	keys := make(map[string]bool, len(usable))
	for _, s := range usable {
		key := serverKey(s.Server)
		g.servers[key], keys[key] = s.Server, true
	}
	g.load.with(func(m *serverload.Model) { m.SetServers(keys) })
	g.outliers.Retain(func(key string) bool { _, known := g.servers[key]; return known })
	g.overload.mu.Lock()
	g.overload.controller.Retain(func(key string) bool { _, known := g.servers[key]; return known })
	g.overload.mu.Unlock()
	maps.DeleteFunc(g.refusing, func(key string, _ bool) bool { _, known := g.servers[key]; return !known })
	maps.DeleteFunc(g.heldOff, func(_ string, until time.Time) bool { return !g.now().Before(until) })
}

// refresh sets the pools' candidates to the usable backend servers, except those that are held off, paused, changing their
// stage or of a software version that is not recorded yet. A pool that would have no candidates gets all of its servers instead that
// are not held off, and one that would have none of a software version gets those of that version for the streams that have begun at it.
func (g *group) refresh() {
	g.mu.Lock()
	var all, active [3][]dispatch.Candidate
	now := g.now()
	paused := false
	for key, s := range g.servers {
		reason := g.withheld(key, now)
		paused = paused || reason != ""
		if reason == reasonHeldOff {
			continue
		}
		stage, c := candidate(key, s)
		all[stage] = append(all[stage], c)
		if reason == "" {
			active[stage] = append(active[stage], c)
		}
	}
	recheck := paused && !g.recheckDue
	g.recheckDue = g.recheckDue || paused
	g.mu.Unlock()
	for stage, pool := range g.pools() {
		if len(active[stage]) == 0 {
			active[stage] = all[stage]
		}
		pool.SetCandidates(append(active[stage], lastResorts(all[stage], active[stage])...))
	}
	if recheck {
		time.AfterFunc(pauseRecheck, func() {
			g.mu.Lock()
			g.recheckDue = false
			g.mu.Unlock()
			g.refresh()
		})
	}
}

// lastResorts returns the candidates whose software version has no active one. Streams that have begun at it can go on nowhere else.
func lastResorts(all, active []dispatch.Candidate) []dispatch.Candidate {
	var out []dispatch.Candidate
	for _, c := range all {
		if !slices.ContainsFunc(active, func(a dispatch.Candidate) bool { return a.Software == c.Software }) {
			c.LastResort = true
			out = append(out, c)
		}
	}
	return out
}

// withheld returns why the pools do not get a usable backend server, or "" if they do. g.mu must be held.
func (g *group) withheld(key string, now time.Time) dispatch.Reason {
	switch {
	case now.Before(g.heldOff[key]):
		return reasonHeldOff
	case g.outliers.Paused(key, now):
		return reasonPaused
	case now.Before(g.changing[key]):
		return reasonChangingStage
	case g.servers[key].Stage != fleet.NoStage && !g.begins(g.servers[key].Software):
		return reasonNotRecorded
	}
	return ""
}

// pauseRecheck is the interval at which paused backend servers are checked again.
const pauseRecheck = 100 * time.Millisecond

// Indexes of the pools of a group.
const (
	plainIndex = iota
	prefillIndex
	decodeIndex
)

// candidate converts a backend server to a candidate and returns the index of its pool in pools.
func candidate(key string, s fleet.Server) (stage int, c dispatch.Candidate) {
	c = dispatch.Candidate{Key: key, Zone: s.Zone, Slots: max(s.Slots, 1), Software: s.Software}
	switch s.Stage {
	case fleet.Prefill:
		c.Slots = prefillConcurrency
		return prefillIndex, c
	case fleet.Decode, fleet.Colocated:
		return decodeIndex, c
	default:
		c.Slots *= plainQueueFactor
		return plainIndex, c
	}
}

// pools returns the pools in the order of the index that candidate returns.
func (g *group) pools() []*dispatch.Pool { return []*dispatch.Pool{g.plain, g.prefill, g.decode} }

// localUse returns the number of slots that this host uses, by key of the backend server.
func (g *group) localUse() map[string]int {
	used := map[string]int{}
	for _, p := range g.pools() {
		for key, n := range p.LocalUse() {
			used[key] += n
		}
	}
	return used
}

// updateRemoteUse sets the number of slots that other hosts use at the backend servers for which it has changed, by key.
// hosts is the number of hosts of the fleet.
func (g *group) updateRemoteUse(changed map[string]int, hosts int) {
	for _, p := range g.pools() {
		p.SetHosts(hosts)
		p.UpdateRemoteUse(changed)
	}
}

// setRateLimits replaces the rates at which this host may send to rate-limited backend servers.
func (g *group) setRateLimits(share func(key string, s fleet.Server) (perSecond float64, limited bool)) {
	rates := map[string]float64{}
	g.mu.Lock()
	for key, s := range g.servers {
		if perSecond, limited := share(key, s); limited {
			rates[key] = perSecond
		}
	}
	g.limited = len(rates) > 0
	g.mu.Unlock()
	for _, p := range g.pools() {
		p.SetRateLimits(rates)
	}
}

// clearRateLimits removes the limits that setRateLimits has set.
func (g *group) clearRateLimits() {
	g.mu.Lock()
	limited := g.limited
	g.mu.Unlock()
	if limited {
		g.setRateLimits(func(string, fleet.Server) (float64, bool) { return 0, false })
	}
}

// setChanging replaces the engines that are changing their stage, and refreshes the pools if the set has changed.
func (g *group) setChanging(until map[string]time.Time) {
	g.mu.Lock()
	changed := false
	next := map[string]time.Time{}
	for key, at := range until {
		if _, present := g.servers[key]; present {
			next[key] = at
			_, known := g.changing[key]
			changed = changed || !known
		}
	}
	changed = changed || len(next) != len(g.changing)
	g.changing = next
	g.mu.Unlock()
	if changed {
		g.refresh()
	}
}

// count updates this host's load counters of the service.
func (g *group) count(add func(*stagesplit.Totals)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	add(&g.totals)
}

// loadTotals returns this host's load counters since its start.
func (g *group) loadTotals() stagesplit.Totals {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.totals
}

// engines returns the service's prefill and decode engines with the slots in use by all hosts. Colocated engines are
// left out, since they do not change their stage.
func (g *group) engines() []stagesplit.Engine {
	used := map[string]int{}
	for _, p := range g.pools() {
		for key, n := range p.TotalUse() {
			used[key] += n
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []stagesplit.Engine
	for key, s := range g.servers {
		if s.Stage == fleet.Prefill || s.Stage == fleet.Decode {
			out = append(out, stagesplit.Engine{Key: key, Zone: s.Zone, Stage: s.Stage, InUse: used[key]})
		}
	}
	return out
}

// server returns the backend server with the given key, or false if it has been removed since its slot was granted.
func (g *group) server(key string) (fleet.Server, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, known := g.servers[key]
	return s, known
}

// usable reports whether a backend server that was selected before may still get a request: its incarnation is neither gone
// nor leaving, is not held off, and has the same address and stage.
func (g *group) usable(s fleet.Server) bool {
	present, known := g.server(serverKey(s))
	return known && present.Address == s.Address && present.Stage == s.Stage && g.heldFor(s) == 0
}

// holdOff records that a backend server wants no requests for a time, and reports whether it has got some until now.
func (g *group) holdOff(s fleet.Server, wait time.Duration) (began bool) {
	key := serverKey(s)
	g.mu.Lock()
	now := g.now()
	began = !now.Before(g.heldOff[key])
	if until := now.Add(wait); until.After(g.heldOff[key]) {
		g.heldOff[key] = until
	}
	g.mu.Unlock()
	g.refresh()
	return began
}

// heldFor returns for how long a backend server still wants no requests.
func (g *group) heldFor(s fleet.Server) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(g.heldOff[serverKey(s)].Sub(g.now()), 0)
}

// firstHoldOffEnd returns the time until the first of the backend servers that are held off wants requests again, 0 if none
// is held off.
func (g *group) firstHoldOffEnd() (first time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for key, until := range g.heldOff {
		if _, known := g.servers[key]; known && now.Before(until) && (first == 0 || until.Sub(now) < first) {
			first = until.Sub(now)
		}
	}
	return first
}

// observe records the result of an attempt and reports whether it paused the backend server.
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
	g.budget.RecordRequest(g.now())
}

// retrySent records that a retry is being sent now. allowedAt is the time at which the budget allowed it.
func (g *group) retrySent(allowedAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.RecordSend(allowedAt, g.now(), 1)
}

func (g *group) mayRetry(hosts int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.AllowRetry(g.now(), hosts, 1)
}

// prefillDoubtful reports whether a prefill engine is expected to refuse a prompt: it refused the last one, or many engines did.
func (g *group) prefillDoubtful(key string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refusing[key] || g.manyRefuse()
}

// manyPrefillsRefused reports whether so many prefill engines refuse prompts that all of them are in doubt.
func (g *group) manyPrefillsRefused() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.manyRefuse()
}

// manyRefuse reports whether more than one prefill engine, and a larger share of them than the share of requests that may be retried,
// have refused the last prompt that they answered. The budget does not grow as fast as prompts to such engines would be refused. It is
// called with g.mu held.
func (g *group) manyRefuse() bool {
	if len(g.refusing) < 2 {
		return false
	}
	refusing, all := 0, 0
	for key, s := range g.servers {
		if s.Stage == fleet.Prefill {
			all++
			if g.refusing[key] {
				refusing++
			}
		}
	}
	return refusing > 1 && float64(refusing) > g.retryRatio*float64(all)
}

func (g *group) recordPrefill(key string, refused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if refused {
		g.refusing[key] = true
	} else {
		delete(g.refusing, key)
	}
}

// chargeRetry charges a send to the retry budget that must follow a refused one.
func (g *group) chargeRetry() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Charge(g.now(), 1)
}

// refundRetries returns sends to the retry budget that were charged at an earlier time and turned out to be no retries.
func (g *group) refundRetries(chargedAt time.Time, sends int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Refund(chargedAt, g.now(), sends)
}

// retryAvailable reports whether mayRetry would allow a retry now.
func (g *group) retryAvailable(hosts int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Available(g.now(), hosts, 1)
}
