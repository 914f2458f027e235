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
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/peer"
	"github.com/boragecourse/boragecourse/internal/platform"
	"github.com/boragecourse/boragecourse/internal/rules"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// DefaultTrustPeriod is how long a host serves keyed requests on a confirmation. A withdrawn key must stop within
// 5 s even where push and watch fail; 3 s leave room for the calls in between.
const DefaultTrustPeriod = 3 * time.Second

// Options configure a Service. Store, Viewer and Dialer are required. The service calls Viewer.Reachable while it
// holds its lock, so the viewer must not call Apply, Distribution or Text from under its own.
type Options struct {
	Store  platform.Store
	Viewer membership.Viewer
	Dialer peer.Dialer
	// ExtraPeers returns hosts known besides the epoch's, for example from the platform's list. A daemon that
	// starts while the store is down finds its first configuration through them. Default none.
	ExtraPeers func() []host.ID
	// EpochKey is the store's key of the epoch and DecodeEpoch reads the epoch's number from its value. With
	// them a change is committed only if the epoch did not change meanwhile, so that its acknowledgement counts
	// the right hosts. Default none.
	EpochKey    string
	DecodeEpoch func([]byte) (uint64, error)
	// TrustPeriod as in DefaultTrustPeriod.
	TrustPeriod time.Duration
	// OnInstall is called after each installation, in order, with the previous snapshot (nil at first) and the
	// new one. It must not block; new requests already see the new snapshot.
	OnInstall func(previous, installed *Snapshot)
	Log       logr.Logger
	Metrics   *metrics.Registry
}

// Service holds the installed configuration and keeps it up to date. It implements Reader and the grpc service
// boragecourse.peer.v1.Config. The installed snapshot survives a restart of Serve.
type Service struct {
	peerv1.UnimplementedConfigServer

	o       Options
	current atomic.Pointer[Snapshot]
	// confirmed mirrors machine.confirmedAt for the request path.
	confirmed atomic.Pointer[time.Time]

	mu      sync.Mutex
	m       *machine
	blobs   *blobs
	changed chan struct{}
	asking  map[string]bool
	inRead  bool
	round   int
	// committed is the generation that this host committed last, under the epoch with the given number.
	committed, committedUnder uint64

	installMu sync.Mutex
	// wake starts a fetch, and hints asks a peer at once.
	wake  chan struct{}
	hints chan host.ID
}

var _ Reader = (*Service)(nil)

// New returns a service without configuration. Register it with a grpc server and run Serve.
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
		o: o, m: newMachine(o.Viewer.Self(), time.Now()), blobs: newBlobs(),
		changed: make(chan struct{}), asking: map[string]bool{},
		wake: make(chan struct{}, 1), hints: make(chan host.ID, 16),
	}
	s.confirmed.Store(&time.Time{})
	return s
}

// Register adds the service to a grpc server.
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

// FreshnessAge returns how long ago the installed configuration was confirmed as current, or -1 for never.
func (s *Service) FreshnessAge(now time.Time) time.Duration { return age(now, *s.confirmed.Load()) }

// KeyedRequestsAllowed implements Reader. The cases are those of the design page: a confirmation by the store,
// relayed with its age, or by a majority of the epoch's hosts, within the trust period; otherwise only workspaces
// with isolated=serve.
func (s *Service) KeyedRequestsAllowed(workspace string) error {
	now := time.Now()
	a := s.FreshnessAge(now)
	snapshot := s.Current()
	if snapshot == nil {
		return &StaleError{Workspace: workspace, Age: -1}
	}
	if a >= 0 && a <= s.o.TrustPeriod {
		return nil
	}
	if w := snapshot.Workspace(workspace); w != nil && w.Isolated == rules.IsolatedServe {
		return nil
	}
	s.o.Metrics.Inc("config_stale_refusals")
	return &StaleError{Workspace: workspace, Age: a}
}

// HintGeneration tells of a generation that a peer reported elsewhere, for example in a heartbeat. A newer one
// makes the service ask the peer at once.
func (s *Service) HintGeneration(from host.ID, generation uint64) {
	if generation <= s.Generation() {
		return
	}
	select {
	case s.hints <- from:
	default:
	}
}

// Text returns the installed generation and its file; zero and nil before the first one.
func (s *Service) Text() (uint64, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.m.installed.Generation == 0 {
		return 0, nil
	}
	chunks, _ := decodeIndex(s.blobs.indexes[s.m.installed.Index])
	return s.m.installed.Generation, []byte(s.blobs.text(chunks))
}

// update runs f on the state machine and publishes the effects.
func (s *Service) update(f func(m *machine, now time.Time)) {
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

// install compiles a head and makes it current, unless a newer one is. It fails when a chunk is no longer cached.
func (s *Service) install(h Head, chunks []Hash) error {
	s.installMu.Lock()
	defer s.installMu.Unlock()
	s.mu.Lock()
	if h.Generation <= s.m.installed.Generation {
		s.mu.Unlock()
		return nil
	}
	if n := len(s.blobs.missing(chunks)); n > 0 {
		s.mu.Unlock()
		return &MissingBlobsError{Generation: h.Generation, Count: n}
	}
	all, err := s.blobs.compile(chunks)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	next := NewSnapshot(h.Generation, all)

	// The pointer is swapped before the state says so: whoever reads that a generation is installed can rely on
	// requests seeing it.
	previous := s.current.Swap(next)
	s.update(func(m *machine, _ time.Time) {
		m.install(h)
		s.blobs.installed(h.Index)
		close(s.changed)
		s.changed = make(chan struct{})
	})
	s.o.Metrics.Set("config_generation", int64(h.Generation))
	s.o.Log.Info("configuration installed", "generation", h.Generation, "rules", len(all))
	s.o.OnInstall(previous, next)
	return nil
}

// waitInstalled waits until a generation is installed or the context ends, and returns the installed one.
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

// canceled reports whether an error only says that the caller stopped waiting.
func canceled(ctx context.Context, err error) bool {
	return err != nil && (ctx.Err() != nil || errors.Is(err, context.Canceled))
}
