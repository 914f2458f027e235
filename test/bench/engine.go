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

// Engine models one inference engine. A prefill engine runs one prompt after the other; a decode engine runs steps
// over its batch; one of role both mixes chunks of prefill into its steps.
type Engine struct {
	w    *World
	name string
	zone string
	role rules.Role

	mu      sync.Mutex
	dead    bool
	loop    bool
	queue   []*task
	running []*task
	used    int
	report  engine.LoadReport
	at      time.Time
	cache   lru
}

// task is one attempt at an engine.
type task struct {
	attempt engine.Attempt
	job     *Job
	// left is the prefill work left at an engine of role both.
	left     time.Duration
	cost     time.Duration
	canceled bool
	done     chan error
	first    chan struct{}
	tokens   int64
	want     int64
	late     int64
	last     time.Time
}

func newTask(a engine.Attempt, j *Job) *task {
	return &task{attempt: a, job: j, done: make(chan error, 1), first: make(chan struct{}, 1), want: j.Output}
}

// Name implements engine.Server.
func (e *Engine) Name() string { return e.name }

// prefillCost takes the prompt through the prefix cache.
func (e *Engine) prefillCost(j *Job) time.Duration {
	cached := min(int64(e.cache.touch(time.Now(), j.Blocks))*blockTokens, j.Prompt)
	return prefillBase + time.Duration(j.Prompt-cached)*prefillPerToken
}

func (e *Engine) prefill(ctx context.Context, c engine.Call) (engine.KVHandle, error) {
	j := e.w.job(c)
	t := newTask(c.Attempt, j)
	e.mu.Lock()
	if e.dead {
		e.mu.Unlock()
		return engine.KVHandle{}, &engine.ConnectError{Server: e.name, Cause: io.ErrClosedPipe}
	}
	if len(e.queue) >= engineQueue {
		e.mu.Unlock()
		return engine.KVHandle{}, &engine.RefusedError{Server: e.name, Status: 503}
	}
	e.queue = append(e.queue, t)
	if !e.loop {
		e.loop = true
		go e.prefillLoop()
	}
	e.mu.Unlock()
	select {
	case err := <-t.done:
		if err != nil {
			return engine.KVHandle{}, err
		}
		kv := engine.KVHandle{Server: e.name, Addr: e.name, ID: c.Attempt.ID, Tokens: j.Prompt}
		e.w.export(kv, t.cost)
		return kv, nil
	case <-ctx.Done():
		e.cancel(t)
		return engine.KVHandle{}, ctx.Err()
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
		if len(e.queue) == 0 || e.dead {
			e.loop = false
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
		e.w.prefilled(t.cost)
		e.running = nil
		if !e.dead {
			t.done <- nil
		}
		e.mu.Unlock()
	}
}

// decode waits for a slot while the KV cache lives, imports it over the link and joins the batch. Without a KV
// cache the engine prefills in chunks.
func (e *Engine) decode(ctx context.Context, c engine.Call, kv *engine.KVHandle) (engine.Stream, error) {
	t := newTask(c.Attempt, e.w.job(c))
	s := &stream{e: e, t: t, ctx: ctx}
	if kv == nil {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.dead {
			return nil, &engine.ConnectError{Server: e.name, Cause: io.ErrClosedPipe}
		}
		if len(e.queue) >= engineQueue {
			return nil, &engine.RefusedError{Server: e.name, Status: 503}
		}
		e.queue = append(e.queue, t)
		e.start()
		return s, nil
	}
	if err := e.slot(ctx, t, kv); err != nil {
		return nil, err
	}
	if err := e.w.transfer(ctx, kv, e.zone); err != nil {
		e.free(t)
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return nil, &engine.ConnectError{Server: e.name, Cause: io.ErrClosedPipe}
	}
	e.w.consumed(kv)
	t.last = time.Now()
	e.running = append(e.running, t)
	e.start()
	return s, nil
}

// slot waits for a free slot in order of arrival.
func (e *Engine) slot(ctx context.Context, t *task, kv *engine.KVHandle) error {
	e.mu.Lock()
	if e.dead {
		e.mu.Unlock()
		return &engine.ConnectError{Server: e.name, Cause: io.ErrClosedPipe}
	}
	if e.used < slots && len(e.queue) == 0 {
		e.used++
		e.mu.Unlock()
		return nil
	}
	e.queue = append(e.queue, t)
	e.mu.Unlock()
	timer := time.NewTimer(time.Until(e.w.expiry(kv)))
	defer timer.Stop()
	select {
	case err := <-t.done:
		return err
	case <-timer.C:
		e.leave(t)
		return &engine.ImportError{Server: e.name, Gone: true, Cause: io.ErrUnexpectedEOF}
	case <-ctx.Done():
		e.leave(t)
		return ctx.Err()
	}
}

// leave takes a task out of the queue; a slot that it was just given passes on.
func (e *Engine) leave(t *task) {
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
			e.free(t)
		}
	default:
	}
}

