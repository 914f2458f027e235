package faults

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/boragecourse/boragecourse/internal/assembly"
	"github.com/boragecourse/boragecourse/internal/charge"
	"github.com/boragecourse/boragecourse/internal/claim"
	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/quota"
	"github.com/boragecourse/boragecourse/internal/request"
	"github.com/boragecourse/boragecourse/internal/rules"
	"github.com/boragecourse/boragecourse/test/fleet"
)

// defects are cases with a deliberately defective part, each of which must violate the invariant in flags. They guard
// against checks that cannot fail.
var defects = []struct {
	name, flags string
	step        step
	fault       fault
	options     fleet.Options
}{
	{"aborts without effect", "I1", atPrefill, stall, routerWith(func(d *request.Deps) { d.Engines = engineDirectoryWithoutAborts{d.Engines} })},
	{"sink that answers twice", "I2", atDecode, noFault, fleet.Options{WrapSink: func(c *fleet.Call) fleet.Sink { return repeatingSink{c} }}},
	{"keys of other workspaces", "I3", atDecode, noFault, routerWith(func(d *request.Deps) { d.Config = &wrongKeys{Reader: d.Config} })},
	{"key sent to engines", "I4", atDecode, noFault, routerWith(func(d *request.Deps) { d.Engines = leakingEngines{d.Engines} })},
	{"configuration that never changes", "I5", atDecode, keyWithdrawn, routerWith(func(d *request.Deps) { d.Config = &staleConfig{Reader: d.Config} })},
	{"limiter that always grants", "I6", atDecode, noFault, routerWith(func(d *request.Deps) { d.Limiter = unlimited{} })},
	{"text of another answer", "I7", atDecode, noFault, routerWith(func(d *request.Deps) { d.Engines = alteringEngines{d.Engines} })},
	{"calls that ran and are reported as not sent", "I8", atDispatch, noFault, routerWith(func(d *request.Deps) { d.Engines = misreportingServices{d.Engines} })},
	{"claims that are always granted", "I9", atRepeat, noFault, routerWith(func(d *request.Deps) { d.Claims = alwaysGrantedClaims{} })},
	{"server that is not seen to leave", "I10", atDecode, leavingService, fleet.Options{}},
	{"shutdown that does not wait", "I11", atDecode, abruptDrain, fleet.Options{}},
	{"store that does not compare", "I12", atArrival, both(storeSlow, race), fleet.Options{IgnoreConditions: true}},
	{"charges written twice", "I13", atDecode, noFault, routerWith(func(d *request.Deps) { d.Charges = doubledCharges{d.Charges} })},
	{"sink that loses an event", "I14", atDecode, noFault, fleet.Options{WrapSink: func(c *fleet.Call) fleet.Sink { return &lossySink{Call: c} }}},
}

// routerWith rebuilds the router with changed dependencies.
func routerWith(change func(*request.Deps)) fleet.Options {
	return fleet.Options{ModifyParts: func(p *assembly.Components) {
		d := p.Router.Deps
		change(&d)
		p.Router = request.New(d, request.Settings{})
	}}
}

// leavingService sends a call to a server 4 s after it was set to leaving; hosts have 3 s to stop using it.
var leavingService = fault{name: "service set to leaving", lasts: 5 * time.Second, inject: func(t *trial) {
	serviceLeaves.inject(t)
	t.pass(4 * time.Second)
	s := t.serving.Router.Engines.Service("s-a", "")
	_, _ = s.Do(context.Background(), engine.Attempt{ID: "late.1"}, &http.Request{Method: http.MethodGet, URL: urlOf(fleet.PathStatus), Header: http.Header{}})
}}

// abruptDrain kills the host while its drain waits for open requests.
var abruptDrain = fault{name: "abrupt drain", lasts: momentary, inject: func(t *trial) {
	t.leave(t.serving)
	t.serving.Kill()
}}

type repeatingSink struct{ *fleet.Call }

func (s repeatingSink) Done() error {
	_ = s.Call.Done()
	return s.Call.Done()
}

type lossySink struct {
	*fleet.Call
	events int
}

func (s *lossySink) Event(data []byte) error {
	if s.events++; s.events > 2 && s.events < 5 {
		return nil
	}
	return s.Call.Event(data)
}

