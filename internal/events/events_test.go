package events_test

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/boragecourse/boragecourse/internal/events"
	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/logging"
	"github.com/boragecourse/boragecourse/internal/metrics"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func drain[T any](c <-chan T) []T {
	var got []T
	for {
		select {
		case e, ok := <-c:
			if !ok {
				return got
			}
			got = append(got, e)
		default:
			return got
		}
	}
}

// Guards against events out of order, events of another type, and a slow subscriber that blocks the publisher or
// whose buffer grows without bound.
func TestSubscribersGetTheirTypeInOrderFromABoundedBuffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := metrics.New()
		bus := events.New(m, logr.Discard())
		ctx, cancel := context.WithCancel(t.Context())
		fast, err := events.Subscribe[events.EpochChanged](ctx, bus, 10)
		g.Expect(err).NotTo(HaveOccurred())
		slow, err := events.Subscribe[events.EpochChanged](ctx, bus, 2)
		g.Expect(err).NotTo(HaveOccurred())
		other, err := events.Subscribe[events.HostExcluded](ctx, bus, 2)
		g.Expect(err).NotTo(HaveOccurred())
		excluded := events.HostExcluded{Host: host.ID{Name: "h", Addr: "10.0.0.1:1", Zone: "z", Incarnation: 1<<63 + 1}, Epoch: 3}
		for n := range uint64(5) {
			g.Expect(events.Publish(bus, events.EpochChanged{Number: n})).To(Succeed())
		}
		g.Expect(events.Publish(bus, excluded)).To(Succeed())
		synctest.Wait()
		g.Expect(drain(fast)).To(Equal([]events.EpochChanged{{Number: 0}, {Number: 1}, {Number: 2}, {Number: 3}, {Number: 4}}))
		g.Expect(drain(slow)).To(Equal([]events.EpochChanged{{Number: 3}, {Number: 4}}))
		g.Expect(drain(other)).To(Equal([]events.HostExcluded{excluded}))
		dropped := m.Count("events_dropped_total", metrics.L("topic", "epoch_changed"), metrics.L("reason", "buffer_full"))
		g.Expect(dropped).To(Equal(int64(3)))
		cancel()
		synctest.Wait()
		_, open := <-fast
		g.Expect(open).To(BeFalse())
		g.Expect(bus.Close()).To(Succeed())
		var closed *events.ClosedError
		g.Expect(errors.As(events.Publish(bus, events.Draining{}), &closed)).To(BeTrue())
		_, err = events.Subscribe[events.Draining](t.Context(), bus, 1)
		g.Expect(errors.As(err, &closed)).To(BeTrue())
	})
}

// Guards against a bus that cannot be used on the fake clock of a synctest bubble.
func TestSubscriberWaitsOnTheFakeClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		bus := events.New(nil, logr.Discard())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		got, err := events.Subscribe[events.SnapshotInstalled](ctx, bus, 1)
		g.Expect(err).NotTo(HaveOccurred())
		start := time.Now()
		go func() {
			time.Sleep(time.Hour)
			_ = events.Publish(bus, events.SnapshotInstalled{Generation: 7})
		}()
		g.Expect((<-got).Generation).To(Equal(uint64(7)))
		g.Expect(time.Since(start)).To(Equal(time.Hour))
	})
}

// Guards against watermill log lines without their fields, and against its info lines at the default verbosity.
func TestWatermillLogsToLogr(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	log := events.NewLogger(logging.New(&out, 0)).With(watermill.LogFields{"b": 2, "a": 1})
	log.Info("no subscribers", nil)
	log.Error("failed", errors.New("cause"), watermill.LogFields{"topic": "x"})
	g.Expect(out.String()).To(ContainSubstring("event=failed error=cause a=1 b=2 topic=x"))
	g.Expect(out.String()).NotTo(ContainSubstring("no subscribers"))
}
