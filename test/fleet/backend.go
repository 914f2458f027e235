package fleet

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/engine/openai"
	standin "github.com/boragecourse/boragecourse/test/standin/engine"
	"github.com/boragecourse/boragecourse/test/standin/service"
)

// Speeds of the simulated engines: a prompt of 200 tokens takes 100 ms to prefill and 100 ms to transfer, so that a
// fault can be injected in the middle of each step.
const (
	prefillPerToken = 500 * time.Microsecond
	linkRate        = 2000
)

// addBackendServers creates one backend server of each role in zones a and b. The last letter of a name is the zone.
func (f *Fleet) addBackendServers() {
	for _, zone := range []string{"a", "b"} {
		for name, role := range map[string]standin.Role{"p-": standin.Prefill, "d-": standin.Decode} {
			f.Engines[name+zone] = standin.New(standin.Config{
				Name: name + zone, Addr: addrOf(name + zone), Role: role, Model: Model, Slots: Slots,
				PrefillPerToken: prefillPerToken, LinkRate: linkRate, EventGapEvery: f.EventGapEvery,
			}, f.engines)
		}
		f.Services["s-"+zone] = service.New("s-" + zone)
		f.Services["s-"+zone].SetOnce(func(path string) bool { return path == PathReserve })
	}
	for _, key := range DefaultRules().Keys {
		for _, c := range f.Engines {
			c.RegisterSecret(key)
		}
		for _, s := range f.Services {
			s.RegisterSecret(key)
		}
	}
}

// MismatchAttempts makes the next n responses of a backend server carry the id of another attempt.
func (f *Fleet) MismatchAttempts(server string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mismatches[server] = n
}

