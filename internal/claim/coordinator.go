package claim

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"

	"github.com/boragecourse/boragecourse/internal/defaults"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/peer"
	"github.com/boragecourse/boragecourse/internal/platform"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// Config holds the settings of a Coordinator. Zero values take the defaults.
type Config struct {
	// BatchDelay is how long a claim waits for others to share its store transaction. Default 3 ms: about the
	// latency of one store call, so grouping adds less than half to the latency of a claim.
	BatchDelay time.Duration
	// WritesPerSecond is the fleet's budget of store writes for claims. Default 200, a part of the store's several
	// hundred. The hosts of the epoch share it evenly; a host beyond its share puts more claims into each write.
	WritesPerSecond float64
	// StoreTimeout bounds one store transaction together with the repetitions after a lost answer. Default 2 s.
	StoreTimeout time.Duration
	// AskTimeout bounds the question to the claiming host. Default 2 s.
	AskTimeout time.Duration
	// DispatchGrace is how long an asked host waits for an attempt that is not dispatched yet before it gives
	// the attempt up. Default 250 ms: a claimed call is normally dispatched within a millisecond.
	DispatchGrace time.Duration
	// DispatchLimit is the longest time between acknowledgement and dispatch. Default 30 s.
	DispatchLimit time.Duration
	// Retention is how long final records are kept. Default 24 h. A key that is used again later runs again.
	Retention time.Duration
	// MaxAnswerBytes is the largest answer body that is recorded. Default 64 KiB.
	MaxAnswerBytes int
	// MaxOpen bounds the attempts of this host that are not final. Default 4096.
	MaxOpen int
	// RetryInterval is the pause between attempts to record final states that the store does not hold yet.
	// Default 1 s.
	RetryInterval time.Duration
	// SweepReadsPerSecond is the fleet's budget of store reads for the sweep. Default 5: one pass over the 4,096
	// shards takes 14 minutes.
	SweepReadsPerSecond float64

	policy Policy
}

// maxRounds bounds the conflicts of one attempt. Each round needs another attempt that gave the claim up.
const maxRounds = 8

func (c Config) withDefaults() Config {
	defaults.Set(&c.BatchDelay, 3*time.Millisecond)
	defaults.Set(&c.WritesPerSecond, 200)
	defaults.Set(&c.StoreTimeout, 2*time.Second)
	defaults.Set(&c.AskTimeout, 2*time.Second)
	defaults.Set(&c.DispatchGrace, 250*time.Millisecond)
	defaults.Set(&c.DispatchLimit, 30*time.Second)
	defaults.Set(&c.Retention, 24*time.Hour)
	defaults.Set(&c.MaxAnswerBytes, 64<<10)
	defaults.Set(&c.MaxOpen, 4096)
	defaults.Set(&c.RetryInterval, time.Second)
	defaults.Set(&c.SweepReadsPerSecond, 5)
	c.policy.DispatchLimit = c.DispatchLimit
	c.policy.MaxRounds = maxRounds
	return c
}

// Coordinator is the claim service of one host. It implements Service, the Claims grpc service and a suture
// service.
//
// A process makes one Coordinator and keeps it: an attempt that this incarnation does not know counts as given
// up, so a second Coordinator of the same incarnation would give up what the first one dispatched.
type Coordinator struct {
	peerv1.UnimplementedClaimsServer
	cfg     Config
	store   platform.Store
	dialer  peer.Dialer
	viewer  membership.Viewer
	metrics *metrics.Registry
	log     logr.Logger
	writes  *batcher

	mu         sync.Mutex
	open       map[string]*entry
	unrecorded map[*entry]bool
	shard      int
}

var (
	_ Service             = (*Coordinator)(nil)
	_ peerv1.ClaimsServer = (*Coordinator)(nil)
	_ suture.Service      = (*Coordinator)(nil)
)

// New returns a Coordinator. Its Claim works at once; Serve repeats unrecorded final states and sweeps.
func New(cfg Config, store platform.Store, dialer peer.Dialer, viewer membership.Viewer, m *metrics.Registry, log logr.Logger) *Coordinator {
	cfg = cfg.withDefaults()
	return &Coordinator{
		cfg: cfg, store: store, dialer: dialer, viewer: viewer, metrics: m, log: log.WithName("claim"),
		writes: &batcher{
			store: store, delay: cfg.BatchDelay, timeout: cfg.StoreTimeout, maxQueue: cfg.MaxOpen,
			interval: func() time.Duration { return perHost(viewer, cfg.WritesPerSecond) }, metrics: m, busy: map[string]bool{},
		},
		open: map[string]*entry{}, unrecorded: map[*entry]bool{},
	}
}

// perHost divides a fleet-wide rate among the hosts of the epoch and returns the interval of one host.
func perHost(viewer membership.Viewer, perSecond float64) time.Duration {
	hosts := max(1, len(viewer.Epoch().Hosts))
	return time.Duration(float64(hosts) / perSecond * float64(time.Second))
}

