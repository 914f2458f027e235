package platform

import (
	"errors"
	"fmt"
)

// UnavailableError reports a store call that certainly had no effect.
type UnavailableError struct {
	Op    string
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store %s unavailable: %v", e.Op, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownError reports a write whose answer was lost, so that it may have taken effect.
type UnknownError struct {
	Op    string
	Cause error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("store %s outcome unknown: %v", e.Op, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// LeaseLapsedError reports a lease that the store no longer has.
type LeaseLapsedError struct {
	ID LeaseID
}

// Error implements error.
func (e *LeaseLapsedError) Error() string { return fmt.Sprintf("lease %x has lapsed", int64(e.ID)) }

// errIncompleteHost is the cause for an entry of the host list that lacks its name, address or state.
var errIncompleteHost = errors.New("name, addr or state is missing")

// HostEntryError reports an unreadable entry of the platform's host list.
type HostEntryError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *HostEntryError) Error() string { return fmt.Sprintf("host entry %s: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *HostEntryError) Unwrap() error { return e.Cause }
