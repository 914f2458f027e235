package claim

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"

	"github.com/boragecourse/boragecourse/internal/defaults"
	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/peer"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// Config holds the settings of a Coordinator. Zero values take the defaults.
type Config struct {
	// BatchDelay is how long a claim waits for others to share its store transaction. Default 3 ms: about the
	// latency of one store call, so batching accounts for less than half of a claim's latency.
	BatchDelay time.Duration
	// WritesPerSecond is the fleet's budget of store transactions for claims. Default 200, part of the several
	// hundred that the store sustains. The hosts of the epoch share it evenly; a host that reaches its share puts
	// more claims into each transaction.
	WritesPerSecond float64
	// StoreTimeout bounds one store transaction including its retries after lost responses. Default 2 s.
	StoreTimeout time.Duration
	// AskTimeout bounds the Ask call to the claiming host. Default 2 s.
	AskTimeout time.Duration
	// DispatchGrace is how long a host that receives an Ask call waits for the dispatch of the attempt before it
	// gives the attempt up. Default 250 ms: a claimed call is normally dispatched within a millisecond.
	DispatchGrace time.Duration
	// DispatchLimit is the longest time between the store's acknowledgement of the claim and the dispatch.
	// Default 30 s.
	DispatchLimit time.Duration
	// Retention is how long final records are kept. Default 24 h. A call that reuses a key after that runs again.
	Retention time.Duration
	// MaxResponseBytes is the largest response body that is recorded. Default 64 KiB.
	MaxResponseBytes int
	// MaxOpenAttempts bounds this host's attempts that have not reached a final state. Default 4096.
	MaxOpenAttempts int
	// RetryInterval is the time between retries of final-state writes that the store has not acknowledged.
	// Default 1 s.
	RetryInterval time.Duration
	// SweepReadsPerSecond is the fleet's budget of store reads for the sweep of expired claims. Default 5: one pass
	// over the 4,096 shards takes 14 minutes.
	SweepReadsPerSecond float64

	policy Policy
}

// maxRounds bounds the write conflicts of one attempt. After the first conflict, another one occurs only if a further
// attempt has created, taken over or given up the claim in between.
const maxRounds = 8

func (c Config) withDefaults() Config {
	defaults.Set(&c.BatchDelay, 3*time.Millisecond)
	defaults.Set(&c.WritesPerSecond, 200)
	defaults.Set(&c.StoreTimeout, 2*time.Second)
	defaults.Set(&c.AskTimeout, 2*time.Second)
	defaults.Set(&c.DispatchGrace, 250*time.Millisecond)
	defaults.Set(&c.DispatchLimit, 30*time.Second)
	defaults.Set(&c.Retention, 24*time.Hour)
	defaults.Set(&c.MaxResponseBytes, 64<<10)
	defaults.Set(&c.MaxOpenAttempts, 4096)
	defaults.Set(&c.RetryInterval, time.Second)
	defaults.Set(&c.SweepReadsPerSecond, 5)
	c.policy.DispatchLimit = c.DispatchLimit
	c.policy.MaxRounds = maxRounds
	return c
}

// Coordinator is the claim service of one host. It implements Service, the Claims gRPC service and a suture
// service.
//
// A process must create only one Coordinator: an attempt that is not in its table is reported as given up, so a second
// Coordinator of the same incarnation would report calls as given up that the first one has dispatched.
type Coordinator struct {
	peerv1.UnimplementedClaimsServer
	cfg     Config
	store   kvstore.Store
	dialer  peer.Dialer
	viewer  membership.Viewer
	metrics *metrics.Registry
	log     logr.Logger
	writes  *batcher

	mu         sync.Mutex
	open       map[string]*entry
	unrecorded map[*entry]bool
	// shard is the next shard to sweep.
	shard int
}

var (
	_ Service             = (*Coordinator)(nil)
	_ peerv1.ClaimsServer = (*Coordinator)(nil)
	_ suture.Service      = (*Coordinator)(nil)
)

