// Package baseline provides placement policies without reservations, to which benchmarks compare internal/placement.
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

// Policy names a placement policy.
type Policy string

// Baselines. RoundRobin uses the servers in rotation. LeastLoad uses the server with the lowest reported load.
// Colocated runs both stages on the server with the lowest load, which is the larger of the reported load and the
// number of this placer's open placements.
const (
	RoundRobin Policy = "round-robin"
	LeastLoad  Policy = "least-load"
	Colocated  Policy = "colocated"
)

// Placer implements placement.Placer without reservations.
type Placer struct {
	policy  Policy
	engines engine.Directory

	mu sync.Mutex
	// next is the rotating start index of each stage.
	next map[placement.Stage]int
	// reported is the load from the last report of each server, placed the number of open placements on it.
	reported map[string]int
	placed   map[string]int
	// avoidUntil is the time until which a failed server is not used.
	avoidUntil map[string]time.Time
}

// New returns a placer that follows the given policy. Load-based policies need regular calls of Poll.
func New(p Policy, engines engine.Directory) *Placer {
	return &Placer{
		policy: p, engines: engines, next: map[placement.Stage]int{}, reported: map[string]int{},
		placed: map[string]int{}, avoidUntil: map[string]time.Time{},
	}
}

// Poll reads the load report of each engine once. If an engine fails to report, its last report stays in use.
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
	return &placement.Placement{Prefill: prefill, Decode: decode, ReleasePrefill: p.countPlacement(prefill), ReleaseDecode: p.countPlacement(decode)}, nil
}

// PlaceDecode implements placement.Placer.
func (p *Placer) PlaceDecode(_ context.Context, snap *config.Snapshot, r placement.Request, prefill *rules.Server) (*placement.Placement, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	decode := p.pick(snap.Engines(r.Model), placement.StageDecode, r.Exclude)
	if decode == nil {
		return nil, &placement.NoServerError{Model: r.Model}
	}
	return &placement.Placement{Prefill: prefill, Decode: decode, ReleasePrefill: func() {}, ReleaseDecode: p.countPlacement(decode)}, nil
}

// PlaceService implements placement.Placer.
func (p *Placer) PlaceService(_ context.Context, snap *config.Snapshot, pool string, exclude []string) (*rules.Server, func(), error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.pick(snap.Pool(pool), placement.StageService, exclude)
	if s == nil {
		return nil, nil, &placement.NoServerError{Pool: pool}
	}
	return s, p.countPlacement(s), nil
}

// Observe implements placement.Placer. A server that failed is not used for two seconds, unless only a transfer failed.
func (p *Placer) Observe(o placement.Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o.Failed && o.Stage != placement.StageTransfer {
		p.avoidUntil[o.Server] = time.Now().Add(2 * time.Second)
	}
}

// countPlacement counts a placement on a server until the returned function is called. The caller holds p.mu.
func (p *Placer) countPlacement(s *rules.Server) func() {
	p.placed[s.Name]++
	return sync.OnceFunc(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.placed[s.Name]--
	})
}

// pick returns a usable server for the stage, or nil. The caller holds p.mu.
func (p *Placer) pick(all []*rules.Server, stage placement.Stage, exclude []string) *rules.Server {
	now := time.Now()
	usable := slices.DeleteFunc(slices.Clone(all), func(s *rules.Server) bool {
		return s.State == rules.ServerLeaving || !supports(s.Role, stage) || slices.Contains(exclude, s.Name) || p.avoidUntil[s.Name].After(now)
	})
	if len(usable) == 0 {
		return nil
	}
	p.next[stage]++
	start := p.next[stage] % len(usable)
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
		return max(p.reported[s.Name], p.placed[s.Name])
	}
	return p.reported[s.Name]
}

// supports reports whether a server of the role runs the stage.
func supports(role rules.Role, stage placement.Stage) bool {
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
