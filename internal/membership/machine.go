package membership

import (
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/platform"
)

// Machine is the protocol state of one host. It does no I/O and reads no clock: the caller passes events with the
// current time and carries out the returned actions. It is not safe for concurrent use.
type Machine struct {
	self    host.ID
	timing  Timing
	policy  policy
	started time.Time
	ready   bool
	leaving bool

	lease leaseState

	record Record
	// revision is the store revision of record, or zero when it came from a peer.
	revision int64
	// epochAbsent is set when the store has no epoch yet.
	epochAbsent bool
	past        []pastHosts
	// pastFrom is the time from which past is complete.
	pastFrom time.Time

	peers map[hostKey]*peerState
	// member is whether record contains this host.
	member bool
	// majority caches majorityEnd, which would otherwise be computed for each admission without a lease.
	majority majorityCache
	// authorityEnd is the latest end of majority contact under epochs before the present one.
	authorityEnd  time.Time
	round         int
	nextHeartbeat time.Time

	open      [storeCalls]bool
	nextCheck time.Time
	// suspects holds the evidence against epoch hosts that the store shows without a registration.
	suspects map[hostKey]*suspect
	registry Registry
	hinted   map[string]bool
	// cachedAuthority and reads are used only by policies of the tests.
	cachedAuthority error
	reads           int64
}

// leaseState is what the host knows of its store lease. Times are send times.
type leaseState struct {
	id  platform.LeaseID
	ttl time.Duration
	// session is the last known revision of the host's session record, or zero for none.
	session int64
	// readSession is the newest session that was followed by a read of the epoch.
	readSession int64
	// base is the send time of the newest renewal that was followed by a read of the epoch.
	base time.Time
	// next is when the next renewal or acquisition is due.
	next time.Time
	// ready is the readiness that the registration carries.
	ready bool
	// failed is set while the last lease call failed, which delays the next one until next.
	failed bool
	// unread is the send time of a renewal that still needs a read of the epoch, or zero.
	unread time.Time
}

// pastHosts is the host set of an earlier epoch. A host that still holds that epoch may count a majority of it.
type pastHosts struct {
	hosts []host.ID
	// superseded is when a majority of the hosts were first seen to know the next epoch, or zero.
	superseded time.Time
}

// peerState is what the host knows of another one.
type peerState struct {
	// contact is the send time of the last heartbeat whose reply counts.
	contact time.Time
	// replied is the send time of the last answered heartbeat.
	replied time.Time
	// heard is when the last message from the peer arrived.
	heard time.Time
	// known is the highest epoch that the peer has reported.
	known uint64
	// promised is set while replies to the peer do not count, for its sessions up to promisedSession.
	promised        bool
	promisedSession int64
	// session is the newest session that the peer has claimed.
	session int64
	// replaced is set once another process has answered at the peer's address.
	replaced bool
}

// NewMachine returns a machine for a process that started at the given time.
func NewMachine(self host.ID, timing Timing, started time.Time) *Machine {
	return &Machine{
		self: self, timing: timing, started: started, pastFrom: started,
		peers: map[hostKey]*peerState{}, suspects: map[hostKey]*suspect{},
	}
}

// Handle applies an event and returns the actions that follow.
func (m *Machine) Handle(now time.Time, event Event) []Action {
	var actions []Action
	switch e := event.(type) {
	case Tick:
		actions = m.tick(now)
	case HeartbeatReplied:
		m.heartbeatReplied(now, e)
	case LeaseAcquired, LeaseRefused, LeaseRenewed, LeaseLost:
		actions = m.leaseEvent(now, e)
	case EpochRead:
		actions = m.epochRead(now, e)
	case RegistryRead:
		actions = m.registryRead(now, e.Registry)
	case ReportReplied:
		actions = m.reportReplied(now, e)
	case EpochProposed:
		actions = m.epochProposed(now, e)
	case StoreFailed:
		actions = m.storeFailed(now, e.Call)
	case HostsListed:
		m.hostsListed(e.Entries)
	case Ready:
		m.ready = true
	case Leave:
		m.leaving = true
	}
	if m.policy.cachedAuthority {
		m.cachedAuthority = m.authority(now)
	}
	return actions
}

func (m *Machine) tick(now time.Time) []Action {
	m.noteSuperseded(now)
	actions := m.leaseActions(now)
	if !now.Before(m.nextHeartbeat) {
		m.nextHeartbeat = now.Add(m.timing.Heartbeat)
		actions = append(actions, m.heartbeats(now)...)
	}
	return append(actions, m.check(now)...)
}

// leaseActions renews the lease, or acquires one, when that is due.
func (m *Machine) leaseActions(now time.Time) []Action {
	if m.open[CallLease] || m.left() {
		return nil
	}
	mustRegister := m.lease.id == 0 || (m.ready && !m.lease.ready)
	if now.Before(m.lease.next) && (m.lease.id == 0 || !mustRegister || m.lease.failed) {
		return nil
	}
	m.open[CallLease] = true
	if mustRegister {
		return []Action{AcquireLease{Ready: m.ready, Session: m.lease.session}}
	}
	return []Action{RenewLease{Lease: m.lease.id}}
}

