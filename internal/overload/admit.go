package overload

import (
	"math"
	"slices"
	"time"
)

const (
	// MinShare is the least served fraction of a rank relative to that of all requests. It exceeds the quarter that every
	// rank must get, so that the quarter holds in spite of the variation of arrivals.
	MinShare = 0.4
	// shareWindow is the time constant over which arrivals are counted by rank.
	shareWindow = 2 * time.Second
	// maxRanks bounds the ranks that are told apart; higher ones count as the last.
	maxRanks = 16
	// returnedExponent makes the probability of refusing a returned caller the power of that of a new one. With 2 or more,
	// most of the capacity under twice the load would go to returned callers, whose responses are late already.
	returnedExponent = 1.25
	// minRetryAfter is the least time after which a refused caller returns; maxRetryAfter bounds it.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Second
)

// Arrival describes a request on arrival.
type Arrival struct {
	// Rank orders requests, 0 is the most urgent.
	Rank int
	// Returned is set when the caller was refused before.
	Returned bool
	// FreeSlot is set when a server is believed to have a free slot.
	FreeSlot bool
	// Random is uniform in [0, 1).
	Random float64
	// TimeLeft is the time that the caller still waits. Callers wait for at most a third of it before they return.
	TimeLeft time.Duration
}

// Refusal states for how long a refused caller should stay away, before a random part is added.
type Refusal struct {
	RetryAfter  time.Duration
	Probability float64
	Delay       time.Duration
}

// Admit decides on an arrival. It returns nil if the request is admitted.
func (c *Controller) Admit(a Arrival, now time.Time) *Refusal {
	own, refusal := c.assess(a, now)
	if a.Random >= own {
		return nil
	}
	return refusal
}

// Preview returns the probability with which Admit would refuse an arrival now, and the refusal, without changing the controller.
func (c *Controller) Preview(a Arrival, objective time.Duration, now time.Time) (probability float64, r *Refusal) {
	// The servers are shared with the copy, because assess does not change them.
	preview := *c
	preview.SetObjective(objective)
	return preview.assess(a, now)
}

// assess counts an arrival and returns the probability of its refusal, and that refusal.
func (c *Controller) assess(a Arrival, now time.Time) (own float64, r *Refusal) {
	rank := min(max(a.Rank, 0), maxRanks-1)
	c.arrivals.add(rank, now)
	p := c.Probability(now)
	if p == 0 || a.FreeSlot {
		return 0, nil
	}
	own = c.arrivals.split(p)[rank]
	if a.Returned {
		own = math.Pow(own, returnedExponent)
	}
	return own, &Refusal{RetryAfter: c.retryAfter(p, a.TimeLeft, now), Probability: p, Delay: c.lastDelay}
}

// retryAfter returns the time until the queue is served and the probability has fallen, if the excess ended now. A caller
// that does not wait that long gets a time that it waits, with the random part.
func (c *Controller) retryAfter(p float64, left time.Duration, now time.Time) time.Duration {
	delay, _, _ := c.Delay(now)
	after := min(delay+time.Duration(p*float64(3*release)), maxRetryAfter)
	if left > 0 {
		after = min(after, left/6)
	}
	return max(after, minRetryAfter)
}

// shares counts arrivals by rank with exponential decay.
type shares struct {
	counts  [maxRanks]float64
	updated time.Time
}

func (s *shares) add(rank int, now time.Time) {
	keep := math.Exp(-max(now.Sub(s.updated), 0).Seconds() / shareWindow.Seconds())
	for i := range s.counts {
		s.counts[i] *= keep
	}
	s.updated = now
	s.counts[rank]++
}

// split divides the refusal of a share p of all arrivals among the ranks: the least urgent ranks are refused first, but
// each keeps MinShare of the served fraction of all.
func (s *shares) split(p float64) []float64 {
	return Split(p, s.counts[:])
}

// Split returns the probability of refusing a request of each rank, so that a share p of all arrivals is refused. counts
// holds the arrivals of each rank, the most urgent first. The least urgent ranks are refused first, but each keeps MinShare
// of the served fraction of all requests.
func Split(p float64, counts []float64) []float64 {
	total := 0.0
	for _, n := range counts {
		total += n
	}
	out := make([]float64, len(counts))
	most := 1 - MinShare*(1-p)
	rest := p * total
	for i, n := range slices.Backward(counts) {
		if n > 0 {
			out[i] = min(rest/n, most)
			rest -= out[i] * n
		}
	}
	return out
}
