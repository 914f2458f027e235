package request

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/boragecourse/boragecourse/internal/charge"
	"github.com/boragecourse/boragecourse/internal/claim"
	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/logging"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/outcome"
	"github.com/boragecourse/boragecourse/internal/rules"
	standin "github.com/boragecourse/boragecourse/test/standin/engine"
	"github.com/boragecourse/boragecourse/test/standin/memstore"
	"github.com/boragecourse/boragecourse/test/standin/service"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	secret     = "secret-key/1"
	promptText = "hello lighthouse"
)

// fixture is a router with stand-in dependencies and in-process backend servers.
type fixture struct {
	*Router
	*GomegaWithT
	t *testing.T

	mu        sync.Mutex
	snap      *config.Snapshot
	configErr error
	fleet     *standin.Fleet
	engines   map[string]*standin.Core
	services  map[string]*service.Service
	down      map[string]bool
	store     *memstore.Client
	// quotaLeft is the level of the quota bucket. quotaErr and placeErr are returned by the stand-ins; placements wait
	// until block is closed.
	quotaLeft, quotaUsed int64
	quotaErr, placeErr   error
	chargesErr           error
	block                chan struct{}
	transfer             time.Duration
	openQuota, openSlots int
	charges              []charge.Record
	log                  strings.Builder
	failed               []string
	requests             int
}

func rulesOf(keys ...string) []rules.Rule {
	all := []rules.Rule{
		&rules.Zone{Name: "z", Share: 1},
		&rules.Workspace{Name: "w", Rate: 1000, Burst: 1 << 20, Origin: rules.Origin{Line: 7, Who: "ana"}},
		&rules.Route{Path: pathCompletions, Model: "m", Repeatable: true, Class: rules.ClassWait},
		&rules.Route{Path: pathCompletions, Model: "both", Repeatable: true},
		&rules.Route{Path: pathCompletions, Model: "once"},
		&rules.Route{Path: pathChat, Model: "m", Repeatable: true},
		&rules.Route{Path: "/booking/status/*", Pool: "s", Repeatable: true, Cost: 5},
		&rules.Route{Path: "/booking/reserve", Pool: "s", Cost: 50},
		&rules.Route{Path: "/open", Pool: "s", Repeatable: true, Open: true},
		&rules.Route{Path: "/nowhere", Pool: "none", Repeatable: true, Cost: 1},
	}
	for _, k := range keys {
		all = append(all, &rules.Key{Workspace: "w", KeyID: "k1", Hash: rules.HashKey(k)})
	}
	for name, role := range map[string]rules.Role{
		"p1": rules.RolePrefill, "p2": rules.RolePrefill, "d1": rules.RoleDecode, "d2": rules.RoleDecode,
	} {
		for _, model := range []string{"m", "once"} {
			all = append(all, &rules.Server{Name: name, Addr: name + ":1", Role: role, Model: model})
		}
	}
	for _, name := range []string{"b1", "b2"} {
		all = append(all, &rules.Server{Name: name, Addr: name + ":1", Role: rules.RoleBoth, Model: "both"})
	}
	for _, name := range []string{"s1", "s2"} {
		all = append(all, &rules.Server{Name: name, Addr: name + ":1", Role: rules.RoleService, Pool: "s"})
	}
	return all
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{
		GomegaWithT: NewWithT(t), t: t, snap: config.NewSnapshot(3, rulesOf(secret)), fleet: standin.NewFleet(),
		engines: map[string]*standin.Core{}, services: map[string]*service.Service{}, down: map[string]bool{},
		store: memstore.New().Client(), quotaLeft: 1 << 20,
	}
	for name, s := range f.snap.Servers() {
		if s.Role == rules.RoleService {
			f.services[name] = service.New(name)
			f.services[name].RegisterSecret(secret)
			f.services[name].SetOnce(func(path string) bool { return path == "/booking/reserve" })
			continue
		}
		c := standin.New(standin.Config{Name: name, Addr: s.Addr, Role: standin.Role(s.Role)}, f.fleet)
		c.RegisterSecret(secret)
		f.engines[name] = c
	}
	m := metrics.New()
	f.Router = New(Deps{
		Config: f, Limiter: f, Placer: f, Charges: f, Engines: f, Metrics: m, Log: logging.New(&f.log, 0),
		Claims: claim.New(claim.Config{}, f.store, nil, f, m, logr.Discard()),
		Self:   host.ID{Name: "h1", Incarnation: 9},
	}, Settings{})
	return f
}

