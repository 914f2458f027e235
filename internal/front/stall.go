package front

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/boragecourse/boragecourse/internal/fleet"
)

const (
	// minStallTimeout is the lower bound of the stall time-out, for routes whose callers are impatient.
	minStallTimeout = 1200 * time.Millisecond
	// maxStallTimeout bounds the wait where callers are patient. Engines that are at work are silent for less.
	maxStallTimeout = 2 * time.Second
	// stallGapFactor is the least stall time-out as a multiple of the route's event gap objective.
	stallGapFactor = 4
	// resumeTime is the part of the callers' patience that is kept for another run to send its first event.
	resumeTime = 800 * time.Millisecond
)

// StalledError reports a backend server that sent nothing for the stall time-out without closing the connection.
type StalledError struct{ Timeout time.Duration }

// Error implements error.
func (e *StalledError) Error() string {
	return fmt.Sprintf("nothing received from the backend server for %v", e.Timeout)
}

// stallLimit returns how long a run may send nothing. A silent engine may still be at work, so the limit is as long as the callers'
// patience allows, up to maxStallTimeout.
func stallLimit(r *fleet.Route) time.Duration {
	return max(minStallTimeout, stallGapFactor*r.EventGapObjective, min(maxStallTimeout, r.GapPatience-resumeTime))
}

// stallConfirmation is how long a watch waits after its limit for what may have arrived meanwhile. A process that stood still
// finds its timers expired before it has read.
const stallConfirmation = 50 * time.Millisecond

// stallRecheck is how long a watch waits before it asks again whether a silent attempt can be replaced.
const stallRecheck = 400 * time.Millisecond

// stallWatch cancels an attempt when nothing is received within a limit and another attempt can take its place.
type stallWatch struct {
	cancel context.CancelCauseFunc
	limit  time.Duration

	mu    sync.Mutex
	timer *time.Timer
	// expired is set between the end of the limit and that of stallConfirmation.
	expired bool
	// paused is set while the host reads nothing.
	paused bool
}

// watchStall returns a context that is canceled with *StalledError when received has not been called for the limit and
// replaceable returns true. It asks again after each stallRecheck. stop must be called to release the context.
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
			w.cancelIfSilent()
			return
		}
		w.askAgain(ctx)
	})
	return ctx, w
}

// confirmed is called when the timer has fired. It reports whether nothing has been received for the limit and
// stallConfirmation, and starts the latter after the former.
func (w *stallWatch) confirmed(ctx context.Context) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil || w.paused {
		return false
	}
	if !w.expired {
		w.expired = true
		w.timer.Reset(stallConfirmation)
		return false
	}
	return true
}

// cancelIfSilent cancels the attempt unless something was received while replaceable was called.
func (w *stallWatch) cancelIfSilent() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.expired {
		w.cancel(&StalledError{Timeout: w.limit})
	}
}

// askAgain starts the timer after which replaceable is called again, unless something was received since the last call.
func (w *stallWatch) askAgain(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() == nil && w.expired {
		w.expired = false
		w.timer.Reset(stallRecheck)
	}
}

// pause stops the watch until the next call of received.
func (w *stallWatch) pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expired, w.paused = false, true
	w.timer.Stop()
}

// received restarts the stall timer.
func (w *stallWatch) received() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expired, w.paused = false, false
	w.timer.Reset(w.limit)
}

func (w *stallWatch) stop() {
	w.timer.Stop()
	w.cancel(nil)
}
