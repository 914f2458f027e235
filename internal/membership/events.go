package membership

import (
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/kvstore"
)

// Event is an input of the Machine: a timer tick, the result of an action, or a call of the process.
type Event interface{ event() }

// Tick drives the actions that depend on time only. It must be sent at least once in each heartbeat interval.
type Tick struct{}

// HeartbeatReplied carries the reply to a heartbeat. A failed heartbeat causes no event.
type HeartbeatReplied struct {
	// To is the host to which the heartbeat was sent; another process may have replied at its address.
	To host.ID
	// Sent is the send time of the heartbeat, from which the contact window counts.
	Sent  time.Time
	Reply HeartbeatReply
}

// LeaseAcquired reports a new lease, a registration under it and a new session record.
type LeaseAcquired struct {
	// Sent is the time at which the lease was requested.
	Sent  time.Time
	Lease kvstore.LeaseID
	TTL   time.Duration
	// Session is the store revision of the session record.
	Session int64
	// Ready is the readiness recorded in the registration.
	Ready bool
}

// RegistrationRefused reports that the session record was not at the expected revision, so the host was not registered.
type RegistrationRefused struct {
	// Session is the current revision of the session record, or zero if there is none.
	Session int64
}

// LeaseRenewed reports that the lease was renewed. Sent is the time at which the renewal was requested.
type LeaseRenewed struct {
	Sent  time.Time
	Lease kvstore.LeaseID
	TTL   time.Duration
}

// LeaseLost reports that the store no longer has the lease.
type LeaseLost struct{ Lease kvstore.LeaseID }

// EpochRead is the result of a ReadEpoch. Found is false when the store has no epoch yet.
type EpochRead struct {
	Read     ReadEpoch
	Found    bool
	Record   Record
	Revision int64
}

// RegistryRead carries the registry that a ReadRegistry found. StoreFailed reports a failed read.
type RegistryRead struct{ Registry Registry }

// ReportReplied carries the reply to a RequestReport. A failed request causes no event.
type ReportReplied struct {
	Sent  RequestReport
	Reply ReportReply
}

// EpochProposed is the result of a ProposeEpoch. Accepted is false when a condition of the transaction was not met. An
// unknown outcome is reported as StoreFailed instead.
type EpochProposed struct {
	Proposal ProposeEpoch
	Accepted bool
	Revision int64
}

// StoreFailed reports that a store call failed or that its outcome is unknown.
type StoreFailed struct{ Call StoreCall }

// HostsListed carries the platform's host list. The list only starts earlier checks; it is no proof that a host has
// stopped.
type HostsListed struct{ Entries []kvstore.HostEntry }

// Ready allows the host to join the epoch.
type Ready struct{}

// Leave permanently ends the host's authority to admit requests and makes it remove itself from the epoch.
type Leave struct{}

func (Tick) event()                {}
func (HeartbeatReplied) event()    {}
func (LeaseAcquired) event()       {}
func (RegistrationRefused) event() {}
func (LeaseRenewed) event()        {}
func (LeaseLost) event()           {}
func (EpochRead) event()           {}
func (RegistryRead) event()        {}
func (ReportReplied) event()       {}
func (EpochProposed) event()       {}
func (StoreFailed) event()         {}
func (HostsListed) event()         {}
func (Ready) event()               {}
func (Leave) event()               {}

// StoreCall is a kind of store call. The Machine has at most one call of each kind in flight.
type StoreCall int

// Kinds of store calls. storeCallKinds is their number.
const (
	CallLease StoreCall = iota
	CallReadEpoch
	CallReadRegistry
	CallPropose
	storeCallKinds
)

// Action is an output of the Machine that its caller must carry out.
type Action interface{ action() }

// SendHeartbeat requests that a heartbeat be sent to one host.
type SendHeartbeat struct {
	To        host.ID
	Heartbeat Heartbeat
}

// AcquireLease requests a new lease, and one transaction that writes a registration under it and a new session record.
// The transaction must fail if the session record is not at the given revision. Otherwise a delayed earlier
// acquisition could move the registration to a lease that is not renewed.
type AcquireLease struct {
	Ready   bool
	Session int64
}

// RenewLease requests that the lease be extended by its TTL.
type RenewLease struct{ Lease kvstore.LeaseID }

// ReadEpoch requests a read of the epoch. RenewalSent is the send time of the renewal or acquisition of Lease that the
// read follows, or zero if it follows none. Session is the host's session when it requests the read.
type ReadEpoch struct {
	RenewalSent time.Time
	Lease       kvstore.LeaseID
	Session     int64
}

// ReadRegistry requests a read of all registrations and session records.
type ReadRegistry struct{}

// RequestReport requests that a host report from which of the suspects it has received nothing.
type RequestReport struct {
	To      host.ID
	Request ReportRequest
}

// ProposeEpoch requests a compare-and-swap of the epoch at the given revision. The transaction must also fail if an
// excluded host holds a registration or has begun a later session.
type ProposeEpoch struct {
	Record   Record
	Revision int64
	Excluded []HostSession
	// Replaced lists removed hosts that need no further proof: another process listens on their address, or they remove
	// themselves.
	Replaced []host.ID
}

// HostSession is a host that is to be excluded from the epoch by fencing or isolation.
type HostSession struct {
	Host host.ID
	// Session is the revision of the host's session record on which the reports are based.
	Session int64
}

func (SendHeartbeat) action() {}
func (AcquireLease) action()  {}
func (RenewLease) action()    {}
func (ReadEpoch) action()     {}
func (ReadRegistry) action()  {}
func (RequestReport) action() {}
func (ProposeEpoch) action()  {}

// Heartbeat is a request that a host sends to a peer to establish contact and exchange epochs.
type Heartbeat struct {
	From  host.ID
	Epoch uint64
	// Session is the newest session of the sender in which it has read the epoch.
	Session int64
}

// HeartbeatReply is a peer's reply to a Heartbeat: its epoch, and whether the reply counts as contact.
type HeartbeatReply struct {
	// From is the process that replied at the address; only its name and incarnation are set.
	From  host.ID
	Epoch uint64
	// Counts reports whether the reply counts as contact. It is false while the replying host withholds contact from the
	// sender (see Machine.AnswerReport), or is leaving.
	Counts bool
	// Newer is the epoch of the replying host if it is newer than the sender's, and nil otherwise.
	Newer *Record
}

// ReportRequest is a request to report from which of the suspects nothing has been received for UnreachableFor.
type ReportRequest struct {
	UnreachableFor time.Duration
	Suspects       []HostSession
}

// ReportReply is the reply to a ReportRequest. Each slice has one entry for each suspect, in the same order. An entry
// of Unreachable is true if the replying host has received nothing from the suspect for the requested time.
type ReportReply struct {
	Unreachable []bool
	// Known is the number of the newest epoch that the replying host has received from the suspect.
	Known []uint64
}

// Registry is the content of the registrations and session records in the store.
type Registry struct {
	Registered []Registration
	Sessions   map[hostKey]int64
}

// Registration is a host that holds a lease. Ready reports whether the host may be added to the epoch.
type Registration struct {
	Host  host.ID
	Ready bool
}
