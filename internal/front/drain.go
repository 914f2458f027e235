package front

import (
	"context"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/boragecourse/boragecourse/internal/fleet"
	"github.com/boragecourse/boragecourse/internal/keepalive"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/outcome"
	"github.com/boragecourse/boragecourse/internal/wait"
)

const (
	// loadBalancerDelay is how long the load balancer takes to stop sending new connections: it probes readiness once a
	// second and removes a host after two failed probes.
	loadBalancerDelay = 2500 * time.Millisecond
	// closeReserve is the last part of the drain time, in which the listener is closed so that plain requests that were
	// accepted before can end.
	closeReserve = time.Second
	// exitMargin is the part of the shutdown grace period that is reserved for the process to exit before SIGKILL, with the last
	// report and the end of the calls of other hosts (peer.Stop).
	exitMargin = 400 * time.Millisecond
	// answerReserve is the last part of the drain time, in which requests that are still open are answered.
	answerReserve = 300 * time.Millisecond
	// minPlainReserve is the time that must be left before answerReserve for a draining host to accept a plain request. It is
	// longer for routes with a longer latency objective, and shorter for requests with an earlier deadline.
	minPlainReserve = 500 * time.Millisecond
	// leaveTimeout bounds the final report to the other hosts.
	leaveTimeout = 150 * time.Millisecond
	// drainPoll is the interval at which the open streams are counted. The wait for streams ends when none has been
	// open for drainIdle, since a caller may be about to send a request on a connection that it has already opened.
	drainPoll = 20 * time.Millisecond
	drainIdle = 100 * time.Millisecond
	// drainRetry is the Retry-After for streams that a draining host refuses; the retry reaches another host.
	drainRetry = 200 * time.Millisecond
)

// drain waits for a termination signal and then takes the host out of service. Readiness fails at once, and requests
// are still accepted until the load balancer has removed the host. After that, new streams are refused while the open
// ones finish. Plain requests are still served until the listener closes, since some callers may reach no other host.
func (f *Front) drain(ctx context.Context, signals <-chan os.Signal, servers []*keepalive.Server) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			if s == syscall.SIGHUP {
				f.log.Info("SIGHUP ignored: no setting can be reloaded")
				continue
			}
			f.log.Info("drain started", "signal", s.String(), "open", f.open.Load())
		}
		break
	}
	remaining := f.settings.Limits.ShutdownGrace - exitMargin
	end := f.now().Add(remaining)
	f.drainEnd.Store(&end)
	f.draining.Store(true)
	answering := time.AfterFunc(remaining-answerReserve, func() { f.endAnswers(&DrainEndedError{}) })
	defer answering.Stop()
	callers := servers[0]
	// The next request of a caller whose connection has ended goes through the load balancer to another host.
	callers.AnnounceClose()
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	_ = wait.For(ctx, loadBalancerDelay)
	f.refusingStreams.Store(true)
	callers.EndIdle()
	accepting, cancelAccepting := context.WithDeadline(ctx, end.Add(-closeReserve))
	defer cancelAccepting()
	if err := f.awaitStreams(accepting); err != nil {
		f.log.Info("streams are still open as the listener closes", "open", f.open.Load(), "streams", f.openStreams.Load())
	}
	f.closeCallers(ctx, callers)
	leaveCtx, cancelLeave := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancelLeave()
	f.exchange.Leave(leaveCtx)
	for _, s := range servers {
		_ = s.Close()
	}
}

// awaitStreams waits until no stream has been open for drainIdle. It returns an error if ctx ends first.
func (f *Front) awaitStreams(ctx context.Context) error {
	var idleSince time.Time
	for {
		switch {
		case f.openStreams.Load() > 0:
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = f.now()
		case f.now().Sub(idleSince) >= drainIdle:
			return nil
		}
		if err := wait.For(ctx, drainPoll); err != nil {
			return err
		}
	}
}

// closeCallers stops accepting connections and waits for the open requests until the drain time ends.
func (f *Front) closeCallers(ctx context.Context, server *keepalive.Server) {
	if err := server.Shutdown(ctx); err != nil {
		f.log.Error(err, "failed to finish open requests within the drain time", "open", f.open.Load())
		f.metrics.Inc("drains_cut_short")
	}
	n := server.Refused()
	for range n {
		f.metrics.Inc("requests_refused", metrics.L("code", string(outcome.CodeDraining)), metrics.L("outcome", string(outcome.NotRun)))
	}
	if n > 0 {
		f.log.Info("refused requests that had not been received completely", "requests", n)
	}
}

// refuseLate refuses a plain request that is not expected to be answered before the drain time ends.
func (f *Front) refuseLate(x *call) error {
	if !f.draining.Load() || x.route.Kind == fleet.Generation {
		return nil
	}
	now := f.now()
	needed := min(x.deadline.Sub(now), max(x.route.LatencyObjective, minPlainReserve))
	if needed <= f.drainEnd.Load().Sub(now)-answerReserve {
		return nil
	}
	return drainRefusal()
}

func drainRefusal() error {
	refusal := outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeDraining, "host is draining")
	refusal.RetryAfter = drainRetry
	return refusal
}

// refuseStream refuses a stream that is not expected to end before the process exits. Early in the drain it refuses
// streams whose forecast duration exceeds the remaining time; once refusingStreams is set it refuses every stream.
func (f *Front) refuseStream(x *call) error {
	if !f.draining.Load() {
		return nil
	}
	remaining := f.drainEnd.Load().Sub(f.now())
	output := f.runTable.forecast(x.request.LengthHint, x.request.Tokens.MaxOutput)
	if !f.refusingStreams.Load() && f.runTable.duration(output)+prefillEstimate < remaining {
		return nil
	}
	return drainRefusal()
}
