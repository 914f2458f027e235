package request

import (
	"context"
	"sync"

	"github.com/boragecourse/boragecourse/internal/rules"
)

// queue tracks the authenticated requests that have not been sent to a backend server yet, so that they can be
// refused when their API key is withdrawn. It is safe for concurrent use.
type queue struct {
	mu      sync.Mutex
	entries map[*queued]struct{}
}

type queued struct {
	key    rules.KeyHash
	cancel context.CancelCauseFunc
}

func newQueue() *queue { return &queue{entries: map[*queued]struct{}{}} }

// enter adds a request to the queue, and leave removes it. The returned context is canceled with errKeyWithdrawn when
// the key is withdrawn. Requests without a key are not tracked.
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

// cancelMatching cancels the entries for which match returns true.
func (q *queue) cancelMatching(match func(*queued) bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for e := range q.entries {
		if match(e) {
			e.cancel(errKeyWithdrawn)
		}
	}
}
