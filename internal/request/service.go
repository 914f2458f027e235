package request

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/outcome"
	"github.com/boragecourse/boragecourse/internal/placement"
	"github.com/boragecourse/boragecourse/internal/rules"
	"github.com/boragecourse/boragecourse/internal/wait"
)

// responseReadAhead is how much of a service's response is read before the first byte is sent to the caller, in bytes.
// If the response is truncated within this part, the call can still be retried on another server.
const responseReadAhead = 256 << 10

// droppedHeaders are the hop-by-hop and internal headers of a service's response. They are not forwarded.
var droppedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", HeaderOutcome, "X-Not-Run", "X-Request-Id", "X-Boragecourse-Attempt",
}

// HeaderOutcome is the response header that states whether a refused or failed request ran.
const HeaderOutcome = "X-Boragecourse-Outcome"

// serviceCall is the run of a request on a plain service.
type serviceCall struct {
	*run
	// leave removes the request from the queue.
	leave func()
}

// service serves a request of a route to a pool of plain services.
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
	defer func() { x.claim.settle(err, x.progress) }()
	return c.call(ctx, waiting)
}

func (c *serviceCall) call(ctx, waiting context.Context) error {
	if err := c.reserve(waiting, c.route.Cost); err != nil {
		if cerr := c.canceled(waiting); cerr != nil {
			return cerr
		}
		return c.quotaRefusal(err)
	}
	for {
		server, release, err := c.place(waiting)
		if err != nil {
			if cerr := c.canceled(waiting); cerr != nil {
				return cerr
			}
			return c.placeRefusal(err)
		}
		h := c.hold(server, release)
		if err := c.markDispatched(waiting); err != nil {
			h.done()
			return err
		}
		waiting = ctx
		err = c.callServer(ctx, server)
		h.done()
		if err == nil {
			return nil
		}
		if err := c.prepareRetry(ctx, server, err); err != nil {
			return err
		}
	}
}

// placementRules returns the configuration by which the request is placed: that of its arrival or, after a call was stopped
// because of an evacuation, the installed one.
func (c *serviceCall) placementRules() *config.Snapshot {
	if c.stops > 0 {
		return c.Config.Current()
	}
	return c.snap
}

// place selects a server of the pool. When every server has failed this request, it waits and considers all of them
// again.
func (c *serviceCall) place(ctx context.Context) (*rules.Server, func(), error) {
	server, release, err := c.Placer.PlaceService(ctx, c.placementRules(), c.route.Pool, c.exclude)
	var none *placement.NoServerError
	if errors.As(err, &none) && !none.Evacuated && len(c.exclude) > 0 && wait.For(ctx, retryWait<<c.retries) == nil {
		c.exclude = nil
		return c.Placer.PlaceService(ctx, c.placementRules(), c.route.Pool, nil)
	}
	return server, release, err
}

// markDispatched runs the last checks before the first call: the key is still valid, the request is not canceled, and
// this host still holds the claim. It then marks the claim as dispatched and removes the request from the queue. It
// does nothing before later calls.
func (c *serviceCall) markDispatched(waiting context.Context) error {
	if c.attempts > 0 {
		return nil
	}
	if err := c.recheck(); err != nil {
		return err
	}
	if cerr := c.canceled(waiting); cerr != nil {
		return cerr
	}
	if err := c.claim.markDispatched(); err != nil {
		return claimRefusal(err)
	}
	c.leave()
	return nil
}

// prepareRetry returns nil when the failed call may be sent to another server, and the error of the request otherwise.
func (c *serviceCall) prepareRetry(ctx context.Context, server *rules.Server, err error) error {
	var own *outcome.Error
	if errors.As(err, &own) {
		return own
	}
	noEffect := didNotRun(err)
	if !noEffect {
		c.progress.sent = true
	}
	if cerr := c.canceled(ctx); cerr != nil {
		return cerr
	}
	if !noEffect && !c.route.Repeatable {
		return serverFailure(c.run, err)
	}
	reason := "service_failed"
	switch {
	case stopped(err):
		reason = reasonStopped
	case noEffect:
		reason = "service_refused"
	}
	if berr := c.retry(reason, err); berr != nil {
		return c.retriesExhausted(berr)
	}
	c.exclude = append(c.exclude, server.Name)
	return nil
}

// callServer sends the call to one server and forwards the response to the caller. An *outcome.Error is final; any
// other error is a failure of the call and may be retried.
func (c *serviceCall) callServer(ctx context.Context, server *rules.Server) error {
	if !c.route.Repeatable {
		// A call with side effects is not canceled when its caller disconnects, so that its outcome is known and
		// recorded.
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
	res, err := c.Engines.Service(server.Name, server.Addr).Do(timed, c.newAttempt(server), req)
	c.observe(ctx, server, placement.StageService, c.route.Cost, start, err)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	c.recordStatus(res.StatusCode)
	if c.claim != nil {
		return c.recordResponse(res, server)
	}
	return c.forwardResponse(res, server, limit)
}

// recordStatus records that a service responded to the call. With a status of 500 or above it is unknown whether the
// call had an effect.
func (c *serviceCall) recordStatus(status int) {
	c.progress.sent = true
	c.quota.use(c.route.Cost)
	if status < http.StatusInternalServerError {
		c.progress.hasRun = true
		c.progress.cost = c.route.Cost
	}
}

// forwardResponse reads the first part of the response ahead and forwards the rest as it arrives.
func (c *serviceCall) forwardResponse(res *http.Response, server *rules.Server, limit *time.Timer) error {
	first, err := io.ReadAll(io.LimitReader(res.Body, responseReadAhead))
	if err != nil {
		return &engine.FailedError{Server: server.Name, Status: res.StatusCode, Cause: err}
	}
	limit.Stop()
	return c.sendResponse(res.StatusCode, responseHeader(res), io.MultiReader(bytes.NewReader(first), res.Body))
}

func (x *run) sendResponse(status int, header http.Header, body io.Reader) error {
	if status >= http.StatusInternalServerError {
		header.Set(HeaderOutcome, string(x.progress.outcome()))
	}
	if err := x.sink.Response(status, header, body); err != nil {
		return x.fail(statusClientClosed, outcome.CodeCanceled, "the answer could not be sent", &SinkError{Cause: err})
	}
	return nil
}

// responseHeader returns the headers of a service's response that are forwarded to the caller.
func responseHeader(res *http.Response) http.Header {
	h := res.Header.Clone()
	for _, name := range droppedHeaders {
		h.Del(name)
	}
	return h
}