// New returns a Coordinator. Claim may be called before Serve runs; Serve retries unrecorded final states and sweeps
// expired claims.
func New(cfg Config, store kvstore.Store, dialer peer.Dialer, viewer membership.Viewer, m *metrics.Registry, log logr.Logger) *Coordinator {
	cfg = cfg.withDefaults()
	return &Coordinator{
		cfg: cfg, store: store, dialer: dialer, viewer: viewer, metrics: m, log: log.WithName("claim"),
		writes: &batcher{
			store: store, delay: cfg.BatchDelay, timeout: cfg.StoreTimeout, maxQueue: cfg.MaxOpenAttempts,
			interval: func() time.Duration { return perHostInterval(viewer, cfg.WritesPerSecond) }, metrics: m, keysInFlight: map[string]bool{},
		},
		open: map[string]*entry{}, unrecorded: map[*entry]bool{},
	}
}

// perHostInterval divides a fleet-wide rate evenly among the hosts of the epoch and returns one host's interval.
func perHostInterval(viewer membership.Viewer, perSecond float64) time.Duration {
	hosts := max(1, len(viewer.Epoch().Hosts))
	return time.Duration(float64(hosts) / perSecond * float64(time.Second))
}

// entry is an attempt of this host that has not reached a final state.
type entry struct {
	c    *Coordinator
	call Call
	key  string

	mu      sync.Mutex
	attempt Attempt
	// changed is closed and replaced when the phase changes.
	changed chan struct{}
	// found is the claim that the last conflict returned, or nil if the key was absent.
	found *peerv1.ClaimRecord
	// finalRecordBytes is the encoded record of the final state, to be written to the store.
	finalRecordBytes []byte
	// finalResponse is set by Done if the response is small enough to be recorded.
	finalResponse *peerv1.RecordedAnswer
	// recording is set while a write of the final state is pending.
	recording bool
}

// step applies an event to the attempt under the entry's lock.
func (e *entry) step(ev Event) Action {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stepLocked(ev)
}

func (e *entry) stepLocked(ev Event) Action {
	before := e.attempt.Phase
	next, action := e.c.cfg.policy.Step(e.attempt, ev, time.Now())
	e.attempt = next
	if next.Phase != before {
		close(e.changed)
		e.changed = make(chan struct{})
		if next.Phase == PhaseRefused || next.Phase == PhaseRecorded {
			e.c.remove(e)
		}
	}
	return action
}

// add adds an attempt to the table. It is called before the attempt's first store write, so that Ask finds the attempt
// as soon as another host can find its claim.
func (c *Coordinator) add(call Call) (*entry, Action, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) >= c.cfg.MaxOpenAttempts {
		return nil, Action{}, &UnavailableError{Op: "create", Cause: &OverloadError{What: "open claims", Limit: c.cfg.MaxOpenAttempts}}
	}
	if c.open[call.Attempt] != nil {
		return nil, Action{}, &OrderError{Attempt: call.Attempt, Phase: PhaseCreating, Call: "second Claim of the attempt"}
	}
	attempt, action := c.cfg.policy.Start(time.Now())
	e := &entry{c: c, call: call, key: storeKey(call), attempt: attempt, changed: make(chan struct{})}
	c.open[call.Attempt] = e
	return e, action, nil
}

// remove removes an attempt that has reached a final state. The caller holds e.mu; lock order: entry, then Coordinator.
func (c *Coordinator) remove(e *entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, e.call.Attempt)
	delete(c.unrecorded, e)
}

// Open returns the number of attempts that have not reached a final phase, and how many of them have a final state that
// is not in the store yet.
func (c *Coordinator) Open() (open, unrecorded int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open), len(c.unrecorded)
}

// Claim implements Service.
func (c *Coordinator) Claim(ctx context.Context, call Call) (Ticket, *Response, error) {
	e, action, err := c.add(call)
	if err != nil {
		c.countResult("refused_here")
		return nil, nil, err
	}
	for {
		switch action.Kind {
		case ActionCreate, ActionTakeOver:
			action = e.writeClaim(ctx)
		case ActionAsk:
			action = e.queryClaimingHost(ctx)
		case ActionGrant:
			c.countResult("granted")
			if c.cfg.policy.grantBeforeAcknowledgement {
				go e.writeClaim(context.WithoutCancel(ctx))
			}
			return &ticket{e}, nil, nil
		case ActionReplay:
			c.countResult("replayed")
			return nil, responseFromProto(e.recordedResponse()), nil
		default:
			err := e.refusalError(action.Refusal)
			c.countResult(refusalLabels[action.Refusal])
			return nil, nil, err
		}
	}
}

