package engine

import (
	"errors"
	"fmt"
)

// Causes of failed calls.
var (
	errRefusedConnection = errors.New("connection refused")
	errAborted           = errors.New("attempt aborted")
	errCrashed           = errors.New("engine crashed")
	errInjected          = errors.New("injected failure")
	errUnknownAttempt    = errors.New("unknown attempt")
	errExportGone        = errors.New("exported KV cache has expired or was released")
	errStreamBroken      = errors.New("injected loss of the stream")
)

// BadRequestError reports a request body that is not valid JSON for an OpenAI request.
type BadRequestError struct {
	Cause error
}

// Error implements error.
func (e *BadRequestError) Error() string { return fmt.Sprintf("bad request: %v", e.Cause) }

// Unwrap returns the cause.
func (e *BadRequestError) Unwrap() error { return e.Cause }
