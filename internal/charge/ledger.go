package charge

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/boragecourse/boragecourse/internal/defaults"
	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/peer"
	"github.com/boragecourse/boragecourse/internal/wait"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// Config holds the settings of a Ledger. Zero values take the defaults.
type Config struct {
	// CloseInterval is how often the open batch is closed and replicated. Default 200 ms: a crash of the host loses
	// at most the records of this time.
	CloseInterval time.Duration
	// WriteInterval is the shortest time between two writes of closed batches to the store. Default 1 s. In a large
	// fleet the interval is longer, see WritesPerSecond.
	WriteInterval time.Duration
	// WritesPerSecond is the fleet's budget of store writes for charges. Default 100, part of the several hundred that
	// the store sustains.
	WritesPerSecond float64
	// EpochInterval is how often the Ledger checks whether hosts whose copies it holds are still in the epoch. Default
	// 500 ms, the heartbeat interval.
	EpochInterval time.Duration
	// StoreTimeout bounds one store transaction and PeerTimeout one call to a peer. Defaults 2 s and 1 s.
	StoreTimeout, PeerTimeout time.Duration
	// MaxBatchBytes is the size at which a batch is closed before CloseInterval has passed. Default 128 KiB.
	MaxBatchBytes int
	// MaxPendingBytes bounds the memory for unwritten records of this host. Default 32 MiB, an eighth of a daemon's
	// memory.
	MaxPendingBytes int
	// MaxCopyBytes bounds the memory for copies held for other hosts. Default 32 MiB.
	MaxCopyBytes int
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.CloseInterval, 200*time.Millisecond)
	defaults.Set(&c.WriteInterval, time.Second)
	defaults.Set(&c.WritesPerSecond, 100)
	defaults.Set(&c.EpochInterval, 500*time.Millisecond)
	defaults.Set(&c.StoreTimeout, 2*time.Second)
	defaults.Set(&c.PeerTimeout, time.Second)
	defaults.Set(&c.MaxBatchBytes, 128<<10)
	defaults.Set(&c.MaxPendingBytes, 32<<20)
	defaults.Set(&c.MaxCopyBytes, 32<<20)
	return c
}

// acceptingPercent is the share of MaxPendingBytes above which Accepting refuses. The remainder is reserved for
// requests that are already running.
const acceptingPercent = 90

// Ledger is the charge service of one host. It implements Writer, the Charges gRPC service and a suture service.
// A process must create only one Ledger, since sequence numbers must be unique within an incarnation.
type Ledger struct {
	peerv1.UnimplementedChargesServer
	cfg     Config
	store   kvstore.Store
	dialer  peer.Dialer
	viewer  membership.Viewer
	metrics *metrics.Registry
	log     logr.Logger

	// writeSem serializes the writes of this host's batches, so that the store always holds a prefix of the sequence.
	// It is a channel instead of a mutex so that waiting for it ends with the context.
	writeSem chan struct{}

	mu sync.Mutex
	// openRecords are the records of the open batch, whose sequence number is nextSequence.
	openRecords    []*peerv1.ChargeRecord
	openBytes      int
	nextSequence   uint64
	requestCounter uint64
	// unwritten are the closed batches that are not known to be in the store, in sequence.
	unwritten      []*batch
	unwrittenBytes int
	replicas       map[host.ID]*replica
	// failedUntil is, for each host to which a Replicate call failed, the end of its failurePause.
	failedUntil map[host.ID]time.Time
	copies      map[incarnationID]*copySet
	copyBytes   int
	// batchClosed triggers replication after a batch is closed.
	batchClosed chan struct{}
}

// batch is a closed batch. Its value never changes, so every host that writes it writes the same bytes.
type batch struct {
	sequence uint64
	value    []byte
	records  int
	// replica is the host that holds a copy, or the zero ID.
	replica host.ID
}

var (
	_ Writer               = (*Ledger)(nil)
	_ peerv1.ChargesServer = (*Ledger)(nil)
	_ suture.Service       = (*Ledger)(nil)
)

// New returns a Ledger. Add may be called before Serve runs; Serve replicates batches and writes them to the store.
func New(cfg Config, store kvstore.Store, dialer peer.Dialer, viewer membership.Viewer, m *metrics.Registry, log logr.Logger) *Ledger {
	return &Ledger{
		cfg: cfg.withDefaults(), store: store, dialer: dialer, viewer: viewer, metrics: m,
		log: log.WithName("charge"), nextSequence: 1,
		replicas: map[host.ID]*replica{}, failedUntil: map[host.ID]time.Time{}, copies: map[incarnationID]*copySet{},
		batchClosed: make(chan struct{}, 1), writeSem: make(chan struct{}, 1),
	}
}

// NewRequestID returns a unique request id that Trace can resolve without an index. The id contains the host, its
// incarnation and the sequence number of the open batch.
func (l *Ledger) NewRequestID() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requestCounter++
	return incarnationOf(l.viewer.Self()).requestID(l.nextSequence, l.requestCounter)
}

// Accepting implements Writer. Its error is an *OverflowError.
func (l *Ledger) Accepting() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if used := l.openBytes + l.unwrittenBytes; used > l.cfg.MaxPendingBytes/100*acceptingPercent {
		return &OverflowError{Bytes: used, Limit: l.cfg.MaxPendingBytes}
	}
	return nil
}

