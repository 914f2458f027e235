package connpool

import "fmt"

// DialError reports that no connection could be opened, so that nothing was sent.
type DialError struct{ Cause error }

// Error implements error.
func (e *DialError) Error() string { return fmt.Sprintf("connect: %v", e.Cause) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// NotSentError reports a connection that failed before any byte of the request was handed to the kernel.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("request not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// DroppedConnectionError reports a reused connection that ended before the first byte of a response and right after the
// request was sent. The server has most likely dropped the idle connection, but it may have received the request.
type DroppedConnectionError struct{ Cause error }

// Error implements error.
func (e *DroppedConnectionError) Error() string {
	return fmt.Sprintf("reused connection dropped: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *DroppedConnectionError) Unwrap() error { return e.Cause }

// TargetError reports a request target that would end the request line early.
type TargetError struct{ Target string }

// Error implements error.
func (e *TargetError) Error() string { return fmt.Sprintf("invalid request target %.200q", e.Target) }

// HeadTooLargeError reports a response head above the limit, in bytes.
type HeadTooLargeError struct{ Limit int64 }

// Error implements error.
func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("response head exceeds %d bytes", e.Limit)
}

// ExchangeError reports a request that was sent at least in part and got no valid response head.
type ExchangeError struct{ Cause error }

// Error implements error.
func (e *ExchangeError) Error() string { return fmt.Sprintf("no valid response: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Cause }

// UnexpectedStatusError reports a status that cannot be the final one of a response.
type UnexpectedStatusError struct{ Status int }

// Error implements error.
func (e *UnexpectedStatusError) Error() string {
	return fmt.Sprintf("status %d in place of a final response", e.Status)
}
