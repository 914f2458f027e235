package placement

import (
	"time"

	"github.com/boragecourse/boragecourse/internal/cacheindex"
	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/rules"
)

// serverView is this host's state of one server: the last load received from its home host, this host's own
// reservations and releases since then, and the estimated costs.
type serverView struct {
	rule *rules.Server
	name string
	zone int
	home host.ID
	// hasHome is false when the epoch has no host at all.
	hasHome bool
	load    Load
	loadAt  time.Time
	// ownBusy and ownPrefill are this host's grants less its releases since loadAt.
	ownBusy    int
	ownPrefill time.Duration
	// homeUnreachableUntil is set while the home host is avoided, downUntil while the server itself is.
	homeUnreachableUntil, downUntil time.Time
	failures                        int
	costs                           Costs
}

func (s *serverView) homeUnreachable(now time.Time) bool {
	return !s.hasHome || s.homeUnreachableUntil.After(now)
}

func (s *serverView) down(now time.Time) bool { return s.load.Down || s.downUntil.After(now) }

// prefillWait predicts the wait for the prefill engine. The reported backlog is reduced by the age of the report.
func (s *serverView) prefillWait(now time.Time, waitClass bool) time.Duration {
	wait := s.load.PrefillWait + s.ownPrefill
	if waitClass {
		wait = s.load.PrefillQueue + s.ownPrefill
	}
	if wait <= 0 {
		return 0
	}
	return max(0, wait-now.Sub(s.loadAt))
}

// slotWait predicts the wait for a decode slot and the fraction of slots in use.
func (s *serverView) slotWait(waitClass bool) (time.Duration, float64) {
	slots := s.load.Slots
	if slots == 0 {
		slots = max(s.rule.Slots, 1)
	}
	busy := s.load.Busy + s.ownBusy
	wait := s.load.SlotWait
	if waitClass {
		wait = s.load.SlotQueue
	}
	if busy < slots && wait == 0 {
		return 0, float64(max(0, busy)) / float64(slots)
	}
	return max(wait, time.Millisecond), 1
}

// setLoad replaces the load by a newer one from the home host.
func (s *serverView) setLoad(now time.Time, l Load) {
	s.load, s.loadAt, s.ownBusy, s.ownPrefill = l, now, 0, 0
}

// maxDownTime bounds the time that a failing server is avoided.
const maxDownTime = 30 * time.Second

// observe updates the cost estimates and avoids the server after failures, twice as long after each consecutive one. A
// failed transfer may be the fault of either server, so it does not count.
func (s *serverView) observe(now time.Time, o Observation, backoff time.Duration) {
	if !o.Failed {
		s.failures = 0
		s.costs.Update(o)
		return
	}
	if o.Stage == StageTransfer {
		return
	}
	s.failures++
	s.downUntil = now.Add(min(maxDownTime, backoff<<min(s.failures-1, 6)))
}

// modelView lists the active servers of one model.
type modelView struct {
	prefill, decode, both []*serverView
}

// view is this host's state of all backend servers for one snapshot and epoch.
type view struct {
	opt     *Options
	snap    *config.Snapshot
	epoch   uint64
	built   bool
	servers map[string]*serverView
	models  map[string]*modelView
	zones   map[string]int
	links   links
	index   *cacheindex.Index
	pre     []candidate
	dec     []candidate
}

func newView(o *Options) *view {
	return &view{opt: o, servers: map[string]*serverView{}, zones: map[string]int{}, index: cacheindex.New(0, 0)}
}

// current reports whether the view was built for the snapshot and epoch.
func (v *view) current(snap *config.Snapshot, epoch uint64) bool {
	return v.built && v.snap == snap && v.epoch == epoch
}

// rebuild updates the view to a new snapshot or epoch. The state of servers that remain is kept.
func (v *view) rebuild(snap *config.Snapshot, epoch membership.Epoch) {
	v.snap, v.epoch, v.built = snap, epoch.Number, true
	v.models = map[string]*modelView{}
	old := v.servers
	v.servers = map[string]*serverView{}
	for name, rule := range snap.Servers() {
		s := old[name]
		if s == nil || s.rule.Addr != rule.Addr {
			s = &serverView{name: name, costs: DefaultCosts()}
		}
		s.rule, s.zone = rule, v.zone(rule.Zone)
		s.home, s.hasHome = HomeOf(epoch, rule)
		v.servers[name] = s
	}
	for name := range old {
		if v.servers[name] == nil {
			v.index.Drop(name)
		}
	}
	for _, model := range snap.Models() {
		m := &modelView{}
		for _, rule := range snap.Engines(model) {
			s := v.servers[rule.Name]
			if rule.State == rules.ServerLeaving {
				continue
			}
			if runsStage(rule.Role, StagePrefill) {
				m.prefill = append(m.prefill, s)
			}
			if runsStage(rule.Role, StageDecode) {
				m.decode = append(m.decode, s)
			}
			if rule.Role == rules.RoleBoth {
				m.both = append(m.both, s)
			}
		}
		v.models[model] = m
	}
}

func (v *view) zone(name string) int {
	if i, ok := v.zones[name]; ok {
		return i
	}
	v.zones[name] = len(v.zones)
	return len(v.zones) - 1
}

// HomeOf returns the home host of a server: the rendezvous hash of the server over the epoch's hosts of its zone, or
// over all hosts of the epoch while its zone has none. It reports false when the epoch is empty.
func HomeOf(e membership.Epoch, s *rules.Server) (host.ID, bool) {
	key := "server " + s.Name
	if h, ok := e.Home(s.Zone, key); ok {
		return h, true
	}
	return host.Home(key, e.Hosts)
}

// uncachedTokens is the number of prompt tokens beyond the cached blocks.
func uncachedTokens(tokens int64, blocks int) int64 {
	return max(0, tokens-int64(blocks)*cacheindex.BlockTokens)
}
