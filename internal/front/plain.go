package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/boragecourse/boragecourse/internal/dispatch"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/outlier"
	"github.com/boragecourse/boragecourse/platform"
)

// maxBuffered is the largest plain answer that is read whole before it is passed on, so that one that breaks off can
// be asked for again.
const maxBuffered = 256 << 10

// answer is a backend server's answer, read whole unless rest is set.
type answer struct {
	*platform.Answer
	body []byte
	rest io.ReadCloser
}

// forwardPlain sends a request to a backend server of a plain service, and again where its kind, the route's attempts
// and the budget allow.
func (f *Front) forwardPlain(ctx context.Context, x *call) error {
	avoid := map[string]bool{}
	runs := 0
	for {
		a, key, err := f.sendPlain(ctx, x, avoid)
		if err == nil && (a.Status < http.StatusInternalServerError || ctx.Err() != nil) {
			return f.writeAnswer(x, a)
		}
		if key == "" || ctx.Err() != nil {
			return err
		}
		var notRun *platform.NotRunError
		unrun := errors.As(err, &notRun)
		if !unrun {
			runs++
		}
		if reason := f.repeatRefused(x, unrun, runs); reason != "" {
			if err == nil {
				return f.writeAnswer(x, a)
			}
			return &RetriesExhaustedError{Reason: reason, Cause: err}
		}
		if a != nil && a.rest != nil {
			_ = a.rest.Close()
		}
		avoid[key] = true
		f.metrics.Inc("repeats", metrics.L("service", x.group.service), metrics.L("reason", repeatReason(err)))
	}
}

// repeatRefused returns why a request may not be sent again, or "".
func (f *Front) repeatRefused(x *call, unrun bool, runs int) string {
	switch {
	case !unrun && !x.route.Repeatable():
		return "not idempotent"
	case runs >= x.route.Attempts:
		return "attempts"
	case f.now().Add(answerMargin).After(x.deadline):
		return "time"
	case !f.mayRepeat(x):
		return "budget"
	}
	x.repeatAllowed = f.now()
	return ""
}

// mayRepeat draws a send beyond the first from the service's budget, and counts one that the budget refuses.
func (f *Front) mayRepeat(x *call) bool {
	allowed := x.group.mayRepeat(f.hosts())
	if !allowed {
		f.metrics.Inc("repeats_refused", metrics.L("service", x.group.service))
	}
	return allowed
}

func repeatReason(err error) string {
	var notRun *platform.NotRunError
	var lost *platform.LostError
	switch {
	case errors.As(err, &notRun) && notRun.WrongServer:
		return "wrong-server"
	case errors.As(err, &notRun) && notRun.Status == 0:
		return "unreachable"
	case errors.As(err, &notRun):
		return "rejected"
	case errors.As(err, &lost):
		return "lost"
	}
	return "server-error"
}

// sendPlain makes one send. The key of the backend server is empty when none was found.
func (f *Front) sendPlain(ctx context.Context, x *call, avoid map[string]bool) (*answer, string, error) {
	latest := x.deadline
	if o := x.route.LatencyObjective; o > 0 {
		latest = x.request.Arrived.Add(max(o, (x.deadline.Sub(x.request.Arrived))/2))
	}
	grant, err := x.group.plain.Acquire(ctx, dispatch.Job{ID: x.request.ID, Latest: latest, Avoid: avoid})
	if err != nil {
		return nil, "", err
	}
	defer grant.Release()
	server, known := x.group.server(grant.Key)
	if !known {
		return nil, grant.Key, &platform.NotRunError{Cause: &StaleServerError{Key: grant.Key}}
	}
	x.trace.server, x.trace.waited = server.ID, grant.Waited
	settle := x.sending()
	a, err := f.backends.Run(ctx, platform.Send{
		Request: x.request, Server: server, TimeLeft: x.deadline.Sub(f.now()), Workspace: x.workspaceName(), LastEventID: x.request.LastEventID,
	})
	if err != nil {
		settle(err)
		f.noteFailure(ctx, x, grant.Key, err)
		return nil, grant.Key, err
	}
	read, err := readAnswer(a)
	if err != nil {
		f.noteFailure(ctx, x, grant.Key, err)
		return nil, grant.Key, err
	}
	f.noteAnswer(x, grant.Key, a.Status)
	return read, grant.Key, nil
}

func (f *Front) noteAnswer(x *call, key string, status int) {
	result := outlier.Answered
	if status >= http.StatusInternalServerError {
		result = outlier.Failed
	}
	if x.group.observe(key, result) {
		f.log.Info("backend server paused", "request", x.request.ID, "server", key, "reason", "failure rate", "status", status)
	}
}

// noteFailure tells the detector of a failed send. A caller that left or a time that is over says nothing about the
// backend server, unless it stayed silent for long.
func (f *Front) noteFailure(ctx context.Context, x *call, key string, err error) {
	var notRun *platform.NotRunError
	var stalled *StalledError
	result := outlier.Failed
	switch {
	case errors.As(context.Cause(ctx), &stalled):
		result = outlier.Unreachable
	case errors.As(err, &notRun) && notRun.WrongServer:
		if server, known := x.group.server(key); known {
			f.state.Misdirected(server)
		}
		return
	case errors.As(err, &notRun) && notRun.Status == 0:
		result = outlier.Unreachable
	case errors.As(err, &notRun):
		result = outlier.Rejected
	case errors.Is(context.Cause(ctx), context.Canceled):
		return
	}
	if x.group.observe(key, result) {
		f.log.Info("backend server paused", "request", x.request.ID, "server", key, "reason", "send failed", "cause", err)
	}
}

// readAnswer reads a plain answer whole if it is not too large. Errors are *platform.LostError.
func readAnswer(a *platform.Answer) (*answer, error) {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxBuffered))
	if err != nil {
		_ = a.Body.Close()
		return nil, &platform.LostError{Cause: err}
	}
	read := &answer{Answer: a, body: body}
	if len(body) == maxBuffered {
		read.rest = a.Body
		return read, nil
	}
	_ = a.Body.Close()
	return read, nil
}

// writeAnswer passes a backend server's answer on. Errors are *DeliveryError and *BrokenStreamError.
func (f *Front) writeAnswer(x *call, a *answer) error {
	h := x.w.Header()
	platform.CopyAnswerHeader(h, a.Header)
	switch {
	case a.rest == nil:
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	case a.Length >= 0:
		h.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	x.started = true
	x.trace.first = f.now().Sub(x.request.Arrived)
	f.observeLatency(x, x.trace.first)
	x.w.WriteHeader(a.Status)
	if _, err := x.w.Write(a.body); err != nil {
		return &DeliveryError{Cause: err}
	}
	if a.rest == nil {
		return nil
	}
	defer func() { _ = a.rest.Close() }()
	if _, err := io.Copy(x.w, a.rest); err != nil {
		return &BrokenStreamError{Cause: err}
	}
	return nil
}

// observeLatency counts a request's time to its first byte.
func (f *Front) observeLatency(x *call, d time.Duration) {
	f.metrics.Observe("first_byte", d, metrics.L("service", x.group.service))
}
