package membership

import (
	"hash/fnv"
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
)

// spareDivisor sets the number of spare heartbeats when a majority is contacted: one for every spareDivisor hosts of
// the majority, rounded up, so that a majority replies although a few of the chosen hosts have failed.
const spareDivisor = 4

// heartbeats returns the heartbeats of one round. They go to all hosts of this zone and to a few hosts of each other
// zone in rotation. While the last lease renewal is late, they also go to a majority of the epoch's hosts. Until a
// majority of the previous epoch's hosts have the current epoch, they also go to a majority of the previous epoch's
// hosts.
func (m *Machine) heartbeats(now time.Time) []Action {
	m.heartbeatRound++
	chosen := map[hostKey]bool{keyOf(m.self): true}
	var actions []Action
	send := func(id host.ID) {
		if !chosen[keyOf(id)] {
			chosen[keyOf(id)] = true
			actions = append(actions, m.sendHeartbeat(id))
		}
	}
	zones := map[string][]host.ID{}
	for _, h := range m.record.Hosts {
		if h.Zone == m.self.Zone {
			send(h)
		} else {
			zones[h.Zone] = append(zones[h.Zone], h)
		}
	}
	for _, h := range m.record.Hosts {
		// Iterating over the hosts instead of the map makes the order of the actions deterministic.
		if hosts := zones[h.Zone]; len(hosts) > 0 {
			m.sendRotating(hosts, m.timing.HostsPerZone, send)
			delete(zones, h.Zone)
		}
	}
	if !m.renewalOnTime(now) {
		m.extendToMajority(m.record.Hosts, func(h host.ID) bool { return m.inContact(now, h) }, chosen, send)
	}
	if n := m.record.Number; !m.KnownByMajority(n) {
		m.extendToMajority(m.record.Previous, func(h host.ID) bool { return m.holdsEpoch(h, n) }, chosen, send)
	}
	return actions
}

// renewalOnTime reports whether the last lease renewal was on time. When a renewal is late, heartbeats to a majority
// start before the lease expires, so that the majority condition already holds when the lease condition ends.
func (m *Machine) renewalOnTime(now time.Time) bool {
	return !m.lease.validFrom.IsZero() && now.Sub(m.lease.validFrom) < m.timing.Renewal+m.timing.Retry
}

// sendRotating sends to n of the hosts, and to the next n in the following round. The hash of the host name gives each
// sender a different starting position.
func (m *Machine) sendRotating(hosts []host.ID, n int, send func(host.ID)) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(m.self.Name))
	start := int(h.Sum32()%uint32(len(hosts))) + m.heartbeatRound*n //nolint:gosec // The host count fits 32 bits.
	for i := range min(n, len(hosts)) {
		send(hosts[(start+i)%len(hosts)])
	}
}

// extendToMajority sends to further hosts until the chosen ones are a majority of hosts plus the spare ones. Preferred
// hosts are chosen first, then the others in rotation.
func (m *Machine) extendToMajority(
	hosts []host.ID, preferred func(host.ID) bool, chosen map[hostKey]bool, send func(host.ID),
) {
	need := len(hosts)/2 + 1
	need += (need + spareDivisor - 1) / spareDivisor
	for _, h := range hosts {
		if chosen[keyOf(h)] {
			need--
		}
	}
	for _, h := range hosts {
		if need > 0 && !chosen[keyOf(h)] && preferred(h) {
			send(h)
			need--
		}
	}
	for i := range hosts {
		h := hosts[(i+m.heartbeatRound)%len(hosts)]
		if need > 0 && !chosen[keyOf(h)] {
			send(h)
			need--
		}
	}
}

func (m *Machine) sendHeartbeat(to host.ID) Action {
	return SendHeartbeat{To: to, Heartbeat: Heartbeat{
		From: m.self, Epoch: m.record.Number, Session: m.claimedSession(),
	}}
}

// claimedSession returns the session that heartbeats carry: the newest one in which this host has read the epoch. A
// peer that withholds contact because of an earlier session stops doing so when it receives this one.
func (m *Machine) claimedSession() int64 {
	if m.policy.readRestoresContact {
		return m.epochReads
	}
	return m.lease.readSession
}

// AnswerHeartbeat returns the reply to another host's heartbeat. It uses only the sender's name and incarnation. If the
// sender has a newer epoch, the returned actions fetch it.
func (m *Machine) AnswerHeartbeat(now time.Time, hb Heartbeat) (HeartbeatReply, []Action) {
	p := m.peer(hb.From)
	p.lastReceived = now
	p.known = max(p.known, hb.Epoch)
	p.session = max(p.session, hb.Session)
	if hb.Session > p.withheldSession {
		p.contactWithheld = false
	}
	reply := HeartbeatReply{From: m.self, Epoch: m.record.Number, Counts: !p.contactWithheld && !m.leaving}
	var actions []Action
	switch {
	case hb.Epoch < m.record.Number:
		r := m.record
		reply.Newer = &r
	case hb.Epoch > m.record.Number:
		actions = m.requestEpoch(hb.From)
	}
	return reply, actions
}

// requestEpoch requests a newer epoch from a host that has it, or from the store if the host's address is not known.
func (m *Machine) requestEpoch(from host.ID) []Action {
	for _, h := range m.record.Hosts {
		if keyOf(h) == keyOf(from) {
			return []Action{m.sendHeartbeat(h)}
		}
	}
	return m.readEpoch(time.Time{})
}

func (m *Machine) heartbeatReplied(now time.Time, e HeartbeatReplied) {
	if e.Reply.Newer != nil {
		// The newer epoch is installed before the reply counts as contact, so that a host in contact with a majority
		// has every epoch that a majority has.
		m.adopt(now, *e.Reply.Newer, 0)
	}
	if keyOf(e.Reply.From) != keyOf(e.To) {
		// The epoch contained the addressed process before the heartbeat was sent, so the process that replied at its
		// address is its successor, which proves replacement.
		m.peer(e.To).replaced = true
		return
	}
	p := m.peer(e.To)
	p.lastReceived = now
	p.known = max(p.known, e.Reply.Epoch)
	contactTime := e.Sent
	if m.policy.contactFromReceipt {
		contactTime = now
	}
	if e.Sent.After(p.lastReplied) {
		p.lastReplied = e.Sent
	}
	if e.Reply.Counts && contactTime.After(p.lastContact) {
		p.lastContact = contactTime
		m.majority.known = false
	}
	m.markSuperseded(now)
}
