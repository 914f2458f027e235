// Package baseline holds placement policies without reservations, for measurement against internal/placement.
package baseline

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/placement"
	"github.com/boragecourse/boragecourse/internal/rules"
)

// Policy names a baseline.
type Policy string

// Baselines. RoundRobin takes servers in turn, LeastLoad the one with the least reported load, Colocated one server
// for both stages by least own count and reported load.
const (
	RoundRobin Policy = "round-robin"
	LeastLoad  Policy = "least-load"
	Colocated  Policy = "colocated"
)

// Placer implements placement.Placer without reservations.
type Placer struct {
	policy  Policy
	engines engine.Directory

	mu       sync.Mutex
	turn     map[placement.Stage]int
	reported map[string]int
	own      map[string]int
	down     map[string]time.Time
}

// New returns a baseline.
func New(p Policy, engines engine.Directory) *Placer {
	return &Placer{
		policy: p, engines: engines, turn: map[placement.Stage]int{}, reported: map[string]int{},
		own: map[string]int{}, down: map[string]time.Time{},
	}
}

// Poll reads the load reports of all engines once.
func (p *Placer) Poll(ctx context.Context, snap *config.Snapshot) {
	for _, s := range snap.Servers() {
		if s.Role == rules.RoleService {
			continue
		}
		r, err := p.engines.Server(s.Name, s.Addr).Load(ctx)
		p.mu.Lock()
		if err == nil {
			p.reported[s.Name] = r.Running + r.Waiting
		}
		p.mu.Unlock()
	}
}

// Place implements placement.Placer.
func (p *Placer) Place(_ context.Context, snap *config.Snapshot, r placement.Request) (*placement.Placement, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	prefill := p.pick(snap.Engines(r.Model), placement.StagePrefill, r.Exclude)
	decode := prefill
	if p.policy != Colocated {
		decode = p.pick(snap.Engines(r.Model), placement.StageDecode, r.Exclude)
	}
	if prefill == nil || decode == nil {
		return nil, &placement.NoServerError{Model: r.Model}
	}
	return &placement.Placement{Prefill: prefill, Decode: decode, ReleasePrefill: p.hold(prefill), ReleaseDecode: p.hold(decode)}, nil
}

// PlaceDecode implements placement.Placer.
func (p *Placer) PlaceDecode(_ context.Context, snap *config.Snapshot, r placement.Request, prefill *rules.Server) (*placement.Placement, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	decode := p.pick(snap.Engines(r.Model), placement.StageDecode, r.Exclude)
	if decode == nil {
		return nil, &placement.NoServerError{Model: r.Model}
	}
	return &placement.Placement{Prefill: prefill, Decode: decode, ReleasePrefill: func() {}, ReleaseDecode: p.hold(decode)}, nil
}

// PlaceService implements placement.Placer.
func (p *Placer) PlaceService(_ context.Context, snap *config.Snapshot, pool string, exclude []string) (*rules.Server, func(), error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.pick(snap.Pool(pool), placement.StageService, exclude)
	if s == nil {
		return nil, nil, &placement.NoServerError{Pool: pool}
	}
	return s, p.hold(s), nil
}

// Observe implements placement.Placer: failed servers are avoided for two seconds.
func (p *Placer) Observe(o placement.Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o.Failed && o.Stage != placement.StageTransfer {
		p.down[o.Server] = time.Now().Add(2 * time.Second)
	}
}

// hold counts a placement on a server until the returned function is called.
func (p *Placer) hold(s *rules.Server) func() {
	p.own[s.Name]++
	return sync.OnceFunc(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.own[s.Name]--
	})
}

func (p *Placer) pick(all []*rules.Server, stage placement.Stage, exclude []string) *rules.Server {
	now := time.Now()
	usable := slices.DeleteFunc(slices.Clone(all), func(s *rules.Server) bool {
		return s.State == rules.ServerLeaving || !runs(s.Role, stage) || slices.Contains(exclude, s.Name) || p.down[s.Name].After(now)
	})
	if len(usable) == 0 {
		return nil
	}
	p.turn[stage]++
	start := p.turn[stage] % len(usable)
	if p.policy == RoundRobin {
		return usable[start]
	}
	best := usable[start]
	for i := range usable {
		if s := usable[(start+i)%len(usable)]; p.load(s) < p.load(best) {
			best = s
		}
	}
	return best
}

func (p *Placer) load(s *rules.Server) int {
	if p.policy == Colocated {
		return max(p.reported[s.Name], p.own[s.Name])
	}
	return p.reported[s.Name]
}

func runs(role rules.Role, stage placement.Stage) bool {
	switch role {
	case rules.RoleBoth:
		return stage != placement.StageService
	case rules.RolePrefill:
		return stage == placement.StagePrefill
	case rules.RoleDecode:
		return stage == placement.StageDecode
	default:
		return stage == placement.StageService
	}
}

var _ placement.Placer = (*Placer)(nil)
