// Package stagesplit decides how the engines of a service are split between prefill and decode, and which engine
// changes its stage next. It prevents one stage from refusing requests while engines of the other are idle: long
// responses saturate the decode engines, long prompts the prefill engines. The package does no I/O and reads no clock.
package stagesplit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/boragecourse/boragecourse/internal/fleet"
)

const (
	// prefillUtilization is the utilization at which a prefill engine counts as full. Prompts can wait for an engine:
	// the mean wait in an M/D/3 queue at this utilization is less than the time of two prompts, 0.2 s.
	prefillUtilization = 0.9
	// decodeUtilization is the fraction of the decode slots in use at which the stage counts as full. Streams hold
	// their slots for seconds, so a stream that finds none free is refused or late.
	decodeUtilization = 0.85
	// busyLoad is the load of the busier stage below which no engine is moved: even at twice this load, the stage is
	// not full.
	busyLoad = 0.4
	// minGain is the fraction by which another split must lower the load of the busier stage. A smaller gain is not
	// worth a move, since an engine serves no requests while it changes its stage.
	minGain = 0.08
	// reversalPause is the minimum time between the last move and one in the opposite direction, and reversalGain the
	// gain that such a move requires, so that a short burst does not move an engine twice.
	reversalPause = 20 * time.Second
	reversalGain  = 0.3
	// confirmations is the number of consecutive evaluations that must agree on the direction of a new target,
	// reversalConfirmations the number for the opposite direction. One is not enough, since the measurement windows of
	// evaluations one second apart overlap for the most part.
	confirmations         = 2
	reversalConfirmations = 5
	// settleTime is how long no engine is moved after engines were added or removed: during a rolling replacement, new
	// engines start before the old ones leave.
	settleTime = 3 * time.Second
	// smallChange is the fraction of the engines that may be added or removed without a settleTime. A few of many engines do
	// not change which split is best, and in a large fleet some come and go all the time.
	smallChange = 0.1
	// enginesPerMove is the number of engines for each of which one may be moved at a time.
	enginesPerMove = 16
	// minSamples is the number of arrivals that a usable measurement needs.
	minSamples = 20
)

// minPerStage returns the number of engines that each stage keeps. With four or more engines in total, each stage
// tolerates the failure of one engine. With eight or more, it also tolerates that another one leaves at the same time.
func minPerStage(engines int) int {
	switch {
	case engines >= 8:
		return 3
	case engines >= 4:
		return 2
	}
	return 1
}

// Load is the demand of the generations of a service, measured over meterWindow on all hosts.
type Load struct {
	// Samples is the number of measured arrivals, and ArrivalRate is their rate per second. Both include refused
	// requests.
	Samples     int
	ArrivalRate float64
	// Prefill is the time in which one prefill engine processes a prompt of mean size. Decode is how long a generation
	// of mean size holds a decode slot.
	Prefill, Decode time.Duration
	// Concurrency is the number of generations of mean size that one decode engine can run at the same time.
	Concurrency float64
}

// Engine is an engine of the service. Stage is the one that it serves or is changing to.
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
	// Before and After are the load of the busier stage before and after the move; 1 means full, Before is infinite
	// when a stage has no engine.
	Before, After float64
}

// Splitter plans the moves of engines between the stages. It keeps the target split and the last move, and is not safe
// for concurrent use.
type Splitter struct {
	// prefill is the number of prefill engines and total that of all engines at the last evaluation; target is the
	// number of prefill engines to reach.
	prefill, total, target int
	// settled is the number of engines when it last changed considerably.
	settled int
	// towards is the direction that the last evaluations preferred, and agreed is the number of consecutive evaluations
	// with that direction.
	towards fleet.Stage
	agreed  int
	// lastTo and lastAt are the direction and the time of the last move.
	lastTo fleet.Stage
	lastAt time.Time
	// changedAt is when engines were last added or removed.
	changedAt time.Time
}

