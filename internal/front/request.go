package front

import (
	"context"
	"errors"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/boragecourse/boragecourse/internal/fleet"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/outcome"
	"github.com/boragecourse/boragecourse/platform"
)

const (
	// defaultPatience is used for requests that do not say how long their caller waits.
	defaultPatience = 10 * time.Second
	// answerMargin is what an answer needs to reach the caller before its time is over.
	answerMargin = 20 * time.Millisecond
	// unreadyRetry is when a caller may come back to a host without a configuration.
	unreadyRetry = 500 * time.Millisecond
)

// call is one request of a caller on its way to an answer.
type call struct {
	w         http.ResponseWriter
	request   *fleet.Request
	config    *fleet.Configuration
	route     *fleet.Route
	workspace *fleet.Workspace
	group     *group
	deadline  time.Time

	// charged is what the workspace's account was charged, in tokens.
	charged int64
	// sends counts the sends to backend servers, ran is set when one may have run the request.
	sends int
	ran   bool
	// repeatAllowed is when the budget allowed a send that was not made yet, zero when there is none.
	repeatAllowed time.Time
	// prefilled is set when an engine may have accepted a prefill call.
	prefilled bool
	// started is set when the answer's head has been sent.
	started bool

	trace trace
}

// trace is what the log line of a request tells.
type trace struct {
	server  string
	prefill string
	waited  time.Duration
	first   time.Duration
	events  int
}

func (x *call) workspaceName() string {
	if x.workspace == nil {
		return ""
	}
	return x.workspace.Name
}

// sending counts a send that may run the request. The returned function takes back that it may have run when the
// backend server did not run it.
func (x *call) sending() (settle func(error)) {
	if !x.repeatAllowed.IsZero() {
		x.group.repeatSent(x.repeatAllowed)
		x.repeatAllowed = time.Time{}
	}
	before := x.ran
	x.sends++
	x.ran = true
	return func(err error) {
		var notRun *platform.NotRunError
		if errors.As(err, &notRun) {
			x.ran = before
		}
	}
}

// handle serves one request.
func (f *Front) handle(w http.ResponseWriter, r *http.Request) {
	f.open.Add(1)
	defer f.open.Add(-1)
	if f.draining.Load() {
		// The caller's next request goes to another host.
		w.Header().Set("Connection", "close")
	}
	x := &call{w: w}
	ctx, cancel, err := f.admit(r, x)
	if err == nil {
		err = f.forward(ctx, x)
		cancel()
	}
	f.finish(r, x, err)
}

// admit reads a request and decides whether it may run.
func (f *Front) admit(r *http.Request, x *call) (context.Context, context.CancelFunc, error) {
	arrived := f.now()
	request, err := platform.ReadHead(r, arrived)
	if err != nil {
		return nil, nil, &outcome.Error{
			Outcome: outcome.NotRun, Code: outcome.CodeMalformedRequest, Status: http.StatusBadRequest, Message: "malformed header", Cause: err,
		}
	}
	x.request = request
	x.config = f.state.Configuration()
	if x.config == nil {
		refusal := outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeNoConfiguration, "no configuration yet")
		refusal.RetryAfter = unreadyRetry
		return nil, nil, refusal
	}
	if err := f.authorize(x); err != nil {
		return nil, nil, err
	}
	if x.route.Kind == fleet.Generation {
		if err := f.refuseStream(x); err != nil {
			return nil, nil, err
		}
	}
	if err := readBody(r, x); err != nil {
		return nil, nil, err
	}
	f.setDeadline(x, arrived)
	if err := f.charge(x); err != nil {
		return nil, nil, err
	}
	x.group = f.group(f.destination(x))
	x.group.countRequest()
	ctx, cancel := context.WithDeadlineCause(r.Context(), x.deadline, &TimeoutError{})
	return ctx, cancel, nil
}

