// Package registry knows the backend servers that may get work. It is fed with the registrations that the platform
// lists, and judges what the disappearance of one means. It does no I/O and reads no clock.
package registry

import (
	"sort"
	"time"

	"github.com/boragecourse/boragecourse/internal/fleet"
)

// lapseGrace is how long after the store's return a backend server without a registration still counts: a live one
// registers again within about two seconds.
const lapseGrace = 2500 * time.Millisecond

// misdirectedPause is above the time in which a changed registration is usually known.
const misdirectedPause = time.Second

// State is what the registry knows of one backend server.
type State struct {
	fleet.Server
	// Lapsed is set while the registration is missing because the store was away.
	Lapsed bool
	// Arrived is when this lifetime was first seen.
	Arrived time.Time
	// avoidUntil is set after an answer showed that another backend server or another stage is at the address.
	avoidUntil time.Time
}

// Change is one difference between two states of the registry.
type Change struct {
	Server fleet.Server
	Kind   ChangeKind
}

// ChangeKind says what happened to a backend server.
type ChangeKind string

// Kinds of changes.
const (
	Added    ChangeKind = "added"
	Changed  ChangeKind = "changed"
	Draining ChangeKind = "draining"
	Removed  ChangeKind = "removed"
	Lapsed   ChangeKind = "lapsed"
	Replaced ChangeKind = "replaced"
)

// Registry is the set of known backend servers. It is not safe for concurrent use.
type Registry struct {
	servers map[string]*State
	// storeBack is when the store answered again after an outage.
	storeBack time.Time
}

// New returns an empty registry.
func New() *Registry { return &Registry{servers: map[string]*State{}} }

// StoreBack records that the store answers again after it was away, so that registrations that lapsed meanwhile are
// given time to return.
func (r *Registry) StoreBack(now time.Time) { r.storeBack = now }

// Update takes over the listed backend servers and returns what changed.
func (r *Registry) Update(listed []fleet.Server, now time.Time) []Change {
	var changes []Change
	present := make(map[string]bool, len(listed))
	for _, s := range listed {
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
			if !s.Lapsed {
				s.Lapsed = true
				changes = append(changes, Change{Server: s.Server, Kind: Lapsed})
			}
			continue
		}
		delete(r.servers, id)
		changes = append(changes, Change{Server: s.Server, Kind: Removed})
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Server.ID < changes[j].Server.ID })
	return changes
}

func (r *Registry) put(s fleet.Server, now time.Time) (ChangeKind, bool) {
	old := r.servers[s.ID]
	switch {
	case old == nil:
		r.servers[s.ID] = &State{Server: s, Arrived: now}
		return Added, true
	case old.Born != s.Born || old.Address != s.Address:
		r.servers[s.ID] = &State{Server: s, Arrived: now}
		return Replaced, true
	}
	drained := s.Draining && !old.Draining
	changed := old.Server != s || old.Lapsed
	old.Lapsed = false
	// An announced departure holds for the whole lifetime.
	s.Draining = s.Draining || old.Draining
	old.Server = s
	if drained {
		return Draining, true
	}
	return Changed, changed
}

// mayReturn tells whether a missing registration may have lapsed only because the store was away. A backend server
// that announced its departure does not return.
func (r *Registry) mayReturn(s *State, now time.Time) bool {
	return !s.Draining && !r.storeBack.IsZero() && now.Sub(r.storeBack) < lapseGrace
}

// NextCheck returns when Update must be called again although nothing was heard, if at all.
func (r *Registry) NextCheck(now time.Time) (time.Time, bool) {
	var next time.Time
	for _, s := range r.servers {
		at := s.avoidUntil
		if s.Lapsed {
			at = r.storeBack.Add(lapseGrace)
		}
		if at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next, !next.IsZero()
}

// Misdirected records that another backend server answered at the address of a lifetime, or that its stage is another
// one. It gets no work for a while; by then its registration tells.
func (r *Registry) Misdirected(id string, born int64, now time.Time) {
	if s := r.servers[id]; s != nil && s.Born == born {
		s.avoidUntil = now.Add(misdirectedPause)
	}
}

// Usable tells whether a backend server may get new work.
func (s *State) Usable(now time.Time) bool { return !s.Draining && !now.Before(s.avoidUntil) }

// Usable returns the backend servers that may get new work, by id.
func (r *Registry) Usable(now time.Time) []State {
	var usable []State
	for _, s := range r.servers {
		if s.Usable(now) {
			usable = append(usable, *s)
		}
	}
	sort.Slice(usable, func(i, j int) bool { return usable[i].ID < usable[j].ID })
	return usable
}
