package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// shareMemory is the time constant with which granted and asked work is forgotten. It spans several decodes,
	// so that one long answer does not turn a workspace's order around.
	shareMemory = 10 * time.Second
	// levelAge is how old the fair level may be before it is computed again.
	levelAge = 50 * time.Millisecond
	// overMargin is how far above the fair level a workspace counts as over its share.
	overMargin = 1.05
	// forgotten is the work in tokens below which a workspace is dropped from the table.
	forgotten = 1.0
)

// Shares counts the work granted to each workspace. The virtual token counter of a workspace is its granted
// tokens divided by its weight, both decayed, so that idle time gives no unlimited credit. Shares is a pure state
// machine; the caller serializes calls.
type Shares struct {
	at       time.Time
	levelAt  time.Time
	entries  map[string]*share
	contents []*share
}

type share struct {
	name           string
	weight         float64
	granted, asked float64
	// over is from the last computation of the fair level: compared with a later amount, an old level would count
	// every workspace of a burst as over its share.
	over bool
}

// NewShares returns an empty table.
func NewShares() *Shares { return &Shares{entries: map[string]*share{}} }

// Ask records that the workspace wants work.
func (s *Shares) Ask(now time.Time, workspace string, weight, tokens int64) {
	s.entry(now, workspace, weight).asked += float64(tokens)
}

// Grant records that work was granted, or taken back with negative tokens.
func (s *Shares) Grant(now time.Time, workspace string, weight, tokens int64) {
	e := s.entry(now, workspace, weight)
	e.granted = max(0, e.granted+float64(tokens))
}

// Counter returns the virtual token counter in seconds of the workspace's rate.
func (s *Shares) Counter(workspace string) float64 {
	if e := s.entries[workspace]; e != nil {
		return e.granted / e.weight
	}
	return 0
}

// Over reports whether the workspace got more than its fair share while others asked for more than they got. The
// fair level is the max-min allocation of all granted work by weight.
func (s *Shares) Over(now time.Time, workspace string) bool {
	e := s.entries[workspace]
	if e == nil {
		return false
	}
	s.decay(now)
	if now.Sub(s.levelAt) >= levelAge {
		s.levelAt = now
		level := s.fairLevel()
		for _, x := range s.contents {
			x.over = x.granted > level*x.weight*overMargin
		}
	}
	return e.over
}

func (s *Shares) entry(now time.Time, workspace string, weight int64) *share {
	s.decay(now)
	e := s.entries[workspace]
	if e == nil {
		e = &share{name: workspace}
		s.entries[workspace] = e
		s.contents = append(s.contents, e)
	}
	e.weight = max(1, float64(weight))
	return e
}

// decay forgets work. It runs at most every levelAge, because it touches every entry.
func (s *Shares) decay(now time.Time) {
	passed := now.Sub(s.at)
	if passed < levelAge {
		return
	}
	s.at = now
	factor := math.Exp(-passed.Seconds() / shareMemory.Seconds())
	s.contents = slices.DeleteFunc(s.contents, func(e *share) bool {
		e.granted *= factor
		e.asked *= factor
		if e.granted+e.asked < forgotten {
			delete(s.entries, e.name)
			return true
		}
		return false
	})
}

// fairLevel fills the asked amounts like water until the sum of all granted work is used.
func (s *Shares) fairLevel() float64 {
	slices.SortFunc(s.contents, func(a, b *share) int { return cmp.Compare(a.asked/a.weight, b.asked/b.weight) })
	var left, weights float64
	for _, e := range s.contents {
		left += e.granted
		weights += e.weight
	}
	for _, e := range s.contents {
		if want := e.asked / e.weight; want*weights > left {
			return left / weights
		}
		left -= e.asked
		weights -= e.weight
	}
	return math.Inf(1)
}
