package api_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"go.uber.org/goleak"

	"github.com/boragecourse/boragecourse/internal/api"
	"github.com/boragecourse/boragecourse/internal/charge"
	"github.com/boragecourse/boragecourse/internal/config"
	adapter "github.com/boragecourse/boragecourse/internal/engine/openai"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/placement"
	"github.com/boragecourse/boragecourse/internal/quota"
	"github.com/boragecourse/boragecourse/internal/request"
	"github.com/boragecourse/boragecourse/internal/rules"
	standin "github.com/boragecourse/boragecourse/test/standin/engine"
	"github.com/boragecourse/boragecourse/test/standin/service"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	key    = "secret-key-1"
	prompt = "hello lighthouse"
)

// fleet is a router behind the caller API, with stand-in backend servers on the loopback interface.
type fleet struct {
	*GomegaWithT
	snap    *config.Snapshot
	router  *request.Router
	url     string
	handler http.Handler
	p, d    *standin.Core
	booking *service.Service
	metrics *metrics.Registry
	open    atomic.Int64
	panics  atomic.Bool
	mu      sync.Mutex
	charges []charge.Record
}

func listen(t testing.TB, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func newFleet(t testing.TB, o api.Options) *fleet {
	f := &fleet{GomegaWithT: NewWithT(t), booking: service.New("s"), metrics: metrics.New()}
	serve := func(name string, role standin.Role) *standin.Core {
		var h http.Handler
		addr := listen(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h.ServeHTTP(w, r) }))
		c := standin.New(standin.Config{Name: name, Addr: addr, Role: role, TimePerToken: time.Millisecond}, standin.NewFleet())
		c.RegisterSecret(key)
		h = standin.Handler(c)
		return c
	}
	f.p, f.d = serve("p", standin.Prefill), serve("d", standin.Decode)
	f.booking.RegisterSecret(key)
	f.snap = config.NewSnapshot(1, []rules.Rule{
		&rules.Workspace{Name: "w", Rate: 1000, Burst: 100000},
		&rules.Key{Workspace: "w", KeyID: "k", Hash: rules.HashKey(key)},
		&rules.Route{Path: "/v1/completions", Model: "m", Repeatable: true},
		&rules.Route{Path: "/v1/chat/completions", Model: "m", Repeatable: true},
		&rules.Route{Path: "/booking/*", Pool: "s", Cost: 50},
		&rules.Server{Name: "p", Addr: f.p.Addr(), Role: rules.RolePrefill, Model: "m"},
		&rules.Server{Name: "d", Addr: f.d.Addr(), Role: rules.RoleDecode, Model: "m"},
		&rules.Route{Path: "/v1/chat/completions", Model: "tools", Repeatable: true},
		&rules.Server{Name: "t", Addr: listen(t, http.HandlerFunc(toolEngine)), Role: rules.RoleBoth, Model: "tools"},
		&rules.Server{Name: "s", Addr: listen(t, f.booking), Role: rules.RoleService, Pool: "s"},
	})
	dir := adapter.NewDirectory(adapter.Settings{}, f.metrics)
	t.Cleanup(dir.Close)
	f.router = request.New(request.Deps{
		Config: f, Limiter: f, Placer: f, Claims: f, Charges: f, Engines: dir, Metrics: f.metrics, Log: logr.Discard(),
	}, request.Settings{})
	t.Cleanup(f.router.Close)
	o.Router, o.Metrics, o.Log = f.router, f.metrics, logr.Discard()
	server := httptest.NewUnstartedServer(nil)
	server.Config = api.Server(o)
	f.handler = server.Config.Handler
	server.Start()
	t.Cleanup(server.Close)
	f.url = server.URL
	return f
}

// Accepting implements charge.Writer.
func (f *fleet) Accepting() error { return nil }

func (f *fleet) Current() *config.Snapshot         { return f.snap }
func (f *fleet) KeyedRequestsAllowed(string) error { return nil }
func (f *fleet) Observe(placement.Observation)     {}
func (f *fleet) Use(int64)                         {}
func (f *fleet) Close()                            {}
func (f *fleet) Add(r charge.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.charges = append(f.charges, r)
}

func (f *fleet) Reserve(context.Context, string, int64) (quota.Reservation, error) { return f, nil }

func (f *fleet) slot() func() {
	f.open.Add(1)
	return sync.OnceFunc(func() { f.open.Add(-1) })
}

