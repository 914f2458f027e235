// Package registry tracks which backend servers may get new requests. It is updated with the registrations in the
// platform's store and distinguishes a backend server that left from one whose registration expired because the store
// was unavailable. The package does no I/O and reads no clock.
package registry

import (
	"sort"
	"time"

	"github.com/boragecourse/boragecourse/internal/fleet"
)

// expiryGrace is how long a backend server without a registration is kept after the store becomes available again: a
// live one registers again within about 2 s.
const expiryGrace = 2500 * time.Millisecond

// misdirectedPause is how long a backend server gets no requests after another backend server or stage responded at its
// address. It is longer than a changed registration usually takes to arrive.
const misdirectedPause = time.Second

// restoredWindow is the time after a restore of the store within which it may list earlier states of backend servers. The
// servers that are running have registered again by its end, and the entries of others have expired.
const restoredWindow = 10 * time.Second

// maxDeparted is the number of incarnations that have left which a Registry remembers, maxLeaving the number of those that have
// announced it.
const (
	maxDeparted = 1000
	maxLeaving  = 8192
)

// State is the registered state of one incarnation of a backend server.
type State struct {
	fleet.Server
	// Expired is true while the registration is missing after an outage of the store and may still be renewed.
	Expired bool
	// FirstSeen is when this incarnation was first listed.
	FirstSeen time.Time
	// avoidUntil is the end of the pause after a response showed that another backend server, or another stage, is at
	// the address.
	avoidUntil time.Time
}

// Change is one difference that Update found.
type Change struct {
	Server fleet.Server
	Kind   ChangeKind
}

// ChangeKind classifies a change of a backend server. Its values are log values.
type ChangeKind string

// Kinds of changes. Expired means that the registration is missing but may still be renewed. Replaced means that the id
// now belongs to another incarnation or address.
const (
	Added    ChangeKind = "added"
	Changed  ChangeKind = "changed"
	Draining ChangeKind = "draining"
	Removed  ChangeKind = "removed"
	Expired  ChangeKind = "lapsed"
	Replaced ChangeKind = "replaced"
)

// Registry is the set of known backend servers. It is not safe for concurrent use.
type Registry struct {
	servers map[string]*State
	// storeRecovered is when the store became available again after an outage.
	storeRecovered time.Time
	// storeRestored is when the store was restored from an older copy, departed when incarnations left.
	storeRestored time.Time
	departed      map[incarnation]time.Time
	// leaving holds the incarnations that have announced in a response that they leave, whatever the store lists.
	leaving map[incarnation]bool
	// evacuated holds the zones whose backend servers must get no requests.
	evacuated map[string]bool
	// withheld is set while an entry is ignored because it may be from before the restore.
	withheld bool
}

type incarnation struct {
	id          string
	startMillis int64
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{servers: map[string]*State{}, departed: map[incarnation]time.Time{}, leaving: map[incarnation]bool{}}
}

// StoreRecovered records that the store is available again after an outage. Backend servers whose registrations expired
// in the meantime are kept for expiryGrace, so that they can register again.
func (r *Registry) StoreRecovered(now time.Time) { r.storeRecovered = now }

// StoreRestored records that the store was restored from an older copy. Backend servers that are missing there are kept
// for expiryGrace, and incarnations that had left before are ignored for restoredWindow.
func (r *Registry) StoreRestored(now time.Time) {
	r.storeRecovered, r.storeRestored = now, now
}

// Update replaces the set of registered backend servers by the listed ones and returns the changes in order of id.
func (r *Registry) Update(listed []fleet.Server, now time.Time) []Change {
	var changes []Change
	present := make(map[string]bool, len(listed))
	r.withheld = false
	for _, s := range listed {
		if r.isFromBeforeRestore(s, now) {
			r.withheld = true
			// A known later incarnation counts as registered.
			present[s.ID] = r.servers[s.ID] != nil
			continue
		}
		present[s.ID] = true
		if kind, changed := r.put(s, now); changed {
			changes = append(changes, Change{Server: s, Kind: kind})
		}
	}
	for id, s := range r.servers {
		if present[id] {
			continue
		}
		if r.mayReturn(s, now) {
			if !s.Expired {
				s.Expired = true
				changes = append(changes, Change{Server: s.Server, Kind: Expired})
			}
			continue
		}
		delete(r.servers, id)
		r.recordDeparture(s.Server, now)
		changes = append(changes, Change{Server: s.Server, Kind: Removed})
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Server.ID < changes[j].Server.ID })
	return changes
}

