package config

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/grpc"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/peer"
	"github.com/boragecourse/boragecourse/internal/rules"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// DefaultTrustPeriod is how long a host serves keyed requests after a confirmation of its configuration. A withdrawn
// key must be rejected within 5 s even if push and watch fail; 3 s leave time for the calls in between.
const DefaultTrustPeriod = 3 * time.Second

// Options configure a Service. Store, Viewer and Dialer are required. The service calls Viewer.Reachable while it
// holds its lock. To avoid a deadlock, the viewer must not call Apply, PushInstalled or RulesFile while it holds its
// own.
type Options struct {
	Store  kvstore.Store
	Viewer membership.Viewer
	Dialer peer.Dialer
	// ExtraPeers returns hosts known from outside the epoch, for example from the platform's list. A daemon that
	// starts while the store is unavailable gets its first configuration from them. Default none.
	ExtraPeers func() []host.ID
	// EpochKey is the store key of the epoch, and DecodeEpoch decodes the epoch's number from its value. If they are
	// set, a change is committed only if the epoch has not changed since it was read, so that the acknowledgement
	// counts the hosts of the current epoch. Default none.
	EpochKey    string
	DecodeEpoch func([]byte) (uint64, error)
	// TrustPeriod is how long keyed requests are served after a confirmation. Default DefaultTrustPeriod.
	TrustPeriod time.Duration
	// OnInstall is called after each installation, in order of generation, with the previous snapshot (nil for the
	// first) and the new one. New requests already use the new snapshot. It must not block.
	OnInstall func(previous, installed *Snapshot)
	Log       logr.Logger
	Metrics   *metrics.Registry
}

// Service holds the installed configuration and keeps it up to date. It implements Reader and the gRPC service
// boragecourse.peer.v1.Config. The installed snapshot is kept when Serve is restarted.
type Service struct {
	peerv1.UnimplementedConfigServer

	o       Options
	current atomic.Pointer[Snapshot]
	// confirmed is a copy of stateMachine.confirmedAt that the request path reads without a lock.
	confirmed atomic.Pointer[time.Time]

	mu            sync.Mutex
	m             *stateMachine
	blobCache     *blobCache
	changed       chan struct{}
	getHeadOpen   map[string]bool
	storeReadOpen bool
	round         int
	// committed is the generation that this host last committed, and committedEpoch the epoch of that commit.
	committed, committedEpoch uint64

	installMu sync.Mutex
	// wake starts a fetch. hints carries peers to query at once.
	wake  chan struct{}
	hints chan host.ID
}

var _ Reader = (*Service)(nil)

// New returns a service without a configuration. The caller registers it with a gRPC server and runs Serve.
func New(o Options) *Service {
	if o.TrustPeriod == 0 {
		o.TrustPeriod = DefaultTrustPeriod
	}
	if o.ExtraPeers == nil {
		o.ExtraPeers = func() []host.ID { return nil }
	}
	if o.OnInstall == nil {
		o.OnInstall = func(_, _ *Snapshot) {}
	}
	s := &Service{
		o: o, m: newStateMachine(o.Viewer.Self(), time.Now()), blobCache: newBlobCache(),
		changed: make(chan struct{}), getHeadOpen: map[string]bool{},
		wake: make(chan struct{}, 1), hints: make(chan host.ID, 16),
	}
	s.confirmed.Store(&time.Time{})
	return s
}

// Register adds the service to a gRPC server.
func (s *Service) Register(r grpc.ServiceRegistrar) { peerv1.RegisterConfigServer(r, s) }

// Serve runs until the context ends. It implements suture.Service.
func (s *Service) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for _, run := range []func(context.Context){s.watchHead, s.fetchLoop, s.pollLoop} {
		wg.Go(func() { run(ctx) })
	}
	<-ctx.Done()
	cancel()
	wg.Wait()
	return ctx.Err()
}

// Current implements Reader.
func (s *Service) Current() *Snapshot { return s.current.Load() }

// Ready reports whether a configuration is installed.
func (s *Service) Ready() bool { return s.Current() != nil }

// Generation returns the installed generation, zero before the first one.
func (s *Service) Generation() uint64 {
	if c := s.Current(); c != nil {
		return c.Generation
	}
	return 0
}

