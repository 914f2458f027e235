package placement

import (
	"time"

	"github.com/boragecourse/boragecourse/internal/cacheindex"
	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/rules"
)

// serverView is what this host knows of one server: the load that its home host last gave, this host's own
// changes since, and the learned costs.
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
	// blindUntil is set while the home host does not answer, downUntil while the server itself fails.
	blindUntil, downUntil time.Time
	failures              int
	costs                 Costs
}

func (s *serverView) blind(now time.Time) bool { return !s.hasHome || s.blindUntil.After(now) }

func (s *serverView) down(now time.Time) bool { return s.load.Down || s.downUntil.After(now) }

// prefillWait predicts the wait for the prefill engine; a backlog shrinks as time passes.
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

// slotWait predicts the wait for a decode slot and the share of slots in use.
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

// setLoad takes a newer load from the home host.
func (s *serverView) setLoad(now time.Time, l Load) {
	s.load, s.loadAt, s.ownBusy, s.ownPrefill = l, now, 0, 0
}

// maxDown bounds the time that a failing server is avoided.
const maxDown = 30 * time.Second

// observe learns costs and avoids the server after failures, longer after each one in a row. A failed transfer
// says nothing about the importing server alone, so it does not count.
func (s *serverView) observe(now time.Time, o Observation, downFor time.Duration) {
	if !o.Failed {
		s.failures = 0
		s.costs.Learn(o)
		return
	}
	if o.Stage == StageTransfer {
		return
	}
	s.failures++
	s.downUntil = now.Add(min(maxDown, downFor<<min(s.failures-1, 6)))
}

// modelView lists the active servers of one model.
type modelView struct {
	prefill, decode, both []*serverView
}

// view is this host's picture of the fleet for one snapshot and epoch.
type view struct {
	opt     *Options
	snap    *config.Snapshot
	epoch   uint64
	known   bool
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
	return v.known && v.snap == snap && v.epoch == epoch
}

// rebuild takes a new snapshot or epoch. Knowledge of servers that remain is kept.
func (v *view) rebuild(snap *config.Snapshot, epoch membership.Epoch) {
	v.snap, v.epoch, v.known = snap, epoch.Number, true
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
			if does(rule.Role, StagePrefill) {
				m.prefill = append(m.prefill, s)
			}
			if does(rule.Role, StageDecode) {
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

// HomeOf is the home host of a server: the rendezvous hash over the epoch hosts of its zone, or over all epoch
// hosts while its zone has none.
func HomeOf(e membership.Epoch, s *rules.Server) (host.ID, bool) {
	key := "server " + s.Name
	if h, ok := e.Home(s.Zone, key); ok {
		return h, true
	}
	return host.Home(key, e.Hosts)
}

// uncached is the number of prompt tokens beyond the cached blocks.
func uncached(tokens int64, blocks int) int64 {
	return max(0, tokens-int64(blocks)*cacheindex.BlockTokens)
}
