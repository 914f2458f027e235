package front

import (
	"context"
	"fmt"
	"time"
)

const (
	// minStallTimeout is the lower bound of the stall time-out. Engines pause preempted streams for less than this, and
	// callers wait longer.
	minStallTimeout = 1200 * time.Millisecond
	// stallGapFactor is the stall time-out as a multiple of the route's event gap objective.
	stallGapFactor = 4
)

// StalledError reports a backend server that sent nothing for the stall time-out without closing the connection.
type StalledError struct{ Timeout time.Duration }

// Error implements error.
func (e *StalledError) Error() string {
	return fmt.Sprintf("nothing received from the backend server for %v", e.Timeout)
}

func (f *Front) stallLimit(x *call) time.Duration {
	return max(minStallTimeout, stallGapFactor*x.route.EventGapObjective)
}

// stallWatch cancels an attempt when nothing is received within a limit and another attempt can take its place.
type stallWatch struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
	limit  time.Duration
}

// watchStall returns a context that is canceled with *StalledError when received has not been called for the limit and
// replaceable returns true. It asks again after each further limit. stop must be called to release the context.
func watchStall(ctx context.Context, limit time.Duration, replaceable func() bool) (context.Context, *stallWatch) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &stallWatch{cancel: cancel, limit: limit}
	// ready is closed once the timer may be used by its own function.
	ready := make(chan struct{})
	w.timer = time.AfterFunc(limit, func() {
		<-ready
		switch {
		case ctx.Err() != nil:
		case replaceable():
			cancel(&StalledError{Timeout: limit})
		default:
			w.timer.Reset(limit)
		}
	})
	close(ready)
	return ctx, w
}

// received restarts the stall timer.
func (w *stallWatch) received() { w.timer.Reset(w.limit) }

func (w *stallWatch) stop() {
	w.timer.Stop()
	w.cancel(nil)
}
