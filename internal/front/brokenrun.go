package front

import (
	"context"
	"errors"
	"time"

	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/platform"
)

// decodeStart is how long after its first event a run counts as just begun.
const decodeStart = 500 * time.Millisecond

// recordBrokenRun counts and logs a run that its engine has broken off. If the run had just begun and its connection has
// ended, the engine may have crashed because of the prompt.
func (f *Front) recordBrokenRun(ctx context.Context, x *call, s *stream, key string, err error) {
	var notRun *platform.NotRunError
	if ctx.Err() != nil || errors.As(err, &notRun) {
		return
	}
	phase, relayed := "starting", time.Duration(0)
	if !s.firstEventAt.IsZero() {
		relayed = f.now().Sub(s.firstEventAt)
	}
	if relayed >= decodeStart {
		phase = "running"
	}
	f.metrics.Inc("runs_broken_off", metrics.L("service", x.group.service), metrics.L("phase", phase))
	f.log.Info("run broken off", "request", x.request.ID, "server", key, "phase", phase, "relayed", ms(relayed), "parts", x.request.SharedParts,
		"cause", err)
	if phase == "starting" && connectionEnded(err) {
		f.quarantine.recordCrash(key, x.request.SharedParts)
	}
}

// connectionEnded reports whether a run failed because its connection ended, and not because of what was received on it.
func connectionEnded(err error) bool {
	var status *platform.StatusError
	var mismatch *platform.RequestIDMismatchError
	var receipt *platform.MissingReceiptError
	var size *EventTooLargeError
	var order *EventOrderError
	var empty *EmptyRunError
	return !errors.As(err, &status) && !errors.As(err, &mismatch) && !errors.As(err, &receipt) && !errors.As(err, &size) &&
		!errors.As(err, &order) && !errors.As(err, &empty)
}
