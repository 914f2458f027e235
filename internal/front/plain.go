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

// response is a backend server's response. body holds at most its first maxBuffered bytes, which the request's account
// counts. rest is the unread remainder, or nil if body is complete.
type response struct {
	*platform.Response
	body []byte
	rest io.ReadCloser
}

// forwardPlain sends a request to a backend server of a plain service, and retries after a failure if the kind of
// request, the route's attempts and the retry budget allow it.
func (f *Front) forwardPlain(ctx context.Context, x *call) error {
	if err := f.refuseOverloaded(x); err != nil {
		return err
	}
	excluded := map[string]bool{}
	runs := 0
	for {
		a, key, err := f.sendPlain(ctx, x, excluded)
		ended := ctx.Err() != nil
		if err == nil && (a.Status < http.StatusInternalServerError || ended) {
			return f.writeResponse(ctx, x, a)
		}
		if key == "" || ended {
			return err
		}
		if !notExecuted(err) {
			runs++
		}
		if reason := f.retryRefused(x, err, runs); reason != "" {
			if err == nil {
				return f.writeResponse(ctx, x, a)
			}
			return &RetriesExhaustedError{Reason: reason, Cause: err}
		}
		if a != nil {
			a.drop(x)
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
	grant, err := x.group.plain.Acquire(ctx, f.withinServerBytes(x, f.plainJob(x, excluded)))
	if err != nil {
		f.countPlainRefusal(x, err)
		return nil, "", err
	}
	defer grant.Release()
	x.group.load.with(func(m *serverload.Model) { m.RecordSent(grant.Key) })
	server, known := x.group.server(grant.Key)
	if !known {
		return nil, grant.Key, &platform.NotRunError{Cause: &StaleServerError{Key: grant.Key}}
	}
	x.trace.server, x.trace.waited = server.ID, grant.Waited
	sentAt := f.now()
	a, err := f.run(ctx, x, platform.BackendCall{
		Request: x.request, Server: server, TimeLeft: x.deadline.Sub(f.now()), Workspace: x.workspaceName(),
		LastEventID: x.request.LastEventID, Repeatable: x.route.Repeatable(), Urgency: f.urgency(x),
	})
	if err != nil {
		f.recordFailure(ctx, x, grant.Key, err)
		return nil, grant.Key, err
	}
	read, err := readResponse(x, a)
	if err != nil {
		f.recordFailure(ctx, x, grant.Key, err)
		return nil, grant.Key, err
	}
	if a.Status < http.StatusInternalServerError {
		x.group.completed(grant, server.Slots, f.now().Sub(sentAt))
	}
	f.recordResponse(x, grant.Key, a.Status)
	f.observePlain(x, server, grant.Occupied, read, f.now().Sub(sentAt))
	return read, grant.Key, nil
}

// plainJob returns the job of a plain request.
func (f *Front) plainJob(x *call, excluded map[string]bool) dispatch.Job {
	latest := x.deadline
	if o := x.route.LatencyObjective; o > 0 {
		latest = x.request.Arrived.Add(max(o, (x.deadline.Sub(x.request.Arrived))/2))
	}
	rank, _ := f.rank(x)
	return dispatch.Job{ID: x.request.ID, Rank: rank, StartBy: latest, DueBy: f.dueBy(x), Exclude: excluded}
}

// dueBy returns the latest time at which a server may get a plain request so that its response is in time; zero if the
// route has no objective. The time that the caller has spent on earlier requests counts.
func (f *Front) dueBy(x *call) time.Time {
	objective := x.route.LatencyObjective
	if objective <= 0 {
		return time.Time{}
	}
	due := x.request.Arrived.Add(objective - x.group.workTime())
	if f.isLate(x) {
		due = due.Add(x.request.CallerTimeout - x.route.Timeout)
	}
	return due
}

// countPlainRefusal counts a plain request that the pool refused.
func (f *Front) countPlainRefusal(x *call, err error) {
	var refused *dispatch.RefusedError
	if !errors.As(err, &refused) {
		return
	}
	reason := "no_slot"
	if refused.TooLate {
		reason = "too_late"
	}
	f.metrics.Inc("overload_refusals", metrics.L("service", x.group.service), metrics.L("reason", reason))
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
	if result == outlier.Failed && x.route.Kind == fleet.Generation {
		// Each failed run costs a processed prompt, so the other hosts should not find out by themselves.
		f.recordDoubt(x, key)
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
		// A server that is full serves as many requests as it can; a pause would move its load to the others.
		if x.route.Kind != fleet.Generation && x.group.refusedAsFull(key) {
			f.metrics.Inc("servers_full", metrics.L("service", x.group.service))
			return
		}
		result = outlier.Rejected
	case errors.Is(context.Cause(ctx), context.Canceled), isUndelivered(context.Cause(ctx)), platform.IsDroppedConnection(err):
		return
	}
	if result == outlier.Unreachable {
		f.recordDoubt(x, key)
	}
	if x.group.observe(key, result) {
		f.log.Info("backend server paused", "request", x.request.ID, "server", key, "reason", "send failed", "cause", err)
	}
}

// readResponse buffers up to maxBuffered bytes of a response, or as many as the request's account allows, and closes its
// body if the response is shorter. Errors are *platform.OutcomeUnknownError.
func readResponse(x *call, a *platform.Response) (*response, error) {
	limit := maxBuffered
	in := &heldReader{in: io.LimitReader(a.Body, maxBuffered), hold: x.account.Hold}
	body, err := io.ReadAll(in)
	if in.refused {
		limit, err = len(body), nil
	}
	if err != nil {
		_ = a.Body.Close()
		x.account.Release(int64(len(body)))
		return nil, &platform.OutcomeUnknownError{Cause: err}
	}
	read := &response{Response: a, body: body}
	if len(body) == limit {
		read.rest = a.Body
		return read, nil
	}
	_ = a.Body.Close()
	return read, nil
}

// writeResponse relays a backend server's response to the caller. Errors are *DeliveryError, *BrokenStreamError, and
// *DrainEndedError for a response that is not complete when this host ends.
func (f *Front) writeResponse(ctx context.Context, x *call, a *response) error {
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
	if a.rest != nil && x.account != nil {
		return f.relayBuffered(ctx, x, a)
	}
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

// relayBuffered relays the body of a response that was not read whole, and reads the rest at the backend server's pace as far
// as the request's account allows.
func (f *Front) relayBuffered(ctx context.Context, x *call, a *response) error {
	d := f.startDelivery(x)
	if err := d.enqueue(a.body, int64(len(a.body))); err != nil {
		return err
	}
	buffer := make([]byte, maxWrite)
	for {
		n, err := a.rest.Read(buffer)
		if n > 0 {
			if err := d.push(ctx, buffer[:n], func() {}); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return &BrokenStreamError{Cause: err}
		}
	}
}

// observeLatency records a request's time to first byte.
func (f *Front) observeLatency(x *call, d time.Duration) {
	f.metrics.Observe("first_byte", d, metrics.L("service", x.group.service))
}
