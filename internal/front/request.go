package front

import (
	"cmp"
	"context"
	"errors"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/boragecourse/boragecourse/internal/bytebudget"
	"github.com/boragecourse/boragecourse/internal/dispatch"
	"github.com/boragecourse/boragecourse/internal/fleet"
	"github.com/boragecourse/boragecourse/internal/keepalive"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/outcome"
	"github.com/boragecourse/boragecourse/platform"
)

const (
	// defaultCallerTimeout applies to requests that carry no deadline.
	defaultCallerTimeout = 10 * time.Second
	// responseMargin is reserved for sending the response to the caller before its deadline.
	responseMargin = 20 * time.Millisecond
	// unreadyRetry is the Retry-After of a host that has no configuration yet.
	unreadyRetry = 500 * time.Millisecond
)

// call is the state of one caller's request while it is being served.
type call struct {
	w         http.ResponseWriter
	request   *fleet.Request
	config    *fleet.Configuration
	route     *fleet.Route
	workspace *fleet.Workspace
	group     *group
	deadline  time.Time

	// charged is the amount taken from the workspace's rate limit, in tokens.
	charged int64
	// sends counts the attempts at backend servers; mayHaveRun is set when one of them may have run the request.
	sends      int
	mayHaveRun bool
	// retryAllowedAt is when the retry budget granted a retry that has not been sent yet; zero when there is none.
	retryAllowedAt time.Time
	// sentTo holds the keys of the backend servers to which the request was sent.
	sentTo map[string]bool
	// software is the software version that the response has begun at or is to begin at, empty while any will do.
	software string
	// recorded is the version that the store may hold for the stream since before its first event, or empty.
	recorded string
	// prefilled is set once a prefill engine may have accepted a call.
	prefilled bool
	// accepted is set once an engine has begun to respond.
	accepted bool
	// started is set, by begin, once the response header is sent to the caller. begin returns an error if the response must not be
	// relayed any more.
	started bool
	begin   func() error
	// caller is the context of the caller's request. cancel ends the context that is derived from it with a cause.
	caller context.Context //nolint:containedctx // A call is the state of one request.
	cancel context.CancelCauseFunc

	// unread is the body of a request that was refused before it was read whole.
	unread io.Reader
	// account counts the bytes that the host holds for the request, delivery buffers its response; both are nil where they
	// are not bounded. size is the size of the request with its head, in bytes.
	account  *bytebudget.Account
	delivery *delivery
	size     int64

	trace trace
}

// trace collects the values for the log line of a request.
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

// beginSend records an attempt that may run the request. The returned function takes the result of the attempt and
// restores mayHaveRun when the backend server certainly did not run the request.
func (x *call) beginSend() (settle func(error)) {
	if !x.retryAllowedAt.IsZero() {
		x.group.retrySent(x.retryAllowedAt)
		x.retryAllowedAt = time.Time{}
	}
	before := x.mayHaveRun
	x.sends++
	x.mayHaveRun = true
	return func(err error) {
		var notRun *platform.NotRunError
		if errors.As(err, &notRun) {
			x.mayHaveRun = before
		}
	}
}

// sentBefore reports whether the request was sent to a backend server before, and records that it is now. On the connection
// of the earlier call, a second copy of its response could be taken for the response to this one, since both carry the same id.
func (x *call) sentBefore(s fleet.Server) bool {
	key := serverKey(s)
	before := x.sentTo[key]
	if x.sentTo == nil {
		x.sentTo = map[string]bool{}
	}
	x.sentTo[key] = true
	return before
}

func (f *Front) handle(w http.ResponseWriter, r *http.Request) {
	f.open.Add(1)
	defer f.open.Add(-1)
	x := &call{w: w}
	defer f.answerPanic(x, f.now())
	defer x.releaseBytes()
	ctx, cancel, err := f.admit(r, x)
	if err == nil {
		defer cancel()
		err = f.forward(ctx, x)
		cancel()
	}
	f.finish(r, x, err)
	f.discardUnread(x)
}

// answerPanic answers a request whose handler has panicked. net/http would close the connection without a response.
func (f *Front) answerPanic(x *call, arrived time.Time) {
	v := recover()
	if v == nil {
		return
	}
	if err, ok := v.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(v)
	}
	f.metrics.Inc("panics", metrics.L("where", "request"))
	failure := &outcome.Error{
		Outcome: outcome.Unknown, Code: outcome.CodeInternal, Status: http.StatusInternalServerError, Message: "internal failure", Cause: &PanicError{v},
	}
	f.log.Error(failure, "panic in request handler", "stack", string(debug.Stack()))
	f.logRequest(x, "request failed", failure, f.now().Sub(arrived))
	if x.started {
		panic(http.ErrAbortHandler)
	}
	f.writeFailure(x, failure)
}

