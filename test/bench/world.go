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

// connectTimeout is how long a call across a cut takes to fail.
const connectTimeout = 100 * time.Millisecond

// World holds the engines, the links between zones and the accounts of a run.
type World struct {
	fleet   *Fleet
	engines map[string]*Engine

	mu      sync.Mutex
	jobs    map[int]*Job
	exports map[string]export
	links   map[[2]string]time.Time
	cutZone string
	// prefill is all prefill time, used the part whose result a decode took.
	prefill, used time.Duration
}

type export struct {
	expires time.Time
	cost    time.Duration
	zone    string
}

func newWorld(f *Fleet, all map[string]*rules.Server) *World {
	w := &World{fleet: f, engines: map[string]*Engine{}, jobs: map[int]*Job{}, exports: map[string]export{}, links: map[[2]string]time.Time{}}
	for name, s := range all {
		w.engines[name] = &Engine{w: w, name: name, zone: s.Zone, role: s.Role}
	}
	return w
}

func (w *World) job(c engine.Call) *Job {
	id, _ := strconv.Atoi(string(c.Body))
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[id]
}

func (w *World) export(kv engine.KVHandle, cost time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.exports[kv.ID] = export{expires: time.Now().Add(kvLife), cost: cost, zone: w.engines[kv.Server].zone}
}

func (w *World) expiry(kv *engine.KVHandle) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.exports[kv.ID].expires
}

func (w *World) prefilled(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.prefill += d
}

func (w *World) useful(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.used += d
}

// consumed counts a prefill as useful, once.
func (w *World) consumed(kv *engine.KVHandle) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.used += w.exports[kv.ID].cost
	delete(w.exports, kv.ID)
}

// transfer moves a KV cache over the link between two zones, behind those that are on it.
func (w *World) transfer(ctx context.Context, kv *engine.KVHandle, zone string) error {
	w.mu.Lock()
	x, ok := w.exports[kv.ID]
	now := time.Now()
	link := [2]string{x.zone, zone}
	start := now
	if w.links[link].After(now) {
		start = w.links[link]
	}
	per := linkPerToken
	if x.zone != zone {
		per = crossPerToken
	}
	end := start.Add(prefillBase/2 + time.Duration(kv.Tokens)*per)
	if !ok || start.After(x.expires) || w.isCut(x.zone, zone) {
		w.mu.Unlock()
		return &engine.ImportError{Server: kv.Server, Gone: !ok || start.After(x.expires), Cause: io.ErrUnexpectedEOF}
	}
	w.links[link] = end
	w.mu.Unlock()
	select {
	case <-time.After(end.Sub(now)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (w *World) isCut(a, b string) bool { return a != b && (a == w.cutZone || b == w.cutZone) }

// reach waits for the latency between zones, or for the connect timeout across a cut.
func (w *World) reach(ctx context.Context, from string, e *Engine) error {
	w.mu.Lock()
	cut := w.isCut(from, e.zone)
	w.mu.Unlock()
	if cut {
		select {
		case <-time.After(connectTimeout):
		case <-ctx.Done():
		}
		return &engine.ConnectError{Server: e.name, Cause: context.DeadlineExceeded}
	}
	if from != e.zone {
		time.Sleep(w.fleet.Latency)
	}
	return nil
}

// reporting refreshes the load reports until the context ends.
func (w *World) reporting(ctx context.Context) {
	ticker := time.NewTicker(reportLag)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			for _, e := range w.engines {
				e.snapshotLoad()
			}
		case <-ctx.Done():
			return
		}
	}
}

// directory gives clients for calls from one zone.
type directory struct {
	w    *World
	zone string
}

// Server implements engine.Directory.
func (d directory) Server(name, _ string) engine.Server { return client{d.w.engines[name], d.zone} }

// Service implements engine.Directory; the bench has no plain services.
func (d directory) Service(string, string) engine.Service { return nil }

// client calls an engine from a zone.
type client struct {
	*Engine
	zone string
}

// Prefill implements engine.Server.
func (c client) Prefill(ctx context.Context, call engine.Call) (engine.KVHandle, error) {
	if err := c.w.reach(ctx, c.zone, c.Engine); err != nil {
		return engine.KVHandle{}, err
	}
	return c.prefill(ctx, call)
}

// Decode implements engine.Server.
func (c client) Decode(ctx context.Context, call engine.Call, kv *engine.KVHandle) (engine.Stream, error) {
	if err := c.w.reach(ctx, c.zone, c.Engine); err != nil {
		return nil, err
	}
	return c.decode(ctx, call, kv)
}

// Resume implements engine.Server; the model's streams end only with their engine.
func (c client) Resume(context.Context, engine.Attempt, int64) (engine.Stream, error) {
	return nil, &engine.StreamLostError{Server: c.name, Cause: io.ErrUnexpectedEOF}
}

// Abort implements engine.Server.
func (c client) Abort(ctx context.Context, id string) error {
	if err := c.w.reach(ctx, c.zone, c.Engine); err != nil {
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
	if err := c.w.reach(ctx, c.zone, c.Engine); err != nil {
		return engine.LoadReport{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		return engine.LoadReport{}, &engine.ConnectError{Server: c.name, Cause: io.ErrClosedPipe}
	}
	r := c.report
	r.Age = time.Since(c.at)
	return r, nil
}

// CacheEvents implements engine.Server.
func (c client) CacheEvents(ctx context.Context, after uint64) ([]engine.CacheEvent, error) {
	if err := c.w.reach(ctx, c.zone, c.Engine); err != nil {
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
	return c.cache.content()
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
