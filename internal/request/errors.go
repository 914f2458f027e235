package request

import (
	"errors"
	"fmt"
)

// Causes of failures inside the request path.
var (
	errNotAnswered    = errors.New("request ended without an answer")
	errWithdrawn      = errors.New("key was withdrawn while the request was queued")
	errImportStalled  = errors.New("import of the KV cache stalled")
	errStreamIdle     = errors.New("stream is silent for too long")
	errNotContinuable = errors.New("answer holds more than text, so another engine cannot continue it")
)

// OffsetError reports a stream chunk that does not follow what the caller has received.
type OffsetError struct {
	// Want and Got are output-token offsets.
	Want, Got int64
}

// Error implements error.
func (e *OffsetError) Error() string {
	return fmt.Sprintf("chunk at output token %d instead of %d", e.Got, e.Want)
}

// SinkError reports that the answer could not be written to the caller.
type SinkError struct {
	Cause error
}

// Error implements error.
func (e *SinkError) Error() string { return fmt.Sprintf("write to the caller: %v", e.Cause) }

// Unwrap returns the cause.
func (e *SinkError) Unwrap() error { return e.Cause }

// OpenLimitError reports that this host has as many open requests as its settings allow.
type OpenLimitError struct {
	Limit int
}

// Error implements error.
func (e *OpenLimitError) Error() string { return fmt.Sprintf("%d requests are open", e.Limit) }

// BudgetError reports that a retry would exceed the retry budget.
type BudgetError struct {
	// Reason is why a retry was wanted.
	Reason string
	Cause  error
}

// Error implements error.
func (e *BudgetError) Error() string {
	return fmt.Sprintf("retry budget exhausted (%s): %v", e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *BudgetError) Unwrap() error { return e.Cause }
