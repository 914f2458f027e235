// Package stagesplit decides how the engines of a service are divided between prefill and decode, and which engine
// changes its stage next. It answers the load in which one stage refuses work while engines of the other stand idle:
// long answers fill the decode engines, long prompts the prefill engines. It does no I/O and reads no clock.
package stagesplit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/boragecourse/boragecourse/internal/fleet"
)

const (
	// prefillUtilization is the share of a prefill engine's time that may be in use: prompts wait for an engine, and the
	// mean wait of an M/D/3 queue at this load is under two prompts, a fifth of a second.
	prefillUtilization = 0.9
	// decodeUtilization is the share of the decode slots that may be in use: streams hold them for seconds, so that one
	// without a free slot is refused or late.
	decodeUtilization = 0.85
	// busyLoad is the load of the busier stage below which nothing is moved: twice the load still finds room.
	busyLoad = 0.4
	// leastGain is the share by which another split must lower the load of the busier stage. A move costs an engine's
	// time while it changes its stage.
	leastGain = 0.08
	// turnPause is how long a move in the opposite direction waits and turnGain what it must gain, so that a short
	// burst moves no engine twice.
	turnPause = 20 * time.Second
	turnGain  = 0.3
	// confirmations is how many looks in a row must agree on the direction of a new target, turnConfirmations those
	// for the opposite direction: looks a second apart share most of their measurement.
	confirmations     = 2
	turnConfirmations = 5
	// settleTime is how long after engines came or left none is moved: while engines are replaced one by one, new ones
	// start before the old ones leave.
	settleTime = 3 * time.Second
	// leastSamples is how many arrivals a measurement needs.
	leastSamples = 20
)

// least is how many engines each stage keeps: in a service of four or more one may fail, in one of eight or more another
// may leave at the same time.
func least(engines int) int {
	switch {
	case engines >= 8:
		return 3
	case engines >= 4:
		return 2
	}
	return 1
}

// Load is what the generations of a service need, measured over some seconds on all hosts.
type Load struct {
	// Samples is the number of arrivals that were measured; PerSecond their rate, refused ones included.
	Samples   int
	PerSecond float64
	// Prefill is how long one prefill engine works on a mean prompt, Decode how long a mean generation holds a slot.
	Prefill, Decode time.Duration
	// Concurrency is the number of mean generations that one decode engine holds.
	Concurrency float64
}

// Engine is an engine with the stage that it has or is changing to.
type Engine struct {
	Key, Zone string
	Stage     fleet.Stage
	// InUse is the number of slots in use.
	InUse int
}

// Move is a change of an engine's stage.
type Move struct {
	Key string
	To  fleet.Stage
	// Before and After are the loads of the busier stage, 1 when it is full.
	Before, After float64
}

// Splitter remembers the split that it works towards and the last move. It is not safe for concurrent use.
type Splitter struct {
	// prefill of all engines prefill at the last look; target is the number that they are brought to.
	prefill, of, target int
	// towards is the direction that the last looks found better, agreed how many of them in a row.
	towards fleet.Stage
	agreed  int
	lastTo  fleet.Stage
	lastAt  time.Time
	// changedAt is when engines came or left last.
	changedAt time.Time
}

// bottleneck is the load of the busier stage for a number of engines in each.
func (l Load) bottleneck(prefill, decode int) float64 {
	p := l.PerSecond * l.Prefill.Seconds() / (prefillUtilization * float64(prefill))
	d := l.PerSecond * l.Decode.Seconds() / (decodeUtilization * l.Concurrency * float64(decode))
	return max(p, d)
}

func (l Load) measured() bool {
	return l.Samples >= leastSamples && l.Prefill > 0 && l.Decode > 0 && l.Concurrency > 0
}

