package main

import (
	"context"
	"sync"
	"time"

	"github.com/boragecourse/boragecourse/internal/quota"
)

// limiter is one of the compared designs.
type limiter interface {
	// reserve returns nil when the request is refused.
	reserve(host int, tokens int64) quota.Reservation
}

type fleetLimiter struct{ fleet *fleet }

func (l fleetLimiter) reserve(host int, tokens int64) quota.Reservation {
	r, err := l.fleet.nodes[host].service.Reserve(context.Background(), workspaceName, tokens)
	if err != nil {
		return nil
	}
	return r
}

// localLimiter gives every host a bucket of its own: 1/N of the whole, or the whole.
type localLimiter struct {
	mu      sync.Mutex
	buckets []*ledger
}

func newLocalLimiter(hosts int, burst, rate int64) *localLimiter {
	l := &localLimiter{}
	for range hosts {
		l.buckets = append(l.buckets, newLedger(burst, rate))
	}
	return l
}

func (l *localLimiter) reserve(host int, tokens int64) quota.Reservation {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[host]
	if !b.covers(tokens) {
		return nil
	}
	b.take(tokens)
	return &localReservation{limiter: l, bucket: b, left: tokens}
}

type localReservation struct {
	limiter *localLimiter
	bucket  *ledger
	left    int64
}

func (r *localReservation) Use(tokens int64) {
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	r.left -= tokens
	r.bucket.use(tokens)
}

func (r *localReservation) Close() {
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	r.bucket.refund(r.left)
	r.left = 0
}

// ledger is an ideal bucket. Taking more than it has makes it negative.
type ledger struct {
	burst, rate     float64
	level, reserved float64
	at              time.Time
}

func newLedger(burst, rate int64) *ledger {
	return &ledger{burst: float64(burst), rate: float64(rate), level: float64(burst), at: time.Now()}
}

func (l *ledger) advance() {
	now := time.Now()
	l.level = min(l.level+now.Sub(l.at).Seconds()*l.rate, l.burst-l.reserved)
	l.at = now
}

func (l *ledger) covers(tokens int64) bool {
	l.advance()
	return l.level >= float64(tokens)
}

func (l *ledger) take(tokens int64) {
	l.advance()
	l.level -= float64(tokens)
	l.reserved += float64(tokens)
}

func (l *ledger) use(tokens int64) { l.reserved -= float64(tokens) }

func (l *ledger) refund(tokens int64) {
	l.advance()
	l.reserved -= float64(tokens)
	l.level = min(l.level+float64(tokens), l.burst-l.reserved)
}
