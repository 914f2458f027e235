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

// resumeWait is the first backoff before a lost stream is resumed. It doubles with each attempt.
const resumeWait = 20 * time.Millisecond

// decodeAttempt is a decode attempt whose stream is being read.
type decodeAttempt struct {
	server  *rules.Server
	attempt engine.Attempt
	hold    *hold
	stream  engine.Stream
	cancel  context.CancelCauseFunc
	// offset is the number of output tokens received from this attempt.
	offset int64
}

// readStream reads the attempt's stream to its end and resumes it at the current offset when it is lost.
func (g *generation) readStream(ctx context.Context, d *decodeAttempt) error {
	tries := 0
	start := time.Now()
	for {
		before := d.offset
		err := g.readChunks(d)
		_ = d.stream.Close()
		if err == nil {
			g.observe(ctx, d.server, placement.StageDecode, d.offset, start, nil)
			d.hold.done()
			return nil
		}
		var sinkErr *SinkError
		if errors.As(err, &sinkErr) {
			d.hold.abort()
			return g.writeFailure(sinkErr)
		}
		if c := g.canceled(ctx); c != nil {
			d.hold.abort()
			return c
		}
		if g.finish != "" {
			// The output is complete; only the end of the stream was not received.
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

// readChunks processes chunks until the stream ends. It returns a *SinkError or an error of the stream.
func (g *generation) readChunks(d *decodeAttempt) error {
	cancel := d.cancel
	idle := time.AfterFunc(g.settings.StreamIdleTimeout, func() { cancel(errStreamTimeout) })
	defer idle.Stop()
	for {
		ch, err := d.stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		// The idle timeout must not include the time that writing to a slow caller takes.
		idle.Stop()
		if err := g.acceptChunk(d, ch); err != nil {
			return err
		}
		idle.Reset(g.settings.StreamIdleTimeout)
	}
}

// resume reopens the attempt's stream at the current offset and returns the function that cancels it. lost is the error
// that ended the stream; resume returns it if the stream may not be resumed.
func (g *generation) resume(ctx context.Context, d *decodeAttempt, tries int, lost error) (context.CancelCauseFunc, error) {
	if !g.route.Repeatable || tries >= g.settings.MaxResumeAttempts {
		return nil, lost
	}
	if err := g.retry("resume", lost); err != nil {
		return nil, err
	}
	if err := wait.For(ctx, resumeWait<<tries); err != nil {
		return nil, lost
	}
	sctx, cancel := context.WithCancelCause(ctx)
	limit := time.AfterFunc(g.settings.ResumeTimeout, func() { cancel(errStreamTimeout) })
	s, err := g.Engines.Server(d.server.Name, d.server.Addr).Resume(sctx, d.attempt, d.offset)
	if !limit.Stop() && err == nil {
		_ = s.Close()
		err = errStreamTimeout
	}
	if err != nil {
		cancel(nil)
		return nil, err
	}
	d.stream, d.cancel = s, cancel
	return cancel, nil
}

// acceptChunk forwards a chunk to the caller and counts its tokens. Repeated chunks are dropped.
func (g *generation) acceptChunk(d *decodeAttempt, ch engine.Chunk) error {
	if ch.Tokens == 0 && ch.Text == "" && ch.FinishReason == "" {
		return g.acceptTokenlessChunk(ch)
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
	g.progress.output += ch.Tokens
	g.quota.use(ch.Tokens)
	g.sent.WriteString(ch.Text)
	g.nonText = g.nonText || (ch.Text == "" && ch.Tokens > 0)
	g.finish = ch.FinishReason
	return g.forward(ch.Data)
}

// acceptTokenlessChunk processes a chunk without output tokens. It records the usage of a chunk without choices. It
// forwards the first chunk, which contains the role, and chunks with output: engines that spread a token over several
// events send output in chunks without tokens.
func (g *generation) acceptTokenlessChunk(ch engine.Chunk) error {
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
		g.recordUsage(in.Usage)
		return nil
	}
	_, hasOutput := openai.DeltaOutput(in.Choices[0].Delta)
	if g.started && !hasOutput {
		return nil
	}
	g.nonText = g.nonText || hasOutput
	return g.forward(ch.Data)
}

// recordUsage records the output tokens, and the prompt tokens if the engine ran the prefill in the decode call. It
// ignores usage after a retry, since the engine's prompt may then contain output of the response.
func (g *generation) recordUsage(u *openai.Usage) {
	if u == nil || g.retries > 0 {
		return
	}
	if u.CompletionTokens > 0 {
		// An event may contain several tokens, so the engine's count is more accurate than the count of events.
		g.quota.use(max(0, u.CompletionTokens-g.progress.output))
		g.progress.output = u.CompletionTokens
	}
	if g.progress.prompt > 0 {
		return
	}
	g.progress.prompt = u.PromptTokens
	if u.PromptTokensDetails != nil {
		g.progress.cached = u.PromptTokensDetails.CachedTokens
	}
}

func (g *generation) forward(data []byte) error {
	g.started = true
	if !g.body.stream {
		return g.assembled.add(data)
	}
	event, err := g.rewriteEvent(data)
	if err != nil {
		return &engine.StreamLostError{Cause: err}
	}
	if err := g.sink.Event(event); err != nil {
		return &SinkError{Cause: err}
	}
	return nil
}
