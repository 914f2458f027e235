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

// Times of the fake engines: a prompt of 200 tokens takes 100 ms to prefill and 100 ms to transfer, so that each
// step is long enough for a fault in its middle.
const (
	prefillPerToken = 500 * time.Microsecond
	linkRate        = 2000
)

// addBackendServers makes one of each role in zones a and b. Names end with the zone.
func (f *Fleet) addBackendServers() {
	for _, zone := range []string{"a", "b"} {
		for name, role := range map[string]standin.Role{"p-": standin.Prefill, "d-": standin.Decode} {
			f.Cores[name+zone] = standin.New(standin.Config{
				Name: name + zone, Addr: addrOf(name + zone), Role: role, Model: Model, Slots: Slots,
				PrefillPerToken: prefillPerToken, LinkRate: linkRate, EventGapEvery: f.EventGapEvery,
			}, f.engines)
		}
		f.Services["s-"+zone] = service.New("s-" + zone)
		f.Services["s-"+zone].SetOnce(func(path string) bool { return path == PathReserve })
	}
	for _, key := range DefaultRules().Keys {
		for _, c := range f.Cores {
			c.RegisterSecret(key)
		}
		for _, s := range f.Services {
			s.RegisterSecret(key)
		}
	}
}

// Cross makes the next n answers of a backend server carry another attempt's id.
func (f *Fleet) Cross(server string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crossed[server] = n
}

// answered ends a call that reached the server: an answer to a dead process, over a cut link or with another
// attempt's id is dropped, as the adapter does.
func (f *Fleet) answered(d *directory, server string) error {
	if err := d.reach(server); err != nil {
		return &engine.FailedError{Server: server, Cause: errors.Unwrap(err)}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.crossed[server] > 0 {
		f.crossed[server]--
		return &engine.FailedError{Server: server, Status: http.StatusOK, Cause: errCrossed}
	}
	return nil
}

func (f *Fleet) noteWork(server, attempt, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.work = append(f.work, Work{time.Now(), server, attempt, from})
}

// directory gives one process access to the backend servers.
type directory struct {
	fleet *Fleet
	host  *Host
	p     *process
}

// reach fails like a connection that cannot be made.
func (d *directory) reach(server string) error {
	zone := server[len(server)-1:]
	d.fleet.mu.Lock()
	cut := d.fleet.cuts[[2]string{d.host.Zone, zone}]
	d.fleet.mu.Unlock()
	switch {
	case d.p.dead.Load():
		return &engine.ConnectError{Server: server, Cause: errDead}
	case cut:
		return &engine.ConnectError{Server: server, Cause: errCut}
	}
	return nil
}

// Server implements engine.Directory.
func (d *directory) Server(name, addr string) engine.Server {
	return &server{d.fleet.engines.Server(name, addr), d}
}

// Service implements engine.Directory.
func (d *directory) Service(name, _ string) engine.Service { return &plain{name, d} }

// server is a process's client of an engine.
type server struct {
	engine.Server
	d *directory
}

func (s *server) Prefill(ctx context.Context, c engine.Call) (engine.KVHandle, error) {
	if err := s.d.reach(s.Name()); err != nil {
		return engine.KVHandle{}, err
	}
	s.d.fleet.noteWork(s.Name(), c.Attempt.ID, s.d.host.Name)
	s.d.fleet.step("prefill", c.Attempt.ID)
	kv, err := s.Server.Prefill(ctx, c)
	if err == nil {
		err = s.d.fleet.answered(s.d, s.Name())
	}
	return kv, err
}

func (s *server) Decode(ctx context.Context, c engine.Call, kv *engine.KVHandle) (engine.Stream, error) {
	if err := s.d.reach(s.Name()); err != nil {
		return nil, err
	}
	s.d.fleet.noteWork(s.Name(), c.Attempt.ID, s.d.host.Name)
	s.d.fleet.step("transfer", c.Attempt.ID)
	st, err := s.Server.Decode(ctx, c, kv)
	if err == nil {
		err = s.d.fleet.answered(s.d, s.Name())
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

// stream breaks when the link is cut.
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

// plain is a process's client of a plain service.
type plain struct {
	name string
	d    *directory
}

func (s *plain) Name() string { return s.name }

// Do implements engine.Service without a network, with the errors of the HTTP adapter.
func (s *plain) Do(ctx context.Context, a engine.Attempt, r *http.Request) (res *http.Response, err error) {
	if err := s.d.reach(s.name); err != nil {
		return nil, err
	}
	s.d.fleet.noteWork(s.name, a.ID, s.d.host.Name)
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
	if err := s.d.fleet.answered(s.d, s.name); err != nil {
		return nil, err
	}
	if w.Header().Get(openai.HeaderNotRun) != "" {
		return nil, &engine.RefusedError{Server: s.name, Status: w.Code}
	}
	return w.Result(), nil
}
