package engine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/boragecourse/boragecourse/internal/engine"
)

// Core is one stand-in engine. It implements engine.Server and is safe for concurrent use.
type Core struct {
	cfg    Config
	fleet  *Fleet
	report *recorder

	mu          sync.Mutex
	faults      Faults
	incarnation string
	// lifetime is canceled with errCrashed when the engine crashes.
	lifetime context.Context
	crash    context.CancelCauseFunc
	slots    *admissionQueue
	compute  *admissionQueue
	attempts map[string]*attempt
	order    []string
	exports  map[string]*export
	cache    *prefixCache
	loads    []loadSample
	state    engine.State
}

var _ engine.Server = (*Core)(nil)

// attempt is one prefill or decode that the engine accepted.
type attempt struct {
	id     engine.Attempt
	prompt prompt
	// admission is the attempt's entry in the admission queue. slot is the same entry until slot and memory are
	// released, and nil afterwards.
	admission *waiter
	slot      *waiter
	ctx       context.Context
	cancel    context.CancelCauseFunc
	// prompted and cached count tokens; produced holds the stream's events.
	prompted, cached int64
	produced         []engine.Chunk
	changed          chan struct{}
	finished         bool
	err              error
}

// New returns a running engine and adds it to the fleet.
func New(cfg Config, fleet *Fleet) *Core {
	c := &Core{cfg: cfg.withDefaults(), fleet: fleet, report: newRecorder()}
	c.state = engine.State{Role: string(c.cfg.Role), Model: cfg.Model}
	c.reset()
	fleet.add(c)
	return c
}

// reset starts a new incarnation with empty memory. The caller holds the lock, except in New.
func (c *Core) reset() {
	c.lifetime, c.crash = context.WithCancelCause(context.Background())
	c.incarnation = fmt.Sprintf("%0*x", incarnationDigits, rand.Uint32()) //nolint:gosec // Only uniqueness matters.
	c.state.Incarnation = c.incarnation
	c.slots = &admissionQueue{slots: c.cfg.Slots, pieces: c.cfg.Pieces, queue: c.cfg.Queue}
	c.compute = &admissionQueue{slots: 1, queue: c.cfg.Slots + c.cfg.Queue}
	c.attempts = map[string]*attempt{}
	c.order = nil
	c.exports = map[string]*export{}
	c.cache = newPrefixCache(c.cfg)
	c.loads = nil
	c.sampleLoad()
}

// Name implements engine.Server.
func (c *Core) Name() string { return c.cfg.Name }

// Addr returns the engine's address as configured in the rules.
func (c *Core) Addr() string { return c.cfg.Addr }

// SetFaults replaces all injected faults, including their counters.
func (c *Core) SetFaults(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

// Crash cancels all work, clears all memory and starts a new incarnation, which accepts calls immediately.
func (c *Core) Crash() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crash(errCrashed)
	for _, a := range c.attempts {
		a.fail(errCrashed)
	}
	c.reset()
}

// Idle reports whether no memory is in use and no request is queued.
func (c *Core) Idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heldLocked() == 0 && len(c.slots.waiting) == 0
}

// consume decrements a fault counter and reports whether it was above zero. The caller holds the lock.
func consume(counter *int) bool {
	if *counter <= 0 {
		return false
	}
	*counter--
	return true
}

// connect returns a ConnectError when connections are to be refused or ctx is already done.
func (c *Core) connect(ctx context.Context) error {
	c.mu.Lock()
	refused := c.faults.RefuseConnections
	c.mu.Unlock()
	if refused {
		return &engine.ConnectError{Server: c.cfg.Name, Cause: errRefusedConnection}
	}
	if err := ctx.Err(); err != nil {
		return &engine.ConnectError{Server: c.cfg.Name, Cause: err}
	}
	return nil
}

// connectFor is connect for a call of an attempt, which MaySend may stop.
func (c *Core) connectFor(ctx context.Context, a engine.Attempt) error {
	if err := c.connect(ctx); err != nil || a.MaySend == nil {
		return err
	}
	if err := a.MaySend(); err != nil {
		return &engine.NotSentError{Server: c.cfg.Name, Cause: err}
	}
	return nil
}

