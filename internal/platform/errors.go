package platform

import "fmt"

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
