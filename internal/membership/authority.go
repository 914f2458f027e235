package membership

import (
	"slices"
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
)

// CheckAuthority returns nil if the lease, the majority or the zone condition holds at the given time, and a
// *NoAuthorityError otherwise. The conditions are based on the send times of requests, so they also end while the
// process is paused.
func (m *Machine) CheckAuthority(now time.Time) error {
	if m.policy.cachedAuthority {
		return m.cachedAuthority
	}
	return m.authority(now)
}

func (m *Machine) authority(now time.Time) error {
	if m.leaving || !m.member {
		return &NoAuthorityError{InEpoch: m.member, Leaving: m.leaving}
	}
	if m.leaseValid(now) {
		return nil
	}
	majorityEnd, everHeld := m.majorityEnd()
	if everHeld && now.Before(majorityEnd) {
		return nil
	}
	lost := m.authorityLostAt(majorityEnd)
	if !lost.IsZero() && now.Before(lost.Add(m.timing.heldTerm(m.timing.Isolation))) && m.zoneContact(now) {
		return nil
	}
	e := &NoAuthorityError{InEpoch: true}
	if !lost.IsZero() {
		e.LostFor = now.Sub(lost)
	}
	return e
}

// leaseValid reports whether the lease condition holds.
func (m *Machine) leaseValid(now time.Time) bool {
	return !m.lease.validFrom.IsZero() && now.Before(m.leaseEnd())
}

func (m *Machine) leaseEnd() time.Time {
	return m.lease.validFrom.Add(m.timing.heldTerm(m.lease.ttl))
}

// authorityLostAt returns the later of the ends of the lease and the majority condition, or zero if neither ever held.
func (m *Machine) authorityLostAt(majorityEnd time.Time) time.Time {
	lost := m.authorityEnd
	if majorityEnd.After(lost) {
		lost = majorityEnd
	}
	if !m.lease.validFrom.IsZero() && m.leaseEnd().After(lost) {
		lost = m.leaseEnd()
	}
	return lost
}

// majorityEnd returns when the majority condition ends or ended under the current epoch. It returns false if the
// condition has never held.
func (m *Machine) majorityEnd() (time.Time, bool) {
	if !m.majority.known {
		end, everHeld := m.computeMajorityEnd()
		m.majority = majorityCache{known: true, end: end, everHeld: everHeld}
	}
	return m.majority.end, m.majority.everHeld
}

// majorityCache holds the result of majorityEnd until the contacts or the epoch change.
type majorityCache struct {
	known, everHeld bool
	end             time.Time
}

func (m *Machine) computeMajorityEnd() (time.Time, bool) {
	if !m.member {
		return time.Time{}, false
	}
	need := len(m.record.Hosts) / 2
	if need == 0 {
		// The only host of an epoch is a majority by itself: the next epoch cannot be proposed before this host has
		// the current one.
		return farFuture, true
	}
	var contacts []time.Time
	for _, h := range m.record.Hosts {
		if p := m.peers[keyOf(h)]; p != nil && h != m.self && !p.lastContact.IsZero() {
			contacts = append(contacts, p.lastContact)
		}
	}
	if len(contacts) < need {
		return time.Time{}, false
	}
	slices.SortFunc(contacts, func(a, b time.Time) int { return b.Compare(a) })
	return contacts[need-1].Add(m.timing.heldTerm(m.timing.ContactWindow)), true
}

// farFuture is later than any time that a process can reach; it is the end of a condition that does not expire.
var farFuture = time.Unix(1<<40, 0)

// zoneContact reports whether there is contact with a strict majority of the epoch's hosts in this zone, this host
// included.
func (m *Machine) zoneContact(now time.Time) bool {
	zone := m.record.InZone(m.self.Zone)
	n := 1
	for _, h := range zone {
		if keyOf(h) != keyOf(m.self) && m.inContact(now, h) {
			n++
		}
	}
	if m.policy.anyZonePeer {
		return n > 1 || len(zone) == 1
	}
	return 2*n > len(zone)
}

// inContact reports whether the host has sent a reply that counts as contact within the contact window.
func (m *Machine) inContact(now time.Time, id host.ID) bool {
	p := m.peers[keyOf(id)]
	return p != nil && !p.lastContact.IsZero() && now.Before(p.lastContact.Add(m.timing.heldTerm(m.timing.ContactWindow)))
}

// Reachable reports whether the host has replied within the contact window, whether or not the reply counts as contact.
func (m *Machine) Reachable(now time.Time, id host.ID) bool {
	p := m.peers[keyOf(id)]
	return p != nil && !p.lastReplied.IsZero() && now.Before(p.lastReplied.Add(m.timing.heldTerm(m.timing.ContactWindow)))
}

// Epoch returns the newest known epoch, or the zero Epoch if none is known.
func (m *Machine) Epoch() Epoch { return m.record.Epoch }

// KnownByMajority reports whether a majority of the hosts of the epoch before the given one are known to have the
// given epoch or a later one. Hosts that have provably stopped count as having it.
func (m *Machine) KnownByMajority(number uint64) bool {
	switch {
	case number > m.record.Number || m.record.Number == 0:
		return false
	case number < m.record.Number:
		// A later epoch is proposed only after a majority of the hosts of the epoch before the given one have it.
		return true
	}
	if len(m.record.Previous) == 0 {
		return true
	}
	n := 0
	for _, h := range m.record.Previous {
		if m.holdsEpoch(h, number) || m.hasStopped(h) {
			n++
		}
	}
	return 2*n > len(m.record.Previous)
}

// HostConverged reports whether a host of an earlier epoch can no longer act on an epoch before the given one: it is
// known to have the given epoch or a later one, or the newest known epoch is at least the given one and excludes the
// host.
func (m *Machine) HostConverged(id host.ID, number uint64) bool {
	return m.holdsEpoch(id, number) || (m.record.Number >= number && m.record.Number > 0 && !m.record.Contains(id))
}

func (m *Machine) holdsEpoch(id host.ID, number uint64) bool {
	if keyOf(id) == keyOf(m.self) {
		return m.record.Number >= number
	}
	p := m.peers[keyOf(id)]
	return p != nil && p.known >= number
}

// hasStopped reports whether a host of the previous epoch has provably stopped: it left when it was drained, or another
// process listens on its address.
func (m *Machine) hasStopped(id host.ID) bool {
	if containsHost(m.record.Left, id) {
		return true
	}
	successor := func(h host.ID) bool { return h.Addr == id.Addr && keyOf(h) != keyOf(id) }
	if successor(m.self) || slices.ContainsFunc(m.record.Hosts, successor) {
		return true
	}
	p := m.peers[keyOf(id)]
	return p != nil && p.replaced
}
