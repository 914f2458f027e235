package operatorapi

import (
	"fmt"
	"net/http"
	"strings"
)

// Code is the machine-readable reason of a failed operator call.
type Code string

// Codes of failed operator calls.
const (
	CodeInvalidFile      Code = "invalid_file"
	CodeRace             Code = "race"
	CodeStoreUnavailable Code = "store_unavailable"
	CodeNotFound         Code = "not_found"
	CodeNotReady         Code = "not_ready"
	CodeCredential       Code = "wrong_credential"
	CodeMalformed        Code = "malformed_request"
	CodeInternal         Code = "internal"
)

var statusByCode = map[Code]int{
	CodeInvalidFile:      http.StatusUnprocessableEntity,
	CodeRace:             http.StatusConflict,
	CodeStoreUnavailable: http.StatusServiceUnavailable,
	CodeNotFound:         http.StatusNotFound,
	CodeNotReady:         http.StatusServiceUnavailable,
	CodeCredential:       http.StatusUnauthorized,
	CodeMalformed:        http.StatusBadRequest,
	CodeInternal:         http.StatusInternalServerError,
}

// Error is the response of a host to a failed operator call. Its code determines the HTTP status.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Details has one line for each error in a rules file.
	Details []string `json:"details,omitempty"`
	// WinningGeneration is the generation that was accepted instead, with CodeRace.
	WinningGeneration uint64 `json:"winning_generation,omitempty"`
	Cause             error  `json:"-"`
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s", e.Code, e.Message)
	if len(e.Details) > 0 {
		text += "\n" + strings.Join(e.Details, "\n")
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// PanicError is a panic recovered while an operator call was handled.
type PanicError struct {
	Value any
}

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.Value) }

// UnreachableError reports that no host responded.
type UnreachableError struct {
	// Failures has one error for each host that was tried.
	Failures []error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	parts := make([]string, len(e.Failures))
	for i, f := range e.Failures {
		parts[i] = f.Error()
	}
	return "no host answered: " + strings.Join(parts, "; ")
}

// Unwrap returns the failures.
func (e *UnreachableError) Unwrap() []error { return e.Failures }
