package claim

import (
	"context"
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/metrics"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// queryClaimingHost asks the claiming host, which e.found names, for the state of its attempt.
func (e *entry) queryClaimingHost(ctx context.Context) Action {
	e.mu.Lock()
	found := e.found
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, e.c.cfg.AskTimeout)
	defer cancel()
	request := &peerv1.AskClaimRequest{
		From: e.c.viewer.Self().Proto(), Workspace: e.call.Workspace, IdempotencyKey: e.call.IdempotencyKey,
		Attempt: found.GetAttempt(), ClaimingIncarnation: found.GetHost().GetIncarnation(),
	}
	var response *peerv1.AskClaimResponse
	var err error
	if self := e.c.viewer.Self(); isSelf(self, found.GetHost()) {
		response, err = e.c.Ask(ctx, request)
	} else {
		response, err = peerv1.NewClaimsClient(e.c.dialer.Conn(found.GetHost().GetAddr())).Ask(ctx, request)
	}
	ev := eventFromReply(response, err)
	e.c.metrics.Inc("claim_asked_total", metrics.L("reply", replyLabel(response, err)))
	if response.GetAnswer() != nil && ev.Reply == ReplyDone {
		e.mu.Lock()
		found.Answer = response.GetAnswer()
		e.mu.Unlock()
	}
	return e.step(ev)
}

func isSelf(self host.ID, h *peerv1.HostID) bool {
	return h.GetName() == self.Name && h.GetIncarnation() == self.Incarnation
}

// eventFromReply translates a peer's reply into an event. The reply for a finished attempt contains no response if the
// response exceeds the size limit.
func eventFromReply(r *peerv1.AskClaimResponse, err error) Event {
	if err != nil {
		return Event{Kind: EventPeerGone}
	}
	ev := Event{Kind: EventPeerAnswered, Reply: ReplyUnknown}
	switch r.GetState() {
	case peerv1.AskClaimResponse_STATE_RUNNING:
		ev.Reply = ReplyRunning
	case peerv1.AskClaimResponse_STATE_GIVEN_UP:
		ev.Reply = ReplyGivenUp
	case peerv1.AskClaimResponse_STATE_DONE:
		ev.Reply = ReplyDone
		switch {
		case r.GetAnswer() == nil:
			ev.Reply = ReplyTooLarge
		case !isReplayable(r.GetAnswer()):
			ev.Reply = ReplyUnknown
		}
	}
	return ev
}

func replyLabel(r *peerv1.AskClaimResponse, err error) string {
	if err != nil {
		return "none"
	}
	return r.GetState().String()
}

// Ask implements the Claims gRPC service: it reports the state of an attempt of this incarnation. An attempt that is
// not in the table either did not run and never will, or has its final state in the store. The reply is "given up" in
// both cases; in the second one the compare-and-swap of the take-over fails and returns the final record.
func (c *Coordinator) Ask(ctx context.Context, r *peerv1.AskClaimRequest) (*peerv1.AskClaimResponse, error) {
	if r.GetClaimingIncarnation() != c.viewer.Self().Incarnation {
		return &peerv1.AskClaimResponse{State: peerv1.AskClaimResponse_STATE_UNKNOWN}, nil
	}
	c.mu.Lock()
	e := c.open[r.GetAttempt()]
	c.mu.Unlock()
	if e == nil {
		return &peerv1.AskClaimResponse{State: peerv1.AskClaimResponse_STATE_GIVEN_UP}, nil
	}
	e.awaitDispatch(ctx, c.cfg.DispatchGrace)

	e.mu.Lock()
	defer e.mu.Unlock()
	action := e.stepLocked(Event{Kind: EventAsked})
	response := &peerv1.AskClaimResponse{}
	switch action.Reply {
	case ReplyRunning:
		response.State = peerv1.AskClaimResponse_STATE_RUNNING
	case ReplyGivenUp:
		response.State = peerv1.AskClaimResponse_STATE_GIVEN_UP
	case ReplyDone:
		response.State, response.Answer = peerv1.AskClaimResponse_STATE_DONE, e.finalResponse
	default:
		response.State = peerv1.AskClaimResponse_STATE_UNKNOWN
	}
	return response, nil
}

// awaitDispatch waits until the attempt is dispatched or refused, for at most the grace period.
func (e *entry) awaitDispatch(ctx context.Context, grace time.Duration) {
	timer := time.NewTimer(grace)
	defer timer.Stop()
	for {
		e.mu.Lock()
		phase, changed := e.attempt.Phase, e.changed
		e.mu.Unlock()
		switch phase {
		case PhaseCreating, PhaseAsking, PhaseTakingOver, PhaseClaimed:
		default:
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