// free gives a slot to the next waiting import.
func (e *Engine) free(*task) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.freeLocked()
}

func (e *Engine) freeLocked() {
	if e.role != rules.RoleBoth && len(e.queue) > 0 {
		e.queue[0].done <- nil
		e.queue = e.queue[1:]
		return
	}
	e.used--
}

func (e *Engine) start() {
	if !e.loop {
		e.loop = true
		go e.steps()
	}
}

// steps runs the batch until it is empty.
func (e *Engine) steps() {
	var head *task
	for {
		e.mu.Lock()
		head = e.nextPrefill(head)
		if e.dead && head != nil {
			head.done <- &engine.StreamLostError{Server: e.name, Cause: io.ErrUnexpectedEOF}
		}
		if e.dead || (len(e.running) == 0 && head == nil) {
			e.loop = false
			e.mu.Unlock()
			return
		}
		var step, chunk time.Duration
		if n := len(e.running); n > 0 {
			step = stepBase + time.Duration(n)*stepPerStream
		}
		if head != nil {
			chunk = min(head.left, chunkTokens*prefillPerToken)
		}
		e.mu.Unlock()
		time.Sleep(step + chunk)
		e.mu.Lock()
		e.finishStep(time.Now())
		head = e.finishChunk(head, chunk)
		e.mu.Unlock()
	}
}

// nextPrefill returns the prompt that an engine of role both works on.
func (e *Engine) nextPrefill(head *task) *task {
	if e.role != rules.RoleBoth {
		return nil
	}
	e.queue = slices.DeleteFunc(e.queue, func(t *task) bool { return t.canceled })
	if head != nil && head.canceled {
		head = nil
		e.used--
	}
	if head == nil && len(e.queue) > 0 && e.used < slots {
		head = e.queue[0]
		e.queue = e.queue[1:]
		e.used++
		head.cost = e.prefillCost(head.job)
		head.left = head.cost
	}
	return head
}

// finishChunk counts a chunk of prefill; a finished prompt joins the batch.
func (e *Engine) finishChunk(head *task, chunk time.Duration) *task {
	if head == nil {
		return nil
	}
	e.w.prefilled(chunk)
	if head.left -= chunk; head.left > 0 {
		return head
	}
	e.w.useful(head.cost)
	head.last = time.Now()
	e.running = append(e.running, head)
	return nil
}

// finishStep gives each stream of the batch one token.
func (e *Engine) finishStep(now time.Time) {
	e.running = slices.DeleteFunc(e.running, func(t *task) bool {
		if t.canceled {
			e.freeLocked()
			return true
		}
		if t.tokens > 0 && now.Sub(t.last) > tokenTarget {
			t.late++
		}
		t.last = now
		if t.tokens++; t.tokens == 1 {
			t.first <- struct{}{}
		}
		if t.tokens < t.want {
			return false
		}
		t.done <- nil
		e.freeLocked()
		return true
	})
}

// kill loses everything that the engine holds.
func (e *Engine) kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead = true
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
	e.at = time.Now()
	e.report = engine.LoadReport{Incarnation: "1", Running: e.used, Waiting: len(e.queue), Slots: slots}
	if e.role == rules.RolePrefill {
		e.report.Running = len(e.running)
	}
}

// stream is a decode stream. It gives one chunk with the first token and one with the rest, so that the model needs
// few wake-ups; the engine counts the gaps.
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
