// Package membership agrees on the epoch, which says which hosts share the quota, and decides when this host
// may admit requests against it.
package membership

import (
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
)

// Epoch is the agreed set of hosts. It changes only by compare-and-swap in the store.
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

// Home returns the host of a zone that owns key in this epoch.
func (e Epoch) Home(zone, key string) (host.ID, bool) {
	return host.Home(key, e.InZone(zone))
}

// Contains reports whether this run of the host is in the epoch.
func (e Epoch) Contains(id host.ID) bool {
	for _, h := range e.Hosts {
		if h.Name == id.Name && h.Incarnation == id.Incarnation {
			return true
		}
	}
	return false
}

// Viewer gives the current epoch and the authority to admit. It is safe for concurrent use.
type Viewer interface {
	// Self is this host.
	Self() host.ID
	// Epoch returns the newest epoch that this host knows.
	Epoch() Epoch
	// CanAdmit returns nil while this host may admit against the quota at the given time, and a
	// *NoAuthorityError otherwise. It is checked right before each admission.
	CanAdmit(now time.Time) error
	// Reachable reports whether a direct reply of the host is recent.
	Reachable(id host.ID) bool
}
