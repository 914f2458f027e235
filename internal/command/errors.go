package command

import (
	"errors"
	"fmt"

	"github.com/boragecourse/boragecourse/internal/engine"
)

// UnreleasedError reports that this host still owned servers when a drain ended. The next owners of these servers wait
// until this host's lease has expired.
type UnreleasedError struct {
	Servers int
	Cause   error
}

// Error implements error.
func (e *UnreleasedError) Error() string {
	return fmt.Sprintf("drain ended with %d backend servers still owned: %v", e.Servers, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreleasedError) Unwrap() error { return e.Cause }

// outcome classifies the result of a command call.
type outcome string

const (
	outcomeDone    outcome = "done"
	outcomeNotRun  outcome = "not-run"
	outcomeFenced  outcome = "fenced"
	outcomeUnknown outcome = "unknown"
)

func outcomeOf(err error) outcome {
	var (
		fenced  *engine.StaleFencingTokenError
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
