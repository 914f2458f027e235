package request

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/boragecourse/boragecourse/internal/cacheindex"
	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/outcome"
	"github.com/boragecourse/boragecourse/internal/placement"
	"github.com/boragecourse/boragecourse/internal/rules"
)

// generation is the run of a request on engines.
type generation struct {
	*run
	// limit is the largest output, in tokens.
	limit int64
	// sent is the output text received so far, which another engine can continue unless opaque is set.
	sent   strings.Builder
	opaque bool
	// began is set once a chunk was taken; finish is the finish reason.
	began  bool
	finish string
	whole  assembly

	// kv is the KV cache that waits for import, export the hold on it, and kvAt when the prefill ended.
	kv     *engine.KVHandle
	export *hold
	kvAt   time.Time
}

// generate serves a model route.
func (x *run) generate(ctx context.Context) (err error) {
	waiting, leave := x.queue.enter(ctx, x.key)
	defer leave()
	if err := x.recheck(); err != nil {
		return err
	}
	replayed, err := x.takeClaim(waiting)
	if err != nil || replayed {
		return err
	}
	if x.claim != nil {
		x.sink = &recordingSink{Sink: x.sink, claim: x.claim, limit: x.settings.MaxRecordedAnswer}
		defer func() { x.claim.settle(err, x.ran) }()
	}
	// The parsed fields hold what is needed; large prompts would otherwise be kept twice.
	x.in.Body = nil
	g := &generation{run: x, limit: x.body.maxOutput}
	p, err := g.admit(waiting)
	if err != nil {
		return err
	}
	leave()
	for {
		err := g.pass(ctx, p)
		if err == nil {
			return g.complete()
		}
		if p, err = g.recover(ctx, err); err != nil {
			return err
		}
		if p == nil {
			return g.complete()
		}
	}
}

// admit reserves quota and a pair of servers. The request counts as queued until then.
func (g *generation) admit(waiting context.Context) (*placement.Placement, error) {
	if err := g.reserve(waiting, g.body.estimated+g.limit); err != nil {
		if c := g.canceled(waiting); c != nil {
			return nil, c
		}
		return nil, g.quotaRefusal(err)
	}
	p, err := g.Placer.Place(waiting, g.snap, g.placeRequest(g.in.Arrived))
	if err != nil {
		if c := g.canceled(waiting); c != nil {
			return nil, c
		}
		return nil, g.placeRefusal(err)
	}
	err = g.recheck()
	if err == nil {
		err = g.canceled(waiting)
	}
	if err == nil {
		if derr := g.claim.dispatching(); derr != nil {
			err = claimRefusal(derr)
		}
	}
	if err != nil {
		releaseBoth(p)
		return nil, err
	}
	return p, nil
}

func releaseBoth(p *placement.Placement) {
	for _, release := range []func(){p.ReleasePrefill, p.ReleaseDecode} {
		if release != nil {
			release()
		}
	}
}

func (g *generation) placeRequest(arrived time.Time) placement.Request {
	r := placement.Request{
		ID: g.in.ID, Model: g.route.Model, Class: g.route.Class, Arrived: arrived, Exclude: g.exclude,
		PromptTokens: g.body.estimated + g.ran.output, MaxOutputTokens: g.limit - g.ran.output,
		PrefixBlocks: cacheindex.Blocks(g.route.Model, g.body.prompt),
	}
	if g.workspace != nil {
		r.Workspace, r.Weight, r.Priority = g.workspace.Name, g.workspace.Rate, g.workspace.Priority
	}
	return r
}

// stageError is a failed stage of a pass.
type stageError struct {
	stage  placement.Stage
	server *rules.Server
	cause  error
}

// Error implements error.
func (e *stageError) Error() string {
	return string(e.stage) + " on " + e.server.Name + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *stageError) Unwrap() error { return e.cause }

// pass runs the stages that are left on a pair of servers. It gives both reservations back.
func (g *generation) pass(ctx context.Context, p *placement.Placement) error {
	first := g.hold(p.Prefill, p.ReleasePrefill)
	second := g.hold(p.Decode, p.ReleaseDecode)
	// Holds that a stage has ended are not touched again.
	defer second.abort()
	if p.Prefill.Name == p.Decode.Name {
		defer first.abort()
		return g.decode(ctx, p, second, first)
	}
	if g.kv == nil {
		if err := g.prefill(ctx, p.Prefill, first); err != nil {
			return err
		}
	} else {
		first.done()
	}
	return g.decode(ctx, p, second, nil)
}

func (g *generation) prefill(ctx context.Context, server *rules.Server, h *hold) error {
	a := g.newAttempt()
	h.attempt = a.ID
	pctx, cancel := context.WithTimeout(ctx, g.settings.PrefillTimeout)
	defer cancel()
	start := time.Now()
	kv, err := g.Engines.Server(server.Name, server.Addr).Prefill(pctx, g.call(a, g.limit-g.ran.output, g.sent.String()))
	g.observe(ctx, server, placement.StagePrefill, kv.Tokens-kv.Cached, start, err)
	if err != nil {
		g.callFailed(h, err)
		return &stageError{placement.StagePrefill, server, err}
	}
	h.free()
	g.ran.sent, g.ran.acted = true, true
	g.kv, g.export, g.kvAt = &kv, h, time.Now()
	if g.ran.prompt == 0 {
		g.ran.prompt, g.ran.cached = kv.Tokens, kv.Cached
		return g.fit(ctx)
	}
	g.Metrics.Add("prefill_tokens_repeated", kv.Tokens-kv.Cached)
	return nil
}

