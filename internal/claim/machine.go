package claim

import "time"

// Phase is the state of one attempt on its own host.
type Phase uint8

// Phases of an attempt. PhaseRefused and PhaseRecorded are final.
const (
	// PhaseCreating: the attempt waits for the acknowledgement of the claim's creation.
	PhaseCreating Phase = iota
	// PhaseAsking: the attempt waits for the reply of the claiming host, the host whose attempt holds the claim.
	PhaseAsking
	// PhaseTakingOver: the attempt waits for the compare-and-swap that replaces another attempt's given-up claim with
	// its own.
	PhaseTakingOver
	// PhaseClaimed: the attempt holds the claim and may dispatch the call.
	PhaseClaimed
	// PhaseDispatched: the call was sent, or may have been.
	PhaseDispatched
	// PhaseRecording: the attempt has a final state that is not in the store yet.
	PhaseRecording
	// PhaseRecorded: the final state is in the store.
	PhaseRecorded
	// PhaseRefused: the attempt has not run the call and never will.
	PhaseRefused
)

// String returns the name of the phase for error messages.
func (p Phase) String() string {
	return [...]string{
		"creating", "asking", "taking-over", "claimed", "dispatched", "recording", "recorded", "refused",
	}[p]
}

// EventKind distinguishes the inputs of the state machine of an attempt.
type EventKind uint8

// Events of an attempt.
const (
	// EventAcknowledged: the pending store write took effect.
	EventAcknowledged EventKind = iota
	// EventConflict: the pending store write failed because the claim has changed; Found is its present state.
	EventConflict
	// EventStoreFailed: the pending store write has no definite result.
	EventStoreFailed
	// EventPeerAnswered: the claiming host replied with Reply.
	EventPeerAnswered
	// EventPeerGone: the claiming host is unreachable, or its address serves another incarnation.
	EventPeerGone
	// EventAsked: another attempt asked for the state of this one, and the grace period is over.
	EventAsked
	// EventDispatching: the caller is about to send the call.
	EventDispatching
	// EventFinished: the caller has the response.
	EventFinished
	// EventLost: the caller has no response; the call may have run.
	EventLost
	// EventNotRun: the call was dispatched but had no effect, and the caller will not send it again. It is separate
	// from EventAbandoned, so that a dispatched call is given up only if its caller states that it did not run.
	EventNotRun
	// EventAbandoned: the caller gave up before sending the call.
	EventAbandoned
)

// Reply is the state of an attempt as its own host reports it.
type Reply uint8

// Replies of a claiming host.
const (
	ReplyRunning Reply = iota
	ReplyDone
	ReplyGivenUp
	ReplyUnknown
	// ReplyTooLarge: the call ran, and its response exceeds the size limit.
	ReplyTooLarge
)

// FoundState is the state of a claim that another attempt left in the store.
type FoundState uint8

// States of a found claim.
const (
	// FoundAbsent: the claim was released or swept in the meantime.
	FoundAbsent FoundState = iota
	FoundInProgress
	FoundDone
	FoundTooLarge
	FoundUnknown
	// FoundOtherDigest: the claim belongs to a request with another digest.
	FoundOtherDigest
)

// Event is the input of a step.
type Event struct {
	Kind EventKind
	// Revision is the claim's revision after EventAcknowledged and EventConflict.
	Revision int64
	Found    FoundState
	Reply    Reply
}

// ActionKind selects what the host does after a step of the state machine.
type ActionKind uint8

// Actions that the host performs after a step.
const (
	ActionNone ActionKind = iota
	// ActionCreate writes the claim if the key is absent.
	ActionCreate
	// ActionTakeOver writes the claim if its revision is still Attempt.Revision.
	ActionTakeOver
	// ActionAsk asks the claiming host for the state of its attempt.
	ActionAsk
	// ActionGrant returns a ticket to the caller.
	ActionGrant
	// ActionReplay returns the recorded response to the caller.
	ActionReplay
	// ActionRefuse returns the error for Action.Refusal to the caller.
	ActionRefuse
	// ActionRecord writes the final state if the claim's revision is still Attempt.Revision.
	ActionRecord
	// ActionRelease deletes the claim if its revision is still Attempt.Revision.
	ActionRelease
	// ActionReply replies to the asking host with Action.Reply.
	ActionReply
)

// Refusal is the reason why a caller receives no ticket.
type Refusal uint8

