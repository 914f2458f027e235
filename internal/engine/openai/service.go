package openai

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"slices"

	"github.com/boragecourse/boragecourse/internal/engine"
)

// forwardedHeaders lists the request headers that are passed on to services. It is an allow list, so that services do
// not receive callers' keys and cookies, whichever header a caller puts them in.
var forwardedHeaders = []string{
	"Accept", "Accept-Language", "Content-Encoding", "Content-Language", "Content-Type", "Idempotency-Key",
	"If-Match", "If-Modified-Since", "If-None-Match", "If-Unmodified-Since", "Range", "Traceparent", "Tracestate",
	"User-Agent",
}

// service is a client for a plain HTTP service.
type service client

var _ engine.Service = (*service)(nil)

// Name implements engine.Service.
func (s *service) Name() string { return s.name }

// Do implements engine.Service. It does not follow redirects. The error is *engine.ConnectError when no byte was sent,
// *engine.RefusedError when the service responded that the call had no effect, and *engine.FailedError otherwise.
func (s *service) Do(ctx context.Context, a engine.Attempt, r *http.Request) (*http.Response, error) {
	c := (*client)(s)
	out := &http.Request{
		Method: r.Method, Host: s.addr, Header: http.Header{},
		URL:           &url.URL{Scheme: "http", Host: s.addr, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery},
		Body:          r.Body,
		ContentLength: r.ContentLength,
	}
	for _, name := range forwardedHeaders {
		if values := r.Header.Values(name); len(values) > 0 {
			out.Header[name] = slices.Clone(values)
		}
	}
	transport := c.d.unpooled
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		transport = c.d.pooled
	}
	if out.Body == nil || out.Body == http.NoBody {
		out.Body = emptyBody{}
	}
	res, err := c.send(transport, out.WithContext(ctx), a)
	if err != nil {
		return nil, err
	}
	if notRun(res) {
		defer closeBody(res.Body)
		return nil, c.responseError(res)
	}
	return res, nil
}

// emptyBody is an empty request body that net/http cannot rewind. It prevents net/http from retrying a GET without a
// body when a reused connection breaks: calls to services must be sent at most once.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (emptyBody) Close() error { return nil }
