package front

import (
	"context"
	"fmt"
	"sync"
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

// stallConfirmation is how long a watch waits after its limit for what may have arrived meanwhile. A process that stood still
// finds its timers expired before it has read.
const stallConfirmation = 50 * time.Millisecond

// stallWatch cancels an attempt when nothing is received within a limit and another attempt can take its place.
type stallWatch struct {
	cancel context.CancelCauseFunc
	limit  time.Duration

	mu    sync.Mutex
	timer *time.Timer
	// expired is set between the end of the limit and that of stallConfirmation.
	expired bool
}

// watchStall returns a context that is canceled with *StalledError when received has not been called for the limit and
// replaceable returns true. It asks again after each further limit. stop must be called to release the context.
func watchStall(ctx context.Context, limit time.Duration, replaceable func() bool) (context.Context, *stallWatch) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &stallWatch{cancel: cancel, limit: limit}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(limit, func() {
		if !w.confirmed(ctx) {
			return
		}
		if replaceable() {
			cancel(&StalledError{Timeout: limit})
			return
		}
		if ctx.Err() == nil {
			w.received()
		}
	})
	return ctx, w
}

// confirmed is called when the timer has fired. It reports whether nothing has been received for the limit and
// stallConfirmation, and starts the latter after the former.
func (w *stallWatch) confirmed(ctx context.Context) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	if !w.expired {
		w.expired = true
		w.timer.Reset(stallConfirmation)
		return false
	}
	return true
}

// received restarts the stall timer.
func (w *stallWatch) received() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expired = false
	w.timer.Reset(w.limit)
}

func (w *stallWatch) stop() {
	w.timer.Stop()
	w.cancel(nil)
}
