package openai

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/metrics"
)

// Limits of connections and calls to backend servers.
const (
	// defaultDialTimeout leaves time for another server within the latency target.
	defaultDialTimeout = 500 * time.Millisecond
	// defaultControlTimeout bounds calls that do no model work: abort, load, events, commands.
	defaultControlTimeout = 2 * time.Second
	// idlePerServer keeps one connection per slot of a full engine, and some for control calls.
	idlePerServer = 32
	idleTimeout   = 60 * time.Second
	// connectionBuffer holds a few events. Streams are many and their events small, so larger buffers only
	// cost memory.
	connectionBuffer = 1 << 10
	maxAnswer        = 32 << 20
	maxErrorAnswer   = 64 << 10
	maxHeaderBytes   = 64 << 10
	maxDrain         = 4 << 10
)

// metricCrossed counts dropped answers that carry another attempt's id.
const metricCrossed = "answers_crossed"

// Settings of the adapter. Zero fields take the defaults.
type Settings struct {
	// DialTimeout bounds the connection setup. Default 500 ms.
	DialTimeout time.Duration
	// ControlTimeout bounds calls that do no model work. Default 2 s.
	ControlTimeout time.Duration
}

// Directory creates clients for backend servers and shares their connections. It is safe for concurrent use.
type Directory struct {
	settings Settings
	metrics  *metrics.Registry
	shared   *http.Transport
	// fresh opens a connection for each call. A server may close an idle connection while a call is being
	// sent on it, and then nobody knows whether the call ran. Calls to services that may act use it.
	fresh *http.Transport

	mu      sync.Mutex
	clients map[clientKey]*client
}

type clientKey struct{ name, addr string }

var _ engine.Directory = (*Directory)(nil)

// NewDirectory returns a directory without clients.
func NewDirectory(s Settings, m *metrics.Registry) *Directory {
	if s.DialTimeout == 0 {
		s.DialTimeout = defaultDialTimeout
	}
	if s.ControlTimeout == 0 {
		s.ControlTimeout = defaultControlTimeout
	}
	transport := func(fresh bool) *http.Transport {
		return &http.Transport{
			DialContext:            (&net.Dialer{Timeout: s.DialTimeout}).DialContext,
			DisableCompression:     true,
			DisableKeepAlives:      fresh,
			MaxIdleConnsPerHost:    idlePerServer,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
			ReadBufferSize:         connectionBuffer,
			WriteBufferSize:        connectionBuffer,
		}
	}
	return &Directory{
		settings: s, metrics: m, shared: transport(false), fresh: transport(true),
		clients: map[clientKey]*client{},
	}
}

// Server implements engine.Directory.
func (d *Directory) Server(name, addr string) engine.Server { return d.client(name, addr) }

// Service implements engine.Directory.
func (d *Directory) Service(name, addr string) engine.Service {
	return (*service)(d.client(name, addr))
}

// Close closes idle connections.
func (d *Directory) Close() {
	d.shared.CloseIdleConnections()
	d.fresh.CloseIdleConnections()
}

// Retain drops clients of servers that keep does not name, so that replaced servers do not add up.
func (d *Directory) Retain(keep func(name, addr string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for k := range d.clients {
		if !keep(k.name, k.addr) {
			delete(d.clients, k)
		}
	}
}

func (d *Directory) client(name, addr string) *client {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := clientKey{name, addr}
	c := d.clients[k]
	if c == nil {
		c = &client{d: d, name: name, addr: addr}
		d.clients[k] = c
	}
	return c
}

// client speaks to one backend server.
type client struct {
	d          *Directory
	name, addr string
}

// Name implements engine.Server.
func (c *client) Name() string { return c.name }

// send does one HTTP exchange. It returns *engine.ConnectError when no byte was sent, and the answer whatever
// its status, unless it carries another attempt's id.
func (c *client) send(transport http.RoundTripper, req *http.Request, a engine.Attempt) (*http.Response, error) {
	setAttempt(req.Header, a)
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	// net/http sends a request with an Idempotency-Key again by itself when it can read the body again.
	req.GetBody = nil
	res, err := transport.RoundTrip(req)
	if err != nil {
		if !connected.Load() {
			return nil, &engine.ConnectError{Server: c.name, Cause: err}
		}
		return nil, &engine.FailedError{Server: c.name, Cause: err}
	}
	if got := res.Header.Get(HeaderAttempt); got != "" && a.ID != "" && got != a.ID {
		_ = res.Body.Close()
		c.d.metrics.Inc(metricCrossed, metrics.L("server", c.name))
		return nil, &engine.FailedError{
			Server: c.name, Status: res.StatusCode, Cause: &CrossedAnswerError{Sent: a.ID, Received: got},
		}
	}
	return res, nil
}

func setAttempt(h http.Header, a engine.Attempt) {
	if a.ID == "" {
		return
	}
	h.Set(HeaderAttempt, a.ID)
	id := a.ID
	if at := strings.LastIndexByte(id, '.'); at >= 0 {
		id = id[:at]
	}
	h.Set(HeaderRequestID, id)
	h.Set(HeaderHost, a.Host)
	h.Set(HeaderIncarnation, strconv.FormatUint(a.Incarnation, 16))
	h.Set(HeaderPriority, strconv.Itoa(a.Priority))
}

// post sends a JSON body to the engine and returns an answer with status 200, or the typed failure.
func (c *client) post(ctx context.Context, path string, a engine.Attempt, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, &engine.ConnectError{Server: c.name, Cause: err}
	}
	req.Header.Set("Content-Type", "application/json")
	return c.checked(req, a)
}

func (c *client) checked(req *http.Request, a engine.Attempt) (*http.Response, error) {
	res, err := c.send(c.d.shared, req, a)
	if err != nil {
		return nil, err
	}
	if res.StatusCode == http.StatusOK {
		return res, nil
	}
	defer closeBody(res.Body)
	return nil, c.failure(res)
}

// failure turns an answer other than 200 into the typed error.
func (c *client) failure(res *http.Response) error {
	if notRun(res) {
		return &engine.RefusedError{Server: c.name, Status: res.StatusCode, RetryAfter: retryAfter(res.Header)}
	}
	var body ErrorBody
	_ = json.NewDecoder(io.LimitReader(res.Body, maxErrorAnswer)).Decode(&body)
	cause := &AnswerError{Status: res.StatusCode, Detail: body.Error}
	switch body.Error.Code {
	case CodeImportFailed, CodeExportGone:
		return &engine.ImportError{Server: c.name, Gone: body.Error.Code == CodeExportGone, Cause: cause}
	case CodeStaleFence:
		return &engine.FenceError{Server: c.name, Highest: body.Error.HighestFence}
	}
	return &engine.FailedError{Server: c.name, Status: res.StatusCode, Cause: cause}
}

// notRun reports whether the server says that the call had no effect. The status alone is not enough, since a
// proxy or a server under load may send 503 after it has acted.
func notRun(res *http.Response) bool {
	return (res.StatusCode == http.StatusTooManyRequests || res.StatusCode == http.StatusServiceUnavailable) &&
		res.Header.Get(HeaderNotRun) == NotRunValue
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// closeBody reads a short rest of the body first, so that the connection can be used again.
func closeBody(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDrain)
	_ = body.Close()
}
