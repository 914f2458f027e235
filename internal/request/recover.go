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

// retryWait is the wait before a request returns to servers that failed it, because no others are left. It
// doubles with each retry of the request.
const retryWait = 50 * time.Millisecond

// recover decides what follows a failed pass: another pair of servers, or another decode server for a KV cache
// that is alive. It returns no placement when the answer is whole after all.
func (g *generation) recover(ctx context.Context, err error) (*placement.Placement, error) {
	if c := g.canceled(ctx); c != nil {
		return nil, c
	}
	var st *stageError
	if !errors.As(err, &st) {
		return nil, err
	}
	reason := reasonOf(st)
	if status, ok := rejected(st.cause); ok {
		return nil, g.fail(status, outcome.CodeServerFailed, "the backend server rejected the request", st)
	}
	if !g.mayRetry(st) {
		return nil, g.stop(st)
	}
	if st.stage == placement.StageDecode && !g.restartable() {
		return nil, g.fail(http.StatusBadGateway, outcome.CodeStreamLost, "the answer was lost", errNotContinuable)
	}
	if g.ran.output >= g.limit {
		g.finish = "length"
		return nil, g.forward(g.finishEvent())
	}
	if err := g.retry(reason, st); err != nil {
		return nil, g.exhausted(err)
	}
	failed := st.server
	var imported *engine.ImportError
	if errors.As(st.cause, &imported) && imported.Gone && g.export != nil {
		// The decode server came too late because the prefill server answered late.
		failed = g.export.server
		g.kv = nil
	}
	g.exclude = append(g.exclude, failed.Name)
	return g.replace(ctx)
}

// mayRetry reports whether the failed call may be followed by another one. Routes that may not be repeated go on
// only from calls that certainly had no effect, and never prefill a second time.
func (g *generation) mayRetry(st *stageError) bool {
	if g.route.Repeatable {
		return true
	}
	return didNotRun(st.cause) && (!g.ran.sent || g.kvAlive())
}

// restartable reports whether another engine can take up the answer. An answer with more than text can only
// start from its beginning, which the caller must not have seen.
func (g *generation) restartable() bool {
	if !g.opaque {
		return true
	}
	if g.body.stream {
		return false
	}
	g.Metrics.Add("output_tokens_repeated", g.ran.output)
	g.whole, g.opaque, g.began = assembly{}, false, false
	g.sent.Reset()
	g.ran.output = 0
	return true
}

func (g *generation) kvAlive() bool {
	return g.kv != nil && time.Since(g.kvAt) < g.settings.KVLifetime
}

// replace finds servers for the next pass. Deadlines count anew: giving up work that was begun would waste more
// than finishing it late.
func (g *generation) replace(ctx context.Context) (*placement.Placement, error) {
	g.snap = g.Config.Current()
	if g.kvAlive() {
		if p, err := g.Placer.PlaceDecode(ctx, g.snap, g.placeRequest(time.Now()), g.export.server); err == nil {
			return p, nil
		}
	}
	if g.export != nil {
		g.export.abort()
		g.kv, g.export = nil, nil
		if !g.route.Repeatable {
			return nil, g.fail(http.StatusBadGateway, outcome.CodeServerFailed, "no other backend server took the prompt", nil)
		}
	}
	p, err := g.Placer.Place(ctx, g.snap, g.placeRequest(time.Now()))
	var none *placement.NoServerError
	if errors.As(err, &none) && len(g.exclude) > 0 {
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

// stop is the failure of a request that may not be retried.
func (g *generation) stop(st *stageError) error {
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

// exhausted is the failure of a request whose retry budget is used up.
func (x *run) exhausted(cause error) error {
	e := x.fail(http.StatusServiceUnavailable, outcome.CodeRetriesExhausted, "backend servers failed repeatedly", cause)
	e.RetryAfter = retryDraining
	return e
}

// reasonOf names the failure in the retry counters.
func reasonOf(st *stageError) string {
	var connect *engine.ConnectError
	var refused *engine.RefusedError
	var imported *engine.ImportError
	switch {
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
