package engine

import (
	"context"
	"slices"
)

// gate admits work to a limited number of slots and pieces of memory. Waiting work is admitted by priority and
// then in order of arrival. The Core's lock guards it.
type gate struct {
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

// enter returns a waiter whose channel is closed on admission, or nil when the queue is full.
func (g *gate) enter(pieces int64, priority int) *waiter {
	w := &waiter{priority: priority, pieces: pieces, granted: make(chan struct{})}
	at := len(g.waiting)
	for at > 0 && g.waiting[at-1].priority < priority {
		at--
	}
	g.waiting = slices.Insert(g.waiting, at, w)
	g.admit()
	if !w.admitted() && len(g.waiting) > g.queue {
		g.remove(w)
		return nil
	}
	return w
}

func (g *gate) admit() {
	for len(g.waiting) > 0 {
		w := g.waiting[0]
		if g.slots < 1 || g.pieces < w.pieces {
			return
		}
		g.slots--
		g.pieces -= w.pieces
		g.waiting = g.waiting[1:]
		close(w.granted)
	}
}

func (g *gate) remove(w *waiter) {
	g.waiting = slices.DeleteFunc(g.waiting, func(o *waiter) bool { return o == w })
}

// leave gives back what w was granted, or takes it out of the queue.
func (g *gate) leave(w *waiter) {
	if !w.admitted() {
		g.remove(w)
	} else {
		g.slots++
		g.pieces += w.pieces
	}
	g.admit()
}

func (w *waiter) admitted() bool {
	select {
	case <-w.granted:
		return true
	default:
		return false
	}
}

// wait returns nil once w is admitted.
func (w *waiter) wait(ctx context.Context) error {
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
