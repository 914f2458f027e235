package front

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"github.com/boragecourse/boragecourse/internal/bytebudget"
)

const (
	// slowCallerLimit is how long the host waits for a caller that reads nothing while its share of the budget is used up.
	// Engines cut a response that stays unread for some seconds, which would count as a failure of the engine.
	slowCallerLimit = 1500 * time.Millisecond
	// roomPoll is the interval at which a response that waits for room looks for bytes that other connections have released.
	// Bytes that its own caller has read end the wait at once.
	roomPoll = 50 * time.Millisecond
	// maxWrite is the number of bytes that are written at a time, so that a caller's progress within a long event is seen.
	maxWrite = 16 << 10
	// partOverhead is the memory of a queued part beside its bytes.
	partOverhead = 48
)

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// SlowCallerError reports a caller that has read nothing for Waited while its share of the buffered bytes was used up.
type SlowCallerError struct{ Waited time.Duration }

// Error implements error.
func (e *SlowCallerError) Error() string {
	return fmt.Sprintf("caller has read nothing for %v and its share of the buffered bytes is used up", e.Waited)
}

// HostMemoryError reports that the budget of buffered bytes has no room.
type HostMemoryError struct{}

// Error implements error.
func (e *HostMemoryError) Error() string { return "the budget of buffered bytes has no room" }

// part is a piece of a response that waits to be written. held is what the account counts for it.
type part struct {
	bytes []byte
	held  int64
}

// delivery writes a response to its caller from a goroutine of its own, so that the backend server's response is read at the
// server's pace. What the caller has not read yet is queued, as far as the account allows.
type delivery struct {
	w       http.ResponseWriter
	account *bytebudget.Account
	// failed is called once with the *DeliveryError that ends the delivery early. It must not call the delivery.
	failed func(error)
	// panicked is called with the value of a panic and its stack.
	panicked func(value any, stack []byte)

	mu    sync.Mutex
	queue []part
	// idle is set while the writer has nothing to write.
	idle bool
	// ending is set when nothing more will be queued, err when the delivery has failed.
	ending bool
	err    error
	// accepted counts the writes that the connection has accepted.
	accepted int64

	// polls counts the polls during waits for room since accepted had the value seen. Only hold uses them.
	polls int
	seen  int64

	// wake and room have a capacity of one. wake tells the writer that mu's fields have changed, room tells push.
	wake, room chan struct{}
	// done is closed when the writer has ended.
	done chan struct{}
}

// startDelivery starts the writer. Its caller must call finish or abort before the request's handler returns.
func startDelivery(w http.ResponseWriter, account *bytebudget.Account, failed func(error), panicked func(any, []byte)) *delivery {
	d := &delivery{
		w: w, account: account, failed: failed, panicked: panicked, idle: true,
		wake: make(chan struct{}, 1), room: make(chan struct{}, 1), done: make(chan struct{}),
	}
	go d.run()
	return d
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// push queues a copy of b. It waits while there is no room for it; see hold. If there is none although nothing is queued, it
// passes on b itself and waits until that is written, so that callers who read do not depend on what others leave unread. After
// an error b must not be changed.
func (d *delivery) push(ctx context.Context, b []byte, waits func()) error {
	size := int64(partOverhead + len(b))
	held, err := d.tryHold(size)
	if err != nil {
		return err
	}
	if !held && d.isIdle() {
		if err := d.enqueue(b, 0); err != nil {
			return err
		}
		err := d.await(ctx, waits, func() (bool, error) { return d.isIdle(), d.failure() })
		if err != nil {
			// Whether the caller gets b is not known, so no other run may continue the response.
			d.fail(err)
		}
		return err
	}
	if !held {
		if err := d.hold(ctx, size, waits); err != nil {
			return err
		}
	}
	return d.enqueue(append([]byte(nil), b...), size)
}

func (d *delivery) isIdle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.idle
}

// failure returns the *DeliveryError that has ended the delivery, or nil.
func (d *delivery) failure() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.err != nil {
		return &DeliveryError{Cause: d.err}
	}
	return nil
}

// enqueue queues bytes for which the account counts held. Errors are *DeliveryError.
func (d *delivery) enqueue(b []byte, held int64) error {
	d.mu.Lock()
	if d.err != nil {
		defer d.mu.Unlock()
		return &DeliveryError{Cause: d.err}
	}
	d.queue = append(d.queue, part{b, held})
	idle := d.idle
	d.idle = false
	d.mu.Unlock()
	if idle {
		signal(d.wake)
		// Lets the writer send the part before more of the response is read.
		runtime.Gosched()
	}
	return nil
}

