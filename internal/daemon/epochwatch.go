package daemon

import (
	"context"

	"github.com/boragecourse/boragecourse/internal/events"
	"github.com/boragecourse/boragecourse/internal/membership"
)

// epochWatch publishes events for epoch changes and closes connections to hosts that have left the epoch.
type epochWatch struct {
	d    *Daemon
	last membership.Epoch
}

// Serve implements suture.Service.
func (w *epochWatch) Serve(ctx context.Context) error {
	epochs := w.d.Members.Subscribe(ctx)
	for {
		select {
		case epoch := <-epochs:
			w.handleEpoch(epoch)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// String returns the name of the service in supervisor events.
func (w *epochWatch) String() string { return "epoch-watch" }

func (w *epochWatch) handleEpoch(epoch membership.Epoch) {
	d := w.d
	d.Log.Info("epoch changed", "epoch", epoch.Number, "hosts", len(epoch.Hosts))
	d.Metrics.Set("epoch", int64(epoch.Number)) //nolint:gosec // Epoch numbers stay far below 2^63.
	if err := events.Publish(d.Events, events.EpochChanged{Number: epoch.Number}); err != nil {
		d.Log.Error(err, "failed to publish epoch change event")
	}
	used := map[string]bool{}
	for _, h := range epoch.Hosts {
		used[h.Addr] = true
	}
	for _, h := range w.last.Hosts {
		if epoch.Contains(h) {
			continue
		}
		if err := events.Publish(d.Events, events.HostExcluded{Host: h, Epoch: epoch.Number}); err != nil {
			d.Log.Error(err, "failed to publish host exclusion event")
		}
	}
	if epoch.Contains(d.Self) {
		d.pool.Prune(func(addr string) bool { return used[addr] })
	}
	w.last = epoch
}
