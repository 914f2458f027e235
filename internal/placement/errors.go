package placement

import (
	"fmt"
	"time"
)

// NoServerError reports that no active backend server can take the request.
type NoServerError struct {
	// Model or Pool is what was asked for.
	Model, Pool string
}

// Error implements error.
func (e *NoServerError) Error() string {
	return fmt.Sprintf("no backend server for model %q pool %q", e.Model, e.Pool)
}

// DeadlineError reports that the first token cannot come in time, so that nothing was started.
type DeadlineError struct {
	// Predicted is the expected time from arrival to the first token.
	Predicted time.Duration
	// RetryAfter is when a slot is expected to be free.
	RetryAfter time.Duration
}

// Error implements error.
func (e *DeadlineError) Error() string {
	return fmt.Sprintf("first token predicted after %v; retry after %v", e.Predicted, e.RetryAfter)
}

// QueueFullError reports that the bounded queue of waiting requests is full.
type QueueFullError struct {
	// Waiting is the number of requests in the queue.
	Waiting    int
	RetryAfter time.Duration
}

// Error implements error.
func (e *QueueFullError) Error() string {
	return fmt.Sprintf("%d requests wait already; retry after %v", e.Waiting, e.RetryAfter)
}

// StageError reports a stage that has no reservations.
type StageError struct {
	Stage Stage
}

// Error implements error.
func (e *StageError) Error() string { return fmt.Sprintf("stage %q takes no reservations", e.Stage) }
