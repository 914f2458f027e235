package openai_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"
	"go.uber.org/goleak"

	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/engine/openai"
	"github.com/boragecourse/boragecourse/internal/metrics"
	standin "github.com/boragecourse/boragecourse/test/standin/engine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newDirectory(t *testing.T) (*openai.Directory, *metrics.Registry) {
	m := metrics.New()
	d := openai.NewDirectory(openai.Settings{}, m)
	t.Cleanup(d.Close)
	return d, m
}

func serve(t *testing.T, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// serveEngine starts a stand-in engine. The listener is opened first, since the engine's configuration needs its
// address.
func serveEngine(t *testing.T, cfg standin.Config) (*standin.Core, string) {
	var h http.Handler
	cfg.Addr = serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h.ServeHTTP(w, r) }))
	cfg.TimePerToken = time.Microsecond
	core := standin.New(cfg, standin.NewFleet())
	h = standin.Handler(core)
	return core, cfg.Addr
}

func callOf(id, path, body string) engine.Call {
	return engine.Call{Attempt: engine.Attempt{ID: id, Host: "h1", Incarnation: 7}, Path: path, Body: []byte(body)}
}

func readAll(s engine.Stream) (string, error) {
	defer s.Close()
	var b strings.Builder
	for {
		c, err := s.Next()
		if errors.Is(err, io.EOF) {
			return b.String(), nil
		}
		if err != nil {
			return b.String(), err
		}
		b.WriteString(c.Text)
	}
}

// Guards against a client that deviates from the engine protocol in prefill, KV cache import, streaming, a lost stream,
// resume, continuation after text that was already sent, or release.
func TestStagesOverHTTP(t *testing.T) {
	for path, body := range map[string]string{
		"/v1/completions":      `{"model":"m","prompt":"hello","max_tokens":9,"stream_options":{"x":1}}`,
		"/v1/chat/completions": `{"model":"m","messages":[{"role":"user","content":"hello"}],"max_tokens":9}`,
	} {
		t.Run(path, func(t *testing.T) {
			g := NewWithT(t)
			dir, _ := newDirectory(t)
			p, pAddr := serveEngine(t, standin.Config{Name: "p", Role: standin.Prefill})
			d, dAddr := serveEngine(t, standin.Config{Name: "d", Role: standin.Decode})
			ps, ds := dir.Server("p", pAddr), dir.Server("d", dAddr)
			kv, err := ps.Prefill(t.Context(), callOf("r.1", path, body))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(kv).To(Equal(engine.KVCacheHandle{Server: "p", Addr: pAddr, ID: "r.1", Tokens: 2}))
			d.SetFaults(standin.Faults{LoseStreams: 1, LoseAfter: 3})
			call := callOf("r.2", path, body)
			s, err := ds.Decode(t.Context(), call, &kv)
			g.Expect(err).NotTo(HaveOccurred())
			first, err := readAll(s)
			var lost *engine.StreamLostError
			g.Expect(errors.As(err, &lost)).To(BeTrue())
			g.Expect(lost.Offset).To(BeEquivalentTo(3))
			s, err = ds.Resume(t.Context(), call.Attempt, lost.Offset)
			g.Expect(err).NotTo(HaveOccurred())
			rest, err := readAll(s)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(first + rest).To(Equal(standin.Answer("hello", 9)))
			again := callOf("r.3", path, body)
			again.Continue = first
			s, err = ds.Decode(t.Context(), again, nil)
			g.Expect(err).NotTo(HaveOccurred())
			c, err := s.Next()
			for err == nil && c.Text == "" {
				c, err = s.Next()
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(rest).To(HavePrefix(c.Text), "the engine must continue after the text that was already sent")
			g.Expect(s.Close()).To(Succeed())
			g.Expect(ds.Abort(t.Context(), "r.3")).To(Succeed())
			g.Expect(p.Idle()).To(BeTrue())
			g.Expect(d.Idle()).To(BeTrue())
		})
	}
}

// Guards against reporting a failed call that may have run as one that did not run, and the reverse.
func TestFailuresAreClassified(t *testing.T) {
	failed := BeAssignableToTypeOf(&engine.FailedError{})
	refused := func(status int, marker string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(openai.HeaderNotRun, marker)
			w.Header().Set("Retry-After", "3")
			w.WriteHeader(status)
		}
	}
	coded := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}
	}
	cases := map[string]struct {
		handler http.HandlerFunc
		want    types.GomegaMatcher
	}{
		"refused":            {refused(503, "true"), Equal(&engine.RefusedError{Server: "e", Status: 503, RetryAfter: 3 * time.Second})},
		"too many":           {refused(429, "true"), Equal(&engine.RefusedError{Server: "e", Status: 429, RetryAfter: 3 * time.Second})},
		"503 without marker": {refused(503, ""), failed},
		"marker with 500":    {refused(500, "true"), failed},
		"import failed":      {coded(500, `{"error":{"code":"kv_import_failed"}}`), HaveField("Gone", false)},
		"export gone":        {coded(500, `{"error":{"code":"kv_export_gone"}}`), HaveField("Gone", true)},
		"stale fence":        {coded(409, `{"error":{"code":"stale_fence","highest_fence":8}}`), Equal(&engine.StaleFencingTokenError{Server: "e", Highest: 8})},
		"connection closed after the request was read": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, failed},
		"id of another attempt": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(openai.HeaderAttempt, "other.1")
		}, failed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			dir, m := newDirectory(t)
			_, err := dir.Server("e", serve(t, c.handler)).Decode(t.Context(), callOf("r.1", "/v1/completions", `{}`), nil)
			g.Expect(err).To(c.want)
			g.Expect(m.Count("answers_crossed", metrics.L("server", "e")) == 1).To(Equal(name == "id of another attempt"))
		})
	}
	t.Run("closed port", func(t *testing.T) {
		g := NewWithT(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		_ = l.Close()
		dir, _ := newDirectory(t)
		_, err = dir.Server("e", l.Addr().String()).Prefill(t.Context(), callOf("r.1", "/v1/completions", `{}`))
		g.Expect(err).To(BeAssignableToTypeOf(&engine.ConnectError{}))
	})
}

// Guards against net/http retrying a service call without being asked to, and against forwarding headers that are not
// on the allow list.
func TestServiceCallIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		t.Run(method, func(t *testing.T) {
			g := NewWithT(t)
			dir, _ := newDirectory(t)
			seen := make(chan http.Header, 10)
			var calls atomic.Int32
			addr := serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				seen <- r.Header.Clone()
				if calls.Add(1) > 1 {
					panic(http.ErrAbortHandler)
				}
			}))
			do := func() error {
				r, err := http.NewRequestWithContext(context.Background(), method, "http://x/booking?a=1", nil)
				g.Expect(err).NotTo(HaveOccurred())
				r.Header.Set("Idempotency-Key", "k")
				r.Header.Set("Authorization", "Bearer secret")
				r.Header.Set("Cookie", "secret")
				r.Header.Set("X-Api-Key", "secret")
				res, err := dir.Service("s", addr).Do(t.Context(), engine.Attempt{ID: "r.1"}, r)
				if err == nil {
					_ = res.Body.Close()
				}
				return err
			}
			g.Expect(do()).To(Succeed())
			g.Expect(do()).To(BeAssignableToTypeOf(&engine.FailedError{}))
			g.Expect(calls.Load()).To(BeEquivalentTo(2), "the second call must not be repeated on another connection")
			headers := <-seen
			for _, name := range []string{"Authorization", "Cookie", "X-Api-Key"} {
				g.Expect(headers).NotTo(HaveKey(name))
			}
		})
	}
}
