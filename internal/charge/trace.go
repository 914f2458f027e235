package charge

import (
	"context"
	"fmt"
)

// maxTracePages bounds the store reads of one trace: 8,192 batches are at least 27 minutes of a busy host.
const maxTracePages = 512

// emptyPages after which a trace ends. Batches are written in sequence, so a page without any is the end; a
// second one is read because copies of a dead host may leave gaps.
const emptyPages = 2

// Trace returns the charge record of a request, with the rule line, the rule's text, the person and the reason. It
// looks at the records in this host's memory and then in the store, in the batches from the one that the request
// id names. A batch that cannot be decoded is counted and skipped; when the record is in no other batch, the error is
// *CorruptBatchError. Other errors are *RequestIDError, *NotFoundError and the store's errors.
func (l *Ledger) Trace(ctx context.Context, requestID string) (Record, error) {
	from, sequence, err := parseRequestID(requestID)
	if err != nil {
		return Record{}, err
	}
	if r, ok := l.traceMemory(from, requestID); ok {
		return r, nil
	}
	searched, empty := 0, 0
	var corrupt error
	for page := range uint64(maxTracePages) {
		kvs, err := l.store.List(ctx, from.page(sequence+page*pageSize))
		if err != nil {
			return Record{}, fmt.Errorf("trace request %s: %w", requestID, err)
		}
		for _, kv := range kvs {
			searched++
			r, ok, err := find(kv.Value, requestID)
			if err != nil {
				l.metrics.Inc("charge_batches_corrupt_total")
				corrupt = fmt.Errorf("trace request %s: %s: %w", requestID, kv.Key, err)
				continue
			}
			if ok {
				return r, nil
			}
		}
		if empty++; len(kvs) > 0 {
			empty = 0
		}
		if empty == emptyPages {
			break
		}
	}
	if corrupt != nil {
		return Record{}, corrupt
	}
	return Record{}, &NotFoundError{RequestID: requestID, Host: from.name, Batches: searched}
}

// traceMemory looks at the unwritten records of this host and the copies for other hosts.
func (l *Ledger) traceMemory(from run, requestID string) (Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.openRecords {
		if r.GetRequestId() == requestID {
			return fromProto(r), true
		}
	}
	for _, b := range l.unwritten {
		if r, ok, err := find(b.value, requestID); ok && err == nil {
			return r, true
		}
	}
	if set := l.copies[from]; set != nil {
		for _, value := range set.batches {
			if r, ok, err := find(value, requestID); ok && err == nil {
				return r, true
			}
		}
	}
	return Record{}, false
}
