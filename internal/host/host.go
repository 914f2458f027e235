// Package host identifies the hosts of the fleet and assigns keys to them by rendezvous hashing.
package host

import (
	"fmt"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// ID identifies one incarnation of a host, that is one run of its daemon. Two runs on the same host differ in
// Incarnation.
type ID struct {
	// Name is unique in the fleet.
	Name string
	// Addr is the peer address, ip:port.
	Addr string
	// Zone is the availability zone.
	Zone string
	// Incarnation is a random number generated at process start.
	Incarnation uint64
}

// NewIncarnation returns a random non-zero incarnation.
func NewIncarnation() uint64 {
	return rand.Uint64() | 1 //nolint:gosec // Not a secret; only uniqueness matters.
}

// String returns the form used in logs: name/incarnation, with the incarnation in hex.
func (id ID) String() string {
	return fmt.Sprintf("%s/%016x", id.Name, id.Incarnation)
}

// Proto returns the protobuf form of the ID.
func (id ID) Proto() *peerv1.HostID {
	return &peerv1.HostID{Name: id.Name, Addr: id.Addr, Zone: id.Zone, Incarnation: id.Incarnation}
}

// FromProto converts the protobuf form; it returns the zero ID for a nil message.
func FromProto(p *peerv1.HostID) ID {
	return ID{Name: p.GetName(), Addr: p.GetAddr(), Zone: p.GetZone(), Incarnation: p.GetIncarnation()}
}

// Home returns the home host of key among hosts: the one with the highest rendezvous hash. Removing a host reassigns
// only the keys of that host. It returns false when hosts is empty.
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

// score is the rendezvous hash of a key and a host. It uses the name and not the incarnation, so that a restarted
// daemon is the home host of the same keys.
func score(key string, id ID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(id.Name)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}
