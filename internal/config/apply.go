package config

import (
	"context"
	"errors"
	"time"

	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/internal/wait"
)

const (
	// storeTimeout bounds one store call of an apply.
	storeTimeout = 2 * time.Second
	// resolveTimeout bounds how long an apply repeats a commit whose response was lost, to determine its outcome.
	resolveTimeout = 5 * time.Second
	// resolveRetry is the wait between these attempts.
	resolveRetry = 100 * time.Millisecond
	// maxCommitBytes and maxCommitBlobs bound the chunks that are written in one transaction with the head. The
	// store accepts 1.5 MB and 128 operations per transaction; the remaining operations are for removals.
	maxCommitBytes = 512 << 10
	maxCommitBlobs = 48
)

// Apply checks a file, stores it as the generation after base, and distributes it. base is the generation from which
// the file was edited, zero for the first file. A file equal to the stored one is distributed but not stored again.
//
// Errors: *rules.FileError for a faulty file, *CorruptError for a file that is too large, *ConflictError if another
// change was accepted first, *NotStoredError and *StoreBehindError if the change is certain not to be accepted, and
// *UnknownOutcomeError if the outcome could not be determined. If the error is nil, the change is accepted and the
// report says which hosts have installed it.
func (s *Service) Apply(ctx context.Context, base uint64, text []byte) (*Report, error) {
	cand, err := prepare(string(text), func(h Hash) *chunk {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.blobCache.copyChunk(h)
	})
	if err != nil {
		return nil, err
	}
	c, err := s.beginChange(ctx, base, cand)
	if err != nil {
		return nil, err
	}
	if c.record.Generation > 0 && c.record.Index == cand.index {
		return s.push(ctx, c.record.head(), c.epoch), nil
	}
	h := Head{Generation: base + 1, Index: cand.index}
	if err := s.commit(ctx, c, h); err != nil {
		s.o.Metrics.Inc("config_apply_failures")
		return nil, err
	}
	s.mu.Lock()
	s.blobCache.addCandidate(cand)
	s.committed, s.committedEpoch = h.Generation, c.epoch
	s.mu.Unlock()
	s.update(func(m *stateMachine, _ time.Time) { m.raiseTarget(h) })
	if err := s.install(h, cand.chunks); err != nil {
		s.o.Log.Error(err, "failed to install accepted configuration, will retry", "generation", h.Generation)
	}
	return s.push(ctx, h, c.epoch), nil
}

// change is an apply in progress, with the stored versions on which its commit depends.
type change struct {
	cand *candidate
	// record is the stored head that the change is based on, revision its revision in the store.
	record   headRecord
	revision int64
	// epoch is the number of the stored epoch, which the commit requires to be unchanged, and epochRevision its
	// revision in the store.
	epoch         uint64
	epochRevision int64
}

// beginChange reads the stored head and epoch and compares the head with the base generation.
func (s *Service) beginChange(ctx context.Context, base uint64, cand *candidate) (*change, error) {
	s.mu.Lock()
	known := s.m.target.Generation
	s.mu.Unlock()
	kv, _, err := s.get(ctx, HeadKey)
	if err != nil {
		return nil, &NotStoredError{Cause: err}
	}
	record, err := decodeHead(kv.Value)
	if err != nil {
		return nil, &NotStoredError{Cause: err}
	}
	if record.Generation < known {
		// A head becomes known to this host only after its commit, so a later read of the store returns an
		// older one only if the store lost data.
		return nil, &StoreBehindError{Stored: record.Generation, Known: known}
	}
	if record.Generation != base {
		return nil, &ConflictError{Base: base, Accepted: record.head()}
	}
	c := &change{cand: cand, record: record, revision: kv.ModRevision}
	if err := s.readEpoch(ctx, c); err != nil {
		return nil, &NotStoredError{Cause: err}
	}
	return c, nil
}

// readEpoch sets the change's epoch from the store, or from this host's membership view if there is no epoch key.
func (s *Service) readEpoch(ctx context.Context, c *change) error {
	c.epoch = s.o.Viewer.Epoch().Number
	if s.o.EpochKey == "" {
		return nil
	}
	kv, ok, err := s.get(ctx, s.o.EpochKey)
	if err != nil {
		return err
	}
	c.epochRevision = kv.ModRevision
	if !ok {
		return nil
	}
	c.epoch, err = s.o.DecodeEpoch(kv.Value)
	return err
}

func (s *Service) get(ctx context.Context, key string) (kvstore.KeyValue, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return s.o.Store.Get(ctx, key)
}

func (s *Service) txn(ctx context.Context, conditions []kvstore.Condition, writes []kvstore.Write) (kvstore.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return s.o.Store.Txn(ctx, conditions, writes)
}

// readIndex returns the chunks of an index from the cache or the store.
func (s *Service) readIndex(ctx context.Context, h Hash) ([]Hash, bool) {
	s.mu.Lock()
	data, ok := s.blobCache.indexes[h]
	s.mu.Unlock()
	if !ok {
		kv, found, err := s.get(ctx, blobKey(h))
		if err != nil || !found || hashOf(string(kv.Value)) != h {
			return nil, false
		}
		data = string(kv.Value)
	}
	chunks, err := decodeIndex(data)
	return chunks, err == nil
}

