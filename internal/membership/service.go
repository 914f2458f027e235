package membership

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/grpc"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/peer"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

const (
	// ticksPerHeartbeat is the number of ticks of the machine in one heartbeat interval.
	ticksPerHeartbeat = 2
	// hostListInterval is the interval between two reads of the platform's host list. Shorter intervals would gain
	// little, since the platform updates the list with a delay.
	hostListInterval = 10 * time.Second
)

// Options configure a Service. Self, Timing, Store and Dialer are required.
type Options struct {
	Self   host.ID
	Timing Timing
	Store  kvstore.Store
	// Hosts is the platform's host list, or nil for none. Hosts that it does not show as live are checked earlier.
	Hosts  kvstore.Hosts
	Dialer peer.Dialer
	Log    logr.Logger
	// Metrics is the registry for the counters of this package. It may be nil.
	Metrics *metrics.Registry
	// Generation returns the installed configuration generation, which is sent in heartbeats. If nil, 0 is sent.
	Generation func() uint64
	// FreshnessAge returns the time since the configuration was last confirmed as current, which is sent in heartbeat
	// replies. It returns false if the configuration was never confirmed. Heartbeat replies report the same if the
	// function is nil.
	FreshnessAge func() (time.Duration, bool)
	// OnPeerConfigStatus is called with the configuration state in each heartbeat reply. It must not block and may be
	// nil.
	OnPeerConfigStatus func(PeerConfigStatus)
}

// PeerConfigStatus is the configuration state that a peer sends in a heartbeat reply.
type PeerConfigStatus struct {
	From       host.ID
	Generation uint64
	// FreshnessAge is the time since the peer's configuration was confirmed as current, at the time of its reply. It is
	// valid if Confirmed is set. Adding the time since Sent never gives less than the actual age.
	FreshnessAge time.Duration
	Confirmed    bool
	// Sent is the send time of the heartbeat, which is before the time of the reply.
	Sent time.Time
}

// Service runs a Machine: it carries out the machine's actions against the store and the other hosts. It implements
// Viewer and suture.Service.
type Service struct {
	opts Options

	mu             sync.Mutex
	machine        *Machine
	subscribers    map[chan Epoch]bool
	publishedEpoch uint64
	// runCtx is the context of the current call of Serve, or nil. Actions without it are dropped.
	runCtx  context.Context //nolint:containedctx // Actions of a server call run as long as the service does.
	running sync.WaitGroup
}

var _ Viewer = (*Service)(nil)

// New returns a service for this incarnation of the host. Its state survives restarts of Serve. It returns a
// *SettingError if opts.Timing is invalid.
func New(opts Options) (*Service, error) {
	if err := opts.Timing.Check(); err != nil {
		return nil, fmt.Errorf("new membership service: %w", err)
	}
	return &Service{
		opts: opts, machine: NewMachine(opts.Self, opts.Timing, time.Now()), subscribers: map[chan Epoch]bool{},
	}, nil
}

// Register adds the Membership gRPC service to a server. It must be called before the server starts.
func (s *Service) Register(r grpc.ServiceRegistrar) {
	peerv1.RegisterMembershipServer(r, &server{service: s})
}

// Serve runs the machine until ctx is done, waits for its actions and returns an error that wraps ctx.Err(). It
// implements suture.Service.
func (s *Service) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer s.running.Wait()
	defer cancel()
	s.mu.Lock()
	s.runCtx = ctx
	// Calls that were in flight when the previous Serve ended have no result.
	s.machine.resetInFlight()
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.runCtx = nil
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

// handle passes an event to the machine and starts the actions that it returns.
func (s *Service) handle(event Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.start(s.machine.Handle(time.Now(), event))
}

// start carries out actions in the background and publishes a new epoch to the subscribers. The caller holds mu.
func (s *Service) start(actions []Action) {
	if e := s.machine.Epoch(); e.Number > s.publishedEpoch {
		s.publishedEpoch = e.Number
		s.opts.Log.Info("epoch installed", "epoch", e.Number, "hosts", len(e.Hosts))
		s.opts.Metrics.Set("membership_epoch", int64(e.Number)) //nolint:gosec // Epoch numbers stay far below the limit.
		for c := range s.subscribers {
			publishLatest(c, e)
		}
	}
	if s.runCtx == nil || s.runCtx.Err() != nil {
		return
	}
	for _, a := range actions {
		s.spawn(s.runCtx, func(ctx context.Context) { s.execute(ctx, a) })
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

// publishLatest replaces the content of a channel of capacity one by the newest epoch.
func publishLatest(c chan Epoch, e Epoch) {
	select {
	case <-c:
	default:
	}
	c <- e
}

// Subscribe returns a channel that receives the current epoch, if there is one, and each newer one. A slow receiver
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

// SetReady allows the host to join the epoch. It is called once the host has a configuration and serves its peers.
func (s *Service) SetReady() { s.handle(Ready{}) }

// Self implements Viewer.
func (s *Service) Self() host.ID { return s.opts.Self }

// Epoch implements Viewer.
func (s *Service) Epoch() Epoch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Epoch()
}

// CheckAuthority implements Viewer.
func (s *Service) CheckAuthority(now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.CheckAuthority(now)
}

// Reachable implements Viewer.
func (s *Service) Reachable(id host.ID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Reachable(time.Now(), id)
}

// EpochKnownByMajority reports whether a majority of the hosts of the epoch before the given one are known to have the
// given epoch or a later one. A new home host must not use the epoch until this is the case.
func (s *Service) EpochKnownByMajority(number uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.KnownByMajority(number)
}

// EpochConverged reports whether a host of an earlier epoch is known to have the given epoch or a later one, or is
// excluded by the newest known epoch and that epoch is at least the given one.
func (s *Service) EpochConverged(id host.ID, number uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.HostConverged(id, number)
}

// Leave permanently ends this host's authority to admit requests, removes the host from the epoch and revokes its
// lease. Serve must be running, and the caller must have returned all grants and finished all requests. If Leave
// fails, it returns a *LeaveError, and the other hosts exclude this one once they have proof that it has stopped.
func (s *Service) Leave(ctx context.Context) error {
	s.handle(Leave{})
	poll := time.NewTicker(s.opts.Timing.Heartbeat / ticksPerHeartbeat)
	defer poll.Stop()
	for {
		s.mu.Lock()
		hasLeft, number, lease := s.machine.hasLeft(), s.machine.record.Number, s.machine.lease.id
		s.mu.Unlock()
		if hasLeft {
			return s.revokeRegistration(ctx, number, lease)
		}
		select {
		case <-poll.C:
		case <-ctx.Done():
			return fmt.Errorf("drain: %w", &LeaveError{Epoch: number, Cause: ctx.Err()})
		}
	}
}

// revokeRegistration deletes the session record and the registration and revokes the lease.
func (s *Service) revokeRegistration(ctx context.Context, number uint64, lease kvstore.LeaseID) error {
	_, err := s.opts.Store.Txn(ctx, nil, []kvstore.Write{{Key: sessionKey(s.opts.Self)}, {Key: registeredKey(s.opts.Self)}})
	if err == nil && lease != 0 {
		err = s.opts.Store.RevokeLease(ctx, lease)
	}
	if err != nil {
		return fmt.Errorf("drain: %w", &LeaveError{Epoch: number, Cause: err})
	}
	return nil
}
