package front

import (
	"context"
	"errors"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/boragecourse/boragecourse/internal/wait"
)

const (
	// balancerNotice is how long the load balancer takes to stop sending new connections: it asks once a second and
	// acts on the second miss.
	balancerNotice = 2500 * time.Millisecond
	// exitMargin is kept of the time before SIGKILL for the process to end by itself.
	exitMargin = 400 * time.Millisecond
	// leaveTimeout bounds the last report to the other hosts.
	leaveTimeout = 150 * time.Millisecond
)

// drain waits for SIGTERM, then takes the host out of service: readiness goes off, requests are taken until the load
// balancer has noticed, and open ones finish.
func (f *Front) drain(ctx context.Context, signals <-chan os.Signal, servers []*http.Server) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			if s == syscall.SIGHUP {
				f.log.Info("reload requested; this process has no setting that changes while it runs")
				continue
			}
			f.log.Info("drain started", "signal", s.String(), "open", f.open.Load())
		}
		break
	}
	f.draining.Store(true)
	ctx, cancel := context.WithTimeout(ctx, f.settings.Limits.ShutdownGrace-exitMargin)
	defer cancel()
	_ = wait.For(ctx, balancerNotice)
	if err := servers[0].Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		f.log.Error(err, "drain cut short", "open", f.open.Load())
		f.metrics.Inc("drains_cut_short")
	}
	leaving, cancelLeave := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancelLeave()
	f.exchange.Leave(leaving)
	for _, s := range servers {
		_ = s.Close()
	}
}
