package membership

import (
	"slices"
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
)

// CanAdmit returns nil while one of the conditions L, M and Z of the design page holds at the given time, and a
// *NoAuthorityError otherwise. It uses send times only, so a pause of the process takes the authority away.
func (m *Machine) CanAdmit(now time.Time) error {
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
	majorityEnd, ever := m.majorityEnd()
	if ever && now.Before(majorityEnd) {
		return nil
	}
	lost := m.authorityLost(majorityEnd)
	if !lost.IsZero() && now.Before(lost.Add(m.timing.held(m.timing.Isolation))) && m.zoneContact(now) {
		return nil
	}
	e := &NoAuthorityError{InEpoch: true}
	if !lost.IsZero() {
		e.LostFor = now.Sub(lost)
	}
	return e
}

// leaseValid is condition L.
func (m *Machine) leaseValid(now time.Time) bool {
	return !m.lease.base.IsZero() && now.Before(m.leaseEnd())
}

func (m *Machine) leaseEnd() time.Time {
	return m.lease.base.Add(m.timing.held(m.lease.ttl))
}

// authorityLost returns when the last of L and M was lost, or zero if the host never had either.
func (m *Machine) authorityLost(majorityEnd time.Time) time.Time {
	lost := m.authorityEnd
	if majorityEnd.After(lost) {
		lost = majorityEnd
	}
	if !m.lease.base.IsZero() && m.leaseEnd().After(lost) {
		lost = m.leaseEnd()
	}
	return lost
}

// majorityEnd returns until when condition M holds, or held, under the present epoch. It reports false when
// there has been no majority contact.
func (m *Machine) majorityEnd() (time.Time, bool) {
	if !m.majority.known {
		end, ever := m.computeMajorityEnd()
		m.majority = majorityCache{known: true, end: end, ever: ever}
	}
	return m.majority.end, m.majority.ever
}

// majorityCache holds the result of majorityEnd until the contacts or the epoch change.
type majorityCache struct {
	known, ever bool
	end         time.Time
}

func (m *Machine) computeMajorityEnd() (time.Time, bool) {
	if !m.member {
		return time.Time{}, false
	}
	need := len(m.record.Hosts) / 2
	if need == 0 {
		// A host alone in its epoch is its own majority: no epoch can follow without its knowledge.
		return farFuture, true
	}
	var contacts []time.Time
	for _, h := range m.record.Hosts {
		if p := m.peers[keyOf(h)]; p != nil && h != m.self && !p.contact.IsZero() {
			contacts = append(contacts, p.contact)
		}
	}
	if len(contacts) < need {
		return time.Time{}, false
	}
	slices.SortFunc(contacts, func(a, b time.Time) int { return b.Compare(a) })
	return contacts[need-1].Add(m.timing.held(m.timing.Contact)), true
}

// farFuture is later than any time of a run.
var farFuture = time.Unix(1<<40, 0)

// zoneContact reports recent contact with a strict majority of the zone's epoch hosts, this host included.
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

// inContact reports whether a counting reply of the host is recent.
func (m *Machine) inContact(now time.Time, id host.ID) bool {
	p := m.peers[keyOf(id)]
	return p != nil && !p.contact.IsZero() && now.Before(p.contact.Add(m.timing.held(m.timing.Contact)))
}

// Reachable reports whether any reply of the host is recent.
func (m *Machine) Reachable(now time.Time, id host.ID) bool {
	p := m.peers[keyOf(id)]
	return p != nil && !p.replied.IsZero() && now.Before(p.replied.Add(m.timing.held(m.timing.Contact)))
}

// Epoch returns the newest known epoch.
func (m *Machine) Epoch() Epoch { return m.record.Epoch }

// KnownByMajority reports whether a majority of the hosts of the epoch before the given one are known to hold it
// or a later one. Hosts that have provably stopped for good count as holding it.
func (m *Machine) KnownByMajority(number uint64) bool {
	switch {
	case number > m.record.Number || m.record.Number == 0:
		return false
	case number < m.record.Number:
		// A later epoch is proposed only after a majority of the hosts before this one hold this one.
		return true
	}
	if len(m.record.Previous) == 0 {
		return true
	}
	n := 0
	for _, h := range m.record.Previous {
		if m.knows(h, number) || m.stopped(h) {
			n++
		}
	}
	return 2*n > len(m.record.Previous)
}

// Settled reports whether a host of an earlier epoch is known to hold the given epoch or a later one, or is
// excluded by the newest known epoch and that epoch is not earlier than the given one.
func (m *Machine) Settled(id host.ID, number uint64) bool {
	return m.knows(id, number) || (m.record.Number >= number && m.record.Number > 0 && !m.record.Contains(id))
}

func (m *Machine) knows(id host.ID, number uint64) bool {
	if keyOf(id) == keyOf(m.self) {
		return m.record.Number >= number
	}
	p := m.peers[keyOf(id)]
	return p != nil && p.known >= number
}

// stopped reports whether a host of the previous epoch has stopped for good: it left on drain, or another
// process listens on its address.
func (m *Machine) stopped(id host.ID) bool {
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