func (m *Machine) leaseEvent(now time.Time, event Event) []Action {
	m.open[CallLease] = false
	m.lease.failed = false
	switch e := event.(type) {
	case LeaseAcquired:
		m.lease.id, m.lease.ttl, m.lease.session, m.lease.ready = e.Lease, e.TTL, e.Session, e.Ready
		m.lease.next = now.Add(m.timing.Renewal)
		if m.policy.renewalAlone {
			m.lease.base = e.Sent
		}
		return m.readEpoch(e.Sent)
	case LeaseRefused:
		m.lease.session, m.lease.next = e.Session, now
		return m.leaseActions(now)
	case LeaseRenewed:
		if e.Lease != m.lease.id {
			return nil
		}
		m.lease.ttl, m.lease.next = e.TTL, now.Add(m.timing.Renewal)
		if m.policy.renewalAlone {
			m.lease.base = e.Sent
		}
		return m.readEpoch(e.Sent)
	case LeaseLost:
		if e.Lease == m.lease.id {
			m.lease.id, m.lease.next = 0, now
			return m.leaseActions(now)
		}
	}
	return nil
}

// readEpoch asks for a read after a renewal that was sent at base, or for a plain read when base is zero.
func (m *Machine) readEpoch(base time.Time) []Action {
	if m.open[CallReadEpoch] {
		// The open read may have been sent before the renewal was answered, so the renewal needs another one.
		m.lease.unread = base
		return nil
	}
	m.open[CallReadEpoch] = true
	m.lease.unread = time.Time{}
	return []Action{ReadEpoch{Base: base, Lease: m.lease.id, Session: m.lease.session}}
}

func (m *Machine) epochRead(now time.Time, e EpochRead) []Action {
	m.open[CallReadEpoch] = false
	m.epochAbsent = !e.Found
	if e.Found {
		m.adopt(now, e.Record, e.Revision)
	}
	if e.Record.Number >= m.record.Number {
		// A read of an older epoch, or of none, shows a read that was overtaken or a store that was reset. It does
		// not extend the authority.
		m.reads++
		m.lease.readSession = max(m.lease.readSession, e.Read.Session)
		if e.Read.Lease == m.lease.id && e.Read.Base.After(m.lease.base) {
			m.lease.base = e.Read.Base
		}
	}
	if m.lease.unread.IsZero() {
		return nil
	}
	return m.readEpoch(m.lease.unread)
}

func (m *Machine) storeFailed(now time.Time, call StoreCall) []Action {
	m.open[call] = false
	switch call {
	case CallLease:
		m.lease.failed = true
		m.lease.next = now.Add(m.timing.Retry)
	case CallReadEpoch:
		// A renewal without a read is of no use, so both are repeated.
		m.lease.unread = time.Time{}
		m.lease.next = now.Add(m.timing.Retry)
	case CallReadRegistry:
		m.registryUnreadable(now)
	case CallPropose:
		return m.readEpoch(time.Time{})
	}
	return nil
}

// adopt installs a newer epoch, or the store revision of the present one.
func (m *Machine) adopt(now time.Time, r Record, revision int64) {
	if r.Number == m.record.Number && r.Number > 0 && revision > 0 {
		m.revision = revision
	}
	if r.Number <= m.record.Number {
		return
	}
	if end, ever := m.majorityEnd(); ever {
		if end.After(now) {
			end = now
		}
		if end.After(m.authorityEnd) {
			m.authorityEnd = end
		}
	}
	m.rememberHosts(now, r)
	m.record, m.revision, m.epochAbsent = r, revision, false
	m.member = r.Contains(m.self)
	m.majority.known = false
	for k := range m.peers {
		if !m.concerns(k) {
			delete(m.peers, k)
		}
	}
	clear(m.suspects)
}

// concerns reports whether a host is in this epoch or the one before.
func (m *Machine) concerns(k hostKey) bool {
	for _, hosts := range [][]host.ID{m.record.Hosts, m.record.Previous} {
		for _, h := range hosts {
			if keyOf(h) == k {
				return true
			}
		}
	}
	return false
}

func (m *Machine) peer(id host.ID) *peerState {
	p := m.peers[keyOf(id)]
	if p == nil {
		p = &peerState{}
		m.peers[keyOf(id)] = p
	}
	return p
}

// left reports whether the host is leaving and no longer in the newest known epoch.
func (m *Machine) left() bool {
	return m.leaving && !m.member
}

// forgetOpenCalls lets every call be made again; answers to earlier ones remain harmless.
func (m *Machine) forgetOpenCalls() { m.open = [storeCalls]bool{} }
