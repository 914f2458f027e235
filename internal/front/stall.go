package front

import (
	"context"
	"fmt"
	"time"
)

const (
	// leastStall is the shortest silence after which an engine is given up. Engines pause streams that they preempt for
	// less than that, and callers wait longer.
	leastStall = 1200 * time.Millisecond
	// stallGaps is how many of the longest pauses that are on time make a stall.
	stallGaps = 4
)

// StalledError reports a backend server that fell silent without closing the connection.
type StalledError struct{ Silence time.Duration }

// Error implements error.
func (e *StalledError) Error() string { return fmt.Sprintf("nothing received for %v", e.Silence) }

// stallLimit is the longest silence of a stream.
func (f *Front) stallLimit(x *call) time.Duration {
	return max(leastStall, stallGaps*x.route.EventGapObjective)
}

// stallWatch ends a send when nothing is received for too long.
type stallWatch struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
	limit  time.Duration
}

// watchStall returns a context that ends after a silence of limit. A watch that is off never ends it.
func watchStall(ctx context.Context, on bool, limit time.Duration) (context.Context, *stallWatch) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &stallWatch{cancel: cancel, limit: limit}
	if on {
		w.timer = time.AfterFunc(limit, func() { cancel(&StalledError{Silence: limit}) })
	}
	return ctx, w
}

// received starts the silence anew.
func (w *stallWatch) received() {
	if w.timer != nil {
		w.timer.Reset(w.limit)
	}
}

func (w *stallWatch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel(nil)
}
