package engine

import (
	"context"
	"errors"
	"time"

	"github.com/boragecourse/boragecourse/internal/engine"
)

// export is a KV cache that has not been imported yet.
type export struct {
	attempt *attempt
	tokens  int64
	// expired is set when the lifetime ends during a transfer.
	pins    int
	expired bool
	timer   *time.Timer
}

// Prefill implements engine.Server. The work continues after ctx is done; its export then expires unused.
func (c *Core) Prefill(ctx context.Context, call engine.Call) (engine.KVCacheHandle, error) {
	if err := c.connectFor(ctx, call.Attempt); err != nil {
		return engine.KVCacheHandle{}, err
	}
	a, err := c.accept(call, nil, Prefill)
	if err != nil {
		return engine.KVCacheHandle{}, err
	}
	if c.cfg.Role == Decode {
		c.report.addViolation("prefill on a decode engine", call.Attempt.ID, c.cfg.Name)
	}
	type result struct {
		kv  engine.KVCacheHandle
		err error
	}
	done := make(chan result, 1)
	go func() {
		kv, err := c.prefill(a)
		c.delayResponse(a)
		done <- result{kv, err}
	}()
	select {
	case r := <-done:
		return r.kv, r.err
	case <-ctx.Done():
		return engine.KVCacheHandle{}, c.failedError(ctx.Err())
	}
}

func (c *Core) prefill(a *attempt) (engine.KVCacheHandle, error) {
	err := a.admission.wait(a.ctx)
	if err == nil {
		err = c.runPrompt(a)
	}
	c.mu.Lock()
	if err == nil && consume(&c.faults.FailCalls) {
		err = errInjected
	}
	c.mu.Unlock()
	if err != nil {
		c.free(a)
		return engine.KVCacheHandle{}, c.failedError(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.ctx.Err() != nil {
		c.freeLocked(a)
		return engine.KVCacheHandle{}, c.failedError(context.Cause(a.ctx))
	}
	e := &export{attempt: a, tokens: a.prompted}
	c.exports[a.id.ID] = e
	e.timer = time.AfterFunc(c.cfg.ExportLifetime, func() { c.expire(a.id.ID, e) })
	return engine.KVCacheHandle{
		Server: c.cfg.Name, Addr: c.cfg.Addr, ID: a.id.ID, Tokens: a.prompted, Cached: a.cached,
	}, nil
}

// delayResponse waits for Faults.LateAnswers or until the attempt is canceled.
func (c *Core) delayResponse(a *attempt) {
	c.mu.Lock()
	d := c.faults.LateAnswers
	c.mu.Unlock()
	if d > 0 {
		_ = sleep(a.ctx, d)
	}
}

func (c *Core) failedError(cause error) error {
	return &engine.FailedError{Server: c.cfg.Name, Status: failedStatus, Cause: cause}
}

func (c *Core) expire(id string, e *export) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.expired = true
	if e.pins == 0 {
		c.dropExport(id, e)
	}
}

// dropExport frees an export. The caller holds the lock.
func (c *Core) dropExport(id string, e *export) {
	if c.exports[id] != e {
		return
	}
	delete(c.exports, id)
	e.timer.Stop()
	c.freeLocked(e.attempt)
}

func (c *Core) pinExport(_ context.Context, id string) (int64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.exports[id]
	if e == nil {
		return 0, errExportGone
	}
	e.pins++
	return e.tokens, nil
}

func (c *Core) unpinExport(_ context.Context, id string, imported bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.exports[id]
	if e == nil {
		return
	}
	e.pins--
	if imported || (e.expired && e.pins == 0) {
		c.dropExport(id, e)
	}
}

// importKV fetches the KV cache of a decode attempt. It fails, or blocks until the attempt is canceled, if such a fault
// is set.
func (c *Core) importKV(a *attempt, kv *engine.KVCacheHandle) error {
	c.mu.Lock()
	stall, fail := consume(&c.faults.StallTransfers), false
	if !stall {
		fail = consume(&c.faults.FailImports)
	}
	c.mu.Unlock()
	if fail {
		return &engine.ImportError{Server: c.cfg.Name, Cause: errInjected}
	}
	if stall {
		<-a.ctx.Done()
		return &engine.ImportError{Server: c.cfg.Name, Cause: context.Cause(a.ctx)}
	}
	if err := c.fleet.fetch(a.ctx, c, kv); err != nil {
		return &engine.ImportError{Server: c.cfg.Name, Gone: errors.Is(err, errExportGone), Cause: err}
	}
	return nil
}
