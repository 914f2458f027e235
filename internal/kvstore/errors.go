package kvstore

import (
	"errors"
	"fmt"
)

// UnavailableError reports a failed store call that certainly had no effect.
type UnavailableError struct {
	Op    string
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store %s unavailable: %v", e.Op, e.Cause)
}

func (e *UnavailableError) Unwrap() error { return e.Cause }

// OutcomeUnknownError reports a write that may have taken effect, because it was sent and no valid response was
// received.
type OutcomeUnknownError struct {
	Op    string
	Cause error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("store %s outcome unknown: %v", e.Op, e.Cause)
}

func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// LeaseExpiredError reports a lease that has expired or was revoked.
type LeaseExpiredError struct {
	ID LeaseID
}

func (e *LeaseExpiredError) Error() string { return fmt.Sprintf("lease %x has expired", int64(e.ID)) }

// errIncompleteHost is the cause of a HostEntryError when the name or address is missing or the state is unknown.
var errIncompleteHost = errors.New("name or addr is missing, or state is neither live nor leaving")

// HostEntryError reports an invalid entry of the platform's host list.
type HostEntryError struct {
	Key   string
	Cause error
}

func (e *HostEntryError) Error() string {
	return fmt.Sprintf("invalid host entry %s: %v", e.Key, e.Cause)
}

func (e *HostEntryError) Unwrap() error { return e.Cause }
