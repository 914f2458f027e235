package daemon

import "fmt"

// ListenError reports an address that cannot be listened on.
type ListenError struct {
	Addr  string
	Cause error
}

// Error implements error.
func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Addr, e.Cause) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// DrainError reports a drain that ended before its work did.
type DrainError struct {
	// Open is the number of requests that were cut.
	Open  int
	Cause error
}

// Error implements error.
func (e *DrainError) Error() string {
	return fmt.Sprintf("drain ended with %d open requests: %v", e.Open, e.Cause)
}

// Unwrap returns the cause.
func (e *DrainError) Unwrap() error { return e.Cause }
