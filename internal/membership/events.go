package membership

import (
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/platform"
)

// Event is an input of the Machine.
type Event interface{ event() }

// Tick lets time pass. It is sent at least once for each heartbeat interval.
type Tick struct{}

// HeartbeatReplied is the answer to a SendHeartbeat.
type HeartbeatReplied struct {
	// To is the host that the heartbeat was meant for.
	To host.ID
	// Sent is when the heartbeat was sent.
	Sent  time.Time
	Reply HeartbeatReply
}

// LeaseAcquired reports a new lease with a registration and a session record under it.
type LeaseAcquired struct {
	// Sent is when the grant was requested.
	Sent  time.Time
	Lease platform.LeaseID
	TTL   time.Duration
	// Session is the store revision of the session record.
	Session int64
	// Ready is the readiness that the registration carries.
	Ready bool
}

// LeaseRefused reports that the session record was not at the expected revision, so nothing was registered.
type LeaseRefused struct {
	// Session is the present revision of the session record, or zero if there is none.
	Session int64
}

// LeaseRenewed reports a renewal. Sent is when it was requested.
type LeaseRenewed struct {
	Sent  time.Time
	Lease platform.LeaseID
	TTL   time.Duration
}

// LeaseLost reports that the store no longer has the lease.
type LeaseLost struct{ Lease platform.LeaseID }

// EpochRead is the answer to a ReadEpoch. Found is false when the store has no epoch yet.
type EpochRead struct {
	Read     ReadEpoch
	Found    bool
	Record   Record
	Revision int64
}

// RegistryRead is the answer to a ReadRegistry.
type RegistryRead struct{ Registry Registry }

// ReportReplied is the answer to an AskReport.
type ReportReplied struct {
	Ask   AskReport
	Reply ReportReply
}

// EpochProposed is the answer to a ProposeEpoch. Accepted is false when the compare-and-swap lost; an unknown
// outcome is a StoreFailed.
type EpochProposed struct {
	Proposal ProposeEpoch
	Accepted bool
	Revision int64
}

// StoreFailed reports that a store call failed or that its outcome is unknown.
type StoreFailed struct{ Call StoreCall }

// HostsListed carries the platform's host list, which is a hint only.
type HostsListed struct{ Entries []platform.HostEntry }

// Ready lets the host join the epoch.
type Ready struct{}

// Leave ends the authority to admit for good and lets the host remove itself from the epoch.
type Leave struct{}

func (Tick) event()             {}
func (HeartbeatReplied) event() {}
func (LeaseAcquired) event()    {}
func (LeaseRefused) event()     {}
func (LeaseRenewed) event()     {}
func (LeaseLost) event()        {}
func (EpochRead) event()        {}
func (RegistryRead) event()     {}
func (ReportReplied) event()    {}
func (EpochProposed) event()    {}
func (StoreFailed) event()      {}
func (HostsListed) event()      {}
func (Ready) event()            {}
func (Leave) event()            {}

// StoreCall names a kind of store call. The Machine has at most one of each kind open.
type StoreCall int

// Kinds of store calls.
const (
	CallLease StoreCall = iota
	CallReadEpoch
	CallReadRegistry
	CallPropose
	storeCalls
)

// Action is an output of the Machine.
type Action interface{ action() }

// SendHeartbeat asks for a heartbeat to one host.
type SendHeartbeat struct {
	To        host.ID
	Heartbeat Heartbeat
}

// AcquireLease asks for a new lease, and for a registration under it and a new session record in one transaction.
// The transaction must fail if the session record is not at the given revision. Otherwise a delayed earlier
// acquisition could move the registration to a lease that nobody renews.
type AcquireLease struct {
	Ready   bool
	Session int64
}

// RenewLease asks for a renewal.
type RenewLease struct{ Lease platform.LeaseID }

// ReadEpoch asks for a read of the epoch. Base is when the lease renewal that precedes the read was sent, or
// zero; Session is the session that precedes it.
type ReadEpoch struct {
	Base    time.Time
	Lease   platform.LeaseID
	Session int64
}

// ReadRegistry asks for all registrations and session records.
type ReadRegistry struct{}

// AskReport asks a host whether it has had no contact with the suspects.
type AskReport struct {
	To      host.ID
	Request ReportRequest
}

// ProposeEpoch asks for a compare-and-swap of the epoch from the given revision. It must also fail if an
// excluded host holds a registration or has begun a later session.
type ProposeEpoch struct {
	Record   Record
	Revision int64
	Excluded []Exclusion
	// Replaced lists hosts whose stop is proven by their address or by their own word.
	Replaced []host.ID
}

// Exclusion is a host that a proposed epoch excludes under condition b or c.
type Exclusion struct {
	Host host.ID
	// Session is the revision of the session record under which the reports were made.
	Session int64
}

func (SendHeartbeat) action() {}
func (AcquireLease) action()  {}
func (RenewLease) action()    {}
func (ReadEpoch) action()     {}
func (ReadRegistry) action()  {}
func (AskReport) action()     {}
func (ProposeEpoch) action()  {}

// Heartbeat is a heartbeat request.
type Heartbeat struct {
	From  host.ID
	Epoch uint64
	// Session is the sender's newest session, once it has read the epoch after the session began.
	Session int64
}

// HeartbeatReply answers a heartbeat.
type HeartbeatReply struct {
	// From is the process that answered at the address; only its name and incarnation are set.
	From  host.ID
	Epoch uint64
	// Counts is false while the replier has promised to treat the sender as stopped.
	Counts bool
	// Newer is the replier's epoch when it is newer than the sender's.
	Newer *Record
}

// ReportRequest asks for reports of silence.
type ReportRequest struct {
	Silence  time.Duration
	Suspects []Exclusion
}

// ReportReply answers a ReportRequest, with one entry for each suspect.
type ReportReply struct {
	Silent []bool
	// Known is the highest epoch that the suspect itself has reported.
	Known []uint64
}

// Registry is the content of the store's registration and session records.
type Registry struct {
	Registered []Registration
	Sessions   map[hostKey]int64
}

// Registration is one host that holds a lease.
type Registration struct {
	Host  host.ID
	Ready bool
}
