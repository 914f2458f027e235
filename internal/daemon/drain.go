package daemon

import (
	"context"
	"os"
	"sync/atomic"
	"time"

	"github.com/boragecourse/boragecourse/internal/events"
)

// handBackTimeout bounds the hand-back of grants and the writing of charges and claims after the last request.
const handBackTimeout = 10 * time.Second

// drainer starts a drain once.
type drainer struct {
	begin    chan string
	draining atomic.Bool
}

func (d *drainer) started() bool { return d.draining.Load() }

// request asks Run to drain; further requests have no effect.
func (d *drainer) request(reason string) {
	select {
	case d.begin <- reason:
	default:
	}
}

// drain takes the host out of service: readiness goes off, new requests are refused as not run, open ones finish,
// then grants, claims and charges are handed back and the host leaves the epoch. A second signal or the drain
// timeout cuts what is still open.
func (d *Daemon) drain(ctx context.Context, reason string, signals <-chan os.Signal) error {
	d.drainer.draining.Store(true)
	d.Log.Info("drain started", "reason", reason, "open", d.Router.Open())
	if err := events.Publish(d.Events, events.Draining{Reason: reason}); err != nil {
		d.Log.Error(err, "event not published")
	}
	waiting, cancel := context.WithTimeout(ctx, d.settings.DrainTimeout)
	defer cancel()
	go func() {
		select {
		case s := <-signals:
			d.Log.Info("drain cut short", "signal", s.String())
			cancel()
		case <-waiting.Done():
		}
	}()
	// The load balancer needs a moment to see that readiness is off; requests are accepted until then.
	select {
	case <-time.After(d.settings.ShutdownGrace):
	case <-waiting.Done():
	}
	if err := d.Router.Drain(waiting); err != nil {
		d.Metrics.Inc("drains_cut_short_total")
		return &DrainError{Open: d.Router.Open(), Cause: err}
	}
	handBack, cancelHandBack := context.WithTimeout(waiting, handBackTimeout)
	defer cancelHandBack()
	d.HandBack(handBack)
	d.Log.Info("drain finished")
	return nil
}