func (f *fleet) Place(ctx context.Context, snap *config.Snapshot, r placement.Request) (*placement.Placement, error) {
	if f.panics.Load() {
		panic("broken placer")
	}
	if r.Model == "tools" {
		t := snap.Servers()["t"]
		return &placement.Placement{Prefill: t, Decode: t, ReleasePrefill: f.slot(), ReleaseDecode: f.slot()}, nil
	}
	p, err := f.PlaceDecode(ctx, snap, r, snap.Servers()["p"])
	p.ReleasePrefill = f.slot()
	return p, err
}

func (f *fleet) PlaceDecode(_ context.Context, snap *config.Snapshot, _ placement.Request, prefill *rules.Server) (*placement.Placement, error) {
	return &placement.Placement{
		Prefill: prefill, Decode: snap.Servers()["d"], ReleasePrefill: func() {}, ReleaseDecode: f.slot(),
	}, nil
}

func (f *fleet) PlaceService(_ context.Context, snap *config.Snapshot, _ string, _ []string) (*rules.Server, func(), error) {
	return snap.Servers()["s"], f.slot(), nil
}

// verify drains the router and checks that no reservation and nothing on the engines was leaked.
func (f *fleet) verify() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f.Expect(f.router.Drain(ctx)).To(Succeed())
	for _, c := range []*standin.Core{f.p, f.d} {
		f.Expect(c.Report().Held).To(BeEmpty())
		f.Expect(c.Report().Violations).To(BeEmpty())
	}
	f.Expect(f.booking.Report().Violations).To(BeEmpty())
	f.Expect(f.open.Load()).To(BeZero())
}

func (f *fleet) client() openai.Client {
	return openai.NewClient(option.WithBaseURL(f.url+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

func chat() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: "m", MaxCompletionTokens: openai.Int(9),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	}
}

// Guards against responses that the OpenAI client library cannot read, also with engine faults during the request.
func TestOpenAIClient(t *testing.T) {
	cases := map[string]struct{ p, d standin.Faults }{
		"no fault":        {},
		"stream lost":     {d: standin.Faults{LoseStreams: 1, LoseAfter: 4}},
		"crossed prefill": {p: standin.Faults{CrossAnswers: 1}},
		"crossed decode":  {d: standin.Faults{CrossAnswers: 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, api.Options{})
			client := f.client()
			f.p.SetFaults(c.p)
			f.d.SetFaults(c.d)
			completion, err := client.Chat.Completions.New(t.Context(), chat())
			f.Expect(err).NotTo(HaveOccurred())
			f.Expect(completion.Choices[0].Message.Content).To(Equal(standin.Answer(prompt, 9)))
			f.Expect(completion.Choices[0].FinishReason).To(Equal("length"))
			f.Expect(completion.Usage.CompletionTokens).To(BeEquivalentTo(9))
			f.p.SetFaults(c.p)
			f.d.SetFaults(c.d)
			params := chat()
			params.StreamOptions.IncludeUsage = openai.Bool(true)
			stream := client.Chat.Completions.NewStreaming(t.Context(), params)
			var acc openai.ChatCompletionAccumulator
			for stream.Next() {
				f.Expect(acc.AddChunk(stream.Current())).To(BeTrue())
			}
			f.Expect(stream.Err()).NotTo(HaveOccurred())
			f.Expect(stream.Close()).To(Succeed())
			f.Expect(acc.Choices[0].Message.Content).To(Equal(standin.Answer(prompt, 9)))
			f.Expect(acc.Usage.CompletionTokens).To(BeEquivalentTo(9))
			models, err := client.Models.List(t.Context())
			f.Expect(err).NotTo(HaveOccurred())
			f.Expect(models.Data).To(HaveLen(2))
			f.verify()
			f.Expect(f.charges).To(HaveLen(2))
			crossed := f.metrics.Count("answers_crossed", metrics.L("server", "p")) +
				f.metrics.Count("answers_crossed", metrics.L("server", "d"))
			f.Expect(crossed).To(BeEquivalentTo(2*c.p.CrossAnswers + 2*c.d.CrossAnswers))
		})
	}
}