// sink records a response.
type sink struct {
	events, text strings.Builder
	finishes     int
	done         bool
	status       int
	header       http.Header
	body         string
	fail         error
}

func (s *sink) Event(data []byte) error {
	if s.fail != nil {
		return s.fail
	}
	s.events.Write(data)
	var w assembly
	if err := w.add(data); err != nil {
		return err
	}
	if w.choice != nil {
		text, _ := w.choice["text"].(string)
		if delta, ok := w.choice["delta"].(map[string]any); ok {
			content, _ := delta["content"].(string)
			text += content
		}
		s.text.WriteString(text)
		if w.choice["finish_reason"] != nil {
			s.finishes++
		}
	}
	return nil
}

func (s *sink) Done() error { s.done = true; return s.fail }

func (s *sink) Response(status int, header http.Header, body io.Reader) error {
	data, err := io.ReadAll(body)
	s.status, s.header, s.body = status, header, string(data)
	return errors.Join(err, s.fail)
}

func (f *fixture) input(path, body string) *Input {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests++
	u, err := url.Parse(path)
	f.Expect(err).NotTo(HaveOccurred())
	return &Input{
		ID: "r" + string(rune('a'+f.requests)), Method: http.MethodPost, URL: u, Header: http.Header{}, Body: []byte(body),
		Key: secret, Arrived: time.Now(),
	}
}

// result is the response or error that a caller received.
type result struct {
	*sink
	err *outcome.Error
}

func (f *fixture) run(ctx context.Context, in *Input) result {
	s := &sink{}
	err := f.Check(in)
	if err == nil {
		err = f.Do(ctx, in, s)
	}
	r := result{sink: s}
	errors.As(err, &r.err)
	return r
}

// serverWork sums the work that all backend servers did for a request.
func (f *fixture) serverWork(id string) (w standin.Work) {
	for _, c := range f.engines {
		one := c.Report().Requests[id]
		w.Prefills += one.Prefills
		w.Decodes += one.Decodes
		w.PromptTokens += one.PromptTokens
		w.GeneratedTokens += one.GeneratedTokens
	}
	for _, s := range f.services {
		w.Decodes += s.Report().RanByRequest[id]
	}
	return w
}

// verify checks that the request left no reservations and nothing on backend servers, that its outcome and charge match
// the work that the servers did, and that the log does not contain the key.
func (f *fixture) verify(in *Input, r result) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f.Expect(f.releases.flush(ctx)).To(Succeed())
	for name, c := range f.engines {
		rep := c.Report()
		f.Expect(rep.Held).To(BeEmpty(), "engine %s", name)
		f.Expect(rep.Violations).To(BeEmpty(), "engine %s", name)
	}
	for name, s := range f.services {
		f.Expect(s.Report().Violations).To(BeEmpty(), "service %s", name)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Expect(f.openQuota).To(BeZero(), "open quota reservations")
	f.Expect(f.openSlots).To(BeZero(), "open placement reservations")
	work := f.serverWork(in.ID)
	if r.err != nil && r.err.Outcome == outcome.NotRun {
		f.Expect(work).To(Equal(standin.Work{}), "a request that is reported as not-run")
	}
	f.Expect(f.log.String()).NotTo(ContainSubstring(secret))
	f.Expect(strings.Count(f.log.String(), "request="+in.ID+" path")).To(Equal(1), "log lines of the request")
	charged := 0
	for _, c := range f.charges {
		if c.RequestID != in.ID {
			continue
		}
		charged++
		f.Expect(c.PromptTokens).To(BeNumerically("<=", work.PromptTokens))
		f.Expect(c.OutputTokens).To(BeNumerically("<=", work.GeneratedTokens))
		f.Expect(c.CostTokens == 0 || work.Decodes > 0).To(BeTrue(), "charge for a call that did not run")
		f.Expect(c.Rule.Who).To(Equal("ana"))
	}
	f.Expect(charged).To(BeNumerically("<=", 1))
}
