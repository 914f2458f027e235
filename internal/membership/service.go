package membership

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/grpc"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/peer"
	"github.com/boragecourse/boragecourse/internal/platform"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

const (
	// ticksPerHeartbeat is how often the machine is driven within one heartbeat interval.
	ticksPerHeartbeat = 2
	// hostListInterval is the time between two reads of the platform's host list. The list lags anyway.
	hostListInterval = 10 * time.Second
)

// Options configure a Service. Self, Timing, Store and Dialer are required.
type Options struct {
	Self   host.ID
	Timing Timing
	Store  platform.Store
	// Hosts is the platform's host list, or nil for none. It only speeds up a check.
	Hosts  platform.Hosts
	Dialer peer.Dialer
	Log    logr.Logger
	// Metrics may be nil.
	Metrics *metrics.Registry
	// Generation returns the installed configuration generation, sent in heartbeats. Nil means 0.
	Generation func() uint64
	// FreshnessAge returns how long ago the configuration was confirmed as current; false means never. It is
	// sent in heartbeat replies. Nil means never.
	FreshnessAge func() (time.Duration, bool)
	// OnPeerReport gets what each heartbeat reply says of the peer's configuration. It must not block. Nil means none.
	OnPeerReport func(PeerReport)
}

// PeerReport is what a host says of its configuration.
type PeerReport struct {
	From       host.ID
	Generation uint64
	// FreshnessAge is the age of the peer's confirmation when it replied, if Confirmed is set. Counted from
	// Sent, the age never understates the age at the receiver.
	FreshnessAge time.Duration
	Confirmed    bool
	// Sent is when the heartbeat was sent.
	Sent time.Time
}

// Service runs a Machine against the store and the other hosts. It implements Viewer and suture.Service.
type Service struct {
	opts Options

	mu          sync.Mutex
	machine     *Machine
	subscribers map[chan Epoch]bool
	published   uint64
	// run is the context of the present Serve, or nil. Actions outside of it are dropped.
	run     context.Context //nolint:containedctx // Actions of a server call run as long as the service does.
	running sync.WaitGroup
}

var _ Viewer = (*Service)(nil)

// New returns a service for this run of the process. Its state survives restarts of Serve. The error is a
// *SettingError.
func New(opts Options) (*Service, error) {
	if err := opts.Timing.Check(); err != nil {
		return nil, fmt.Errorf("new membership service: %w", err)
	}
	return &Service{
		opts: opts, machine: NewMachine(opts.Self, opts.Timing, time.Now()), subscribers: map[chan Epoch]bool{},
	}, nil
}

// Register adds the Membership grpc service to the server.
func (s *Service) Register(r grpc.ServiceRegistrar) {
	peerv1.RegisterMembershipServer(r, &server{service: s})
}

// Serve runs until ctx ends and returns its error. It implements suture.Service.
func (s *Service) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer s.running.Wait()
	defer cancel()
	s.mu.Lock()
	s.run = ctx
	// Calls that the previous Serve had open will not be answered.
	s.machine.forgetOpenCalls()
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.run = nil
		s.mu.Unlock()
	}()
	ticker := time.NewTicker(s.opts.Timing.Heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	var hostList <-chan time.Time
	if s.opts.Hosts != nil {
		t := time.NewTicker(hostListInterval)
		defer t.Stop()
		hostList = t.C
	}
	s.handle(Tick{})
	for {
		select {
		case <-ctx.Done():
			return fmt.Errorf("membership: %w", ctx.Err())
		case <-ticker.C:
			s.handle(Tick{})
		case <-hostList:
			s.spawn(ctx, s.listHosts)
		}
	}
}

// handle gives the machine an event and starts the actions that follow.
func (s *Service) handle(event Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.start(s.machine.Handle(time.Now(), event))
}

