package bench

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/rules"
)

// Engine simulates one inference engine. A prefill engine computes one prompt at a time; a decode engine runs steps
// over its batch; an engine of role both adds a chunk of prefill to each step.
type Engine struct {
	sim  *Simulation
	name string
	zone string
	role rules.Role

	mu     sync.Mutex
	failed bool
	// loopRunning is true while the goroutine of prefillLoop or stepLoop runs.
	loopRunning bool
	queue       []*task
	running     []*task
	usedSlots   int
	report      engine.LoadReport
	reportedAt  time.Time
	cache       lru
}

// task is one attempt that an engine runs.
type task struct {
	attempt engine.Attempt
	job     *Job
	// prefillLeft is the remaining prefill time on an engine of role both.
	prefillLeft time.Duration
	cost        time.Duration
	canceled    bool
	done        chan error
	first       chan struct{}
	tokens      int64
	want        int64
	lateGaps    int64
	last        time.Time
}

func newTask(a engine.Attempt, j *Job) *task {
	return &task{attempt: a, job: j, done: make(chan error, 1), first: make(chan struct{}, 1), want: j.Output}
}

// Name implements engine.Server.
func (e *Engine) Name() string { return e.name }

// prefillCost inserts the prompt into the prefix cache and returns the compute time of the part that was not cached.
func (e *Engine) prefillCost(j *Job) time.Duration {
	cached := min(int64(e.cache.touch(time.Now(), j.Blocks))*blockTokens, j.Prompt)
	return prefillBase + time.Duration(j.Prompt-cached)*prefillPerToken
}

func (e *Engine) prefill(ctx context.Context, c engine.Call) (engine.KVCacheHandle, error) {
	j := e.sim.job(c)
	t := newTask(c.Attempt, j)
	e.mu.Lock()
	if e.failed {
		e.mu.Unlock()
		return engine.KVCacheHandle{}, &engine.ConnectError{Server: e.name, Cause: io.ErrClosedPipe}
	}
	if len(e.queue) >= engineQueue {
		e.mu.Unlock()
		return engine.KVCacheHandle{}, &engine.RefusedError{Server: e.name, Status: 503}
	}
	e.queue = append(e.queue, t)
	if !e.loopRunning {
		e.loopRunning = true
		go e.prefillLoop()
	}
	e.mu.Unlock()
	select {
	case err := <-t.done:
		if err != nil {
			return engine.KVCacheHandle{}, err
		}
		kv := engine.KVCacheHandle{Server: e.name, Addr: e.name, ID: c.Attempt.ID, Tokens: j.Prompt}
		e.sim.export(kv, t.cost)
		return kv, nil
	case <-ctx.Done():
		e.cancel(t)
		return engine.KVCacheHandle{}, ctx.Err()
	}
}

func (e *Engine) cancel(t *task) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t.canceled = true
}

func (e *Engine) prefillLoop() {
	for {
		e.mu.Lock()
		e.queue = slices.DeleteFunc(e.queue, func(t *task) bool { return t.canceled })
		if len(e.queue) == 0 || e.failed {
			e.loopRunning = false
			e.mu.Unlock()
			return
		}
		t := e.queue[0]
		e.queue = e.queue[1:]
		e.running = []*task{t}
		t.cost = e.prefillCost(t.job)
		e.mu.Unlock()
		time.Sleep(t.cost)
		e.mu.Lock()
		e.sim.addPrefill(t.cost)
		e.running = nil
		if !e.failed {
			t.done <- nil
		}
		e.mu.Unlock()
	}
}

// decode waits for a slot until the exported KV cache expires, imports the cache over the link and joins the batch.
// Without a KV cache the engine computes the prompt itself, in chunks.
func (e *Engine) decode(ctx context.Context, c engine.Call, kv *engine.KVCacheHandle) (engine.Stream, error) {
	t := newTask(c.Attempt, e.sim.job(c))
	s := &stream{e: e, t: t, ctx: ctx}
	if kv == nil {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.failed {
			return nil, &engine.ConnectError{Server: e.name, Cause: io.ErrClosedPipe}
		}
		if len(e.queue) >= engineQueue {
			return nil, &engine.RefusedError{Server: e.name, Status: 503}
		}
		e.queue = append(e.queue, t)
		e.startLoop()
		return s, nil
	}
	if err := e.acquireSlot(ctx, t, kv); err != nil {
		return nil, err
	}
	if err := e.sim.transfer(ctx, kv, e.zone); err != nil {
		e.releaseSlot(t)
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failed {
		return nil, &engine.ConnectError{Server: e.name, Cause: io.ErrClosedPipe}
	}
	e.sim.consume(kv)
	t.last = time.Now()
	e.running = append(e.running, t)
	e.startLoop()
	return s, nil
}

// acquireSlot waits for a free slot, first come, first served, until the exported KV cache expires.
func (e *Engine) acquireSlot(ctx context.Context, t *task, kv *engine.KVCacheHandle) error {
	e.mu.Lock()
	if e.failed {
		e.mu.Unlock()
		return &engine.ConnectError{Server: e.name, Cause: io.ErrClosedPipe}
	}
	if e.usedSlots < slots && len(e.queue) == 0 {
		e.usedSlots++
		e.mu.Unlock()
		return nil
	}
	e.queue = append(e.queue, t)
	e.mu.Unlock()
	timer := time.NewTimer(time.Until(e.sim.expiry(kv)))
	defer timer.Stop()
	select {
	case err := <-t.done:
		return err
	case <-timer.C:
		e.dequeue(t)
		return &engine.ImportError{Server: e.name, Gone: true, Cause: io.ErrUnexpectedEOF}
	case <-ctx.Done():
		e.dequeue(t)
		return ctx.Err()
	}
}

// dequeue removes a task from the queue. If the task was assigned a slot in the meantime, the slot is released.
func (e *Engine) dequeue(t *task) {
	e.mu.Lock()
	if i := slices.Index(e.queue, t); i >= 0 {
		e.queue = slices.Delete(e.queue, i, i+1)
		e.mu.Unlock()
		return
	}
	e.mu.Unlock()
	select {
	case err := <-t.done:
		if err == nil {
			e.releaseSlot(t)
		}
	default:
	}
}

// releaseSlot hands a slot to the next waiting import, or marks the slot as free if none waits.
func (e *Engine) releaseSlot(*task) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releaseSlotLocked()
}

