package quota

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/peer"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// EpochSpread reports whether enough hosts have a new epoch for its home hosts to act. membership.Service implements
// it.
type EpochSpread interface {
	// EpochKnownByMajority reports whether a majority of the hosts of the epoch before the given one are known to have the
	// given epoch or a later one. A new home host does not use an epoch before that.
	EpochKnownByMajority(number uint64) bool
}

// Options holds the dependencies of a Service. All but Metrics and Log are required.
//
// Viewer.CheckAuthority must refuse a host that an epoch has excluded until Viewer.Epoch is later than that epoch and
// contains the host. An older epoch that arrives late must not restore the authority to admit: the excluded host's
// buckets have moved to successors.
type Options struct {
	Viewer membership.Viewer
	Spread EpochSpread
	Dialer peer.Dialer
	Config config.Reader
	// Metrics may be nil.
	Metrics *metrics.Registry
	Log     logr.Logger
}

// Intervals and timeouts of the service.
const (
	// tickInterval is the interval at which settlements are sent and missing acknowledgements are requested.
	tickInterval = 100 * time.Millisecond
	// callTimeout bounds each call between hosts. Round trips take a few milliseconds.
	callTimeout = 250 * time.Millisecond
	// sweepInterval is the interval at which idle state is dropped from memory.
	sweepInterval = 10 * time.Second
)

// Service implements Limiter and the Quota gRPC service. It sends and receives the messages of a HostState.
type Service struct {
	peerv1.UnimplementedQuotaServer
	opt Options

	mu       sync.Mutex
	node     *HostState
	draining bool
	queues   map[string]*queue
	// handOverPending and settlementPending hold the names of the hosts to which a call is in progress, so that
	// there is at most one of each kind per host.
	handOverPending, settlementPending map[string]bool
	lastSweep                          time.Time
	background                         sync.WaitGroup
	wake                               chan struct{}
}

// queue tracks the waiting requests of one workspace that the tokens on this host do not cover.
type queue struct {
	// tokens is the sum over the waiting requests.
	tokens int64
	// round is the draw in progress, or nil.
	round *round
}

// round is one draw for all requests of a workspace that are waiting when it starts.
type round struct {
	done chan struct{}
}

// New returns a service. Register it as the Quota gRPC service and run Serve.
func New(opt Options) *Service {
	return &Service{
		opt:               opt,
		node:              NewHostState(opt.Viewer.Self()),
		queues:            map[string]*queue{},
		handOverPending:   map[string]bool{},
		settlementPending: map[string]bool{},
		wake:              make(chan struct{}, 1),
	}
}

// Serve sends settlements and handover requests until the context ends, and returns the context's error. It may be
// called again after it returned: the state is kept.
func (s *Service) Serve(ctx context.Context) error {
	defer s.background.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		s.tick(ctx)
		select {
		case <-ticker.C:
		case <-s.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *Service) tick(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.sync(now)
	s.requestHandOvers(ctx)
	s.sendSettlements(ctx, now)
	if now.Sub(s.lastSweep) >= sweepInterval {
		s.lastSweep = now
		left := s.node.Sweep(now, func(name string) bool { return s.queues[name] != nil })
		s.opt.Metrics.Set("quota_workspaces_in_memory", int64(left))
	}
}

// sync updates the node to the newest epoch and configuration, and triggers a tick when something changed. The
// caller holds the lock.
func (s *Service) sync(now time.Time) {
	if s.node.Sync(now, s.opt.Viewer.Epoch(), s.opt.Config.Current(), s.opt.Spread.EpochKnownByMajority) {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

// authorize returns nil if this host may admit or grant now. The caller holds the lock.
func (s *Service) authorize(now time.Time, name string) error {
	s.sync(now)
	if s.draining {
		return &UnavailableError{Workspace: name, Cause: &DrainingError{}}
	}
	if err := s.opt.Viewer.CheckAuthority(now); err != nil {
		return &UnavailableError{Workspace: name, Cause: err}
	}
	return nil
}
