package front

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/boragecourse/boragecourse/internal/evacuation"
	"github.com/boragecourse/boragecourse/internal/exchange"
	"github.com/boragecourse/boragecourse/internal/fleet"
	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/internal/leader"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/registry"
	"github.com/boragecourse/boragecourse/internal/replica"
	"github.com/boragecourse/boragecourse/internal/wait"
	"github.com/boragecourse/boragecourse/platform"
)

const (
	// watchWait is the longest long-poll time of a watch on the store. A dead connection is detected shortly after this time.
	watchWait = 1500 * time.Millisecond
	// minWatchWait is the shortest long-poll time. It bounds the rate of calls.
	minWatchWait = 100 * time.Millisecond
	// watchPause is the pause after a watch that returned changes. It batches changes and so limits the rate of calls when
	// many backend servers change.
	watchPause = 250 * time.Millisecond
	// retryPause is the shortest pause after a failed call to the store. The pause is at least retryPausePerHost times the
	// number of hosts, so that the calls to a store that is away do not grow with the fleet.
	retryPause        = 300 * time.Millisecond
	retryPausePerHost = 8 * time.Millisecond
	// followCheck is the interval at which a host that relies on relays checks the age of its copy.
	followCheck = 250 * time.Millisecond
	// followReserve is the part of the time within which a change must be in force that a host needs to read the store
	// itself: followCheck, up to retryPause, and the call, at a host that is short of processor time.
	followReserve = time.Second
	// relayDelay is the time that a relay's confirmation takes to reach its followers, at most: the interval of reports, that
	// of branches in large zones, and their processing.
	relayDelay = 800 * time.Millisecond
	// recoveryNotice is how long a host tells others of the end of an outage of the store.
	recoveryNotice = 10 * time.Second
	// outageThreshold is the downtime of the store after which registrations may have expired only because backend servers
	// could not renew them.
	outageThreshold = 2 * time.Second
)

// Store is the part of the platform's key-value store that a host uses: reads and watches for State, and leases for the
// leader election.
type Store interface {
	Get(ctx context.Context, key string) (kvstore.KeyValue, bool, error)
	Snapshot(ctx context.Context, prefix string) ([]kvstore.KeyValue, int64, error)
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]kvstore.Event, int64, error)
	leader.LeaseStore
}

// State is a host's view of the fleet: the newest known configuration and the registered backend servers. It watches the
// store, and accepts newer copies from other hosts while the store does not respond.
type State struct {
	store   Store
	log     logr.Logger
	metrics *metrics.Registry
	now     func() time.Time

	configuration atomic.Pointer[fleet.Configuration]
	// onServers gets the usable backend servers, and those that are not usable only because their zone is evacuated.
	onServers    func(usable, evacuated []registry.State)
	onConfig     func(*fleet.Configuration)
	onQuarantine func(kvstore.KeyValue)
	// onVersions gets all registered servers and the items of the copy.
	onVersions func([]fleet.Server, []kvstore.KeyValue)

	mu      sync.Mutex
	copy    replica.Copy
	servers *registry.Registry
	// evacuations are those in force, offered the ones that another host retains and that are applied with its copy.
	// copySource is the source of the copy, for logs. unseenZones are those of evacuations that have just begun.
	evacuations *evacuation.Set
	offered     []evacuation.Entry
	copySource  string
	unseenZones []string
	// confirmedBefore is when the copy was last known to be current before its newest change was received, for logs.
	confirmedBefore time.Time
	// receivedCopy is set once another host has passed on its copy since eraSeenAt, the time at which this host started or first
	// saw the era of its copy.
	receivedCopy bool
	eraSeenAt    time.Time
	// evacuated holds the evacuated zones. loaded is set once a copy has been read.
	evacuated atomic.Pointer[map[string]bool]
	loaded    atomic.Bool
	// unreadable holds the keys of the copy whose values cannot be decoded, unreadableBefore those of the copy before.
	unreadable, unreadableBefore map[string]bool
	// registrations holds the decoded entries of the copy by key. Most entries stay the same from one copy to the next.
	registrations map[string]registration

	recheck *time.Timer
	storeOK bool
	// ownPrefix is the prefix of this project's own keys in the store, which are watched as well.
	ownPrefix    string
	lastAnswered time.Time
	// recoveredAt is when the last outage of the store ended. storeLost is set while the store does not respond to this
	// host, relayLostStore while it does not respond to the relay that this host follows.
	recoveredAt               time.Time
	storeLost, relayLostStore bool
	// restoredRevision is the revision of the first copy after the store was restored, 0 if it never was. Items with a higher
	// one were written since. The time of the restore is recoveredAt.
	restoredRevision int64
	// follows reports whether relays read the store for this host, and relayed whether relays read it for any host. hosts is
	// the number of hosts of the fleet.
	follows, relayed func() bool
	hosts            func() int
	// changeBound is the time within which a change in the store must be in force on this host.
	changeBound time.Duration
	// configRevision is the store revision of the configuration that was decoded last.
	configRevision int64
	// configValue is the value of the active configuration. The store may hold an older one after it was restored.
	configValue []byte
	// reportedVersion is the highest version of a configuration that another host has reported, outdatedSince when this
	// host was first found to have an older one.
	reportedVersion uint64
	outdatedSince   time.Time
	// outdated is set while outdatedSince is not zero.
	outdated atomic.Bool
}

