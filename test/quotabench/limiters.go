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

// localLimiter has an independent bucket for each host, either with 1/N of the rate and burst or with all of it.
type localLimiter struct {
	mu      sync.Mutex
	buckets []*tokenBucket
}

func newLocalLimiter(hosts int, burst, rate int64) *localLimiter {
	l := &localLimiter{}
	for range hosts {
		l.buckets = append(l.buckets, newTokenBucket(burst, rate))
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
	bucket  *tokenBucket
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

// tokenBucket is a token bucket with reservations. Its level becomes negative if more is taken than it has.
type tokenBucket struct {
	burst, rate     float64
	level, reserved float64
	at              time.Time
}

func newTokenBucket(burst, rate int64) *tokenBucket {
	return &tokenBucket{burst: float64(burst), rate: float64(rate), level: float64(burst), at: time.Now()}
}

func (b *tokenBucket) advance() {
	now := time.Now()
	b.level = min(b.level+now.Sub(b.at).Seconds()*b.rate, b.burst-b.reserved)
	b.at = now
}

func (b *tokenBucket) covers(tokens int64) bool {
	b.advance()
	return b.level >= float64(tokens)
}

func (b *tokenBucket) take(tokens int64) {
	b.advance()
	b.level -= float64(tokens)
	b.reserved += float64(tokens)
}

func (b *tokenBucket) use(tokens int64) { b.reserved -= float64(tokens) }

func (b *tokenBucket) refund(tokens int64) {
	b.advance()
	b.reserved -= float64(tokens)
	b.level = min(b.level+float64(tokens), b.burst-b.reserved)
}
