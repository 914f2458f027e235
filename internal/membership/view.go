// Package membership agrees on the epoch, the set of hosts that share the quota, and decides when this host may admit
// requests against the quota.
//
// A host has contact with another one that replied to a heartbeat sent within the contact window
// (Timing.ContactWindow). A host that is in the epoch may admit requests while one of these conditions holds:
//   - Lease condition: its store lease has not expired, counted from the last renewal after which it read the epoch.
//   - Majority condition: it has contact with a majority of the epoch's hosts, itself included.
//   - Zone condition: it has contact with a majority of the epoch's hosts in its zone, itself included, and the other
//     two conditions ended less than the isolation limit (Timing.IsolationLimit) ago.
//
// A host that does not leave by itself is removed from the epoch only when one of these conditions shows that it can no
// longer admit requests:
//   - Replacement: another process listens on its address.
//   - Fencing: its lease has expired, and a majority of the epoch's hosts and all hosts of its zone that are not
//     fenced with it have received nothing from it for the fencing time (Timing.FencingTime). At most half of a zone
//     is fenced at once.
//   - Isolation: its lease has been expired for the isolation limit, and a majority of the epoch's hosts have received
//     nothing from it for the isolation limit plus the fencing time.
//
// A host that reports another one as unreachable withholds contact from it: its replies to that host do not count as
// contact until that host has read the epoch in a new session. A session begins when a host registers under a new
// lease.
package membership

import (
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
)

// Epoch is a numbered set of hosts that the fleet has agreed on. A new epoch is written only by compare-and-swap in the
// store.
type Epoch struct {
	Number uint64
	// Hosts is sorted by name.
	Hosts []host.ID
}

// InZone returns the epoch's hosts in one availability zone, sorted by name.
func (e Epoch) InZone(zone string) []host.ID {
	var hosts []host.ID
	for _, h := range e.Hosts {
		if h.Zone == zone {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// Home returns the home host of key in a zone: the host of this epoch to which rendezvous hashing assigns the key. It
// returns false if the epoch has no host in the zone.
func (e Epoch) Home(zone, key string) (host.ID, bool) {
	return host.Home(key, e.InZone(zone))
}

// Contains reports whether this incarnation of the host is in the epoch.
func (e Epoch) Contains(id host.ID) bool {
	for _, h := range e.Hosts {
		if h.Name == id.Name && h.Incarnation == id.Incarnation {
			return true
		}
	}
	return false
}

// Viewer gives read access to the membership state of this host. It is safe for concurrent use.
type Viewer interface {
	// Self returns the identity of this host.
	Self() host.ID
	// Epoch returns the newest epoch that this host knows.
	Epoch() Epoch
	// CheckAuthority returns nil if this host may admit requests against the quota at the given time, and a
	// *NoAuthorityError otherwise. It must be called directly before each admission.
	CheckAuthority(now time.Time) error
	// Reachable reports whether the host has replied to a heartbeat of this host within the contact window.
	Reachable(id host.ID) bool
}
