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

// run is the state of one request while it is processed. It is used by one goroutine only.
type run struct {
	*Router
	in   *Input
	sink Sink
	// result is set at the end of Do. It is nil in finish if the request panicked.
	result *outcome.Error

	snap  *config.Snapshot
	route *rules.Route
	// key and workspace are nil on open routes.
	key       *rules.Key
	workspace *rules.Workspace
	body      *body

	quota    reservations
	claim    *heldClaim
	attempts int
	holds    []*hold
	progress progress
	// exclude lists the backend servers that failed this request and are not used for its next attempt.
	exclude []string
	retries int
	// stops counts the calls that were placed again without a retry because they were stopped before they were sent.
	stops int
}

// progress is what is known about the work that backend servers did for a request.
type progress struct {
	// sent is set when a call may have reached a backend server, hasRun when work certainly ran there.
	sent, hasRun bool
	// Token counts. prompt includes cached; both are 0 until an engine has reported them.
	prompt, cached, output int64
	cost                   int64
}

func (a progress) outcome() outcome.Outcome {
	switch {
	case a.hasRun:
		return outcome.Ran
	case a.sent:
		return outcome.Unknown
	}
	return outcome.NotRun
}

// newAttempt returns the identity of the next call to a backend server.
func (x *run) newAttempt(server *rules.Server) engine.Attempt {
	x.attempts++
	a := engine.Attempt{
		ID: x.in.ID + "." + strconv.Itoa(x.attempts), Host: x.Self.Name, Incarnation: x.Self.Incarnation,
		MaySend: func() error { return x.maySend(server) },
	}
	if x.workspace != nil {
		a.Priority = x.workspace.Priority
	}
	return a
}

// maySend returns *EvacuatedError if the installed configuration evacuates the server's zone. The request may have been
// placed with an earlier one.
func (x *run) maySend(server *rules.Server) error {
	if snap := x.Config.Current(); snap != nil && snap.Evacuated(server.Zone) {
		return &EvacuatedError{Zone: server.Zone}
	}
	return nil
}

// finish releases the resources of the request, settles its quota, and writes its charge and its log line. It also
// runs after a panic.
func (x *run) finish() {
	for _, h := range x.holds {
		h.abort()
	}
	if x.result == nil {
		x.result = &outcome.Error{Outcome: x.progress.outcome(), Code: outcome.CodeInternal, Cause: errNoResult}
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
	line = append(line, "prompt_tokens", x.progress.prompt, "cached_tokens", x.progress.cached, "output_tokens", x.progress.output,
		"cost_tokens", x.progress.cost, "attempts", x.attempts, "duration", time.Since(x.in.Arrived))
	if x.result.Cause != nil {
		line = append(line, "cause", x.in.redact(x.result.Cause.Error()))
	}
	x.Log.Info("request finished", line...)
}

// charge writes the charge record of a request that may have reached a backend server. Only work that certainly ran is
// counted.
func (x *run) charge() {
	if x.workspace == nil || !x.progress.sent {
		return
	}
	o := x.progress.outcome()
	if x.result.Outcome == outcome.Unknown {
		o = outcome.Unknown
	}
	x.Charges.Add(charge.Record{
		RequestID: x.in.ID, Workspace: x.workspace.Name, KeyID: x.key.KeyID, Generation: x.snap.Generation,
		Rule: x.workspace.Origin, Route: x.route.ID(),
		PromptTokens: x.progress.prompt, CachedTokens: x.progress.cached, OutputTokens: x.progress.output, CostTokens: x.progress.cost,
		Outcome: string(o), Finished: time.Now(),
	})
}

// fail returns an error whose outcome is derived from the progress of the request.
func (x *run) fail(status int, code outcome.Code, message string, cause error) *outcome.Error {
	return &outcome.Error{Outcome: x.progress.outcome(), Code: code, Status: status, Message: message, Cause: cause}
}

// canceled returns the error of the request if ctx is done, and nil otherwise.
func (x *run) canceled(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	if context.Cause(ctx) == errKeyWithdrawn { //nolint:errorlint // The cause is never wrapped.
		return keyWithdrawn()
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return x.fail(http.StatusGatewayTimeout, outcome.CodeCanceled, "the time limit of a request has passed", ctx.Err())
	}
	return x.fail(statusClientClosed, outcome.CodeCanceled, "the request was canceled", context.Cause(ctx))
}
