package leader

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/boragecourse/boragecourse/internal/bootclock"
	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/wait"
)

// stepInterval is the time between two evaluations of the leader lease.
const stepInterval = 500 * time.Millisecond

// LeaseStore is the part of the store that leader election needs.
type LeaseStore interface {
	Txn(ctx context.Context, conditions []kvstore.Condition, writes []kvstore.Write) (kvstore.TxnResult, error)
	GrantLease(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, time.Duration, error)
	KeepAlive(ctx context.Context, id kvstore.LeaseID) (time.Duration, error)
	RevokeLease(ctx context.Context, id kvstore.LeaseID) error
}

// Options configures an Elector. All fields except Clock are required.
type Options struct {
	// Host is the name of the host. Process identifies this process and is unique among all processes of all hosts.
	Host, Process string
	// Handover is the minimum time between the last command of the previous leader and the first of this one.
	Handover time.Duration
	// FirstStart is set when the whole fleet starts for the first time, so that there was no leader before.
	FirstStart bool
	Store      LeaseStore
	// StoreCopy returns this host's copy of the keys under KeyPrefix; known is false before the first read.
	StoreCopy func() (items []kvstore.KeyValue, known bool)
	// StoreRestored reports whether the store was restored from an older copy, so that the record of a leader may be lost.
	StoreRestored func() bool
	// HostCount returns the number of hosts that may claim leadership.
	HostCount func() int
	Log       logr.Logger
	Metrics   *metrics.Registry
	// Clock returns the time since some fixed point, including the time in which the machine is suspended. The default
	// is bootclock.Now.
	Clock func() time.Duration
}

// Elector takes part in the leader election of one host: it claims leadership when there is no leader, and renews the
// leader lease. It is safe for concurrent use.
type Elector struct {
	opt Options
	mu  sync.Mutex
	m   machine
}

// New returns an Elector. It does not take part in the election until Serve is called.
func New(o Options) *Elector {
	if o.Clock == nil {
		o.Clock = bootclock.Now
	}
	return &Elector{opt: o, m: machine{process: o.Process, handover: o.Handover, restarted: !o.FirstStart}}
}

// Serve claims and renews the leader lease until ctx ends, and then revokes it. It implements suture.Service.
func (e *Elector) Serve(ctx context.Context) error {
	for wait.For(ctx, stepInterval) == nil {
		e.step(ctx)
	}
	e.resign(context.WithoutCancel(ctx))
	return ctx.Err()
}

// step evaluates the lease once and carries out the resulting action.
func (e *Elector) step(ctx context.Context) {
	r, known := e.record()
	e.mu.Lock()
	act := e.m.step(e.opt.Clock(), r, known, func() time.Duration {
		return time.Duration(rand.Int64N(int64(claimSpread) * int64(e.opt.HostCount()+1)))
	})
	e.mu.Unlock()
	switch act {
	case actionClaim:
		e.claim(ctx, r)
	case actionRenew:
		e.renew(ctx)
	}
}

// record returns this host's copy of the election record.
func (e *Elector) record() (r record, known bool) {
	items, known := e.opt.StoreCopy()
	for _, item := range items {
		switch item.Key {
		case leaderKey:
			r.leader = item
		case lastKey:
			r.last = item
		}
	}
	return r, known
}

// claim acquires leadership if there is no leader. When the reply to the transaction is lost, the outcome is determined
// later from the record in the store.
func (e *Elector) claim(ctx context.Context, r record) {
	sentAt := e.opt.Clock()
	id, ttl, err := e.opt.Store.GrantLease(ctx, leaseTTL)
	if err != nil {
		e.reportFailure("lease", err)
		return
	}
	e.mu.Lock()
	e.m.restarted = e.m.restarted || e.opt.StoreRestored()
	e.m.recordGrant(sentAt, id, ttl, r)
	e.mu.Unlock()
	result, err := e.opt.Store.Txn(ctx,
		[]kvstore.Condition{{Key: leaderKey}, {Key: lastKey, ModRevision: r.last.ModRevision}},
		[]kvstore.Write{{Key: leaderKey, Value: []byte(e.opt.Process), Lease: id}, {Key: lastKey, Value: []byte(e.opt.Host)}})
	var unknown *kvstore.OutcomeUnknownError
	switch {
	case errors.As(err, &unknown):
		e.reportFailure("claim", err)
	case err != nil || !result.Succeeded:
		e.mu.Lock()
		e.m.reset()
		e.mu.Unlock()
		e.opt.Metrics.Inc("duty_claims", metrics.L("outcome", "lost"))
		if err := e.opt.Store.RevokeLease(ctx, id); err != nil {
			e.reportFailure("revoke", err)
		}
	default:
		e.mu.Lock()
		e.m.recordClaim(e.opt.Clock(), result.Revision)
		e.mu.Unlock()
		e.opt.Metrics.Inc("duty_claims", metrics.L("outcome", "held"))
		// The field before is the host that was last elected, empty if there was none.
		e.opt.Log.Info("leadership acquired", "fence", result.Revision, "before", string(r.last.Value))
	}
}

// renew renews the lease and reports whether the store confirmed it. After a failed call the lease may still be valid.
func (e *Elector) renew(ctx context.Context) bool {
	e.mu.Lock()
	id := e.m.lease
	e.mu.Unlock()
	if id == 0 {
		return false
	}
	sentAt := e.opt.Clock()
	ttl, err := e.opt.Store.KeepAlive(ctx, id)
	e.mu.Lock()
	defer e.mu.Unlock()
	var expired *kvstore.LeaseExpiredError
	switch {
	case e.m.lease != id:
		return false
	case errors.As(err, &expired):
		e.opt.Log.Info("leadership lost", "fence", e.m.fence, "cause", err)
		e.m.reset()
		return false
	case err != nil:
		e.m.renewAt = e.opt.Clock() + stepInterval
		return false
	}
	e.m.recordRenewal(sentAt, ttl)
	return true
}

// IsLeader reports whether this process is the leader as of its last renewal. It does not contact the store; commands
// need ConfirmLeadership.
func (e *Elector) IsLeader() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.m.mayCommand(e.opt.Clock())
}

// ConfirmLeadership renews the lease and returns the fencing token for a command that is sent immediately. ok is false
// if this process must not send one. It must be called right before each command, since the process may have been
// suspended since the last call.
func (e *Elector) ConfirmLeadership(ctx context.Context) (fence int64, ok bool) {
	if !e.renew(ctx) {
		return 0, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.m.fence, e.m.mayCommand(e.opt.Clock())
}

// resign revokes the lease, so that another host can become the leader without waiting for its expiry.
func (e *Elector) resign(ctx context.Context) {
	e.mu.Lock()
	id := e.m.lease
	e.m.reset()
	e.mu.Unlock()
	if id == 0 {
		return
	}
	if err := e.opt.Store.RevokeLease(ctx, id); err != nil {
		e.reportFailure("revoke", err)
	}
}

// reportFailure counts and logs a store call that failed.
func (e *Elector) reportFailure(call string, err error) {
	e.opt.Metrics.Inc("duty_calls_failed", metrics.L("call", call))
	e.opt.Log.Error(err, "leader lease operation failed", "call", call)
}
