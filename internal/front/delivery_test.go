package front

import (
	"context"
	"errors"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/bytebudget"
)

// fakeCaller accepts a byte of a response for each value in reads, and everything once reads is closed.
type fakeCaller struct {
	reads       chan struct{}
	interrupted chan struct{}
	got         []byte
	flushes     atomic.Int64
	panics      bool
}

func newFakeCaller() *fakeCaller {
	return &fakeCaller{reads: make(chan struct{}), interrupted: make(chan struct{})}
}

func (c *fakeCaller) Header() http.Header { return nil }
func (c *fakeCaller) WriteHeader(int)     {}
func (c *fakeCaller) Flush()              { c.flushes.Add(1) }

func (c *fakeCaller) SetWriteDeadline(time.Time) error {
	close(c.interrupted)
	return nil
}

func (c *fakeCaller) Write(b []byte) (int, error) {
	if c.panics {
		panic("broken writer")
	}
	for i := range b {
		select {
		case <-c.reads:
		case <-c.interrupted:
			return i, os.ErrDeadlineExceeded
		}
		c.got = append(c.got, b[i])
	}
	return len(b), nil
}

// deliverTo starts a delivery to a caller with the given budget. failed receives the error that ends it early.
func deliverTo(g *WithT, c *fakeCaller, budget int64) (d *delivery, failed chan error) {
	account, ok := bytebudget.New(budget*4/3, 1<<30).Open(0)
	g.Expect(ok).To(BeTrue())
	failed = make(chan error, 1)
	return startDelivery(c, account, func(err error) { failed <- err }, func(any, []byte) {}), failed
}

func noWait() {}

// Guards against an event that a caller who reads gets only with a later one, and against a changed order.
func TestDeliveryPassesEachPartOnAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newFakeCaller()
		close(c.reads)
		d, _ := deliverTo(g, c, 1<<20)
		for i := range 20 {
			before := time.Now()
			g.Expect(d.push(t.Context(), []byte{byte('a' + i)}, noWait)).To(Succeed())
			synctest.Wait()
			g.Expect(c.flushes.Load()).To(BeEquivalentTo(i + 1))
			g.Expect(time.Since(before)).To(BeZero())
		}
		g.Expect(d.finish(t.Context())).To(Succeed())
		g.Expect(string(c.got)).To(Equal("abcdefghijklmnopqrst"))
	})
}

// Guards against a caller that is given up although it reads, one that is waited for without end, and a writer that outlives it.
func TestDeliveryGivesUpCallersThatReadNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newFakeCaller()
		d, failed := deliverTo(g, c, 2*bytebudget.Floor)
		part := make([]byte, bytebudget.Floor/4)
		waits := 0
		for range 20 {
			// The writer takes what is queued before the next part is pushed, so that the number of waits does not depend on the
			// order in which goroutines run. From when the queue is full, a part is accepted shortly before each limit.
			synctest.Wait()
			g.Expect(d.push(t.Context(), part, func() {
				waits++
				go func() {
					time.Sleep(slowCallerLimit - 10*roomPoll)
					for range part {
						c.reads <- struct{}{}
					}
				}()
			})).To(Succeed())
		}
		g.Expect(waits).To(BeNumerically(">", 10), "waits")
		// The readers that have been started for the parts in the queue end first.
		time.Sleep(slowCallerLimit)
		var err error
		for err == nil {
			err = d.push(t.Context(), part, noWait)
		}
		var slow *SlowCallerError
		g.Expect(errors.As(err, &slow)).To(BeTrue(), "%v", err)
		g.Expect(isUndelivered(<-failed)).To(BeTrue())
		g.Expect(isUndelivered(d.finish(t.Context()))).To(BeTrue())
		g.Expect(d.done).To(BeClosed())
	})
}

// Guards against a host that waits for room although the request has ended.
func TestDeliveryEndsWithItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d, _ := deliverTo(g, newFakeCaller(), 2*bytebudget.Floor)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		began := time.Now()
		var err error
		for err == nil {
			err = d.push(ctx, make([]byte, 1000), noWait)
		}
		g.Expect(err).To(MatchError(context.DeadlineExceeded))
		g.Expect(isUndelivered(d.finish(ctx))).To(BeTrue())
		g.Expect(time.Since(began)).To(Equal(100 * time.Millisecond))
	})
}

// Guards against a panic of the writer that ends the process, and a request that waits for that writer.
func TestDeliverySurvivesAPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newFakeCaller()
		c.panics = true
		d, failed := deliverTo(g, c, 1<<20)
		g.Expect(d.push(t.Context(), []byte("a"), noWait)).To(Succeed())
		var panicked *PanicError
		g.Expect(errors.As(<-failed, &panicked)).To(BeTrue())
		g.Expect(isUndelivered(d.push(t.Context(), []byte("b"), noWait))).To(BeTrue())
		g.Expect(isUndelivered(d.finish(t.Context()))).To(BeTrue())
	})
}

// Guards against a long event that is read without an account, and an account that stays charged for it.
func TestEventReaderHoldsLongEvents(t *testing.T) {
	g := NewWithT(t)
	held := int64(0)
	long := append(append([]byte("data: "), make([]byte, 100<<10)...), "\n\n"...)
	r := newEventReader(&onceReader{append(append([]byte(nil), long...), "id: 2\n\n"...)})
	r.hold = func(n int64) error { held += n; return nil }
	r.release = func(n int64) { held -= n }
	event, err := r.next()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(event).To(Equal(long))
	g.Expect(held).To(BeEquivalentTo(cap(event)))
	event, err = r.next()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(event)).To(Equal("id: 2\n\n"))
	g.Expect(held).To(BeZero())
}

// onceReader returns its bytes in pieces of different sizes.
type onceReader struct{ left []byte }

func (r *onceReader) Read(b []byte) (int, error) {
	if len(r.left) == 0 {
		return 0, os.ErrDeadlineExceeded
	}
	n := copy(b[:min(len(b), 1+len(r.left)%3000)], r.left)
	r.left = r.left[n:]
	return n, nil
}
