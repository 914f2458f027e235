package claim

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true", "rapid.checks": "50000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

// brokenPolicies each disable one rule of the protocol. Every check of this package must detect each of them.
var brokenPolicies = map[string]Policy{
	"dispatch before the acknowledgement": {grantBeforeAcknowledgement: true},
	"take-over without asking":            {takeOverWithoutAsking: true},
	"give-up that is not final":           {giveUpIsNotFinal: true},
	"give-up of a call that may have run": {giveUpMayHaveRun: true},
}

const (
	modelAttempts = 3
	maxFailures   = 8
)

// storeCall is a pending store write, before or after it took effect.
type storeCall struct {
	compare int64
	state   FoundState
	applied bool
	event   Event
	// owner is the attempt named in the claim that a conflict returned.
	owner int
}

// model executes the state machine with the transitions of spec/claim.pml: attempts 0 and 2 on host 0, attempt 1 on
// host 1.
type model struct {
	policy     Policy
	now        time.Time
	attempts   [modelAttempts]Attempt
	asking     [modelAttempts]bool
	calls      [modelAttempts]*storeCall
	owner      [modelAttempts]int
	lateWrites []func()
	sent       [modelAttempts]bool
	refused    [modelAttempts]bool
	dead       [2]bool
	// failures is how many store calls may still fail. Without a limit, most schedules fail all attempts before a
	// second one makes progress.
	failures int

	recordState FoundState
	recordOwner int
	revision    int64
	modRevision int64

	runs, ran int
	seen      map[string]int
	violation string
}

type modelStep struct {
	name string
	do   func()
}

func newModel(p Policy) *model {
	p.DispatchLimit, p.MaxRounds = time.Second, 2
	m := &model{policy: p, ran: -1, seen: map[string]int{}}
	for i := range m.attempts {
		a, action := p.Start(m.now)
		m.attempts[i] = a
		if action.Kind == ActionGrant {
			m.calls[i] = &storeCall{state: FoundInProgress}
		}
		m.perform(i, action)
	}
	return m
}

func (m *model) step(i int, e Event) {
	a, action := m.policy.Step(m.attempts[i], e, m.now)
	m.attempts[i] = a
	m.perform(i, action)
}

func (m *model) perform(i int, action Action) {
	switch action.Kind {
	case ActionCreate:
		m.calls[i] = &storeCall{state: FoundInProgress}
	case ActionTakeOver:
		m.seen["take over"]++
		m.calls[i] = &storeCall{compare: m.attempts[i].Revision, state: FoundInProgress}
	case ActionRecord:
		state := FoundDone
		if m.attempts[i].OutcomeUnknown {
			state = FoundUnknown
		}
		m.calls[i] = &storeCall{compare: m.attempts[i].Revision, state: state}
	case ActionRelease:
		m.calls[i] = &storeCall{compare: m.attempts[i].Revision, state: FoundAbsent}
	case ActionAsk:
		m.asking[i] = true
	case ActionReplay:
		m.seen["replay"]++
		if m.ran != m.owner[i] {
			m.violation = fmt.Sprintf("attempt %d replays the response of attempt %d, but attempt %d ran", i, m.owner[i], m.ran)
		}
	}
}

func (m *model) storeApply(i int, c *storeCall) {
	c.applied = true
	if m.modRevision != c.compare {
		own := m.recordOwner == i && m.recordState == c.state
		c.event = Event{Kind: EventConflict, Revision: m.modRevision, Found: m.recordState}
		c.owner = m.recordOwner
		if own {
			c.event = Event{Kind: EventAcknowledged, Revision: m.modRevision}
		}
		return
	}
	m.revision++
	m.recordState, m.recordOwner, m.modRevision = c.state, i, m.revision
	if c.state == FoundAbsent {
		m.modRevision = 0
	}
	c.event = Event{Kind: EventAcknowledged, Revision: m.modRevision}
}

// ask models Coordinator.Ask: an attempt in a final phase is not in the table and is reported as given up.
func (m *model) ask(i int) {
	m.asking[i] = false
	owner := m.owner[i]
	if m.dead[owner%2] {
		m.step(i, Event{Kind: EventPeerGone})
		return
	}
	reply := ReplyGivenUp
	if phase := m.attempts[owner].Phase; phase != PhaseRefused && phase != PhaseRecorded {
		a, action := m.policy.Step(m.attempts[owner], Event{Kind: EventAsked}, m.now)
		m.attempts[owner] = a
		reply = action.Reply
	}
	m.step(i, Event{Kind: EventPeerAnswered, Reply: reply})
}

