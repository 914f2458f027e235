package stagesplit_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/fleet"
	"github.com/boragecourse/boragecourse/internal/stagesplit"
)

var start = time.Unix(1000, 0)

func engines(prefill, decode int) []stagesplit.Engine {
	var out []stagesplit.Engine
	for i := range prefill + decode {
		stage := fleet.Prefill
		if i >= prefill {
			stage = fleet.Decode
		}
		out = append(out, stagesplit.Engine{Key: fmt.Sprint(i), Zone: fmt.Sprint(i % 3), Stage: stage})
	}
	return out
}

// longResponses is a load in which a prompt takes 0.1 s and a stream 3.5 s.
func longResponses(perSecond float64) stagesplit.Load {
	return stagesplit.Load{
		Samples: 100, ArrivalRate: perSecond, Prefill: 100 * time.Millisecond, Decode: 3500 * time.Millisecond, Concurrency: 11,
	}
}

// settle evaluates the split once per second and applies the moves until five consecutive evaluations yield none.
func settle(s *stagesplit.Splitter, es []stagesplit.Engine, load stagesplit.Load, now time.Time) (prefill, moves int) {
	for idle := 0; idle < 5; now = now.Add(time.Second) {
		m, ok := s.Next(es, load, now)
		if !ok {
			idle++
			continue
		}
		idle = 0
		moves++
		apply(es, m)
		s.RecordMove(m, now)
	}
	for _, e := range es {
		if e.Stage == fleet.Prefill {
			prefill++
		}
	}
	return prefill, moves
}

func apply(es []stagesplit.Engine, m stagesplit.Move) {
	for i := range es {
		if es[i].Key == m.Key {
			es[i].Stage = m.To
		}
	}
}

// Guards against engines that are idle in one stage while the other is full, in both directions.
func TestSplitFollowsTheLoad(t *testing.T) {
	for _, c := range []struct {
		name            string
		prefill, decode int
		load            stagesplit.Load
		want            int
	}{
		{"long responses, small fleet", 4, 5, longResponses(12), 3},
		{"long responses, large fleet", 12, 16, longResponses(40), 7},
		{"long prompts", 3, 6, stagesplit.Load{
			Samples: 100, ArrivalRate: 20, Prefill: 300 * time.Millisecond, Decode: 1500 * time.Millisecond, Concurrency: 11,
		}, 6},
		{"idle", 4, 5, longResponses(3), 4},
		{"two engines", 1, 1, longResponses(12), 1},
		{"few samples", 4, 5, stagesplit.Load{Samples: 5, ArrivalRate: 12, Prefill: time.Second, Decode: time.Second, Concurrency: 11}, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, _ := settle(&stagesplit.Splitter{}, engines(c.prefill, c.decode), c.load, start)
			NewWithT(t).Expect(got).To(Equal(c.want))
		})
	}
}

// Guards against oscillation: engines that change their stage back and forth when the load varies around a threshold.
func TestVaryingLoadMovesNoEngineTwice(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(3, 3))
	s := &stagesplit.Splitter{}
	es := engines(4, 5)
	moves := 0
	for second := range 120 {
		load := longResponses(12 * math.Exp(0.3*rng.NormFloat64()))
		load.Prefill = time.Duration(float64(load.Prefill) * math.Exp(0.25*rng.NormFloat64()))
		load.Decode = time.Duration(float64(load.Decode) * math.Exp(0.15*rng.NormFloat64()))
		now := start.Add(time.Duration(second) * time.Second)
		if m, ok := s.Next(es, load, now); ok {
			apply(es, m)
			s.RecordMove(m, now)
			moves++
		}
	}
	g.Expect(moves).To(BeNumerically("<=", 3))
}

// Guards against a zone that loses its last engine of a stage: a partition may separate it from the other zones.
func TestEachZoneKeepsBothStages(t *testing.T) {
	g := NewWithT(t)
	es := engines(4, 5) // The first zone has two prefill engines, the others one each.
	s := &stagesplit.Splitter{}
	for _, at := range []time.Duration{0, 2 * time.Second, 4 * time.Second} {
		_, ok := s.Next(es, longResponses(12), start.Add(at))
		g.Expect(ok).To(BeFalse(), "no move within settleTime of new engines, or after a single evaluation")
	}
	m, ok := s.Next(es, longResponses(12), start.Add(5*time.Second))
	g.Expect(ok).To(BeTrue())
	g.Expect(m.Key).To(BeElementOf("0", "3"))
	g.Expect(m.After).To(BeNumerically("<", m.Before))
	prefill, moves := settle(&stagesplit.Splitter{}, engines(3, 6), longResponses(12), start)
	g.Expect([]int{prefill, moves}).To(Equal([]int{3, 0}), "each zone has one prefill engine")
}

// Guards against a split that serves no more streams than the fixed one in a burst of long responses. It simulates the
// burst on the initial split and on the one that Next converges to.
func TestBurstOfLongResponsesIsServed(t *testing.T) {
	g := NewWithT(t)
	load := longResponses(18)
	fixed := served(load, 4, 5)
	prefill, _ := settle(&stagesplit.Splitter{}, engines(4, 5), load, start)
	adapted := served(load, prefill, 9-prefill)
	t.Logf("served of 1000 streams: %d with the fixed split, %d with %d prefill engines", fixed, adapted, prefill)
	g.Expect(adapted).To(BeNumerically(">", fixed+50))
}

