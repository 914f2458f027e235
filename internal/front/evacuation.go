package front

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/boragecourse/boragecourse/internal/evacuation"
	"github.com/boragecourse/boragecourse/internal/fleet"
	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/outcome"
	"github.com/boragecourse/boragecourse/internal/registry"
	"github.com/boragecourse/boragecourse/platform"
)

const (
	// evacuatedRetryAfter is the least Retry-After of requests that only evacuated servers could run. When the evacuation
	// ends is not known. A random part of evacuatedRetrySpread is added, so that refused callers do not all return at once.
	evacuatedRetryAfter  = time.Second
	evacuatedRetrySpread = 3 * time.Second
	// retainedLimit is how long after its start, or after a restore of the store, a host asks others for the evacuations that the
	// store has lost.
	retainedLimit = 30 * time.Second
	// retainedWait is how long after its start a host is not ready while it waits for them. Restores are rare, so it must not
	// delay the start by much.
	retainedWait = time.Second
)

// Sources from which a host learns of a configuration or an evacuation, as used in logs.
const (
	sourceStore    = "store"
	sourceRelay    = "relay"
	sourceHost     = "host"
	sourceRestored = "restored"
)

// MaySend implements the check of platform.Backends: it returns *StaleServerError if the zone of a backend server is evacuated.
func (s *State) MaySend(key, zone string) error {
	if s.ZoneEvacuated(zone) {
		return &StaleServerError{Key: key}
	}
	return nil
}

// ZoneEvacuated reports whether the backend servers of a zone must get no requests.
func (s *State) ZoneEvacuated(zone string) bool { return (*s.evacuated.Load())[zone] }

// Loaded reports whether a copy of the store has been read, so that the evacuations in force are known.
func (s *State) Loaded() bool { return s.loaded.Load() }

// applyEvacuations updates the evacuations in force from the items of the copy, with what another host retains. s.mu must be held.
func (s *State) applyEvacuations(items []kvstore.KeyValue) {
	present, removed := map[string]int64{}, map[string]int64{}
	for _, item := range items {
		if zone, requested := platform.EvacuatedZone(item.Key); requested {
			present[zone] = item.ModRevision
		}
	}
	for zone := range *s.evacuated.Load() {
		if at, known := s.copy.RemovedAt(platform.EvacuationPrefix + zone); known {
			removed[zone] = at
		}
	}
	changes := s.evacuations.Update(present, removed, s.copy.Revision())
	changes = append(changes, s.evacuations.Receive(s.offered)...)
	s.offered = nil
	zones := s.evacuations.Zones()
	s.evacuated.Store(&zones)
	s.servers.SetEvacuated(zones)
	s.loaded.Store(s.copy.Revision() > 0)
	for _, c := range changes {
		s.logEvacuation(c)
	}
	s.metrics.Set("evacuated_zones", int64(len(zones)))
}

// logEvacuation logs and counts a change of an evacuation. s.mu must be held.
func (s *State) logEvacuation(c evacuation.Change) {
	event, source := "zone evacuated", s.copySource
	switch {
	case c.Kind == evacuation.Ended:
		event = "evacuation ended"
	case c.Retained:
		source = sourceRestored
	}
	s.log.Info(event, "zone", c.Zone, "revision", kvstore.WithoutEra(c.Revision), "era", kvstore.Era(c.Revision), "source", source,
		"copyRevision", kvstore.WithoutEra(s.copy.Revision()), "copyEra", kvstore.Era(s.copy.Revision()))
	retained := int64(0)
	if c.Retained && c.Kind != evacuation.Ended {
		retained = 1
		s.log.Info("store has lost an evacuation, which stays in force until it is requested again and removed", "zone", c.Zone)
	}
	s.metrics.Set("evacuations_retained", retained, metrics.L("zone", c.Zone))
	if c.Kind == evacuation.Began {
		s.unseenZones = append(s.unseenZones, c.Zone)
	}
}

// reportEvacuated logs evacuations of unknown zones once and counts the backend servers that are excluded. s.mu must be held.
func (s *State) reportEvacuated(excluded int) {
	for _, zone := range s.unseenZones {
		if !s.servers.HasZone(zone) {
			s.log.Info("no backend server is known in the evacuated zone", "zone", zone)
		}
	}
	s.unseenZones = nil
	s.metrics.Set("servers_evacuated", int64(excluded))
}

// receiveRetained takes over the evacuations that another host retains while the copy stays as it is. It reports whether one
// was not in force. s.mu must be held.
func (s *State) receiveRetained(retained []evacuation.Entry) bool {
	changes := s.evacuations.Receive(retained)
	for _, c := range changes {
		s.logEvacuation(c)
	}
	return len(changes) > 0
}

// AwaitsRetained reports whether the store may have been restored while this host did not run or was cut off, and no other one has
// told it of the evacuations that the store may have lost.
func (s *State) AwaitsRetained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.awaitsRetained(s.now())
}

func (s *State) awaitsRetained(now time.Time) bool {
	return !s.receivedCopy && kvstore.Era(s.copy.Revision()) > 0 && now.Sub(s.eraSeenAt) < retainedLimit
}

// noServerFailure returns the failure of a request that no backend server ran and none will.
func (f *Front) noServerFailure(x *call, err error) *outcome.Error {
	failure := &outcome.Error{
		Outcome: outcome.NotRun, Code: outcome.CodeNoServer, Status: http.StatusServiceUnavailable,
		Message: "no backend server ran the request", Cause: err,
	}
	if x.group != nil && x.route != nil && x.group.onlyEvacuated(x.route.Kind) {
		failure.Code, failure.Message = outcome.CodeZoneEvacuated, "all backend servers of the service are in evacuated zones"
		failure.RetryAfter = evacuatedRetryAfter + rand.N(evacuatedRetrySpread)
		return failure
	}
	failure.RetryAfter = f.retryAfter(x, err)
	return failure
}

// setEvacuated replaces the backend servers that are not usable only because their zone is evacuated.
func (g *group) setEvacuated(evacuated []registry.State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.evacuated = [3]int{}
	for _, s := range evacuated {
		stage, _ := candidate(serverKey(s.Server), s.Server)
		g.evacuated[stage]++
	}
}

// onlyEvacuated reports whether all backend servers that could run a kind of request are in evacuated zones.
func (g *group) onlyEvacuated(kind fleet.RequestKind) bool {
	stage := plainIndex
	if kind == fleet.Generation {
		stage = decodeIndex
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.evacuated[stage] == 0 {
		return false
	}
	for key, s := range g.servers {
		if at, _ := candidate(key, s); at == stage {
			return false
		}
	}
	return true
}