type engineDirectoryWithoutAborts struct{ engine.Directory }

func (d engineDirectoryWithoutAborts) Server(name, addr string) engine.Server {
	return engineWithoutAborts{d.Directory.Server(name, addr)}
}

type engineWithoutAborts struct{ engine.Server }

func (engineWithoutAborts) Abort(context.Context, string) error { return nil }

type leakingEngines struct{ engine.Directory }

func (d leakingEngines) Server(name, addr string) engine.Server {
	return leakingEngine{d.Directory.Server(name, addr)}
}

type leakingEngine struct{ engine.Server }

func (s leakingEngine) Prefill(ctx context.Context, c engine.Call) (engine.KVCacheHandle, error) {
	c.Body = bytes.Replace(c.Body, []byte("{"), []byte(`{"user":"`+fleet.DefaultRules().Keys["guests"]+`",`), 1)
	return s.Server.Prefill(ctx, c)
}

type alteringEngines struct{ engine.Directory }

func (d alteringEngines) Server(name, addr string) engine.Server {
	return alteringEngine{d.Directory.Server(name, addr)}
}

type alteringEngine struct{ engine.Server }

func (s alteringEngine) Decode(ctx context.Context, c engine.Call, kv *engine.KVCacheHandle) (engine.Stream, error) {
	st, err := s.Server.Decode(ctx, c, kv)
	return alteredStream{st}, err
}

type alteredStream struct{ engine.Stream }

func (s alteredStream) Next() (engine.Chunk, error) {
	c, err := s.Stream.Next()
	c.Data = bytes.ReplaceAll(c.Data, []byte("3 "), []byte("4 "))
	return c, err
}

type misreportingServices struct{ engine.Directory }

func (d misreportingServices) Service(name, addr string) engine.Service {
	return misreportingService{d.Directory.Service(name, addr)}
}

type misreportingService struct{ engine.Service }

func (s misreportingService) Do(ctx context.Context, a engine.Attempt, r *http.Request) (*http.Response, error) {
	res, err := s.Service.Do(ctx, a, r)
	if err == nil {
		_ = res.Body.Close()
	}
	return nil, &engine.ConnectError{Server: s.Name(), Cause: err}
}

type staleConfig struct{ config.Reader }

func (c *staleConfig) Current() *config.Snapshot {
	s := c.Reader.Current()
	if s == nil || s.Generation == 1 {
		return s
	}
	return config.NewSnapshot(1, rulesOf(fleet.DefaultRules()))
}

type wrongKeys struct{ config.Reader }

func (c *wrongKeys) Current() *config.Snapshot {
	s := c.Reader.Current()
	if s == nil {
		return nil
	}
	r := fleet.DefaultRules()
	r.Keys = map[string]string{"guests": r.Keys["tight"], "tight": r.Keys["guests"], "crew": r.Keys["crew"], "island": r.Keys["island"]}
	return config.NewSnapshot(s.Generation, rulesOf(r))
}

type unlimited struct{}

func (unlimited) Reserve(context.Context, string, int64) (quota.Reservation, error) {
	return granted{}, nil
}

type granted struct{}

func (granted) Use(int64) {}
func (granted) Close()    {}

type alwaysGrantedClaims struct{}

func (alwaysGrantedClaims) Claim(context.Context, claim.Call) (claim.Ticket, *claim.Response, error) {
	return ticket{}, nil, nil
}

type ticket struct{}

func (ticket) Dispatching() error                         { return nil }
func (ticket) Done(context.Context, claim.Response) error { return nil }
func (ticket) GiveUp(context.Context) error               { return nil }
func (ticket) NotRun(context.Context) error               { return nil }
func (ticket) Unknown(context.Context) error              { return nil }

type doubledCharges struct{ charge.Writer }

func (w doubledCharges) Add(r charge.Record) {
	w.Writer.Add(r)
	w.Writer.Add(r)
}

func urlOf(path string) *url.URL { return &url.URL{Path: path} }

func rulesOf(r fleet.Rules) []rules.Rule {
	f, err := rules.Parse("rules", []byte(r.Text()))
	if err != nil {
		panic(err)
	}
	return f.Rules()
}
