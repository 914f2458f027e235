package daemon

import "fmt"

// ListenError reports that a listener could not be opened on an address.
type ListenError struct {
	Addr  string
	Cause error
}

// Error implements error.
func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Addr, e.Cause) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// DrainError reports that a drain ended before all requests had finished.
type DrainError struct {
	// Open is the number of requests that were aborted.
	Open  int
	Cause error
}

// Error implements error.
func (e *DrainError) Error() string {
	return fmt.Sprintf("drain ended with %d requests still open: %v", e.Open, e.Cause)
}

// Unwrap returns the cause.
func (e *DrainError) Unwrap() error { return e.Cause }