// defaultChangeBound applies until the settings are known.
const defaultChangeBound = 2 * time.Second

func newState(store Store, log logr.Logger, reg *metrics.Registry, now func() time.Time) *State {
	s := &State{
		evacuations: evacuation.New(), copySource: sourceStore, eraSeenAt: now(),
		ownPrefix: storePrefix, store: store, log: log, metrics: reg, now: now, servers: registry.New(),
		onServers: func(_, _ []registry.State) {}, onConfig: func(*fleet.Configuration) {}, onQuarantine: func(kvstore.KeyValue) {}, onVersions: func([]fleet.Server, []kvstore.KeyValue) {}, follows: func() bool { return false },
		relayed: func() bool { return false }, hosts: func() int { return 1 }, changeBound: defaultChangeBound,
	}
	s.evacuated.Store(&map[string]bool{})
	return s
}

// Configuration returns the active configuration, or nil before the first one was read.
func (s *State) Configuration() *fleet.Configuration { return s.configuration.Load() }

// Serve reads and watches the store until ctx ends, except while the relays of the zone do so for this host. It
// implements suture.Service.
func (s *State) Serve(ctx context.Context) error {
	read := false
	for ctx.Err() == nil {
		if s.follow(ctx) {
			// The copy is complete, so a watch can continue from it.
			read = true
			continue
		}
		if !read {
			applied, err := s.readAll(ctx)
			if ctx.Err() != nil {
				break
			}
			s.recordStoreResult(err)
			read = err == nil
			if !applied {
				_ = wait.For(ctx, s.retryWait())
			}
			continue
		}
		changed, err := s.readChanges(ctx)
		if ctx.Err() != nil {
			break
		}
		s.recordStoreResult(err)
		var compacted *platform.CompactedError
		var restored *platform.RestoredError
		switch {
		case errors.As(err, &restored):
			read = false
		case errors.As(err, &compacted):
			s.log.Info("store history compacted; reading full snapshot", "after", kvstore.WithoutEra(compacted.After))
			s.metrics.Inc("store_compacted")
			read = false
		case err != nil:
			// The watch may have missed changes that are compacted by the time it is resumed, so read a full snapshot.
			read = false
			_ = wait.For(ctx, s.retryWait())
		case changed:
			_ = wait.For(ctx, watchPause)
		}
	}
	return ctx.Err()
}

