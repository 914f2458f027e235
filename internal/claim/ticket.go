package claim

import (
	"context"
	"sync"
	"time"

	"github.com/boragecourse/boragecourse/internal/metrics"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// ticket is the Ticket of an attempt of this host.
type ticket struct{ e *entry }

// Dispatching implements Ticket.
func (t *ticket) Dispatching() error {
	action := t.e.step(Event{Kind: EventDispatching})
	switch action.Kind {
	case ActionNone:
		return nil
	case ActionRelease:
		t.e.release()
		t.e.c.countResult("dispatch_too_late")
		return &GivenUpError{Attempt: t.e.call.Attempt, Reason: "the dispatch limit has passed since the claim"}
	default:
		if action.Refusal == RefusalGivenUp {
			t.e.c.countResult("given_up")
		}
		return t.e.refusalError(action.Refusal)
	}
}

// Done implements Ticket. After an *UnrecordedError this host keeps the response in memory and Serve retries the write.
func (t *ticket) Done(ctx context.Context, a Response) error {
	record := t.e.finalRecord(peerv1.ClaimRecord_STATE_DONE)
	response := responseToProto(a)
	if len(a.Body) <= t.e.c.cfg.MaxResponseBytes {
		record.Answer = response
	} else {
		record.State = peerv1.ClaimRecord_STATE_DONE_TOO_LARGE
		t.e.c.metrics.Inc("claim_answers_too_large_total")
		response = nil
	}
	return t.finish(ctx, EventFinished, record, response)
}

// Unknown implements Ticket. After an *UnrecordedError this host keeps the state in memory and Serve retries the write.
func (t *ticket) Unknown(ctx context.Context) error {
	return t.finish(ctx, EventLost, t.e.finalRecord(peerv1.ClaimRecord_STATE_UNKNOWN), nil)
}

// GiveUp implements Ticket. The attempt is given up also after an *UnavailableError, but the store may still hold the
// claim then; other hosts learn from this host that the attempt was given up.
func (t *ticket) GiveUp(ctx context.Context) error {
	return t.giveUp(ctx, EventAbandoned)
}

// NotRun implements Ticket.
func (t *ticket) NotRun(ctx context.Context) error {
	return t.giveUp(ctx, EventNotRun)
}

// giveUp moves the attempt to PhaseRefused and releases its claim. If the transaction of the release fails in spite of
// its retries, the release is not repeated and the claim remains in the store; other hosts that find the claim learn
// from this host that the attempt was given up. The release compares the revision, so it never deletes another
// attempt's claim.
func (t *ticket) giveUp(ctx context.Context, kind EventKind) error {
	action := t.e.step(Event{Kind: kind})
	switch action.Kind {
	case ActionNone:
		return nil
	case ActionRelease:
		if kind == EventNotRun {
			t.e.c.countResult("not_run")
		}
	default:
		return t.e.refusalError(action.Refusal)
	}
	select {
	case r := <-t.e.release():
		if r.err != nil {
			return &UnavailableError{Op: "release", Cause: r.err}
		}
		return nil
	case <-ctx.Done():
		return &UnavailableError{Op: "release", Cause: ctx.Err()}
	}
}

func (e *entry) finalRecord(state peerv1.ClaimRecord_State) *peerv1.ClaimRecord {
	r := newRecord(e.call, e.c.viewer.Self(), time.Now())
	r.State = state
	return r
}

// finish stores the final state in memory and then writes it to the store.
func (t *ticket) finish(ctx context.Context, kind EventKind, record *peerv1.ClaimRecord, finalResponse *peerv1.RecordedAnswer) error {
	e := t.e
	value, err := encode(record)
	if err != nil {
		return err
	}
	e.mu.Lock()
	action := e.stepLocked(Event{Kind: kind})
	if action.Kind == ActionRecord {
		e.finalRecordBytes, e.finalResponse = value, finalResponse
	}
	e.mu.Unlock()
	if action.Kind != ActionRecord {
		return e.refusalError(action.Refusal)
	}
	e.c.mu.Lock()
	e.c.unrecorded[e] = true
	e.c.mu.Unlock()

	done := make(chan error, 1)
	go func() { done <- e.record() }()
	select {
	case err = <-done:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		return &UnrecordedError{Attempt: e.call.Attempt, Cause: err}
	}
	return nil
}

// record writes the final state once; Serve retries after a failure.
func (e *entry) record() error {
	e.mu.Lock()
	if e.recording || e.attempt.Phase != PhaseRecording {
		e.mu.Unlock()
		return nil
	}
	e.recording = true
	revision, value := e.attempt.Revision, e.finalRecordBytes
	e.mu.Unlock()

	r := <-e.c.writes.submit(e.key, revision, value)

	ev := Event{Kind: EventAcknowledged, Revision: r.revision}
	switch {
	case r.err != nil:
		ev.Kind = EventStoreFailed
		e.c.metrics.Inc("claim_record_failures_total")
	case !r.ok:
		ev.Kind = EventConflict
		e.c.metrics.Inc("claim_record_conflicts_total")
		e.c.log.Info("claim changed before its final state was recorded", "workspace", e.call.Workspace,
			"attempt", e.call.Attempt)
	}
	e.mu.Lock()
	e.recording = false
	e.stepLocked(ev)
	e.mu.Unlock()
	return r.err
}

// recordAll retries the writes of all final states that the store has not acknowledged.
func (c *Coordinator) recordAll() {
	c.mu.Lock()
	entries := make([]*entry, 0, len(c.unrecorded))
	for e := range c.unrecorded {
		entries = append(entries, e)
	}
	c.mu.Unlock()
	c.metrics.Set("claim_unrecorded", int64(len(entries)))
	var running sync.WaitGroup
	for _, e := range entries {
		c.metrics.Inc("claim_store_retries_total", metrics.L("reason", "final_state"))
		running.Go(func() { _ = e.record() })
	}
	running.Wait()
}
