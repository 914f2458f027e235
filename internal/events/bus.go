// Package events carries in-process events between the parts of the daemon, as typed functions over watermill's
// gochannel. Events are hints: a subscriber that must not miss a change reads the state it concerns.
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

// Bus connects publishers and subscribers of one process.
type Bus struct {
	channel *gochannel.GoChannel
	metrics *metrics.Registry
	log     logr.Logger
}

// New returns a bus. A publisher waits until each subscriber has the event in its buffer, which keeps the order;
// since full buffers drop their oldest event, it does not wait for subscribers to handle events.
func New(m *metrics.Registry, log logr.Logger) *Bus {
	log = log.WithName("events")
	return &Bus{
		channel: gochannel.NewGoChannel(gochannel.Config{BlockPublishUntilSubscriberAck: true}, NewLogger(log)),
		metrics: m, log: log,
	}
}

// Close ends all subscriptions and waits for them.
func (b *Bus) Close() error {
	if err := b.channel.Close(); err != nil {
		return &ClosedError{Op: "close", Topic: "all", Cause: err}
	}
	return nil
}

// Publish sends an event to the present subscribers of its type. Errors are *EncodeError and *ClosedError.
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

// Subscribe returns the events of one type in the order in which they were published. The buffer holds up to size
// events; when it is full, the oldest is dropped and counted. The channel is closed when ctx ends or the bus is
// closed. The only error is *ClosedError.
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

// forward moves events into the subscriber's buffer. It is the only sender, so after it has taken the oldest event
// out of a full buffer there is room for the new one.
func forward[T Event](b *Bus, topic string, messages <-chan *message.Message, out chan T) {
	defer close(out)
	for m := range messages {
		var event T
		if err := json.Unmarshal(m.Payload, &event); err != nil {
			b.metrics.Inc("events_dropped_total", metrics.L("topic", topic), metrics.L("reason", "decode"))
			b.log.Error(err, "event not decoded", "topic", topic)
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
