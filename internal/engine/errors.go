package engine

import (
	"fmt"
	"time"
)

// ConnectError reports that no byte of the call reached the backend server.
type ConnectError struct {
	Server string
	Cause  error
}

// Error implements error.
func (e *ConnectError) Error() string { return fmt.Sprintf("connect to %s: %v", e.Server, e.Cause) }

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Cause }

// RefusedError reports that the backend server answered that it did not run the call.
type RefusedError struct {
	Server     string
	Status     int
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s refused the call with status %d", e.Server, e.Status)
}

// ImportError reports that a decode engine could not import the KV cache and did not start the answer.
// Gone is true when the exporting engine no longer has it.
type ImportError struct {
	Server string
	Gone   bool
	Cause  error
}

// Error implements error.
func (e *ImportError) Error() string {
	return fmt.Sprintf("%s could not import KV cache: %v", e.Server, e.Cause)
}

// Unwrap returns the cause.
func (e *ImportError) Unwrap() error { return e.Cause }

// StreamLostError reports a stream that ended before the engine marked the answer as complete.
type StreamLostError struct {
	Server string
	// Offset is the number of output tokens received.
	Offset int64
	Cause  error
}

// Error implements error.
func (e *StreamLostError) Error() string {
	return fmt.Sprintf("stream from %s lost after %d tokens: %v", e.Server, e.Offset, e.Cause)
}

// Unwrap returns the cause.
func (e *StreamLostError) Unwrap() error { return e.Cause }

// FenceError reports that the engine has seen a higher fencing number.
type FenceError struct {
	Server  string
	Highest int64
}

// Error implements error.
func (e *FenceError) Error() string {
	return fmt.Sprintf("%s refused the command: highest fencing number seen is %d", e.Server, e.Highest)
}

// FailedError reports a call that was sent and failed, so that it may have run.
type FailedError struct {
	Server string
	Status int
	Cause  error
}

// Error implements error.
func (e *FailedError) Error() string {
	return fmt.Sprintf("call to %s failed with status %d: %v", e.Server, e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e *FailedError) Unwrap() error { return e.Cause }