// put adds or updates one backend server. It reports whether its state changed, and how.
func (r *Registry) put(s fleet.Server, now time.Time) (ChangeKind, bool) {
	old := r.servers[s.ID]
	s.Draining = s.Draining || r.leaving[incarnation{s.ID, s.StartMillis}]
	delete(r.departed, incarnation{s.ID, s.StartMillis})
	switch {
	case old == nil:
		r.servers[s.ID] = &State{Server: s, FirstSeen: now}
		return Added, true
	case old.StartMillis != s.StartMillis || old.Address != s.Address:
		if old.StartMillis != s.StartMillis {
			r.recordDeparture(old.Server, now)
		}
		r.servers[s.ID] = &State{Server: s, FirstSeen: now}
		return Replaced, true
	}
	drained := s.Draining && !old.Draining
	changed := old.Server != s || old.Expired
	old.Expired = false
	// Draining is final for an incarnation: an older registration must not revert it.
	s.Draining = s.Draining || old.Draining
	old.Server = s
	if drained {
		return Draining, true
	}
	return Changed, changed
}

func (r *Registry) recordDeparture(s fleet.Server, now time.Time) {
	if len(r.departed) >= maxDeparted {
		clear(r.departed)
	}
	r.departed[incarnation{s.ID, s.StartMillis}] = now
}

// RecordWrite records that an incarnation has written its entry since the store was restored, so that the entry is not from
// before.
func (r *Registry) RecordWrite(id string, startMillis int64) {
	delete(r.departed, incarnation{id, startMillis})
}

// isFromBeforeRestore reports whether an entry may only be listed because the store was restored: its incarnation had
// left before.
func (r *Registry) isFromBeforeRestore(s fleet.Server, now time.Time) bool {
	if r.storeRestored.IsZero() || now.Sub(r.storeRestored) >= restoredWindow {
		return false
	}
	left, known := r.departed[incarnation{s.ID, s.StartMillis}]
	return known && !left.After(r.storeRestored)
}

// mayReturn reports whether a missing registration may have expired only because the store was unavailable. A draining
// backend server does not register again.
func (r *Registry) mayReturn(s *State, now time.Time) bool {
	return !s.Draining && !r.storeRecovered.IsZero() && now.Sub(r.storeRecovered) < expiryGrace
}

// NextCheck returns when Update must be called again even if the registrations do not change: at the end of the next
// grace period or pause. It returns false if no grace period or pause is in progress.
func (r *Registry) NextCheck(now time.Time) (time.Time, bool) {
	var next time.Time
	for _, s := range r.servers {
		at := s.avoidUntil
		if s.Expired {
			at = r.storeRecovered.Add(expiryGrace)
		}
		if at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	if at := r.storeRestored.Add(restoredWindow); r.withheld && at.After(now) && (next.IsZero() || at.Before(next)) {
		next = at
	}
	return next, !next.IsZero()
}

// MarkMisdirected records that the incarnation of a backend server that started at startMillis is no longer at its
// address, or runs another stage than registered. The incarnation gets no requests for misdirectedPause, within which
// its changed registration should arrive.
func (r *Registry) MarkMisdirected(id string, startMillis int64, now time.Time) {
	if s := r.servers[id]; s != nil && s.StartMillis == startMillis {
		s.avoidUntil = now.Add(misdirectedPause)
	}
}

// MarkLeaving records that an incarnation of a backend server has announced in a response that it leaves. That is final. It
// reports whether this was not known yet.
func (r *Registry) MarkLeaving(id string, startMillis int64) bool {
	key := incarnation{id, startMillis}
	if r.leaving[key] {
		return false
	}
	if len(r.leaving) >= maxLeaving {
		clear(r.leaving)
	}
	r.leaving[key] = true
	s := r.servers[id]
	return s != nil && s.StartMillis == startMillis && !s.Draining
}

// SetEvacuated replaces the set of evacuated zones.
func (r *Registry) SetEvacuated(zones map[string]bool) { r.evacuated = zones }

// Evacuated returns the backend servers that get no requests only because their zone is evacuated, in order of id.
func (r *Registry) Evacuated(now time.Time) []State {
	return r.selected(func(s *State) bool { return s.Usable(now) && r.evacuated[s.Zone] })
}

// Unusable returns the backend servers that get no requests whether or not their zone is evacuated, in order of id.
func (r *Registry) Unusable(now time.Time) []State {
	return r.selected(func(s *State) bool { return !s.Usable(now) })
}

// HasZone reports whether a backend server is registered in a zone.
func (r *Registry) HasZone(zone string) bool {
	for _, s := range r.servers {
		if s.Zone == zone {
			return true
		}
	}
	return false
}

// Usable reports whether a backend server may get new requests unless its zone is evacuated.
func (s *State) Usable(now time.Time) bool { return !s.Draining && !now.Before(s.avoidUntil) }

// Usable returns the backend servers that may get new requests, in order of id.
func (r *Registry) Usable(now time.Time) []State {
	return r.selected(func(s *State) bool { return s.Usable(now) && !r.evacuated[s.Zone] })
}

func (r *Registry) selected(matches func(s *State) bool) []State {
	var out []State
	for _, s := range r.servers {
		if matches(s) {
			out = append(out, *s)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