func (e *Engine) releaseSlotLocked() {
	if e.role != rules.RoleBoth && len(e.queue) > 0 {
		e.queue[0].done <- nil
		e.queue = e.queue[1:]
		return
	}
	e.usedSlots--
}

func (e *Engine) startLoop() {
	if !e.loopRunning {
		e.loopRunning = true
		go e.stepLoop()
	}
}

// stepLoop runs decode steps, with chunks of prefill on an engine of role both, until no work is left.
func (e *Engine) stepLoop() {
	var head *task
	for {
		e.mu.Lock()
		head = e.nextPrefill(head)
		if e.failed && head != nil {
			head.done <- &engine.StreamLostError{Server: e.name, Cause: io.ErrUnexpectedEOF}
		}
		if e.failed || (len(e.running) == 0 && head == nil) {
			e.loopRunning = false
			e.mu.Unlock()
			return
		}
		var step, chunk time.Duration
		if n := len(e.running); n > 0 {
			step = stepBase + time.Duration(n)*stepPerStream
		}
		if head != nil {
			chunk = min(head.prefillLeft, chunkTokens*prefillPerToken)
		}
		e.mu.Unlock()
		time.Sleep(step + chunk)
		e.mu.Lock()
		e.finishStep(time.Now())
		head = e.finishChunk(head, chunk)
		e.mu.Unlock()
	}
}

// nextPrefill returns the task whose prompt an engine of role both prefills next, or nil.
func (e *Engine) nextPrefill(head *task) *task {
	if e.role != rules.RoleBoth {
		return nil
	}
	e.queue = slices.DeleteFunc(e.queue, func(t *task) bool { return t.canceled })
	if head != nil && head.canceled {
		head = nil
		e.usedSlots--
	}
	if head == nil && len(e.queue) > 0 && e.usedSlots < slots {
		head = e.queue[0]
		e.queue = e.queue[1:]
		e.usedSlots++
		head.cost = e.prefillCost(head.job)
		head.prefillLeft = head.cost
	}
	return head
}

// finishChunk accounts for a chunk of prefill. It returns the task while part of its prompt is left; otherwise it adds
// the task to the batch and returns nil.
func (e *Engine) finishChunk(head *task, chunk time.Duration) *task {
	if head == nil {
		return nil
	}
	e.sim.addPrefill(chunk)
	if head.prefillLeft -= chunk; head.prefillLeft > 0 {
		return head
	}
	e.sim.addUsed(head.cost)
	head.last = time.Now()
	e.running = append(e.running, head)
	return nil
}

// finishStep adds one token to each stream of the batch and removes canceled and finished streams.
func (e *Engine) finishStep(now time.Time) {
	e.running = slices.DeleteFunc(e.running, func(t *task) bool {
		if t.canceled {
			e.releaseSlotLocked()
			return true
		}
		if t.tokens > 0 && now.Sub(t.last) > tokenTarget {
			t.lateGaps++
		}
		t.last = now
		if t.tokens++; t.tokens == 1 {
			t.first <- struct{}{}
		}
		if t.tokens < t.want {
			return false
		}
		t.done <- nil
		e.releaseSlotLocked()
		return true
	})
}

// kill stops the engine: its queued and running attempts fail as lost streams.
func (e *Engine) kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failed = true
	for _, t := range append(e.queue, e.running...) {
		select {
		case t.done <- &engine.StreamLostError{Server: e.name, Offset: t.tokens, Cause: io.ErrUnexpectedEOF}:
		default:
		}
	}
	e.queue, e.running = nil, nil
}

func (e *Engine) snapshotLoad() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reportedAt = time.Now()
	e.report = engine.LoadReport{Incarnation: "1", Running: e.usedSlots, Waiting: len(e.queue), Slots: slots}
	if e.role == rules.RolePrefill {
		e.report.Running = len(e.running)
	}
}

// stream is a decode stream. It returns one chunk with the first token and one with all others, which keeps the number
// of goroutine wake-ups low; the engine itself counts late tokens.
type stream struct {
	e     *Engine
	t     *task
	ctx   context.Context
	begun bool
	ended bool
}

// Next implements engine.Stream.
func (s *stream) Next() (engine.Chunk, error) {
	if s.ended {
		return engine.Chunk{}, io.EOF
	}
	if !s.begun {
		select {
		case <-s.t.first:
			s.begun = true
			return engine.Chunk{Tokens: 1}, nil
		case err := <-s.t.done:
			return engine.Chunk{}, err
		case <-s.ctx.Done():
			s.e.cancel(s.t)
			return engine.Chunk{}, s.ctx.Err()
		}
	}
	select {
	case err := <-s.t.done:
		s.ended = err == nil
		return engine.Chunk{Offset: 1, Tokens: s.t.want - 1, FinishReason: "stop"}, err
	case <-s.ctx.Done():
		s.e.cancel(s.t)
		return engine.Chunk{}, s.ctx.Err()
	}
}

// Close implements engine.Stream.
func (s *stream) Close() error {
	s.e.cancel(s.t)
	return nil
}
