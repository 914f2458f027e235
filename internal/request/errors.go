package request

import (
	"errors"
	"fmt"
)

// Causes of failed or canceled requests.
var (
	errNoResult       = errors.New("request ended without a result")
	errKeyWithdrawn   = errors.New("key was withdrawn while the request was queued")
	errImportStalled  = errors.New("decode stream did not start within the import or prefill timeout")
	errStreamTimeout  = errors.New("no data from the decode stream within its timeout")
	errNotContinuable = errors.New("response contains output other than text, so another engine cannot continue it")
)

// EvacuatedError reports that a call was not sent because the zone of its backend server is evacuated.
type EvacuatedError struct {
	Zone string
}

// Error implements error.
func (e *EvacuatedError) Error() string { return fmt.Sprintf("zone %s is evacuated", e.Zone) }

// OffsetError reports a stream chunk that does not continue at the current output offset.
type OffsetError struct {
	// Want is the expected offset and Got the received one, in output tokens.
	Want, Got int64
}

// Error implements error.
func (e *OffsetError) Error() string {
	return fmt.Sprintf("stream chunk at output token %d, expected %d", e.Got, e.Want)
}

// SinkError reports that the response could not be written to the caller.
type SinkError struct {
	Cause error
}

// Error implements error.
func (e *SinkError) Error() string { return fmt.Sprintf("write response to the caller: %v", e.Cause) }

// Unwrap returns the write error.
func (e *SinkError) Unwrap() error { return e.Cause }

// OpenLimitError reports that this host has reached Settings.MaxOpen.
type OpenLimitError struct {
	Limit int
}

// Error implements error.
func (e *OpenLimitError) Error() string {
	return fmt.Sprintf("limit of %d open requests reached", e.Limit)
}

// BudgetError reports that a retry would exceed the limit of the request or the retry budget of the host.
type BudgetError struct {
	// Reason is the value of the reason label in the retry metrics.
	Reason string
	Cause  error
}

// Error implements error.
func (e *BudgetError) Error() string {
	return fmt.Sprintf("retry budget exhausted (%s): %v", e.Reason, e.Cause)
}

// Unwrap returns the failure that would have been retried.
func (e *BudgetError) Unwrap() error { return e.Cause }