// checkResponse returns the error with which the HTTP adapter would reject a response, or nil. It rejects a response if
// the calling process has ended, the link is cut or the response carries the id of another attempt.
func (f *Fleet) checkResponse(d *directory, server string) error {
	if err := d.reach(server); err != nil {
		return &engine.FailedError{Server: server, Cause: errors.Unwrap(err)}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mismatches[server] > 0 {
		f.mismatches[server]--
		return &engine.FailedError{Server: server, Status: http.StatusOK, Cause: errAttemptMismatch}
	}
	return nil
}

func (f *Fleet) recordWork(server, attempt, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.work = append(f.work, BackendCall{time.Now(), server, attempt, from})
}

// directory gives one process access to the backend servers. Calls fail once the process has ended or while the zones
// are partitioned.
type directory struct {
	fleet *Fleet
	host  *Host
	p     *process
}

// reach returns the error of a failed connection attempt if the process has ended or the link to the server's zone is
// cut, and otherwise nil.
func (d *directory) reach(server string) error {
	zone := server[len(server)-1:]
	d.fleet.mu.Lock()
	cut := d.fleet.cuts[[2]string{d.host.Zone, zone}]
	d.fleet.mu.Unlock()
	switch {
	case d.p.dead.Load():
		return &engine.ConnectError{Server: server, Cause: errProcessEnded}
	case cut:
		return &engine.ConnectError{Server: server, Cause: errCut}
	}
	return nil
}

// reachFor is reach for a call of an attempt, which MaySend may stop before it counts as work.
func (d *directory) reachFor(server string, a engine.Attempt) error {
	if err := d.reach(server); err != nil || a.MaySend == nil {
		return err
	}
	if err := a.MaySend(); err != nil {
		return &engine.NotSentError{Server: server, Cause: err}
	}
	return nil
}

// Server implements engine.Directory.
func (d *directory) Server(name, addr string) engine.Server {
	return &server{d.fleet.engines.Server(name, addr), d}
}

// Service implements engine.Directory.
func (d *directory) Service(name, _ string) engine.Service { return &serviceClient{name, d} }

// server is one process's client of an engine.
type server struct {
	engine.Server
	d *directory
}

func (s *server) Prefill(ctx context.Context, c engine.Call) (engine.KVCacheHandle, error) {
	if err := s.d.reachFor(s.Name(), c.Attempt); err != nil {
		return engine.KVCacheHandle{}, err
	}
	s.d.fleet.recordWork(s.Name(), c.Attempt.ID, s.d.host.Name)
	s.d.fleet.step("prefill", c.Attempt.ID)
	kv, err := s.Server.Prefill(ctx, c)
	if err == nil {
		err = s.d.fleet.checkResponse(s.d, s.Name())
	}
	return kv, err
}

func (s *server) Decode(ctx context.Context, c engine.Call, kv *engine.KVCacheHandle) (engine.Stream, error) {
	if err := s.d.reachFor(s.Name(), c.Attempt); err != nil {
		return nil, err
	}
	s.d.fleet.recordWork(s.Name(), c.Attempt.ID, s.d.host.Name)
	s.d.fleet.step("transfer", c.Attempt.ID)
	st, err := s.Server.Decode(ctx, c, kv)
	if err == nil {
		err = s.d.fleet.checkResponse(s.d, s.Name())
	}
	if err != nil {
		return nil, err
	}
	return &stream{Stream: st, s: s, id: c.Attempt.ID}, nil
}

func (s *server) Resume(ctx context.Context, a engine.Attempt, offset int64) (engine.Stream, error) {
	if err := s.d.reach(s.Name()); err != nil {
		return nil, err
	}
	st, err := s.Server.Resume(ctx, a, offset)
	if err != nil {
		return nil, err
	}
	return &stream{Stream: st, s: s, id: a.ID, offset: offset}, nil
}

func (s *server) Abort(ctx context.Context, attempt string) error {
	if err := s.d.reach(s.Name()); err != nil {
		return err
	}
	return s.Server.Abort(ctx, attempt)
}

func (s *server) Load(ctx context.Context) (engine.LoadReport, error) {
	if err := s.d.reach(s.Name()); err != nil {
		return engine.LoadReport{}, err
	}
	return s.Server.Load(ctx)
}

func (s *server) Holdings(ctx context.Context) ([]engine.Holding, error) {
	if err := s.d.reach(s.Name()); err != nil {
		return nil, err
	}
	return s.Server.Holdings(ctx)
}

func (s *server) CacheEvents(ctx context.Context, after uint64) ([]engine.CacheEvent, error) {
	if err := s.d.reach(s.Name()); err != nil {
		return nil, err
	}
	return s.Server.CacheEvents(ctx, after)
}

// stream fails with a StreamLostError once the link to the engine is cut.
type stream struct {
	engine.Stream
	s      *server
	id     string
	offset int64
}

func (s *stream) Next() (engine.Chunk, error) {
	c, err := s.Stream.Next()
	if err != nil {
		return c, err
	}
	if err := s.s.d.reach(s.s.Name()); err != nil {
		return engine.Chunk{}, &engine.StreamLostError{Server: s.s.Name(), Offset: s.offset, Cause: err}
	}
	s.offset = c.Offset + c.Tokens
	s.s.d.fleet.step("decode", s.id)
	return c, nil
}

// serviceClient is one process's client of a service.
type serviceClient struct {
	name string
	d    *directory
}

func (s *serviceClient) Name() string { return s.name }

// Do implements engine.Service by calling the handler directly; it returns the errors that the HTTP adapter would.
func (s *serviceClient) Do(ctx context.Context, a engine.Attempt, r *http.Request) (res *http.Response, err error) {
	if err := s.d.reachFor(s.name, a); err != nil {
		return nil, err
	}
	s.d.fleet.recordWork(s.name, a.ID, s.d.host.Name)
	s.d.fleet.step("dispatched", a.ID)
	defer func() {
		if recover() != nil {
			res, err = nil, &engine.FailedError{Server: s.name, Cause: io.ErrUnexpectedEOF}
		}
	}()
	in := r.Clone(ctx)
	in.Header.Set(openai.HeaderRequestID, a.ID[:strings.LastIndexByte(a.ID, '.')])
	if in.Body == nil {
		in.Body = http.NoBody
	}
	w := httptest.NewRecorder()
	s.d.fleet.Services[s.name].ServeHTTP(w, in)
	if ctx.Err() != nil {
		return nil, &engine.FailedError{Server: s.name, Cause: ctx.Err()}
	}
	if err := s.d.fleet.checkResponse(s.d, s.name); err != nil {
		return nil, err
	}
	if w.Header().Get(openai.HeaderNotRun) != "" {
		return nil, &engine.RefusedError{Server: s.name, Status: w.Code}
	}
	return w.Result(), nil
}