// retryWait returns the pause after a failed call to the store. It is spread at random, since hosts that start together
// fail together and would otherwise call the store again together.
func (s *State) retryWait() time.Duration {
	pause := max(retryPause, time.Duration(s.hosts())*retryPausePerHost)
	return pause/2 + rand.N(pause)
}

// follow waits while the relays of the zone keep the copy current, and reports whether they did so at all. When they
// stop, it waits a little more, so that the hosts of the zone do not all read the store at once.
func (s *State) follow(ctx context.Context) bool {
	followed := false
	for ctx.Err() == nil && s.follows() && s.copyFollowed() {
		followed = true
		_ = wait.For(ctx, followCheck)
	}
	if followed {
		s.logUnconfirmed()
		_ = wait.For(ctx, rand.N(retryPause))
	}
	return followed
}

// logUnconfirmed logs and counts that this host stops relying on relays although it is none of them itself.
func (s *State) logUnconfirmed() {
	if !s.follows() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.Info("copy not confirmed by relays; reading the store", "age", s.now().Sub(s.copy.ConfirmedAt()).Round(time.Millisecond),
		"relayLostStore", s.relayLostStore, "revision", kvstore.WithoutEra(s.copy.Revision()))
	s.metrics.Inc("relays_given_up", metrics.L("relay_lost_store", strconv.FormatBool(s.relayLostStore)))
}

// copyFollowed reports whether the copy is as current as relays keep it.
func (s *State) copyFollowed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copy.Revision() > 0 && !s.relayLostStore && s.now().Sub(s.copy.ConfirmedAt()) < s.followLimit()
}

// followLimit is the age of the copy up to which a host relies on the relays of its zone. However they fail, the host has then
// read the store itself before a change that they have missed must be in force.
func (s *State) followLimit() time.Duration { return max(s.changeBound-followReserve, followReserve) }

// changeBound returns the time within which each kind of change in the store must be in force.
func changeBound(limits fleet.OperatingLimits) time.Duration {
	bound := min(limits.ConfigApply, limits.DrainNotice)
	if limits.Evacuation > 0 {
		bound = min(bound, limits.Evacuation)
	}
	return bound
}