// Next returns the next move, if one is worth its cost.
func (s *Splitter) Next(engines []Engine, load Load, now time.Time) (Move, bool) {
	prefill, decode := count(engines)
	s.notice(prefill, len(engines), now)
	switch {
	case now.Sub(s.changedAt) < settleTime:
		return Move{}, false
	case prefill == 0 || decode == 0:
		return s.restore(engines, prefill)
	case !load.measured():
		return Move{}, false
	}
	s.retarget(load, now)
	m := Move{Before: load.bottleneck(prefill, decode)}
	switch {
	case s.target < prefill:
		m.To, m.After = fleet.Decode, load.bottleneck(prefill-1, decode+1)
	case s.target > prefill:
		m.To, m.After = fleet.Prefill, load.bottleneck(prefill+1, decode-1)
	default:
		return Move{}, false
	}
	key, movable := choose(engines, m.To)
	m.Key = key
	return m, movable
}

// notice takes note of the engines that are there. Ones that came or left by themselves make the last move no reason
// to wait with the next.
func (s *Splitter) notice(prefill, engines int, now time.Time) {
	if prefill != s.prefill || engines != s.of {
		s.target, s.lastTo, s.agreed, s.changedAt = prefill, fleet.NoStage, 0, now
	}
	s.prefill, s.of = prefill, engines
}

// restore gives a stage that has lost all its engines one of the other's.
func (s *Splitter) restore(engines []Engine, prefill int) (Move, bool) {
	if len(engines) < 2 {
		return Move{}, false
	}
	m := Move{To: fleet.Decode, Before: math.Inf(1)}
	if prefill == 0 {
		m.To = fleet.Prefill
	}
	key, movable := choose(engines, m.To)
	if !movable {
		key = engines[0].Key
	}
	m.Key = key
	return m, true
}

// retarget sets the target to the best split if it is better than the present target by enough.
func (s *Splitter) retarget(load Load, now time.Time) {
	present := load.bottleneck(s.target, s.of-s.target)
	if present < busyLoad {
		return
	}
	best := s.target
	for n := least(s.of); n <= s.of-least(s.of); n++ {
		if load.bottleneck(n, s.of-n) < load.bottleneck(best, s.of-best) {
			best = n
		}
	}
	gain, confirm, towards := leastGain, confirmations, direction(s.target, best)
	turning := s.lastTo != fleet.NoStage && towards != s.lastTo
	if turning {
		gain, confirm = turnGain, turnConfirmations
	}
	if load.bottleneck(best, s.of-best) > present*(1-gain) {
		s.agreed = 0
		return
	}
	if s.towards != towards {
		s.towards, s.agreed = towards, 0
	}
	s.agreed++
	if s.agreed < confirm || turning && now.Sub(s.lastAt) < turnPause {
		return
	}
	s.target, s.agreed = best, 0
}

// direction is the stage that engines change to on the way from one number of prefill engines to another.
func direction(from, to int) fleet.Stage {
	if to < from {
		return fleet.Decode
	}
	return fleet.Prefill
}

// Moved records a move that was commanded.
func (s *Splitter) Moved(m Move, now time.Time) {
	s.lastTo, s.lastAt = m.To, now
	if m.To == fleet.Prefill {
		s.prefill++
	} else {
		s.prefill--
	}
	if s.target == 0 || s.target == s.of {
		// The move restored a stage.
		s.target = s.prefill
	}
}

func count(engines []Engine) (prefill, decode int) {
	for _, e := range engines {
		if e.Stage == fleet.Prefill {
			prefill++
		} else {
			decode++
		}
	}
	return prefill, decode
}

// choose takes the engine from the zone that has most of the other stage, and there the one with the fewest slots in
// use. No zone loses its last engine of a stage: it may be cut off from the others.
func choose(engines []Engine, to fleet.Stage) (key string, movable bool) {
	zones := map[string]int{}
	for _, e := range engines {
		if e.Stage != to {
			zones[e.Zone]++
		}
	}
	var candidates []Engine
	for _, e := range engines {
		if e.Stage != to && zones[e.Zone] > 1 {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	return slices.MinFunc(candidates, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(zones[b.Zone], zones[a.Zone]), cmp.Compare(a.InUse, b.InUse), cmp.Compare(a.Key, b.Key))
	}).Key, true
}