// callFailed ends the hold of a failed call: by abort, unless it certainly did not run.
func (g *generation) callFailed(h *hold, err error) {
	if didNotRun(err) {
		h.done()
		return
	}
	g.ran.sent = true
	h.abort()
}

// fit keeps prompt and output within the reservation once the engine has counted the prompt. It reserves what
// the estimate was too low by; when that is refused, the output limit is lowered, as long as output remains.
func (g *generation) fit(ctx context.Context) error {
	defer func() { g.quota.use(g.ran.prompt) }()
	missing := g.ran.prompt - g.body.estimated
	if g.workspace == nil || missing <= 0 {
		return nil
	}
	err := g.reserve(ctx, missing)
	if err == nil {
		return nil
	}
	g.Metrics.Inc("output_limits_lowered")
	if missing < g.limit {
		g.limit -= missing
		return nil
	}
	// The prompt alone needs the whole reservation, so one token of output must be had at least.
	if err = g.reserve(ctx, missing-g.limit+1); err != nil {
		return g.quotaRefusal(err)
	}
	g.limit = 1
	return nil
}

// decode starts the answer and follows it to its end. On an engine with both roles it prefills as well; prefill
// is then the hold of that reservation.
func (g *generation) decode(ctx context.Context, p *placement.Placement, h, prefill *hold) error {
	a, server := g.newAttempt(), p.Decode
	h.attempt = a.ID
	dctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := g.importLimit(p.Transfer)
	if g.kv == nil {
		limit = g.settings.PrefillTimeout
		if g.ran.prompt == 0 {
			g.quota.use(g.body.estimated)
		}
	}
	timer := time.AfterFunc(limit, func() { cancel(errImportStalled) })
	start := time.Now()
	s, err := g.Engines.Server(server.Name, server.Addr).Decode(dctx, g.call(a, g.limit-g.ran.output, g.sent.String()), g.kv)
	if !timer.Stop() {
		if err == nil {
			_ = s.Close()
		}
		err = &engine.FailedError{Server: server.Name, Cause: errImportStalled}
	}
	stage, tokens := placement.StagePrefill, g.body.estimated+g.ran.output
	if g.kv != nil {
		stage, tokens = placement.StageTransfer, g.kv.Tokens
	}
	if err != nil && !importFailed(err) {
		stage = placement.StageDecode
	}
	g.observe(ctx, server, stage, tokens, start, err)
	if err != nil {
		g.callFailed(h, err)
		return &stageError{placement.StageTransfer, server, err}
	}
	g.ran.sent, g.ran.acted = true, true
	if g.export != nil {
		g.export.done()
		g.export, g.kv = nil, nil
	}
	if prefill != nil {
		prefill.done()
	}
	return g.follow(ctx, &answering{server: server, attempt: a, hold: h, stream: s, cancel: cancel})
}

// switchTime is the part of a KV cache's lifetime that is kept for placing it on another decode server.
const switchTime = 50 * time.Millisecond

// importLimit is the time after which an import is given up: the predicted time and a margin, at most the lifetime of
// a KV cache. The margin is cut short so that another decode server can still take the KV cache, but not when the
// prediction itself leaves no time for that.
func (g *generation) importLimit(predicted time.Duration) time.Duration {
	limit := min(predicted+g.settings.ImportMargin, g.settings.KVLifetime)
	if left := g.settings.KVLifetime - time.Since(g.kvAt) - switchTime; left > predicted+switchTime {
		limit = min(limit, left)
	}
	return limit
}

// importFailed reports a failure that may be the exporting engine's or the link's.
func importFailed(err error) bool {
	var imported *engine.ImportError
	return errors.As(err, &imported) || errors.Is(err, errImportStalled)
}

// observe reports a stage to the placement, which avoids servers that fail. A caller that left, a server that is
// full, and a request that the server rejects are no failures of the server.
func (x *run) observe(ctx context.Context, server *rules.Server, stage placement.Stage, tokens int64, start time.Time, err error) {
	var refused *engine.RefusedError
	if _, ok := rejected(err); err != nil && (ok || ctx.Err() != nil || errors.As(err, &refused)) {
		return
	}
	x.Placer.Observe(placement.Observation{
		Server: server.Name, Stage: stage, Tokens: tokens, Duration: time.Since(start), Failed: err != nil,
	})
}

// complete sends the end of the answer, or the whole answer to callers who did not ask for a stream.
func (g *generation) complete() error {
	if !g.body.stream {
		return g.sendWhole()
	}
	if g.body.includeUsage {
		if err := g.sink.Event(g.usageEvent()); err != nil {
			return g.callerGone(err)
		}
	}
	if err := g.sink.Done(); err != nil {
		return g.callerGone(err)
	}
	return nil
}

func (g *generation) callerGone(err error) error {
	return g.fail(statusClientClosed, outcome.CodeCanceled, "the answer could not be sent", &SinkError{Cause: err})
}

// didNotRun reports whether a call certainly had no effect.
func didNotRun(err error) bool {
	var connect *engine.ConnectError
	var refused *engine.RefusedError
	return errors.As(err, &connect) || errors.As(err, &refused)
}

// rejected reports whether an engine refuses the request itself, so that no other engine would take it.
func rejected(err error) (int, bool) {
	var failed *engine.FailedError
	if !errors.As(err, &failed) || failed.Status < http.StatusBadRequest || failed.Status >= http.StatusInternalServerError {
		return 0, false
	}
	switch failed.Status {
	case http.StatusRequestTimeout, http.StatusNotFound, http.StatusConflict, http.StatusTooEarly, http.StatusTooManyRequests:
		return 0, false
	}
	return failed.Status, true
}
