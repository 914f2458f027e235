// Package outcome defines the errors that callers receive for requests that were refused or failed.
package outcome

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Outcome states whether a backend server has executed the request.
type Outcome string

// Values of Outcome. NotRun is used only when it is certain that no backend server has acted on the request.
const (
	NotRun  Outcome = "not-run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// Code is the machine-readable reason of a refusal or failure.
type Code string

// Codes of refusals and failures, in the order in which they can occur while a request is processed.
const (
	CodeDraining          Code = "draining"
	CodeHostMemory        Code = "host_memory"
	CodeTooManyOpen       Code = "too_many_open_requests"
	CodeNoConfiguration   Code = "no_configuration"
	CodeMalformedRequest  Code = "malformed_request"
	CodeBodyTooLarge      Code = "body_too_large"
	CodeHeadersTooLarge   Code = "headers_too_large"
	CodeUnknownRoute      Code = "unknown_route"
	CodeUnknownModel      Code = "unknown_model"
	CodeMissingKey        Code = "missing_key"
	CodeInvalidKey        Code = "invalid_key"
	CodeKeyWithdrawn      Code = "key_withdrawn"
	CodeConfigUnconfirmed Code = "configuration_unconfirmed"
	CodeKeyReused         Code = "idempotency_key_reused"
	CodeCallInProgress    Code = "call_in_progress"
	CodeClaimUnavailable  Code = "claim_store_unavailable"
	CodeClaimUnknown      Code = "claim_outcome_unknown"
	CodeRateExceeded      Code = "rate_exceeded"
	CodeExceedsBurst      Code = "exceeds_burst"
	CodeQuarantined       Code = "prompt_quarantined"
	CodeQuotaUnavailable  Code = "quota_unavailable"
	CodeChargesFull       Code = "charges_full"
	CodeStreamVersion     Code = "stream_version_unknown"
	CodeZoneEvacuated     Code = "zone_evacuated"
	CodeNoServer          Code = "no_backend_server"
	CodeOverloaded        Code = "overloaded"
	CodeDeadline          Code = "deadline_unreachable"
	CodeQueueFull         Code = "queue_full"
	CodeServerRefused     Code = "backend_server_refused"
	CodeServerFailed      Code = "backend_server_failed"
	CodeStreamLost        Code = "stream_lost"
	CodeRetriesExhausted  Code = "retries_exhausted"
	CodeCanceled          Code = "canceled"
	CodeInternal          Code = "internal"
)

// Error is a refusal or failure as reported to the caller. It wraps the cause, which is logged and not sent.
type Error struct {
	Outcome Outcome
	Code    Code
	// Status is the HTTP status.
	Status int
	// Message is sent to the caller and must not contain keys or addresses of backend servers.
	Message string
	// RetryAfter is rounded up to whole seconds for the Retry-After header; zero means no header.
	RetryAfter time.Duration
	Cause      error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s (%s): %s: %v", e.Code, e.Outcome, e.Message, e.Cause)
	}
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Outcome, e.Message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Refuse returns a refusal with outcome NotRun. The format and its arguments give the message.
func Refuse(status int, code Code, format string, args ...any) *Error {
	return &Error{Outcome: NotRun, Status: status, Code: code, Message: fmt.Sprintf(format, args...)}
}

// From returns the *Error that err wraps. Any other error becomes an internal failure with outcome Unknown.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{
		Outcome: Unknown, Code: CodeInternal, Status: http.StatusInternalServerError,
		Message: "internal failure", Cause: err,
	}
}
