package membership

import (
	"hash/fnv"
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
)

// spareShare is the part added to a majority when heartbeats go to one, so that a few dead hosts among the
// chosen ones leave a majority of answers.
const spareShare = 4

// heartbeats returns one round: all hosts of the zone, a few hosts of each other zone in rotation, and a majority
// of the epoch while the lease is not fresh or the newest epoch is not yet widely known.
func (m *Machine) heartbeats(now time.Time) []Action {
	m.round++
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
		// Iterating over the hosts and not over the map keeps the order of the actions fixed.
		if hosts := zones[h.Zone]; len(hosts) > 0 {
			m.rotate(hosts, m.timing.HostsPerZone, send)
			delete(zones, h.Zone)
		}
	}
	if !m.leaseFresh(now) {
		m.extendToMajority(m.record.Hosts, func(h host.ID) bool { return m.inContact(now, h) }, chosen, send)
	}
	if n := m.record.Number; !m.KnownByMajority(n) {
		m.extendToMajority(m.record.Previous, func(h host.ID) bool { return m.knows(h, n) }, chosen, send)
	}
	return actions
}

// leaseFresh reports whether the lease was renewed in time. A late renewal starts the heartbeats to a majority
// before the lease has ended, so that M holds when L is lost.
func (m *Machine) leaseFresh(now time.Time) bool {
	return !m.lease.base.IsZero() && now.Sub(m.lease.base) < m.timing.Renewal+m.timing.Retry
}

// rotate sends to n of the hosts, moving on in each round. Each host starts at another place.
func (m *Machine) rotate(hosts []host.ID, n int, send func(host.ID)) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(m.self.Name))
	start := int(h.Sum32()%uint32(len(hosts))) + m.round*n //nolint:gosec // The host count fits 32 bits.
	for i := range min(n, len(hosts)) {
		send(hosts[(start+i)%len(hosts)])
	}
}

// extendToMajority adds hosts until the chosen ones are a majority of hosts and some spare ones: the preferred
// hosts first, then the others in rotation.
func (m *Machine) extendToMajority(
	hosts []host.ID, preferred func(host.ID) bool, chosen map[hostKey]bool, send func(host.ID),
) {
	need := len(hosts)/2 + 1
	need += (need + spareShare - 1) / spareShare
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
		h := hosts[(i+m.round)%len(hosts)]
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

// claimedSession is the session that ends promises of others: the newest one that was followed by a read of the epoch.
func (m *Machine) claimedSession() int64 {
	if m.policy.readEndsPromise {
		return m.reads
	}
	return m.lease.readSession
}

// AnswerHeartbeat answers another host's heartbeat. Of the sender it uses only name and incarnation. The actions ask the sender for a newer epoch.
func (m *Machine) AnswerHeartbeat(now time.Time, hb Heartbeat) (HeartbeatReply, []Action) {
	p := m.peer(hb.From)
	p.heard = now
	p.known = max(p.known, hb.Epoch)
	p.session = max(p.session, hb.Session)
	if hb.Session > p.promisedSession {
		p.promised = false
	}
	reply := HeartbeatReply{From: m.self, Epoch: m.record.Number, Counts: !p.promised && !m.leaving}
	var actions []Action
	switch {
	case hb.Epoch < m.record.Number:
		r := m.record
		reply.Newer = &r
	case hb.Epoch > m.record.Number:
		actions = m.askForEpoch(hb.From)
	}
	return reply, actions
}

// askForEpoch asks a host with a newer epoch for it, or the store if this host does not know its address.
func (m *Machine) askForEpoch(from host.ID) []Action {
	for _, h := range m.record.Hosts {
		if keyOf(h) == keyOf(from) {
			return []Action{m.sendHeartbeat(h)}
		}
	}
	return m.readEpoch(time.Time{})
}

func (m *Machine) heartbeatReplied(now time.Time, e HeartbeatReplied) {
	if e.Reply.Newer != nil {
		// The newer epoch is installed before the reply counts as contact, so that contact with a majority
		// implies knowledge of every epoch that a majority knows.
		m.adopt(now, *e.Reply.Newer, 0)
	}
	if keyOf(e.Reply.From) != keyOf(e.To) {
		// The epoch named the old process before the heartbeat was sent, so the one that answers at its address is
		// its successor (condition a).
		m.peer(e.To).replaced = true
		return
	}
	p := m.peer(e.To)
	p.heard = now
	p.known = max(p.known, e.Reply.Epoch)
	counted := e.Sent
	if m.policy.contactFromReceipt {
		counted = now
	}
	if e.Sent.After(p.replied) {
		p.replied = e.Sent
	}
	if e.Reply.Counts && counted.After(p.contact) {
		p.contact = counted
		m.majority.known = false
	}
	m.noteSuperseded(now)
}