// nextWatchWait returns the long-poll time of the next watch. In a fleet with relays it ends before the copies of the
// followers reach followLimit. A watch that returns changes confirms the copy only as of its request, so the next one is
// shorter.
func (s *State) nextWatchWait() time.Duration {
	if !s.relayed() {
		return watchWait
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	left := s.followLimit() - relayDelay - s.now().Sub(s.copy.ConfirmedAt())
	return min(max(left, minWatchWait), watchWait)
}

// readAll replaces the copy by a snapshot of the store. It reports false if the snapshot is older than the copy.
func (s *State) readAll(ctx context.Context) (bool, error) {
	requestedAt := s.now()
	items, revision, err := s.snapshot(ctx)
	if err != nil {
		return false, err
	}
	s.recordStoreResult(nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmedBefore = s.copy.ConfirmedAt()
	applied := s.replaceCopy(items, revision, requestedAt, s.now())
	if !applied {
		s.log.Info("store snapshot older than local copy, not applied", "era", kvstore.Era(revision), "revision", kvstore.WithoutEra(revision),
			"present", kvstore.WithoutEra(s.copy.Revision()))
		s.metrics.Inc("store_snapshots_refused")
	}
	s.copySource = sourceStore
	s.applyCopy()
	return applied, nil
}

// snapshot reads all keys of interest and returns the lowest of their revisions. The error is a *platform.RestoredError
// if the store was restored meanwhile.
func (s *State) snapshot(ctx context.Context) ([]kvstore.KeyValue, int64, error) {
	var all []kvstore.KeyValue
	var lowest int64
	for _, prefix := range []string{platform.EvacuationPrefix, platform.ConfigurationKey, platform.RegistrationPrefix, s.ownPrefix} {
		items, revision, err := s.store.Snapshot(ctx, prefix)
		if err != nil {
			return nil, 0, err
		}
		if lowest != 0 && kvstore.Era(revision) != kvstore.Era(lowest) {
			return nil, 0, &platform.RestoredError{Previous: kvstore.Era(lowest), Era: kvstore.Era(revision)}
		}
		if lowest == 0 || revision < lowest {
			lowest = revision
		}
		all = append(all, items...)
	}
	return all, lowest, nil
}

// replaceCopy replaces the copy by a complete state of the store. It reports false if that is older. restoredAt is when the
// store was restored if the state is of a later era. s.mu must be held.
func (s *State) replaceCopy(items []kvstore.KeyValue, revision int64, confirmed, restoredAt time.Time) bool {
	previous := s.copy.Revision()
	if !s.copy.Replace(items, revision, confirmed) {
		return false
	}
	if previous > 0 && kvstore.Era(revision) > kvstore.Era(previous) {
		s.log.Info("store restored from an older copy", "era", kvstore.Era(revision), "previousEra", kvstore.Era(previous),
			"revision", kvstore.WithoutEra(revision), "previousRevision", kvstore.WithoutEra(previous))
		s.metrics.Inc("store_restored")
		s.recoveredAt, s.restoredRevision = restoredAt, revision
		s.servers.StoreRestored(restoredAt)
		s.receivedCopy, s.eraSeenAt = false, s.now()
	}
	return true
}

func (s *State) readChanges(ctx context.Context) (bool, error) {
	s.mu.Lock()
	after := s.copy.Revision()
	s.mu.Unlock()
	wait := s.nextWatchWait()
	requestedAt := s.now()
	events, at, err := s.store.Changes(ctx, "", after, wait)
	if err != nil {
		return false, err
	}
	confirmedAt := requestedAt
	if len(events) == 0 && s.now().Sub(requestedAt) >= wait {
		// The store has waited before it responded. A watch may also be cut earlier.
		confirmedAt = requestedAt.Add(wait)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmedBefore = s.copy.ConfirmedAt()
	if s.copy.Apply(s.relevant(events), at, confirmedAt) {
		s.copySource = sourceStore
		s.applyCopy()
	}
	return len(events) > 0, nil
}

// relevant filters events in place, keeping those of the configuration, of registrations, of evacuations and of the project's
// own keys.
func (s *State) relevant(events []kvstore.Event) []kvstore.Event {
	kept := events[:0]
	for _, e := range events {
		if e.Key == platform.ConfigurationKey || platform.IsRegistration(e.Key) || strings.HasPrefix(e.Key, s.ownPrefix) ||
			strings.HasPrefix(e.Key, platform.EvacuationPrefix) {
			kept = append(kept, e)
		}
	}
	return kept
}

// recordStoreResult records the result of a call to the store and logs when the store becomes unreachable or reachable
// again. Errors that only a reachable store returns count as success.
func (s *State) recordStoreResult(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var compacted *platform.CompactedError
	var restored *platform.RestoredError
	if ok := err == nil || errors.As(err, &compacted) || errors.As(err, &restored); !ok {
		if s.storeOK {
			s.log.Error(err, "store lost", "revision", kvstore.WithoutEra(s.copy.Revision()))
			s.metrics.Inc("store_lost")
		}
		s.storeOK, s.storeLost = false, true
		return
	}
	s.storeLost = false
	if !s.storeOK {
		s.logStoreReachable(now)
	}
	s.storeOK, s.lastAnswered = true, now
}

// logStoreReachable logs the first response of the store, or the first one after an outage. s.mu must be held.
func (s *State) logStoreReachable(now time.Time) {
	if s.lastAnswered.IsZero() {
		s.log.Info("store reachable")
		return
	}
	downtime := now.Sub(s.lastAnswered)
	s.log.Info("store reachable again", "away", downtime.Round(time.Millisecond))
	if downtime > outageThreshold {
		s.recoveredAt = now
		s.servers.StoreRecovered(now)
	}
}

// applyCopy decodes the copy of the store and applies changes of backend servers and configuration. s.mu must be held.
func (s *State) applyCopy() {
	now := s.now()
	s.unreadableBefore, s.unreadable = s.unreadable, map[string]bool{}
	items := s.copy.Items()
	s.applyEvacuations(items)
	var servers []fleet.Server
	known := s.registrations
	s.registrations = make(map[string]registration, len(known))
	for _, item := range items {
		id, isRegistration := platform.RegistrationID(item.Key)
		if item.Key == quarantineKey {
			s.onQuarantine(item)
		}
		if strings.HasPrefix(item.Key, s.ownPrefix) {
			continue
		}
		if !isRegistration {
			if item.Key == platform.ConfigurationKey {
				s.applyConfiguration(item)
			}
			continue
		}
		entry, decoded := known[item.Key]
		if !decoded || !bytes.Equal(entry.value, item.Value) {
			entry = registration{value: item.Value}
			entry.server, entry.err = platform.DecodeRegistration(id, item.Value)
		}
		s.registrations[item.Key] = entry
		if entry.err != nil {
			s.recordUnreadable(item.Key, entry.err)
			continue
		}
		server := entry.server
		if s.restoredRevision > 0 && item.ModRevision > s.restoredRevision {
			s.servers.RecordWrite(server.ID, server.StartMillis)
		}
		servers = append(servers, server)
	}
	for _, c := range s.servers.Update(servers, now) {
		s.log.Info("backend server "+string(c.Kind), "server", c.Server.ID, "service", c.Server.Service,
			"address", c.Server.Address, "stage", c.Server.Stage, "born", c.Server.StartMillis, "revision", kvstore.WithoutEra(s.copy.Revision()))
		s.metrics.Inc("registration_changes", metrics.L("kind", string(c.Kind)))
	}
	s.onVersions(servers, items)
	s.scheduleRecheck(now)
	evacuated := s.servers.Evacuated(now)
	s.reportEvacuated(len(evacuated))
	s.onServers(s.servers.Usable(now), evacuated)
}

// registration is the outcome of decoding the entry of a backend server.
type registration struct {
	value  []byte
	server fleet.Server
	err    error
}

// recordUnreadable counts an entry that cannot be decoded and logs it once per key, so that an entry that stays
// undecodable does not flood the log.
func (s *State) recordUnreadable(key string, err error) {
	s.metrics.Inc("unreadable_entries")
	s.unreadable[key] = true
	if !s.unreadableBefore[key] {
		s.log.Error(err, "failed to decode store entry, entry ignored", "key", key)
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
			s.applyCopy()
		})
	}
}

// applyConfiguration activates the stored configuration if it is newer than the active one. s.mu must be held.
func (s *State) applyConfiguration(item kvstore.KeyValue) {
	if item.ModRevision == s.configRevision {
		return
	}
	if s.activate(item.Value, item.ModRevision) {
		s.configRevision = item.ModRevision
	}
}

// activate activates a configuration that was stored at a revision, 0 if that is not known, if it is newer than the
// active one. It reports whether the value could be decoded. s.mu must be held.
func (s *State) activate(value []byte, revision int64) bool {
	next, err := platform.DecodeConfiguration(value)
	if err != nil {
		s.recordUnreadable(platform.ConfigurationKey, err)
		return false
	}
	if next.Version <= s.configurationVersion() {
		return true
	}
	s.configValue = value
	s.configuration.Store(next)
	if next.Version >= s.reportedVersion {
		s.outdatedSince = time.Time{}
		s.outdated.Store(false)
	}
	s.log.Info("configuration activated", "version", next.Version, "era", kvstore.Era(revision), "revision", kvstore.WithoutEra(revision),
		"source", s.copySource, "unconfirmed", s.unconfirmed())
	s.metrics.Set("configuration_version", int64(next.Version))
	s.onConfig(next)
	return true
}

// unconfirmed returns the age of the copy before its newest change was received, 0 without an earlier copy. s.mu must be held.
func (s *State) unconfirmed() time.Duration {
	if s.confirmedBefore.IsZero() {
		return 0
	}
	return s.now().Sub(s.confirmedBefore).Round(time.Millisecond)
}

// configurationVersion returns the version of the active configuration, 0 if there is none.
func (s *State) configurationVersion() uint64 {
	if present := s.configuration.Load(); present != nil {
		return present.Version
	}
	return 0
}

// MarkMisdirected records that a response came from another backend server or stage than the one registered at the
// address.
func (s *State) MarkMisdirected(server fleet.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers.MarkMisdirected(server.ID, server.StartMillis, s.now())
	s.applyCopy()
	s.log.Info("address serves a different backend server or stage than registered", "server", server.ID, "address", server.Address)
}

// MarkLeaving records that a backend server has announced in a response that it leaves.
func (s *State) MarkLeaving(server fleet.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.servers.MarkLeaving(server.ID, server.StartMillis) {
		return
	}
	s.log.Info("backend server announces that it leaves", "server", server.ID, "service", server.Service, "born", server.StartMillis)
	s.metrics.Inc("leaving_announced", metrics.L("service", server.Service))
	s.applyCopy()
}

// staleAfter is the age above which the copy is fetched from another host that has a newer one. While watches succeed,
// the copy stays younger than this.
const staleAfter = watchWait + watchPause + 250*time.Millisecond

// configurationLag is the time within which a configuration that another host has usually arrives from the store.
const configurationLag = 500 * time.Millisecond

// Version returns the version of the copy and the time at which the copy was last known to be current.
func (s *State) Version() (exchange.StateVersion, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return exchange.StateVersion{Revision: s.copy.Revision(), Configuration: s.configurationVersion()}, s.copy.ConfirmedAt()
}

// Outdated reports whether another host has a newer configuration than this one.
func (s *State) Outdated() bool { return s.outdated.Load() }

// Restored reports whether the store was restored from an older copy while this process has run.
func (s *State) Restored() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.restoredRevision > 0
}

