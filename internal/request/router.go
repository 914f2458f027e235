// Package request processes the requests of callers: it authenticates them, reserves quota, places them on backend
// servers, runs them, recovers from failures, writes charges, and releases resources on the servers.
package request

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"path"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/boragecourse/boragecourse/internal/charge"
	"github.com/boragecourse/boragecourse/internal/claim"
	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/outcome"
	"github.com/boragecourse/boragecourse/internal/placement"
	"github.com/boragecourse/boragecourse/internal/quota"
)

// Deps are the dependencies of a Router. Metrics may be nil.
type Deps struct {
	Config  config.Reader
	Limiter quota.Limiter
	Placer  placement.Placer
	Claims  claim.Service
	Charges charge.Writer
	Engines engine.Directory
	Metrics *metrics.Registry
	Log     logr.Logger
	Self    host.ID
}

// Input is a caller's request. Header holds the request headers without Authorization; Key is the API key from it.
type Input struct {
	ID             string
	Method         string
	URL            *url.URL
	Header         http.Header
	Body           []byte
	Key            string
	IdempotencyKey string
	Arrived        time.Time
}

// redact replaces the caller's key in text that is logged or returned.
func (in *Input) redact(text string) string {
	if in.Key == "" {
		return text
	}
	return strings.ReplaceAll(text, in.Key, "[key]")
}

// Sink receives the response. Either Response is called once, or Event any number of times and then Done. When Do
// returns an error, its caller reports the failure to the client, depending on what was already sent.
type Sink interface {
	// Event sends the data of one server-sent event. The first one starts the stream.
	Event(data []byte) error
	// Done ends a complete stream.
	Done() error
	// Response sends a response that is not an event stream.
	Response(status int, header http.Header, body io.Reader) error
}

// Router processes requests. It is safe for concurrent use.
type Router struct {
	Deps
	settings Settings
	budget   *retryBudget
	queue    *queue
	releases *releaser

	mu       sync.Mutex
	draining bool
	open     int
	// idle is closed once the router is draining and has no open requests.
	idle chan struct{}
}

// New returns a Router that accepts requests. Close must be called to stop its background work.
func New(d Deps, s Settings) *Router {
	s = s.withDefaults()
	return &Router{
		Deps: d, settings: s, budget: newRetryBudget(s), queue: newQueue(),
		releases: newReleaser(d, s), idle: make(chan struct{}),
	}
}

// Check returns an *outcome.Error for a request that is refused regardless of its body, so that the body need not be
// read.
func (r *Router) Check(in *Input) error {
	if e := r.notAccepting(); e != nil {
		return r.refuse(in, e)
	}
	snap := r.Config.Current()
	if snap == nil {
		return r.refuse(in, errNoConfiguration())
	}
	if !cleanPath(in.URL.Path) || !snap.KnownPath(in.URL.Path) {
		return r.refuse(in, unknownPath(in))
	}
	if _, err := r.identify(snap, in); err != nil && !openPath(snap, in.URL.Path) {
		return r.refuse(in, err)
	}
	return nil
}

// refuse counts and logs a refusal of the router and returns it.
func (r *Router) refuse(in *Input, e *outcome.Error) error {
	r.RecordRefusal(in, e)
	return e
}

// RecordRefusal counts and logs a refusal that was not made by Check, Do or Models.
func (r *Router) RecordRefusal(in *Input, e *outcome.Error) {
	r.Metrics.Inc("requests_finished", metrics.L("outcome", string(e.Outcome)), metrics.L("code", string(e.Code)))
	r.Log.Info("request finished", "request", in.ID, "path", in.redact(in.URL.Path), "outcome", e.Outcome,
		"code", e.Code, "cause", in.redact(e.Error()))
}

// Do runs a request and sends its response to the sink. It returns nil when the response was sent completely, and an
// *outcome.Error otherwise. All resources of the request are released when it returns, except on engines that have not
// acknowledged the release yet; those releases continue in the background.
func (r *Router) Do(ctx context.Context, in *Input, sink Sink) error {
	if e := r.begin(); e != nil {
		return r.refuse(in, e)
	}
	defer r.end()
	x := &run{Router: r, in: in, sink: sink}
	defer x.finish()
	err := x.do(ctx)
	if err == nil {
		x.result = &outcome.Error{Outcome: outcome.Ran}
		return nil
	}
	x.result = outcome.From(err)
	return x.result
}

