package command

import (
	"errors"
	"fmt"

	"github.com/boragecourse/boragecourse/internal/engine"
)

// UnreleasedError reports servers that this host still owned at the end of a drain. Their next owners wait until this
// host's lease has lapsed.
type UnreleasedError struct {
	Servers int
	Cause   error
}

// Error implements error.
func (e *UnreleasedError) Error() string {
	return fmt.Sprintf("%d servers are still owned: %v", e.Servers, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreleasedError) Unwrap() error { return e.Cause }

// outcome is what is known of a command after the call.
type outcome string

const (
	outcomeDone    outcome = "done"
	outcomeNotRun  outcome = "not-run"
	outcomeFenced  outcome = "fenced"
	outcomeUnknown outcome = "unknown"
)

func outcomeOf(err error) outcome {
	var (
		fenced  *engine.FenceError
		connect *engine.ConnectError
		refused *engine.RefusedError
	)
	switch {
	case err == nil:
		return outcomeDone
	case errors.As(err, &fenced):
		return outcomeFenced
	case errors.As(err, &connect), errors.As(err, &refused):
		return outcomeNotRun
	}
	return outcomeUnknown
}
