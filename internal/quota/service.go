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

// EpochSpread tells how far an epoch has spread.
type EpochSpread interface {
	// EpochKnownByMajority reports whether a majority of the epoch's hosts are known to have it. A new home
	// host does not use an epoch before.
	EpochKnownByMajority(number uint64) bool
}

// Options are the parts that a Service works with. All but Metrics and Log are required.
type Options struct {
	Viewer membership.Viewer
	Spread EpochSpread
	Dialer peer.Dialer
	Config config.Reader
	// Metrics may be nil.
	Metrics *metrics.Registry
	Log     logr.Logger
}

// Periods of the service.
const (
	// tickInterval is how often settlements are sent and missing acknowledgements asked for.
	tickInterval = 100 * time.Millisecond
	// callTimeout bounds each message between hosts. Round trips take a few milliseconds.
	callTimeout = 250 * time.Millisecond
	// sweepInterval is how often idle state is dropped from memory.
	sweepInterval = 10 * time.Second
)

// Service implements Limiter and the Quota grpc service over the state machines of this package.
type Service struct {
	peerv1.UnimplementedQuotaServer
	opt Options

	mu         sync.Mutex
	draining   bool
	snapshot   *config.Snapshot
	tenure     Tenure
	divisions  Divisions
	workspaces map[string]*workspace
	lastGrant  uint64
	// asking and settling name the hosts to which a message is under way, so that there is one at a time.
	asking, settling map[string]bool
	lastSweep        time.Time
	background       sync.WaitGroup
	kick             chan struct{}
}

// workspace is the state of one workspace on this host.
type workspace struct {
	// home is nil when this host keeps no bucket, or an untouched one.
	home     *Home
	borrower Borrower
	// waiting is the sum of tokens of requests that wait for a draw.
	waiting int64
	// round is the draw that is under way; nil when there is none.
	round *round
}

// New returns a service. Register it as the Quota grpc service and run Serve.
func New(opt Options) *Service {
	return &Service{
		opt:        opt,
		tenure:     Tenure{self: opt.Viewer.Self()},
		workspaces: map[string]*workspace{},
		asking:     map[string]bool{},
		settling:   map[string]bool{},
		kick:       make(chan struct{}, 1),
	}
}

// Serve runs the background work until the context ends. It may be called again after it returned: the
// state stays.
func (s *Service) Serve(ctx context.Context) error {
	defer s.background.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		s.tick(ctx)
		select {
		case <-ticker.C:
		case <-s.kick:
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
	s.askHandOvers(ctx)
	s.sendSettlements(ctx, now)
	if now.Sub(s.lastSweep) >= sweepInterval {
		s.lastSweep = now
		s.sweep(now)
	}
}

// sweep drops idle state. The caller holds the lock.
func (s *Service) sweep(now time.Time) {
	for name, w := range s.workspaces {
		if w.home != nil {
			standing, since := s.tenure.Of(name)
			ready, inForce := s.divisions.Ready()
			if standing == StandingHome && ready && w.home.Idle(now, later(since, inForce)) {
				w.home = nil
			}
		}
		if w.home == nil && w.waiting == 0 && w.round == nil && w.borrower.Idle(now) {
			delete(s.workspaces, name)
		}
	}
	s.opt.Metrics.Set("quota_workspaces_in_memory", int64(len(s.workspaces)))
}

// workspace returns the state of a workspace, made on first use. The caller holds the lock.
func (s *Service) workspace(name string) *workspace {
	w := s.workspaces[name]
	if w == nil {
		w = &workspace{}
		s.workspaces[name] = w
	}
	return w
}

// home returns the bucket of a workspace when this host may use it now, and nil otherwise. The caller holds
// the lock and has called sync.
func (s *Service) home(now time.Time, name string) *Home {
	standing, since := s.tenure.Of(name)
	ready, inForce := s.divisions.Ready()
	if standing != StandingHome || !ready {
		return nil
	}
	w := s.workspace(name)
	if w.home == nil {
		w.home = NewHome(later(since, inForce), s.share(name))
		w.home.Advance(now)
	}
	return w.home
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// share returns this zone's share of a workspace's bucket.
func (s *Service) share(name string) Share {
	if s.snapshot == nil {
		return Share{}
	}
	ws := s.snapshot.Workspace(name)
	if ws == nil {
		return Share{}
	}
	return s.divisions.Share(s.opt.Viewer.Self().Zone, ws.Burst, ws.Rate)
}

func (s *Service) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}