// commit writes the chunks that the base generation does not contain, and swaps the head.
func (s *Service) commit(ctx context.Context, c *change, h Head) error {
	read := func(h Hash) ([]Hash, bool) { return s.readIndex(ctx, h) }
	stored := map[Hash]bool{}
	if c.record.Generation > 0 {
		if chunks, ok := read(c.record.Index); ok {
			for _, hash := range chunks {
				stored[hash] = true
			}
		}
	}
	var writes []kvstore.Write
	size := 0
	for _, hash := range c.cand.chunks {
		if stored[hash] {
			continue
		}
		stored[hash] = true
		data := c.cand.parsed[hash].data
		if size+len(data) > maxCommitBytes || len(writes) == maxCommitBlobs {
			if err := s.upload(ctx, c, writes); err != nil {
				return err
			}
			writes, size = nil, 0
		}
		writes, size = append(writes, kvstore.Write{Key: blobKey(hash), Value: []byte(data)}), size+len(data)
	}
	if size+len(c.cand.indexData) > maxCommitBytes {
		if err := s.upload(ctx, c, writes); err != nil {
			return err
		}
		writes = nil
	}
	writes = append(writes, kvstore.Write{Key: blobKey(c.cand.index), Value: []byte(c.cand.indexData)})
	removed := planRemoval(c.record, c.cand.chunks, c.cand.index, read)
	for _, hash := range removed.blobs {
		writes = append(writes, kvstore.Write{Key: blobKey(hash)})
	}
	record := headRecord{Generation: h.Generation, Index: h.Index, History: removed.history, Cursor: removed.cursor}
	data, err := record.encode()
	if err != nil {
		return err
	}
	return s.swapHead(ctx, c, h, append(writes, kvstore.Write{Key: HeadKey, Value: data}))
}

// upload writes chunks ahead of the commit, on condition that the base is still the stored head. It is idempotent, so
// it is repeated when a response is lost.
func (s *Service) upload(ctx context.Context, c *change, writes []kvstore.Write) error {
	if len(writes) == 0 {
		return nil
	}
	deadline := time.Now().Add(resolveTimeout)
	for {
		res, err := s.txn(ctx, []kvstore.Condition{{Key: HeadKey, ModRevision: c.revision}}, writes)
		switch {
		case err == nil && res.Succeeded:
			return nil
		case err == nil:
			return s.uploadError(c, res)
		case !isUnknownOutcome(err) || time.Now().After(deadline):
			return &NotStoredError{Cause: err}
		}
		if wait.For(ctx, resolveRetry) != nil {
			return &NotStoredError{Cause: ctx.Err()}
		}
	}
}

// swapHead commits the change by compare-and-swap. If the response is lost, it repeats the same compare-and-swap, which
// either succeeds or returns the head that made it fail: that of this change or of another one. A read is not
// sufficient, because the first write may still be in transit.
func (s *Service) swapHead(ctx context.Context, c *change, h Head, writes []kvstore.Write) error {
	deadline := time.Now().Add(resolveTimeout)
	unknown := false
	for {
		conditions := []kvstore.Condition{{Key: HeadKey, ModRevision: c.revision}}
		if s.o.EpochKey != "" {
			conditions = append(conditions, kvstore.Condition{Key: s.o.EpochKey, ModRevision: c.epochRevision})
		}
		res, err := s.txn(ctx, conditions, writes)
		switch {
		case err == nil && res.Succeeded:
			return nil
		case err == nil:
			done, resolveErr := s.resolveFailedSwap(ctx, c, h, res, unknown)
			if done || resolveErr != nil {
				return resolveErr
			}
		case isUnknownOutcome(err):
			unknown = true
		case !unknown:
			return &NotStoredError{Cause: err}
		}
		if time.Now().After(deadline) || wait.For(ctx, resolveRetry) != nil {
			if unknown {
				return &UnknownOutcomeError{Head: h, Cause: err}
			}
			return &NotStoredError{Cause: errors.Join(err, ctx.Err(), errEpochChanges)}
		}
	}
}

// resolveFailedSwap interprets a failed comparison of the commit. It returns true if an earlier attempt had taken
// effect, false with a nil error if the commit can be repeated, and a *ConflictError if another change was accepted.
// A *NotStoredError or an *UnknownOutcomeError reports that the epoch or the current head could not be read.
func (s *Service) resolveFailedSwap(ctx context.Context, c *change, h Head, res kvstore.TxnResult, unknown bool) (bool, error) {
	current := res.Current
	record, revision, err := currentHead(current)
	if err != nil {
		return false, &UnknownOutcomeError{Head: h, Cause: err}
	}
	if revision == c.revision {
		// The head is unchanged, so the epoch changed. No earlier attempt has taken effect, and one that is
		// still in transit will fail, because it compares with the old epoch.
		if err := s.readEpoch(ctx, c); err != nil && !unknown {
			return false, &NotStoredError{Cause: err}
		}
		return false, nil
	}
	if unknown {
		if index, ok := record.indexAt(h.Generation); ok && index == h.Index {
			return true, nil
		}
	}
	return false, &ConflictError{Base: c.record.Generation, Accepted: record.head()}
}

// uploadError returns the error for a failed comparison of an upload.
func (s *Service) uploadError(c *change, res kvstore.TxnResult) error {
	record, _, err := currentHead(res.Current)
	if err != nil {
		return &NotStoredError{Cause: err}
	}
	return &ConflictError{Base: c.record.Generation, Accepted: record.head()}
}

func currentHead(current []kvstore.KeyValue) (headRecord, int64, error) {
	for _, kv := range current {
		if kv.Key == HeadKey {
			record, err := decodeHead(kv.Value)
			return record, kv.ModRevision, err
		}
	}
	return headRecord{}, 0, nil
}

func isUnknownOutcome(err error) bool {
	var unknown *kvstore.OutcomeUnknownError
	return errors.As(err, &unknown)
}
