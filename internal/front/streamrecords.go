package front

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/internal/outcome"
	"github.com/boragecourse/boragecourse/internal/streamversion"
	"github.com/boragecourse/boragecourse/internal/wait"
)

const (
	// versionRecordTimeout bounds the write that a stream waits for before its first event.
	versionRecordTimeout = 400 * time.Millisecond
	// recordPause is the time between two writes of records, which share a call.
	recordPause = 50 * time.Millisecond
	// recordsPerCall is the number of writes that the store accepts in one call.
	recordsPerCall = 32
	// maxRecords bounds the records that wait for the store. The oldest are dropped.
	maxRecords = 4096
)

// awaitedRecord is the record of a stream that waits for it until a time. written takes the result.
type awaitedRecord struct {
	streamversion.Entry
	until   time.Time
	written chan error
}

// recordStreams queues the records of the streams of a service if it has several versions. Those of the base are recorded as well, for
// the time when it is no longer assumed. v.mu must be held.
func (v *streamVersions) recordStreams(service string, s *serviceVersions) {
	if s.Single(v.now()) {
		return
	}
	v.unstored = append(v.unstored, v.ledger.TakeUnrecorded(service)...)
	if over := len(v.unstored) - maxRecords; over > 0 {
		v.metrics.Add("stream_records_dropped", int64(over))
		v.unstored = slices.Delete(v.unstored, 0, over)
	}
	if len(v.unstored) > 0 {
		v.wakeWriter()
	}
}

func (v *streamVersions) wakeWriter() {
	select {
	case v.wake <- struct{}{}:
	default:
	}
}

// writesFail reports whether the last record was not written in time.
func (v *streamVersions) writesFail() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.failing
}

// recordFirst starts to record the version of a stream whose caller must not get an event before, and returns the record. It returns
// nil if the stream needs none. earlier is the version that was to be recorded for a run of the stream without an event, or empty.
func (v *streamVersions) recordFirst(s streamversion.Stream, version, earlier string) *awaitedRecord {
	v.mu.Lock()
	defer v.mu.Unlock()
	set := v.sets[s.Service]
	if set == nil || !set.RecordedFirst(version) && (earlier == "" || earlier == version) {
		return nil
	}
	r := &awaitedRecord{
		Entry: streamversion.Entry{Stream: s, Version: version}, until: v.now().Add(versionRecordTimeout), written: make(chan error, 1),
	}
	if v.failing {
		r.written <- &NotRecordedError{}
		return r
	}
	v.awaited = append(v.awaited, r)
	v.wakeWriter()
	return r
}

// NotRecordedError reports a record that is certainly not in the store. Cause is nil if no write was attempted.
type NotRecordedError struct{ Cause error }

// Error implements error.
func (e *NotRecordedError) Error() string {
	if e.Cause != nil {
		return "stream not recorded: " + e.Cause.Error()
	}
	return "stream not recorded: the store does not take records in time"
}

// Unwrap returns the cause.
func (e *NotRecordedError) Unwrap() error { return e.Cause }

// await waits until a record is written. Errors other than *NotRecordedError leave open whether it is, or will be.
func (v *streamVersions) await(ctx context.Context, r *awaitedRecord) error {
	select {
	case err := <-r.written:
		return err
	default:
	}
	timer := time.NewTimer(r.until.Sub(v.now()))
	defer timer.Stop()
	select {
	case err := <-r.written:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-timer.C:
	}
	v.mu.Lock()
	v.failing = true
	v.takeAwaited(0)
	v.mu.Unlock()
	select {
	case err := <-r.written:
		return err
	default:
		return context.DeadlineExceeded
	}
}

// takeAwaited removes up to n of the awaited records and returns them, after it has reported those that are not awaited any more. v.mu
// must be held.
func (v *streamVersions) takeAwaited(n int) []*awaitedRecord {
	now := v.now()
	v.awaited = slices.DeleteFunc(v.awaited, func(r *awaitedRecord) bool {
		late := !now.Before(r.until)
		if late {
			r.written <- &NotRecordedError{}
		}
		return late
	})
	taken := slices.Clone(v.awaited[:min(len(v.awaited), n)])
	v.awaited = slices.Delete(v.awaited, 0, len(taken))
	return taken
}

// recordFirst starts to record the version of a stream that is about to run at a reservation, if its caller must not get an event
// before.
func (f *Front) recordFirst(x *call, p *reservation) {
	if x.software == "" && x.route.Repeatable() {
		p.record = f.versions.recordFirst(x.stream(), p.server.Software, x.recorded)
	}
}

