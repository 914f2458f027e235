package request

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/boragecourse/boragecourse/internal/charge"
	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/placement"
	"github.com/boragecourse/boragecourse/internal/quota"
	"github.com/boragecourse/boragecourse/internal/rules"
)

// Current implements config.Reader.
func (f *fixture) Current() *config.Snapshot { f.mu.Lock(); defer f.mu.Unlock(); return f.snap }

// KeyedRequestsAllowed implements config.Reader.
func (f *fixture) KeyedRequestsAllowed(string) error { return f.configErr }

func (f *fixture) install(s *config.Snapshot) {
	f.mu.Lock()
	f.snap = s
	f.mu.Unlock()
	f.ConfigChanged(s)
}

// Self, Epoch, CheckAuthority and Reachable implement membership.Viewer for the claim service.
func (f *fixture) Self() host.ID { return host.ID{Name: "h1", Incarnation: 9} }
func (f *fixture) Epoch() membership.Epoch {
	return membership.Epoch{Number: 1, Hosts: []host.ID{f.Self()}}
}
func (f *fixture) CheckAuthority(time.Time) error { return nil }
func (f *fixture) Reachable(host.ID) bool         { return true }

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

// Accepting implements charge.Writer.
func (f *fixture) Accepting() error { return f.chargesErr }

// Add implements charge.Writer.
func (f *fixture) Add(r charge.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.charges = append(f.charges, r)
}

// slot returns the first active server by name that has one of the roles, and counts its reservation.
func (f *fixture) slot(all []*rules.Server, exclude []string, roles ...rules.Role) (*rules.Server, func()) {
	var best *rules.Server
	for _, s := range all {
		excluded := s.State == rules.ServerLeaving
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

// wait blocks until the fixture's block channel is closed, so that requests stay queued.
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

// allEvacuated reports whether both zones of zonedRules are evacuated.
func (f *fixture) allEvacuated() bool {
	return f.Current().Evacuated("z") && f.Current().Evacuated("y")
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
		return nil, &placement.NoServerError{Model: r.Model, Evacuated: f.allEvacuated()}
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
	return &placement.Placement{
		Prefill: prefill, Decode: decode, ReleasePrefill: func() {}, ReleaseDecode: release, Transfer: f.transfer,
	}, nil
}

// PlaceService implements placement.Placer.
func (f *fixture) PlaceService(ctx context.Context, snap *config.Snapshot, pool string, exclude []string) (*rules.Server, func(), error) {
	if err := f.wait(ctx); err != nil {
		return nil, nil, err
	}
	s, release := f.slot(snap.Pool(pool), exclude, rules.RoleService)
	if s == nil {
		return nil, nil, &placement.NoServerError{Pool: pool, Evacuated: f.allEvacuated()}
	}
	return s, release, nil
}

// Observe implements placement.Placer.
func (f *fixture) Observe(o placement.Observation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if o.Failed {
		f.failed = append(f.failed, string(o.Stage)+" "+o.Server)
	}
}

// Server and Service implement engine.Directory.
func (f *fixture) Server(name, addr string) engine.Server { return f.fleet.Server(name, addr) }
func (f *fixture) Service(name, _ string) engine.Service  { return &memService{f, name} }

// memService calls an in-process service without a network.
type memService struct {
	f    *fixture
	name string
}

func (s *memService) Name() string { return s.name }

func (s *memService) Do(ctx context.Context, a engine.Attempt, r *http.Request) (res *http.Response, err error) {
	if s.f.down[s.name] {
		return nil, &engine.ConnectError{Server: s.name, Cause: io.ErrClosedPipe}
	}
	if err := a.MaySend(); err != nil {
		return nil, &engine.NotSentError{Server: s.name, Cause: err}
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
