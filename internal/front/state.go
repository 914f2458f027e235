package front

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/boragecourse/boragecourse/internal/duty"
	"github.com/boragecourse/boragecourse/internal/fleet"
	"github.com/boragecourse/boragecourse/internal/metrics"
	kv "github.com/boragecourse/boragecourse/internal/platform"
	"github.com/boragecourse/boragecourse/internal/registry"
	"github.com/boragecourse/boragecourse/internal/replica"
	"github.com/boragecourse/boragecourse/internal/wait"
	"github.com/boragecourse/boragecourse/platform"
)

const (
	// watchWait is how long the store may hold a watch; a silent connection is noticed soon after.
	watchWait = 1500 * time.Millisecond
	// watchPause bounds the calls per second when many backend servers change: changes are collected meanwhile.
	watchPause = 250 * time.Millisecond
	// retryPause separates calls to a store that fails.
	retryPause = 300 * time.Millisecond
	// outage is the time without an answer after which registrations may have lapsed.
	outage = 2 * time.Second
)

// Store is the part of the platform's store that a host uses: what the state follows, and leases.
type Store interface {
	Snapshot(ctx context.Context, prefix string) ([]kv.KeyValue, int64, error)
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]kv.Event, int64, error)
	duty.Leases
}

// State is what a host believes of the fleet: the newest configuration and the backend servers. It follows the
// store, and takes newer copies from other hosts.
type State struct {
	store   Store
	log     logr.Logger
	metrics *metrics.Registry
	now     func() time.Time

	configuration atomic.Pointer[fleet.Configuration]
	onServers     func([]registry.State)
	onConfig      func(*fleet.Configuration)

	mu      sync.Mutex
	copy    replica.Copy
	servers *registry.Registry
	unread  map[string]bool
	recheck *time.Timer
	storeOK bool
	// extra are the keys of this project in the store that are followed too.
	extra    string
	answered time.Time
	// configured is the revision of the configuration that was read last.
	configured int64
}

func newState(store Store, log logr.Logger, reg *metrics.Registry, now func() time.Time) *State {
	return &State{
		extra: duty.Prefix, store: store, log: log, metrics: reg, now: now, servers: registry.New(), unread: map[string]bool{},
		onServers: func([]registry.State) {}, onConfig: func(*fleet.Configuration) {},
	}
}

// Configuration returns the newest known configuration, nil before the first.
func (s *State) Configuration() *fleet.Configuration { return s.configuration.Load() }

// Serve follows the store until ctx ends. It implements suture.Service.
func (s *State) Serve(ctx context.Context) error {
	read := false
	for ctx.Err() == nil {
		if !read {
			err := s.readAll(ctx)
			s.storeAnswered(err)
			read = err == nil
			if err != nil {
				_ = wait.For(ctx, retryPause)
			}
			continue
		}
		changed, err := s.readChanges(ctx)
		s.storeAnswered(err)
		var compacted *platform.CompactedError
		switch {
		case errors.As(err, &compacted):
			s.log.Info("history of the store is gone, reading all", "after", compacted.After)
			s.metrics.Inc("store_compacted")
			read = false
		case err != nil:
			// A lost watch may have hidden changes whose history is dropped meanwhile.
			read = false
			_ = wait.For(ctx, retryPause)
		case changed:
			_ = wait.For(ctx, watchPause)
		}
	}
	return ctx.Err()
}

