package request

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/outcome"
	"github.com/boragecourse/boragecourse/internal/placement"
	"github.com/boragecourse/boragecourse/internal/wait"
)

// retryWait is the first backoff before a request is retried on servers that have already failed it, which happens if
// no other server is left. It doubles with each retry of the request.
const retryWait = 50 * time.Millisecond

// recover handles the failure of a stage. It returns a new placement: other servers for both stages, or another decode
// server for a KV cache that has not expired. It returns nil without an error when the response is already complete.
func (g *generation) recover(ctx context.Context, err error) (*placement.Placement, error) {
	if c := g.canceled(ctx); c != nil {
		return nil, c
	}
	var st *stageError
	if !errors.As(err, &st) {
		return nil, err
	}
	reason := reasonOf(st)
	if status, ok := rejectionStatus(st.cause); ok {
		return nil, g.fail(status, outcome.CodeServerFailed, "the backend server rejected the request", st)
	}
	if !g.mayRetry(st) {
		return nil, g.stageFailure(st)
	}
	if st.stage == placement.StageDecode && !g.prepareRestart() {
		return nil, g.fail(http.StatusBadGateway, outcome.CodeStreamLost, "the answer was lost", errNotContinuable)
	}
	if g.progress.output >= g.limit {
		g.finish = "length"
		return nil, g.forward(g.finishEvent())
	}
	if err := g.retry(reason, st); err != nil {
		return nil, g.retriesExhausted(err)
	}
	failed := st.server
	var imported *engine.ImportError
	if errors.As(st.cause, &imported) && imported.Gone && g.kvHold != nil {
		// The KV cache expired before the import because the prefill server responded late.
		failed = g.kvHold.server
		g.kv = nil
	}
	g.exclude = append(g.exclude, failed.Name)
	return g.placeAgain(ctx)
}

// mayRetry reports whether another call may follow the failed one. On non-repeatable routes the failed call must
// certainly have had no effect, and a prompt is never prefilled twice.
func (g *generation) mayRetry(st *stageError) bool {
	if g.route.Repeatable {
		return true
	}
	return didNotRun(st.cause) && (!g.progress.sent || g.kvUsable())
}

// prepareRestart reports whether another engine can continue the response or generate it again. Output other than text
// cannot be continued, so such a response must be generated from the beginning, which requires that none of it was sent
// to the caller. In that case prepareRestart discards the output so far.
func (g *generation) prepareRestart() bool {
	if !g.nonText {
		return true
	}
	if g.body.stream {
		return false
	}
	g.Metrics.Add("output_tokens_repeated", g.progress.output)
	g.assembled, g.nonText, g.started = assembly{}, false, false
	g.sent.Reset()
	g.progress.output = 0
	return true
}

func (g *generation) kvUsable() bool {
	return g.kv != nil && time.Since(g.prefilledAt) < g.settings.KVLifetime
}

// placeAgain places the remaining stages. The latency target counts from now instead of the arrival of the request,
// since a refusal would discard the work already done, which wastes more than a late response.
func (g *generation) placeAgain(ctx context.Context) (*placement.Placement, error) {
	g.snap = g.Config.Current()
	if g.kvUsable() {
		if p, err := g.Placer.PlaceDecode(ctx, g.snap, g.placeRequest(time.Now()), g.kvHold.server); err == nil {
			return p, nil
		}
	}
	if g.kvHold != nil {
		g.kvHold.abort()
		g.kv, g.kvHold = nil, nil
		if !g.route.Repeatable {
			return nil, g.fail(http.StatusBadGateway, outcome.CodeServerFailed, "no other backend server took the prompt", nil)
		}
	}
	p, err := g.Placer.Place(ctx, g.snap, g.placeRequest(time.Now()))
	var none *placement.NoServerError
	if errors.As(err, &none) && !none.Evacuated && len(g.exclude) > 0 {
		if wait.For(ctx, retryWait<<g.retries) == nil {
			g.exclude = nil
			p, err = g.Placer.Place(ctx, g.snap, g.placeRequest(time.Now()))
		}
	}
	if err == nil {
		return p, nil
	}
	if c := g.canceled(ctx); c != nil {
		return nil, c
	}
	return nil, g.placeRefusal(err)
}

// stageFailure returns the error of a request that may not be retried.
func (g *generation) stageFailure(st *stageError) error {
	if st.stage == placement.StageDecode {
		return g.fail(http.StatusBadGateway, outcome.CodeStreamLost, "the answer was lost", st)
	}
	return serverFailure(g.run, st)
}

func serverFailure(x *run, cause error) error {
	var refused *engine.RefusedError
	if errors.As(cause, &refused) {
		e := x.fail(http.StatusServiceUnavailable, outcome.CodeServerRefused, "the backend server refused the request", cause)
		e.RetryAfter = max(refused.RetryAfter, retryDraining)
		return e
	}
	return x.fail(http.StatusBadGateway, outcome.CodeServerFailed, "the backend server failed", cause)
}

// retriesExhausted returns the error of a request that has no retries left.
func (x *run) retriesExhausted(cause error) error {
	e := x.fail(http.StatusServiceUnavailable, outcome.CodeRetriesExhausted, "backend servers failed repeatedly", cause)
	e.RetryAfter = retryDraining
	return e
}

// reasonOf returns the reason label of the failure in the retry metrics.
func reasonOf(st *stageError) string {
	var connect *engine.ConnectError
	var refused *engine.RefusedError
	var imported *engine.ImportError
	switch {
	case stopped(st.cause):
		return reasonStopped
	case errors.As(st.cause, &connect):
		return string(st.stage) + "_connect"
	case errors.As(st.cause, &refused):
		return string(st.stage) + "_refused"
	case errors.As(st.cause, &imported) && imported.Gone:
		return "kv_gone"
	case errors.As(st.cause, &imported):
		return "import_failed"
	case errors.Is(st.cause, errImportStalled):
		return "import_stalled"
	case st.stage == placement.StageDecode:
		return "engine_lost"
	}
	return string(st.stage) + "_failed"
}