// accept registers an attempt, or returns a RefusedError when slots and queue are full.
func (c *Core) accept(call engine.Call, kv *engine.KVCacheHandle, stage Role) (*attempt, error) {
	p, err := parsePrompt(call.Path, call.Body, call.Continue)
	if err != nil {
		return nil, &engine.FailedError{Server: c.cfg.Name, Status: badRequestStatus, Cause: err}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	a := &attempt{id: call.Attempt, prompt: p, changed: make(chan struct{})}
	a.prompted = tokensOf(p.text, c.cfg.BytesPerToken)
	pieces := (a.prompted + p.maxTokens + engine.PieceTokens - 1) / engine.PieceTokens
	if !c.faults.Full {
		a.slot = c.slots.enter(pieces, call.Attempt.Priority)
	}
	if a.slot == nil {
		return nil, &engine.RefusedError{Server: c.cfg.Name, Status: fullStatus, RetryAfter: time.Second}
	}
	a.admission = a.slot
	a.ctx, a.cancel = context.WithCancelCause(c.lifetime)
	if _, twice := c.attempts[call.Attempt.ID]; twice {
		c.report.addViolation("attempt id used twice", call.Attempt.ID, "")
	}
	c.attempts[call.Attempt.ID] = a
	c.order = append(c.order, call.Attempt.ID)
	c.evictFinished()
	c.sampleLoad()
	c.report.recordCall(call, kv, stage, c.cfg.Role)
	return a, nil
}

// evictFinished removes the oldest finished attempts beyond keptFinishedAttempts; the rest are kept for Resume.
// The caller holds the lock.
func (c *Core) evictFinished() {
	for len(c.order) > keptFinishedAttempts {
		a := c.attempts[c.order[0]]
		if a != nil && a.slot != nil {
			return
		}
		delete(c.attempts, c.order[0])
		c.order = c.order[1:]
	}
}

// free releases the attempt's slot and memory.
func (c *Core) free(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.freeLocked(a)
}

func (c *Core) freeLocked(a *attempt) {
	if a.slot == nil {
		return
	}
	// After a crash the attempt belongs to an earlier incarnation, whose memory was already cleared.
	if c.attempts[a.id.ID] == a {
		c.slots.leave(a.slot)
	}
	a.slot = nil
	c.sampleLoad()
}

// fail cancels the attempt and ends its stream with err. The caller holds the lock.
func (a *attempt) fail(err error) {
	a.cancel(err)
	if !a.finished && a.err == nil {
		a.err = err
		a.notify()
	}
}

func (a *attempt) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// runPrompt computes the prompt's KV cache. Prompts run one at a time, and cached prefixes take no time.
func (c *Core) runPrompt(a *attempt) error {
	c.mu.Lock()
	turn := c.compute.enter(0, a.id.Priority)
	compute := c.compute
	c.mu.Unlock()
	if turn == nil {
		return errInjected
	}
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		compute.leave(turn)
	}()
	if err := turn.wait(a.ctx); err != nil {
		return err
	}
	c.mu.Lock()
	a.cached = min(c.cache.match(a.prompt.text), a.prompted)
	d := c.scaled(time.Duration(a.prompted-a.cached) * c.cfg.PrefillPerToken)
	c.mu.Unlock()
	if err := sleep(a.ctx, d); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cache.insert(a.prompt.text)
	c.report.recordPrefill(a)
	return nil
}

// scaled multiplies d by Faults.SlowFactor. The caller holds the lock.
func (c *Core) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * max(c.faults.SlowFactor, slowFactorWithoutFaults))
}

func tokensOf(text string, bytesPerToken int) int64 {
	return int64((len(text) + bytesPerToken - 1) / bytesPerToken)
}

// requestID returns the attempt id without its attempt number.
func requestID(attemptID string) string {
	if at := strings.LastIndexByte(attemptID, '.'); at >= 0 {
		return attemptID[:at]
	}
	return attemptID
}
