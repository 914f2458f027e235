package duty

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sys/unix"

	"github.com/boragecourse/boragecourse/internal/metrics"
	kv "github.com/boragecourse/boragecourse/internal/platform"
	"github.com/boragecourse/boragecourse/internal/wait"
)

// stepInterval is the time between two evaluations of the leader lease.
const stepInterval = 500 * time.Millisecond

// Leases is the part of the store that leader election needs.
type Leases interface {
	Txn(ctx context.Context, conditions []kv.Condition, writes []kv.Write) (kv.TxnResult, error)
	GrantLease(ctx context.Context, ttl time.Duration) (kv.LeaseID, time.Duration, error)
	KeepAlive(ctx context.Context, id kv.LeaseID) (time.Duration, error)
	RevokeLease(ctx context.Context, id kv.LeaseID) error
}

// Options configures a Holder. All fields except Clock are required.
type Options struct {
	// Host is the name of the host. Process identifies this process and is unique among all processes of all hosts.
	Host, Process string
	// Handover is the minimum time between the last command of the previous leader and the first of this one.
	Handover time.Duration
	Store    Leases
	// Records returns this host's copy of the keys under Prefix; known is false before the first read.
	Records func() (items []kv.KeyValue, known bool)
	// Hosts returns the number of hosts that may claim leadership.
	Hosts   func() int
	Log     logr.Logger
	Metrics *metrics.Registry
	// Clock returns the time since some fixed point, including the time in which the machine is suspended. The default
	// is BootClock.
	Clock func() time.Duration
}

// Holder takes part in the leader election of one host: it claims leadership when there is no leader, and renews the
// leader lease. It is safe for concurrent use.
type Holder struct {
	opt Options
	mu  sync.Mutex
	m   machine
}

// New returns a Holder. It does not take part in the election until Serve is called.
func New(o Options) *Holder {
	if o.Clock == nil {
		o.Clock = BootClock
	}
	return &Holder{opt: o, m: machine{process: o.Process, handover: o.Handover}}
}

// BootClock returns the time since the machine started, including the time in which it was suspended.
func BootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The call fails only if the kernel does not support the clock.
		panic(fmt.Sprintf("read CLOCK_BOOTTIME: %v", err))
	}
	return time.Duration(t.Nano())
}

// Serve claims and renews the leader lease until ctx ends, and then revokes it. It implements suture.Service.
func (h *Holder) Serve(ctx context.Context) error {
	for wait.For(ctx, stepInterval) == nil {
		h.step(ctx)
	}
	h.resign(context.WithoutCancel(ctx))
	return ctx.Err()
}

// step evaluates the lease once and carries out the resulting action.
func (h *Holder) step(ctx context.Context) {
	r, known := h.record()
	h.mu.Lock()
	act := h.m.step(h.opt.Clock(), r, known, func() time.Duration {
		return time.Duration(rand.Int64N(int64(claimSpread) * int64(h.opt.Hosts()+1)))
	})
	h.mu.Unlock()
	switch act {
	case actionClaim:
		h.claim(ctx, r)
	case actionRenew:
		h.renew(ctx)
	}
}

// record returns this host's copy of the election record.
func (h *Holder) record() (r record, known bool) {
	items, known := h.opt.Records()
	for _, item := range items {
		switch item.Key {
		case holderKey:
			r.holder = item
		case lastKey:
			r.last = item
		}
	}
	return r, known
}

// claim acquires leadership if there is no leader. When the reply to the transaction is lost, the outcome is determined
// later from the record in the store.
func (h *Holder) claim(ctx context.Context, r record) {
	sentAt := h.opt.Clock()
	id, ttl, err := h.opt.Store.GrantLease(ctx, leaseTTL)
	if err != nil {
		h.reportFailure("lease", err)
		return
	}
	h.mu.Lock()
	h.m.granted(sentAt, id, ttl, r)
	h.mu.Unlock()
	result, err := h.opt.Store.Txn(ctx,
		[]kv.Condition{{Key: holderKey}, {Key: lastKey, ModRevision: r.last.ModRevision}},
		[]kv.Write{{Key: holderKey, Value: []byte(h.opt.Process), Lease: id}, {Key: lastKey, Value: []byte(h.opt.Host)}})
	var unknown *kv.UnknownError
	switch {
	case errors.As(err, &unknown):
		h.reportFailure("claim", err)
	case err != nil || !result.Succeeded:
		h.mu.Lock()
		h.m.lose()
		h.mu.Unlock()
		h.opt.Metrics.Inc("duty_claims", metrics.L("outcome", "lost"))
		if err := h.opt.Store.RevokeLease(ctx, id); err != nil {
			h.reportFailure("revoke", err)
		}
	default:
		h.mu.Lock()
		h.m.claimed(h.opt.Clock(), result.Revision)
		h.mu.Unlock()
		h.opt.Metrics.Inc("duty_claims", metrics.L("outcome", "held"))
		h.opt.Log.Info("leadership acquired", "fence", result.Revision, "before", string(r.last.Value))
	}
}

// renew renews the lease and reports whether the store confirmed it. After a failed call the lease may still be valid.
func (h *Holder) renew(ctx context.Context) bool {
	h.mu.Lock()
	id := h.m.lease
	h.mu.Unlock()
	if id == 0 {
		return false
	}
	sentAt := h.opt.Clock()
	ttl, err := h.opt.Store.KeepAlive(ctx, id)
	h.mu.Lock()
	defer h.mu.Unlock()
	var expired *kv.LeaseLapsedError
	switch {
	case h.m.lease != id:
		return false
	case errors.As(err, &expired):
		h.opt.Log.Info("leadership lost", "fence", h.m.fence, "cause", err)
		h.m.lose()
		return false
	case err != nil:
		h.m.renewAt = h.opt.Clock() + stepInterval
		return false
	}
	h.m.renewed(sentAt, ttl)
	return true
}

// Held reports whether this process is the leader as of its last renewal. It does not contact the store; commands need
// Confirm.
func (h *Holder) Held() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.m.mayCommand(h.opt.Clock())
}

// Confirm renews the lease and returns the fencing token for a command that is sent immediately. ok is false if this
// process must not send one. It must be called right before each command, since the process may have been suspended
// since the last call.
func (h *Holder) Confirm(ctx context.Context) (fence int64, ok bool) {
	if !h.renew(ctx) {
		return 0, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.m.fence, h.m.mayCommand(h.opt.Clock())
}

// resign revokes the lease, so that another host can become the leader without waiting for its expiry.
func (h *Holder) resign(ctx context.Context) {
	h.mu.Lock()
	id := h.m.lease
	h.m.lose()
	h.mu.Unlock()
	if id == 0 {
		return
	}
	if err := h.opt.Store.RevokeLease(ctx, id); err != nil {
		h.reportFailure("revoke", err)
	}
}

// reportFailure counts and logs a store call that failed.
func (h *Holder) reportFailure(call string, err error) {
	h.opt.Metrics.Inc("duty_calls_failed", metrics.L("call", call))
	h.opt.Log.Error(err, "leader lease operation failed", "call", call)
}