// start carries out actions in the background and publishes a new epoch. The caller holds the mutex.
func (s *Service) start(actions []Action) {
	if e := s.machine.Epoch(); e.Number > s.published {
		s.published = e.Number
		s.opts.Log.Info("epoch installed", "epoch", e.Number, "hosts", len(e.Hosts))
		s.opts.Metrics.Set("membership_epoch", int64(e.Number)) //nolint:gosec // Epoch numbers stay far below the limit.
		for c := range s.subscribers {
			replace(c, e)
		}
	}
	if s.run == nil || s.run.Err() != nil {
		return
	}
	for _, a := range actions {
		s.spawn(s.run, func(ctx context.Context) { s.execute(ctx, a) })
	}
}

// spawn runs f in a goroutine that Serve waits for.
func (s *Service) spawn(ctx context.Context, f func(context.Context)) {
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		f(ctx)
	}()
}

// replace puts the newest epoch into a channel of capacity one.
func replace(c chan Epoch, e Epoch) {
	select {
	case <-c:
	default:
	}
	c <- e
}

// Subscribe returns a channel that gives the present epoch, if there is one, and each newer one. A slow receiver
// misses intermediate epochs but never the newest. The subscription ends with ctx; the channel is not closed.
func (s *Service) Subscribe(ctx context.Context) <-chan Epoch {
	c := make(chan Epoch, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.machine.Epoch(); e.Number > 0 {
		c <- e
	}
	s.subscribers[c] = true
	context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subscribers, c)
	})
	return c
}

// SetReady lets the host join the epoch. It is called once the host has a configuration and serves its peers.
func (s *Service) SetReady() { s.handle(Ready{}) }

// Self implements Viewer.
func (s *Service) Self() host.ID { return s.opts.Self }

// Epoch implements Viewer.
func (s *Service) Epoch() Epoch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Epoch()
}

// CanAdmit implements Viewer.
func (s *Service) CanAdmit(now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.CanAdmit(now)
}

// Reachable implements Viewer.
func (s *Service) Reachable(id host.ID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Reachable(time.Now(), id)
}

// EpochKnownByMajority reports whether a majority of the hosts of the epoch before the given one are known to
// hold the given epoch or a later one. A new home host waits for it before it uses the epoch.
func (s *Service) EpochKnownByMajority(number uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.KnownByMajority(number)
}

// EpochSettled reports whether a host of an earlier epoch is known to hold the given epoch or a later one, or has
// been excluded by an epoch that is at least the given one.
func (s *Service) EpochSettled(id host.ID, number uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Settled(id, number)
}

// Leave ends this host's authority to admit for good, removes the host from the epoch, and gives its lease back.
// The caller has handed back all grants and finished all requests. If it fails, the error is a *LeaveError and
// the other hosts exclude this one after the usual proof. Serve must be running.
func (s *Service) Leave(ctx context.Context) error {
	s.handle(Leave{})
	poll := time.NewTicker(s.opts.Timing.Heartbeat / ticksPerHeartbeat)
	defer poll.Stop()
	for {
		s.mu.Lock()
		left, number, lease := s.machine.left(), s.machine.record.Number, s.machine.lease.id
		s.mu.Unlock()
		if left {
			return s.giveBack(ctx, number, lease)
		}
		select {
		case <-poll.C:
		case <-ctx.Done():
			return fmt.Errorf("drain: %w", &LeaveError{Epoch: number, Cause: ctx.Err()})
		}
	}
}

// giveBack deletes the session record and ends the lease, which deletes the registration.
func (s *Service) giveBack(ctx context.Context, number uint64, lease platform.LeaseID) error {
	_, err := s.opts.Store.Txn(ctx, nil, []platform.Write{{Key: sessionKey(s.opts.Self)}, {Key: registeredKey(s.opts.Self)}})
	if err == nil && lease != 0 {
		err = s.opts.Store.RevokeLease(ctx, lease)
	}
	if err != nil {
		return fmt.Errorf("drain: %w", &LeaveError{Epoch: number, Cause: err})
	}
	return nil
}
