package charge

import (
	"context"
	"fmt"
)

// maxTracePages bounds the store reads of one trace. 512 pages are 8,192 batches, at least 27 minutes of a busy host.
const maxTracePages = 512

// maxEmptyPages is the number of consecutive empty pages that ends a trace. Batches are written in sequence, so one
// empty page would mark the end, but copies written for a crashed host may leave gaps.
const maxEmptyPages = 2

// Trace returns the charge record of a request, with the rule's line, text, author and reason. It searches this host's
// memory and then the store, starting at the batch whose sequence number the request id contains. A batch that cannot
// be decoded is counted and skipped; if no other batch contains the record, the error is a *CorruptBatchError. Other
// errors are *RequestIDError, *NotFoundError and the store's errors.
func (l *Ledger) Trace(ctx context.Context, requestID string) (Record, error) {
	from, sequence, err := parseRequestID(requestID)
	if err != nil {
		return Record{}, err
	}
	if r, ok := l.findInMemory(from, requestID); ok {
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
			r, ok, err := findRecord(kv.Value, requestID)
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
		if empty == maxEmptyPages {
			break
		}
	}
	if corrupt != nil {
		return Record{}, corrupt
	}
	return Record{}, &NotFoundError{RequestID: requestID, Host: from.name, Batches: searched}
}

// findInMemory searches the unwritten records of this host and the copies held for other hosts.
func (l *Ledger) findInMemory(from incarnationID, requestID string) (Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.openRecords {
		if r.GetRequestId() == requestID {
			return fromProto(r), true
		}
	}
	for _, b := range l.unwritten {
		if r, ok, err := findRecord(b.value, requestID); ok && err == nil {
			return r, true
		}
	}
	if set := l.copies[from]; set != nil {
		for _, value := range set.batches {
			if r, ok, err := findRecord(value, requestID); ok && err == nil {
				return r, true
			}
		}
	}
	return Record{}, false
}
