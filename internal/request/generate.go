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

// generation is the run of a request on inference engines.
type generation struct {
	*run
	// limit is the largest output, in tokens.
	limit int64
	// sent is the output text received so far. Another engine can continue it unless nonText is set.
	sent    strings.Builder
	nonText bool
	// started is set once a chunk was forwarded. finish is the finish reason, empty until the engine has sent it.
	started   bool
	finish    string
	assembled assembly

	// kv is the exported KV cache that is not imported yet, kvHold the hold of its prefill, and prefilledAt when the
	// prefill ended.
	kv          *engine.KVCacheHandle
	kvHold      *hold
	prefilledAt time.Time
}

// generate serves a request of a model route.
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
		x.sink = &recordingSink{Sink: x.sink, claim: x.claim, limit: x.settings.MaxRecordedResponse}
		defer func() { x.claim.settle(err, x.progress) }()
	}
	// The parsed fields replace the body; keeping both would store large prompts twice.
	x.in.Body = nil
	g := &generation{run: x, limit: x.body.maxOutput}
	p, err := g.admit(waiting)
	if err != nil {
		return err
	}
	leave()
	for {
		err := g.runStages(ctx, p)
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

// admit reserves quota, a prefill server and a decode server, and marks the claim as dispatched. The request is queued
// until admit returns.
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
		if derr := g.claim.markDispatched(); derr != nil {
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
		PromptTokens: g.body.estimated + g.progress.output, MaxOutputTokens: g.limit - g.progress.output,
		PrefixBlocks: cacheindex.Blocks(g.route.Model, g.body.prompt),
	}
	if g.workspace != nil {
		r.Workspace, r.Weight, r.Priority = g.workspace.Name, g.workspace.Rate, g.workspace.Priority
	}
	return r
}

// stageError is the failure of one stage on a backend server.
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

// runStages runs the remaining stages on the placed servers. It releases both placement reservations.
func (g *generation) runStages(ctx context.Context, p *placement.Placement) error {
	prefillHold := g.hold(p.Prefill, p.ReleasePrefill)
	decodeHold := g.hold(p.Decode, p.ReleaseDecode)
	// Has no effect on a hold that a stage has already ended.
	defer decodeHold.abort()
	if p.Prefill.Name == p.Decode.Name {
		defer prefillHold.abort()
		return g.decode(ctx, p, decodeHold, prefillHold)
	}
	if g.kv == nil {
		if err := g.prefill(ctx, p.Prefill, prefillHold); err != nil {
			return err
		}
	} else {
		prefillHold.done()
	}
	return g.decode(ctx, p, decodeHold, nil)
}

func (g *generation) prefill(ctx context.Context, server *rules.Server, h *hold) error {
	a := g.newAttempt(server)
	h.attempt = a.ID
	pctx, cancel := context.WithTimeout(ctx, g.settings.PrefillTimeout)
	defer cancel()
	start := time.Now()
	kv, err := g.Engines.Server(server.Name, server.Addr).Prefill(pctx, g.call(a, g.limit-g.progress.output, g.sent.String()))
	g.observe(ctx, server, placement.StagePrefill, kv.Tokens-kv.Cached, start, err)
	if err != nil {
		g.callFailed(h, err)
		return &stageError{placement.StagePrefill, server, err}
	}
	h.releaseReservation()
	g.progress.sent, g.progress.hasRun = true, true
	g.kv, g.kvHold, g.prefilledAt = &kv, h, time.Now()
	if g.progress.prompt == 0 {
		g.progress.prompt, g.progress.cached = kv.Tokens, kv.Cached
		return g.reconcileQuota(ctx)
	}
	g.Metrics.Add("prefill_tokens_repeated", kv.Tokens-kv.Cached)
	return nil
}

// callFailed ends the hold of a failed call. It aborts the attempt unless the call certainly did not run.
func (g *generation) callFailed(h *hold, err error) {
	if didNotRun(err) {
		h.done()
		return
	}
	g.progress.sent = true
	h.abort()
}

// reconcileQuota keeps prompt and output within the quota reservation once the engine has counted the prompt. If the
// estimate was too low, it reserves the difference. If that is refused, it lowers the output limit by the difference.
// If that leaves no output, it reserves what is missing for one output token, or refuses the request.
func (g *generation) reconcileQuota(ctx context.Context) error {
	defer func() { g.quota.use(g.progress.prompt) }()
	missing := g.progress.prompt - g.body.estimated
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
	// The prompt uses up the whole reservation, so quota for at least one output token must be reserved.
	if err = g.reserve(ctx, missing-g.limit+1); err != nil {
		return g.quotaRefusal(err)
	}
	g.limit = 1
	return nil
}

