package claim

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/platform"
	"github.com/boragecourse/boragecourse/internal/wait"
)

const (
	// maxBatchOps stays under the usual limit of 128 operations in one etcd transaction; each write has one
	// condition.
	maxBatchOps = 100
	// maxBatchBytes stays under the store's value and request limit of 1 MB.
	maxBatchBytes = 512 << 10
	// maxInFlight transactions of one host. Writes that wait meanwhile form the next batch.
	maxInFlight = 2
	// burst transactions may follow each other at once before the write budget spaces them out.
	burst = 5
	// firstRepeat is the pause before a write with a lost answer is repeated; it doubles with each repetition.
	firstRepeat = 10 * time.Millisecond
)

// write is one compare-and-swap of one key. A nil value deletes the key.
type write struct {
	key      string
	revision int64
	value    []byte
	result   chan writeResult
}

// writeResult is the result of one write. Without an error, either ok is set or current is what the key holds
// (the zero value when it is absent).
type writeResult struct {
	ok       bool
	revision int64
	current  platform.KeyValue
	err      error
}

// batcher groups the writes of concurrent attempts into transactions. Each write has its own result: after a
// conflict, the transaction is repeated without the writes whose keys have changed.
type batcher struct {
	store platform.Store
	// delay is how long the first write waits for others.
	delay time.Duration
	// timeout bounds one transaction together with its repetitions.
	timeout  time.Duration
	maxQueue int
	// interval is this host's share of the fleet's write budget, as the time between two transactions.
	interval func() time.Duration
	metrics  *metrics.Registry

	mu        sync.Mutex
	queue     []*write
	scheduled bool
	inFlight  int
	busy      map[string]bool
	// budgetUsedUntil is when the transactions so far would have been due at an even pace.
	budgetUsedUntil time.Time
}

// submit queues a write. The result channel is buffered, so nobody has to read it.
func (b *batcher) submit(key string, revision int64, value []byte) <-chan writeResult {
	w := &write{key: key, revision: revision, value: value, result: make(chan writeResult, 1)}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) >= b.maxQueue {
		w.result <- writeResult{err: &platform.UnavailableError{
			Op: "txn", Cause: &OverloadError{What: "queued claim writes", Limit: b.maxQueue},
		}}
		return w.result
	}
	b.queue = append(b.queue, w)
	b.schedule()
	return w.result
}

// schedule starts the timer of the next transaction; the lock is held.
func (b *batcher) schedule() {
	if b.scheduled || b.inFlight >= maxInFlight || len(b.queue) == 0 {
		return
	}
	b.scheduled = true
	free := b.budgetUsedUntil.Add(-(burst - 1) * b.interval())
	time.AfterFunc(max(b.delay, time.Until(free)), b.flush)
}

func (b *batcher) flush() {
	b.mu.Lock()
	b.scheduled = false
	batch := b.take()
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

	b.run(batch)

	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
	for _, w := range batch {
		delete(b.busy, w.key)
	}
	b.schedule()
}

// take removes the next batch from the queue; a transaction must not hold a key twice, and a key that is in
// flight waits. The lock is held.
func (b *batcher) take() []*write {
	var batch, rest []*write
	size := 0
	for _, w := range b.queue {
		size += len(w.key) + len(w.value)
		if b.busy[w.key] || len(batch) >= maxBatchOps || (size > maxBatchBytes && len(batch) > 0) {
			rest = append(rest, w)
			continue
		}
		b.busy[w.key] = true
		batch = append(batch, w)
	}
	b.queue = rest
	return batch
}

// run does a batch and gives each write its result. A lost answer is resolved by repeating the transaction: its
// conditions still compare, and the conflict returns the records, among them the ones that the first try wrote.
func (b *batcher) run(batch []*write) {
	ctx, cancel := context.WithTimeout(context.Background(), b.timeout)
	defer cancel()
	pause := firstRepeat
	var lost error
	for len(batch) > 0 {
		conditions, writes := operations(batch)
		b.metrics.Inc("claim_store_writes_total")
		result, err := b.store.Txn(ctx, conditions, writes)
		var unknown *platform.UnknownError
		switch {
		case err == nil:
			batch = settle(batch, result)
			continue
		case errors.As(err, &unknown):
			lost = err
			b.metrics.Inc("claim_store_retries_total", metrics.L("reason", "answer_lost"))
		case lost == nil:
			finish(batch, err)
			return
		}
		if wait.For(ctx, pause) != nil {
			finish(batch, lost)
			return
		}
		pause *= 2
	}
}

func operations(batch []*write) ([]platform.Condition, []platform.Write) {
	conditions := make([]platform.Condition, len(batch))
	writes := make([]platform.Write, len(batch))
	for i, w := range batch {
		conditions[i] = platform.Condition{Key: w.key, ModRevision: w.revision}
		writes[i] = platform.Write{Key: w.key, Value: w.value}
	}
	return conditions, writes
}

// settle gives results to the writes that the answer decides and returns the others. A record that equals the
// written one is this host's own write, since records name attempt, incarnation and state.
func settle(batch []*write, result platform.TxnResult) []*write {
	if result.Succeeded {
		for _, w := range batch {
			w.result <- writeResult{ok: true, revision: result.Revision}
		}
		return nil
	}
	current := map[string]platform.KeyValue{}
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
		finish(batch, &platform.UnavailableError{Op: "txn", Cause: &StoreAnswerError{Keys: len(batch)}})
		return nil
	}
	return rest
}

func finish(batch []*write, err error) {
	for _, w := range batch {
		w.result <- writeResult{err: err}
	}
}
