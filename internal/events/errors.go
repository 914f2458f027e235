package events

import "fmt"

// ClosedError reports that an operation failed because the bus is closed.
type ClosedError struct {
	Op, Topic string
	Cause     error
}

// Error implements error.
func (e *ClosedError) Error() string {
	return fmt.Sprintf("event bus closed: %s of %s: %v", e.Op, e.Topic, e.Cause)
}

// Unwrap returns the cause.
func (e *ClosedError) Unwrap() error { return e.Cause }

// EncodeError reports an event whose payload cannot be encoded.
type EncodeError struct {
	Topic string
	Cause error
}

// Error implements error.
func (e *EncodeError) Error() string { return fmt.Sprintf("encode event %s: %v", e.Topic, e.Cause) }

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Cause }
