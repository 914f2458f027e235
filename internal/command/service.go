package command

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/placement"
	"github.com/boragecourse/boragecourse/internal/rules"
	"github.com/boragecourse/boragecourse/internal/wait"
)

// Metric names.
const (
	metricCommands = "commands_total"
	metricUnread   = "command_state_unread_total"
	metricDrifts   = "command_state_differs_total"
	metricWithheld = "commands_withheld_total"
	metricLeases   = "command_leases_lost_total"
)

// Deps are the dependencies of a Service. All of them are required.
type Deps struct {
	Store   kvstore.Store
	Viewer  membership.Viewer
	Config  config.Reader
	Engines engine.Directory
	Metrics *metrics.Registry
	Log     logr.Logger
}

// Service sends commands to the backend servers whose home host is this host. It is safe for concurrent use and keeps
// its state across restarts of Serve.
type Service struct {
	Deps
	opt     Options
	variant variant
	tasks   sync.WaitGroup

	mu          sync.Mutex
	reconcilers map[string]*reconciler
	leaseID     kvstore.LeaseID
	lease       lease
	draining    bool
}

// New returns a Service that is inactive until Serve runs.
func New(d Deps, o Options) *Service {
	return &Service{Deps: d, opt: o.withDefaults(), reconcilers: map[string]*reconciler{}}
}

// Serve implements suture.Service. It acquires ownership of servers and sends them commands until ctx ends. The lease
// and the ownership records remain, so that a restart continues with them.
func (s *Service) Serve(ctx context.Context) error {
	defer s.tasks.Wait()
	renewal := make(chan struct{})
	go func() { defer close(renewal); s.keepLease(ctx) }()
	defer func() { <-renewal }()
	ticker := time.NewTicker(s.opt.Tick)
	defer ticker.Stop()
	for {
		s.startDueTasks(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Drain stops acquiring ownership and waits until every owned server has been released. It returns an
// *UnreleasedError when ctx ends first. Serve must be running, because it performs the releases.
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

// owned returns the number of servers whose ownership record may name this host.
func (s *Service) owned() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, m := range s.reconcilers {
		if m.fence != 0 || m.claiming {
			n++
		}
	}
	return n
}

// startDueTasks starts a task for each server whose next action is due.
func (s *Service) startDueTasks(ctx context.Context) {
	snap := s.Config.Current()
	if snap == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.sync(now, snap.Servers())
	for _, m := range s.reconcilers {
		act := m.step(now, s.lease)
		if act == actNone {
			continue
		}
		m.busy = true
		s.tasks.Add(1)
		go s.run(ctx, m, act, m.rule, s.leaseID)
	}
}

// sync updates the reconcilers from the rules and the epoch. A reconciler without a rule remains until its ownership
// has ended.
func (s *Service) sync(now time.Time, declared map[string]*rules.Server) {
	epoch := s.Viewer.Epoch()
	for name, rule := range declared {
		m, shouldOwn := s.reconcilers[name], s.shouldOwn(epoch, rule)
		if m == nil && shouldOwn {
			m = &reconciler{opt: s.opt, variant: s.variant}
			s.reconcilers[name] = m
		}
		if m != nil {
			m.setRule(now, rule, shouldOwn)
		}
	}
	for name, m := range s.reconcilers {
		if declared[name] == nil {
			m.setRule(now, m.rule, false)
		}
		if m.idle() {
			delete(s.reconcilers, name)
		}
	}
}

// shouldOwn reports whether this host should own the server. A server in state leaving receives no new work, so loading
// weights there would be wasted.
func (s *Service) shouldOwn(epoch membership.Epoch, rule *rules.Server) bool {
	if s.draining || rule.Role == rules.RoleService || rule.State == rules.ServerLeaving {
		return false
	}
	home, ok := placement.HomeOf(epoch, rule)
	self := s.Viewer.Self()
	return ok && home.Name == self.Name && home.Incarnation == self.Incarnation
}

func (s *Service) run(ctx context.Context, m *reconciler, act action, rule *rules.Server, id kvstore.LeaseID) {
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

// read reads the engine's state, sends at most one command, and releases a load slot that is no longer needed.
func (s *Service) read(ctx context.Context, m *reconciler, rule *rules.Server, id kvstore.LeaseID) {
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
	idle := cmd == nil && m.inFlight == nil && m.slot != ""
	s.mu.Unlock()
	if drifted {
		s.Metrics.Inc(metricDrifts)
		s.Log.Info("engine state still differs from the rules after a command", "server", rule.Name, "role", state.Role,
			"model", state.Model)
	}
	switch {
	case idle:
		s.releaseSlot(ctx, m, rule.Name, id)
	case cmd != nil && cmd.Model != "" && !s.acquireSlot(ctx, m, rule, id):
		s.withhold(m, "load limit")
	case cmd != nil:
		s.send(ctx, m, server, *cmd)
	}
}

// withhold counts a command that may not be sent now and delays the next attempt.
func (s *Service) withhold(m *reconciler, reason string) {
	s.Metrics.Inc(metricWithheld, metrics.L("reason", reason))
	s.mu.Lock()
	defer s.mu.Unlock()
	m.next = time.Now().Add(s.opt.MinBackoff)
}

// send checks the ownership and the lease immediately before the call, then sends the command.
func (s *Service) send(ctx context.Context, m *reconciler, server engine.Server, cmd engine.Command) {
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
	m.finish(time.Now(), o)
	s.mu.Unlock()
	s.Metrics.Inc(metricCommands, metrics.L("outcome", string(o)))
	s.Log.Info("command sent to engine", "server", server.Name(), "role", cmd.Role, "model", cmd.Model, "fence", cmd.Fence,
		"outcome", string(o), "cause", err)
}

// keepLease renews this host's lease until ctx ends.
func (s *Service) keepLease(ctx context.Context) {
	for {
		pause := s.opt.LeaseTTL / renewalsPerTTL
		if !s.renew(ctx) {
			pause = s.opt.Tick
		}
		if wait.For(ctx, pause) != nil {
			return
		}
	}
}

// renew renews the lease, or requests one if there is none. It does nothing while this host has no servers to own, and
// reports whether a call was made and succeeded. It counts the term from the time at which the call was sent, since the
// store cannot have started the term earlier.
func (s *Service) renew(ctx context.Context) bool {
	s.mu.Lock()
	id, needed := s.leaseID, len(s.reconcilers) > 0
	s.mu.Unlock()
	if !needed {
		return false
	}
	call, cancel := context.WithTimeout(ctx, s.opt.CallTimeout)
	defer cancel()
	var (
		ttl     time.Duration
		err     error
		expired *kvstore.LeaseExpiredError
		sent    = time.Now()
	)
	if id == 0 {
		id, ttl, err = s.Store.GrantLease(call, s.opt.LeaseTTL)
	} else {
		ttl, err = s.Store.KeepAlive(call, id)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.As(err, &expired) {
		s.Metrics.Inc(metricLeases)
		s.Log.Info("command lease expired in the store; ownership of all backend servers lost", "servers", len(s.reconcilers))
		s.leaseID, s.lease = 0, lease{}
		for _, m := range s.reconcilers {
			m.fence, m.claiming, m.fenced, m.slot = 0, false, false, ""
		}
	}
	if err != nil {
		return false
	}
	s.leaseID, s.lease = id, lease{held: true, end: sent.Add(held(min(ttl, s.opt.LeaseTTL)))}
	return true
}
