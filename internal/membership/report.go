package membership

import (
	"hash/fnv"
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/platform"
)

const (
	// otherZoneDelay is by how many retry intervals hosts of other zones wait longer than those of the silent
	// host's zone, which notice it first.
	otherZoneDelay = 3
	// maxDelay bounds the waiting, in retry intervals, so that a check takes place when the first hosts in line
	// are dead too.
	maxDelay = 30
)

// suspect is the evidence against an epoch host that holds no registration.
type suspect struct {
	id host.ID
	// session is the revision of the host's session record, or zero if it has none. The exclusion requires that it
	// is still the same, so the evidence is void once the host has begun a later session.
	session int64
	// lapsed is when this host first saw the registration missing.
	lapsed time.Time
	// reports holds, by reporter, the longest silence that it confirmed.
	reports map[hostKey]time.Duration
	// known is the highest epoch that the suspect told anyone.
	known uint64
}

// silence returns how long nothing has arrived from a host, at most the age of this process.
func (m *Machine) silence(now time.Time, id host.ID) time.Duration {
	heard := m.started
	if p := m.peers[keyOf(id)]; p != nil && p.heard.After(heard) {
		heard = p.heard
	}
	return now.Sub(heard)
}

// isSilent reports whether it is this host's turn to check on a host that has been silent. Hosts take turns so
// that not all of them read the registry and ask for reports at once.
func (m *Machine) isSilent(now time.Time, id host.ID) bool {
	silence, fence := m.silence(now, id), m.timing.observed(m.timing.Fence)
	if keyOf(id) == keyOf(m.self) || silence < fence {
		return false
	}
	// The turn takes a hash of every host, so it is computed for silent hosts only.
	return m.hinted[id.Name] || silence >= fence+m.turn(id)
}

// turn returns how long this host waits before it checks on a silent host.
func (m *Machine) turn(id host.ID) time.Duration {
	place := 0
	if id.Zone != m.self.Zone {
		place = otherZoneDelay
	}
	own := turnHash(m.self, id)
	for _, h := range m.record.Hosts {
		sameSide := (h.Zone == id.Zone) == (m.self.Zone == id.Zone)
		if sameSide && keyOf(h) != keyOf(id) && turnHash(h, id) < own {
			place++
		}
	}
	return time.Duration(min(place, maxDelay)) * m.timing.Retry
}

func turnHash(checker, silent host.ID) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(checker.Name + "\x00" + silent.Name))
	return h.Sum32()
}

func (m *Machine) hostsListed(entries []platform.HostEntry) {
	live := map[string]bool{}
	for _, e := range entries {
		live[e.Name] = e.State == platform.HostLive
	}
	m.hinted = map[string]bool{}
	for _, h := range m.record.Hosts {
		if !live[h.Name] {
			m.hinted[h.Name] = true
		}
	}
}

// check looks for work on the epoch: joining, leaving, or silent hosts.
func (m *Machine) check(now time.Time) []Action {
	if now.Before(m.nextCheck) || m.left() {
		return nil
	}
	if !m.leaseValid(now) && !m.leaving && !m.policy.unreadableIsLapsed {
		return nil
	}
	m.nextCheck = now.Add(m.timing.Retry)
	if m.revision == 0 && !m.epochAbsent {
		return m.readEpoch(time.Time{})
	}
	if m.leaving {
		return m.proposeLeave()
	}
	if !m.member && m.ready {
		return m.readRegistry()
	}
	for _, h := range m.record.Hosts {
		if m.member && m.isSilent(now, h) {
			return m.readRegistry()
		}
	}
	return nil
}

func (m *Machine) readRegistry() []Action {
	if m.open[CallReadRegistry] {
		return nil
	}
	m.open[CallReadRegistry] = true
	return []Action{ReadRegistry{}}
}

