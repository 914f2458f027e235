// Package host names the hosts of the fleet and assigns state to them by rendezvous hashing.
package host

import (
	"fmt"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// ID identifies one run of the daemon on one host. Two runs on the same host differ in Incarnation.
type ID struct {
	// Name is unique in the fleet.
	Name string
	// Addr is the peer address, ip:port.
	Addr string
	// Zone is the availability zone.
	Zone string
	// Incarnation is a random number drawn at process start.
	Incarnation uint64
}

// NewIncarnation returns a random non-zero incarnation.
func NewIncarnation() uint64 {
	return rand.Uint64() | 1 //nolint:gosec // Not a secret; only uniqueness matters.
}

// String returns name/incarnation in the form used by logs.
func (id ID) String() string {
	return fmt.Sprintf("%s/%016x", id.Name, id.Incarnation)
}

// Proto converts the ID to its wire form.
func (id ID) Proto() *peerv1.HostID {
	return &peerv1.HostID{Name: id.Name, Addr: id.Addr, Zone: id.Zone, Incarnation: id.Incarnation}
}

// FromProto converts the wire form; a nil message gives the zero ID.
func FromProto(p *peerv1.HostID) ID {
	return ID{Name: p.GetName(), Addr: p.GetAddr(), Zone: p.GetZone(), Incarnation: p.GetIncarnation()}
}

// Home returns the host that owns key among hosts: the one with the highest rendezvous hash.
// Removing a host moves only that host's keys. It reports false when hosts is empty.
func Home(key string, hosts []ID) (ID, bool) {
	if len(hosts) == 0 {
		return ID{}, false
	}
	best, bestScore := hosts[0], score(key, hosts[0])
	for _, h := range hosts[1:] {
		s := score(key, h)
		if s > bestScore || (s == bestScore && h.Name < best.Name) {
			best, bestScore = h, s
		}
	}
	return best, true
}

// score hashes the name and not the incarnation, so that a restarted daemon owns the same keys.
func score(key string, id ID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(id.Name)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}
