package placement

import (
	"fmt"
	"time"
)

// NoServerError reports that no active backend server can take the request.
type NoServerError struct {
	// Model or Pool is the requested one; the other is empty.
	Model, Pool string
	// Evacuated is set if servers could take the request but for the evacuation of their zones.
	Evacuated bool
}

func (e *NoServerError) Error() string {
	if e.Evacuated {
		return fmt.Sprintf("backend servers for model %q, pool %q are in evacuated zones only", e.Model, e.Pool)
	}
	return fmt.Sprintf("no active backend server for model %q, pool %q", e.Model, e.Pool)
}

// DeadlineError reports that the first token is predicted too late, or that a home host denied a reservation. No work
// was started.
type DeadlineError struct {
	// Predicted is the expected time from arrival to the first token.
	Predicted time.Duration
	// RetryAfter is the predicted time until a slot is free, or by how much the predicted first token exceeds the
	// deadline.
	RetryAfter time.Duration
}

func (e *DeadlineError) Error() string {
	return fmt.Sprintf("no slot in time: first token predicted %v after arrival; retry after %v", e.Predicted, e.RetryAfter)
}

// QueueFullError reports that the bounded queue of waiting requests is full.
type QueueFullError struct {
	// Waiting is the number of requests in the queue.
	Waiting    int
	RetryAfter time.Duration
}

func (e *QueueFullError) Error() string {
	return fmt.Sprintf("queue is full with %d waiting requests; retry after %v", e.Waiting, e.RetryAfter)
}

// StageError reports a reservation request for a stage that has no queue in the server's reservation table.
type StageError struct {
	Stage Stage
}

func (e *StageError) Error() string { return fmt.Sprintf("stage %q takes no reservations", e.Stage) }