// Add implements Writer. A record that would exceed MaxPendingBytes is dropped, counted, and logged as an error with
// its contents; callers avoid this by calling Accepting before a request runs.
func (l *Ledger) Add(r Record) {
	message := toProto(r)
	size := proto.Size(message)
	l.mu.Lock()
	defer l.mu.Unlock()
	if used := l.openBytes + l.unwrittenBytes; used+size > l.cfg.MaxPendingBytes {
		l.metrics.Inc("charge_dropped_total", metrics.L("reason", "memory_full"))
		l.log.Error(&OverflowError{Bytes: used, Limit: l.cfg.MaxPendingBytes}, "charge record dropped",
			"request", r.RequestID, "workspace", r.Workspace, "key", r.KeyID, "generation", r.Generation,
			"rule_line", r.Rule.Line, "who", r.Rule.Who, "prompt_tokens", r.PromptTokens,
			"cached_tokens", r.CachedTokens, "output_tokens", r.OutputTokens, "cost_tokens", r.CostTokens,
			"outcome", r.Outcome)
		return
	}
	l.openRecords = append(l.openRecords, message)
	l.openBytes += size
	l.metrics.Inc("charge_records_total", metrics.L("outcome", r.Outcome))
	if l.openBytes >= l.cfg.MaxBatchBytes {
		l.closeLocked()
	}
}

// closeBatch closes the open batch if it holds records.
func (l *Ledger) closeBatch() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeLocked()
}

func (l *Ledger) closeLocked() {
	if len(l.openRecords) == 0 {
		return
	}
	message := &peerv1.ChargeBatch{Host: l.viewer.Self().Proto(), Sequence: l.nextSequence, Records: l.openRecords}
	value, err := encode(message)
	if err != nil {
		// Not expected, since toProto makes all strings valid UTF-8. The batch stays open, and Accepting refuses
		// requests once it exceeds the memory limit.
		l.metrics.Inc("charge_encode_failures_total")
		l.log.Error(err, "failed to encode charge batch", "records", len(l.openRecords))
		return
	}
	l.unwritten = append(l.unwritten, &batch{sequence: l.nextSequence, value: value, records: len(l.openRecords)})
	l.unwrittenBytes += len(value)
	l.openRecords, l.openBytes = nil, 0
	l.nextSequence++
	select {
	case l.batchClosed <- struct{}{}:
	default:
	}
}

// Pending returns the number of this host's records that are not known to be in the store, and the number of batch
// copies held for other hosts.
func (l *Ledger) Pending() (records, copies int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	records = len(l.openRecords)
	for _, b := range l.unwritten {
		records += b.records
	}
	for _, s := range l.copies {
		copies += len(s.batches)
	}
	return records, copies
}

// Serve closes, replicates and writes batches until ctx ends. It implements suture.Service.
func (l *Ledger) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	closeInterval := func() time.Duration { return l.cfg.CloseInterval }
	// Batches are closed in a goroutine of their own, since replication may block until a peer call times out.
	group.Go(func() error { return runPeriodically(ctx, closeInterval, nil, l.closeBatch) })
	group.Go(func() error { return runPeriodically(ctx, closeInterval, l.batchClosed, func() { l.replicate(ctx) }) })
	group.Go(func() error {
		return runPeriodically(ctx, l.writeInterval, nil, func() {
			l.writeOwn(ctx, maxRoundTransactions)
			l.confirm(ctx)
			l.setGauges()
		})
	})
	group.Go(func() error {
		return runPeriodically(ctx, func() time.Duration { return l.cfg.EpochInterval }, nil, func() { l.writeOrphanedCopies(ctx) })
	})
	return group.Wait()
}

// runPeriodically calls f after each interval, or earlier on a receive from wake, until ctx ends.
func runPeriodically(ctx context.Context, interval func() time.Duration, wake <-chan struct{}, f func()) error {
	for {
		timer := time.NewTimer(interval())
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-wake:
			timer.Stop()
			f()
		case <-timer.C:
			f()
		}
	}
}

// writeInterval returns the time between two writes that keeps this host within its share of the fleet's write budget,
// and at least Config.WriteInterval.
func (l *Ledger) writeInterval() time.Duration {
	hosts := float64(len(l.viewer.Epoch().Hosts))
	return max(l.cfg.WriteInterval, time.Duration(hosts/l.cfg.WritesPerSecond*float64(time.Second)))
}

func (l *Ledger) setGauges() {
	records, copies := l.Pending()
	l.metrics.Set("charge_unwritten_records", int64(records))
	l.metrics.Set("charge_copied_batches", int64(copies))
}

// Flush writes the records of this host and then the copies held for other hosts, as the last step of a drain. It
// returns an *UnwrittenError if ctx ends first.
func (l *Ledger) Flush(ctx context.Context) error {
	for {
		l.closeBatch()
		l.replicate(ctx)
		l.writeOwn(ctx, unlimitedTransactions)
		l.confirm(ctx)
		l.writeCopies(ctx, func(*copySet) bool { return true })
		records, copies := l.Pending()
		if records == 0 && copies == 0 {
			return nil
		}
		if wait.For(ctx, l.cfg.CloseInterval) != nil {
			return &UnwrittenError{Records: records, Copies: copies, Cause: ctx.Err()}
		}
	}
}
