package membership

import (
	"slices"
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
)

// mayPropose reports whether this host may propose the next epoch. A majority of the previous epoch's hosts must have
// the current epoch first, so that at most two host sets can satisfy the majority condition at a time.
func (m *Machine) mayPropose() bool {
	if m.inFlight[CallPropose] {
		return false
	}
	if m.record.Number == 0 {
		return m.epochAbsent
	}
	return m.revision > 0 && (m.policy.ungatedEpochs || m.KnownByMajority(m.record.Number))
}

func (m *Machine) propose(p ProposeEpoch) []Action {
	m.inFlight[CallPropose] = true
	p.Revision = m.revision
	return []Action{p}
}

func (m *Machine) epochProposed(now time.Time, e EpochProposed) []Action {
	m.inFlight[CallPropose] = false
	if e.Accepted {
		m.adopt(now, e.Proposal.Record, e.Revision)
		return nil
	}
	return m.readEpoch(time.Time{})
}

// proposeJoin proposes an epoch with this host and the other registered hosts that are ready to join, so that a cold
// start of many hosts takes few epochs. A host with the address of this host is removed: two processes cannot listen on
// one address, so the earlier one has stopped (replacement).
func (m *Machine) proposeJoin(now time.Time) []Action {
	if !m.ready || m.leaving || !m.leaseValid(now) || !m.mayPropose() {
		return nil
	}
	var replaced []host.ID
	for _, h := range m.record.Hosts {
		switch {
		case h.Addr == m.self.Addr:
			replaced = append(replaced, h)
		case h.Name == m.self.Name:
			// A host with the same name at another address may still run, so it must be excluded first.
			return nil
		}
	}
	added := []host.ID{m.self}
	for _, r := range m.registry.Registered {
		conflicts := func(h host.ID) bool { return h.Name == r.Host.Name || h.Addr == r.Host.Addr }
		if r.Ready && !slices.ContainsFunc(m.record.Hosts, conflicts) && !slices.ContainsFunc(added, conflicts) {
			added = append(added, r.Host)
		}
	}
	return m.propose(ProposeEpoch{Record: m.record.next(replaced, added, nil), Replaced: replaced})
}

func (m *Machine) proposeLeave() []Action {
	if !m.mayPropose() {
		return nil
	}
	self := []host.ID{m.self}
	return m.propose(ProposeEpoch{Record: m.record.next(self, nil, self), Replaced: self})
}

// proposeExclusion proposes an epoch without the isolated hosts, or else without the fenced hosts of one zone.
func (m *Machine) proposeExclusion(now time.Time) []Action {
	if m.policy.trustHostList {
		return m.proposeUnlisted()
	}
	if !m.member || m.leaving || !m.mayPropose() {
		return nil
	}
	excluded := m.isolatedHosts(now)
	for _, h := range m.record.Hosts {
		if len(excluded) == 0 && m.suspects[keyOf(h)] != nil {
			excluded = m.fencedHosts(now, h.Zone)
		}
	}
	if len(excluded) == 0 {
		return nil
	}
	removed := make([]host.ID, len(excluded))
	for i, e := range excluded {
		removed[i] = e.Host
	}
	return m.propose(ProposeEpoch{Record: m.record.next(removed, nil, nil), Excluded: excluded})
}

// fencedHosts returns the hosts of one zone that can be excluded by fencing. It returns none if they are more than half
// of the zone, since hosts that are partitioned together could then meet the zone condition through each other.
func (m *Machine) fencedHosts(now time.Time, zoneName string) []HostSession {
	zone := m.record.InZone(zoneName)
	var set []*suspect
	for _, h := range zone {
		s := m.suspects[keyOf(h)]
		if s == nil || !m.confirmedByMajority(now, s, m.timing.FencingTime) {
			continue
		}
		// The zone condition of the suspect counts the zone's hosts of the epoch that the suspect has, so these must be
		// the hosts of the current epoch.
		if s.known >= m.record.ZoneChanged[zoneName] || m.policy.ignoreZoneChanges {
			set = append(set, s)
		}
	}
	// A suspect stays in the set only if all zone hosts outside of the set report it. Removing a suspect from the set
	// adds a host to the outside, so this is repeated until the set no longer changes.
	for {
		kept := slices.DeleteFunc(slices.Clone(set), func(s *suspect) bool { return !m.confirmedByZone(s, zone, set) })
		if len(kept) == len(set) {
			break
		}
		set = kept
	}
	if 2*len(set) > len(zone) && !m.policy.anySetSize {
		return nil
	}
	return exclusionsOf(set)
}

