package front

import (
	"fmt"

	"github.com/boragecourse/boragecourse/internal/fleet"
)

// TimeoutError reports that the caller's patience or the route's time is over.
type TimeoutError struct{}

// Error implements error.
func (e *TimeoutError) Error() string { return "time for the request is over" }

// RetriesExhaustedError reports that a request failed and may not be sent again.
type RetriesExhaustedError struct {
	Reason string
	Cause  error
}

// Error implements error.
func (e *RetriesExhaustedError) Error() string {
	return fmt.Sprintf("not sent again (%s): %v", e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *RetriesExhaustedError) Unwrap() error { return e.Cause }

// StaleServerError reports a backend server that went away between choice and use.
type StaleServerError struct{ Key string }

// Error implements error.
func (e *StaleServerError) Error() string { return "backend server " + e.Key + " is gone" }

// BrokenStreamError reports a stream that ended before its last event.
type BrokenStreamError struct {
	Events int
	Cause  error
}

// Error implements error.
func (e *BrokenStreamError) Error() string {
	return fmt.Sprintf("stream ended after %d events: %v", e.Events, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenStreamError) Unwrap() error { return e.Cause }

// DeliveryError reports an answer that the caller did not take.
type DeliveryError struct {
	Cause error
}

// Error implements error.
func (e *DeliveryError) Error() string { return fmt.Sprintf("answer not delivered: %v", e.Cause) }

// Unwrap returns the cause.
func (e *DeliveryError) Unwrap() error { return e.Cause }

// ListenError reports an address that cannot be listened on.
type ListenError struct {
	Addr  string
	Cause error
}

// Error implements error.
func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Addr, e.Cause) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// NotHolderError reports that the duty is not, or not certainly, held by this host.
type NotHolderError struct{}

// Error implements error.
func (e *NotHolderError) Error() string { return "the duty is not held" }

// EngineBusyError reports an engine that carries out another command, or has the stage already.
type EngineBusyError struct{ State fleet.EngineState }

// Error implements error.
func (e *EngineBusyError) Error() string {
	return fmt.Sprintf("engine in stage %q takes no command now, another one open: %t", e.State.Stage, e.State.Commanded)
}