func (s *State) readAll(ctx context.Context) error {
	asked := s.now()
	configuration, at, err := s.store.Snapshot(ctx, platform.ConfigurationKey)
	if err != nil {
		return err
	}
	servers, at2, err := s.store.Snapshot(ctx, platform.RegistrationPrefix)
	if err != nil {
		return err
	}
	own, at3, err := s.store.Snapshot(ctx, s.extra)
	if err != nil {
		return err
	}
	s.storeAnswered(nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := min(at, at2, at3)
	if !s.copy.Replace(slices.Concat(configuration, servers, own), revision, asked) {
		s.log.Info("state of the store is older than the present one", "revision", revision, "present", s.copy.Revision())
	}
	s.take()
	return nil
}

func (s *State) readChanges(ctx context.Context) (bool, error) {
	s.mu.Lock()
	after := s.copy.Revision()
	s.mu.Unlock()
	asked := s.now()
	events, at, err := s.store.Changes(ctx, "", after, watchWait)
	if err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.copy.Apply(s.relevant(events), at, asked) {
		s.take()
	}
	return len(events) > 0, nil
}

// relevant drops changes of keys that are not followed.
func (s *State) relevant(events []kv.Event) []kv.Event {
	kept := events[:0]
	for _, e := range events {
		if e.Key == platform.ConfigurationKey || platform.IsRegistration(e.Key) || strings.HasPrefix(e.Key, s.extra) {
			kept = append(kept, e)
		}
	}
	return kept
}

// storeAnswered notes whether the store answers.
func (s *State) storeAnswered(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var compacted *platform.CompactedError
	if ok := err == nil || errors.As(err, &compacted); !ok {
		if s.storeOK {
			s.log.Error(err, "store lost", "revision", s.copy.Revision())
			s.metrics.Inc("store_lost")
		}
		s.storeOK = false
		return
	}
	if !s.storeOK {
		away := now.Sub(s.answered)
		s.log.Info("store regained", "away", away.Round(time.Millisecond))
		if away > outage && !s.answered.IsZero() {
			s.servers.StoreBack(now)
		}
	}
	s.storeOK, s.answered = true, now
}

// take decodes the copy and passes on what changed.
func (s *State) take() {
	now := s.now()
	var servers []fleet.Server
	for _, item := range s.copy.Items() {
		id, isRegistration := platform.RegistrationID(item.Key)
		if strings.HasPrefix(item.Key, s.extra) {
			continue
		}
		if !isRegistration {
			s.takeConfiguration(item)
			continue
		}
		server, err := platform.DecodeRegistration(id, item.Value)
		if err != nil {
			s.noteUnreadable(item.Key, err)
			continue
		}
		servers = append(servers, server)
	}
	for _, c := range s.servers.Update(servers, now) {
		s.log.Info("backend server "+string(c.Kind), "server", c.Server.ID, "service", c.Server.Service,
			"address", c.Server.Address, "stage", c.Server.Stage, "born", c.Server.Born, "revision", s.copy.Revision())
		s.metrics.Inc("registration_changes", metrics.L("kind", string(c.Kind)))
	}
	s.scheduleRecheck(now)
	s.onServers(s.servers.Usable(now))
}

// noteUnreadable logs each unreadable entry once, so that one that stays does not fill the log.
func (s *State) noteUnreadable(key string, err error) {
	s.metrics.Inc("unreadable_entries")
	if !s.unread[key] {
		s.unread[key] = true
		s.log.Error(err, "entry is unreadable and ignored", "key", key)
	}
}

func (s *State) scheduleRecheck(now time.Time) {
	if s.recheck != nil {
		s.recheck.Stop()
	}
	if at, due := s.servers.NextCheck(now); due {
		s.recheck = time.AfterFunc(at.Sub(now)+time.Millisecond, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.take()
		})
	}
}

func (s *State) takeConfiguration(item kv.KeyValue) {
	if item.ModRevision == s.configured {
		return
	}
	next, err := platform.DecodeConfiguration(item.Value)
	if err != nil {
		s.noteUnreadable(item.Key, err)
		return
	}
	s.configured = item.ModRevision
	if present := s.configuration.Load(); present != nil && next.Version <= present.Version {
		return
	}
	s.configuration.Store(next)
	s.log.Info("configuration in force", "version", next.Version, "revision", item.ModRevision)
	s.metrics.Set("configuration_version", int64(next.Version))
	s.onConfig(next)
}

// Misdirected records that an answer showed another backend server or stage at an address.
func (s *State) Misdirected(server fleet.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers.Misdirected(server.ID, server.Born, s.now())
	s.take()
	s.log.Info("another backend server or stage answers at the address", "server", server.ID, "address", server.Address)
}

// staleAfter is the age of the copy above which another host's newer copy is asked for; a watch that answers keeps the
// copy younger.
const staleAfter = watchWait + watchPause + 250*time.Millisecond

// Version returns the revision of the copy and when it was last known to be current.
func (s *State) Version() (int64, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copy.Revision(), s.copy.Confirmed()
}

// Copy returns the copy of the store.
func (s *State) Copy() ([]kv.KeyValue, int64, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copy.Items(), s.copy.Revision(), s.copy.Confirmed()
}

// Own returns the items of this project in the copy, and whether a copy was read yet.
func (s *State) Own() ([]kv.KeyValue, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var own []kv.KeyValue
	for _, item := range s.copy.Items() {
		if strings.HasPrefix(item.Key, s.extra) {
			own = append(own, item)
		}
	}
	return own, s.copy.Revision() > 0
}

// Behind tells whether a copy with the given revision and age is to be asked for: it is newer, and the store has not
// confirmed this one for a while.
func (s *State) Behind(revision int64, age time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	return revision > s.copy.Revision() && now.Sub(s.copy.Confirmed()) > staleAfter && now.Add(-age).After(s.copy.Confirmed())
}

// TakeCopy takes over another host's copy if it is newer.
func (s *State) TakeCopy(from string, items []kv.KeyValue, revision int64, confirmed time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision <= s.copy.Revision() || !s.copy.Replace(items, revision, confirmed) {
		return
	}
	s.log.Info("copy of the store taken from another host", "from", from, "revision", revision, "age", s.now().Sub(confirmed))
	s.metrics.Inc("state_transfers")
	s.take()
}