// confirmedByZone reports whether all hosts of the zone outside of the set have reported the suspect as unreachable.
func (m *Machine) confirmedByZone(s *suspect, zone []host.ID, set []*suspect) bool {
	reported, outside := 0, 0
	for _, h := range zone {
		if slices.ContainsFunc(set, func(o *suspect) bool { return keyOf(o.id) == keyOf(h) }) {
			continue
		}
		outside++
		if s.reports[keyOf(h)] >= m.timing.FencingTime {
			reported++
		}
	}
	if m.policy.anyZonePeer {
		return reported > 0 || outside == 0
	}
	return reported == outside
}

// isolatedHosts returns the hosts that can be excluded by isolation.
func (m *Machine) isolatedHosts(now time.Time) []HostSession {
	var set []*suspect
	for _, h := range m.record.Hosts {
		s := m.suspects[keyOf(h)]
		if s == nil {
			continue
		}
		expired := now.Sub(s.expired) >= m.timing.observedTerm(m.timing.Isolation) || m.policy.anyExpiryAge
		if expired && m.confirmedByMajority(now, s, m.timing.Isolation+m.timing.FencingTime) {
			set = append(set, s)
		}
	}
	return exclusionsOf(set)
}

func exclusionsOf(set []*suspect) []HostSession {
	var excluded []HostSession
	for _, s := range set {
		excluded = append(excluded, HostSession{Host: s.id, Session: s.session})
	}
	return excluded
}

// confirmedByMajority reports whether a majority of the epoch's hosts have received nothing from the suspect for the
// given time. The same must hold for each earlier epoch whose hosts the suspect may have counted for its majority
// condition during that time.
func (m *Machine) confirmedByMajority(now time.Time, s *suspect, duration time.Duration) bool {
	if !s.confirmedByMajorityOf(m.record.Hosts, duration) {
		return false
	}
	if m.policy.currentHostsOnly {
		return true
	}
	window := m.timing.observedTerm(duration)
	if now.Sub(m.pastSetsFrom) < window {
		return false
	}
	for _, p := range m.pastSets {
		inUse := p.superseded.IsZero() || now.Sub(p.superseded) < window
		if inUse && containsHost(p.hosts, s.id) && !s.confirmedByMajorityOf(p.hosts, duration) {
			return false
		}
	}
	return true
}

func (s *suspect) confirmedByMajorityOf(hosts []host.ID, duration time.Duration) bool {
	n := 0
	for _, h := range hosts {
		if s.reports[keyOf(h)] >= duration {
			n++
		}
	}
	return 2*n > len(hosts)
}

// recordPastSets updates the host sets of earlier epochs when a newer record is about to be installed.
func (m *Machine) recordPastSets(now time.Time, r Record) {
	// The newer epoch was proposed only after a majority of the previous epoch's hosts had the current one.
	for i := range m.pastSets {
		if m.pastSets[i].superseded.IsZero() {
			m.pastSets[i].superseded = now
		}
	}
	if r.Number != m.record.Number+1 || m.record.Number == 0 {
		m.pastSetsFrom = now
		if m.record.Number > 0 {
			m.pastSets = append(m.pastSets, pastHostSet{hosts: m.record.Hosts, superseded: now})
		}
	}
	if len(r.Previous) > 0 {
		m.pastSets = append(m.pastSets, pastHostSet{hosts: r.Previous})
	}
	keep := 2 * m.timing.observedTerm(m.timing.Isolation+m.timing.FencingTime)
	m.pastSets = slices.DeleteFunc(m.pastSets, func(p pastHostSet) bool {
		return !p.superseded.IsZero() && now.Sub(p.superseded) > keep
	})
}

// markSuperseded records when a majority of the previous epoch's hosts are first known to have the current epoch.
func (m *Machine) markSuperseded(now time.Time) {
	if n := len(m.pastSets); n > 0 && m.pastSets[n-1].superseded.IsZero() && m.KnownByMajority(m.record.Number) {
		m.pastSets[n-1].superseded = now
	}
}

// proposeUnlisted implements policy.trustHostList, an unsafe rule that only tests enable.
func (m *Machine) proposeUnlisted() []Action {
	var removed []host.ID
	for _, h := range m.record.Hosts {
		if m.unlisted[h.Name] && keyOf(h) != keyOf(m.self) {
			removed = append(removed, h)
		}
	}
	if len(removed) == 0 || !m.mayPropose() {
		return nil
	}
	return m.propose(ProposeEpoch{Record: m.record.next(removed, nil, nil), Replaced: removed})
}
