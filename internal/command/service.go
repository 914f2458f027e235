package command

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/placement"
	"github.com/boragecourse/boragecourse/internal/platform"
	"github.com/boragecourse/boragecourse/internal/rules"
	"github.com/boragecourse/boragecourse/internal/wait"
)

// Names of the metrics.
const (
	metricCommands = "commands_total"
	metricUnread   = "command_state_unread_total"
	metricDrifts   = "command_state_differs_total"
	metricWithheld = "commands_withheld_total"
	metricLeases   = "command_leases_lost_total"
)

// Deps are the parts that a Service works with.
type Deps struct {
	Store   platform.Store
	Viewer  membership.Viewer
	Config  config.Reader
	Engines engine.Directory
	Metrics *metrics.Registry
	Log     logr.Logger
}

// Service commands the servers that this host is the home host of. It is safe for concurrent use and keeps its state
// over restarts of Serve.
type Service struct {
	Deps
	opt     Options
	variant variant
	tasks   sync.WaitGroup

	mu       sync.Mutex
	machines map[string]*machine
	leaseID  platform.LeaseID
	lease    lease
	draining bool
}

// New returns a service. Nothing runs before Serve.
func New(d Deps, o Options) *Service {
	return &Service{Deps: d, opt: o.withDefaults(), machines: map[string]*machine{}}
}

// Serve owns and commands servers until ctx ends. It is a suture service. It leaves lease and ownership in place,
// so that a restart goes on with them.
func (s *Service) Serve(ctx context.Context) error {
	defer s.tasks.Wait()
	renewal := make(chan struct{})
	go func() { defer close(renewal); s.keepLease(ctx) }()
	defer func() { <-renewal }()
	ticker := time.NewTicker(s.opt.Tick)
	defer ticker.Stop()
	for {
		s.round(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Drain takes no more ownership and waits until all is handed over or ctx ends, with an *UnreleasedError. It works
// only while Serve runs.
func (s *Service) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for {
		owned := s.owned()
		if owned == 0 {
			return nil
		}
		if wait.For(ctx, s.opt.Tick) != nil {
			return &UnreleasedError{Servers: owned, Cause: ctx.Err()}
		}
	}
}

// owned counts the servers whose record in the store may be this host's.
func (s *Service) owned() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, m := range s.machines {
		if m.fence != 0 || m.claiming {
			n++
		}
	}
	return n
}

// round starts a task for each server that is due.
func (s *Service) round(ctx context.Context) {
	snap := s.Config.Current()
	if snap == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.sync(now, snap.Servers())
	for _, m := range s.machines {
		act := m.step(now, s.lease)
		if act == actNone {
			continue
		}
		m.busy = true
		s.tasks.Add(1)
		go s.run(ctx, m, act, m.rule, s.leaseID)
	}
}

// sync takes the rules and the epoch. A machine without a rule stays until its ownership has ended.
func (s *Service) sync(now time.Time, declared map[string]*rules.Server) {
	epoch := s.Viewer.Epoch()
	for name, rule := range declared {
		m, mine := s.machines[name], s.mine(epoch, rule)
		if m == nil && mine {
			m = &machine{opt: s.opt, variant: s.variant}
			s.machines[name] = m
		}
		if m != nil {
			m.declare(now, rule, mine)
		}
	}
	for name, m := range s.machines {
		if declared[name] == nil {
			m.declare(now, m.rule, false)
		}
		if m.idle() {
			delete(s.machines, name)
		}
	}
}

// mine reports whether this host should command the server. A leaving server gets no new work, so loading weights
// there is wasted.
func (s *Service) mine(epoch membership.Epoch, rule *rules.Server) bool {
	if s.draining || rule.Role == rules.RoleService || rule.State == rules.ServerLeaving {
		return false
	}
	home, ok := placement.HomeOf(epoch, rule)
	self := s.Viewer.Self()
	return ok && home.Name == self.Name && home.Incarnation == self.Incarnation
}

// run does one action for one server.
func (s *Service) run(ctx context.Context, m *machine, act action, rule *rules.Server, id platform.LeaseID) {
	defer s.tasks.Done()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		m.busy = false
	}()
	switch act {
	case actClaim:
		s.claim(ctx, m, rule.Name, id)
	case actRelease, actHandOver:
		s.release(ctx, m, rule.Name, id, act == actHandOver)
	case actRead:
		s.read(ctx, m, rule, id)
	case actNone:
	}
}