// admit reads and authorizes a request, charges its cost, and returns a context that ends at the request's deadline.
func (f *Front) admit(r *http.Request, x *call) (context.Context, context.CancelFunc, error) {
	arrived := f.now()
	request, err := platform.ReadHead(r, arrived)
	if err != nil {
		return nil, nil, &outcome.Error{
			Outcome: outcome.NotRun, Code: outcome.CodeMalformedRequest, Status: http.StatusBadRequest, Message: "malformed request header", Cause: err,
		}
	}
	x.request = request
	x.config = f.state.Configuration()
	if err := f.refuseUnconfigured(x); err != nil {
		return nil, nil, err
	}
	if err := f.authorize(x); err != nil {
		return nil, nil, err
	}
	if x.route.Kind == fleet.Generation {
		if err := f.refuseStream(x); err != nil {
			return nil, nil, err
		}
	}
	f.setDeadline(x, arrived)
	if err := f.readBody(r, x); err != nil {
		return nil, nil, err
	}
	if err := f.refuseLate(x); err != nil {
		return nil, nil, err
	}
	if err := f.refuseQuarantined(x); err != nil {
		return nil, nil, err
	}
	if err := f.charge(x); err != nil {
		return nil, nil, err
	}
	x.group = f.group(f.destination(x))
	x.group.countRequest()
	ctx, cancel := f.requestContext(r.Context(), x)
	return ctx, cancel, nil
}

// refuseUnconfigured refuses requests until this host has a configuration and knows the evacuations in force.
func (f *Front) refuseUnconfigured(x *call) error {
	if x.config != nil && f.state.Loaded() && !f.catchingUp() {
		return nil
	}
	refusal := outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeNoConfiguration, "configuration not loaded yet")
	refusal.RetryAfter = unreadyRetry
	return refusal
}

// writeTime is how long after the request's deadline a caller may take to receive the end of a response.
const writeTime = time.Second

// requestContext returns a context that ends at the deadline of a request, or when this host ends and the response has not
// begun.
func (f *Front) requestContext(parent context.Context, x *call) (context.Context, context.CancelFunc) {
	ctx, end := context.WithCancelCause(parent)
	x.caller, x.cancel = parent, end
	stop := context.AfterFunc(f.ending, func() { end(context.Cause(f.ending)) })
	x.begin = func() error {
		if !stop() && f.ending.Err() != nil {
			return context.Cause(f.ending)
		}
		x.started = true
		// A caller that does not read would keep the request, and the slot of a stream, for as long as its connection is open.
		_ = http.NewResponseController(x.w).SetWriteDeadline(x.deadline.Add(writeTime))
		return nil
	}
	ctx, cancel := context.WithDeadlineCause(ctx, x.deadline, &TimeoutError{})
	return ctx, func() {
		stop()
		cancel()
		end(nil)
	}
}