// enabled returns the steps that are possible in the present state.
func (m *model) enabled() []modelStep {
	var steps []modelStep
	add := func(name string, do func()) { steps = append(steps, modelStep{name, do}) }
	for i := range m.attempts {
		if m.dead[i%2] {
			continue
		}
		if c := m.calls[i]; c != nil {
			m.storeSteps(i, c, add)
		}
		if m.asking[i] {
			add("Ask", func() { m.ask(i) })
			add("PeerGone", func() { m.asking[i] = false; m.step(i, Event{Kind: EventPeerGone}) })
		}
		switch m.attempts[i].Phase {
		case PhaseClaimed:
			add("Dispatching", func() { m.step(i, Event{Kind: EventDispatching}) })
			add("Abandoned", func() { m.step(i, Event{Kind: EventAbandoned}) })
		case PhaseDispatched:
			m.dispatchedSteps(i, add)
		}
	}
	for n, apply := range m.lateWrites {
		add("LateWrite", func() { m.lateWrites = append(m.lateWrites[:n:n], m.lateWrites[n+1:]...); apply() })
	}
	return steps
}

// dispatchedSteps adds the steps of a dispatched call: a server runs it, or all servers refuse it. The caller may also
// wrongly abandon a call that ran, which the state machine must refuse.
func (m *model) dispatchedSteps(i int, add func(string, func())) {
	switch {
	case m.refused[i]:
		add("NotRun", func() { m.seen["not run"]++; m.step(i, Event{Kind: EventNotRun}) })
	case m.sent[i]:
		add("Finished", func() { m.step(i, Event{Kind: EventFinished}) })
		add("Lost", func() { m.step(i, Event{Kind: EventLost}) })
		add("Abandoned", func() { m.step(i, Event{Kind: EventAbandoned}) })
	default:
		add("Run", func() { m.run(i) })
		add("AllRefuse", func() { m.refused[i] = true })
	}
}

func (m *model) storeSteps(i int, c *storeCall, add func(string, func())) {
	if !c.applied {
		add("StoreApply", func() { m.storeApply(i, c) })
	} else {
		add("StoreAnswer", func() { m.calls[i] = nil; m.owner[i] = c.owner; m.step(i, c.event) })
	}
	if m.failures == 0 {
		return
	}
	add("StoreFailed", func() {
		m.seen["store failed"]++
		m.failures--
		m.calls[i] = nil
		if !c.applied {
			m.lateWrites = append(m.lateWrites, func() { m.storeApply(i, c) })
		}
		m.step(i, Event{Kind: EventStoreFailed})
	})
}

func (m *model) run(i int) {
	m.sent[i] = true
	m.runs++
	m.ran = i
	m.seen["run"]++
	if slices.Contains(m.refused[:], true) {
		m.seen["run after not run"]++
	}
	if m.runs > 1 {
		m.violation = "the call ran twice"
	}
}

// explore runs one schedule, in which host 0 crashes at a random step. choose returns a number in [0, n).
func (m *model) explore(choose func(n int) int) {
	crashStep := choose(60)
	m.failures = choose(maxFailures)
	for n := range 80 {
		if n == crashStep {
			m.dead[0] = true
		}
		steps := m.enabled()
		if len(steps) == 0 || m.violation != "" {
			return
		}
		steps[choose(len(steps))].do()
	}
}

// Guards against a schedule of the transitions in spec/claim.pml in which the Go state machine runs a call twice or
// replays the response of an attempt that did not run.
func TestMachineRunsTheCallAtMostOnce(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(Policy{})
		m.explore(func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "choice") })
		if m.violation != "" {
			rt.Fatal(m.violation)
		}
		for k, v := range m.seen {
			seen[k] += v
		}
	})
	t.Log(seen)
	g := NewWithT(t)
	for _, k := range []string{"run", "replay", "take over", "store failed", "not run", "run after not run"} {
		g.Expect(seen[k]).To(BeNumerically(">", 50), k)
	}
}

// Guards against a model check that does not detect violations of the protocol.
func TestMachineCheckDetectsBrokenPolicies(t *testing.T) {
	for name, policy := range brokenPolicies {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			for range 20000 {
				m := newModel(policy)
				m.explore(rng.IntN)
				if m.violation != "" {
					return
				}
			}
			t.Fatal("violation not detected in 20000 schedules")
		})
	}
}
