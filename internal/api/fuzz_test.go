package api_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/boragecourse/boragecourse/internal/api"
	"github.com/boragecourse/boragecourse/internal/claim"
	"github.com/boragecourse/boragecourse/internal/metrics"
)

// fuzzTime bounds one request of a fuzz target, so that a hanging request is reported as a failure.
const fuzzTime = 20 * time.Second

// Guards against request bodies, paths and headers that cause a panic, leak a reservation, or get neither a complete
// response nor a JSON error.
func FuzzCallerRequest(f *testing.F) {
	const good = `{"model":"m","prompt":"x","max_tokens":2}`
	add := func(method, path, auth, header, value, body string) {
		f.Add(method, path, auth, header, value, []byte(body))
	}
	for _, body := range []string{
		good, `{"model":"m","prompt":"x","max_tokens":2,"stream":true,"stream_options":{"include_usage":true}}`, ``, `null`, `{`, `{}{}`,
		`{"model":"m","prompt":["x","y"]}`, `{"model":"m","prompt":"x","max_tokens":-1}`, `{"model":"m","prompt":"x","max_tokens":1e400}`,
		`{"model":"m","prompt":"` + "\xff\\ud800" + `","max_tokens":2}`, `{"model":"m","prompt":"x","max_tokens":2,"kv_transfer_params":{"a":1}}`,
	} {
		add("POST", "/v1/completions", "Bearer "+key, "X-A", "b", body)
	}
	add("POST", "/v1/chat/completions", "Bearer "+key, "X-A", "b", `{"model":"m","messages":[{"role":"user","content":[{"text":"x"},null]}],"max_tokens":2}`)
	add("POST", "/v1/chat/completions", "Bearer "+key, "X-A", "b", `{"model":"m","messages":[{"role":"user"}],"max_tokens":2}`)
	add("POST", "/v1/completions", "bearer", "Authorization", "Bearer "+key, good)
	add("POST", "/v1/completions", "Basic "+key, "X-A", "b", good)
	add("PUT", "/booking/reserve?night=3", "Bearer "+key, "Idempotency-Key", "k\x00", "x")
	add("POST", "/booking/%2e%2e/admin", "Bearer "+key, "Connection", "X-A, close", "")
	add("GET", "/v1/models/%ff", "Bearer "+key, "X-Request-Id", "a\tb", "")
	add("BREW", "//", "", "", "", "")
	fl := newFleet(f, api.Options{MaxBodyBytes: 4 << 10, MaxHeaderBytes: 2 << 10})
	f.Cleanup(fl.verify)
	handler := fl.handler
	f.Fuzz(func(t *testing.T, method, path, auth, header, value string, body []byte) {
		if bytes.Contains(body, []byte("00")) || !strings.HasPrefix(path, "/") {
			// A large max_tokens makes the engine stand-in slow and adds no coverage.
			t.Skip()
		}
		r, err := http.NewRequest(method, "http://h"+path, bytes.NewReader(body))
		if err != nil {
			t.Skip()
		}
		ctx, cancel := context.WithTimeout(t.Context(), fuzzTime)
		defer cancel()
		r = r.WithContext(ctx)
		r.Header.Set("Authorization", auth)
		if header != "" {
			r.Header.Add(header, value)
		}
		before := fl.metrics.Count("panics", metrics.L("where", "request"))
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		checkComplete(t, w)
		if ctx.Err() != nil || fl.router.Open() != 0 || fl.open.Load() != 0 {
			t.Fatalf("after the response: %v, %d requests open, %d slots held", ctx.Err(), fl.router.Open(), fl.open.Load())
		}
		if got := fl.metrics.Count("panics", metrics.L("where", "request")); got != before {
			t.Fatal("the handler panicked")
		}
	})
}

// checkComplete checks that a response is complete or a JSON error with all fields.
func checkComplete(t *testing.T, w *httptest.ResponseRecorder) {
	t.Helper()
	text := w.Body.String()
	if w.Header().Get("Content-Type") == "text/event-stream" {
		if !strings.HasSuffix(text, "data: [DONE]\n\n") && !strings.Contains(text, "event: error\n") {
			t.Fatalf("stream ends with neither [DONE] nor an error event: %q", text)
		}
		return
	}
	if w.Code < http.StatusBadRequest {
		return
	}
	var body struct {
		Error struct{ Type, Code, Outcome, Request_id string }
	}
	err := json.Unmarshal(w.Body.Bytes(), &body)
	e := body.Error
	if err != nil || e.Type == "" || e.Code == "" || e.Outcome == "" || e.Outcome != w.Header().Get("X-Boragecourse-Outcome") ||
		e.Request_id == "" || e.Request_id != w.Header().Get("X-Request-Id") {
		t.Fatalf("status %d without a complete JSON error: %q", w.Code, text)
	}
}

// Claim implements claim.Service and grants every claim.
func (f *fleet) Claim(context.Context, claim.Call) (claim.Ticket, *claim.Response, error) {
	return ticket{}, nil, nil
}

type ticket struct{}

func (ticket) Dispatching() error                         { return nil }
func (ticket) Done(context.Context, claim.Response) error { return nil }
func (ticket) GiveUp(context.Context) error               { return nil }
func (ticket) NotRun(context.Context) error               { return nil }
func (ticket) Unknown(context.Context) error              { return nil }
