package serverload

import (
	"math"
	"slices"
	"time"
)

const (
	// levels is the number of steps of occupancy at which times are compared.
	levels = 8
	// levelSamples is the number of samples that make the time at a level known.
	levelSamples = 8
	// levelWeight is the least weight of a sample in the time of a level.
	levelWeight = 0.1
	// levelMemory is how long the time at a level counts without a new sample. A limit is raised by one level when what is
	// known of the level above has expired, so that a server that handles more again is noticed.
	levelMemory = 5 * time.Second
	// Throughput at a level counts as lower if it is below lossShare of the best one. Without a slowdown it rises with the
	// occupancy, so measurement errors do not reach this.
	lossShare = 0.85
	// A server has changed its speed when changeSamples in a row differ from the time at their levels by changeFactor, as a
	// logarithm (1.8 times), in the same direction. What was learned at the other speed is then discarded.
	changeSamples = 3
	changeFactor  = 0.588
	// limitMemory is how long the limits that other hosts report count. They are refreshed every 5 s.
	limitMemory = 10 * time.Second
	// minSharedLimits is the number of other hosts whose limits are needed to bound a server without own samples.
	minSharedLimits = 2
)

// limiter learns the occupancy up to which a server's throughput rises: the learned concurrency limit.
type limiter struct {
	slots int
	at    [levels]levelTime
	// limit is the number of concurrent requests, 0 if the throughput rises up to all slots.
	limit int
	// changed counts the samples in a row that differ from the time at their levels; negative for faster ones.
	changed int
}

type levelTime struct {
	average
	last time.Time
}

func (l *levelTime) known(now time.Time) bool {
	return l.n >= levelSamples && now.Sub(l.last) <= levelMemory
}

// step returns the number of requests in one level.
func (l *limiter) step() float64 { return math.Max(float64(l.slots)/levels, 1) }

func (l *limiter) levelOf(occupied int) int {
	return min(int(float64(occupied-1)/l.step()), levels-1)
}

// top returns the largest number of requests in a level.
func (l *limiter) top(level int) int {
	return min(int(math.Ceil(l.step()*float64(level+1))), l.slots)
}

// observe records the time that work took, as the logarithm of its ratio to the usual time.
func (l *limiter) observe(s Sample, v float64, now time.Time) {
	if s.Slots <= 0 || s.Occupied <= 0 || s.Occupied > s.Slots {
		return
	}
	if s.Slots != l.slots {
		*l = limiter{slots: s.Slots}
	}
	t := &l.at[l.levelOf(s.Occupied)]
	if now.Sub(t.last) > levelMemory {
		t.average = average{}
	}
	l.detectChange(t, v)
	t.add(v, levelWeight)
	t.last = now
	l.update(now)
}

func (l *limiter) detectChange(t *levelTime, v float64) {
	d := v - t.value
	switch {
	case t.n < levelSamples:
		return
	case d > changeFactor:
		l.changed = max(l.changed, 0) + 1
	case d < -changeFactor:
		l.changed = min(l.changed, 0) - 1
	default:
		l.changed = 0
	}
	if l.changed >= changeSamples || l.changed <= -changeSamples {
		*l = limiter{slots: l.slots}
	}
}

// update sets the limit to the level with the highest throughput if the throughput at a higher level is considerably lower.
func (l *limiter) update(now time.Time) {
	best, last, bestRate, lastRate := -1, -1, 0.0, 0.0
	for i := range l.at {
		if !l.at[i].known(now) {
			continue
		}
		rate := float64(l.top(i)) / math.Exp(l.at[i].value)
		if rate > bestRate {
			best, bestRate = i, rate
		}
		last, lastRate = i, rate
	}
	switch {
	case last > best && lastRate < lossShare*bestRate:
		l.limit = l.top(best)
	case l.limit > 0:
		l.raise(now)
	}
}

// raise lets a limited server get the requests of one level more once nothing is known of that level.
func (l *limiter) raise(now time.Time) {
	next := l.levelOf(l.limit) + 1
	if next >= levels || l.top(next) >= l.slots && l.limit >= l.slots {
		l.limit = 0
		return
	}
	if now.Sub(l.at[next].last) <= levelMemory {
		return
	}
	l.limit = l.top(next)
	l.at[next].last = now
	l.at[next].average = average{}
	if l.limit >= l.slots {
		l.limit = 0
	}
}

// crowding returns the factor by which the occupancy beyond the limit prolongs work.
func (l *limiter) crowding(occupied int) float64 {
	if l.limit <= 0 || occupied < l.limit {
		return 1
	}
	return float64(occupied+1) / float64(l.limit)
}

// Limit returns how many concurrent requests from all hosts a server handles well, at most slots.
func (m *Model) Limit(key string, slots int, now time.Time) int {
	r := m.servers[key]
	if r == nil {
		return slots
	}
	limit := r.limit.limit
	if limit == 0 && r.limit.slots == 0 {
		limit = r.sharedLimit(now)
	}
	if limit <= 0 {
		return slots
	}
	return min(max(limit, 1), slots)
}

// sharedLimit returns the median of the limits that other hosts report, or 0 if too few do.
func (r *record) sharedLimit(now time.Time) int {
	var limits []int
	for _, o := range r.shared {
		if o.Limit > 0 && now.Sub(o.At) <= limitMemory {
			limits = append(limits, o.Limit)
		}
	}
	if len(limits) < minSharedLimits {
		return 0
	}
	slices.Sort(limits)
	return limits[len(limits)/2]
}
