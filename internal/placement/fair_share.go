package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// shareDecayTime is the time constant with which granted and requested work decays. It spans several decodes, so
	// that one long output does not reverse the order of workspaces.
	shareDecayTime = 10 * time.Second
	// fairLevelMaxAge is the maximum age of the fair level before it is recomputed.
	fairLevelMaxAge = 50 * time.Millisecond
	// overShareMargin is the multiple of the fair level above which a workspace counts as over its share.
	overShareMargin = 1.05
	// minTrackedTokens is the work in tokens below which a workspace is removed from the table.
	minTrackedTokens = 1.0
)

// FairShareTable counts the work that each workspace requested and was granted. The virtual token counter of a
// workspace is its granted tokens divided by its weight. Granted and requested tokens decay, so that idle time gives no
// unlimited credit. It is a pure state machine; the caller passes the time and serializes calls.
type FairShareTable struct {
	decayedAt   time.Time
	fairLevelAt time.Time
	entries     map[string]*share
	list        []*share
}

// share is the entry of one workspace. granted and requested are decayed amounts in tokens.
type share struct {
	name               string
	weight             float64
	granted, requested float64
	// over reports whether granted was above the fair share when the fair level was last computed. It is stored, because a
	// comparison of the current amount with an older level would count every workspace of a burst as over its share.
	over bool
}

// NewFairShareTable returns an empty table.
func NewFairShareTable() *FairShareTable { return &FairShareTable{entries: map[string]*share{}} }

// AddRequested records that the workspace requested work of the given number of tokens.
func (t *FairShareTable) AddRequested(now time.Time, workspace string, weight, tokens int64) {
	t.entry(now, workspace, weight).requested += float64(tokens)
}

// AddGranted records granted work. A negative number of tokens subtracts work that was recorded before.
func (t *FairShareTable) AddGranted(now time.Time, workspace string, weight, tokens int64) {
	e := t.entry(now, workspace, weight)
	e.granted = max(0, e.granted+float64(tokens))
}

// VirtualCounter returns the workspace's virtual token counter, in seconds of its rate.
func (t *FairShareTable) VirtualCounter(workspace string) float64 {
	if e := t.entries[workspace]; e != nil {
		return e.granted / e.weight
	}
	return 0
}

// OverFairShare reports whether the workspace got more than its fair share while others requested more than they got.
// The fair level is the weighted max-min allocation of all granted work.
func (t *FairShareTable) OverFairShare(now time.Time, workspace string) bool {
	e := t.entries[workspace]
	if e == nil {
		return false
	}
	t.decay(now)
	if now.Sub(t.fairLevelAt) >= fairLevelMaxAge {
		t.fairLevelAt = now
		level := t.fairLevel()
		for _, x := range t.list {
			x.over = x.granted > level*x.weight*overShareMargin
		}
	}
	return e.over
}

func (t *FairShareTable) entry(now time.Time, workspace string, weight int64) *share {
	t.decay(now)
	e := t.entries[workspace]
	if e == nil {
		e = &share{name: workspace}
		t.entries[workspace] = e
		t.list = append(t.list, e)
	}
	e.weight = max(1, float64(weight))
	return e
}

// decay reduces all amounts. It runs at most once per fairLevelMaxAge, because it visits every entry.
func (t *FairShareTable) decay(now time.Time) {
	passed := now.Sub(t.decayedAt)
	if passed < fairLevelMaxAge {
		return
	}
	t.decayedAt = now
	factor := math.Exp(-passed.Seconds() / shareDecayTime.Seconds())
	t.list = slices.DeleteFunc(t.list, func(e *share) bool {
		e.granted *= factor
		e.requested *= factor
		if e.granted+e.requested < minTrackedTokens {
			delete(t.entries, e.name)
			return true
		}
		return false
	})
}

// fairLevel computes the max-min fair level: demands are satisfied in ascending order of demand per weight until the
// sum of all granted work is used up.
func (t *FairShareTable) fairLevel() float64 {
	slices.SortFunc(t.list, func(a, b *share) int { return cmp.Compare(a.requested/a.weight, b.requested/b.weight) })
	var left, weights float64
	for _, e := range t.list {
		left += e.granted
		weights += e.weight
	}
	for _, e := range t.list {
		if want := e.requested / e.weight; want*weights > left {
			return left / weights
		}
		left -= e.requested
		weights -= e.weight
	}
	return math.Inf(1)
}
