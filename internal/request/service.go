package request

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/outcome"
	"github.com/boragecourse/boragecourse/internal/placement"
	"github.com/boragecourse/boragecourse/internal/rules"
	"github.com/boragecourse/boragecourse/internal/wait"
)

// bufferedAnswer is how much of a service's answer is read before the caller gets the first byte, in bytes. An
// answer that breaks off within it can still be replaced by another server's.
const bufferedAnswer = 256 << 10

// hopByHop and internal headers of a service's answer are not passed on.
var dropped = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", HeaderOutcome, "X-Not-Run", "X-Request-Id", "X-Boragecourse-Attempt",
}

// HeaderOutcome tells the caller whether a refused or failed request ran.
const HeaderOutcome = "X-Boragecourse-Outcome"

// serviceCall is the run of a request on a plain service.
type serviceCall struct {
	*run
	// leave ends the time in which the request counts as queued.
	leave func()
}

// service serves a route to a pool of plain services.
func (x *run) service(ctx context.Context) (err error) {
	waiting, leave := x.queue.enter(ctx, x.key)
	c := &serviceCall{run: x, leave: leave}
	defer leave()
	if err := x.recheck(); err != nil {
		return err
	}
	replayed, err := x.takeClaim(waiting)
	if err != nil || replayed {
		return err
	}
	defer func() { x.claim.settle(err, x.ran) }()
	return c.call(ctx, waiting)
}

func (c *serviceCall) call(ctx, waiting context.Context) error {
	if err := c.reserve(waiting, c.route.Cost); err != nil {
		if gone := c.canceled(waiting); gone != nil {
			return gone
		}
		return c.quotaRefusal(err)
	}
	for {
		server, release, err := c.place(waiting)
		if err != nil {
			if gone := c.canceled(waiting); gone != nil {
				return gone
			}
			return c.placeRefusal(err)
		}
		h := c.hold(server, release)
		if err := c.dispatching(waiting); err != nil {
			h.done()
			return err
		}
		waiting = ctx
		err = c.once(ctx, server)
		h.done()
		if err == nil {
			return nil
		}
		if err := c.mayRepeat(ctx, server, err); err != nil {
			return err
		}
	}
}

// place chooses a service. When all of them have failed this request, it waits and begins again with all.
func (c *serviceCall) place(ctx context.Context) (*rules.Server, func(), error) {
	server, release, err := c.Placer.PlaceService(ctx, c.snap, c.route.Pool, c.exclude)
	var none *placement.NoServerError
	if errors.As(err, &none) && len(c.exclude) > 0 && wait.For(ctx, retryWait<<c.retries) == nil {
		c.exclude = nil
		return c.Placer.PlaceService(ctx, c.snap, c.route.Pool, nil)
	}
	return server, release, err
}

// dispatching is the last check before the first call: the key still holds, the caller is still there, and the
// claim is still this host's.
func (c *serviceCall) dispatching(waiting context.Context) error {
	if c.tries > 0 {
		return nil
	}
	if err := c.recheck(); err != nil {
		return err
	}
	if gone := c.canceled(waiting); gone != nil {
		return gone
	}
	if err := c.claim.dispatching(); err != nil {
		return claimRefusal(err)
	}
	c.leave()
	return nil
}

// mayRepeat returns nil when the failed call may be sent to another server, and the request's failure otherwise.
func (c *serviceCall) mayRepeat(ctx context.Context, server *rules.Server, err error) error {
	var own *outcome.Error
	if errors.As(err, &own) {
		return own
	}
	harmless := didNotRun(err)
	if !harmless {
		c.ran.sent = true
	}
	if gone := c.canceled(ctx); gone != nil {
		return gone
	}
	if !harmless && !c.route.Repeatable {
		return serverFailure(c.run, err)
	}
	reason := "service_failed"
	if harmless {
		reason = "service_refused"
	}
	if berr := c.retry(reason, err); berr != nil {
		return c.exhausted(berr)
	}
	c.exclude = append(c.exclude, server.Name)
	return nil
}

// once sends the call to one server and its answer to the caller. Errors of type *outcome.Error are final, others
// are those of the call.
func (c *serviceCall) once(ctx context.Context, server *rules.Server) error {
	if !c.route.Repeatable {
		// A call that may act is not cut when its caller leaves, so that its outcome is known and recorded.
		ctx = context.WithoutCancel(ctx)
	}
	timed, cancel := context.WithCancel(ctx)
	defer cancel()
	limit := time.AfterFunc(c.settings.ServiceTimeout, cancel)
	defer limit.Stop()
	req := &http.Request{
		Method: c.in.Method, URL: c.in.URL, Header: c.in.Header, Body: io.NopCloser(bytes.NewReader(c.in.Body)),
		ContentLength: int64(len(c.in.Body)),
	}
	if len(c.in.Body) == 0 {
		req.Body = nil
	}
	start := time.Now()
	res, err := c.Engines.Service(server.Name, server.Addr).Do(timed, c.newAttempt(), req)
	c.observe(ctx, server, placement.StageService, c.route.Cost, start, err)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	c.answered(res.StatusCode)
	if c.claim != nil {
		return c.recordAnswer(res, server)
	}
	return c.passOn(res, server, limit)
}

// answered counts a call that a service answered. A status of 500 and above leaves open whether it acted.
func (c *serviceCall) answered(status int) {
	c.ran.sent = true
	c.quota.use(c.route.Cost)
	if status < http.StatusInternalServerError {
		c.ran.acted = true
		c.ran.cost = c.route.Cost
	}
}

// passOn sends the answer on as it arrives, apart from a first part that is read ahead.
func (c *serviceCall) passOn(res *http.Response, server *rules.Server, limit *time.Timer) error {
	first, err := io.ReadAll(io.LimitReader(res.Body, bufferedAnswer))
	if err != nil {
		return &engine.FailedError{Server: server.Name, Status: res.StatusCode, Cause: err}
	}
	limit.Stop()
	return c.sendAnswer(res.StatusCode, answerHeader(res), io.MultiReader(bytes.NewReader(first), res.Body))
}

func (x *run) sendAnswer(status int, header http.Header, body io.Reader) error {
	if status >= http.StatusInternalServerError {
		header.Set(HeaderOutcome, string(x.ran.outcome()))
	}
	if err := x.sink.Answer(status, header, body); err != nil {
		return x.fail(statusClientClosed, outcome.CodeCanceled, "the answer could not be sent", &SinkError{Cause: err})
	}
	return nil
}

// answerHeader returns the headers of a service's answer that callers get.
func answerHeader(res *http.Response) http.Header {
	h := res.Header.Clone()
	for _, name := range dropped {
		h.Del(name)
	}
	return h
}
