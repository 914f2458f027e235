package membership

import (
	"slices"
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
)

// mayPropose reports whether this host may propose a successor of the present epoch. A majority of the previous
// hosts must know the present epoch first, so that at most two host sets can be in use for majority contact.
func (m *Machine) mayPropose() bool {
	if m.open[CallPropose] {
		return false
	}
	if m.record.Number == 0 {
		return m.epochAbsent
	}
	return m.revision > 0 && (m.policy.ungatedEpochs || m.KnownByMajority(m.record.Number))
}

func (m *Machine) propose(p ProposeEpoch) []Action {
	m.open[CallPropose] = true
	p.Revision = m.revision
	return []Action{p}
}

func (m *Machine) epochProposed(now time.Time, e EpochProposed) []Action {
	m.open[CallPropose] = false
	if e.Accepted {
		m.adopt(now, e.Proposal.Record, e.Revision)
		return nil
	}
	return m.readEpoch(time.Time{})
}

// proposeJoin adds this host, and the other registered hosts that wait to join, so that a cold start of many
// hosts takes few epochs. A host with this host's address is replaced: two processes cannot listen on one
// address, so the earlier one has stopped (condition a).
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
			// The same name at another address proves nothing; that host must be excluded first.
			return nil
		}
	}
	added := []host.ID{m.self}
	for _, r := range m.registry.Registered {
		clash := func(h host.ID) bool { return h.Name == r.Host.Name || h.Addr == r.Host.Addr }
		if r.Ready && !slices.ContainsFunc(m.record.Hosts, clash) && !slices.ContainsFunc(added, clash) {
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

// proposeExclusion proposes an epoch without the hosts that have provably stopped under condition b in one zone,
// or under condition c.
func (m *Machine) proposeExclusion(now time.Time) []Action {
	if m.policy.trustHostList {
		return m.proposeUnlisted()
	}
	if !m.member || m.leaving || !m.mayPropose() {
		return nil
	}
	excluded := m.isolated(now)
	for _, h := range m.record.Hosts {
		if len(excluded) == 0 && m.suspects[keyOf(h)] != nil {
			excluded = m.fenced(now, h.Zone)
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

// fenced returns the hosts of one zone that condition b excludes.
func (m *Machine) fenced(now time.Time, zoneName string) []Exclusion {
	zone := m.record.InZone(zoneName)
	var set []*suspect
	for _, h := range zone {
		s := m.suspects[keyOf(h)]
		if s == nil || !m.majorityReports(now, s, m.timing.Fence) {
			continue
		}
		// Z counts the zone's hosts of the epoch that the suspect knows, so these must be the present ones.
		if s.known >= m.record.ZoneChanged[zoneName] || m.policy.staleZone {
			set = append(set, s)
		}
	}
	// A host that some zone host outside the set has heard stays. Each removal enlarges the outside, so repeat.
	for {
		kept := slices.DeleteFunc(slices.Clone(set), func(s *suspect) bool { return !m.zoneReports(s, zone, set) })
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

// zoneReports reports whether all zone hosts outside the set report the suspect silent.
func (m *Machine) zoneReports(s *suspect, zone []host.ID, set []*suspect) bool {
	reported, outside := 0, 0
	for _, h := range zone {
		if slices.ContainsFunc(set, func(o *suspect) bool { return keyOf(o.id) == keyOf(h) }) {
			continue
		}
		outside++
		if s.reports[keyOf(h)] >= m.timing.Fence {
			reported++
		}
	}
	if m.policy.anyZonePeer {
		return reported > 0 || outside == 0
	}
	return reported == outside
}

// isolated returns the hosts that condition c excludes.
func (m *Machine) isolated(now time.Time) []Exclusion {
	var set []*suspect
	for _, h := range m.record.Hosts {
		s := m.suspects[keyOf(h)]
		if s == nil {
			continue
		}
		lapsed := now.Sub(s.lapsed) >= m.timing.observed(m.timing.Isolation) || m.policy.shortLapse
		if lapsed && m.majorityReports(now, s, m.timing.Isolation+m.timing.Fence) {
			set = append(set, s)
		}
	}
	return exclusionsOf(set)
}

func exclusionsOf(set []*suspect) []Exclusion {
	var excluded []Exclusion
	for _, s := range set {
		excluded = append(excluded, Exclusion{Host: s.id, Session: s.session})
	}
	return excluded
}

// majorityReports reports whether a majority of the epoch's hosts confirmed the silence. The same must hold for
// each earlier epoch whose hosts the suspect may have counted as its majority during the silence.
func (m *Machine) majorityReports(now time.Time, s *suspect, silence time.Duration) bool {
	if !s.majorityOf(m.record.Hosts, silence) {
		return false
	}
	if m.policy.presentOnly {
		return true
	}
	window := m.timing.observed(silence)
	if now.Sub(m.pastFrom) < window {
		return false
	}
	for _, p := range m.past {
		inUse := p.superseded.IsZero() || now.Sub(p.superseded) < window
		if inUse && containsHost(p.hosts, s.id) && !s.majorityOf(p.hosts, silence) {
			return false
		}
	}
	return true
}

func (s *suspect) majorityOf(hosts []host.ID, silence time.Duration) bool {
	n := 0
	for _, h := range hosts {
		if s.reports[keyOf(h)] >= silence {
			n++
		}
	}
	return 2*n > len(hosts)
}

// rememberHosts keeps the present hosts as past ones when a newer record is installed.
func (m *Machine) rememberHosts(now time.Time, r Record) {
	// The newer epoch was proposed only after a majority of the hosts before the present epoch knew it.
	for i := range m.past {
		if m.past[i].superseded.IsZero() {
			m.past[i].superseded = now
		}
	}
	if r.Number != m.record.Number+1 || m.record.Number == 0 {
		m.pastFrom = now
		if m.record.Number > 0 {
			m.past = append(m.past, pastHosts{hosts: m.record.Hosts, superseded: now})
		}
	}
	if len(r.Previous) > 0 {
		m.past = append(m.past, pastHosts{hosts: r.Previous})
	}
	keep := 2 * m.timing.observed(m.timing.Isolation+m.timing.Fence)
	m.past = slices.DeleteFunc(m.past, func(p pastHosts) bool {
		return !p.superseded.IsZero() && now.Sub(p.superseded) > keep
	})
}

// noteSuperseded records when a majority of the previous hosts are first seen to know the present epoch.
func (m *Machine) noteSuperseded(now time.Time) {
	if n := len(m.past); n > 0 && m.past[n-1].superseded.IsZero() && m.KnownByMajority(m.record.Number) {
		m.past[n-1].superseded = now
	}
}

// proposeUnlisted is the broken rule behind policy.trustHostList.
func (m *Machine) proposeUnlisted() []Action {
	var removed []host.ID
	for _, h := range m.record.Hosts {
		if m.hinted[h.Name] && keyOf(h) != keyOf(m.self) {
			removed = append(removed, h)
		}
	}
	if len(removed) == 0 || !m.mayPropose() {
		return nil
	}
	return m.propose(ProposeEpoch{Record: m.record.next(removed, nil, nil), Replaced: removed})
}