// writeClaim creates the claim, or takes it over in PhaseTakingOver.
func (e *entry) writeClaim(ctx context.Context) Action {
	e.mu.Lock()
	takeOver, revision := e.attempt.Phase == PhaseTakingOver, e.attempt.Revision
	e.mu.Unlock()
	if takeOver {
		e.c.metrics.Inc("claim_takeovers_total")
	}
	value, err := encode(newRecord(e.call, e.c.viewer.Self(), time.Now()))
	if err != nil {
		return e.step(Event{Kind: EventStoreFailed})
	}
	result := e.c.writes.submit(e.key, revision, value)
	select {
	case r := <-result:
		return e.handleClaimWrite(r)
	case <-ctx.Done():
	}
	e.step(Event{Kind: EventAbandoned})
	go func() { e.handleClaimWrite(<-result) }()
	return Action{Kind: ActionRefuse, Refusal: RefusalGivenUp}
}

// handleClaimWrite applies the result of the claim's write to the attempt.
func (e *entry) handleClaimWrite(r writeResult) Action {
	ev := Event{Kind: EventStoreFailed}
	switch {
	case r.err != nil:
		e.c.log.V(1).Info("failed to write claim", "workspace", e.call.Workspace, "attempt", e.call.Attempt, "cause", r.err)
	case r.ok:
		ev = Event{Kind: EventAcknowledged, Revision: r.revision}
	default:
		record, found := decode(r.current, e.call)
		ev = Event{Kind: EventConflict, Revision: r.current.ModRevision, Found: found}
		e.mu.Lock()
		e.found = record
		e.mu.Unlock()
	}
	action := e.step(ev)
	switch action.Kind {
	case ActionRelease:
		e.release()
		return Action{Kind: ActionRefuse, Refusal: RefusalGivenUp}
	case ActionNone:
		return Action{Kind: ActionRefuse, Refusal: RefusalGivenUp}
	}
	return action
}

// release submits the deletion of the claim of an attempt that did not run. The result may be ignored: as long as this
// process runs, Ask reports the attempt as given up.
func (e *entry) release() <-chan writeResult {
	e.mu.Lock()
	revision := e.attempt.Revision
	e.mu.Unlock()
	return e.c.writes.submit(e.key, revision, nil)
}

func (e *entry) recordedResponse() *peerv1.RecordedAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.found.GetAnswer()
}

// refusalLabels are the values of the label "result" of claim_results_total for refusals.
var refusalLabels = map[Refusal]string{
	RefusalUnavailable: "unavailable", RefusalInProgress: "in_progress", RefusalUnknown: "unknown",
	RefusalReusedKey: "reused_key", RefusalTooLarge: "too_large", RefusalGivenUp: "given_up", RefusalOrder: "order",
}

func (c *Coordinator) countResult(result string) {
	c.metrics.Inc("claim_results_total", metrics.L("result", result))
}

func (e *entry) refusalError(r Refusal) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	ws, key, attempt := e.call.Workspace, e.call.IdempotencyKey, e.call.Attempt
	switch r {
	case RefusalUnavailable:
		return &UnavailableError{Op: "write", Cause: &GivenUpError{Attempt: attempt, Reason: "the store did not acknowledge the claim"}}
	case RefusalInProgress:
		return &InProgressError{ws, key, e.found.GetHost().GetName(), e.found.GetAttempt()}
	case RefusalUnknown:
		return &UnknownOutcomeError{ws, key, e.found.GetHost().GetName(), e.found.GetAttempt(), "its response is not available"}
	case RefusalReusedKey:
		return &ReusedKeyError{ws, key}
	case RefusalTooLarge:
		return &ResponseTooLargeError{ws, key}
	case RefusalGivenUp:
		return &GivenUpError{Attempt: attempt, Reason: "another attempt requested the claim, or the caller canceled"}
	default:
		return &OrderError{Attempt: attempt, Phase: e.attempt.Phase, Call: "ticket call"}
	}
}