// hold adds n bytes to the account. While there is no room it waits, and calls waits once when the wait begins. Errors are
// *DeliveryError, which ends the delivery, and the cause of ctx.
func (d *delivery) hold(ctx context.Context, n int64, waits func()) error {
	return d.await(ctx, waits, func() (bool, error) { return d.tryHold(n) })
}

// await waits until ready returns true or an error, or the caller has read nothing for slowCallerLimit.
func (d *delivery) await(ctx context.Context, waits func(), ready func() (bool, error)) error {
	if done, err := ready(); done || err != nil {
		return err
	}
	waits()
	poll := time.NewTicker(roomPoll)
	defer poll.Stop()
	for {
		select {
		case <-d.room:
		case <-poll.C:
			d.polls++
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		if done, err := ready(); done || err != nil {
			return err
		}
		d.countProgress()
		// Polls are counted, rather than time: a process that was suspended must first give its caller a chance to read. They add
		// up over several waits, since other connections may release a few bytes at a time, which the engine hardly notices.
		if d.polls >= int(slowCallerLimit/roomPoll) {
			d.fail(d.waitError())
		}
	}
}

// countProgress restarts the count of polls if the caller has read anything.
func (d *delivery) countProgress() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.accepted != d.seen {
		d.seen, d.polls = d.accepted, 0
	}
}

// tryHold adds n bytes to the account if there is room. Errors are *DeliveryError.
func (d *delivery) tryHold(n int64) (held bool, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.err != nil {
		return false, &DeliveryError{Cause: d.err}
	}
	return d.account.Hold(n), nil
}

// waitError returns why a wait for room has ended: because of the caller, or of the other connections.
func (d *delivery) waitError() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.idle {
		return &HostMemoryError{}
	}
	return &SlowCallerError{Waited: slowCallerLimit}
}

// run writes the queued parts until the delivery ends.
func (d *delivery) run() {
	defer close(d.done)
	defer func() {
		if v := recover(); v != nil {
			d.panicked(v, debug.Stack())
			d.fail(&PanicError{v})
		}
	}()
	for {
		parts, ended := d.next()
		if ended {
			return
		}
		if err := d.write(parts); err != nil {
			d.fail(err)
			return
		}
	}
}

// next waits for parts to write. It reports whether the delivery has ended.
func (d *delivery) next() (parts []part, ended bool) {
	for {
		d.mu.Lock()
		parts, d.queue = d.queue, nil
		d.idle = len(parts) == 0
		failed, ending := d.err != nil, d.ending
		d.mu.Unlock()
		signal(d.room)
		if failed || ending && len(parts) == 0 {
			return nil, true
		}
		if len(parts) > 0 {
			return parts, false
		}
		<-d.wake
	}
}

// write sends parts to the caller. Parts that were queued together are flushed together.
func (d *delivery) write(parts []part) error {
	for i, p := range parts {
		for left := p.bytes; len(left) > 0; {
			n := min(len(left), maxWrite)
			if _, err := d.w.Write(left[:n]); err != nil {
				return err
			}
			left = left[n:]
			d.mu.Lock()
			d.accepted++
			d.mu.Unlock()
		}
		parts[i].bytes = nil
		d.account.Release(p.held)
		signal(d.room)
	}
	return http.NewResponseController(d.w).Flush()
}

// fail ends the delivery and drops what is queued.
func (d *delivery) fail(cause error) {
	d.mu.Lock()
	first := d.err == nil
	if first {
		d.err, d.queue = cause, nil
	}
	d.mu.Unlock()
	signal(d.wake)
	signal(d.room)
	if first {
		d.failed(&DeliveryError{Cause: cause})
	}
}

// finish waits until everything queued is written, and until the delivery has ended. It aborts the delivery when caller
// ends. Errors are *DeliveryError.
func (d *delivery) finish(caller context.Context) error {
	d.mu.Lock()
	d.ending = true
	failed := d.err != nil
	d.mu.Unlock()
	signal(d.wake)
	if failed {
		d.abort(nil)
	}
	select {
	case <-d.done:
	case <-caller.Done():
		d.abort(context.Cause(caller))
	}
	return d.failure()
}

// abort ends the delivery without writing the rest. A write that waits for the caller is interrupted. After the delivery has
// ended it has no effect.
func (d *delivery) abort(cause error) {
	select {
	case <-d.done:
		return
	default:
	}
	d.mu.Lock()
	writing := !d.idle
	d.mu.Unlock()
	d.fail(cause)
	if writing {
		_ = http.NewResponseController(d.w).SetWriteDeadline(past)
	}
	<-d.done
}
