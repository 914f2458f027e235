package claim

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/wait"
)

const (
	// maxBatchOps stays below etcd's default limit of 128 operations per transaction; each write adds one condition.
	maxBatchOps = 100
	// maxBatchBytes stays below the store's limit of 1 MB for values and requests.
	maxBatchBytes = 512 << 10
	// maxInFlight bounds the concurrent transactions of one host. Writes submitted meanwhile form the next batch.
	maxInFlight = 2
	// burstTransactions is the number of transactions that may start without pacing by the write budget.
	burstTransactions = 5
	// initialRetryDelay is the delay before a transaction with a lost response is retried; it doubles with each retry.
	initialRetryDelay = 10 * time.Millisecond
)

// write is one compare-and-swap of one key. A nil value deletes the key.
type write struct {
	key      string
	revision int64
	value    []byte
	result   chan writeResult
}

// writeResult is the result of one write. If err is nil, either ok is set or current is the key's present value, which
// is the zero value for an absent key.
type writeResult struct {
	ok       bool
	revision int64
	current  kvstore.KeyValue
	err      error
}

// batcher groups the writes of concurrent attempts into transactions. Each write has its own result: after a
// conflict, the transaction is retried without the writes whose keys have changed.
type batcher struct {
	store kvstore.Store
	// delay is how long the first write of a batch waits for others.
	delay time.Duration
	// timeout bounds one transaction including its retries.
	timeout  time.Duration
	maxQueue int
	// interval returns the time between two transactions that keeps this host within its share of the fleet's write
	// budget.
	interval func() time.Duration
	metrics  *metrics.Registry

	mu           sync.Mutex
	queue        []*write
	scheduled    bool
	inFlight     int
	keysInFlight map[string]bool
	// budgetUsedUntil is the time until which the transactions started so far use up the write budget.
	budgetUsedUntil time.Time
}

// submit queues a write. The result channel is buffered, so the result may be ignored.
func (b *batcher) submit(key string, revision int64, value []byte) <-chan writeResult {
	w := &write{key: key, revision: revision, value: value, result: make(chan writeResult, 1)}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) >= b.maxQueue {
		w.result <- writeResult{err: &kvstore.UnavailableError{
			Op: "txn", Cause: &OverloadError{What: "queued claim writes", Limit: b.maxQueue},
		}}
		return w.result
	}
	b.queue = append(b.queue, w)
	b.schedule()
	return w.result
}

// schedule starts the timer of the next transaction unless it is running. The caller holds b.mu.
func (b *batcher) schedule() {
	if b.scheduled || b.inFlight >= maxInFlight || len(b.queue) == 0 {
		return
	}
	b.scheduled = true
	earliest := b.budgetUsedUntil.Add(-(burstTransactions - 1) * b.interval())
	time.AfterFunc(max(b.delay, time.Until(earliest)), b.flush)
}

func (b *batcher) flush() {
	b.mu.Lock()
	b.scheduled = false
	batch := b.nextBatch()
	if len(batch) == 0 {
		b.mu.Unlock()
		return
	}
	b.inFlight++
	now := time.Now()
	if b.budgetUsedUntil.Before(now) {
		b.budgetUsedUntil = now
	}
	b.budgetUsedUntil = b.budgetUsedUntil.Add(b.interval())
	b.schedule()
	b.mu.Unlock()

	b.execute(batch)

	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
	for _, w := range batch {
		delete(b.keysInFlight, w.key)
	}
	b.schedule()
}

// nextBatch removes the next batch from the queue. A transaction must not contain a key twice, so a write whose key is
// in this batch or in flight stays queued. The caller holds b.mu.
func (b *batcher) nextBatch() []*write {
	var batch, rest []*write
	size := 0
	for _, w := range b.queue {
		size += len(w.key) + len(w.value)
		if b.keysInFlight[w.key] || len(batch) >= maxBatchOps || (size > maxBatchBytes && len(batch) > 0) {
			rest = append(rest, w)
			continue
		}
		b.keysInFlight[w.key] = true
		batch = append(batch, w)
	}
	b.queue = rest
	return batch
}

// execute runs the transaction of a batch and delivers each write's result. After a lost response it retries the
// transaction, which is safe since the conditions are compared again: if the first try took effect, the retry
// conflicts and returns the records that the first try wrote.
func (b *batcher) execute(batch []*write) {
	ctx, cancel := context.WithTimeout(context.Background(), b.timeout)
	defer cancel()
	pause := initialRetryDelay
	var errOutcomeUnknown error
	for len(batch) > 0 {
		conditions, writes := operations(batch)
		b.metrics.Inc("claim_store_writes_total")
		result, err := b.store.Txn(ctx, conditions, writes)
		var unknown *kvstore.OutcomeUnknownError
		switch {
		case err == nil:
			batch = resolveWrites(batch, result)
			continue
		case errors.As(err, &unknown):
			errOutcomeUnknown = err
			b.metrics.Inc("claim_store_retries_total", metrics.L("reason", "answer_lost"))
		case errOutcomeUnknown == nil:
			failWrites(batch, err)
			return
		}
		if wait.For(ctx, pause) != nil {
			failWrites(batch, errOutcomeUnknown)
			return
		}
		pause *= 2
	}
}

func operations(batch []*write) ([]kvstore.Condition, []kvstore.Write) {
	conditions := make([]kvstore.Condition, len(batch))
	writes := make([]kvstore.Write, len(batch))
	for i, w := range batch {
		conditions[i] = kvstore.Condition{Key: w.key, ModRevision: w.revision}
		writes[i] = kvstore.Write{Key: w.key, Value: w.value}
	}
	return conditions, writes
}

// resolveWrites delivers the results that the transaction's response determines and returns the remaining writes. A
// record equal to the written one is this host's own write, since records contain attempt, incarnation and state.
func resolveWrites(batch []*write, result kvstore.TxnResult) []*write {
	if result.Succeeded {
		for _, w := range batch {
			w.result <- writeResult{ok: true, revision: result.Revision}
		}
		return nil
	}
	current := map[string]kvstore.KeyValue{}
	for _, kv := range result.Current {
		current[kv.Key] = kv
	}
	var rest []*write
	for _, w := range batch {
		kv, present := current[w.key]
		switch {
		case kv.ModRevision == w.revision:
			rest = append(rest, w)
		case present == (w.value != nil) && bytes.Equal(kv.Value, w.value):
			w.result <- writeResult{ok: true, revision: kv.ModRevision}
		default:
			w.result <- writeResult{current: kv}
		}
	}
	if len(rest) == len(batch) {
		failWrites(batch, &kvstore.UnavailableError{Op: "txn", Cause: &StoreResponseError{Keys: len(batch)}})
		return nil
	}
	return rest
}

func failWrites(batch []*write, err error) {
	for _, w := range batch {
		w.result <- writeResult{err: err}
	}
}
