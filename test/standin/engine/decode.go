package engine

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/boragecourse/boragecourse/internal/engine"
)

// Decode implements engine.Server. It returns once the KV cache is imported or computed. Generation continues
// until it ends or is aborted, even if nobody reads the stream.
func (c *Core) Decode(ctx context.Context, call engine.Call, kv *engine.KVCacheHandle) (engine.Stream, error) {
	if err := c.connectFor(ctx, call.Attempt); err != nil {
		return nil, err
	}
	a, err := c.accept(call, kv, Decode)
	if err != nil {
		return nil, err
	}
	started := make(chan error, 1)
	go func() {
		err := c.start(a, kv)
		if err == nil {
			go c.generate(a)
		}
		c.delayResponse(a)
		started <- err
	}()
	select {
	case err := <-started:
		if err != nil {
			return nil, err
		}
		return c.newStream(ctx, a, 0), nil
	case <-ctx.Done():
		return nil, c.failedError(ctx.Err())
	}
}

func (c *Core) start(a *attempt, kv *engine.KVCacheHandle) error {
	err := a.admission.wait(a.ctx)
	c.mu.Lock()
	if err == nil && consume(&c.faults.FailCalls) {
		err = errInjected
	}
	c.mu.Unlock()
	switch {
	case err != nil:
	case kv != nil:
		err = c.importKV(a, kv)
	default:
		err = c.runPrompt(a)
	}
	if err == nil {
		return nil
	}
	c.free(a)
	var imported *engine.ImportError
	if errors.As(err, &imported) {
		return err
	}
	return c.failedError(err)
}

// generate appends the answer's chunks to the attempt at the configured token rate, then frees the attempt.
func (c *Core) generate(a *attempt) {
	p := a.prompt
	total := p.maxTokens
	finish := "length"
	if n := c.cfg.StopAfterTokens - p.next; c.cfg.StopAfterTokens > 0 && n <= total {
		total, finish = max(n, 0), "stop"
	}
	if p.chat {
		c.produce(a, engine.Chunk{Data: p.chunkJSON(a.id.ID, "", "", true)})
	}
	for done := int64(0); done < total; {
		n := min(c.cfg.ChunkTokens, total-done)
		if sleep(a.ctx, time.Duration(n)*c.timePerToken()) != nil {
			return
		}
		text := ""
		for i := range n {
			text += word(p.tag, p.next+done+i)
		}
		done += n
		last := ""
		if done == total {
			last = finish
		}
		c.produce(a, engine.Chunk{
			Tokens: n, Text: text, FinishReason: last, Data: p.chunkJSON(a.id.ID, text, last, false),
		})
	}
	if total == 0 {
		c.produce(a, engine.Chunk{FinishReason: finish, Data: p.chunkJSON(a.id.ID, "", finish, false)})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.err != nil {
		return
	}
	a.produced = append(a.produced, engine.Chunk{
		Offset: total, Data: p.usageJSON(a.id.ID, a.prompted, a.cached, total),
	})
	a.finished = true
	a.notify()
	c.freeLocked(a)
}

func (c *Core) timePerToken() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	others := c.cfg.Slots - c.slots.slots - 1
	return c.scaled(time.Duration(float64(c.cfg.TimePerToken) * (1 + c.cfg.BatchSlowdown*float64(max(others, 0)))))
}

func (c *Core) produce(a *attempt, ch engine.Chunk) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.err != nil {
		return
	}
	if n := len(a.produced); n > 0 {
		ch.Offset = a.produced[n-1].Offset + a.produced[n-1].Tokens
	}
	a.produced = append(a.produced, ch)
	c.report.recordOutput(a, ch.Tokens)
	a.notify()
}

// Resume implements engine.Server.
func (c *Core) Resume(ctx context.Context, id engine.Attempt, offset int64) (engine.Stream, error) {
	if err := c.connectFor(ctx, id); err != nil {
		return nil, err
	}
	c.mu.Lock()
	a := c.attempts[id.ID]
	fail := consume(&c.faults.FailResumes)
	c.mu.Unlock()
	if a == nil || fail {
		return nil, &engine.FailedError{Server: c.cfg.Name, Status: notFoundStatus, Cause: errUnknownAttempt}
	}
	c.mu.Lock()
	offset = max(0, offset-c.faults.RepeatTokens)
	c.mu.Unlock()
	return c.newStream(ctx, a, offset), nil
}

// stream is a reader of an attempt's events; one attempt may have several.
type stream struct {
	ctx    context.Context
	stop   context.CancelFunc
	core   *Core
	a      *attempt
	next   int
	offset int64
	// loseAt is the token offset at which the stream breaks, or -1.
	loseAt int64
	// skipAt is the token offset of the event that is omitted, or -1.
	skipAt int64
}

func (c *Core) newStream(ctx context.Context, a *attempt, offset int64) *stream {
	ctx, stop := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &stream{ctx: ctx, stop: stop, core: c, a: a, offset: offset, loseAt: -1, skipAt: -1}
	if consume(&c.faults.SkipEvents) {
		s.skipAt = c.faults.SkipAt
	}
	if consume(&c.faults.LoseStreams) {
		s.loseAt = offset + c.faults.LoseAfter
	}
	for s.next < len(a.produced) && a.produced[s.next].Offset < offset {
		s.next++
	}
	return s
}

// Next implements engine.Stream.
func (s *stream) Next() (engine.Chunk, error) {
	for {
		ch, ok, changed, err := s.poll()
		if ok || err != nil {
			return ch, err
		}
		select {
		case <-changed:
		case <-s.ctx.Done():
			return engine.Chunk{}, s.lostError(s.ctx.Err())
		}
	}
}

func (s *stream) poll() (engine.Chunk, bool, chan struct{}, error) {
	s.core.mu.Lock()
	defer s.core.mu.Unlock()
	if s.loseAt >= 0 && s.offset >= s.loseAt {
		return engine.Chunk{}, false, nil, s.lostError(errStreamBroken)
	}
	if s.next < len(s.a.produced) {
		ch := s.a.produced[s.next]
		s.next++
		if ch.Tokens > 0 && ch.Offset == s.skipAt && s.next < len(s.a.produced) {
			ch = s.a.produced[s.next]
			s.next++
		} else if ch.Tokens > 0 && ch.Offset == s.skipAt {
			return engine.Chunk{}, false, s.a.changed, nil
		}
		s.offset = ch.Offset + ch.Tokens
		return ch, true, nil, nil
	}
	if s.a.err != nil {
		return engine.Chunk{}, false, nil, s.lostError(s.a.err)
	}
	if s.a.finished {
		return engine.Chunk{}, false, nil, io.EOF
	}
	return engine.Chunk{}, false, s.a.changed, nil
}

func (s *stream) lostError(cause error) error {
	return &engine.StreamLostError{Server: s.core.cfg.Name, Offset: s.offset, Cause: cause}
}

// Close implements engine.Stream. It does not abort the attempt.
func (s *stream) Close() error {
	s.stop()
	return nil
}