// FreshnessAge returns how long ago the installed configuration was confirmed as current, or -1 if it never was.
func (s *Service) FreshnessAge(now time.Time) time.Duration { return age(now, *s.confirmed.Load()) }

// KeyedRequestsAllowed implements Reader. Within the trust period after a confirmation, from the store (also relayed
// by a peer) or from a majority of the epoch's hosts, all workspaces are served; after it, only those with
// isolated=serve.
func (s *Service) KeyedRequestsAllowed(workspace string) error {
	now := time.Now()
	freshnessAge := s.FreshnessAge(now)
	snapshot := s.Current()
	if snapshot == nil {
		return &StaleError{Workspace: workspace, Age: -1}
	}
	if freshnessAge >= 0 && freshnessAge <= s.o.TrustPeriod {
		return nil
	}
	if w := snapshot.Workspace(workspace); w != nil && w.Isolated == rules.IsolatedServe {
		return nil
	}
	s.o.Metrics.Inc("config_stale_refusals")
	return &StaleError{Workspace: workspace, Age: freshnessAge}
}

// HintGeneration passes on a generation that a peer reported by other means, for example in a heartbeat. If it is
// newer than the installed one, the service queries the peer at once.
func (s *Service) HintGeneration(from host.ID, generation uint64) {
	if generation <= s.Generation() {
		return
	}
	select {
	case s.hints <- from:
	default:
	}
}

// RulesFile returns the installed generation and its rules file, or zero and nil if none is installed.
func (s *Service) RulesFile() (uint64, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.m.installed.Generation == 0 {
		return 0, nil
	}
	chunks, _ := decodeIndex(s.blobCache.indexes[s.m.installed.Index])
	return s.m.installed.Generation, []byte(s.blobCache.text(chunks))
}

// update runs f on the state machine with the lock held, publishes confirmedAt, and wakes the fetch loop if a newer
// head is to be installed.
func (s *Service) update(f func(m *stateMachine, now time.Time)) {
	now := time.Now()
	s.mu.Lock()
	s.m.observeEpoch(s.o.Viewer.Epoch(), now)
	f(s.m, now)
	confirmed := s.m.confirmedAt
	s.confirmed.Store(&confirmed)
	_, want := s.m.wanted(now)
	s.mu.Unlock()
	if want {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

// install compiles the chunks of a head and makes it current, unless a head of the same or a newer generation is
// installed. It fails if a chunk is no longer cached.
func (s *Service) install(h Head, chunks []Hash) error {
	s.installMu.Lock()
	defer s.installMu.Unlock()
	s.mu.Lock()
	if h.Generation <= s.m.installed.Generation {
		s.mu.Unlock()
		return nil
	}
	if n := len(s.blobCache.missing(chunks)); n > 0 {
		s.mu.Unlock()
		return &MissingBlobsError{Generation: h.Generation, Count: n}
	}
	all, err := s.blobCache.compile(chunks)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	next := NewSnapshot(h.Generation, all)

	// The pointer is swapped before the state machine is updated, so that requests use the new snapshot by the time
	// its generation is reported as installed.
	previous := s.current.Swap(next)
	s.update(func(m *stateMachine, _ time.Time) {
		m.install(h)
		s.blobCache.installed(h.Index)
		close(s.changed)
		s.changed = make(chan struct{})
	})
	s.o.Metrics.Set("config_generation", int64(h.Generation))
	s.o.Log.Info("configuration installed", "generation", h.Generation, "rules", len(all))
	s.o.OnInstall(previous, next)
	return nil
}

// waitInstalled waits until the given generation or a newer one is installed or the context ends, and returns the
// installed generation.
func (s *Service) waitInstalled(ctx context.Context, generation uint64) uint64 {
	for {
		s.mu.Lock()
		installed, changed := s.m.installed.Generation, s.changed
		s.mu.Unlock()
		if installed >= generation {
			return installed
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return installed
		}
	}
}

// canceled reports whether an error results from a canceled context and not from a failed call.
func canceled(ctx context.Context, err error) bool {
	return err != nil && (ctx.Err() != nil || errors.Is(err, context.Canceled))
}
