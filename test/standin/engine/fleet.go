package engine

import (
	"context"
	"sync"
	"time"

	"github.com/boragecourse/boragecourse/internal/engine"
)

// Fleet connects engines: it finds exporters by address and shares the links between engines. Engines of one
// process share a Fleet; engines of several processes fetch exports over HTTP.
type Fleet struct {
	mu    sync.Mutex
	cores map[string]*Core
	links map[[2]string]time.Time
}

// NewFleet returns an empty fleet.
func NewFleet() *Fleet {
	return &Fleet{cores: map[string]*Core{}, links: map[[2]string]time.Time{}}
}

func (f *Fleet) add(c *Core) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cores[c.cfg.Addr] = c
}

func (f *Fleet) core(addr string) *Core {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cores[addr]
}

// reserveLink reserves the link for a transfer and returns the time at which the transfer will complete. Transfers on
// one link run one after the other.
func (f *Fleet) reserveLink(from, to string, tokens, rate int64) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	start := time.Now()
	if busy := f.links[[2]string{from, to}]; busy.After(start) {
		start = busy
	}
	end := start.Add(time.Duration(tokens) * time.Second / time.Duration(rate))
	f.links[[2]string{from, to}] = end
	return end
}

// Server implements engine.Directory. If the fleet has no engine of that name at the address, it returns one that
// refuses connections.
func (f *Fleet) Server(name, addr string) engine.Server {
	if c := f.core(addr); c != nil && c.cfg.Name == name {
		return c
	}
	c := New(Config{Name: name, Addr: addr}, NewFleet())
	c.SetFaults(Faults{RefuseConnections: true})
	return c
}

// Service implements engine.Directory. It returns nil, since a Fleet contains only engines.
func (f *Fleet) Service(string, string) engine.Service { return nil }

// exporter is the source of a KV cache transfer: a Core of this process or of another one.
type exporter interface {
	// pinExport prevents an export from expiring during a transfer and returns its length in tokens.
	pinExport(ctx context.Context, id string) (int64, error)
	// unpinExport ends a transfer and frees the export if it was imported.
	unpinExport(ctx context.Context, id string, imported bool)
}

// fetch transfers the KV cache from the exporter to c and then frees the export, which is pinned meanwhile.
func (f *Fleet) fetch(ctx context.Context, c *Core, kv *engine.KVCacheHandle) error {
	var from exporter = &remoteExporter{addr: kv.Addr}
	if local := f.core(kv.Addr); local != nil {
		from = local
	}
	tokens, err := from.pinExport(ctx, kv.ID)
	if err != nil {
		return err
	}
	done := f.reserveLink(kv.Addr, c.cfg.Addr, tokens, c.cfg.LinkRate)
	err = sleep(ctx, time.Until(done))
	from.unpinExport(context.WithoutCancel(ctx), kv.ID, err == nil)
	return err
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return context.Cause(ctx)
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
