package front

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/boragecourse/boragecourse/internal/bytebudget"
	"github.com/boragecourse/boragecourse/internal/dispatch"
	"github.com/boragecourse/boragecourse/internal/keepalive"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/outcome"
	"github.com/boragecourse/boragecourse/platform"
)

const (
	// budgetShare is the share of the host's memory that is the budget of buffered bytes. requestsShare is the one for these and
	// the open requests together. The Go runtime's limit is 0.6 of the memory, and the rest of the process needs 10 to 24 MB.
	budgetShare   = 0.25
	requestsShare = 0.4
	// waitingShare is the share of the host's memory that connections without a request may take, with waitingMemory bytes each: a
	// process had a resident size of 56 MB with 1,500 idle connections. Callers may send a request on a connection just as it is
	// ended, so many are kept.
	waitingShare  = 0.2
	waitingMemory = 24 << 10
	// maxServerBytes bounds the bytes of the requests of all hosts together at one backend server. Servers do not state their
	// memory. 64 prompts of 5,000 tokens, as many as an engine runs at a time, have 1 to 2 MB.
	maxServerBytes = 16 << 20
	// memoryRetryAfter is the shortest Retry-After of a request for which the host has no memory; a random part as long again
	// is added.
	memoryRetryAfter = 250 * time.Millisecond
	// discardTime is how long the body of a refused request is read after the refusal, and maxDiscarding the number of such
	// requests at a time.
	discardTime   = 2 * time.Second
	maxDiscarding = 128
	// socketBuffer is the size of the send and receive buffers of callers' connections, in bytes. The kernel would let the send
	// buffer of a caller that does not read grow to several MB, which counts toward the host's memory. It is enough for
	// 100 Mbit/s at a round trip of 5 ms, since the kernel doubles it.
	socketBuffer = 32 << 10
)

// openAccount opens the account of a request, which counts the bytes that the host holds for it. It refuses the request if
// the budget has no room.
func (f *Front) openAccount(r *http.Request, x *call) error {
	size := int64(len(r.RequestURI))
	for name, values := range r.Header {
		for _, v := range values {
			size += int64(len(name) + len(v))
		}
	}
	account, ok := f.budget.Open(size)
	if !ok || !account.FitsRequest(r.ContentLength) {
		account.Close()
		return f.refuseMemory(r, x)
	}
	x.account, x.size = account, size
	return nil
}

// refuseMemory returns the refusal of a request for which the budget has no room. The connection ends with it, since net/http
// would otherwise read the body before it sends the refusal.
func (f *Front) refuseMemory(r *http.Request, x *call) error {
	x.w.Header().Set("Connection", "close")
	x.unread = r.Body
	if held, counted := r.Body.(*heldBody); counted {
		x.unread = held.in
	}
	_ = http.NewResponseController(x.w).EnableFullDuplex()
	f.metrics.Inc("held_bytes_refused")
	refusal := outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeHostMemory, "host has no memory for the request")
	refusal.RetryAfter = memoryRetryAfter + time.Duration(rand.Int64N(int64(memoryRetryAfter)))
	refusal.Cause = &HostMemoryError{}
	return refusal
}

// discardUnread reads the rest of a refused request's body, within limits, after the refusal is sent. A caller that is still
// sending would otherwise find its connection reset, and might not read the refusal.
func (f *Front) discardUnread(x *call) {
	if x.unread == nil || f.discarding.Add(1) > maxDiscarding {
		f.discarding.Add(-1)
		return
	}
	defer f.discarding.Add(-1)
	connection := http.NewResponseController(x.w)
	_ = connection.Flush()
	_ = connection.SetReadDeadline(f.now().Add(discardTime))
	_, _ = io.Copy(io.Discard, io.LimitReader(x.unread, defaultBodyLimit))
}

// heldReader counts what is read from in, before it is passed on. If hold does not allow that, a read returns *HostMemoryError
// with the bytes.
type heldReader struct {
	in   io.Reader
	hold func(n int64) bool
	// refused is set once hold has returned false.
	refused bool
}

// Read implements io.Reader.
func (r *heldReader) Read(b []byte) (int, error) {
	n, err := r.in.Read(b)
	if n > 0 && !r.hold(int64(n)) {
		r.refused = true
		return n, &HostMemoryError{}
	}
	return n, err
}

