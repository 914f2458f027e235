package dispatch

import "time"

// rateLimit is a token bucket that holds at most one job. A nil rateLimit allows every job.
type rateLimit struct {
	perSecond float64
	tokens    float64
	updated   time.Time
}

func (l *rateLimit) set(perSecond float64, now time.Time) {
	l.refill(now)
	l.perSecond = perSecond
}

func (l *rateLimit) refill(now time.Time) {
	l.tokens, l.updated = l.level(now), now
}

// level returns the tokens at a time without changing the bucket.
func (l *rateLimit) level(now time.Time) float64 {
	return min(l.tokens+l.perSecond*max(now.Sub(l.updated).Seconds(), 0), 1)
}

// allows reports whether a job may be sent now. A rate of 0 allows none, whatever is left of an earlier rate.
func (l *rateLimit) allows(now time.Time) bool {
	if l == nil {
		return true
	}
	return l.perSecond > 0 && l.level(now) >= 1
}

func (l *rateLimit) take(now time.Time) {
	if l != nil {
		l.refill(now)
		l.tokens--
	}
}

// refund gives back the token of a job that was not sent.
func (l *rateLimit) refund() {
	if l != nil {
		l.tokens = min(l.tokens+1, 1)
	}
}

// rateAllows reports whether the rate limits of the backend servers allow n jobs within a time, and if they do not, after
// which time they do; 0 when they never do. p.mu must be held.
func (p *Pool) rateAllows(n int, within time.Duration, now time.Time) (after time.Duration, ok bool) {
	tokens, perSecond := 0.0, 0.0
	for _, key := range p.order {
		l := p.limits[key]
		if l == nil {
			return 0, true
		}
		if l.perSecond > 0 {
			tokens, perSecond = tokens+l.level(now), perSecond+l.perSecond
		}
	}
	missing := float64(n) - tokens
	switch {
	case missing <= 0:
		return 0, true
	case perSecond == 0:
		return 0, false
	}
	after = time.Duration(missing / perSecond * float64(time.Second))
	return after, after <= within
}
