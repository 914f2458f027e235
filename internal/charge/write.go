package charge

import (
	"bytes"
	"context"
	"errors"

	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/internal/metrics"
)

const (
	// maxTransactionBatches stays below etcd's default limit of 128 operations per transaction.
	maxTransactionBatches = 64
	// maxTransactionBytes stays below the store's request limit of 1 MB.
	maxTransactionBytes = 512 << 10
	// maxRoundTransactions bounds the transactions of one write interval, so that the fleet does not overload the
	// store when it recovers from an outage.
	maxRoundTransactions  = 4
	unlimitedTransactions = 1 << 20
)

// encodedBatch is a batch to be written under its key.
type encodedBatch struct {
	key   string
	value []byte
}

// transactionLen returns the length of the longest prefix of items that fits into one transaction, at least one item.
func transactionLen(items []encodedBatch) int {
	size := 0
	for i, it := range items {
		size += len(it.key) + len(it.value)
		if i > 0 && (i >= maxTransactionBatches || size > maxTransactionBytes) {
			return i
		}
	}
	return len(items)
}

// createAbsent writes items in one create-only transaction. If some keys exist, written by an earlier try with a lost
// response or by another host with a copy, it retries with the remaining items. If it returns nil, the store holds a
// batch under every key.
func (l *Ledger) createAbsent(ctx context.Context, items []encodedBatch) error {
	for len(items) > 0 {
		conditions := make([]kvstore.Condition, len(items))
		writes := make([]kvstore.Write, len(items))
		for i, it := range items {
			conditions[i] = kvstore.Condition{Key: it.key}
			writes[i] = kvstore.Write{Key: it.key, Value: it.value}
		}
		l.metrics.Inc("charge_store_writes_total")
		result, err := l.txn(ctx, conditions, writes)
		if err != nil {
			l.metrics.Inc("charge_store_retries_total", metrics.L("reason", failureReason(err)))
			return err
		}
		if result.Succeeded {
			return nil
		}
		rest := l.absentBatches(items, result.Current)
		if len(rest) == len(items) {
			return &StoreResponseError{Keys: len(items)}
		}
		items = rest
	}
	return nil
}

func (l *Ledger) txn(ctx context.Context, conditions []kvstore.Condition, writes []kvstore.Write) (kvstore.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.StoreTimeout)
	defer cancel()
	return l.store.Txn(ctx, conditions, writes)
}

func failureReason(err error) string {
	var unknown *kvstore.OutcomeUnknownError
	if errors.As(err, &unknown) {
		return "answer_lost"
	}
	return "unavailable"
}

// absentBatches returns the items whose keys the store does not hold. A stored batch with other contents means that two
// processes used the same incarnation; the first batch written is kept.
func (l *Ledger) absentBatches(items []encodedBatch, current []kvstore.KeyValue) []encodedBatch {
	present := map[string][]byte{}
	for _, kv := range current {
		present[kv.Key] = kv.Value
	}
	var rest []encodedBatch
	for _, it := range items {
		value, ok := present[it.key]
		switch {
		case !ok:
			rest = append(rest, it)
		case bytes.Equal(value, it.value):
			l.metrics.Inc("charge_duplicates_total")
		default:
			l.metrics.Inc("charge_conflicts_total")
			l.log.Info("charge batch not written: the store holds a different batch under its key", "key", it.key)
		}
	}
	return rest
}

// writeOwn writes this host's closed batches in sequence, in at most the given number of transactions.
func (l *Ledger) writeOwn(ctx context.Context, transactions int) {
	select {
	case l.writeSem <- struct{}{}:
		defer func() { <-l.writeSem }()
	case <-ctx.Done():
		return
	}
	for range transactions {
		items := l.nextOwn()
		if len(items) == 0 {
			return
		}
		if err := l.createAbsent(ctx, items); err != nil {
			l.log.V(1).Info("failed to write charge batches", "batches", len(items), "cause", err)
			return
		}
		l.mu.Lock()
		for _, b := range l.unwritten[:len(items)] {
			l.unwrittenBytes -= len(b.value)
			l.metrics.Add("charge_records_written_total", int64(b.records))
		}
		l.unwritten = append([]*batch(nil), l.unwritten[len(items):]...)
		l.mu.Unlock()
	}
}

// nextOwn returns this host's batches for the next transaction.
func (l *Ledger) nextOwn() []encodedBatch {
	self := incarnationOf(l.viewer.Self())
	l.mu.Lock()
	defer l.mu.Unlock()
	var items []encodedBatch
	for _, b := range l.unwritten[:min(len(l.unwritten), maxTransactionBatches)] {
		items = append(items, encodedBatch{self.key(b.sequence), b.value})
	}
	return items[:transactionLen(items)]
}