// authorize finds the route and the workspace.
func (f *Front) authorize(x *call) error {
	x.route = x.config.Route(x.request.Host, pathOf(x.request.Target))
	if x.route == nil {
		return outcome.Refuse(http.StatusNotFound, outcome.CodeUnknownRoute, "no route")
	}
	x.workspace = x.config.WorkspaceOf(x.request.Key)
	if x.workspace == nil && x.config.HasWorkspaces() && !x.route.Anonymous {
		return outcome.Refuse(http.StatusUnauthorized, outcome.CodeInvalidKey, "unknown key")
	}
	return nil
}

func pathOf(target string) string {
	for i := range target {
		if target[i] == '?' || target[i] == '#' {
			return target[:i]
		}
	}
	return target
}

func readBody(r *http.Request, x *call) error {
	limit := x.config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	body, err := platform.ReadBody(r, limit)
	var fault *platform.BodyError
	switch {
	case errors.As(err, &fault) && fault.TooLarge:
		return &outcome.Error{
			Outcome: outcome.NotRun, Code: outcome.CodeBodyTooLarge, Status: http.StatusRequestEntityTooLarge, Message: "body too large", Cause: err,
		}
	case err != nil:
		return &outcome.Error{
			Outcome: outcome.NotRun, Code: outcome.CodeMalformedRequest, Status: http.StatusBadRequest, Message: "body not received", Cause: err,
		}
	}
	x.request.Body = body
	return nil
}

// defaultBodyLimit applies while the configuration sets none, in bytes.
const defaultBodyLimit = 4 << 20

// setDeadline is the end of the caller's patience or of the route's time, whichever comes first.
func (f *Front) setDeadline(x *call, arrived time.Time) {
	patience := x.request.Patience
	if patience <= 0 {
		patience = defaultPatience
	}
	patience -= answerMargin
	if t := x.route.Timeout; t > 0 && t < patience {
		patience = t
	}
	x.deadline = arrived.Add(patience)
}

// charge takes the request's cost from the workspace's account.
func (f *Front) charge(x *call) error {
	if x.workspace == nil || x.workspace.Rate <= 0 {
		return nil
	}
	cost := x.request.Cost(x.workspace)
	f.bookMu.Lock()
	ok, until := f.book.Admit(x.workspace.Name, cost, f.now())
	f.bookMu.Unlock()
	if !ok {
		refusal := outcome.Refuse(http.StatusTooManyRequests, outcome.CodeRateExceeded, "rate exceeded")
		refusal.RetryAfter = until
		return refusal
	}
	x.charged = cost
	return nil
}

// refund gives back what was charged for a request that did not run.
func (f *Front) refund(x *call) {
	if x.charged == 0 || x.ran {
		return
	}
	f.bookMu.Lock()
	f.book.Refund(x.workspace.Name, x.charged)
	f.bookMu.Unlock()
	x.charged = 0
}

// destination chooses the service of a split route by a hash of the request, so that the shares hold on every host.
func (f *Front) destination(x *call) string {
	d := x.route.Destinations
	if len(d) == 1 {
		return d[0].Service
	}
	total := 0
	for _, dest := range d {
		total += max(dest.Weight, 0)
	}
	if total == 0 {
		return d[0].Service
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(x.request.ID))
	at := int(h.Sum32() % uint32(total))
	for _, dest := range d {
		if at -= max(dest.Weight, 0); at < 0 {
			return dest.Service
		}
	}
	return d[0].Service
}

func (f *Front) forward(ctx context.Context, x *call) error {
	if x.route.Kind == fleet.Generation {
		f.openStreams.Add(1)
		defer f.openStreams.Add(-1)
		return f.forwardGeneration(ctx, x)
	}
	return f.forwardPlain(ctx, x)
}