// Refusals.
const (
	RefusalUnavailable Refusal = iota
	RefusalInProgress
	RefusalUnknown
	RefusalReusedKey
	RefusalTooLarge
	RefusalGivenUp
	RefusalOrder
)

// Action is the output of a step.
type Action struct {
	Kind    ActionKind
	Refusal Refusal
	Reply   Reply
}

// Attempt is the state of one attempt. The zero value is an attempt whose creation is pending.
type Attempt struct {
	Phase Phase
	// Revision is the claim's revision that the next write compares with.
	Revision int64
	// ClaimedAt is when the store's acknowledgement was received.
	ClaimedAt time.Time
	// Rounds counts the writes that failed with a conflict.
	Rounds int
	// OutcomeUnknown is set when the final state is "may have run".
	OutcomeUnknown bool
}

// Policy holds the limits of an attempt. Each unexported field disables one rule of the protocol; tests set them to
// verify that their checks detect the violation.
type Policy struct {
	// DispatchLimit is the longest time between acknowledgement and dispatch; a process that was paused for longer
	// gives the attempt up. It must be far shorter than the retention time, after which the claim of a host outside
	// the epoch may be swept and created again by another attempt.
	DispatchLimit time.Duration
	// MaxRounds bounds the write conflicts of one attempt.
	MaxRounds int

	grantBeforeAcknowledgement bool
	takeOverWithoutAsking      bool
	giveUpIsNotFinal           bool
	giveUpMayHaveRun           bool
}

// Start returns a new attempt and its first action.
func (p Policy) Start(now time.Time) (Attempt, Action) {
	if p.grantBeforeAcknowledgement {
		return Attempt{Phase: PhaseClaimed, ClaimedAt: now}, Action{Kind: ActionGrant}
	}
	return Attempt{}, Action{Kind: ActionCreate}
}

// Step applies one event and returns the new state and the action to perform. It does no I/O and reads no clock.
func (p Policy) Step(a Attempt, e Event, now time.Time) (Attempt, Action) {
	if e.Kind == EventAsked {
		return p.replyToAsk(a)
	}
	switch a.Phase {
	case PhaseCreating, PhaseTakingOver:
		return p.pendingWrite(a, e, now)
	case PhaseAsking:
		return p.handleClaimingHostReply(a, e)
	case PhaseClaimed:
		return p.claimed(a, e, now)
	case PhaseDispatched:
		return p.dispatched(a, e)
	case PhaseRecording:
		return p.recording(a, e)
	case PhaseRefused:
		return p.refused(a, e)
	default:
		return a, outOfOrder()
	}
}

// pendingWrite handles events of an attempt whose claim is being written to the store.
func (p Policy) pendingWrite(a Attempt, e Event, now time.Time) (Attempt, Action) {
	switch e.Kind {
	case EventAcknowledged:
		a.Phase, a.Revision, a.ClaimedAt = PhaseClaimed, e.Revision, now
		return a, Action{Kind: ActionGrant}
	case EventConflict:
		a.Rounds++
		a.Revision = e.Revision
		if a.Rounds > p.MaxRounds {
			return refuse(a, RefusalInProgress)
		}
		return p.found(a, e.Found)
	case EventStoreFailed:
		return refuse(a, RefusalUnavailable)
	case EventAbandoned:
		return refuse(a, RefusalGivenUp)
	default:
		return a, outOfOrder()
	}
}

// found handles the state of the claim that a conflict returned.
func (p Policy) found(a Attempt, f FoundState) (Attempt, Action) {
	switch f {
	case FoundAbsent:
		a.Phase, a.Revision = PhaseCreating, 0
		return a, Action{Kind: ActionCreate}
	case FoundInProgress:
		if p.takeOverWithoutAsking {
			a.Phase = PhaseTakingOver
			return a, Action{Kind: ActionTakeOver}
		}
		a.Phase = PhaseAsking
		return a, Action{Kind: ActionAsk}
	case FoundDone:
		a.Phase = PhaseRefused
		return a, Action{Kind: ActionReplay}
	case FoundTooLarge:
		return refuse(a, RefusalTooLarge)
	case FoundOtherDigest:
		return refuse(a, RefusalReusedKey)
	default:
		return refuse(a, RefusalUnknown)
	}
}

