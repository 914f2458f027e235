package membership

import (
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/kvstore"
)

// Machine is the state machine of the membership protocol on one host. It does no I/O and reads no clock: the caller
// passes events with the current time and carries out the returned actions. It is not safe for concurrent use.
type Machine struct {
	self    host.ID
	timing  Timing
	policy  policy
	started time.Time
	ready   bool
	leaving bool

	lease leaseState

	record Record
	// revision is the store revision of record, or zero if the record was received from a peer.
	revision int64
	// epochAbsent is set if the last read found no epoch in the store.
	epochAbsent bool
	pastSets    []pastHostSet
	// pastSetsFrom is the time from which pastSets is complete.
	pastSetsFrom time.Time

	peers map[hostKey]*peerState
	// member is set if record contains this host.
	member bool
	// majority caches the result of majorityEnd, which is needed for each admission while there is no valid lease.
	majority majorityCache
	// authorityEnd is the latest end of the majority condition under epochs before the current one.
	authorityEnd   time.Time
	heartbeatRound int
	nextHeartbeat  time.Time

	inFlight  [storeCallKinds]bool
	nextCheck time.Time
	// suspects holds the reports about hosts of the epoch that hold no registration in the store.
	suspects map[hostKey]*suspect
	registry Registry
	// unlisted holds the names of the epoch's hosts that the platform's host list does not show as live.
	unlisted map[string]bool
	// cachedAuthority and epochReads are used only when a test weakens a rule through policy.
	cachedAuthority error
	epochReads      int64
}

// leaseState is the state of the host's store lease.
type leaseState struct {
	id  kvstore.LeaseID
	ttl time.Duration
	// session is the last known revision of the host's session record, or zero if there is none.
	session int64
	// readSession is the newest session in which the epoch was read.
	readSession int64
	// validFrom is the send time of the newest renewal or acquisition that was followed by a read of the epoch.
	validFrom time.Time
	// next is the time at which the next renewal or acquisition is due.
	next time.Time
	// ready is the readiness recorded in the registration.
	ready bool
	// lastCallFailed is set if the last lease call failed, which delays the next one until next.
	lastCallFailed bool
	// unreadRenewal is the send time of a renewal that still has to be followed by a read of the epoch, or zero.
	unreadRenewal time.Time
}

// pastHostSet is the host set of an earlier epoch. For a host that still has that epoch, contact with a majority of
// this set satisfies the majority condition.
type pastHostSet struct {
	hosts []host.ID
	// superseded is the time at which a majority of the hosts were first known to have the next epoch, or zero.
	superseded time.Time
}

// peerState is what this host knows about another one.
type peerState struct {
	// lastContact is the send time of the last heartbeat whose reply counts as contact.
	lastContact time.Time
	// lastReplied is the send time of the last heartbeat to which the peer replied.
	lastReplied time.Time
	// lastReceived is the time at which the last heartbeat or reply was received from the peer.
	lastReceived time.Time
	// known is the number of the newest epoch that the peer has reported.
	known uint64
	// contactWithheld is set while this host's replies to the peer do not count as contact. It is reset when the peer
	// reports a session later than withheldSession.
	contactWithheld bool
	withheldSession int64
	// session is the newest session that the peer has reported in a heartbeat.
	session int64
	// replaced is set once another process has replied at the peer's address.
	replaced bool
}

// NewMachine returns the machine of a process that started at the given time. Timing must have passed Check.
func NewMachine(self host.ID, timing Timing, started time.Time) *Machine {
	return &Machine{
		self: self, timing: timing, started: started, pastSetsFrom: started,
		peers: map[hostKey]*peerState{}, suspects: map[hostKey]*suspect{},
	}
}

