package command

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/rules"
	standin "github.com/boragecourse/boragecourse/test/standin/engine"
	"github.com/boragecourse/boragecourse/test/standin/memstore"
)

var errLost = errors.New("response lost")

// fleet simulates several hosts that share one store and a set of engines. It checks at every command that no command of
// an earlier owner is applied, and that an engine without fencing checks executes only one command at a time.
type fleet struct {
	t     *testing.T
	store *memstore.Store
	fleet *standin.Fleet
	hosts map[string]*testHost

	mu         sync.Mutex
	servers    map[string]*rules.Server
	cores      map[string]*standin.Core
	open       map[string]int
	highest    map[string]int64
	violations []string
	applied    int
	loads      int
	maxLoads   int
	// execution is how long an engine executes a command; deliveryDelay delays the delivery of commands.
	execution, deliveryDelay time.Duration
	// loseResponses is the number of responses lost after the command has taken effect, cutConnections the number of
	// connections closed before that; ignoreCommands makes commands have no effect.
	loseResponses, cutConnections int
	ignoreCommands                bool
}

// testHost is a host with its own view of the epoch and its own connections to the store and the engines.
type testHost struct {
	f       *fleet
	id      host.ID
	client  *memstore.Client
	metrics *metrics.Registry
	service *Service

	mu     sync.Mutex
	epoch  []host.ID
	paused time.Time
}

func newFleet(t *testing.T, servers int, fencing rules.Fencing, v variant) *fleet {
	f := &fleet{
		t: t, store: memstore.New(), fleet: standin.NewFleet(), hosts: map[string]*testHost{},
		servers: map[string]*rules.Server{}, cores: map[string]*standin.Core{}, open: map[string]int{}, highest: map[string]int64{},
	}
	for i := range servers {
		name := fmt.Sprintf("s%d", i)
		f.cores[name] = standin.New(standin.Config{Name: name, Addr: name, Model: "m1", ChecksFencingToken: fencing == rules.FencingChecked}, f.fleet)
		f.servers[name] = &rules.Server{Name: name, Zone: "z", Addr: name, Role: rules.RoleBoth, Model: "m1", Fencing: fencing}
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for _, name := range []string{"a", "b"} {
		h := &testHost{f: f, id: host.ID{Name: name, Zone: "z", Incarnation: 1}, client: f.store.Client(), metrics: metrics.New()}
		h.service = New(Deps{Store: h.client, Viewer: h, Config: h, Engines: h, Metrics: h.metrics, Log: logr.Discard()}, Options{})
		h.service.variant = v
		f.hosts[name] = h
		running.Add(1)
		go func() { defer running.Done(); _ = h.service.Serve(ctx) }()
	}
	f.t.Cleanup(func() { cancel(); running.Wait(); time.Sleep(time.Hour) })
	return f
}

func (f *fleet) declareModel(model string) { f.edit(func(s *rules.Server) { s.Model = model }) }

// declareRole changes only the role. The command for it needs no load slot and therefore no store call.
func (f *fleet) declareRole(r rules.Role) { f.edit(func(s *rules.Server) { s.Role = r }) }

func (f *fleet) edit(change func(s *rules.Server)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, s := range f.servers {
		next := *s
		change(&next)
		f.servers[name] = &next
	}
}

// setEpochs sets the members of the epoch as seen by each of the two hosts; every letter names a member.
func (f *fleet) setEpochs(a, b string) {
	for name, members := range map[string]string{"a": a, "b": b} {
		var epoch []host.ID
		for _, m := range members {
			epoch = append(epoch, f.hosts[string(m)].id)
		}
		h := f.hosts[name]
		h.mu.Lock()
		h.epoch = epoch
		h.mu.Unlock()
	}
}

// pause blocks a host in its reads of an engine's state for d; the store stays unreachable for one second longer.
func (h *testHost) pause(d time.Duration) {
	h.mu.Lock()
	h.paused = time.Now().Add(d)
	h.mu.Unlock()
	h.client.SetDown(true)
	time.AfterFunc(d+time.Second, func() { h.client.SetDown(false) })
}

func (f *fleet) commands() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.applied
}

// violated returns a description of each invariant violation so far.
func (f *fleet) violated() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.violations...)
}

// serving reports whether every engine serves the model and the role that its rule declares.
func (f *fleet) serving(model string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, c := range f.cores {
		s, _ := c.State(context.Background())
		if s.Model != model || s.Role != string(f.servers[name].Role) {
			return false
		}
	}
	return true
}

func (h *testHost) Self() host.ID { return h.id }
func (h *testHost) Epoch() membership.Epoch {
	h.mu.Lock()
	defer h.mu.Unlock()
	return membership.Epoch{Number: 1, Hosts: h.epoch}
}
func (h *testHost) CheckAuthority(time.Time) error    { return nil }
func (h *testHost) Reachable(host.ID) bool            { return true }
func (h *testHost) KeyedRequestsAllowed(string) error { return nil }
func (h *testHost) Current() *config.Snapshot {
	h.f.mu.Lock()
	defer h.f.mu.Unlock()
	var all []rules.Rule
	for _, s := range h.f.servers {
		all = append(all, s)
	}
	return config.NewSnapshot(1, all)
}
func (h *testHost) Service(string, string) engine.Service { return nil }
func (h *testHost) Server(name, _ string) engine.Server {
	return &connection{Server: h.f.cores[name], h: h, name: name}
}

// connection is a host's connection to an engine.
type connection struct {
	engine.Server
	h    *testHost
	name string
}

func (c *connection) State(ctx context.Context) (engine.State, error) {
	s, err := c.Server.State(ctx)
	c.h.mu.Lock()
	wait := time.Until(c.h.paused)
	c.h.mu.Unlock()
	time.Sleep(wait)
	return s, err
}

// Apply delivers the command even when the caller's context has ended, as a network may do.
func (c *connection) Apply(ctx context.Context, cmd engine.Command) error {
	f := c.h.f
	f.mu.Lock()
	deliveryDelay, execution := f.deliveryDelay, f.execution
	if f.cutConnections > 0 {
		f.cutConnections--
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		ctx = short
	}
	f.mu.Unlock()
	response := make(chan error, 1)
	go func() {
		time.Sleep(deliveryDelay)
		response <- f.apply(c.name, cmd, execution)
	}()
	select {
	case err := <-response:
		return err
	case <-ctx.Done():
		return &engine.FailedError{Server: c.name, Cause: ctx.Err()}
	}
}

func (f *fleet) apply(name string, cmd engine.Command, execution time.Duration) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	unchecked := f.servers[name].Fencing == rules.FencingUnchecked
	if f.open[name]++; unchecked && f.open[name] > 1 {
		f.violations = append(f.violations, "two commands in flight at "+name)
	}
	f.loads++
	f.maxLoads = max(f.maxLoads, f.loads)
	f.mu.Unlock()
	time.Sleep(execution)
	f.mu.Lock()
	f.open[name]--
	f.loads--
	if f.ignoreCommands {
		cmd.Model, cmd.Role = "", ""
	}
	if err := f.cores[name].Apply(context.Background(), cmd); err != nil {
		return err
	}
	f.applied++
	if cmd.Fence < f.highest[name] {
		f.violations = append(f.violations, "command of an earlier owner applied at "+name)
	}
	f.highest[name] = max(f.highest[name], cmd.Fence)
	if f.loseResponses > 0 {
		f.loseResponses--
		return &engine.FailedError{Server: name, Cause: errLost}
	}
	return nil
}