// decode starts the decode stream and reads it to its end. On an engine with both roles the call includes the prefill;
// prefill is then the hold of the prefill reservation.
func (g *generation) decode(ctx context.Context, p *placement.Placement, h, prefill *hold) error {
	a, server := g.newAttempt(p.Decode), p.Decode
	h.attempt = a.ID
	dctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := g.importTimeout(p.Transfer)
	if g.kv == nil {
		limit = g.settings.PrefillTimeout
		if g.progress.prompt == 0 {
			g.quota.use(g.body.estimated)
		}
	}
	timer := time.AfterFunc(limit, func() { cancel(errImportStalled) })
	start := time.Now()
	s, err := g.Engines.Server(server.Name, server.Addr).Decode(dctx, g.call(a, g.limit-g.progress.output, g.sent.String()), g.kv)
	if !timer.Stop() {
		if err == nil {
			_ = s.Close()
		}
		err = &engine.FailedError{Server: server.Name, Cause: errImportStalled}
	}
	stage, tokens := placement.StagePrefill, g.body.estimated+g.progress.output
	if g.kv != nil {
		stage, tokens = placement.StageTransfer, g.kv.Tokens
	}
	if err != nil && !isImportFailure(err) {
		stage = placement.StageDecode
	}
	g.observe(ctx, server, stage, tokens, start, err)
	if err != nil {
		g.callFailed(h, err)
		return &stageError{placement.StageTransfer, server, err}
	}
	g.progress.sent, g.progress.hasRun = true, true
	if g.kvHold != nil {
		g.kvHold.done()
		g.kvHold, g.kv = nil, nil
	}
	if prefill != nil {
		prefill.done()
	}
	return g.readStream(ctx, &decodeAttempt{server: server, attempt: a, hold: h, stream: s, cancel: cancel})
}

// reassignTime is the part of a KV cache's lifetime that is reserved for placing it on another decode server.
const reassignTime = 50 * time.Millisecond

// importTimeout returns the timeout of a KV cache import: the predicted time plus a margin, at most the lifetime of a
// KV cache. The margin is reduced so that another decode server can still import the KV cache, unless the predicted
// time alone leaves no time for that.
func (g *generation) importTimeout(predicted time.Duration) time.Duration {
	limit := min(predicted+g.settings.ImportMargin, g.settings.KVLifetime)
	if left := g.settings.KVLifetime - time.Since(g.prefilledAt) - reassignTime; left > predicted+reassignTime {
		limit = min(limit, left)
	}
	return limit
}

// isImportFailure reports whether the import failed or timed out. The cause may be the exporting engine or the link
// instead of the importing engine.
func isImportFailure(err error) bool {
	var imported *engine.ImportError
	return errors.As(err, &imported) || errors.Is(err, errImportStalled)
}

// observe reports the result of a stage to the placement, which avoids failing servers. A call is not reported if it
// failed because the request was canceled, the call was stopped before it was sent, the server is at capacity, or the
// server rejects the request itself.
func (x *run) observe(ctx context.Context, server *rules.Server, stage placement.Stage, tokens int64, start time.Time, err error) {
	var refused *engine.RefusedError
	if _, ok := rejectionStatus(err); err != nil && (ok || ctx.Err() != nil || errors.As(err, &refused) || stopped(err)) {
		return
	}
	x.Placer.Observe(placement.Observation{
		Server: server.Name, Stage: stage, Tokens: tokens, Duration: time.Since(start), Failed: err != nil,
	})
}

// complete sends the end of the stream, or the assembled response to callers who did not request a stream.
func (g *generation) complete() error {
	if !g.body.stream {
		return g.sendAssembled()
	}
	if g.body.includeUsage {
		if err := g.sink.Event(g.usageEvent()); err != nil {
			return g.writeFailure(err)
		}
	}
	if err := g.sink.Done(); err != nil {
		return g.writeFailure(err)
	}
	return nil
}

func (g *generation) writeFailure(err error) error {
	return g.fail(statusClientClosed, outcome.CodeCanceled, "the answer could not be sent", &SinkError{Cause: err})
}

// didNotRun reports whether a call certainly had no effect on the backend server.
func didNotRun(err error) bool {
	var connect *engine.ConnectError
	var refused *engine.RefusedError
	return errors.As(err, &connect) || errors.As(err, &refused) || stopped(err)
}

// rejectionStatus reports whether the engine rejected the request itself, which any other engine would reject as well,
// and returns the HTTP status of the rejection.
func rejectionStatus(err error) (int, bool) {
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
