package engine

import (
	"context"
	"slices"
	"time"

	"github.com/boragecourse/boragecourse/internal/engine"
)

type loadSample struct {
	at   time.Time
	load engine.LoadReport
}

// sampleLoad records the current load. The caller holds the lock.
func (c *Core) sampleLoad() {
	now := time.Now()
	c.loads = append(c.loads, loadSample{now, engine.LoadReport{
		Incarnation: c.incarnation,
		Running:     c.cfg.Slots - c.slots.slots,
		Waiting:     len(c.slots.waiting),
		Slots:       c.cfg.Slots,
		PiecesUsed:  c.heldLocked(),
		PiecesTotal: c.cfg.Pieces,
	}})
	for len(c.loads) > 1 && now.Sub(c.loads[1].at) >= c.cfg.LoadLag {
		c.loads = c.loads[1:]
	}
}

// heldLocked returns the number of pieces in use. The caller holds the lock.
func (c *Core) heldLocked() int64 { return c.cfg.Pieces - c.slots.pieces }

// Load implements engine.Server.
func (c *Core) Load(ctx context.Context) (engine.LoadReport, error) {
	if err := c.connect(ctx); err != nil {
		return engine.LoadReport{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := c.loads[0]
	for _, s := range c.loads {
		if time.Since(s.at) >= c.cfg.LoadLag {
			seen = s
		}
	}
	seen.load.Age = min(time.Since(seen.at), c.cfg.LoadLag)
	return seen.load, nil
}

// Abort implements engine.Server.
func (c *Core) Abort(ctx context.Context, attemptID string) error {
	if err := c.connect(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if consume(&c.faults.FailAborts) {
		return c.failedError(errInjected)
	}
	c.report.aborts++
	a := c.attempts[attemptID]
	if a == nil {
		return nil
	}
	if e := c.exports[attemptID]; e != nil && e.pins == 0 {
		c.dropExport(attemptID, e)
	}
	a.fail(errAborted)
	c.freeLocked(a)
	return nil
}

// Holdings implements engine.Server.
func (c *Core) Holdings(ctx context.Context) ([]engine.Holding, error) {
	if err := c.connect(ctx); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holdingsLocked(), nil
}

func (c *Core) holdingsLocked() []engine.Holding {
	held := []engine.Holding{}
	for id, a := range c.attempts {
		if a.slot != nil {
			held = append(held, engine.Holding{
				AttemptID: id, Host: a.id.Host, Incarnation: a.id.Incarnation, Pieces: a.slot.pieces,
			})
		}
	}
	slices.SortFunc(held, func(a, b engine.Holding) int {
		if a.AttemptID < b.AttemptID {
			return -1
		}
		return 1
	})
	return held
}

// Apply implements engine.Server.
func (c *Core) Apply(ctx context.Context, cmd engine.Command) error {
	if err := c.connect(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cfg.ChecksFencingToken && cmd.Fence < c.state.Fence {
		return &engine.StaleFencingTokenError{Server: c.cfg.Name, Highest: c.state.Fence}
	}
	c.state.Fence = cmd.Fence
	c.report.commands = append(c.report.commands, cmd)
	for _, f := range []struct{ to, from *string }{
		{&c.state.Role, &cmd.Role}, {&c.state.Model, &cmd.Model},
		{&c.state.Adapter, &cmd.Adapter}, {&c.state.Version, &cmd.Version},
	} {
		if *f.from != "" {
			*f.to = *f.from
		}
	}
	return nil
}

// State implements engine.Server.
func (c *Core) State(ctx context.Context) (engine.State, error) {
	if err := c.connect(ctx); err != nil {
		return engine.State{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state, nil
}
