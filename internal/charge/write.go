package charge

import (
	"bytes"
	"context"
	"errors"

	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/platform"
)

const (
	// maxTransactionBatches stays under the usual limit of 128 operations in one etcd transaction.
	maxTransactionBatches = 64
	// maxTransactionBytes stays under the store's request limit of 1 MB.
	maxTransactionBytes = 512 << 10
	// roundTransactions bounds the transactions of one write interval, so that all hosts together do not exceed
	// the store's rate when it comes back after an outage.
	roundTransactions = 4
	allTransactions   = 1 << 20
)

// item is one batch to be written.
type item struct {
	key   string
	value []byte
}

// cut returns the length of the prefix of items that fits into one transaction.
func cut(items []item) int {
	size := 0
	for i, it := range items {
		size += len(it.key) + len(it.value)
		if i > 0 && (i >= maxTransactionBatches || size > maxTransactionBytes) {
			return i
		}
	}
	return len(items)
}

// writeOnce writes items in one create-only transaction. Keys that exist are written already, by an earlier try
// whose answer was lost or by the other holder; the rest is tried again. Without an error all items are stored.
func (l *Ledger) writeOnce(ctx context.Context, items []item) error {
	for len(items) > 0 {
		conditions := make([]platform.Condition, len(items))
		writes := make([]platform.Write, len(items))
		for i, it := range items {
			conditions[i] = platform.Condition{Key: it.key}
			writes[i] = platform.Write{Key: it.key, Value: it.value}
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
		rest := l.withoutPresent(items, result.Current)
		if len(rest) == len(items) {
			return &StoreAnswerError{Keys: len(items)}
		}
		items = rest
	}
	return nil
}

func (l *Ledger) txn(ctx context.Context, conditions []platform.Condition, writes []platform.Write) (platform.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.StoreTimeout)
	defer cancel()
	return l.store.Txn(ctx, conditions, writes)
}

func failureReason(err error) string {
	var unknown *platform.UnknownError
	if errors.As(err, &unknown) {
		return "answer_lost"
	}
	return "unavailable"
}

// withoutPresent returns the items whose keys the store does not hold. A stored batch with other content would
// mean that an incarnation was used twice; the first one written stays.
func (l *Ledger) withoutPresent(items []item, current []platform.KeyValue) []item {
	present := map[string][]byte{}
	for _, kv := range current {
		present[kv.Key] = kv.Value
	}
	var rest []item
	for _, it := range items {
		value, ok := present[it.key]
		switch {
		case !ok:
			rest = append(rest, it)
		case bytes.Equal(value, it.value):
			l.metrics.Inc("charge_duplicates_total")
		default:
			l.metrics.Inc("charge_conflicts_total")
			l.log.Info("stored charge batch differs", "key", it.key)
		}
	}
	return rest
}

// writeOwn writes closed batches in sequence, in at most the given number of transactions.
func (l *Ledger) writeOwn(ctx context.Context, transactions int) {
	select {
	case l.writing <- struct{}{}:
		defer func() { <-l.writing }()
	case <-ctx.Done():
		return
	}
	for range transactions {
		items := l.nextOwn()
		if len(items) == 0 {
			return
		}
		if err := l.writeOnce(ctx, items); err != nil {
			l.log.V(1).Info("charges not written", "batches", len(items), "cause", err)
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

// nextOwn returns the batches of the next transaction.
func (l *Ledger) nextOwn() []item {
	self := runOf(l.viewer.Self())
	l.mu.Lock()
	defer l.mu.Unlock()
	var items []item
	for _, b := range l.unwritten[:min(len(l.unwritten), maxTransactionBatches)] {
		items = append(items, item{self.key(b.sequence), b.value})
	}
	return items[:cut(items)]
}
