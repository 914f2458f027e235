package request

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/engine/openai"
	"github.com/boragecourse/boragecourse/internal/placement"
	"github.com/boragecourse/boragecourse/internal/rules"
	"github.com/boragecourse/boragecourse/internal/wait"
)

// resumeWait is the first wait before a lost stream is resumed; it doubles with each try.
const resumeWait = 20 * time.Millisecond

// answering is a decode attempt whose stream is being read.
type answering struct {
	server  *rules.Server
	attempt engine.Attempt
	hold    *hold
	stream  engine.Stream
	cancel  context.CancelCauseFunc
	// offset counts the output tokens taken from this attempt.
	offset int64
}

// follow reads the attempt's stream to its end and resumes it where it is lost.
func (g *generation) follow(ctx context.Context, d *answering) error {
	tries := 0
	start := time.Now()
	for {
		before := d.offset
		err := g.pump(d)
		_ = d.stream.Close()
		if err == nil {
			g.observe(ctx, d.server, placement.StageDecode, d.offset, start, nil)
			d.hold.done()
			return nil
		}
		var gone *SinkError
		if errors.As(err, &gone) {
			d.hold.abort()
			return g.callerGone(gone)
		}
		if c := g.canceled(ctx); c != nil {
			d.hold.abort()
			return c
		}
		if g.finish != "" {
			// Only the end mark is missing; the answer is whole.
			d.hold.abort()
			return nil
		}
		if d.offset > before {
			tries = 0
		}
		cancel, rerr := g.resume(ctx, d, tries, err)
		if rerr != nil {
			d.hold.abort()
			g.observe(ctx, d.server, placement.StageDecode, d.offset, start, rerr)
			return &stageError{placement.StageDecode, d.server, rerr}
		}
		defer cancel(nil)
		tries++
	}
}

// pump takes chunks until the stream ends. Errors are *SinkError and those of the stream.
func (g *generation) pump(d *answering) error {
	cancel := d.cancel
	idle := time.AfterFunc(g.settings.StreamIdle, func() { cancel(errStreamIdle) })
	defer idle.Stop()
	for {
		ch, err := d.stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		// The time that a slow caller needs is not the engine's.
		idle.Stop()
		if err := g.take(d, ch); err != nil {
			return err
		}
		idle.Reset(g.settings.StreamIdle)
	}
}

// resume opens the attempt's stream again at the present offset.
func (g *generation) resume(ctx context.Context, d *answering, tries int, lost error) (context.CancelCauseFunc, error) {
	if !g.route.Repeatable || tries >= g.settings.ResumeTries {
		return nil, lost
	}
	if err := g.retry("resume", lost); err != nil {
		return nil, err
	}
	if err := wait.For(ctx, resumeWait<<tries); err != nil {
		return nil, lost
	}
	sctx, cancel := context.WithCancelCause(ctx)
	limit := time.AfterFunc(g.settings.ResumeTimeout, func() { cancel(errStreamIdle) })
	s, err := g.Engines.Server(d.server.Name, d.server.Addr).Resume(sctx, d.attempt, d.offset)
	if !limit.Stop() && err == nil {
		_ = s.Close()
		err = errStreamIdle
	}
	if err != nil {
		cancel(nil)
		return nil, err
	}
	d.stream, d.cancel = s, cancel
	return cancel, nil
}

// take passes one chunk on to the caller, unless it was passed on before.
func (g *generation) take(d *answering, ch engine.Chunk) error {
	if ch.Tokens == 0 && ch.Text == "" && ch.FinishReason == "" {
		return g.takeBare(ch)
	}
	end := ch.Offset + ch.Tokens
	switch {
	case g.finish != "", ch.Tokens > 0 && end <= d.offset:
		g.Metrics.Inc("chunks_repeated")
		return nil
	case ch.Offset != d.offset:
		return &engine.StreamLostError{
			Server: d.server.Name, Offset: d.offset, Cause: &OffsetError{Want: d.offset, Got: ch.Offset},
		}
	}
	d.offset = end
	g.ran.output += ch.Tokens
	g.quota.use(ch.Tokens)
	g.sent.WriteString(ch.Text)
	g.opaque = g.opaque || (ch.Text == "" && ch.Tokens > 0)
	g.finish = ch.FinishReason
	return g.forward(ch.Data)
}

// takeBare handles a chunk without output tokens: usage is kept, and a role is passed on if it comes first. An engine
// that spreads a token over several events has output in such chunks as well.
func (g *generation) takeBare(ch engine.Chunk) error {
	var in struct {
		Choices []struct {
			Delta map[string]json.RawMessage `json:"delta"`
		} `json:"choices"`
		Usage *openai.Usage `json:"usage"`
	}
	if err := json.Unmarshal(ch.Data, &in); err != nil {
		return &engine.StreamLostError{Cause: err}
	}
	if len(in.Choices) == 0 {
		g.takeUsage(in.Usage)
		return nil
	}
	_, some := openai.DeltaOutput(in.Choices[0].Delta)
	if g.began && !some {
		return nil
	}
	g.opaque = g.opaque || some
	return g.forward(ch.Data)
}

// takeUsage learns the length of the answer, and of the prompt if the engine prefilled it within the decode call.
// After a recovery the engine's prompt holds text of the answer, so its counts are not the caller's.
func (g *generation) takeUsage(u *openai.Usage) {
	if u == nil || g.retries > 0 {
		return
	}
	if u.CompletionTokens > 0 {
		// Engines may send several tokens in an event; their own count is exact.
		g.quota.use(max(0, u.CompletionTokens-g.ran.output))
		g.ran.output = u.CompletionTokens
	}
	if g.ran.prompt > 0 {
		return
	}
	g.ran.prompt = u.PromptTokens
	if u.PromptTokensDetails != nil {
		g.ran.cached = u.PromptTokensDetails.CachedTokens
	}
}

func (g *generation) forward(data []byte) error {
	g.began = true
	if !g.body.stream {
		return g.whole.add(data)
	}
	event, err := g.stamp(data)
	if err != nil {
		return &engine.StreamLostError{Cause: err}
	}
	if err := g.sink.Event(event); err != nil {
		return &SinkError{Cause: err}
	}
	return nil
}
