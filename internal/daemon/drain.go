package daemon

import (
	"context"
	"os"
	"sync/atomic"
	"time"

	"github.com/boragecourse/boragecourse/internal/events"
)

// releaseStateTimeout bounds the release of this host's state after the last request: token grants, claims, charges and
// server ownership.
const releaseStateTimeout = 10 * time.Second

// drainer passes a drain request to Run and records that a drain has started.
type drainer struct {
	begin    chan string
	draining atomic.Bool
}

func (d *drainer) started() bool { return d.draining.Load() }

// request asks Run to drain. It does not block; requests after the first have no effect.
func (d *drainer) request(reason string) {
	select {
	case d.begin <- reason:
	default:
	}
}

// drain takes the host out of service. The host reports not ready, refuses new requests with outcome not-run and
// finishes the open ones. Then it releases grants, claims, charges and server ownership, and leaves the epoch.
// Another signal or the drain timeout aborts the remaining requests.
func (d *Daemon) drain(ctx context.Context, reason string, signals <-chan os.Signal) error {
	d.drainer.draining.Store(true)
	d.Log.Info("drain started; host reports not ready", "reason", reason, "open", d.Router.Open())
	if err := events.Publish(d.Events, events.Draining{Reason: reason}); err != nil {
		d.Log.Error(err, "failed to publish draining event")
	}
	waiting, cancel := context.WithTimeout(ctx, d.settings.DrainTimeout)
	defer cancel()
	go func() {
		select {
		case s := <-signals:
			d.Log.Info("drain aborted by a signal", "signal", s.String())
			cancel()
		case <-waiting.Done():
		}
	}()
	// Requests are accepted during the grace period, until the load balancer has detected that the host is not ready.
	select {
	case <-time.After(d.settings.ShutdownGrace):
	case <-waiting.Done():
	}
	if err := d.Router.Drain(waiting); err != nil {
		d.Metrics.Inc("drains_cut_short_total")
		return &DrainError{Open: d.Router.Open(), Cause: err}
	}
	release, cancelRelease := context.WithTimeout(waiting, releaseStateTimeout)
	defer cancelRelease()
	d.ReleaseState(release)
	d.Log.Info("drain finished; all requests completed")
	return nil
}
