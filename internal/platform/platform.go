// Package platform is the interface to the platform's key-value service and host list. The service is the
// only place where state outlives the daemons.
package platform

import (
	"context"
	"time"
)

// KeyValue is one stored value. ModRevision identifies the version for compare-and-swap and rises with
// each change of any key.
type KeyValue struct {
	Key         string
	Value       []byte
	ModRevision int64
	Lease       LeaseID
}

// LeaseID names a lease; zero means none.
type LeaseID int64

// Write is one write of a transaction. A nil Value deletes the key.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Condition holds when the key's ModRevision equals the given one; zero means that the key is absent.
type Condition struct {
	Key         string
	ModRevision int64
}

// TxnResult reports whether the conditions held and the writes were done.
type TxnResult struct {
	Succeeded bool
	Revision  int64
	// Current holds the present values of the conditions' keys when the conditions did not hold.
	Current []KeyValue
}

// Event is a change seen by a watch. A deletion has a nil Value.
type Event struct {
	KeyValue
	Deleted bool
}

// WatchBatch is a group of events, or the end of the watch when Err is set. After an error the caller reads
// the keys again and opens a new watch, since events in between may be missing.
type WatchBatch struct {
	Events   []Event
	Revision int64
	Err      error
}

// Store is the key-value service. Errors are *UnavailableError when the call certainly had no effect and
// *UnknownError when a write may have taken effect although its answer was lost.
type Store interface {
	// Get returns the value and whether the key exists.
	Get(ctx context.Context, key string) (KeyValue, bool, error)
	// List returns all values whose keys start with prefix, in key order.
	List(ctx context.Context, prefix string) ([]KeyValue, error)
	// Txn does all writes if all conditions hold.
	Txn(ctx context.Context, conditions []Condition, writes []Write) (TxnResult, error)
	// Watch sends changes of keys that start with prefix, from the given revision on, until ctx ends.
	Watch(ctx context.Context, prefix string, fromRevision int64) <-chan WatchBatch
	// GrantLease returns a lease; its keys are deleted when it lapses. The store rounds ttl up to whole seconds.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// KeepAlive renews a lease once; *LeaseLapsedError means that it is gone.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// RevokeLease ends a lease and deletes its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
}

// HostState is what the platform's host list says of a host.
type HostState string

// States in the platform's host list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostEntry is one line of the platform's host list.
type HostEntry struct {
	Name, Addr, Zone string
	State            HostState
}

// Hosts is the platform's list of hosts. It lags and may lack a host that still serves, so it is a hint only.
type Hosts interface {
	ListHosts(ctx context.Context) ([]HostEntry, error)
}
