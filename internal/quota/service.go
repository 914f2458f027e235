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
//
// Viewer.CanAdmit must refuse a host that an epoch has excluded until Viewer.Epoch is later than that epoch and
// contains the host. An older epoch that arrives late must not give authority back: its home hosts have successors.
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

// Service implements Limiter and the Quota grpc service: it carries the messages of a Node.
type Service struct {
	peerv1.UnimplementedQuotaServer
	opt Options

	mu       sync.Mutex
	node     *Node
	draining bool
	queues   map[string]*queue
	// asking and settling name the hosts to which a message is under way, so that there is one at a time.
	asking, settling map[string]bool
	lastSweep        time.Time
	background       sync.WaitGroup
	kick             chan struct{}
}

// queue is the requests of one workspace that local tokens do not cover.
type queue struct {
	// tokens is the sum over the waiting requests.
	tokens int64
	// round is the draw that is under way; nil when there is none.
	round *round
}

// round is one draw for all requests of a workspace that wait at its start.
type round struct {
	done chan struct{}
}

// New returns a service. Register it as the Quota grpc service and run Serve.
func New(opt Options) *Service {
	return &Service{
		opt:      opt,
		node:     NewNode(opt.Viewer.Self()),
		queues:   map[string]*queue{},
		asking:   map[string]bool{},
		settling: map[string]bool{},
		kick:     make(chan struct{}, 1),
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
		left := s.node.Sweep(now, func(name string) bool { return s.queues[name] != nil })
		s.opt.Metrics.Set("quota_workspaces_in_memory", int64(left))
	}
}

// sync brings the node up to date and starts the tick when something changed. The caller holds the lock.
func (s *Service) sync(now time.Time) {
	if s.node.Sync(now, s.opt.Viewer.Epoch(), s.opt.Config.Current(), s.opt.Spread.EpochKnownByMajority) {
		select {
		case s.kick <- struct{}{}:
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
	if err := s.opt.Viewer.CanAdmit(now); err != nil {
		return &UnavailableError{Workspace: name, Cause: err}
	}
	return nil
}
