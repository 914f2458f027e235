package quota

import (
	"math/bits"
	"time"
)

// fractionUnit is the number of fraction units in a token. A fraction unit is what a rate of one nanotoken per second
// adds in one nanosecond.
const fractionUnit = uint64(nano) * nano

// level is the number of tokens in a bucket. The refill is exact: the remainder that is less than a token is
// carried over in fraction units, so that no sequence of small steps adds more than rate * time.
type level struct {
	tokens   int64
	fraction uint64
	at       time.Time
}

// refill advances the level to now, adding rate nanotokens per second up to capacity. A level above capacity is
// reduced to it.
func (l *level) refill(now time.Time, rate, capacity int64) {
	capacity = max(capacity, 0)
	if elapsed := now.Sub(l.at); elapsed > 0 {
		l.at = now
		l.add(uint64(elapsed), rate, capacity)
	}
	l.capAt(capacity)
}

func (l *level) add(elapsed uint64, rate, capacity int64) {
	hi, lo := bits.Mul64(uint64(rate), elapsed)
	lo, carry := bits.Add64(lo, l.fraction, 0)
	hi += carry
	if hi >= fractionUnit {
		l.tokens = capacity
		return
	}
	q, rem := bits.Div64(hi, lo, fractionUnit)
	if l.tokens >= capacity || q >= uint64(capacity-l.tokens) {
		l.tokens, l.fraction = max(l.tokens, capacity), 0
		return
	}
	l.tokens += int64(q)
	l.fraction = rem
}

// capAt limits the level to capacity. A level at capacity has no fraction.
func (l *level) capAt(capacity int64) {
	if capacity = max(capacity, 0); l.tokens >= capacity {
		l.tokens, l.fraction = capacity, 0
	}
}

// refillTime returns the time in which the refill adds the missing tokens, or -1 if it never does. rate is in
// nanotokens per second.
func refillTime(missing, rate int64) time.Duration {
	if rate <= 0 {
		return -1
	}
	hi, lo := bits.Mul64(uint64(max(missing, 0)), fractionUnit)
	if hi >= uint64(rate) {
		return -1
	}
	q, _ := bits.Div64(hi, lo, uint64(rate))
	if q >= 1<<62 {
		return -1
	}
	return time.Duration(q) + 1
}