// served simulates 1000 streams with random arrivals and sizes and returns how many are served: those whose prompt is
// processed within 0.8 s and that find a free decode slot on arrival.
func served(load stagesplit.Load, prefill, decode int) (n int) {
	rng := rand.New(rand.NewPCG(11, 11))
	free := make([]float64, prefill)
	var ends []float64
	now := 0.0
	for range 1000 {
		now += rng.ExpFloat64() / load.ArrivalRate
		kept := ends[:0]
		for _, e := range ends {
			if e > now {
				kept = append(kept, e)
			}
		}
		ends = kept
		if len(ends) >= int(load.Concurrency)*decode {
			continue
		}
		first := 0
		for i := range free {
			if free[i] < free[first] {
				first = i
			}
		}
		done := max(free[first], now) + load.Prefill.Seconds()*(0.5+rng.Float64())
		if done-now > 0.8 {
			continue
		}
		free[first] = done
		ends = append(ends, done+load.Decode.Seconds()*(0.5+rng.Float64()))
		n++
	}
	return n
}

// Guards against a stage that stays without engines after its last one left, and against delaying a move in the
// opposite direction when engines left other than by a move: one engine is moved to decode, then all other prefill
// engines leave.
func TestLostStageIsRestored(t *testing.T) {
	g := NewWithT(t)
	s := &stagesplit.Splitter{}
	es := engines(4, 5)
	now := start
	evaluate := func() (stagesplit.Move, bool) {
		now = now.Add(time.Second)
		m, ok := s.Next(es, longResponses(12), now)
		if ok {
			apply(es, m)
			s.RecordMove(m, now)
		}
		return m, ok
	}
	for range 4 {
		evaluate()
	}
	m, ok := evaluate()
	g.Expect(ok && m.To == fleet.Decode).To(BeTrue())
	var left []stagesplit.Engine
	for _, e := range es {
		if e.Stage == fleet.Decode {
			left = append(left, e)
		}
	}
	es = left
	for range 3 {
		_, ok = evaluate()
		g.Expect(ok).To(BeFalse(), "new engines may still start")
	}
	m, ok = evaluate()
	g.Expect(ok && m.To == fleet.Prefill).To(BeTrue(), "the prefill stage has no engine")
	for range 10 {
		evaluate()
	}
	prefill := 0
	for _, e := range es {
		if e.Stage == fleet.Prefill {
			prefill++
		}
	}
	g.Expect(prefill).To(Equal(2), "of six engines")
}

// Guards against a large fleet whose split never follows the load because single engines come and go, or follows it too slowly
// because engines are moved one by one.
func TestLargeFleetFollowsTheLoadWhileEnginesComeAndGo(t *testing.T) {
	g := NewWithT(t)
	s := &stagesplit.Splitter{}
	es := engines(21, 39)
	load := longResponses(60)
	now := start
	for second := range 8 {
		es = append(es, stagesplit.Engine{Key: fmt.Sprint("new", second), Zone: "0", Stage: fleet.Decode})
		es = es[:len(es)-second%2]
		for range stagesplit.MaxMoves(len(es)) {
			m, ok := s.Next(es, load, now)
			if !ok {
				break
			}
			apply(es, m)
			s.RecordMove(m, now)
		}
		now = now.Add(time.Second)
	}
	prefill := 0
	for _, e := range es {
		if e.Stage == fleet.Prefill {
			prefill++
		}
	}
	g.Expect(prefill).To(BeNumerically("<=", 16))
}

// Guards against moves right after a large part of the engines has changed, as in a rolling replacement, and against several
// moves at a time in a small fleet.
func TestManyNewEnginesDelayMoves(t *testing.T) {
	g := NewWithT(t)
	s := &stagesplit.Splitter{}
	load := longResponses(60)
	s.Next(engines(15, 30), load, start)
	_, moved := s.Next(engines(15, 40), load, start.Add(4*time.Second))
	g.Expect(moved).To(BeFalse())
	g.Expect(stagesplit.MaxMoves(12)).To(Equal(1))
}

// Guards against moves that make the busier stage busier: toward a target that was set for a load, or for engines, that are gone.
func TestMovesAlwaysRelieveTheBusierStage(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(3, 4))
	for range 50 {
		s := &stagesplit.Splitter{}
		es := engines(20, 40)
		now := start
		for range 40 {
			load := longResponses(20 + 100*rng.Float64())
			load.Prefill = time.Duration(50+rng.IntN(400)) * time.Millisecond
			if i := rng.IntN(len(es)); rng.IntN(3) == 0 && len(es) > 50 {
				es = append(es[:i:i], es[i+1:]...)
			}
			for range stagesplit.MaxMoves(len(es)) {
				m, ok := s.Next(es, load, now)
				if !ok {
					break
				}
				g.Expect(m.After).To(BeNumerically("<", m.Before))
				apply(es, m)
				s.RecordMove(m, now)
			}
			now = now.Add(time.Second)
		}
	}
}
