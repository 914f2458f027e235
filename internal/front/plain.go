package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/boragecourse/boragecourse/internal/dispatch"
	"github.com/boragecourse/boragecourse/internal/fleet"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/outlier"
	"github.com/boragecourse/boragecourse/internal/serverload"
	"github.com/boragecourse/boragecourse/platform"
)

// maxBuffered is the size up to which a plain response is buffered before it is relayed, in bytes. A buffered response
// that is interrupted can still be retried.
const maxBuffered = 256 << 10

// response is a backend server's response. body holds at most its first maxBuffered bytes. rest is the unread
// remainder, or nil if body is complete.
type response struct {
	*platform.Response
	body []byte
	rest io.ReadCloser
}

// forwardPlain sends a request to a backend server of a plain service, and retries after a failure if the kind of
// request, the route's attempts and the retry budget allow it.
func (f *Front) forwardPlain(ctx context.Context, x *call) error {
	excluded := map[string]bool{}
	runs := 0
	for {
		a, key, err := f.sendPlain(ctx, x, excluded)
		ended := ctx.Err() != nil
		if err == nil && (a.Status < http.StatusInternalServerError || ended) {
			return f.writeResponse(x, a)
		}
		if key == "" || ended {
			return err
		}
		if !notExecuted(err) {
			runs++
		}
		if reason := f.retryRefused(x, err, runs); reason != "" {
			if err == nil {
				return f.writeResponse(x, a)
			}
			return &RetriesExhaustedError{Reason: reason, Cause: err}
		}
		if a != nil && a.rest != nil {
			_ = a.rest.Close()
		}
		excluded[key] = true
		f.metrics.Inc("repeats", metrics.L("service", x.group.service), metrics.L("reason", retryReason(err)))
	}
}

// notExecuted reports whether the error of an attempt says that the backend server has not run the request.
func notExecuted(err error) bool {
	var notRun *platform.NotRunError
	return errors.As(err, &notRun)
}

// neverSent reports whether an attempt ended before anything was sent because its backend server had become unusable.
func neverSent(err error) bool {
	var stale *StaleServerError
	return errors.As(err, &stale)
}

// retryRefused returns why a request may not be retried after an attempt that ended with err, or "" when it may. In that
// case the retry is charged to the budget, unless the attempt never reached a backend server.
func (f *Front) retryRefused(x *call, err error, runs int) string {
	switch {
	case !notExecuted(err) && !x.route.Repeatable():
		return "not idempotent"
	case runs >= x.route.Attempts:
		return "attempts"
	case f.now().Add(responseMargin).After(x.deadline):
		return "time"
	case neverSent(err):
		return ""
	case !f.mayRetry(x):
		return "budget"
	}
	x.retryAllowedAt = f.now()
	return ""
}

// mayRetry reports whether the service's retry budget allows another retry, and if so charges the retry to it. A
// refusal is counted in the metrics.
func (f *Front) mayRetry(x *call) bool {
	allowed := x.group.mayRetry(f.hosts())
	if !allowed {
		f.metrics.Inc("repeats_refused", metrics.L("service", x.group.service))
	}
	return allowed
}

func retryReason(err error) string {
	var notRun *platform.NotRunError
	var lost *platform.OutcomeUnknownError
	switch {
	case neverSent(err):
		return "stale"
	case errors.As(err, &notRun) && notRun.WrongServer:
		return "wrong-server"
	case errors.As(err, &notRun) && notRun.Status == 0:
		return "unreachable"
	case errors.As(err, &notRun):
		return "rejected"
	case platform.IsDroppedConnection(err):
		return "dropped-connection"
	case errors.As(err, &lost):
		return "lost"
	}
	return "server-error"
}

// sendPlain makes one attempt. It returns the key of the backend server, which is empty when none was available.
func (f *Front) sendPlain(ctx context.Context, x *call, excluded map[string]bool) (*response, string, error) {
	latest := x.deadline
	if o := x.route.LatencyObjective; o > 0 {
		latest = x.request.Arrived.Add(max(o, (x.deadline.Sub(x.request.Arrived))/2))
	}
	grant, err := x.group.plain.Acquire(ctx, dispatch.Job{ID: x.request.ID, StartBy: latest, Exclude: excluded})
	if err != nil {
		return nil, "", err
	}
	defer grant.Release()
	x.group.load.with(func(m *serverload.Model) { m.RecordSent(grant.Key) })
	server, known := x.group.server(grant.Key)
	if !known {
		return nil, grant.Key, &platform.NotRunError{Cause: &StaleServerError{Key: grant.Key}}
	}
	x.trace.server, x.trace.waited = server.ID, grant.Waited
	sent := f.now()
	a, err := f.run(ctx, x, platform.BackendCall{
		Request: x.request, Server: server, TimeLeft: x.deadline.Sub(f.now()), Workspace: x.workspaceName(),
		LastEventID: x.request.LastEventID, Repeatable: x.route.Repeatable(),
	})
	if err != nil {
		f.recordFailure(ctx, x, grant.Key, err)
		return nil, grant.Key, err
	}
	read, err := readResponse(a)
	if err != nil {
		f.recordFailure(ctx, x, grant.Key, err)
		return nil, grant.Key, err
	}
	f.recordResponse(x, grant.Key, a.Status)
	f.observePlain(x, server, grant.Occupied, read, f.now().Sub(sent))
	return read, grant.Key, nil
}

