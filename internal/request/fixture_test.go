package request

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
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
	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/outcome"
	"github.com/boragecourse/boragecourse/internal/placement"
	"github.com/boragecourse/boragecourse/internal/quota"
	"github.com/boragecourse/boragecourse/internal/rules"
	standin "github.com/boragecourse/boragecourse/test/standin/engine"
	"github.com/boragecourse/boragecourse/test/standin/memstore"
	"github.com/boragecourse/boragecourse/test/standin/service"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	secret  = "secret-key/1"
	greeted = "hello lighthouse"
)

// fixture is a router with fake collaborators and fake backend servers.
type fixture struct {
	*Router
	*GomegaWithT
	t *testing.T

	mu       sync.Mutex
	snap     *config.Snapshot
	stale    error
	fleet    *standin.Fleet
	engines  map[string]*standin.Core
	services map[string]*service.Service
	down     map[string]bool
	store    *memstore.Client
	// quotaLeft is the bucket; quotaErr, placeErr and block steer the fakes.
	quotaLeft, quotaUsed int64
	quotaErr, placeErr   error
	block                chan struct{}
	openQuota, openSlots int
	charges              []charge.Record
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
		&rules.Route{Path: "/booking/status", Pool: "s", Repeatable: true, Cost: 5},
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
		Config: f, Limiter: f, Placer: f, Charges: f, Engines: f, Metrics: m, Log: logr.Discard(),
		Claims: claim.New(claim.Config{}, f.store, nil, f, m, logr.Discard()),
		Self:   host.ID{Name: "h1", Incarnation: 9},
	}, Settings{})
	return f
}

// Current implements config.Reader.
func (f *fixture) Current() *config.Snapshot { f.mu.Lock(); defer f.mu.Unlock(); return f.snap }

// KeyedRequestsAllowed implements config.Reader.
func (f *fixture) KeyedRequestsAllowed(string) error { return f.stale }

func (f *fixture) install(s *config.Snapshot) {
	f.mu.Lock()
	f.snap = s
	f.mu.Unlock()
	f.ConfigChanged(s)
}

// Self, Epoch, CanAdmit and Reachable implement membership.Viewer for the claims.
func (f *fixture) Self() host.ID { return host.ID{Name: "h1", Incarnation: 9} }
func (f *fixture) Epoch() membership.Epoch {
	return membership.Epoch{Number: 1, Hosts: []host.ID{f.Self()}}
}
func (f *fixture) CanAdmit(time.Time) error { return nil }
func (f *fixture) Reachable(host.ID) bool   { return true }

// Reserve implements quota.Limiter.
func (f *fixture) Reserve(_ context.Context, _ string, tokens int64) (quota.Reservation, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.quotaErr != nil {
		return nil, f.quotaErr
	}
	if tokens > f.quotaLeft {
		return nil, &quota.RefusedError{Workspace: "w", Tokens: tokens, RetryAfter: 2 * time.Second}
	}
	f.quotaLeft -= tokens
	f.openQuota++
	return &reservation{f: f, left: tokens}, nil
}

type reservation struct {
	f      *fixture
	left   int64
	closed bool
}

func (r *reservation) Use(n int64) {
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	n = min(n, r.left)
	r.left -= n
	r.f.quotaUsed += n
}

func (r *reservation) Close() {
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	if !r.closed {
		r.closed = true
		r.f.openQuota--
		r.f.quotaLeft += r.left
	}
}

// Add implements charge.Writer.
func (f *fixture) Add(r charge.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.charges = append(f.charges, r)
}

