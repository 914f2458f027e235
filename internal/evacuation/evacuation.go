// Package evacuation decides which availability zones are evacuated, so that their backend servers must get no requests. The
// operator requests it by keys in the store. A store that was restored from an older copy may have lost such a key, which
// must not end the evacuation. The package does no I/O and reads no clock.
package evacuation

import (
	"cmp"
	"maps"
	"slices"

	"github.com/boragecourse/boragecourse/internal/kvstore"
)

const (
	// maxRetained bounds the evacuations that are accepted from other hosts, maxEnded those whose end is remembered.
	maxRetained = 256
	maxEnded    = 256
	// maxZoneBytes bounds the name of a zone from another host.
	maxZoneBytes = 253
)

// Entry is an evacuation in force.
type Entry struct {
	Zone string
	// Revision is that of the key that requested the evacuation, with the era (kvstore.InEra).
	Revision int64
	// Retained is set while the store, which was restored, does not hold the key.
	Retained bool
}

// Kind classifies a change.
type Kind int

// Kinds of changes. An evacuation that has begun because another host retains it is Began with Entry.Retained set.
const (
	Began Kind = iota
	// Retained means that the store has lost the key of an evacuation that stays in force.
	Retained
	// Confirmed means that the store holds the key of a retained evacuation again.
	Confirmed
	Ended
)

// Change is a change of the evacuations in force.
type Change struct {
	Entry
	Kind Kind
}

// Set holds the evacuations in force. It is not safe for concurrent use.
type Set struct {
	entries map[string]Entry
	// ended holds the revision of the copy with which an evacuation was last found to have ended, by zone.
	ended map[string]int64
	// era is the one of the copy that was applied last.
	era int64
}

// New returns a set without evacuations.
func New() *Set { return &Set{entries: map[string]Entry{}, ended: map[string]int64{}} }

// Update applies a copy of the store at a revision. present holds the revisions of the keys of evacuations by zone, removed
// those at which such keys were removed, as far as known. An evacuation whose key is missing ends, unless the key is from an
// earlier era than the copy and its removal in the era of the copy is not known: the key was lost then.
func (s *Set) Update(present, removed map[string]int64, revision int64) []Change {
	var changes []Change
	s.era = kvstore.Era(revision)
	for zone, at := range present {
		old, known := s.entries[zone]
		e := Entry{Zone: zone, Revision: at}
		s.entries[zone] = e
		switch {
		case !known:
			changes = append(changes, Change{e, Began})
		case old.Retained:
			changes = append(changes, Change{e, Confirmed})
		}
	}
	for zone, e := range s.entries {
		if _, listed := present[zone]; listed {
			continue
		}
		at, known := removed[zone]
		lost := kvstore.Era(e.Revision) < s.era && (!known || kvstore.Era(at) != s.era)
		switch {
		case !lost:
			delete(s.entries, zone)
			s.recordEnd(zone, revision)
			changes = append(changes, Change{e, Ended})
		case !e.Retained:
			e.Retained = true
			s.entries[zone] = e
			changes = append(changes, Change{e, Retained})
		}
	}
	return sorted(changes)
}

// Receive adds the evacuations that another host retains, unless they are known to have ended since. It ignores those that are
// not from an earlier era than the copy that was applied last, since the store still lists these itself.
func (s *Set) Receive(retained []Entry) []Change {
	var changes []Change
	for _, r := range retained {
		_, known := s.entries[r.Zone]
		if known || r.Zone == "" || len(r.Zone) > maxZoneBytes || kvstore.Era(r.Revision) >= s.era || s.ended[r.Zone] >= r.Revision ||
			len(s.entries) >= maxRetained {
			continue
		}
		e := Entry{Zone: r.Zone, Revision: r.Revision, Retained: true}
		s.entries[r.Zone] = e
		changes = append(changes, Change{e, Began})
	}
	return sorted(changes)
}

func (s *Set) recordEnd(zone string, revision int64) {
	s.ended[zone] = revision
	if len(s.ended) > maxEnded {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(s.ended)), func(a, b string) int { return cmp.Compare(s.ended[a], s.ended[b]) })
		delete(s.ended, oldest)
	}
}

// Zones returns the zones that are evacuated.
func (s *Set) Zones() map[string]bool {
	zones := make(map[string]bool, len(s.entries))
	for zone := range s.entries {
		zones[zone] = true
	}
	return zones
}

// Retained returns the evacuations in force that the store has lost, in order of zone.
func (s *Set) Retained() []Entry {
	var out []Entry
	for _, e := range s.entries {
		if e.Retained {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Zone, b.Zone) })
	return out
}

func sorted(changes []Change) []Change {
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Zone, b.Zone) })
	return changes
}
