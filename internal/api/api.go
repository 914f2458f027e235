// Package api serves the HTTP API for callers: the OpenAI API, routes to plain services, and health checks. Refusals
// and failures are JSON errors that state whether the request ran.
package api

import (
	"context"
	"crypto/rand"
	"encoding/base32"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-logr/logr"

	"github.com/boragecourse/boragecourse/internal/defaults"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/outcome"
	"github.com/boragecourse/boragecourse/internal/request"
)

// Limits that are not configurable.
const (
	// headerTimeout bounds the time to read request headers, so that slow senders do not accumulate connections.
	headerTimeout = 10 * time.Second
	// writeTimeout bounds one write to a slow caller.
	writeTimeout = 30 * time.Second
	// headerReadFactor multiplies the header limit for net/http, so that headers above the limit are still read and
	// refused with a JSON error.
	headerReadFactor = 2
	// idBytes is the length of a random request id before encoding.
	idBytes = 15
)

// Options configures a Handler. Zero limits take the defaults.
type Options struct {
	Router  *request.Router
	Metrics *metrics.Registry
	Log     logr.Logger
	// NewID returns a new request id. Nil means a random one.
	NewID func() string
	// Ready returns an error while the host should not receive requests. A nil func means that it is always ready.
	Ready func() error
	// MaxBodyBytes bounds request bodies. Default 8 MiB.
	MaxBodyBytes int64
	// MaxHeaderBytes bounds request headers. Default 64 KiB.
	MaxHeaderBytes int
	// BodyTimeout is the longest time to read a body. Default 30 s.
	BodyTimeout time.Duration
	// IdleTimeout is how long a connection is kept open without a request. Default 2 min.
	IdleTimeout time.Duration
	// StreamTimeout bounds one request, including the streaming of its response. Default 30 min.
	StreamTimeout time.Duration
}

func (o Options) withDefaults() Options {
	defaults.Set(&o.MaxBodyBytes, 8<<20)
	defaults.Set(&o.MaxHeaderBytes, 64<<10)
	defaults.Set(&o.BodyTimeout, 30*time.Second)
	defaults.Set(&o.IdleTimeout, 2*time.Minute)
	defaults.Set(&o.StreamTimeout, 30*time.Minute)
	if o.NewID == nil {
		o.NewID = newID
	}
	if o.Ready == nil {
		o.Ready = func() error { return nil }
	}
	return o
}

type handler struct {
	Options
}

// Handler returns the handler of the caller API. Server applies the connection limits in addition.
func Handler(o Options) http.Handler {
	h := &handler{o.withDefaults()}
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok") })
	r.Get("/readyz", h.ready)
	r.Get("/v1/models", h.wrap(h.models))
	r.Get("/v1/models/{model}", h.wrap(h.model))
	for _, path := range []string{"/v1/completions", "/v1/chat/completions"} {
		r.Post(path, h.wrap(h.serve))
	}
	r.NotFound(h.wrap(h.serve))
	r.MethodNotAllowed(h.wrap(func(x *exchange) {
		x.refuse(outcome.Refuse(http.StatusMethodNotAllowed, outcome.CodeUnknownRoute, "method not allowed"))
	}))
	return r
}

// Server returns an HTTP server for the caller API, with limits on headers and idle connections.
func Server(o Options) *http.Server {
	o = o.withDefaults()
	return &http.Server{
		Handler:           Handler(o),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       o.IdleTimeout,
		MaxHeaderBytes:    headerReadFactor * o.MaxHeaderBytes,
	}
}

func (h *handler) ready(w http.ResponseWriter, _ *http.Request) {
	err := h.Ready()
	switch {
	case err != nil:
		writeText(w, http.StatusServiceUnavailable, err.Error())
	case h.Router.Draining():
		writeText(w, http.StatusServiceUnavailable, "draining")
	default:
		writeText(w, http.StatusOK, "ready")
	}
}

func writeText(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	newSink(w).start(status)
	_, _ = w.Write([]byte(message + "\n"))
}

// exchange is a caller's request and its response.
type exchange struct {
	*handler
	r  *http.Request
	in *request.Input
	*sink
}

