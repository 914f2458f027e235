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
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/peer"
	"github.com/boragecourse/boragecourse/internal/platform"
	"github.com/boragecourse/boragecourse/internal/wait"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// Config holds the settings of a Ledger. Zero values take the defaults.
type Config struct {
	// CloseInterval is how often the open batch is closed and replicated. Default 200 ms: the death of the host
	// loses at most the records of this time.
	CloseInterval time.Duration
	// WriteInterval is how often closed batches are written to the store. Default 1 s. It grows with the fleet,
	// see WritesPerSecond.
	WriteInterval time.Duration
	// WritesPerSecond is the fleet's budget of store writes for charges. Default 100, a part of the store's
	// several hundred.
	WritesPerSecond float64
	// EpochInterval is how often the epoch is compared with the hosts whose copies are held. Default 500 ms, the
	// heartbeat interval.
	EpochInterval time.Duration
	// StoreTimeout and PeerTimeout bound one call. Defaults 2 s and 1 s.
	StoreTimeout, PeerTimeout time.Duration
	// MaxBatchBytes closes a batch early. Default 128 KiB.
	MaxBatchBytes int
	// MaxPendingBytes bounds the unwritten records of this host. Default 32 MiB, an eighth of the memory of a
	// daemon.
	MaxPendingBytes int
	// MaxCopyBytes bounds the copies held for other hosts. Default 32 MiB.
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

// acceptingPercent of MaxPendingBytes is where Accepting begins to refuse. The rest is for requests that already
// run.
const acceptingPercent = 90

// Ledger is the charge service of one host. It implements Writer, the Charges grpc service and a suture service.
// A process makes one Ledger and keeps it, since sequence numbers count per incarnation.
type Ledger struct {
	peerv1.UnimplementedChargesServer
	cfg     Config
	store   platform.Store
	dialer  peer.Dialer
	viewer  membership.Viewer
	metrics *metrics.Registry
	log     logr.Logger

	// writing holds a token while own batches are written, so that the store holds a prefix of the sequence. Waiting for
	// it ends with the context, which a mutex would not allow.
	writing chan struct{}

	mu sync.Mutex
	// openRecords form the batch with number next.
	openRecords []*peerv1.ChargeRecord
	openBytes   int
	next        uint64
	requests    uint64
	// unwritten batches, in sequence.
	unwritten      []*batch
	unwrittenBytes int
	holders        map[host.ID]*holder
	suspects       map[host.ID]time.Time
	copies         map[run]*copySet
	copyBytes      int
	// closed wakes the replication after a batch is closed.
	closed chan struct{}
}

// batch is a closed batch. Its content never changes, so whoever writes it writes the same.
type batch struct {
	sequence uint64
	value    []byte
	records  int
	// holder has a copy; the zero ID means none.
	holder host.ID
}

var (
	_ Writer               = (*Ledger)(nil)
	_ peerv1.ChargesServer = (*Ledger)(nil)
	_ suture.Service       = (*Ledger)(nil)
)

// New returns a Ledger. Add works at once; Serve replicates and writes.
func New(cfg Config, store platform.Store, dialer peer.Dialer, viewer membership.Viewer, m *metrics.Registry, log logr.Logger) *Ledger {
	return &Ledger{
		cfg: cfg.withDefaults(), store: store, dialer: dialer, viewer: viewer, metrics: m,
		log: log.WithName("charge"), next: 1,
		holders: map[host.ID]*holder{}, suspects: map[host.ID]time.Time{}, copies: map[run]*copySet{},
		closed: make(chan struct{}, 1), writing: make(chan struct{}, 1),
	}
}

// NewRequestID returns a request id that Trace can resolve without an index. The id names the host, its
// incarnation and the batch that is open now.
func (l *Ledger) NewRequestID() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests++
	return runOf(l.viewer.Self()).requestID(l.next, l.requests)
}

// Accepting returns an *OverflowError when unwritten records leave too little room for another request.
func (l *Ledger) Accepting() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if used := l.openBytes + l.unwrittenBytes; used > l.cfg.MaxPendingBytes/100*acceptingPercent {
		return &OverflowError{Bytes: used, Limit: l.cfg.MaxPendingBytes}
	}
	return nil
}

// Add implements Writer. A record that does not fit into the memory bound is counted and logged in full as an
// error; callers avoid this by asking Accepting before a request runs.
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
	message := &peerv1.ChargeBatch{Host: l.viewer.Self().Proto(), Sequence: l.next, Records: l.openRecords}
	value, err := encode(message)
	if err != nil {
		// Not known to happen, since toProto makes all strings valid. The batch stays open, and Accepting turns
		// callers away when it fills the memory.
		l.metrics.Inc("charge_encode_failures_total")
		l.log.Error(err, "charge batch not encoded", "records", len(l.openRecords))
		return
	}
	l.unwritten = append(l.unwritten, &batch{sequence: l.next, value: value, records: len(l.openRecords)})
	l.unwrittenBytes += len(value)
	l.openRecords, l.openBytes = nil, 0
	l.next++
	select {
	case l.closed <- struct{}{}:
	default:
	}
}

// Pending returns the records of this host that are not known to be in the store, and the copies of batches held
// for other hosts.
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

// Serve replicates and writes until ctx ends. It is a suture service.
func (l *Ledger) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	closing := func() time.Duration { return l.cfg.CloseInterval }
	// Closing does not wait for replication, which may meet timeouts.
	group.Go(func() error { return every(ctx, closing, nil, l.closeBatch) })
	group.Go(func() error { return every(ctx, closing, l.closed, func() { l.replicate(ctx) }) })
	group.Go(func() error {
		return every(ctx, l.writeInterval, nil, func() {
			l.writeOwn(ctx, roundTransactions)
			l.confirm(ctx)
			l.setGauges()
		})
	})
	group.Go(func() error {
		return every(ctx, func() time.Duration { return l.cfg.EpochInterval }, nil, func() { l.writeOrphans(ctx) })
	})
	return group.Wait()
}

// every calls f after each interval, and earlier when wake receives, until ctx ends.
func every(ctx context.Context, interval func() time.Duration, wake <-chan struct{}, f func()) error {
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

// writeInterval divides the fleet's write budget among the hosts of the epoch.
func (l *Ledger) writeInterval() time.Duration {
	hosts := float64(len(l.viewer.Epoch().Hosts))
	return max(l.cfg.WriteInterval, time.Duration(hosts/l.cfg.WritesPerSecond*float64(time.Second)))
}

func (l *Ledger) setGauges() {
	records, copies := l.Pending()
	l.metrics.Set("charge_unwritten_records", int64(records))
	l.metrics.Set("charge_copied_batches", int64(copies))
}

// Flush writes everything, as the last step of a drain: own records, then the copies held for other hosts. It
// returns an *UnwrittenError when ctx ends first.
func (l *Ledger) Flush(ctx context.Context) error {
	for {
		l.closeBatch()
		l.replicate(ctx)
		l.writeOwn(ctx, allTransactions)
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
