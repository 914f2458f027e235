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
	"time"

	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/responsehead"
)

// Limits of connections and calls to backend servers.
const (
	// defaultDialTimeout is short enough to try another server within the latency target.
	defaultDialTimeout = 500 * time.Millisecond
	// defaultControlTimeout bounds control calls, which run no model: abort, load, cache, state, commands.
	defaultControlTimeout = 2 * time.Second
	// maxIdlePerServer allows one connection per slot of a fully loaded engine, and some for control calls.
	maxIdlePerServer = 32
	idleTimeout      = 60 * time.Second
	// connectionBufferSize is enough for a few events, in bytes. With many streams and small events, larger buffers
	// would only cost memory.
	connectionBufferSize = 1 << 10
	maxResponse          = 32 << 20
	maxErrorResponse     = 64 << 10
	maxHeaderBytes       = 64 << 10
	maxDrain             = 4 << 10
)

// metricAttemptMismatch counts dropped responses that carry another attempt's id.
const metricAttemptMismatch = "answers_crossed"

// Settings configures the clients. Zero fields take the defaults.
type Settings struct {
	// DialTimeout bounds the connection setup. Default 500 ms.
	DialTimeout time.Duration
	// ControlTimeout bounds control calls, which run no model. Default 2 s.
	ControlTimeout time.Duration
}

// Directory creates and caches clients for backend servers, which share its connection pool. It is safe for concurrent
// use.
type Directory struct {
	settings Settings
	metrics  *metrics.Registry
	pooled   *http.Transport
	// unpooled opens a connection for each call. It serves calls to services that may have an effect: a server may
	// close an idle pooled connection while a call is being sent on it, and then it is unknown whether the call ran.
	unpooled *http.Transport

	mu      sync.Mutex
	clients map[clientKey]*client
}

type clientKey struct{ name, addr string }

var _ engine.Directory = (*Directory)(nil)

// NewDirectory returns an empty directory. Clients are created on first use.
func NewDirectory(s Settings, m *metrics.Registry) *Directory {
	if s.DialTimeout == 0 {
		s.DialTimeout = defaultDialTimeout
	}
	if s.ControlTimeout == 0 {
		s.ControlTimeout = defaultControlTimeout
	}
	transport := func(unpooled bool) *http.Transport {
		return &http.Transport{
			DialContext:            dialStoppable(&net.Dialer{Timeout: s.DialTimeout}),
			DisableCompression:     true,
			DisableKeepAlives:      unpooled,
			MaxIdleConnsPerHost:    maxIdlePerServer,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
			ReadBufferSize:         connectionBufferSize,
			WriteBufferSize:        connectionBufferSize,
		}
	}
	return &Directory{
		settings: s, metrics: m, pooled: transport(false), unpooled: transport(true),
		clients: map[clientKey]*client{},
	}
}

// Server implements engine.Directory.
func (d *Directory) Server(name, addr string) engine.Server { return d.client(name, addr) }

// Service implements engine.Directory.
func (d *Directory) Service(name, addr string) engine.Service {
	return (*service)(d.client(name, addr))
}

// Close closes idle connections. Open calls and streams are not affected.
func (d *Directory) Close() {
	d.pooled.CloseIdleConnections()
	d.unpooled.CloseIdleConnections()
}

// Retain removes cached clients for which keep returns false, so that clients of replaced servers do not accumulate.
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

// client is the HTTP client of one backend server.
type client struct {
	d          *Directory
	name, addr string
}

// Name implements engine.Server.
func (c *client) Name() string { return c.name }

// send does one HTTP exchange and returns the response, whatever its status. The error is *engine.ConnectError or
// *engine.NotSentError when no byte was sent and *engine.FailedError otherwise, also for a response with another
// attempt's id.
func (c *client) send(transport http.RoundTripper, req *http.Request, a engine.Attempt) (*http.Response, error) {
	setAttemptHeaders(req.Header, a)
	check := &sendCheck{maySend: a.MaySend}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: check.gotConn}))
	// Without GetBody net/http cannot read the body again, so it does not retry requests with an Idempotency-Key.
	req.GetBody = nil
	res, err := transport.RoundTrip(req)
	if err != nil {
		return nil, check.failure(c.name, err)
	}
	if err := responsehead.Check(res); err != nil {
		_ = res.Body.Close()
		return nil, &engine.FailedError{Server: c.name, Cause: err}
	}
	if got := res.Header.Get(HeaderAttempt); got != "" && a.ID != "" && got != a.ID {
		_ = res.Body.Close()
		c.d.metrics.Inc(metricAttemptMismatch, metrics.L("server", c.name))
		return nil, &engine.FailedError{
			Server: c.name, Status: res.StatusCode, Cause: &AttemptMismatchError{Sent: a.ID, Received: got},
		}
	}
	return res, nil
}

func setAttemptHeaders(h http.Header, a engine.Attempt) {
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

// post sends a JSON body to the engine. It returns a response with status 200, or an error type of package engine.
func (c *client) post(ctx context.Context, path string, a engine.Attempt, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, &engine.ConnectError{Server: c.name, Cause: err}
	}
	req.Header.Set("Content-Type", "application/json")
	return c.sendChecked(req, a)
}

func (c *client) sendChecked(req *http.Request, a engine.Attempt) (*http.Response, error) {
	res, err := c.send(c.d.pooled, req, a)
	if err != nil {
		return nil, err
	}
	if res.StatusCode == http.StatusOK {
		return res, nil
	}
	defer closeBody(res.Body)
	return nil, c.responseError(res)
}

// responseError converts a response with a status other than 200 to an error type of package engine.
func (c *client) responseError(res *http.Response) error {
	if notRun(res) {
		return &engine.RefusedError{Server: c.name, Status: res.StatusCode, RetryAfter: retryAfter(res.Header)}
	}
	var body ErrorBody
	_ = json.NewDecoder(io.LimitReader(res.Body, maxErrorResponse)).Decode(&body)
	cause := &ResponseError{Status: res.StatusCode, Detail: body.Error}
	switch body.Error.Code {
	case CodeImportFailed, CodeExportGone:
		return &engine.ImportError{Server: c.name, Gone: body.Error.Code == CodeExportGone, Cause: cause}
	case CodeStaleFence:
		return &engine.StaleFencingTokenError{Server: c.name, Highest: body.Error.HighestFence}
	}
	return &engine.FailedError{Server: c.name, Status: res.StatusCode, Cause: cause}
}

// notRun reports whether the response says that the call had no effect. The status alone does not say so, since a
// proxy or a server under load may send 503 for a call that had an effect.
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

// closeBody reads up to maxDrain remaining bytes before it closes the body, so that the connection can be reused.
func closeBody(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDrain)
	_ = body.Close()
}
