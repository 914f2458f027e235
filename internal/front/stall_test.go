package front

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/fleet"
)

// Guards against a watch whose timer goes on for ever because it fired while the attempt ended.
func TestStallWatchEndsWithItsAttempt(t *testing.T) {
	g := NewWithT(t)
	const limit = 10 * time.Millisecond
	entered, stopped := make(chan struct{}, 100), make(chan struct{})
	var asked atomic.Int64
	_, watch := watchStall(t.Context(), limit, func() bool {
		asked.Add(1)
		entered <- struct{}{}
		<-stopped
		return false
	})
	<-entered
	watch.stop()
	close(stopped)
	time.Sleep(10 * (limit + stallConfirmation))
	g.Expect(asked.Load()).To(BeEquivalentTo(1))
}

// Guards against a silent run that is canceled although nothing can take its place, or not canceled once something can.
func TestStallWatchCancelsReplaceableAttemptsOnly(t *testing.T) {
	g := NewWithT(t)
	var replaceable atomic.Bool
	ctx, watch := watchStall(t.Context(), 10*time.Millisecond, replaceable.Load)
	defer watch.stop()
	g.Consistently(ctx.Err).WithTimeout(4 * stallConfirmation).Should(Succeed())
	replaceable.Store(true)
	g.Eventually(ctx.Done()).Should(BeClosed())
	var stalled *StalledError
	g.Expect(errors.As(context.Cause(ctx), &stalled)).To(BeTrue())
}

// Guards against an attempt that is canceled although its response has arrived, because the host stood still for the limit.
func TestStallWatchWaitsForWhatHasArrived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, watch := watchStall(t.Context(), time.Second, func() bool { return true })
		defer watch.stop()
		for range 3 {
			time.Sleep(time.Second + stallConfirmation/2)
			watch.received()
		}
		NewWithT(t).Expect(ctx.Err()).NotTo(HaveOccurred())
		time.Sleep(time.Second + 2*stallConfirmation)
		NewWithT(t).Expect(ctx.Err()).To(HaveOccurred())
	})
}

// Guards against a limit that outlasts the callers' patience less the time that another run needs, and against one that is shorter
// although the callers wait longer.
func TestStallLimitFollowsTheCallersPatience(t *testing.T) {
	for patience, limit := range map[time.Duration]time.Duration{
		0: 1200 * time.Millisecond, 2 * time.Second: 1200 * time.Millisecond, 2400 * time.Millisecond: 1600 * time.Millisecond,
		3600 * time.Millisecond: 2 * time.Second, time.Minute: 2 * time.Second,
	} {
		NewWithT(t).Expect(stallLimit(&fleet.Route{GapPatience: patience})).To(Equal(limit))
	}
	slow := &fleet.Route{EventGapObjective: time.Second, GapPatience: 8 * time.Second}
	NewWithT(t).Expect(stallLimit(slow)).To(Equal(4 * time.Second))
}

// Guards against an attempt that is canceled although something arrived while the watch asked whether it can be replaced.
func TestStallWatchSparesAttemptsThatGoOnWhileItAsks(t *testing.T) {
	g := NewWithT(t)
	asked, gate := make(chan struct{}), make(chan struct{})
	ctx, watch := watchStall(t.Context(), 200*time.Millisecond, func() bool {
		close(asked)
		<-gate
		return true
	})
	defer watch.stop()
	<-asked
	watch.received()
	close(gate)
	g.Consistently(ctx.Err).WithTimeout(100 * time.Millisecond).Should(Succeed())
}

// Guards against an engine that is taken for silent while the host itself does not read, because its caller is slow.
func TestStallWatchPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, watch := watchStall(t.Context(), time.Second, func() bool { return true })
		defer watch.stop()
		time.Sleep(time.Second + stallConfirmation/2)
		watch.pause()
		time.Sleep(time.Minute)
		g.Expect(ctx.Err()).NotTo(HaveOccurred())
		watch.received()
		time.Sleep(time.Second + 2*stallConfirmation)
		g.Expect(ctx.Err()).To(HaveOccurred())
	})
}
