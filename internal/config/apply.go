package config

import (
	"context"
	"errors"
	"time"

	"github.com/boragecourse/boragecourse/internal/platform"
	"github.com/boragecourse/boragecourse/internal/wait"
)

const (
	// storeTimeout bounds one call to the store during an apply.
	storeTimeout = 2 * time.Second
	// resolveWait is how long an apply tries to learn the outcome of a commit whose answer was lost.
	resolveWait = 5 * time.Second
	// resolveRetry is the wait between the attempts.
	resolveRetry = 100 * time.Millisecond
	// maxCommitBytes and maxCommitBlobs bound the chunks that are written together with the head. The store
	// takes 1.5 MB and 128 operations in a transaction; removals need the rest.
	maxCommitBytes = 512 << 10
	maxCommitBlobs = 48
)

// Apply checks a file, stores it as the generation after base, and distributes it. base is the generation that
// the file was edited from, zero for the first. A file equal to the installed one is not stored again.
//
// Errors: *rules.FileError and *CorruptError for a faulty file, *ConflictError when another change won,
// *NotStoredError and *StoreBehindError when the change certainly was not accepted, *UnknownOutcomeError when that
// could not be found out. After a nil error the change is accepted and the report says where it is in force.
func (s *Service) Apply(ctx context.Context, base uint64, text []byte) (*Report, error) {
	cand, err := prepare(string(text), func(h Hash) *chunk {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.blobs.copyOf(h)
	})
	if err != nil {
		return nil, err
	}
	c, err := s.begin(ctx, base, cand)
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
	s.blobs.adopt(cand)
	s.committed, s.committedUnder = h.Generation, c.epoch
	s.mu.Unlock()
	s.update(func(m *machine, _ time.Time) { m.announced(h) })
	if err := s.install(h, cand.chunks); err != nil {
		s.o.Log.Error(err, "accepted configuration not installed yet", "generation", h.Generation)
	}
	return s.push(ctx, h, c.epoch), nil
}

// change is an apply on its way into the store.
type change struct {
	cand *candidate
	// record and revision are the stored head that the change is based on.
	record   headRecord
	revision int64
	// epoch is the number of the epoch at the commit and epochRevision its stored revision.
	epoch         uint64
	epochRevision int64
}

// begin reads the head and the epoch and checks the base.
func (s *Service) begin(ctx context.Context, base uint64, cand *candidate) (*change, error) {
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
		// Heads are announced only after their commit, so a newer read of the store cannot be behind one
		// unless the store lost data.
		return nil, &StoreBehindError{Stored: record.Generation, Known: known}
	}
	if record.Generation != base {
		return nil, &ConflictError{Base: base, Winner: record.head()}
	}
	c := &change{cand: cand, record: record, revision: kv.ModRevision}
	if err := s.readEpoch(ctx, c); err != nil {
		return nil, &NotStoredError{Cause: err}
	}
	return c, nil
}

// readEpoch notes the stored epoch. Without an epoch key the view of this host counts.
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

func (s *Service) get(ctx context.Context, key string) (platform.KeyValue, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return s.o.Store.Get(ctx, key)
}

func (s *Service) txn(ctx context.Context, conditions []platform.Condition, writes []platform.Write) (platform.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return s.o.Store.Txn(ctx, conditions, writes)
}

// readIndex returns the chunks of an index from the cache or the store.
func (s *Service) readIndex(ctx context.Context, h Hash) ([]Hash, bool) {
	s.mu.Lock()
	data, ok := s.blobs.indexes[h]
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

// commit uploads the chunks that the base lacks and swaps the head.
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
	var writes []platform.Write
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
		writes, size = append(writes, platform.Write{Key: blobKey(hash), Value: []byte(data)}), size+len(data)
	}
	if size+len(c.cand.indexData) > maxCommitBytes {
		if err := s.upload(ctx, c, writes); err != nil {
			return err
		}
		writes = nil
	}
	writes = append(writes, platform.Write{Key: blobKey(c.cand.index), Value: []byte(c.cand.indexData)})
	gone := planRemoval(c.record, c.cand.chunks, c.cand.index, read)
	for _, hash := range gone.blobs {
		writes = append(writes, platform.Write{Key: blobKey(hash)})
	}
	record := headRecord{Generation: h.Generation, Index: h.Index, History: gone.history, Cursor: gone.cursor}
	data, err := record.encode()
	if err != nil {
		return err
	}
	return s.swapHead(ctx, c, h, append(writes, platform.Write{Key: HeadKey, Value: data}))
}

// upload writes chunks ahead of the commit, on condition that the base is still current. Repeating it has no
// second effect.
func (s *Service) upload(ctx context.Context, c *change, writes []platform.Write) error {
	if len(writes) == 0 {
		return nil
	}
	deadline := time.Now().Add(resolveWait)
	for {
		res, err := s.txn(ctx, []platform.Condition{{Key: HeadKey, ModRevision: c.revision}}, writes)
		switch {
		case err == nil && res.Succeeded:
			return nil
		case err == nil:
			return s.lost(c, res)
		case !isUnknown(err) || time.Now().After(deadline):
			return &NotStoredError{Cause: err}
		}
		if wait.For(ctx, resolveRetry) != nil {
			return &NotStoredError{Cause: ctx.Err()}
		}
	}
}

// swapHead commits. A lost answer is resolved by repeating the same compare-and-swap: it either succeeds now or
// shows the head that made it fail, which is this change or another one. Reading alone would not do, since the
// lost write may still be on its way.
func (s *Service) swapHead(ctx context.Context, c *change, h Head, writes []platform.Write) error {
	deadline := time.Now().Add(resolveWait)
	unknown := false
	for {
		conditions := []platform.Condition{{Key: HeadKey, ModRevision: c.revision}}
		if s.o.EpochKey != "" {
			conditions = append(conditions, platform.Condition{Key: s.o.EpochKey, ModRevision: c.epochRevision})
		}
		res, err := s.txn(ctx, conditions, writes)
		switch {
		case err == nil && res.Succeeded:
			return nil
		case err == nil:
			done, lost := s.resolve(ctx, c, h, res, unknown)
			if done || lost != nil {
				return lost
			}
		case isUnknown(err):
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

// resolve interprets a failed comparison. It reports true when an earlier attempt had taken effect.
func (s *Service) resolve(ctx context.Context, c *change, h Head, res platform.TxnResult, unknown bool) (bool, error) {
	current := res.Current
	record, revision, err := currentHead(current)
	if err != nil {
		return false, &UnknownOutcomeError{Head: h, Cause: err}
	}
	if revision == c.revision {
		// The head is unchanged, so the epoch changed. An earlier attempt cannot have taken effect, and one
		// that is still on its way compares with the old epoch.
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
	return false, &ConflictError{Base: c.record.Generation, Winner: record.head()}
}

// lost interprets a failed comparison of an upload.
func (s *Service) lost(c *change, res platform.TxnResult) error {
	record, _, err := currentHead(res.Current)
	if err != nil {
		return &NotStoredError{Cause: err}
	}
	return &ConflictError{Base: c.record.Generation, Winner: record.head()}
}

func currentHead(current []platform.KeyValue) (headRecord, int64, error) {
	for _, kv := range current {
		if kv.Key == HeadKey {
			record, err := decodeHead(kv.Value)
			return record, kv.ModRevision, err
		}
	}
	return headRecord{}, 0, nil
}

func isUnknown(err error) bool {
	var unknown *platform.UnknownError
	return errors.As(err, &unknown)
}