func (x *run) do(ctx context.Context) error {
	x.snap = x.Config.Current()
	if x.snap == nil {
		return errNoConfiguration()
	}
	if !cleanPath(x.in.URL.Path) {
		return unknownPath(x.in)
	}
	if isModelPath(x.in.URL.Path) {
		if err := x.parse(); err != nil {
			return err
		}
	}
	if err := x.resolve(); err != nil {
		return err
	}
	if err := x.rejectExposedKey(); err != nil {
		return err
	}
	if err := x.Charges.Accepting(); err != nil && !x.route.Open {
		return chargesFull(err)
	}
	x.budget.deposit()
	if x.route.Pool != "" {
		return x.service(ctx)
	}
	return x.generate(ctx)
}

func isModelPath(p string) bool {
	return p == pathCompletions || p == pathChat
}

// cleanPath reports whether a path has no dot segments and no empty segments. A service could resolve them to a path
// outside the route.
func cleanPath(p string) bool {
	return p == path.Clean(p) || p == path.Clean(p)+"/"
}

// Paths of the OpenAI API that engines serve.
const (
	pathCompletions = "/v1/completions"
	pathChat        = "/v1/chat/completions"
)

// begin counts a request as open, or returns a refusal if this host accepts no more.
func (r *Router) begin() *outcome.Error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.notAcceptingLocked(); e != nil {
		return e
	}
	r.open++
	return nil
}

// notAccepting returns the refusal of new requests, or nil while this host accepts them.
func (r *Router) notAccepting() *outcome.Error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.notAcceptingLocked()
}

// notAcceptingLocked is notAccepting with r.mu held.
func (r *Router) notAcceptingLocked() *outcome.Error {
	switch {
	case r.draining:
		return errDraining()
	case r.open >= r.settings.MaxOpen:
		return errTooManyOpen(r.settings.MaxOpen)
	}
	return nil
}

func (r *Router) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open--
	r.closeIdle()
}

// closeIdle closes idle if the router is draining and has no open requests. r.mu must be held.
func (r *Router) closeIdle() {
	if !r.draining || r.open > 0 {
		return
	}
	select {
	case <-r.idle:
	default:
		close(r.idle)
	}
}

// Draining reports whether new requests are refused.
func (r *Router) Draining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.draining
}

// Open returns the number of open requests.
func (r *Router) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open
}

// Drain refuses new requests, waits for open requests, and then waits up to Settings.DrainReleaseTimeout for pending
// releases. It returns an error only when ctx is done before the last request has ended.
func (r *Router) Drain(ctx context.Context) error {
	r.mu.Lock()
	r.draining = true
	r.closeIdle()
	r.mu.Unlock()
	select {
	case <-r.idle:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, r.settings.DrainReleaseTimeout)
	defer cancel()
	if err := r.releases.flush(ctx); err != nil {
		r.Log.Info("drain finished with releases pending", "cause", err.Error())
	}
	return nil
}

// Close stops the background releases and waits for their goroutines.
func (r *Router) Close() { r.releases.close() }

// ConfigChanged refuses queued requests whose key is no longer in the snapshot, and abandons releases on backend
// servers that are not in it. The configuration calls it after each change.
func (r *Router) ConfigChanged(snap *config.Snapshot) {
	r.queue.cancelMatching(func(e *queued) bool { return snap.Key(e.key) == nil })
	r.releases.retain(snap)
}

// Models returns the models that the key may use, or without a valid key the models of open routes. It returns an
// *outcome.Error when there are none.
func (r *Router) Models(in *Input) ([]string, error) {
	snap := r.Config.Current()
	if snap == nil {
		return nil, r.refuse(in, errNoConfiguration())
	}
	_, err := r.identify(snap, in)
	var models []string
	for _, m := range snap.Models() {
		for _, p := range []string{pathCompletions, pathChat} {
			if route := snap.Route(p, m); route != nil && route.Model == m && (err == nil || route.Open) {
				models = append(models, m)
				break
			}
		}
	}
	if err != nil && len(models) == 0 {
		return nil, r.refuse(in, err)
	}
	return models, nil
}

// openPath reports whether any route of the path is open, which means it needs no key.
func openPath(snap *config.Snapshot, p string) bool {
	if route := snap.Route(p, ""); route != nil && route.Open {
		return true
	}
	for _, m := range snap.Models() {
		if route := snap.Route(p, m); route != nil && route.Open {
			return true
		}
	}
	return false
}