// ObserveConfiguration records the version of another host's configuration.
func (s *State) ObserveConfiguration(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordReported(version, s.now())
}

// Transfer is what one host passes on of its copy of the store.
type Transfer struct {
	// Items are all items, or with Partial those that have changed after a revision. Removed are the keys removed since.
	Items    []kvstore.KeyValue
	Removed  []replica.Removal
	Partial  bool
	Revision int64
	// Retained are the evacuations that the store has lost and that are in force even so.
	Retained []evacuation.Entry
	// Configuration is the newest configuration if the receiver lacks it and it is not among the items.
	Configuration []byte
	// ConfirmedAt is when the copy was last known to be current; RecoveredAt is when the last outage of the store ended,
	// zero when that was long ago. StoreLost is set while the store does not respond to the host.
	ConfirmedAt, RecoveredAt time.Time
	StoreLost                bool
}

// Since returns what has changed in the copy after a version, or all of it when that is not known.
func (s *State) Since(version exchange.StateVersion) Transfer {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := Transfer{Revision: s.copy.Revision(), ConfirmedAt: s.copy.ConfirmedAt(), StoreLost: s.storeLost, Retained: s.evacuations.Retained()}
	if s.now().Sub(s.recoveredAt) < recoveryNotice {
		t.RecoveredAt = s.recoveredAt
	}
	t.Items, t.Removed, t.Partial = s.copy.Since(version.Revision)
	included := slices.ContainsFunc(t.Items, func(item kvstore.KeyValue) bool {
		return item.Key == platform.ConfigurationKey && bytes.Equal(item.Value, s.configValue)
	})
	if version.Configuration < s.configurationVersion() && !included {
		t.Configuration = s.configValue
	}
	return t
}