// handleClaimingHostReply handles the events of an attempt in PhaseAsking, which waits for the claiming host to reply.
func (p Policy) handleClaimingHostReply(a Attempt, e Event) (Attempt, Action) {
	switch {
	case e.Kind == EventAbandoned:
		return refuse(a, RefusalGivenUp)
	case e.Kind == EventPeerGone:
		return refuse(a, RefusalUnknown)
	case e.Kind != EventPeerAnswered:
		return a, outOfOrder()
	}
	switch e.Reply {
	case ReplyGivenUp:
		a.Phase = PhaseTakingOver
		return a, Action{Kind: ActionTakeOver}
	case ReplyDone:
		a.Phase = PhaseRefused
		return a, Action{Kind: ActionReplay}
	case ReplyTooLarge:
		return refuse(a, RefusalTooLarge)
	case ReplyRunning:
		return refuse(a, RefusalInProgress)
	default:
		return refuse(a, RefusalUnknown)
	}
}

func (p Policy) claimed(a Attempt, e Event, now time.Time) (Attempt, Action) {
	switch e.Kind {
	case EventDispatching:
		if now.Sub(a.ClaimedAt) > p.DispatchLimit {
			a.Phase = PhaseRefused
			return a, Action{Kind: ActionRelease, Refusal: RefusalGivenUp}
		}
		a.Phase = PhaseDispatched
		return a, Action{Kind: ActionNone}
	case EventAbandoned:
		a.Phase = PhaseRefused
		return a, Action{Kind: ActionRelease}
	default:
		return a, outOfOrder()
	}
}

// dispatched handles the caller's report of how the call ended. EventAbandoned does not state whether the call ran, so
// it is refused.
func (p Policy) dispatched(a Attempt, e Event) (Attempt, Action) {
	switch e.Kind {
	case EventFinished, EventLost:
		a.Phase, a.OutcomeUnknown = PhaseRecording, e.Kind == EventLost
		return a, Action{Kind: ActionRecord}
	case EventNotRun:
		a.Phase = PhaseRefused
		return a, Action{Kind: ActionRelease}
	case EventAbandoned:
		if p.giveUpMayHaveRun {
			a.Phase = PhaseRefused
			return a, Action{Kind: ActionRelease}
		}
		return a, outOfOrder()
	default:
		return a, outOfOrder()
	}
}

// recording retries the final write until the store has it. A conflict means that the claim was swept, which happens
// only after the retention time, so the final state is no longer needed.
func (p Policy) recording(a Attempt, e Event) (Attempt, Action) {
	switch e.Kind {
	case EventAcknowledged, EventConflict:
		a.Phase = PhaseRecorded
		return a, Action{Kind: ActionNone}
	case EventStoreFailed:
		return a, Action{Kind: ActionRecord}
	default:
		return a, outOfOrder()
	}
}

// refused keeps the attempt refused. A claim write that is acknowledged late is released; until then the claim names an
// attempt that is no longer in this host's table, which Ask reports as given up.
func (p Policy) refused(a Attempt, e Event) (Attempt, Action) {
	switch e.Kind {
	case EventAcknowledged:
		a.Revision = e.Revision
		return a, Action{Kind: ActionRelease}
	case EventDispatching:
		return a, Action{Kind: ActionRefuse, Refusal: RefusalGivenUp}
	case EventConflict, EventStoreFailed, EventAbandoned, EventPeerAnswered, EventPeerGone:
		return a, Action{Kind: ActionNone}
	default:
		return a, outOfOrder()
	}
}

// replyToAsk replies to another attempt. An attempt that is not dispatched is given up permanently, so that the other
// attempt may take over the claim. A dispatched attempt is reported as running until its caller knows how the call
// ended.
func (p Policy) replyToAsk(a Attempt) (Attempt, Action) {
	reply := ReplyGivenUp
	switch a.Phase {
	case PhaseDispatched:
		reply = ReplyRunning
	case PhaseRecording, PhaseRecorded:
		reply = ReplyDone
		if a.OutcomeUnknown {
			reply = ReplyUnknown
		}
	default:
		if !p.giveUpIsNotFinal {
			a.Phase = PhaseRefused
		}
	}
	return a, Action{Kind: ActionReply, Reply: reply}
}

func refuse(a Attempt, r Refusal) (Attempt, Action) {
	a.Phase = PhaseRefused
	return a, Action{Kind: ActionRefuse, Refusal: r}
}

// outOfOrder refuses an event that is not valid in the attempt's phase; the attempt does not change.
func outOfOrder() Action { return Action{Kind: ActionRefuse, Refusal: RefusalOrder} }