// toolEngine responds with a tool call in the OpenAI format. It sends event ids only to requests with priority 1.
func toolEngine(w http.ResponseWriter, r *http.Request) {
	id := ""
	if r.Header.Get("X-Boragecourse-Priority") == "1" {
		id = "id: 0\n" // all events belong to the same, incomplete token
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for _, choices := range []string{
		`[{"index":0,"delta":{"role":"assistant","content":""}}]`,
		`[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"c1","type":"function","function":{"name":"reserve","arguments":""}}]}}]`,
		`[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":"{\"room\":"}}]}}]`,
		`[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":"7}"}}]}}]`,
		`[{"index":0,"delta":{},"finish_reason":"tool_calls"}]`,
		`[],"usage":{"prompt_tokens":5,"completion_tokens":11,"total_tokens":16}`,
	} {
		_, _ = fmt.Fprintf(w, "%sdata: {\"id\":\"x\",\"object\":\"chat.completion.chunk\",\"choices\":%s}\n\n", id, choices)
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// Guards against dropping chunks of a response that contain no text or do not complete a token.
func TestToolCalls(t *testing.T) {
	for priority := range 2 {
		t.Run(fmt.Sprintf("priority=%d", priority), func(t *testing.T) { testToolCalls(t, priority) })
	}
}

func testToolCalls(t *testing.T, priority int) {
	f := newFleet(t, api.Options{})
	f.snap.Workspace("w").Priority = priority
	client, params := f.client(), chat()
	params.Model = "tools"
	completion, err := client.Chat.Completions.New(t.Context(), params)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(completion.Choices[0].Message.ToolCalls).To(HaveLen(1))
	f.Expect(completion.Choices[0].Message.ToolCalls[0].Function.Arguments).To(Equal(`{"room":7}`))
	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	var acc openai.ChatCompletionAccumulator
	for stream.Next() {
		f.Expect(acc.AddChunk(stream.Current())).To(BeTrue())
	}
	f.Expect(stream.Err()).NotTo(HaveOccurred())
	f.Expect(acc.Choices[0].Message.ToolCalls[0].Function.Arguments).To(Equal(`{"room":7}`))
	f.verify()
	f.Expect(f.charges).To(HaveLen(2))
	f.Expect(f.charges[0].OutputTokens).To(BeEquivalentTo(11))
	f.Expect(f.charges[0].PromptTokens).To(BeEquivalentTo(5))
}

// Guards against refusals without a type, an outcome or a request id, and against a refusal that leaks a reservation.
func TestTypedAnswers(t *testing.T) {
	f := newFleet(t, api.Options{MaxBodyBytes: 1000, MaxHeaderBytes: 2000, BodyTimeout: 50 * time.Millisecond})
	neverEnding, stop := io.Pipe()
	defer stop.Close()
	good := `{"model":"m","prompt":"x","max_tokens":1}`
	cases := map[string]struct {
		method, path, key string
		body              io.Reader
		header            string
		status            int
		code              string
	}{
		"malformed JSON":  {path: "/v1/completions", key: key, body: strings.NewReader(`{"model`), status: 400, code: "malformed_request"},
		"body too large":  {path: "/v1/completions", key: key, body: strings.NewReader(strings.Repeat("x", 1001)), status: 413, code: "body_too_large"},
		"chunked body":    {path: "/v1/completions", key: key, body: io.MultiReader(strings.NewReader(strings.Repeat("x", 1001))), status: 413, code: "body_too_large"},
		"slow body":       {path: "/v1/completions", key: key, body: neverEnding, status: 408, code: "malformed_request"},
		"large headers":   {path: "/v1/completions", key: key, body: strings.NewReader(good), header: strings.Repeat("x", 2000), status: 431, code: "headers_too_large"},
		"missing key":     {path: "/v1/completions", body: strings.NewReader(good), status: 401, code: "missing_key"},
		"wrong key":       {path: "/v1/completions", key: "x", body: strings.NewReader(good), status: 401, code: "invalid_key"},
		"unknown model":   {path: "/v1/completions", key: key, body: strings.NewReader(`{"model":"x","prompt":"x"}`), status: 404, code: "unknown_model"},
		"unknown path":    {path: "/x", key: key, status: 404, code: "unknown_route"},
		"wrong method":    {method: "PUT", path: "/v1/completions", key: key, status: 405, code: "unknown_route"},
		"models, no key":  {method: "GET", path: "/v1/models", status: 401, code: "missing_key"},
		"model not there": {method: "GET", path: "/v1/models/x", key: key, status: 404, code: "unknown_model"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			if c.method == "" {
				c.method = http.MethodPost
			}
			req, err := http.NewRequestWithContext(t.Context(), c.method, f.url+c.path, c.body)
			g.Expect(err).NotTo(HaveOccurred())
			if c.key != "" {
				req.Header.Set("Authorization", "Bearer "+c.key)
			}
			req.Header.Set("X-Padding", c.header)
			res, err := new(http.Transport).RoundTrip(req)
			g.Expect(err).NotTo(HaveOccurred())
			defer res.Body.Close()
			var body struct {
				Error struct{ Message, Type, Code, Outcome, Request_id string }
			}
			g.Expect(json.NewDecoder(res.Body).Decode(&body)).To(Succeed())
			g.Expect(res.StatusCode).To(Equal(c.status))
			g.Expect(body.Error.Code).To(Equal(c.code))
			g.Expect(body.Error.Outcome).To(Equal("not-run"))
			g.Expect(body.Error.Type).NotTo(BeEmpty())
			g.Expect(body.Error.Request_id).To(Equal(res.Header.Get("X-Request-Id")))
			g.Expect(res.Header.Get("X-Boragecourse-Outcome")).To(Equal("not-run"))
		})
	}
	f.verify()
	f.Expect(f.p.Report().Requests).To(BeEmpty())
	f.Expect(f.booking.Report().RanByRequest).To(BeEmpty())
}

// Guards against a failure after the start of a stream that is indistinguishable from its regular end, and against a
// status 500 with outcome not-run after a panic.
func TestFailuresAfterTheStart(t *testing.T) {
	f := newFleet(t, api.Options{})
	client := f.client()
	f.d.SetFaults(standin.Faults{LoseStreams: 9, LoseAfter: 2, FailResumes: 9, FailCalls: 0})
	stream := client.Chat.Completions.NewStreaming(t.Context(), chat())
	text := ""
	for stream.Next() {
		f.d.SetFaults(standin.Faults{LoseStreams: 9, FailResumes: 9, FailCalls: 99})
		for _, c := range stream.Current().Choices {
			text += c.Delta.Content
		}
	}
	f.Expect(stream.Err()).To(MatchError(ContainSubstring("retries_exhausted")))
	f.Expect(standin.Answer(prompt, 9)).To(HavePrefix(text))
	f.panics.Store(true)
	_, err := client.Chat.Completions.New(t.Context(), chat())
	var failed *openai.Error
	f.Expect(errors.As(err, &failed)).To(BeTrue())
	f.Expect(failed.StatusCode).To(Equal(500))
	f.Expect(failed.Response.Header.Get("X-Boragecourse-Outcome")).To(Equal("unknown"))
	f.Expect(failed.Response.Header.Get("X-Should-Retry")).To(Equal("false"))
	f.verify()
}

// Guards against leaked reservations when a caller disconnects while sending the body or receiving the stream.
func TestVanishedCallers(t *testing.T) {
	f := newFleet(t, api.Options{})
	addr := strings.TrimPrefix(f.url, "http://")
	body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":100000,"stream":true}`, prompt)
	for _, sent := range []int{10, len(body)} {
		c, err := net.Dial("tcp", addr)
		f.Expect(err).NotTo(HaveOccurred())
		_, err = fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
			key, len(body), body[:sent])
		f.Expect(err).NotTo(HaveOccurred())
		if sent == len(body) {
			_, err = bufio.NewReader(c).ReadString('}')
			f.Expect(err).NotTo(HaveOccurred())
		}
		f.Expect(c.Close()).To(Succeed())
	}
	f.verify()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Expect(len(f.charges)).To(BeNumerically("<=", 1))
}

// Guards against forwarding the caller's key or cookies to a plain service, against forwarding internal headers to the
// caller, and against an incomplete response.
func TestPlainService(t *testing.T) {
	f := newFleet(t, api.Options{})
	big := bytes.Repeat([]byte("room 7 "), 100_000)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, f.url+"/booking/reserve?night=3", bytes.NewReader(big))
	f.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Cookie", key)
	res, err := new(http.Transport).RoundTrip(req)
	f.Expect(err).NotTo(HaveOccurred())
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(res.StatusCode).To(Equal(200))
	f.Expect(res.Header).NotTo(HaveKey("X-Boragecourse-Attempt"))
	f.Expect(len(answer)).To(BeNumerically(">", len(big)))
	f.verify()
	f.Expect(f.charges).To(HaveLen(1))
	f.Expect(f.charges[0].CostTokens).To(BeEquivalentTo(50))
}