// OwnItems returns this project's own items in the copy. It reports false when no copy has been read yet.
func (s *State) OwnItems() ([]kvstore.KeyValue, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var own []kvstore.KeyValue
	for _, item := range s.copy.Items() {
		if strings.HasPrefix(item.Key, s.ownPrefix) {
			own = append(own, item)
		}
	}
	return own, s.copy.Revision() > 0
}

// ShouldFetch reports whether a peer's copy with the given version and age should be fetched: it is newer, and the store
// has not confirmed the local copy for as long as it should have, or the peer may have a configuration or evacuations that the
// store has lost.
func (s *State) ShouldFetch(version exchange.StateVersion, age time.Duration) bool {
	limit := staleAfter
	follows := s.follows()
	if follows {
		limit = s.followLimit()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.recordReported(version.Configuration, now) || !follows && s.awaitsRetained(now) {
		return true
	}
	return version.Revision > s.copy.Revision() && now.Sub(s.copy.ConfirmedAt()) > limit && now.Add(-age).After(s.copy.ConfirmedAt())
}

// recordReported records the version of another host's configuration. overdue is set if this host has had an older one
// for configurationLag. s.mu must be held.
func (s *State) recordReported(reported uint64, now time.Time) (overdue bool) {
	if reported <= s.configurationVersion() {
		return false
	}
	s.reportedVersion = max(s.reportedVersion, reported)
	if s.outdatedSince.IsZero() {
		s.outdatedSince = now
		s.outdated.Store(true)
	}
	return now.Sub(s.outdatedSince) >= configurationLag
}

// ReceiveCopy applies what another host passes on of its copy, if that is newer. fromRelay is set when that host reads
// the store for this one.
func (s *State) ReceiveCopy(from string, t Transfer, fromRelay bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copySource, s.confirmedBefore = sourceHost, s.copy.ConfirmedAt()
	if fromRelay {
		s.copySource = sourceRelay
		s.relayLostStore = t.StoreLost
		s.storeLost = s.storeLost && t.StoreLost
	}
	if t.Configuration != nil {
		s.activate(t.Configuration, 0)
	}
	if t.Revision < s.copy.Revision() || t.Revision == 0 {
		s.receivedCopy = s.receivedCopy || t.Revision > 0
		if s.receiveRetained(t.Retained) {
			s.applyCopy()
		}
		return
	}
	if t.RecoveredAt.After(s.recoveredAt) {
		s.recoveredAt = t.RecoveredAt
		s.servers.StoreRecovered(t.RecoveredAt)
	}
	newer := t.Revision > s.copy.Revision()
	events := make([]kvstore.Event, 0, len(t.Items)+len(t.Removed))
	for _, item := range t.Items {
		events = append(events, kvstore.Event{KeyValue: item})
	}
	for _, r := range t.Removed {
		events = append(events, kvstore.Event{KeyValue: kvstore.KeyValue{Key: r.Key, ModRevision: r.Revision}, Deleted: true})
	}
	if t.Partial {
		s.copy.Apply(events, t.Revision, t.ConfirmedAt)
	} else {
		restoredAt := t.RecoveredAt
		if restoredAt.IsZero() {
			restoredAt = s.now()
		}
		s.replaceCopy(t.Items, t.Revision, t.ConfirmedAt, restoredAt)
	}
	s.receivedCopy = true
	if !newer {
		if s.receiveRetained(t.Retained) {
			s.applyCopy()
		}
		return
	}
	s.offered = t.Retained
	if !fromRelay {
		s.log.Info("store copy replaced by a newer one from another host", "from", from, "revision", kvstore.WithoutEra(t.Revision), "age", s.now().Sub(t.ConfirmedAt))
		s.metrics.Inc("state_transfers")
	}
	s.applyCopy()
}
