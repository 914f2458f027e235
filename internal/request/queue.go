package request

import (
	"context"
	"sync"

	"github.com/boragecourse/boragecourse/internal/rules"
)

// queue knows the keyed requests that have not reached a backend server yet, so that they can be refused when
// their key is withdrawn.
type queue struct {
	mu      sync.Mutex
	entries map[*queued]struct{}
}

type queued struct {
	key    rules.KeyHash
	cancel context.CancelCauseFunc
}

func newQueue() *queue { return &queue{entries: map[*queued]struct{}{}} }

// enter adds a request until leave is called. Its context ends with errWithdrawn when the key is withdrawn.
func (q *queue) enter(ctx context.Context, key *rules.Key) (waiting context.Context, leave func()) {
	if key == nil {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	e := &queued{key: key.Hash, cancel: cancel}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.entries[e] = struct{}{}
	return ctx, func() {
		q.mu.Lock()
		delete(q.entries, e)
		q.mu.Unlock()
		cancel(nil)
	}
}

// withdraw ends the waiting of the entries that gone selects.
func (q *queue) withdraw(gone func(*queued) bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for e := range q.entries {
		if gone(e) {
			e.cancel(errWithdrawn)
		}
	}
}
