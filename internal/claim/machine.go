package claim

import "time"

// Phase is the state of one attempt on its own host.
type Phase uint8

// Phases of an attempt. PhaseRefused and PhaseRecorded are final.
const (
	// PhaseCreating waits for the acknowledgement of the claim's creation.
	PhaseCreating Phase = iota
	// PhaseAsking waits for the answer of the host that holds the claim.
	PhaseAsking
	// PhaseTakingOver waits for the compare-and-swap that moves a given-up claim to this attempt.
	PhaseTakingOver
	// PhaseClaimed may dispatch.
	PhaseClaimed
	// PhaseDispatched has sent the call, or may have.
	PhaseDispatched
	// PhaseRecording has a final state that is not in the store yet.
	PhaseRecording
	// PhaseRecorded has its final state in the store.
	PhaseRecorded
	// PhaseRefused never ran the call and never will.
	PhaseRefused
)

// String returns the phase's name for logs.
func (p Phase) String() string {
	return [...]string{
		"creating", "asking", "taking-over", "claimed", "dispatched", "recording", "recorded", "refused",
	}[p]
}

// EventKind is what happened to an attempt.
type EventKind uint8

// Events of an attempt.
const (
	// EventAcknowledged: the pending store write took effect.
	EventAcknowledged EventKind = iota
	// EventConflict: the pending store write failed because the claim has changed; Found is what is there.
	EventConflict
	// EventStoreFailed: the pending store write has no definite result.
	EventStoreFailed
	// EventPeerAnswered: the host that holds the claim answered with Reply.
	EventPeerAnswered
	// EventPeerGone: the host that holds the claim is out of reach or runs as another incarnation.
	EventPeerGone
	// EventAsked: another attempt asks for this one, and the grace period is over.
	EventAsked
	// EventDispatching: the caller is about to send the call.
	EventDispatching
	// EventFinished: the caller has the answer.
	EventFinished
	// EventLost: the caller has no answer; the call may have run.
	EventLost
	// EventNotRun: the call was dispatched and certainly had no effect, and the caller will not send it again. It
	// is an event of its own, so that giving up a dispatched call takes this statement of its caller.
	EventNotRun
	// EventAbandoned: the caller gave up before sending the call.
	EventAbandoned
)

// Reply is what a claiming host says about an attempt.
type Reply uint8

// Replies of a claiming host.
const (
	ReplyRunning Reply = iota
	ReplyDone
	ReplyGivenUp
	ReplyUnknown
	// ReplyTooLarge: the call ran, and its answer exceeds the size bound.
	ReplyTooLarge
)

// FoundState is the state of a claim that another attempt left in the store.
type FoundState uint8

// States of a found claim.
const (
	// FoundNothing: the claim was released or swept meanwhile.
	FoundNothing FoundState = iota
	FoundInProgress
	FoundDone
	FoundTooLarge
	FoundUnknown
	// FoundOtherDigest: the key belongs to a different request.
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

// ActionKind is what the host has to do after a step.
type ActionKind uint8

// Actions.
const (
	ActionNone ActionKind = iota
	// ActionCreate writes the claim if the key is absent.
	ActionCreate
	// ActionTakeOver writes the claim if its revision is still Attempt.Revision.
	ActionTakeOver
	// ActionAsk asks the host that holds the claim.
	ActionAsk
	// ActionGrant gives the caller the ticket.
	ActionGrant
	// ActionReplay gives the caller the found answer.
	ActionReplay
	// ActionRefuse gives the caller the error that Action.Refusal names.
	ActionRefuse
	// ActionRecord writes the final state if the claim's revision is still Attempt.Revision.
	ActionRecord
	// ActionRelease deletes the claim if its revision is still Attempt.Revision.
	ActionRelease
	// ActionReply answers the asking host with Action.Reply.
	ActionReply
)

// Refusal is why a caller gets no ticket.
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
	// Revision of the claim: the one to compare with in the next write.
	Revision int64
	// ClaimedAt is when the acknowledgement arrived.
	ClaimedAt time.Time
	// Rounds counts the writes that met a conflict.
	Rounds int
	// Lost is set when the final state is "may have run".
	Lost bool
}

