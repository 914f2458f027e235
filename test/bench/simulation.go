package bench

import (
	"context"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/rules"
)

// connectTimeout is the time after which a call across a partition fails.
const connectTimeout = 100 * time.Millisecond

// Simulation is the simulated environment of one run: the engines, the links between zones and the prefill accounting.
type Simulation struct {
	fleet   *Fleet
	engines map[string]*Engine

	mu      sync.Mutex
	jobs    map[int]*Job
	exports map[string]export
	// links holds the time until which each link is busy, by source and target zone.
	links           map[[2]string]time.Time
	partitionedZone string
	// prefill is the total prefill time, used the part whose KV cache a decode used.
	prefill, used time.Duration
}

// export is a KV cache that a prefill engine offers for import.
type export struct {
	expires time.Time
	cost    time.Duration
	zone    string
}

func newSimulation(f *Fleet, all map[string]*rules.Server) *Simulation {
	sim := &Simulation{fleet: f, engines: map[string]*Engine{}, jobs: map[int]*Job{}, exports: map[string]export{}, links: map[[2]string]time.Time{}}
	for name, s := range all {
		sim.engines[name] = &Engine{sim: sim, name: name, zone: s.Zone, role: s.Role}
	}
	return sim
}

func (s *Simulation) job(c engine.Call) *Job {
	id, _ := strconv.Atoi(string(c.Body))
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs[id]
}

func (s *Simulation) export(kv engine.KVCacheHandle, cost time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exports[kv.ID] = export{expires: time.Now().Add(kvLifetime), cost: cost, zone: s.engines[kv.Server].zone}
}

func (s *Simulation) expiry(kv *engine.KVCacheHandle) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.exports[kv.ID].expires
}

func (s *Simulation) addPrefill(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prefill += d
}

func (s *Simulation) addUsed(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used += d
}

// consume removes an imported KV cache and counts its prefill time as used.
func (s *Simulation) consume(kv *engine.KVCacheHandle) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used += s.exports[kv.ID].cost
	delete(s.exports, kv.ID)
}

// transfer moves a KV cache over the link between two zones, after the transfers that already use the link.
func (s *Simulation) transfer(ctx context.Context, kv *engine.KVCacheHandle, zone string) error {
	s.mu.Lock()
	x, ok := s.exports[kv.ID]
	now := time.Now()
	link := [2]string{x.zone, zone}
	start := now
	if s.links[link].After(now) {
		start = s.links[link]
	}
	per := linkPerToken
	if x.zone != zone {
		per = crossPerToken
	}
	end := start.Add(prefillBase/2 + time.Duration(kv.Tokens)*per)
	if !ok || start.After(x.expires) || s.isPartitioned(x.zone, zone) {
		s.mu.Unlock()
		return &engine.ImportError{Server: kv.Server, Gone: !ok || start.After(x.expires), Cause: io.ErrUnexpectedEOF}
	}
	s.links[link] = end
	s.mu.Unlock()
	select {
	case <-time.After(end.Sub(now)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Simulation) isPartitioned(a, b string) bool {
	return a != b && (a == s.partitionedZone || b == s.partitionedZone)
}

// connect waits for the latency between zones. Across a partition it fails after connectTimeout.
func (s *Simulation) connect(ctx context.Context, from string, e *Engine) error {
	s.mu.Lock()
	partitioned := s.isPartitioned(from, e.zone)
	s.mu.Unlock()
	if partitioned {
		select {
		case <-time.After(connectTimeout):
		case <-ctx.Done():
		}
		return &engine.ConnectError{Server: e.name, Cause: context.DeadlineExceeded}
	}
	if from != e.zone {
		time.Sleep(s.fleet.Latency)
	}
	return nil
}

// refreshReports refreshes the load reports every reportLag until the context ends.
func (s *Simulation) refreshReports(ctx context.Context) {
	ticker := time.NewTicker(reportLag)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			for _, e := range s.engines {
				e.snapshotLoad()
			}
		case <-ctx.Done():
			return
		}
	}
}

// directory is an engine.Directory for callers in one zone.
type directory struct {
	sim  *Simulation
	zone string
}

// Server implements engine.Directory.
func (d directory) Server(name, _ string) engine.Server { return client{d.sim.engines[name], d.zone} }

// Service implements engine.Directory. It returns nil, since plain services are not simulated.
func (d directory) Service(string, string) engine.Service { return nil }

// client is an engine.Server for callers in one zone.
type client struct {
	*Engine
	zone string
}

// Prefill implements engine.Server.
func (c client) Prefill(ctx context.Context, call engine.Call) (engine.KVCacheHandle, error) {
	if err := c.sim.connect(ctx, c.zone, c.Engine); err != nil {
		return engine.KVCacheHandle{}, err
	}
	return c.prefill(ctx, call)
}

// Decode implements engine.Server.
func (c client) Decode(ctx context.Context, call engine.Call, kv *engine.KVCacheHandle) (engine.Stream, error) {
	if err := c.sim.connect(ctx, c.zone, c.Engine); err != nil {
		return nil, err
	}
	return c.decode(ctx, call, kv)
}

// Resume implements engine.Server. It always fails, since a simulated stream is lost only when its engine fails.
func (c client) Resume(context.Context, engine.Attempt, int64) (engine.Stream, error) {
	return nil, &engine.StreamLostError{Server: c.name, Cause: io.ErrUnexpectedEOF}
}

// Abort implements engine.Server.
func (c client) Abort(ctx context.Context, id string) error {
	if err := c.sim.connect(ctx, c.zone, c.Engine); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range [][]*task{c.queue, c.running} {
		for _, t := range list {
			if t.attempt.ID == id {
				t.canceled = true
			}
		}
	}
	return nil
}

// Load implements engine.Server.
func (c client) Load(ctx context.Context) (engine.LoadReport, error) {
	if err := c.sim.connect(ctx, c.zone, c.Engine); err != nil {
		return engine.LoadReport{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed {
		return engine.LoadReport{}, &engine.ConnectError{Server: c.name, Cause: io.ErrClosedPipe}
	}
	r := c.report
	r.Age = time.Since(c.reportedAt)
	return r, nil
}

// CacheEvents implements engine.Server.
func (c client) CacheEvents(ctx context.Context, after uint64) ([]engine.CacheEvent, error) {
	if err := c.sim.connect(ctx, c.zone, c.Engine); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cache.events(time.Now(), after), nil
}

// CacheBlocks implements engine.Server.
func (c client) CacheBlocks(context.Context) ([]uint64, uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cache.blocks()
}

// Holdings implements engine.Server.
func (c client) Holdings(context.Context) ([]engine.Holding, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []engine.Holding
	for _, list := range [][]*task{c.queue, c.running} {
		for _, t := range list {
			out = append(out, engine.Holding{AttemptID: t.attempt.ID, Host: t.attempt.Host, Incarnation: t.attempt.Incarnation})
		}
	}
	return out, nil
}

// Apply implements engine.Server.
func (c client) Apply(context.Context, engine.Command) error { return nil }

// State implements engine.Server.
func (c client) State(context.Context) (engine.State, error) {
	return engine.State{Incarnation: "1"}, nil
}

var _ engine.Server = client{}