// read reads the engine's state, sends at most one command, and releases a load slot that is not needed any more.
func (s *Service) read(ctx context.Context, m *machine, rule *rules.Server, id platform.LeaseID) {
	server := s.Engines.Server(rule.Name, rule.Addr)
	call, cancel := context.WithTimeout(ctx, s.opt.CallTimeout)
	state, err := server.State(call)
	cancel()
	s.mu.Lock()
	if err != nil {
		m.next = time.Now().Add(s.opt.ReadInterval)
		s.mu.Unlock()
		s.Metrics.Inc(metricUnread)
		return
	}
	cmd, drifted := m.observe(time.Now(), state)
	idle := cmd == nil && m.open == nil && m.slot != ""
	s.mu.Unlock()
	if drifted {
		s.Metrics.Inc(metricDrifts)
		s.Log.Info("state differs after a command", "server", rule.Name, "role", state.Role, "model", state.Model)
	}
	switch {
	case idle:
		s.freeSlot(ctx, m, rule.Name, id)
	case cmd != nil && cmd.Model != "" && !s.takeSlot(ctx, m, rule, id):
		s.withhold(m, "load limit")
	case cmd != nil:
		s.send(ctx, m, server, *cmd)
	}
}

func (s *Service) withhold(m *machine, reason string) {
	s.Metrics.Inc(metricWithheld, metrics.L("reason", reason))
	s.mu.Lock()
	defer s.mu.Unlock()
	m.next = time.Now().Add(s.opt.MinBackoff)
}

// send checks the ownership and the lease as the last step before the call.
func (s *Service) send(ctx context.Context, m *machine, server engine.Server, cmd engine.Command) {
	call, cancel := context.WithTimeout(ctx, s.opt.CommandLimit)
	defer cancel()
	s.mu.Lock()
	ok := m.begin(time.Now(), s.lease, cmd)
	s.mu.Unlock()
	if !ok {
		s.withhold(m, "no lease")
		return
	}
	err := server.Apply(call, cmd)
	o := outcomeOf(err)
	s.mu.Lock()
	m.answered(time.Now(), o)
	s.mu.Unlock()
	s.Metrics.Inc(metricCommands, metrics.L("outcome", string(o)))
	s.Log.Info("engine commanded", "server", server.Name(), "role", cmd.Role, "model", cmd.Model, "fence", cmd.Fence,
		"outcome", string(o), "cause", err)
}

// keepLease renews this host's lease until ctx ends.
func (s *Service) keepLease(ctx context.Context) {
	for {
		pause := s.opt.LeaseTTL / renewals
		if !s.renew(ctx) {
			pause = s.opt.Tick
		}
		if wait.For(ctx, pause) != nil {
			return
		}
	}
}

// renew renews the lease, or takes one while this host has servers to own. It reports whether the lease is valid
// afterwards. The lease counts from the moment the call was sent.
func (s *Service) renew(ctx context.Context) bool {
	s.mu.Lock()
	id, needed := s.leaseID, len(s.machines) > 0
	s.mu.Unlock()
	if !needed {
		return false
	}
	call, cancel := context.WithTimeout(ctx, s.opt.CallTimeout)
	defer cancel()
	var (
		ttl    time.Duration
		err    error
		lapsed *platform.LeaseLapsedError
		sent   = time.Now()
	)
	if id == 0 {
		id, ttl, err = s.Store.GrantLease(call, s.opt.LeaseTTL)
	} else {
		ttl, err = s.Store.KeepAlive(call, id)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.As(err, &lapsed) {
		s.Metrics.Inc(metricLeases)
		s.Log.Info("command lease lost", "servers", len(s.machines))
		s.leaseID, s.lease = 0, lease{}
		for _, m := range s.machines {
			m.fence, m.claiming, m.fenced, m.slot = 0, false, false, ""
		}
	}
	if err != nil {
		return false
	}
	s.leaseID, s.lease = id, lease{held: true, end: sent.Add(held(min(ttl, s.opt.LeaseTTL)))}
	return true
}