func (m *Machine) registryRead(now time.Time, r Registry) []Action {
	m.open[CallReadRegistry] = false
	m.registry = r
	registered := map[hostKey]bool{}
	for _, reg := range r.Registered {
		registered[keyOf(reg.Host)] = true
	}
	for _, h := range m.record.Hosts {
		k := keyOf(h)
		if registered[k] && !m.policy.ignoreLease {
			delete(m.suspects, k)
			continue
		}
		session := r.Sessions[k]
		s := m.suspects[k]
		switch {
		case s == nil || s.session != session && !m.policy.unreadableIsLapsed:
			m.suspects[k] = &suspect{id: h, session: session, lapsed: now, reports: map[hostKey]time.Duration{}}
		default:
			s.session = session
		}
	}
	if !m.member {
		return m.proposeJoin(now)
	}
	return append(m.askReports(now), m.proposeExclusion(now)...)
}

// registryUnreadable starts no lapse: while the store is out of reach, a lease may be renewed by its holder.
func (m *Machine) registryUnreadable(now time.Time) {
	if !m.policy.unreadableIsLapsed {
		return
	}
	for _, h := range m.record.Hosts {
		if m.suspects[keyOf(h)] == nil {
			m.suspects[keyOf(h)] = &suspect{id: h, lapsed: now, reports: map[hostKey]time.Duration{}}
		}
	}
}

// askReports asks all epoch hosts about the suspects that are silent here too, and reports for this host itself.
func (m *Machine) askReports(now time.Time) []Action {
	long := m.timing.Isolation + m.timing.Fence
	var short, isolated []Exclusion
	for _, h := range m.record.Hosts {
		s := m.suspects[keyOf(h)]
		if s == nil || !m.isSilent(now, h) {
			continue
		}
		e := Exclusion{Host: h, Session: s.session}
		short = append(short, e)
		if m.silence(now, h) >= m.timing.observed(long) {
			isolated = append(isolated, e)
		}
	}
	var actions []Action
	for _, req := range []ReportRequest{
		{Silence: m.timing.Fence, Suspects: short}, {Silence: long, Suspects: isolated},
	} {
		if len(req.Suspects) == 0 {
			continue
		}
		m.recordReport(AskReport{To: m.self, Request: req}, m.AnswerReport(now, req))
		for _, to := range m.record.Hosts {
			if keyOf(to) != keyOf(m.self) {
				actions = append(actions, AskReport{To: to, Request: req})
			}
		}
	}
	return actions
}

// AnswerReport answers another host's request. Each positive answer is a promise: replies to the suspect do not
// count as contact until it has read the epoch in a later session than the one named.
func (m *Machine) AnswerReport(now time.Time, req ReportRequest) ReportReply {
	var reply ReportReply
	for _, s := range req.Suspects {
		silent := keyOf(s.Host) != keyOf(m.self) && m.silence(now, s.Host) >= m.timing.observed(req.Silence)
		p := m.peer(s.Host)
		if silent && !m.policy.noPromise {
			p.promised = true
			if m.policy.readEndsPromise {
				p.promisedSession = p.session
			} else {
				p.promisedSession = max(p.promisedSession, s.Session)
			}
		}
		reply.Silent = append(reply.Silent, silent)
		reply.Known = append(reply.Known, p.known)
	}
	return reply
}

func (m *Machine) recordReport(ask AskReport, reply ReportReply) {
	for i, e := range ask.Request.Suspects {
		s := m.suspects[keyOf(e.Host)]
		if s == nil || s.session != e.Session || i >= len(reply.Silent) || i >= len(reply.Known) {
			continue
		}
		s.known = max(s.known, reply.Known[i])
		if reply.Silent[i] {
			k := keyOf(ask.To)
			s.reports[k] = max(s.reports[k], ask.Request.Silence)
		}
	}
}

func (m *Machine) reportReplied(now time.Time, e ReportReplied) []Action {
	m.recordReport(e.Ask, e.Reply)
	return m.proposeExclusion(now)
}