// authorize sets the request's route and workspace. A key is required unless the route is anonymous or no workspaces
// are configured.
func (f *Front) authorize(x *call) error {
	x.route = x.config.Route(x.request.Host, pathOf(x.request.Target))
	if x.route == nil {
		return outcome.Refuse(http.StatusNotFound, outcome.CodeUnknownRoute, "no route matches host and path")
	}
	x.workspace = x.config.WorkspaceOf(x.request.Key)
	if x.workspace == nil && x.config.HasWorkspaces() && !x.route.Anonymous {
		return outcome.Refuse(http.StatusUnauthorized, outcome.CodeInvalidKey, "unknown API key")
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

func (f *Front) readBody(r *http.Request, x *call) error {
	limit := x.config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	received := func() {}
	if r.ContentLength <= limit {
		if err := f.openAccount(r, x); err != nil {
			return err
		}
		received = x.holdBody(r)
	}
	body, err := platform.ReadBody(r, limit)
	var fault *platform.BodyError
	var noMemory *HostMemoryError
	switch {
	case errors.As(err, &noMemory):
		return f.refuseMemory(r, x)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &outcome.Error{
			Outcome: outcome.NotRun, Code: outcome.CodeMalformedRequest, Status: http.StatusRequestTimeout, Message: "request body not received in time", Cause: err,
		}
	case errors.As(err, &fault) && fault.TooLarge:
		return &outcome.Error{
			Outcome: outcome.NotRun, Code: outcome.CodeBodyTooLarge, Status: http.StatusRequestEntityTooLarge, Message: "request body too large", Cause: err,
		}
	case err != nil:
		return &outcome.Error{
			Outcome: outcome.NotRun, Code: outcome.CodeMalformedRequest, Status: http.StatusBadRequest, Message: "request body not fully received", Cause: err,
		}
	}
	received()
	x.request.Body = body
	x.size += int64(len(body))
	return nil
}

// defaultBodyLimit applies when the configuration sets no limit, in bytes.
const defaultBodyLimit = 4 << 20

// setDeadline sets the deadline to the caller's, less responseMargin, or to the route's time-out, whichever is earlier.
func (f *Front) setDeadline(x *call, arrived time.Time) {
	timeout := x.request.CallerTimeout
	if timeout <= 0 {
		timeout = defaultCallerTimeout
	}
	timeout -= responseMargin
	if t := x.route.Timeout; t > 0 && t < timeout {
		timeout = t
	}
	x.deadline = arrived.Add(timeout)
}

// retryAfterShare is the share of their remaining time that callers wait for at most before they come back.
const retryAfterShare = 0.3

// newStream reports whether the request is a stream that its caller does not resume.
func (x *call) newStream() bool { return x.route.Kind == fleet.Generation && !x.request.Resumed() }

// charge takes the request's cost from the workspace's rate limit.
func (f *Front) charge(x *call) error {
	if x.workspace == nil || x.workspace.Rate <= 0 {
		return nil
	}
	cost := x.request.Cost(x.workspace)
	now := f.now()
	f.limiterMu.Lock()
	admit := f.limiter.Admit
	if x.newStream() {
		admit = f.limiter.AdmitNewStream
	}
	ok, until := admit(x.workspace.Name, cost, now)
	level := f.limiter.Level(x.workspace.Name, now)
	if !ok && x.route.Kind == fleet.Generation && x.request.Resumed() {
		// Callers that have lost their streams at the same time come back at the same time.
		until += rand.N(f.limiter.Defer(x.workspace.Name, cost, now) + 1)
		until = min(until, time.Duration(retryAfterShare*float64(x.deadline.Sub(now))))
	}
	f.limiterMu.Unlock()
	if !ok {
		return rateRefusal(x.workspace, cost, level, until)
	}
	x.charged = cost
	return nil
}

func rateRefusal(w *fleet.Workspace, cost int64, level float64, until time.Duration) error {
	refusal := outcome.Refuse(http.StatusTooManyRequests, outcome.CodeRateExceeded, "workspace rate limit exceeded")
	refusal.RetryAfter = until
	refusal.Cause = &RateExceededError{Cost: cost, Level: level, Rate: w.Rate, Burst: w.Burst}
	return refusal
}

// refund credits the charge back to the workspace's rate limit if the request certainly did not run.
func (f *Front) refund(x *call) {
	if x.charged == 0 || x.mayHaveRun {
		return
	}
	f.limiterMu.Lock()
	f.limiter.Refund(x.workspace.Name, x.charged)
	f.limiterMu.Unlock()
	x.charged = 0
}

// destination selects the service for a request whose route splits its traffic. It hashes the id of the attempt that began the
// stream, or else of the request, so that each host keeps to the configured shares without coordination.
func (f *Front) destination(x *call) string {
	d := x.route.Destinations
	if len(d) == 1 {
		return d[0].Service
	}
	total := 0
	for _, dest := range d {
		total += max(dest.Weight, 0)
	}
	if total <= 0 {
		return d[0].Service
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(cmp.Or(x.request.StreamID(), x.request.ID)))
	at := int(uint64(h.Sum32()) % uint64(total))
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
		return x.deliver(f.forwardGeneration(ctx, x))
	}
	return x.deliver(f.forwardPlain(ctx, x))
}

// finish logs every request, counts failures, and sends the error response. It aborts the connection instead when part of the
// response was sent already, or when nobody can receive one.
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
	end := keepalive.EndOf(r.Context())
	canceled := r.Context().Err() != nil && !callerTimedOut(err)
	if canceled && end == keepalive.ByHost {
		f.metrics.Inc("requests_cut")
		f.logRequest(x, "request cut: its connection was closed by this host", err, elapsed)
		panic(http.ErrAbortHandler)
	}
	if canceled && !x.started {
		f.metrics.Inc("requests_canceled", metrics.L("connection", end.String()))
		f.logRequest(x, "request canceled by caller", err, elapsed, "connection", end)
		if end != keepalive.InputEnded {
			panic(http.ErrAbortHandler)
		}
		f.writeFailure(x, f.failureOf(x, &InputEndedError{Cause: err}))
		return
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

// failureOf maps an error to the error response. The outcome is NotRun only when no attempt can have run the request.
func (f *Front) failureOf(x *call, err error) *outcome.Error {
	var failure *outcome.Error
	if errors.As(err, &failure) {
		return failure
	}
	var timeout *TimeoutError
	late := errors.As(err, &timeout) || errors.Is(err, context.DeadlineExceeded)
	var overloaded *OverloadedError
	var drainEnded *DrainEndedError
	var inputEnded *InputEndedError
	switch {
	case errors.As(err, &drainEnded):
		return x.interrupted(outcome.CodeDraining, "no response before the host ended", drainRetry, err)
	case errors.As(err, &inputEnded):
		return x.interrupted(outcome.CodeCanceled, "input ended before the response", plainRetryAfter, err)
	case errors.As(err, &overloaded) && !x.mayHaveRun:
		return &outcome.Error{
			Outcome: outcome.NotRun, Code: outcome.CodeOverloaded, Status: http.StatusServiceUnavailable,
			Message: "service overloaded", RetryAfter: f.retryAfter(x, err), Cause: err,
		}
	case !x.mayHaveRun:
		return f.noServerFailure(x, err)
	case late:
		return &outcome.Error{
			Outcome: outcome.Unknown, Code: outcome.CodeDeadline, Status: http.StatusGatewayTimeout, Message: "no response before the deadline", Cause: err,
		}
	default:
		return &outcome.Error{
			Outcome: outcome.Unknown, Code: outcome.CodeServerFailed, Status: http.StatusBadGateway, Message: "no complete response from the backend server", Cause: err,
		}
	}
}

// interrupted returns the failure of a request that was given up for a reason that has nothing to do with its service.
func (x *call) interrupted(code outcome.Code, message string, retryAfter time.Duration, cause error) *outcome.Error {
	if x.mayHaveRun {
		return &outcome.Error{Outcome: outcome.Unknown, Code: code, Status: http.StatusBadGateway, Message: message, Cause: cause}
	}
	return &outcome.Error{
		Outcome: outcome.NotRun, Code: code, Status: http.StatusServiceUnavailable, Message: message, RetryAfter: retryAfter, Cause: cause,
	}
}

const (
	// plainRetryAfter is the Retry-After of plain services, whose requests are short.
	plainRetryAfter = 100 * time.Millisecond
	// streamRetryAfter is the mean time that a stream occupies its slot. A random part of streamRetrySpread, about as long
	// again, is added to it, so that refused callers do not all retry at once.
	streamRetryAfter  = 2300 * time.Millisecond
	streamRetrySpread = 2000 * time.Millisecond
	// maxRateRetryAfter bounds the Retry-After of requests that rate limits of backend servers do not allow, or for which all
	// are held off. Servers may end their limits before, and others may join.
	maxRateRetryAfter = 4 * time.Second
)

// retryAfter returns the Retry-After for a request that no backend server ran. When the rate limits of the backend servers
// are the reason, or all are held off, the caller returns when the request is allowed, after a random part of that time again.
func (f *Front) retryAfter(x *call, err error) time.Duration {
	var refused *dispatch.RefusedError
	if errors.As(err, &refused) && refused.RateAllowsAfter > 0 {
		after := min(max(refused.RateAllowsAfter, plainRetryAfter), maxRateRetryAfter)
		return after + time.Duration(rand.Int64N(int64(after)))
	}
	if refused != nil && refused.Stats.Servers == 0 {
		if after := x.group.firstHoldOffEnd(); after > 0 {
			after = min(after, maxRateRetryAfter)
			return after + time.Duration(rand.Int64N(int64(after)))
		}
	}
	var overloaded *OverloadedError
	if errors.As(err, &overloaded) {
		return spread(overloaded.Refusal.RetryAfter)
	}
	if x.route == nil || x.route.Kind != fleet.Generation {
		return spread(plainRetryAfter)
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

func (f *Front) logRequest(x *call, event string, err error, elapsed time.Duration, more ...any) {
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
			"hint", x.request.LengthHint, "patience", x.request.CallerTimeout, "waited", ms(x.trace.waited), "first", ms(x.trace.first), "events", x.trace.events)
	}
	if x.request != nil && x.request.Resumed() {
		kv = append(kv, "resumes", x.request.Resumes, "after", x.request.LastEventID, "software", x.software)
	}
	kv = append(append(kv, "elapsed", ms(elapsed)), more...)
	if err != nil {
		kv = append(kv, "cause", err)
	}
	f.log.Info(event, kv...)
}

func ms(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }
