package dispatch

import (
	"math"
	"time"
)

const (
	// minRankShare is the least served fraction (grants per arrival) of a rank with waiting jobs, relative to that of all
	// ranks together. It exceeds the quarter that each kind of request must get, so that the quarter holds in spite of the
	// variation over a few seconds.
	minRankShare = 0.4
	// rankWindow is the time constant with which arrivals and grants are forgotten. It is about the time that a stream
	// keeps its slot; a longer one would hide that a rank gets nothing now.
	rankWindow = 3 * time.Second
	// minRankArrivals is the number of recent arrivals below which a rank has no share of its own.
	minRankArrivals = 2
)

// rankShares counts the arrivals and grants of each rank with exponential decay, and decides which ranks have got less
// than their share. It is pure: the zero value is ready for use and not safe for concurrent use.
type rankShares struct {
	ranks   map[int]*rankCount
	updated time.Time
}

type rankCount struct{ arrived, granted float64 }

func (r *rankShares) count(rank int, now time.Time) *rankCount {
	if r.ranks == nil {
		r.ranks = map[int]*rankCount{}
	}
	r.decay(now)
	c := r.ranks[rank]
	if c == nil {
		c = &rankCount{}
		r.ranks[rank] = c
	}
	return c
}

// clone returns an independent copy.
func (r *rankShares) clone() *rankShares {
	c := &rankShares{updated: r.updated, ranks: make(map[int]*rankCount, len(r.ranks))}
	for rank, n := range r.ranks {
		c.ranks[rank] = &rankCount{arrived: n.arrived, granted: n.granted}
	}
	return c
}

// decay brings the counts to the present and removes ranks without recent jobs.
func (r *rankShares) decay(now time.Time) {
	elapsed := now.Sub(r.updated)
	if elapsed <= 0 {
		return
	}
	r.updated = now
	keep := math.Exp(-elapsed.Seconds() / rankWindow.Seconds())
	for rank, c := range r.ranks {
		c.arrived *= keep
		c.granted *= keep
		if c.arrived+c.granted < 0.01 {
			delete(r.ranks, rank)
		}
	}
}

func (r *rankShares) arrived(rank int, now time.Time) { r.count(rank, now).arrived++ }

func (r *rankShares) granted(rank int, now time.Time) { r.count(rank, now).granted++ }

// undo takes back a grant that the backend server refused.
func (r *rankShares) undo(rank int, now time.Time) {
	c := r.count(rank, now)
	c.granted = max(c.granted-1, 0)
}

// owed reports whether a rank has got less than its share. It is never true for the only rank.
func (r *rankShares) owed(rank int, now time.Time) bool {
	if len(r.ranks) < 2 {
		return false
	}
	r.decay(now)
	own := r.ranks[rank]
	if own == nil || own.arrived < minRankArrivals {
		return false
	}
	var all rankCount
	for _, c := range r.ranks {
		all.arrived += c.arrived
		all.granted += c.granted
	}
	return own.granted*all.arrived < minRankShare*all.granted*own.arrived
}
