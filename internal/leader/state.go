// Package leader elects the leader: the one host of the fleet that may send commands. The leader holds a lease in the
// platform's store, the leader lease. Each leader gets a fencing token that is higher than that of every leader before.
package leader

import (
	"time"

	"github.com/boragecourse/boragecourse/internal/kvstore"
)

const (
	// leaseTTL is the term of the leader lease. A long term keeps renewals rare. It also prolongs the time without a
	// leader, which is acceptable because that only delays commands.
	leaseTTL = 9 * time.Second
	// renewInterval leaves time for two more attempts after a renewal that failed.
	renewInterval = leaseTTL / 3
	// clockMargin is subtracted from the term for differences in clock rate between this host and the store, up to 5%.
	clockMargin = leaseTTL / 20
	// callMargin is the longest time that a command may take from being sent to its arrival.
	callMargin = time.Second
	// claimSpread, multiplied by the number of hosts plus one, is the upper limit of the random delay before a claim.
	// The delay keeps the hosts from claiming at the same time.
	claimSpread = 100 * time.Millisecond
)

// Keys in the store.
const (
	// KeyPrefix is the common prefix of all keys of the leader election.
	KeyPrefix = "boragecourse/duty/"
	// leaderKey is the key whose value names the process that is the leader. The key is attached to the leader lease,
	// and the store deletes it when the lease ends.
	leaderKey = KeyPrefix + "holder"
	// lastKey is the key whose value names the host that was last elected. The key is attached to no lease, so it stays
	// after the leader lease ends.
	lastKey = KeyPrefix + "last"
)

// record is the state of the leader election in the store.
type record struct {
	leader, last kvstore.KeyValue
}

// action is what the caller of step has to do.
type action int

const (
	actionNone action = iota
	actionClaim
	actionRenew
)

// machine is the state machine of one process in the leader election: it decides when the process claims and renews,
// and whether it may send commands. Times are readings of a clock that includes the time in which the machine is
// suspended. It does no I/O.
type machine struct {
	// process identifies this process.
	process string
	// handover is the minimum time between the last command of the previous leader and the first of a new one.
	handover time.Duration

	// lease is the id of this process's lease, 0 if it has none. It is set when the lease is granted, before the claim.
	lease      kvstore.LeaseID
	validUntil time.Duration
	renewAt    time.Duration
	// restarted is set if the fleet has run before this process started or the store was restored since. hadLeader is set once this process has seen the
	// record of a leader, which may be lost when the store is restored from an older copy.
	restarted, hadLeader bool
	// mustWait is set when there may have been a leader before. commandsFrom is when this process may send its first
	// command. By then, all commands of the previous leader have arrived and the handover time has passed.
	mustWait     bool
	commandsFrom time.Duration
	// fence is the fencing token, 0 while the claim is not known to have succeeded.
	fence int64
	// claimAt is when this process claims leadership. It is 0 while there is a leader, while the store has not been
	// read, and while this process has a lease.
	claimAt time.Duration
}

// step returns the next action. known is false until the store has been read; delay returns the random delay before a
// claim.
func (m *machine) step(now time.Duration, r record, known bool, delay func() time.Duration) action {
	hasLeader := r.leader.Value != nil
	m.hadLeader = m.hadLeader || r.last.Value != nil
	switch {
	case m.lease != 0 && now >= m.validUntil:
		m.reset()
	case m.lease != 0 && m.fence == 0 && now >= m.renewAt && string(r.leader.Value) != m.process:
		// The reply to the claim was lost, and this host's copy of the store does not show that the claim was carried
		// out. The lease is left to expire.
		m.reset()
	case hasLeader && m.lease != 0 && string(r.leader.Value) == m.process && r.leader.Lease == m.lease:
		// This also completes a claim whose reply was lost.
		m.recordClaim(now, r.leader.ModRevision)
	}
	if m.lease != 0 {
		m.claimAt = 0
		if now >= m.renewAt {
			return actionRenew
		}
		return actionNone
	}
	if !known || hasLeader {
		m.claimAt = 0
		return actionNone
	}
	return m.awaitClaim(now, delay)
}

// awaitClaim returns actionClaim once a random delay has passed since the first step without a leader. The delay keeps
// the hosts from claiming at the same time.
func (m *machine) awaitClaim(now time.Duration, delay func() time.Duration) action {
	if m.claimAt == 0 {
		m.claimAt = now + delay()
	}
	if now < m.claimAt {
		return actionNone
	}
	m.claimAt = 0
	return actionClaim
}

// recordGrant records the lease for a claim. Its term counts from sentAt, the time before the call, since the store
// granted the lease at some time after it.
func (m *machine) recordGrant(sentAt time.Duration, id kvstore.LeaseID, ttl time.Duration, r record) {
	m.lease = id
	m.recordRenewal(sentAt, ttl)
	// The wait is needed even if lastKey names this host: a late claim may have succeeded without this process learning
	// of it, so that the last commands came from another host.
	m.mustWait = r.last.Value != nil || m.hadLeader || m.restarted
}

// recordClaim records the fencing token of a successful claim. The wait for the previous leader's commands counts from
// now, not from the time at which the claim was sent: the store may carry out a claim much later, and the previous
// leader may have sent commands until then.
func (m *machine) recordClaim(now time.Duration, fence int64) {
	if m.fence == 0 && m.mustWait {
		m.commandsFrom = now + m.handover + callMargin
	}
	m.fence, m.hadLeader = fence, true
}

// recordRenewal records a grant or renewal of the lease whose request was sent at sentAt.
func (m *machine) recordRenewal(sentAt, ttl time.Duration) {
	m.validUntil = sentAt + ttl - clockMargin
	m.renewAt = sentAt + renewInterval
}

// reset clears the state after the lease expired or was revoked, or after a claim failed.
func (m *machine) reset() { m.lease, m.fence, m.claimAt, m.commandsFrom = 0, 0, 0, 0 }

// mayCommand reports whether a command that is sent now arrives while this process is the leader.
func (m *machine) mayCommand(now time.Duration) bool {
	return m.lease != 0 && m.fence != 0 && now >= m.commandsFrom && now+callMargin < m.validUntil
}