// finish answers a request that failed, and logs and counts every request.
func (f *Front) finish(r *http.Request, x *call, err error) {
	f.refund(x)
	elapsed := time.Duration(0)
	if x.request != nil {
		elapsed = f.now().Sub(x.request.Arrived)
	}
	if err == nil {
		f.logRequest(x, "request served", nil, elapsed)
		return
	}
	if r.Context().Err() != nil && !x.started {
		f.metrics.Inc("requests_canceled")
		f.logRequest(x, "caller left", err, elapsed)
		panic(http.ErrAbortHandler)
	}
	if x.started {
		f.metrics.Inc("answers_broken_off")
		f.logRequest(x, "answer broken off", err, elapsed)
		panic(http.ErrAbortHandler)
	}
	failure := f.failureOf(x, err)
	f.metrics.Inc("requests_refused", metrics.L("code", string(failure.Code)), metrics.L("outcome", string(failure.Outcome)))
	f.logRequest(x, "request refused", failure, elapsed)
	f.writeFailure(x, failure)
}

// failureOf turns any error into what the caller is told. "Not run" is said only when no send can have run.
func (f *Front) failureOf(x *call, err error) *outcome.Error {
	var failure *outcome.Error
	if errors.As(err, &failure) {
		return failure
	}
	var timeout *TimeoutError
	late := errors.As(err, &timeout) || errors.Is(err, context.DeadlineExceeded)
	switch {
	case !x.ran:
		return &outcome.Error{
			Outcome: outcome.NotRun, Code: outcome.CodeNoServer, Status: http.StatusServiceUnavailable,
			Message: "no backend server ran the request", RetryAfter: f.retryAfter(x), Cause: err,
		}
	case late:
		return &outcome.Error{
			Outcome: outcome.Unknown, Code: outcome.CodeDeadline, Status: http.StatusGatewayTimeout, Message: "no answer in time", Cause: err,
		}
	default:
		return &outcome.Error{
			Outcome: outcome.Unknown, Code: outcome.CodeServerFailed, Status: http.StatusBadGateway, Message: "no answer of the backend server", Cause: err,
		}
	}
}

const (
	// plainRetryAfter is when a caller of a plain service may come back; these requests are short.
	plainRetryAfter = 100 * time.Millisecond
	// streamRetryAfter and streamRetrySpread say when refused streams return: after the mean time of a stream in its
	// slot, spread over as long again, so that they do not return together.
	streamRetryAfter  = 2300 * time.Millisecond
	streamRetrySpread = 2000 * time.Millisecond
)

// retryAfter tells a refused caller when to come back.
func (f *Front) retryAfter(x *call) time.Duration {
	if x.route == nil || x.route.Kind != fleet.Generation {
		return plainRetryAfter
	}
	return streamRetryAfter + time.Duration(rand.Int64N(int64(streamRetrySpread)))
}

func (f *Front) writeFailure(x *call, failure *outcome.Error) {
	h := x.w.Header()
	id := ""
	if x.request != nil {
		id = x.request.ID
	}
	platform.SetRefusal(h, id, failure.RetryAfter)
	h.Set("Content-Type", "application/json")
	x.w.WriteHeader(failure.Status)
	_, err := x.w.Write([]byte(`{"code":"` + string(failure.Code) + `","outcome":"` + string(failure.Outcome) + `"}` + "\n"))
	if err != nil {
		f.metrics.Inc("answers_undelivered")
	}
}

func (f *Front) logRequest(x *call, event string, err error, elapsed time.Duration) {
	kv := make([]any, 0, 32)
	if x.request != nil {
		kv = append(kv, "request", x.request.ID)
	}
	if x.config != nil {
		kv = append(kv, "config", x.config.Version)
	}
	if x.route != nil {
		kv = append(kv, "route", x.route.Name, "workspace", x.workspaceName())
	}
	if x.group != nil {
		kv = append(kv, "service", x.group.service, "server", x.trace.server, "sends", x.sends)
	}
	if x.route != nil && x.route.Kind == fleet.Generation {
		kv = append(kv, "prefill", x.trace.prefill, "prompt", x.request.Tokens.Prompt, "output", x.request.Tokens.MaxOutput,
			"hint", x.request.LengthHint, "patience", x.request.Patience, "waited", ms(x.trace.waited), "first", ms(x.trace.first), "events", x.trace.events)
	}
	kv = append(kv, "elapsed", ms(elapsed))
	if err != nil {
		kv = append(kv, "cause", err)
	}
	f.log.Info(event, kv...)
}

func ms(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }
