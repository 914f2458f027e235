// Package kvstore declares the interface of the key-value store, and of the host list in it, that the daemon uses. The
// store is the only place where state outlives the daemons. Package etcd below this folder is one implementation, over
// the etcd protocol.
//
// Package platform at the root of the repository is the adapter to the users' platform, with its HTTP headers, settings
// file and store API; its Store implements a part of this interface.
package kvstore

import (
	"context"
	"time"
)

// KeyValue is one stored value. ModRevision is the store's revision at the last change of the key and serves for
// compare-and-swap; the store's revision rises with each change of any key. See InEra for stores that may be restored.
type KeyValue struct {
	Key         string
	Value       []byte
	ModRevision int64
	Lease       LeaseID
}

// LeaseID identifies a lease; zero means none.
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

// TxnResult reports whether the conditions held and the writes were applied.
type TxnResult struct {
	Succeeded bool
	Revision  int64
	// Current holds the values of the conditions' keys if the conditions did not hold.
	Current []KeyValue
}

// Event is a change reported by a watch. A deletion has a nil Value.
type Event struct {
	KeyValue
	Deleted bool
}

// WatchBatch is a group of events, or the end of the watch when Err is set. After an error the caller reads
// the keys again and opens a new watch, since events may have been missed.
type WatchBatch struct {
	Events   []Event
	Revision int64
	Err      error
}

// Store is the key-value store. Errors are *UnavailableError when the call certainly had no effect and
// *OutcomeUnknownError when the response of a write was lost, so that it may have taken effect.
type Store interface {
	// Get returns the value and whether the key exists.
	Get(ctx context.Context, key string) (KeyValue, bool, error)
	// List returns all values whose keys start with prefix, in key order.
	List(ctx context.Context, prefix string) ([]KeyValue, error)
	// Txn applies all writes atomically if all conditions hold.
	Txn(ctx context.Context, conditions []Condition, writes []Write) (TxnResult, error)
	// Watch sends the changes of keys that start with prefix, from the given revision on, until ctx is done.
	Watch(ctx context.Context, prefix string, fromRevision int64) <-chan WatchBatch
	// GrantLease creates a lease and returns its time to live; etcd rounds ttl up to full seconds. The keys written
	// under the lease are deleted when it expires.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// KeepAlive renews a lease once and returns its time to live. It returns *LeaseExpiredError when the lease has
	// expired.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// RevokeLease ends a lease and deletes its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
}

// HostState is the state of a host in the platform's host list.
type HostState string

// States of hosts in the platform's host list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostEntry is one entry of the platform's host list. Zone is the host's availability zone.
type HostEntry struct {
	Name, Addr, Zone string
	State            HostState
}

// Hosts is the platform's list of hosts. It is only a hint: it lags and may omit a host that still serves requests.
type Hosts interface {
	ListHosts(ctx context.Context) ([]HostEntry, error)
}