// entry is an attempt of this host that is not final.
type entry struct {
	c    *Coordinator
	call Call
	key  string

	mu      sync.Mutex
	attempt Attempt
	// changed is closed and replaced at each change of phase.
	changed chan struct{}
	// found is what the last conflict returned.
	found *peerv1.ClaimRecord
	// final is the record of the final state while it is not in the store.
	final []byte
	// answer is set from Done on.
	answer *peerv1.RecordedAnswer
	// recording is set while a write of the final state is in the store's hands.
	recording bool
}

// step applies an event to the attempt.
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
			e.c.forget(e)
		}
	}
	return action
}

// add enters an attempt into the table, before anything of it can be in the store.
func (c *Coordinator) add(call Call) (*entry, Action, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) >= c.cfg.MaxOpen {
		return nil, Action{}, &UnavailableError{Op: "create", Cause: &OverloadError{What: "open claims", Limit: c.cfg.MaxOpen}}
	}
	if c.open[call.Attempt] != nil {
		return nil, Action{}, &OrderError{Attempt: call.Attempt, Phase: PhaseCreating, Call: "second Claim of the attempt"}
	}
	attempt, action := c.cfg.policy.Start(time.Now())
	e := &entry{c: c, call: call, key: storeKey(call), attempt: attempt, changed: make(chan struct{})}
	c.open[call.Attempt] = e
	return e, action, nil
}

// forget removes a final attempt; the entry's lock is held. Lock order: entry, then Coordinator.
func (c *Coordinator) forget(e *entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, e.call.Attempt)
	delete(c.unrecorded, e)
}

// Open returns the number of attempts that are not final, and of those whose final state is not in the store.
func (c *Coordinator) Open() (open, unrecorded int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open), len(c.unrecorded)
}

// Claim implements Service.
func (c *Coordinator) Claim(ctx context.Context, call Call) (Ticket, *Answer, error) {
	e, action, err := c.add(call)
	if err != nil {
		c.count("refused_here")
		return nil, nil, err
	}
	for {
		switch action.Kind {
		case ActionCreate, ActionTakeOver:
			action = e.writeClaim(ctx)
		case ActionAsk:
			action = e.ask(ctx)
		case ActionGrant:
			c.count("granted")
			if c.cfg.policy.grantBeforeAcknowledgement {
				go e.writeClaim(context.WithoutCancel(ctx))
			}
			return &ticket{e}, nil, nil
		case ActionReplay:
			c.count("replayed")
			return nil, answerFromProto(e.replayed()), nil
		default:
			err := e.refusal(action.Refusal)
			c.count(refusalNames[action.Refusal])
			return nil, nil, err
		}
	}
}

// writeClaim creates the claim or takes it over, whichever the attempt's phase says.
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
		return e.written(r)
	case <-ctx.Done():
	}
	e.step(Event{Kind: EventAbandoned})
	go func() { e.written(<-result) }()
	return Action{Kind: ActionRefuse, Refusal: RefusalGivenUp}
}

// written feeds the result of the claim's write to the attempt.
func (e *entry) written(r writeResult) Action {
	ev := Event{Kind: EventStoreFailed}
	switch {
	case r.err != nil:
		e.c.log.V(1).Info("claim not written", "workspace", e.call.Workspace, "attempt", e.call.Attempt, "cause", r.err)
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

// release deletes the claim of an attempt that never ran. The result is not awaited: as long as this process
// lives, the claim counts as given up anyway.
func (e *entry) release() <-chan writeResult {
	e.mu.Lock()
	revision := e.attempt.Revision
	e.mu.Unlock()
	return e.c.writes.submit(e.key, revision, nil)
}

func (e *entry) replayed() *peerv1.RecordedAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.found.GetAnswer()
}

// refusalNames are the metric labels.
var refusalNames = map[Refusal]string{
	RefusalUnavailable: "unavailable", RefusalInProgress: "in_progress", RefusalUnknown: "unknown",
	RefusalReusedKey: "reused_key", RefusalTooLarge: "too_large", RefusalGivenUp: "given_up", RefusalOrder: "order",
}

func (c *Coordinator) count(result string) {
	c.metrics.Inc("claim_results_total", metrics.L("result", result))
}

func (e *entry) refusal(r Refusal) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	ws, key, attempt := e.call.Workspace, e.call.IdempotencyKey, e.call.Attempt
	switch r {
	case RefusalUnavailable:
		return &UnavailableError{Op: "write", Cause: &GivenUpError{Attempt: attempt, Reason: "the store did not acknowledge the claim"}}
	case RefusalInProgress:
		return &InProgressError{ws, key, e.found.GetHost().GetName(), e.found.GetAttempt()}
	case RefusalUnknown:
		return &UnknownOutcomeError{ws, key, e.found.GetHost().GetName(), e.found.GetAttempt(), "no answer is known"}
	case RefusalReusedKey:
		return &ReusedKeyError{ws, key}
	case RefusalTooLarge:
		return &TooLargeError{ws, key}
	case RefusalGivenUp:
		return &GivenUpError{Attempt: attempt, Reason: "another attempt asked for the claim, or the caller left"}
	default:
		return &OrderError{Attempt: attempt, Phase: e.attempt.Phase, Call: "this call"}
	}
}