// bottleneck returns the load of the busier stage with the given number of engines in each; 1 means full.
func (l Load) bottleneck(prefill, decode int) float64 {
	p := l.ArrivalRate * l.Prefill.Seconds() / (prefillUtilization * float64(prefill))
	d := l.ArrivalRate * l.Decode.Seconds() / (decodeUtilization * l.Concurrency * float64(decode))
	return max(p, d)
}

func (l Load) measured() bool {
	return l.Samples >= minSamples && l.Prefill > 0 && l.Decode > 0 && l.Concurrency > 0
}

// Next returns the next move, or false if no move is worth its cost. It is called about once per second; the caller
// reports a move that it carries out with RecordMove.
func (s *Splitter) Next(engines []Engine, load Load, now time.Time) (Move, bool) {
	prefill, decode := count(engines)
	s.observe(prefill, len(engines), now)
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
	if m.After >= m.Before {
		// The load, or the number of engines, has changed since the target was set.
		s.target = prefill
		return Move{}, false
	}
	key, movable := choose(engines, m.To)
	m.Key = key
	return m, movable
}

// MaxMoves returns how many of a number of engines may change their stage at the same time.
func MaxMoves(engines int) int { return max(engines/enginesPerMove, 1) }

// observe records the current number of engines. If it changed considerably other than by a move, the target and the last move
// are reset, so that the next move does not wait for reversalPause.
func (s *Splitter) observe(prefill, engines int, now time.Time) {
	change := abs(prefill-s.prefill) + abs((engines-prefill)-(s.total-s.prefill))
	if float64(change) > smallChange*float64(s.settled) {
		s.target, s.lastTo, s.agreed, s.changedAt, s.settled = prefill, fleet.NoStage, 0, now, engines
	} else {
		// The moves that are left to do stay the same.
		s.target += prefill - s.prefill
	}
	s.prefill, s.total = prefill, engines
}

func abs(n int) int { return max(n, -n) }

// restore returns a move that assigns an engine of the other stage to a stage without engines.
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

// retarget sets the target to the split with the lowest bottleneck, if its gain over the current target is large enough
// and enough consecutive evaluations agree on the direction.
func (s *Splitter) retarget(load Load, now time.Time) {
	current := load.bottleneck(s.target, s.total-s.target)
	if current < busyLoad {
		return
	}
	best := s.target
	for n := minPerStage(s.total); n <= s.total-minPerStage(s.total); n++ {
		if load.bottleneck(n, s.total-n) < load.bottleneck(best, s.total-best) {
			best = n
		}
	}
	gain, confirm, towards := minGain, confirmations, direction(s.target, best)
	reversing := s.lastTo != fleet.NoStage && towards != s.lastTo
	if reversing {
		gain, confirm = reversalGain, reversalConfirmations
	}
	if load.bottleneck(best, s.total-best) > current*(1-gain) {
		s.agreed = 0
		return
	}
	if s.towards != towards {
		s.towards, s.agreed = towards, 0
	}
	s.agreed++
	if s.agreed < confirm || reversing && now.Sub(s.lastAt) < reversalPause {
		return
	}
	s.target, s.agreed = best, 0
}

// direction returns the stage to which engines change when the number of prefill engines goes from one value to
// another.
func direction(from, to int) fleet.Stage {
	if to < from {
		return fleet.Decode
	}
	return fleet.Prefill
}

// RecordMove records a move that the caller carries out.
func (s *Splitter) RecordMove(m Move, now time.Time) {
	s.lastTo, s.lastAt = m.To, now
	if m.To == fleet.Prefill {
		s.prefill++
	} else {
		s.prefill--
	}
	if s.target == 0 || s.target == s.total {
		// The move restored a stage that had no engine.
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

// choose returns the engine whose stage is to be changed to the stage to. It takes the one with the fewest slots in use
// in the availability zone with the most engines of the other stage. No zone loses its last engine of a stage, since a
// partition may separate it from the other zones.
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
