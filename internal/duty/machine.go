// Package duty lets one host of the fleet hold a duty that must never be done by two, through a lease in the platform's
// store. Its holder knows a fencing number that rises with each change of the holder.
package duty

import (
	"time"

	kv "github.com/boragecourse/boragecourse/internal/platform"
)

const (
	// leaseTTL is the term of the lease. A vacant duty only delays commands, so that few renewals are preferred.
	leaseTTL = 9 * time.Second
	// renewEvery leaves two attempts after a renewal that failed.
	renewEvery = leaseTTL / 3
	// clockMargin is kept of the term for differences in clock rate, 5% of it.
	clockMargin = leaseTTL / 20
	// callMargin is what a command may take to arrive after it was sent.
	callMargin = time.Second
	// claimSpread delays claims at random, by this for each host, so that one of them finds the duty vacant.
	claimSpread = 100 * time.Millisecond
)

// Keys of the store, under prefix.
const (
	// Prefix precedes the keys of the duty.
	Prefix = "boragecourse/duty/"
	// holderKey exists while the duty is held; it is removed with the holder's lease.
	holderKey = Prefix + "holder"
	// lastKey names the host that held the duty last. It has no lease.
	lastKey = Prefix + "last"
)

// record is what the store holds of the duty.
type record struct {
	holder, last kv.KeyValue
}

type action int

const (
	doNothing action = iota
	doClaim
	doRenew
)

// machine decides when this process claims and renews, and whether it may act. Times are of a clock that counts the
// time in which the machine is suspended. It does no I/O.
type machine struct {
	// process names this process.
	process string
	// handover is how long a new holder waits after the last one.
	handover time.Duration

	lease      kv.LeaseID
	validUntil time.Duration
	renewAt    time.Duration
	// waits is set when the duty was held before, quietUntil is when its commands have all arrived.
	waits      bool
	quietUntil time.Duration
	fence      int64
	// claimAt is when the vacant duty is claimed, 0 while it is not known to be vacant.
	claimAt time.Duration
}

// step returns what to do. known is false while the store was not read yet; delay is drawn for a new claim.
func (m *machine) step(now time.Duration, r record, known bool, delay func() time.Duration) action {
	held := r.holder.Value != nil
	switch {
	case m.lease != 0 && now >= m.validUntil:
		m.lose()
	case m.lease != 0 && m.fence == 0 && now >= m.renewAt && string(r.holder.Value) != m.process:
		// The claim without an answer was not carried out. Its lease lapses.
		m.lose()
	case held && m.lease != 0 && string(r.holder.Value) == m.process && r.holder.Lease == m.lease:
		// Also the way to learn of a claim whose answer was lost.
		m.claimed(now, r.holder.ModRevision)
	}
	if m.lease != 0 {
		m.claimAt = 0
		if now >= m.renewAt {
			return doRenew
		}
		return doNothing
	}
	if !known || held {
		m.claimAt = 0
		return doNothing
	}
	return m.awaitClaim(now, delay)
}

// awaitClaim claims a vacant duty after a random delay, so that another host may be first.
func (m *machine) awaitClaim(now time.Duration, delay func() time.Duration) action {
	if m.claimAt == 0 {
		m.claimAt = now + delay()
	}
	if now < m.claimAt {
		return doNothing
	}
	m.claimAt = 0
	return doClaim
}

// granted notes a lease. The term counts from before the call.
func (m *machine) granted(asked time.Duration, id kv.LeaseID, ttl time.Duration, r record) {
	m.lease = id
	m.renewed(asked, ttl)
	// Also after itself: it may have been entered by a late claim that it never knew of, behind another holder's back.
	m.waits = r.last.Value != nil
}

// claimed notes the fencing number of a successful claim. The wait for the last holder's commands counts from now: a
// claim may be carried out long after it was sent, and the last holder may have commanded until then.
func (m *machine) claimed(now time.Duration, fence int64) {
	if m.fence == 0 && m.waits {
		m.quietUntil = now + m.handover + callMargin
	}
	m.fence = fence
}

func (m *machine) renewed(asked, ttl time.Duration) {
	m.validUntil = asked + ttl - clockMargin
	m.renewAt = asked + renewEvery
}

// lose forgets the lease.
func (m *machine) lose() { m.lease, m.fence, m.claimAt, m.quietUntil = 0, 0, 0, 0 }

// mayAct tells whether a command that is sent now arrives while the duty is held.
func (m *machine) mayAct(now time.Duration) bool {
	return m.lease != 0 && m.fence != 0 && now >= m.quietUntil && now+callMargin < m.validUntil
}
