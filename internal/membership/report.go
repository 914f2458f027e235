package membership

import (
	"hash/fnv"
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/kvstore"
)

const (
	// otherZoneDelay is the additional check delay, in retry intervals, of hosts outside of the unreachable host's zone.
	// Hosts of the same zone exchange heartbeats in each round and detect the failure first.
	otherZoneDelay = 3
	// maxCheckDelay bounds the check delay, in retry intervals, so that a check takes place even if the hosts that
	// should check first have failed too.
	maxCheckDelay = 30
)

// suspect collects the reports about a host of the epoch that holds no registration.
type suspect struct {
	id host.ID
	// session is the revision of the host's session record, or zero if it has none. The exclusion requires the same
	// revision, so the reports become void when the host begins a later session.
	session int64
	// expired is the time at which this host first found no registration of the suspect, so that its lease has expired.
	expired time.Time
	// reports maps each reporting host to the longest time for which it confirmed that it received nothing.
	reports map[hostKey]time.Duration
	// known is the number of the newest epoch that any reporting host has received from the suspect.
	known uint64
}

// unreachableFor returns the time since the last message was received from a host, but at most the age of this process.
func (m *Machine) unreachableFor(now time.Time, id host.ID) time.Duration {
	lastReceived := m.started
	if p := m.peers[keyOf(id)]; p != nil && p.lastReceived.After(lastReceived) {
		lastReceived = p.lastReceived
	}
	return now.Sub(lastReceived)
}

// mustCheck reports whether this host must check another one now: the other one has been unreachable for the fencing
// time and then for the check delay of this host, which is skipped if the platform does not list the other one as live.
// The delays differ, so that not all hosts read the registry and request reports at once.
func (m *Machine) mustCheck(now time.Time, id host.ID) bool {
	unreachableFor, fence := m.unreachableFor(now, id), m.timing.observedTerm(m.timing.FencingTime)
	if keyOf(id) == keyOf(m.self) || unreachableFor < fence {
		return false
	}
	// The check delay needs a hash of every host, so it is computed for unreachable hosts only.
	return m.unlisted[id.Name] || unreachableFor >= fence+m.checkDelay(id)
}

// checkDelay returns how long this host waits, after the fencing time, before it checks an unreachable host. Hosts in
// the zone of that host check first; within the zone and outside of it a hash gives the order.
func (m *Machine) checkDelay(id host.ID) time.Duration {
	position := 0
	if id.Zone != m.self.Zone {
		position = otherZoneDelay
	}
	ownHash := checkOrderHash(m.self, id)
	for _, h := range m.record.Hosts {
		sameGroup := (h.Zone == id.Zone) == (m.self.Zone == id.Zone)
		if sameGroup && keyOf(h) != keyOf(id) && checkOrderHash(h, id) < ownHash {
			position++
		}
	}
	return time.Duration(min(position, maxCheckDelay)) * m.timing.Retry
}

func checkOrderHash(checker, unreachable host.ID) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(checker.Name + "\x00" + unreachable.Name))
	return h.Sum32()
}

func (m *Machine) hostsListed(entries []kvstore.HostEntry) {
	live := map[string]bool{}
	for _, e := range entries {
		live[e.Name] = e.State == kvstore.HostLive
	}
	m.unlisted = map[string]bool{}
	for _, h := range m.record.Hosts {
		if !live[h.Name] {
			m.unlisted[h.Name] = true
		}
	}
}

// maintainEpoch starts the next step toward a new epoch, at most once in each retry interval: it lets this host join or
// leave, or checks unreachable hosts.
func (m *Machine) maintainEpoch(now time.Time) []Action {
	if now.Before(m.nextCheck) || m.hasLeft() {
		return nil
	}
	if !m.leaseValid(now) && !m.leaving && !m.policy.unreadableIsExpired {
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
		if m.member && m.mustCheck(now, h) {
			return m.readRegistry()
		}
	}
	return nil
}

func (m *Machine) readRegistry() []Action {
	if m.inFlight[CallReadRegistry] {
		return nil
	}
	m.inFlight[CallReadRegistry] = true
	return []Action{ReadRegistry{}}
}

