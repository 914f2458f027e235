// Package events is a typed in-process event bus for the components of the daemon, based on watermill's gochannel.
// Events may be dropped: a subscriber that must not miss a change has to read the state that the event refers to.
package events

import (
	"context"
	"encoding/json"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/go-logr/logr"

	"github.com/boragecourse/boragecourse/internal/metrics"
)

// Bus delivers events from publishers to subscribers of one process. It is safe for concurrent use.
type Bus struct {
	channel *gochannel.GoChannel
	metrics *metrics.Registry
	log     logr.Logger
}

// New returns a bus. Publish blocks until the event is in the buffer of each subscriber, which preserves the order.
// It does not wait for subscribers to handle events, because a full buffer drops its oldest event.
func New(m *metrics.Registry, log logr.Logger) *Bus {
	log = log.WithName("events")
	return &Bus{
		channel: gochannel.NewGoChannel(gochannel.Config{BlockPublishUntilSubscriberAck: true}, NewLogger(log)),
		metrics: m, log: log,
	}
}

// Close ends all subscriptions and waits for their goroutines. The only error is *ClosedError.
func (b *Bus) Close() error {
	if err := b.channel.Close(); err != nil {
		return &ClosedError{Op: "close", Topic: "all", Cause: err}
	}
	return nil
}

// Publish sends an event to the current subscribers of its type. Errors are *EncodeError and *ClosedError.
func Publish[T Event](b *Bus, event T) error {
	payload, err := json.Marshal(event)
	if err != nil {
		return &EncodeError{Topic: event.Topic(), Cause: err}
	}
	if err := b.channel.Publish(event.Topic(), message.NewMessage(watermill.NewUUID(), payload)); err != nil {
		return &ClosedError{Op: "publish", Topic: event.Topic(), Cause: err}
	}
	b.metrics.Inc("events_published_total", metrics.L("topic", event.Topic()))
	return nil
}

// Subscribe returns a channel of the events of one type in the order in which they were published. The channel buffers
// up to size events, at least one; when it is full, the oldest event is dropped and counted. The channel is closed when
// ctx ends or the bus is closed. The only error is *ClosedError.
func Subscribe[T Event](ctx context.Context, b *Bus, size int) (<-chan T, error) {
	var zero T
	messages, err := b.channel.Subscribe(ctx, zero.Topic())
	if err != nil {
		return nil, &ClosedError{Op: "subscribe", Topic: zero.Topic(), Cause: err}
	}
	out := make(chan T, max(1, size))
	go forward(b, zero.Topic(), messages, out)
	return out, nil
}

// forward moves events into the buffer of a subscriber. It is the only sender, so a full buffer has room for the new
// event after the oldest one was removed.
func forward[T Event](b *Bus, topic string, messages <-chan *message.Message, out chan T) {
	defer close(out)
	for m := range messages {
		var event T
		if err := json.Unmarshal(m.Payload, &event); err != nil {
			b.metrics.Inc("events_dropped_total", metrics.L("topic", topic), metrics.L("reason", "decode"))
			b.log.Error(err, "failed to decode event; event dropped", "topic", topic)
			m.Ack()
			continue
		}
		for sent := false; !sent; {
			select {
			case out <- event:
				sent = true
			default:
				select {
				case <-out:
					b.metrics.Inc("events_dropped_total", metrics.L("topic", topic), metrics.L("reason", "buffer_full"))
				default:
				}
			}
		}
		m.Ack()
	}
}
