package front

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
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
	time.Sleep(10 * limit)
	g.Expect(asked.Load()).To(BeEquivalentTo(1))
}

// Guards against a silent run that is canceled although nothing can take its place, or not canceled once something can.
func TestStallWatchCancelsReplaceableAttemptsOnly(t *testing.T) {
	g := NewWithT(t)
	var replaceable atomic.Bool
	ctx, watch := watchStall(t.Context(), 10*time.Millisecond, replaceable.Load)
	defer watch.stop()
	g.Consistently(ctx.Err).WithTimeout(100 * time.Millisecond).Should(Succeed())
	replaceable.Store(true)
	g.Eventually(ctx.Done()).Should(BeClosed())
	var stalled *StalledError
	g.Expect(errors.As(context.Cause(ctx), &stalled)).To(BeTrue())
}
