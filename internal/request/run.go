package request

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/boragecourse/boragecourse/internal/charge"
	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/outcome"
	"github.com/boragecourse/boragecourse/internal/rules"
)

// run is one request on its way. One goroutine owns it.
type run struct {
	*Router
	in   *Input
	sink Sink
	// result is nil until Do has its answer, so that a panic leaves it nil.
	result *outcome.Error

	snap  *config.Snapshot
	route *rules.Route
	// key and workspace are nil on open routes.
	key       *rules.Key
	workspace *rules.Workspace
	body      *body

	quota reservations
	claim *claimed
	tries int
	held  []*hold
	ran   ran
	// exclude lists backend servers that failed this request.
	exclude []string
	retries int
}

// ran is what is known to have run for a request.
type ran struct {
	// sent is set when a call may have reached a backend server, acted when work certainly ran there.
	sent, acted bool
	// prompt includes cached; both stay 0 until an engine reported them.
	prompt, cached, output int64
	cost                   int64
}

func (a ran) outcome() outcome.Outcome {
	switch {
	case a.acted:
		return outcome.Ran
	case a.sent:
		return outcome.Unknown
	}
	return outcome.NotRun
}

// newAttempt names the next call to a backend server.
func (x *run) newAttempt() engine.Attempt {
	x.tries++
	a := engine.Attempt{
		ID: x.in.ID + "." + strconv.Itoa(x.tries), Host: x.Self.Name, Incarnation: x.Self.Incarnation,
	}
	if x.workspace != nil {
		a.Priority = x.workspace.Priority
	}
	return a
}

// finish releases what the request holds, settles its quota, and writes its charge and its log line. It runs
// after a panic too.
func (x *run) finish() {
	for _, h := range x.held {
		h.abort()
	}
	if x.result == nil {
		x.result = &outcome.Error{Outcome: x.ran.outcome(), Code: outcome.CodeInternal, Cause: errNotAnswered}
	}
	x.quota.close()
	x.charge()
	x.Metrics.Inc("requests_finished",
		metrics.L("outcome", string(x.result.Outcome)), metrics.L("code", string(x.result.Code)))
	line := []any{"request", x.in.ID, "path", x.in.redact(x.in.URL.Path), "outcome", x.result.Outcome, "code", x.result.Code}
	if x.route != nil {
		line = append(line, "route", x.route.ID())
	}
	if x.workspace != nil {
		line = append(line, "workspace", x.workspace.Name, "key", x.key.KeyID, "rule_line", x.workspace.Line,
			"who", x.workspace.Who)
	}
	line = append(line, "prompt_tokens", x.ran.prompt, "cached_tokens", x.ran.cached, "output_tokens", x.ran.output,
		"cost_tokens", x.ran.cost, "attempts", x.tries, "duration", time.Since(x.in.Arrived))
	if x.result.Cause != nil {
		line = append(line, "cause", x.in.redact(x.result.Cause.Error()))
	}
	x.Log.Info("request finished", line...)
}

// charge writes the record of a request that reached a backend server. Only what certainly ran is counted.
func (x *run) charge() {
	if x.workspace == nil || !x.ran.sent {
		return
	}
	o := x.ran.outcome()
	if x.result.Outcome == outcome.Unknown {
		o = outcome.Unknown
	}
	x.Charges.Add(charge.Record{
		RequestID: x.in.ID, Workspace: x.workspace.Name, KeyID: x.key.KeyID, Generation: x.snap.Generation,
		Rule: x.workspace.Origin, Route: x.route.ID(),
		PromptTokens: x.ran.prompt, CachedTokens: x.ran.cached, OutputTokens: x.ran.output, CostTokens: x.ran.cost,
		Outcome: string(o), Finished: time.Now(),
	})
}

// fail builds the failure of a request in its present state: the outcome follows from what was sent.
func (x *run) fail(status int, code outcome.Code, message string, cause error) *outcome.Error {
	return &outcome.Error{Outcome: x.ran.outcome(), Code: code, Status: status, Message: message, Cause: cause}
}

// canceled returns the failure for an ended context, or nil while ctx lives.
func (x *run) canceled(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	if context.Cause(ctx) == errWithdrawn { //nolint:errorlint // The cause is this very value.
		return keyWithdrawn()
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return x.fail(http.StatusGatewayTimeout, outcome.CodeCanceled, "the time limit of a request has passed", ctx.Err())
	}
	return x.fail(statusClientClosed, outcome.CodeCanceled, "the request was canceled", context.Cause(ctx))
}
