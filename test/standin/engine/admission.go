package engine

import (
	"context"
	"slices"
)

// admissionQueue admits work to a limited number of slots and pieces of memory, by descending priority and then
// in order of arrival. It is guarded by the Core's lock.
type admissionQueue struct {
	slots   int
	pieces  int64
	queue   int
	waiting []*waiter
}

type waiter struct {
	priority int
	pieces   int64
	granted  chan struct{}
}

// enter queues work and returns a waiter whose channel is closed on admission, or nil when the queue is full.
func (q *admissionQueue) enter(pieces int64, priority int) *waiter {
	w := &waiter{priority: priority, pieces: pieces, granted: make(chan struct{})}
	at := len(q.waiting)
	for at > 0 && q.waiting[at-1].priority < priority {
		at--
	}
	q.waiting = slices.Insert(q.waiting, at, w)
	q.admit()
	if !w.admitted() && len(q.waiting) > q.queue {
		q.remove(w)
		return nil
	}
	return w
}

func (q *admissionQueue) admit() {
	for len(q.waiting) > 0 {
		w := q.waiting[0]
		if q.slots < 1 || q.pieces < w.pieces {
			return
		}
		q.slots--
		q.pieces -= w.pieces
		q.waiting = q.waiting[1:]
		close(w.granted)
	}
}

func (q *admissionQueue) remove(w *waiter) {
	q.waiting = slices.DeleteFunc(q.waiting, func(o *waiter) bool { return o == w })
}

// leave releases the slot and memory granted to w, or removes w from the queue if it was not admitted.
func (q *admissionQueue) leave(w *waiter) {
	if !w.admitted() {
		q.remove(w)
	} else {
		q.slots++
		q.pieces += w.pieces
	}
	q.admit()
}

func (w *waiter) admitted() bool {
	select {
	case <-w.granted:
		return true
	default:
		return false
	}
}

// wait blocks until w is admitted, or returns the cause when ctx is done.
func (w *waiter) wait(ctx context.Context) error {
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
