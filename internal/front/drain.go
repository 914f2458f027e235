package front

import (
	"context"
	"errors"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/boragecourse/boragecourse/internal/outcome"
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
	// drainPoll is the time between two looks at the open requests, drainQuiet how long there must have been none: a
	// caller may be about to send one on a connection that it has opened.
	drainPoll  = 20 * time.Millisecond
	drainQuiet = 100 * time.Millisecond
	// closeTimeout bounds the end of the requests that came in the last moment.
	closeTimeout = time.Second
	// drainRetry is when a caller whose stream a stopping host does not take may come back to another one.
	drainRetry = 200 * time.Millisecond
)

// drain waits for SIGTERM, then takes the host out of service: readiness goes off, requests are taken until the load
// balancer has noticed. Then only streams are refused, until the open ones have ended: callers that reach no other host
// are still answered.
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
	left := f.settings.Limits.ShutdownGrace - exitMargin
	end := f.now().Add(left)
	f.drainEnd.Store(&end)
	f.draining.Store(true)
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	_ = wait.For(ctx, balancerNotice)
	f.refusingStreams.Store(true)
	servers[0].SetKeepAlivesEnabled(false)
	if err := f.awaitStreams(ctx); err != nil {
		f.log.Error(err, "drain cut short", "open", f.open.Load(), "streams", f.openStreams.Load())
		f.metrics.Inc("drains_cut_short")
	}
	f.closeCallers(ctx, servers[0])
	leaving, cancelLeave := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancelLeave()
	f.exchange.Leave(leaving)
	for _, s := range servers {
		_ = s.Close()
	}
}

// awaitStreams waits until no stream has been open for a while.
func (f *Front) awaitStreams(ctx context.Context) error {
	var quietSince time.Time
	for {
		switch {
		case f.openStreams.Load() > 0:
			quietSince = time.Time{}
		case quietSince.IsZero():
			quietSince = f.now()
		case f.now().Sub(quietSince) >= drainQuiet:
			return nil
		}
		if err := wait.For(ctx, drainPoll); err != nil {
			return err
		}
	}
}

// closeCallers takes no more connections and waits for the open requests, which are short ones now.
func (f *Front) closeCallers(ctx context.Context, server *http.Server) {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) && f.open.Load() > 0 {
		f.log.Error(err, "requests were open at the end of the drain", "open", f.open.Load())
		f.metrics.Inc("drains_cut_short")
	}
}

// refuseStream refuses a stream that would not end before the process does: any once only open ones are waited for, and
// before that those whose forecast does not fit in the time that is left.
func (f *Front) refuseStream(x *call) error {
	if !f.draining.Load() {
		return nil
	}
	left := f.drainEnd.Load().Sub(f.now())
	output := f.ledger.forecast(x.request.LengthHint, x.request.Tokens.MaxOutput)
	if !f.refusingStreams.Load() && f.ledger.duration(output)+prefillEstimate < left {
		return nil
	}
	refusal := outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeDraining, "the host is stopping")
	refusal.RetryAfter = drainRetry
	return refusal
}
