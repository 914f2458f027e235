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

// tick is the time between two looks at the duty.
const tick = 500 * time.Millisecond

// Leases is the part of the store that a duty needs.
type Leases interface {
	Txn(ctx context.Context, conditions []kv.Condition, writes []kv.Write) (kv.TxnResult, error)
	GrantLease(ctx context.Context, ttl time.Duration) (kv.LeaseID, time.Duration, error)
	KeepAlive(ctx context.Context, id kv.LeaseID) (time.Duration, error)
	RevokeLease(ctx context.Context, id kv.LeaseID) error
}

// Options are the parts of a holder.
type Options struct {
	// Host names the host, Process this process of it.
	Host, Process string
	// Handover is how long after another holder's last command this one may send its first.
	Handover time.Duration
	Store    Leases
	// Records returns what is known of the keys under Prefix; known is false before the first read.
	Records func() (items []kv.KeyValue, known bool)
	// Hosts is the number of hosts that may claim.
	Hosts   func() int
	Log     logr.Logger
	Metrics *metrics.Registry
	// Clock counts the time in which the machine is suspended. Default BootClock.
	Clock func() time.Duration
}

// Holder claims the duty when it is vacant and keeps it.
type Holder struct {
	opt Options
	mu  sync.Mutex
	m   machine
}

// New returns a holder that does nothing until Serve.
func New(o Options) *Holder {
	if o.Clock == nil {
		o.Clock = BootClock
	}
	return &Holder{opt: o, m: machine{process: o.Process, handover: o.Handover}}
}

// BootClock is the time since the machine started, suspensions included.
func BootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The call fails only for clocks that the kernel does not have.
		panic(fmt.Sprintf("clock of the machine: %v", err))
	}
	return time.Duration(t.Nano())
}

// Serve claims and renews until ctx ends. It implements suture.Service.
func (h *Holder) Serve(ctx context.Context) error {
	for wait.For(ctx, tick) == nil {
		h.step(ctx)
	}
	h.resign(context.WithoutCancel(ctx))
	return ctx.Err()
}

func (h *Holder) step(ctx context.Context) {
	r, known := h.record()
	h.mu.Lock()
	act := h.m.step(h.opt.Clock(), r, known, func() time.Duration {
		return time.Duration(rand.Int64N(int64(claimSpread) * int64(h.opt.Hosts()+1)))
	})
	h.mu.Unlock()
	switch act {
	case doClaim:
		h.claim(ctx, r)
	case doRenew:
		h.renew(ctx)
	}
}

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

// claim takes the duty if it is vacant. A claim whose answer is lost is resolved by what the store shows later.
func (h *Holder) claim(ctx context.Context, r record) {
	asked := h.opt.Clock()
	id, ttl, err := h.opt.Store.GrantLease(ctx, leaseTTL)
	if err != nil {
		h.failed("lease", err)
		return
	}
	h.mu.Lock()
	h.m.granted(asked, id, ttl, r)
	h.mu.Unlock()
	result, err := h.opt.Store.Txn(ctx,
		[]kv.Condition{{Key: holderKey}, {Key: lastKey, ModRevision: r.last.ModRevision}},
		[]kv.Write{{Key: holderKey, Value: []byte(h.opt.Process), Lease: id}, {Key: lastKey, Value: []byte(h.opt.Host)}})
	var unknown *kv.UnknownError
	switch {
	case errors.As(err, &unknown):
		h.failed("claim", err)
	case err != nil || !result.Succeeded:
		h.mu.Lock()
		h.m.lose()
		h.mu.Unlock()
		h.opt.Metrics.Inc("duty_claims", metrics.L("outcome", "lost"))
		if err := h.opt.Store.RevokeLease(ctx, id); err != nil {
			h.failed("revoke", err)
		}
	default:
		h.mu.Lock()
		h.m.claimed(h.opt.Clock(), result.Revision)
		h.mu.Unlock()
		h.opt.Metrics.Inc("duty_claims", metrics.L("outcome", "held"))
		h.opt.Log.Info("duty taken over", "fence", result.Revision, "before", string(r.last.Value))
	}
}

// renew renews the lease and tells whether it is certainly held.
func (h *Holder) renew(ctx context.Context) bool {
	h.mu.Lock()
	id := h.m.lease
	h.mu.Unlock()
	if id == 0 {
		return false
	}
	asked := h.opt.Clock()
	ttl, err := h.opt.Store.KeepAlive(ctx, id)
	h.mu.Lock()
	defer h.mu.Unlock()
	var lapsed *kv.LeaseLapsedError
	switch {
	case h.m.lease != id:
		return false
	case errors.As(err, &lapsed):
		h.opt.Log.Info("duty lost", "fence", h.m.fence, "cause", err)
		h.m.lose()
		return false
	case err != nil:
		h.m.renewAt = h.opt.Clock() + tick
		return false
	}
	h.m.renewed(asked, ttl)
	return true
}

// Held tells whether this process believes that it holds the duty.
func (h *Holder) Held() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.m.mayAct(h.opt.Clock())
}

// Confirm renews the lease and returns the fencing number for a command that is sent at once. It must be asked right
// before each command, since the process may have stood still in the meantime.
func (h *Holder) Confirm(ctx context.Context) (fence int64, ok bool) {
	if !h.renew(ctx) {
		return 0, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.m.fence, h.m.mayAct(h.opt.Clock())
}

// resign gives the duty up, so that another host finds it vacant at once.
func (h *Holder) resign(ctx context.Context) {
	h.mu.Lock()
	id := h.m.lease
	h.m.lose()
	h.mu.Unlock()
	if id == 0 {
		return
	}
	if err := h.opt.Store.RevokeLease(ctx, id); err != nil {
		h.failed("revoke", err)
	}
}

func (h *Holder) failed(call string, err error) {
	h.opt.Metrics.Inc("duty_calls_failed", metrics.L("call", call))
	h.opt.Log.Error(err, "call for the duty failed", "call", call)
}