// Policy holds the limits of an attempt. The unexported fields break the protocol on purpose; tests set them to
// show that the checks notice.
type Policy struct {
	// DispatchLimit is the longest time between acknowledgement and dispatch. A process that was paused for
	// longer gives the attempt up. It must be far shorter than the retention time, after which the claim of a
	// host outside the epoch may be swept and made anew.
	DispatchLimit time.Duration
	// MaxRounds bounds the conflicts of one attempt.
	MaxRounds int

	grantBeforeAcknowledgement bool
	takeOverWithoutAsking      bool
	giveUpIsNotFinal           bool
	giveUpMayHaveRun           bool
}

// Start begins an attempt.
func (p Policy) Start(now time.Time) (Attempt, Action) {
	if p.grantBeforeAcknowledgement {
		return Attempt{Phase: PhaseClaimed, ClaimedAt: now}, Action{Kind: ActionGrant}
	}
	return Attempt{}, Action{Kind: ActionCreate}
}

// Step applies one event. It does no I/O and reads no clock.
func (p Policy) Step(a Attempt, e Event, now time.Time) (Attempt, Action) {
	if e.Kind == EventAsked {
		return p.asked(a)
	}
	switch a.Phase {
	case PhaseCreating, PhaseTakingOver:
		return p.pendingWrite(a, e, now)
	case PhaseAsking:
		return p.asking(a, e)
	case PhaseClaimed:
		return p.claimed(a, e, now)
	case PhaseDispatched:
		return p.dispatched(a, e)
	case PhaseRecording:
		return p.recording(a, e)
	case PhaseRefused:
		return p.refused(a, e)
	default:
		return a, misplaced()
	}
}

// pendingWrite handles an attempt whose claim is on its way to the store.
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
		return a, misplaced()
	}
}

// found decides by what another attempt left in the store.
func (p Policy) found(a Attempt, f FoundState) (Attempt, Action) {
	switch f {
	case FoundNothing:
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

// asking handles the answer of the host that holds the claim.
func (p Policy) asking(a Attempt, e Event) (Attempt, Action) {
	switch {
	case e.Kind == EventAbandoned:
		return refuse(a, RefusalGivenUp)
	case e.Kind == EventPeerGone:
		return refuse(a, RefusalUnknown)
	case e.Kind != EventPeerAnswered:
		return a, misplaced()
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
		return a, misplaced()
	}
}

// dispatched ends the call with what its caller knows. EventAbandoned says nothing about the call, so it is refused.
func (p Policy) dispatched(a Attempt, e Event) (Attempt, Action) {
	switch e.Kind {
	case EventFinished, EventLost:
		a.Phase, a.Lost = PhaseRecording, e.Kind == EventLost
		return a, Action{Kind: ActionRecord}
	case EventNotRun:
		a.Phase = PhaseRefused
		return a, Action{Kind: ActionRelease}
	case EventAbandoned:
		if p.giveUpMayHaveRun {
			a.Phase = PhaseRefused
			return a, Action{Kind: ActionRelease}
		}
		return a, misplaced()
	default:
		return a, misplaced()
	}
}

// recording repeats the final write until the store has it. After a conflict the claim was swept, which is only
// possible after the retention time, so there is nothing left to record.
func (p Policy) recording(a Attempt, e Event) (Attempt, Action) {
	switch e.Kind {
	case EventAcknowledged, EventConflict:
		a.Phase = PhaseRecorded
		return a, Action{Kind: ActionNone}
	case EventStoreFailed:
		return a, Action{Kind: ActionRecord}
	default:
		return a, misplaced()
	}
}

// refused keeps the attempt refused. A write that is acknowledged late is taken back; until then the claim names
// an attempt that this host no longer knows, which counts as given up.
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
		return a, misplaced()
	}
}

// asked answers another attempt. An attempt that is not dispatched is given up for good, which is what allows the
// other one to take the claim over. A dispatched one counts as running until its caller knows how the call ended.
func (p Policy) asked(a Attempt) (Attempt, Action) {
	reply := ReplyGivenUp
	switch a.Phase {
	case PhaseDispatched:
		reply = ReplyRunning
	case PhaseRecording, PhaseRecorded:
		reply = ReplyDone
		if a.Lost {
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

// misplaced refuses a call that does not fit the phase; the attempt stays as it is.
func misplaced() Action { return Action{Kind: ActionRefuse, Refusal: RefusalOrder} }