// Handle applies an event and returns the actions that the caller must carry out.
func (m *Machine) Handle(now time.Time, event Event) []Action {
	var actions []Action
	switch e := event.(type) {
	case Tick:
		actions = m.tick(now)
	case HeartbeatReplied:
		m.heartbeatReplied(now, e)
	case LeaseAcquired, RegistrationRefused, LeaseRenewed, LeaseLost:
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
	m.markSuperseded(now)
	actions := m.leaseActions(now)
	if !now.Before(m.nextHeartbeat) {
		m.nextHeartbeat = now.Add(m.timing.Heartbeat)
		actions = append(actions, m.heartbeats(now)...)
	}
	return append(actions, m.maintainEpoch(now)...)
}

// leaseActions returns a renewal or an acquisition of the lease if one is due.
func (m *Machine) leaseActions(now time.Time) []Action {
	if m.inFlight[CallLease] || m.hasLeft() {
		return nil
	}
	mustRegister := m.lease.id == 0 || (m.ready && !m.lease.ready)
	if now.Before(m.lease.next) && (m.lease.id == 0 || !mustRegister || m.lease.lastCallFailed) {
		return nil
	}
	m.inFlight[CallLease] = true
	if mustRegister {
		return []Action{AcquireLease{Ready: m.ready, Session: m.lease.session}}
	}
	return []Action{RenewLease{Lease: m.lease.id}}
}

func (m *Machine) leaseEvent(now time.Time, event Event) []Action {
	m.inFlight[CallLease] = false
	m.lease.lastCallFailed = false
	switch e := event.(type) {
	case LeaseAcquired:
		m.lease.id, m.lease.ttl, m.lease.session, m.lease.ready = e.Lease, e.TTL, e.Session, e.Ready
		m.lease.next = now.Add(m.timing.Renewal)
		if m.policy.renewalWithoutRead {
			m.lease.validFrom = e.Sent
		}
		return m.readEpoch(e.Sent)
	case RegistrationRefused:
		m.lease.session, m.lease.next = e.Session, now
		return m.leaseActions(now)
	case LeaseRenewed:
		if e.Lease != m.lease.id {
			return nil
		}
		m.lease.ttl, m.lease.next = e.TTL, now.Add(m.timing.Renewal)
		if m.policy.renewalWithoutRead {
			m.lease.validFrom = e.Sent
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

// readEpoch requests a read of the epoch that follows a renewal sent at renewalSent, or no renewal if that is zero.
func (m *Machine) readEpoch(renewalSent time.Time) []Action {
	if m.inFlight[CallReadEpoch] {
		// The read in flight may have been sent before the renewal finished, so the renewal needs another one.
		m.lease.unreadRenewal = renewalSent
		return nil
	}
	m.inFlight[CallReadEpoch] = true
	m.lease.unreadRenewal = time.Time{}
	return []Action{ReadEpoch{RenewalSent: renewalSent, Lease: m.lease.id, Session: m.lease.session}}
}

func (m *Machine) epochRead(now time.Time, e EpochRead) []Action {
	m.inFlight[CallReadEpoch] = false
	m.epochAbsent = !e.Found
	if e.Found {
		m.adopt(now, e.Record, e.Revision)
	}
	if e.Record.Number >= m.record.Number {
		// Otherwise the read was overtaken by a later one, or the store was reset: it does not extend the lease condition.
		m.epochReads++
		m.lease.readSession = max(m.lease.readSession, e.Read.Session)
		if e.Read.Lease == m.lease.id && e.Read.RenewalSent.After(m.lease.validFrom) {
			m.lease.validFrom = e.Read.RenewalSent
		}
	}
	if m.lease.unreadRenewal.IsZero() {
		return nil
	}
	return m.readEpoch(m.lease.unreadRenewal)
}

func (m *Machine) storeFailed(now time.Time, call StoreCall) []Action {
	m.inFlight[call] = false
	switch call {
	case CallLease:
		m.lease.lastCallFailed = true
		m.lease.next = now.Add(m.timing.Retry)
	case CallReadEpoch:
		// A renewal does not extend the lease condition without a read, so both are repeated.
		m.lease.unreadRenewal = time.Time{}
		m.lease.next = now.Add(m.timing.Retry)
	case CallReadRegistry:
		m.registryUnreadable(now)
	case CallPropose:
		return m.readEpoch(time.Time{})
	}
	return nil
}

// adopt installs a newer epoch, or records the store revision of the current one.
func (m *Machine) adopt(now time.Time, r Record, revision int64) {
	if r.Number == m.record.Number && r.Number > 0 && revision > 0 {
		m.revision = revision
	}
	if r.Number <= m.record.Number {
		return
	}
	if end, everHeld := m.majorityEnd(); everHeld {
		if end.After(now) {
			end = now
		}
		if end.After(m.authorityEnd) {
			m.authorityEnd = end
		}
	}
	m.recordPastSets(now, r)
	m.record, m.revision, m.epochAbsent = r, revision, false
	m.member = r.Contains(m.self)
	m.majority.known = false
	for k := range m.peers {
		if !m.inCurrentOrPrevious(k) {
			delete(m.peers, k)
		}
	}
	clear(m.suspects)
}

// inCurrentOrPrevious reports whether a host is in the current epoch or in the previous one.
func (m *Machine) inCurrentOrPrevious(k hostKey) bool {
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

// hasLeft reports whether the host is leaving and no longer in the newest known epoch.
func (m *Machine) hasLeft() bool {
	return m.leaving && !m.member
}

// resetInFlight allows every store call to be made again. Late results of earlier calls are harmless.
func (m *Machine) resetInFlight() { m.inFlight = [storeCallKinds]bool{} }