// wrap returns a handler that creates the exchange, checks the headers, and converts a panic to a JSON error.
func (h *handler) wrap(serve func(*exchange)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{handler: h, r: r, sink: newSink(w)}
		x.in = &request.Input{
			ID: h.NewID(), Method: r.Method, URL: r.URL, Header: r.Header, Arrived: time.Now(),
			IdempotencyKey: r.Header.Get("Idempotency-Key"),
		}
		w.Header().Set("X-Request-Id", x.in.ID)
		// net/http reads the rest of an unread body before it sends the response. Without a deadline, a caller that
		// announces a body and never sends it would keep its connection open forever. The error is ignored because
		// response recorders in tests do not support deadlines.
		_ = x.rc.SetReadDeadline(time.Now().Add(h.BodyTimeout))
		defer x.recover()
		if size := headerSize(r); size > h.MaxHeaderBytes {
			x.refuse(outcome.Refuse(http.StatusRequestHeaderFieldsTooLarge, outcome.CodeHeadersTooLarge,
				"headers of %d bytes exceed the limit of %d", size, h.MaxHeaderBytes))
			return
		}
		key, err := takeBearerKey(r.Header)
		// Set before a refusal, so that the key is redacted in its log line.
		x.in.Key = key
		if err != nil {
			x.refuse(err)
			return
		}
		serve(x)
	}
}

func (x *exchange) recover() {
	v := recover()
	if v == nil {
		return
	}
	if err, ok := v.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(v)
	}
	x.Metrics.Inc("panics", metrics.L("where", "request"))
	x.Log.Error(&PanicError{v}, "panic in request handler", "request", x.in.ID, "stack", string(debug.Stack()))
	x.fail(x.in.ID, &outcome.Error{
		Outcome: outcome.Unknown, Code: outcome.CodeInternal, Status: http.StatusInternalServerError,
		Message: "internal failure",
	})
}

// refuse sends and records a refusal that was not made by the router.
func (x *exchange) refuse(e *outcome.Error) {
	x.Router.RecordRefusal(x.in, e)
	x.fail(x.in.ID, e)
}

// serve reads the body and passes the request to the router. A request that the router refuses regardless of its body
// is refused before the body is read.
func (x *exchange) serve() {
	if err := x.Router.Check(x.in); err != nil {
		x.fail(x.in.ID, outcome.From(err))
		return
	}
	body, refusal := x.body()
	if refusal != nil {
		x.refuse(refusal)
		return
	}
	x.in.Body = body
	ctx, cancel := context.WithTimeoutCause(x.r.Context(), x.StreamTimeout, errRequestTime)
	defer cancel()
	if err := x.Router.Do(ctx, x.in, x.sink); err != nil {
		x.fail(x.in.ID, outcome.From(err))
	}
}

func (h *handler) serve(x *exchange) { x.serve() }

// newID returns a random request id. It contains no dot, since attempt ids append a dot and the number of the attempt.
func newID() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:])
	return strings.ToLower(base32.StdEncoding.EncodeToString(b[:]))
}

func headerSize(r *http.Request) int {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	return size
}

// takeBearerKey removes the Authorization header and returns its key, which is empty unless the scheme is Bearer.
func takeBearerKey(h http.Header) (string, *outcome.Error) {
	values := h.Values("Authorization")
	h.Del("Authorization")
	if len(values) > 1 {
		return bearerKey(values[0]), outcome.Refuse(http.StatusBadRequest, outcome.CodeMalformedRequest, "more than one Authorization header")
	}
	if len(values) == 0 {
		return "", nil
	}
	return bearerKey(values[0]), nil
}

func bearerKey(value string) string {
	scheme, key, _ := strings.Cut(value, " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// models responds with the models that the caller may use.
func (h *handler) models(x *exchange) {
	names, err := h.Router.Models(x.in)
	if err != nil {
		x.fail(x.in.ID, outcome.From(err))
		return
	}
	list := modelList{Object: "list", Data: []modelObject{}}
	for _, name := range names {
		list.Data = append(list.Data, newModel(name))
	}
	x.json(http.StatusOK, list)
}

func (h *handler) model(x *exchange) {
	names, err := h.Router.Models(x.in)
	if err != nil {
		x.fail(x.in.ID, outcome.From(err))
		return
	}
	wanted := chi.URLParam(x.r, "model")
	for _, name := range names {
		if name == wanted {
			x.json(http.StatusOK, newModel(name))
			return
		}
	}
	x.refuse(outcome.Refuse(http.StatusNotFound, outcome.CodeUnknownModel, "no such model"))
}

type modelList struct {
	Object string        `json:"object"`
	Data   []modelObject `json:"data"`
}

type modelObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func newModel(name string) modelObject {
	return modelObject{ID: name, Object: "model", OwnedBy: "boragecourse"}
}

func (x *exchange) json(status int, v any) {
	data, _ := json.Marshal(v)
	x.w.Header().Set("Content-Type", "application/json")
	x.start(status)
	_, _ = x.w.Write(data)
}

// isTimeout reports whether err is due to an expired read or write deadline.
func isTimeout(err error) bool {
	var n net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || (errors.As(err, &n) && n.Timeout())
}
