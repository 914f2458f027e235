package quota

import (
	"math/bits"
	"time"
)

// fractionUnit is the number of fraction units in a token: nanotokens per second times nanoseconds.
const fractionUnit = uint64(nano) * nano

// level is the filled part of a bucket. Refill is exact: what does not make a whole token is carried in
// fraction units, so no sequence of small steps adds more than rate * time.
type level struct {
	tokens   int64
	fraction uint64
	at       time.Time
}

// refill advances the level to now. It rises to at most room tokens; a level above room is cut.
func (l *level) refill(now time.Time, rate, room int64) {
	room = max(room, 0)
	if elapsed := now.Sub(l.at); elapsed > 0 {
		l.at = now
		l.add(uint64(elapsed), rate, room)
	}
	l.cut(room)
}

func (l *level) add(elapsed uint64, rate, room int64) {
	hi, lo := bits.Mul64(uint64(rate), elapsed)
	lo, carry := bits.Add64(lo, l.fraction, 0)
	hi += carry
	if hi >= fractionUnit {
		l.tokens = room
		return
	}
	q, rem := bits.Div64(hi, lo, fractionUnit)
	if l.tokens >= room || q >= uint64(room-l.tokens) {
		l.tokens, l.fraction = max(l.tokens, room), 0
		return
	}
	l.tokens += int64(q)
	l.fraction = rem
}

// cut drops what is above room, the fraction included.
func (l *level) cut(room int64) {
	if room = max(room, 0); l.tokens >= room {
		l.tokens, l.fraction = room, 0
	}
}

// wait returns the time until the refill adds the missing tokens, or -1 if it never does.
func wait(missing, rate int64) time.Duration {
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