// slot returns the first server by name that has one of the roles, and counts its reservation.
func (f *fixture) slot(all []*rules.Server, exclude []string, roles ...rules.Role) (*rules.Server, func()) {
	var best *rules.Server
	for _, s := range all {
		excluded := false
		for _, e := range exclude {
			excluded = excluded || e == s.Name
		}
		for _, role := range roles {
			if s.Role == role && !excluded && (best == nil || s.Name < best.Name) {
				best = s
			}
		}
	}
	if best == nil {
		return nil, nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.openSlots++
	return best, sync.OnceFunc(func() { f.mu.Lock(); defer f.mu.Unlock(); f.openSlots-- })
}

// wait keeps requests in the queue while the fixture's block is open.
func (f *fixture) wait(ctx context.Context) error {
	if f.block == nil {
		return nil
	}
	select {
	case <-f.block:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Place implements placement.Placer.
func (f *fixture) Place(ctx context.Context, snap *config.Snapshot, r placement.Request) (*placement.Placement, error) {
	if err := f.wait(ctx); err != nil {
		return nil, err
	}
	if f.placeErr != nil {
		return nil, f.placeErr
	}
	prefill, release := f.slot(snap.Engines(r.Model), r.Exclude, rules.RolePrefill, rules.RoleBoth)
	if prefill == nil {
		return nil, &placement.NoServerError{Model: r.Model}
	}
	if prefill.Role == rules.RoleBoth {
		return &placement.Placement{Prefill: prefill, Decode: prefill, ReleasePrefill: release, ReleaseDecode: func() {}}, nil
	}
	p, err := f.PlaceDecode(ctx, snap, r, prefill)
	if err != nil {
		release()
		return nil, err
	}
	p.ReleasePrefill = release
	return p, nil
}

// PlaceDecode implements placement.Placer.
func (f *fixture) PlaceDecode(_ context.Context, snap *config.Snapshot, r placement.Request, prefill *rules.Server) (*placement.Placement, error) {
	decode, release := f.slot(snap.Engines(r.Model), r.Exclude, rules.RoleDecode)
	if decode == nil {
		return nil, &placement.NoServerError{Model: r.Model}
	}
	return &placement.Placement{Prefill: prefill, Decode: decode, ReleasePrefill: func() {}, ReleaseDecode: release}, nil
}

// PlaceService implements placement.Placer.
func (f *fixture) PlaceService(ctx context.Context, snap *config.Snapshot, pool string, exclude []string) (*rules.Server, func(), error) {
	if err := f.wait(ctx); err != nil {
		return nil, nil, err
	}
	s, release := f.slot(snap.Pool(pool), exclude, rules.RoleService)
	if s == nil {
		return nil, nil, &placement.NoServerError{Pool: pool}
	}
	return s, release, nil
}

// Observe implements placement.Placer.
func (f *fixture) Observe(placement.Observation) {}

// Server and Service implement engine.Directory.
func (f *fixture) Server(name, addr string) engine.Server { return f.fleet.Server(name, addr) }
func (f *fixture) Service(name, _ string) engine.Service  { return &memService{f, name} }

// memService calls a fake service without a network.
type memService struct {
	f    *fixture
	name string
}

func (s *memService) Name() string { return s.name }

func (s *memService) Do(ctx context.Context, a engine.Attempt, r *http.Request) (res *http.Response, err error) {
	if s.f.down[s.name] {
		return nil, &engine.ConnectError{Server: s.name, Cause: io.ErrClosedPipe}
	}
	defer func() {
		if recover() != nil {
			res, err = nil, &engine.FailedError{Server: s.name, Cause: io.ErrUnexpectedEOF}
		}
	}()
	in := r.Clone(ctx)
	id, _, _ := strings.Cut(a.ID, ".")
	in.Header.Set("X-Request-Id", id)
	if in.Body == nil {
		in.Body = http.NoBody
	}
	w := httptest.NewRecorder()
	s.f.services[s.name].ServeHTTP(w, in)
	if ctx.Err() != nil {
		return nil, &engine.FailedError{Server: s.name, Cause: ctx.Err()}
	}
	if w.Header().Get("X-Not-Run") != "" {
		return nil, &engine.RefusedError{Server: s.name, Status: w.Code}
	}
	return w.Result(), nil
}

// sink records an answer.
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

func (s *sink) Answer(status int, header http.Header, body io.Reader) error {
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

// result is what a caller saw.
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

// ran sums what the fakes ran for a request.
func (f *fixture) ran(id string) (w standin.Work) {
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

// verify checks that nothing is held or wrongly charged after the request, and that its outcome is true.
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
	work := f.ran(in.ID)
	if r.err != nil && r.err.Outcome == outcome.NotRun {
		f.Expect(work).To(Equal(standin.Work{}), "a request that is reported as not-run")
	}
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