// awaitRecord waits for the record of the stream that is about to run at a reservation. If the store does not take it, and there are
// servers of the base, the stream is bound to that version, for which it needs no record, and awaitRecord returns false. If the store
// may hold another version of the stream nevertheless, the request is refused.
func (f *Front) awaitRecord(ctx context.Context, x *call, p *reservation, excluded map[string]bool) (bool, error) {
	if p.record == nil {
		return true, nil
	}
	err := f.versions.await(ctx, p.record)
	var missing *NotRecordedError
	mayExist := x.recorded != ""
	if !errors.As(err, &missing) {
		x.recorded, mayExist = p.server.Software, true
	}
	if err == nil || ctx.Err() != nil {
		p.recorded = err == nil
		return true, nil
	}
	base := f.versions.base(x.group.service)
	if base != p.server.Software && (base == "" || !x.group.decode.HasOther(base, excluded)) {
		return true, nil
	}
	switch {
	case mayExist && x.mayHaveRun:
		return false, &RetriesExhaustedError{Reason: "not recorded", Cause: err}
	case mayExist:
		refusal := outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeStreamVersion, "software version of the stream could not be recorded")
		refusal.RetryAfter, refusal.Cause = unknownVersionRetry, err
		return false, refusal
	}
	x.software = base
	return false, nil
}

// versionToBegin returns the software version that a request needs, or empty if any will do. While the store takes no records, that is
// the one whose streams need none.
func (f *Front) versionToBegin(x *call, excluded map[string]bool) string {
	if x.software != "" || x.recorded != "" || !x.route.Repeatable() || !f.versions.writesFail() {
		return x.software
	}
	if base := f.versions.base(x.group.service); base != "" && x.group.decode.HasOther(base, excluded) {
		return base
	}
	return ""
}

// Serve writes the records of streams to the store. It implements suture.Service.
func (v *streamVersions) Serve(ctx context.Context) error {
	for {
		select {
		case <-v.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		for pause, left := v.storeRecords(ctx); left; pause, left = v.storeRecords(ctx) {
			if err := wait.For(ctx, pause); err != nil {
				return err
			}
		}
	}
}

// storeRecords writes some records. It returns whether others are left, and the pause before they are written.
func (v *streamVersions) storeRecords(ctx context.Context) (pause time.Duration, left bool) {
	v.mu.Lock()
	first := v.takeAwaited(recordsPerCall)
	entries := slices.Clone(v.unstored[:min(len(v.unstored), recordsPerCall-len(first))])
	v.unstored = slices.Delete(v.unstored, 0, len(entries))
	v.mu.Unlock()
	if len(first)+len(entries) == 0 {
		return 0, false
	}
	all := slices.Clone(entries)
	for _, r := range first {
		all = append(all, r.Entry)
	}
	startedAt := v.now()
	err := v.write(ctx, all)
	for _, r := range first {
		r.written <- err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	// While the store is slow, streams that wait for a record would often have to be refused.
	slow := v.now().Sub(startedAt) > versionRecordTimeout/2
	pause, v.failing = recordPause, err != nil || slow
	if err != nil {
		v.metrics.Inc("stream_writes_failed")
		v.log.Error(err, "failed to record the software versions of streams", "streams", len(all))
		v.lease, pause = 0, retryPause+rand.N(retryPause)
		v.unstored = append(entries, v.unstored[:min(len(v.unstored), maxRecords-len(entries))]...)
	}
	return pause, len(v.awaited)+len(v.unstored) > 0
}

// write stores records under a lease that outlasts Retention.
func (v *streamVersions) write(ctx context.Context, entries []streamversion.Entry) error {
	if now := v.now(); v.lease == 0 || now.Sub(v.grantedAt) > streamversion.Retention {
		lease, _, err := v.store.GrantLease(ctx, 2*streamversion.Retention)
		if err != nil {
			return &NotRecordedError{Cause: err}
		}
		v.lease, v.grantedAt = lease, now
	}
	writes := make([]kvstore.Write, len(entries))
	for i, e := range entries {
		writes[i] = kvstore.Write{Key: streamKey(e.Stream), Value: []byte(e.Version), Lease: v.lease}
	}
	_, err := v.store.Txn(ctx, nil, writes)
	var unknown *kvstore.OutcomeUnknownError
	switch {
	case err == nil:
		v.metrics.Add("streams_recorded", int64(len(entries)))
	case !errors.As(err, &unknown):
		return &NotRecordedError{Cause: err}
	}
	return err
}