// heldBody is the body of a request whose bytes are counted.
type heldBody struct {
	heldReader
	io.Closer
}

// holdBody makes the account of a request count its body as it is read, and bounds the time for that by the request's
// deadline, so that callers that stop sending do not use up the budget. The returned function lifts the bound once the body is
// received. After a failure it stays, so that net/http does not wait for the rest.
func (x *call) holdBody(r *http.Request) (received func()) {
	if x.account == nil || r.Body == nil || r.ContentLength == 0 {
		return func() {}
	}
	r.Body = &heldBody{heldReader{in: r.Body, hold: x.account.HoldRequest}, r.Body}
	connection := http.NewResponseController(x.w)
	_ = connection.SetReadDeadline(x.deadline)
	return func() { _ = connection.SetReadDeadline(time.Time{}) }
}

// startDelivery returns the delivery of a response, which it starts at the first call, or nil if responses are not to be
// buffered for slow callers.
func (f *Front) startDelivery(x *call) *delivery {
	if x.account == nil || x.delivery != nil {
		return x.delivery
	}
	x.delivery = startDelivery(x.w, x.account, func(err error) {
		var slow *SlowCallerError
		if errors.As(err, &slow) {
			f.metrics.Inc("slow_callers_given_up")
			keepalive.DropUnsent(x.caller)
		}
		x.cancel(err)
	}, func(value any, stack []byte) {
		f.metrics.Inc("panics", metrics.L("where", "delivery"))
		f.log.Error(&PanicError{value}, "panic in the delivery of a response", "stack", string(stack))
	})
	return x.delivery
}

// deliver waits until the caller has received what is buffered of a response that has ended with err.
func (x *call) deliver(err error) error {
	if x.delivery == nil {
		return err
	}
	if undelivered := x.delivery.finish(x.caller); err == nil {
		return undelivered
	}
	return err
}

// releaseBytes ends the delivery of a request, if it has not ended yet, and frees what is held for it.
func (x *call) releaseBytes() {
	if x.delivery != nil {
		x.delivery.abort(context.Canceled)
	}
	x.account.Close()
}

// isUndelivered reports whether an error is a response that could not be delivered to its caller.
func isUndelivered(err error) bool {
	var undelivered *DeliveryError
	return errors.As(err, &undelivered)
}

// callerTimedOut reports whether a request has ended because its caller did not read or send in time. net/http ends the
// context of such a request, and closes its connection, as it does for a caller that has left.
func callerTimedOut(err error) bool {
	var slow *SlowCallerError
	var body *platform.BodyError
	return errors.As(err, &slow) || (errors.As(err, &body) || isUndelivered(err)) && errors.Is(err, os.ErrDeadlineExceeded)
}

// drop frees a response that is not relayed.
func (a *response) drop(x *call) {
	if a.rest != nil {
		_ = a.rest.Close()
	}
	x.account.Release(int64(len(a.body)))
}

// withinServerBytes limits a job to the backend servers at which the request does not exceed this host's part of
// maxServerBytes.
func (f *Front) withinServerBytes(x *call, job dispatch.Job) dispatch.Job {
	if f.outstanding == nil {
		return job
	}
	limit := int64(maxServerBytes / max(f.hosts(), 1))
	size, service, withheld := x.size, x.group.service, false
	reserve, unreserve := job.Reserve, job.Unreserve
	job.Reserve = func(key string) bool {
		if !f.outstanding.Add(key, size, limit) {
			if !withheld {
				withheld = true
				f.metrics.Inc("sends_withheld", metrics.L("service", service))
			}
			return false
		}
		if reserve != nil && !reserve(key) {
			f.outstanding.Remove(key, size)
			return false
		}
		return true
	}
	job.Unreserve = func(key string) {
		if unreserve != nil {
			unreserve(key)
		}
		f.outstanding.Remove(key, size)
	}
	return job
}

// newBudget returns the budget of buffered bytes and the bound on those outstanding at backend servers, or nil where they are
// not bounded.
func newBudget(bounded bool, memory int64) (*bytebudget.Budget, *bytebudget.Outstanding) {
	if !bounded {
		return nil, nil
	}
	return bytebudget.New(int64(budgetShare*float64(memory)), int64(requestsShare*float64(memory))), bytebudget.NewOutstanding()
}
