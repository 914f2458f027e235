package engine

import (
	"fmt"
	"time"
)

// ConnectError reports that no byte of the call was sent to the backend server, so that it cannot have run.
type ConnectError struct {
	Server string
	Cause  error
}

func (e *ConnectError) Error() string { return fmt.Sprintf("connect to %s: %v", e.Server, e.Cause) }

func (e *ConnectError) Unwrap() error { return e.Cause }

// NotSentError reports that Attempt.MaySend stopped the call before any byte of it was sent, so that it cannot have run.
type NotSentError struct {
	Server string
	// Cause is the error of MaySend.
	Cause error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("call not sent to %s: %v", e.Server, e.Cause)
}

func (e *NotSentError) Unwrap() error { return e.Cause }

// RefusedError reports that the backend server responded that it did not run the call.
type RefusedError struct {
	Server     string
	Status     int
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s refused the call with status %d", e.Server, e.Status)
}

// ImportError reports that a decode engine could not import the KV cache and produced no output.
// Gone is set when the exporting engine no longer holds the cache.
type ImportError struct {
	Server string
	Gone   bool
	Cause  error
}

func (e *ImportError) Error() string {
	return fmt.Sprintf("%s could not import KV cache: %v", e.Server, e.Cause)
}

func (e *ImportError) Unwrap() error { return e.Cause }

// StreamLostError reports a stream that ended before the engine marked the response as complete.
type StreamLostError struct {
	Server string
	// Offset is the number of output tokens received, at which the stream may be resumed.
	Offset int64
	Cause  error
}

func (e *StreamLostError) Error() string {
	return fmt.Sprintf("stream from %s lost after %d tokens: %v", e.Server, e.Offset, e.Cause)
}

func (e *StreamLostError) Unwrap() error { return e.Cause }

// StaleFencingTokenError reports that the engine refused a command because it has received one with a higher fencing
// token.
type StaleFencingTokenError struct {
	Server  string
	Highest int64
}

func (e *StaleFencingTokenError) Error() string {
	return fmt.Sprintf("%s refused the command: highest fencing token received is %d", e.Server, e.Highest)
}

// FailedError reports a call that was sent and failed; it may have run. Status is 0 when no response was received.
type FailedError struct {
	Server string
	Status int
	Cause  error
}

func (e *FailedError) Error() string {
	return fmt.Sprintf("call to %s failed (HTTP status %d, 0 if there was no response): %v", e.Server, e.Status, e.Cause)
}

func (e *FailedError) Unwrap() error { return e.Cause }