// run sends a request to a backend server, unless that has become unusable since it was selected. If the server had dropped
// the reused connection, a request that may be repeated is sent to it once more on a new connection, which is charged to the
// retry budget.
func (f *Front) run(ctx context.Context, x *call, call platform.BackendCall) (*platform.Response, error) {
	if !x.group.usable(call.Server) {
		return nil, &platform.NotRunError{Cause: &StaleServerError{Key: serverKey(call.Server)}}
	}
	call.NewConnection = x.sentBefore(call.Server)
	settle := x.beginSend()
	response, err := f.backends.Run(ctx, call)
	settle(err)
	if !platform.IsDroppedConnection(err) || !call.Repeatable || ctx.Err() != nil || !x.group.usable(call.Server) || !f.mayRetry(x) {
		return response, err
	}
	f.metrics.Inc("repeats", metrics.L("service", x.group.service), metrics.L("reason", retryReason(err)))
	call.NewConnection, call.TimeLeft = true, x.deadline.Sub(f.now())
	x.retryAllowedAt = f.now()
	settle = x.beginSend()
	response, err = f.backends.Run(ctx, call)
	settle(err)
	return response, err
}

func (f *Front) recordResponse(x *call, key string, status int) {
	result := outlier.Succeeded
	if status >= http.StatusInternalServerError {
		result = outlier.Failed
	}
	if x.group.observe(key, result) {
		f.log.Info("backend server paused", "request", x.request.ID, "server", key, "reason", "failure rate", "status", status)
	}
}

// holdOff is called when a backend server refuses a request and names the time for which it wants no others.
func (f *Front) holdOff(server fleet.Server, wait time.Duration) {
	f.metrics.Inc("hold_offs", metrics.L("service", server.Service))
	if f.group(server.Service).holdOff(server, wait) {
		f.log.Info("backend server held off", "server", serverKey(server), "service", server.Service, "wait", ms(wait))
	}
}

// recordFailure passes a failed attempt to the outlier detector. An attempt that was canceled by the caller does not
// count against the backend server, but one that was canceled by the stall watch does.
func (f *Front) recordFailure(ctx context.Context, x *call, key string, err error) {
	var notRun *platform.NotRunError
	var stalled *StalledError
	result := outlier.Failed
	switch {
	case neverSent(err):
		return
	case errors.As(context.Cause(ctx), &stalled):
		result = outlier.Unreachable
	case errors.As(err, &notRun) && notRun.WrongServer:
		if server, known := x.group.server(key); known {
			f.state.MarkMisdirected(server)
		}
		return
	case errors.As(err, &notRun) && notRun.Status == 0:
		result = outlier.Unreachable
	case errors.As(err, &notRun):
		result = outlier.Rejected
	case errors.Is(context.Cause(ctx), context.Canceled), platform.IsDroppedConnection(err):
		return
	}
	if result == outlier.Unreachable {
		x.group.recordDoubt(key)
	}
	if x.group.observe(key, result) {
		f.log.Info("backend server paused", "request", x.request.ID, "server", key, "reason", "send failed", "cause", err)
	}
}

// readResponse buffers up to maxBuffered bytes of a response, and closes its body if the response is shorter. Errors
// are *platform.OutcomeUnknownError.
func readResponse(a *platform.Response) (*response, error) {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxBuffered))
	if err != nil {
		_ = a.Body.Close()
		return nil, &platform.OutcomeUnknownError{Cause: err}
	}
	read := &response{Response: a, body: body}
	if len(body) == maxBuffered {
		read.rest = a.Body
		return read, nil
	}
	_ = a.Body.Close()
	return read, nil
}

// writeResponse relays a backend server's response to the caller. Errors are *DeliveryError, *BrokenStreamError, and
// *DrainEndedError for a response that is not complete when this host ends.
func (f *Front) writeResponse(x *call, a *response) error {
	if a.rest != nil {
		defer func() { _ = a.rest.Close() }()
	}
	if err := x.begin(); err != nil && a.rest != nil {
		return err
	}
	x.started = true
	h := x.w.Header()
	platform.CopyResponseHeader(h, a.Header)
	switch {
	case a.rest == nil:
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	case a.Length >= 0:
		h.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	x.trace.first = f.now().Sub(x.request.Arrived)
	f.observeLatency(x, x.trace.first)
	x.w.WriteHeader(a.Status)
	if _, err := x.w.Write(a.body); err != nil {
		return &DeliveryError{Cause: err}
	}
	if a.rest == nil {
		return nil
	}
	if _, err := io.Copy(x.w, a.rest); err != nil {
		return &BrokenStreamError{Cause: err}
	}
	return nil
}

// observeLatency records a request's time to first byte.
func (f *Front) observeLatency(x *call, d time.Duration) {
	f.metrics.Observe("first_byte", d, metrics.L("service", x.group.service))
}