func (m *Machine) registryRead(now time.Time, r Registry) []Action {
	m.inFlight[CallReadRegistry] = false
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
		case s == nil || s.session != session && !m.policy.unreadableIsExpired:
			m.suspects[k] = &suspect{id: h, session: session, expired: now, reports: map[hostKey]time.Duration{}}
		default:
			s.session = session
		}
	}
	if !m.member {
		return m.proposeJoin(now)
	}
	return append(m.requestReports(now), m.proposeExclusion(now)...)
}

// registryUnreadable handles a failed read of the registry. It does not treat leases as expired, since their hosts
// may renew them although this host cannot read the store.
func (m *Machine) registryUnreadable(now time.Time) {
	if !m.policy.unreadableIsExpired {
		return
	}
	for _, h := range m.record.Hosts {
		if m.suspects[keyOf(h)] == nil {
			m.suspects[keyOf(h)] = &suspect{id: h, expired: now, reports: map[hostKey]time.Duration{}}
		}
	}
}

// requestReports requests reports from all hosts of the epoch on the suspects that this host must check, and records
// its own reports.
func (m *Machine) requestReports(now time.Time) []Action {
	isolationTime := m.timing.Isolation + m.timing.FencingTime
	var fencingSuspects, isolationSuspects []HostSession
	for _, h := range m.record.Hosts {
		s := m.suspects[keyOf(h)]
		if s == nil || !m.mustCheck(now, h) {
			continue
		}
		e := HostSession{Host: h, Session: s.session}
		fencingSuspects = append(fencingSuspects, e)
		if m.unreachableFor(now, h) >= m.timing.observedTerm(isolationTime) {
			isolationSuspects = append(isolationSuspects, e)
		}
	}
	var actions []Action
	for _, req := range []ReportRequest{
		{UnreachableFor: m.timing.FencingTime, Suspects: fencingSuspects}, {UnreachableFor: isolationTime, Suspects: isolationSuspects},
	} {
		if len(req.Suspects) == 0 {
			continue
		}
		m.recordReport(RequestReport{To: m.self, Request: req}, m.AnswerReport(now, req))
		for _, to := range m.record.Hosts {
			if keyOf(to) != keyOf(m.self) {
				actions = append(actions, RequestReport{To: to, Request: req})
			}
		}
	}
	return actions
}

// AnswerReport returns the reply to another host's request. From each suspect that it reports as unreachable, this host
// withholds contact: its replies to the suspect do not count as contact until the suspect has read the epoch in a later
// session than the one in the request.
func (m *Machine) AnswerReport(now time.Time, req ReportRequest) ReportReply {
	var reply ReportReply
	for _, s := range req.Suspects {
		unreachable := keyOf(s.Host) != keyOf(m.self) && m.unreachableFor(now, s.Host) >= m.timing.observedTerm(req.UnreachableFor)
		p := m.peer(s.Host)
		if unreachable && !m.policy.keepContact {
			p.contactWithheld = true
			if m.policy.readRestoresContact {
				p.withheldSession = p.session
			} else {
				p.withheldSession = max(p.withheldSession, s.Session)
			}
		}
		reply.Unreachable = append(reply.Unreachable, unreachable)
		reply.Known = append(reply.Known, p.known)
	}
	return reply
}

func (m *Machine) recordReport(sent RequestReport, reply ReportReply) {
	for i, e := range sent.Request.Suspects {
		s := m.suspects[keyOf(e.Host)]
		if s == nil || s.session != e.Session || i >= len(reply.Unreachable) || i >= len(reply.Known) {
			continue
		}
		s.known = max(s.known, reply.Known[i])
		if reply.Unreachable[i] {
			k := keyOf(sent.To)
			s.reports[k] = max(s.reports[k], sent.Request.UnreachableFor)
		}
	}
}

func (m *Machine) reportReplied(now time.Time, e ReportReplied) []Action {
	m.recordReport(e.Sent, e.Reply)
	return m.proposeExclusion(now)
}
