package kvmemory_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/kvmemory"
)

const (
	capacity   = 106_000
	declared   = 9_100
	slots      = 12
	decodeRate = 1_400.0
	step       = 50 * time.Millisecond
)

// load simulates a burst in which another generation is always waiting for the engine: prompts of about 5,000 tokens,
// outputs of about 4,400, and length hints that are off by a factor of 1.6.
type load struct {
	rng       *rand.Rand
	predictor *kvmemory.Predictor
}

type generation struct {
	kvmemory.Run
	output int64
}

func newLoad(seed uint64) *load {
	l := &load{rng: rand.New(rand.NewPCG(seed, 1)), predictor: kvmemory.NewPredictor()}
	for range 200 {
		output, _ := l.lengths()
		l.predictor.Record(output, output, time.Duration(float64(output)/decodeRate*float64(time.Second)))
	}
	return l
}

func (l *load) lengths() (output, hint int64) {
	output = min(int64(4400*math.Exp(0.48*l.rng.NormFloat64()-0.11)), declared)
	return output, int64(float64(output) * math.Exp(0.47*l.rng.NormFloat64()))
}

func (l *load) next(now time.Time) *generation {
	output, hint := l.lengths()
	prompt := min(int64(5000*math.Exp(0.48*l.rng.NormFloat64()-0.11)), 11_000)
	return &generation{output: output, Run: kvmemory.Run{Prompt: prompt, At: now, Output: l.predictor.Forecast(hint, declared)}}
}

// simulate runs one engine for a minute and returns the number of generations that finished and that were preempted
// for lack of memory. admit decides whether the engine takes another one.
func (l *load) simulate(admit func(running []*generation, another *generation, now time.Time) bool) (finished, preempted int) {
	now := time.Unix(0, 0)
	var running []*generation
	waiting := l.next(now)
	for range int(time.Minute / step) {
		now = now.Add(step)
		var kept []*generation
		used := int64(0)
		for _, g := range running {
			g.Generated, g.At = g.Generated+int64(decodeRate*step.Seconds()), now
			if g.Generated >= g.output {
				finished++
				continue
			}
			if used+g.Prompt+g.Generated > capacity {
				preempted++
				continue
			}
			used += g.Prompt + g.Generated
			kept = append(kept, g)
		}
		running = kept
		for len(running) < slots && admit(running, waiting, now) {
			running = append(running, waiting)
			waiting = l.next(now)
		}
	}
	return finished, preempted
}

func byForecast(margin float64) func([]*generation, *generation, time.Time) bool {
	return func(running []*generation, another *generation, now time.Time) bool {
		runs := make([]kvmemory.Run, len(running))
		for i, g := range running {
			runs[i] = g.Run
		}
		another.At = now
		return kvmemory.Fits(kvmemory.Needs(runs, decodeRate, now), another.Run, capacity, margin, decodeRate, now)
	}
}

func byDeclared(running []*generation, another *generation, _ time.Time) bool {
	used := another.Prompt + declared
	for _, g := range running {
		used += g.Prompt + declared
	}
	return used <= capacity
}

// Guards against memory use that is no better than with a reservation of the declared output of every generation, and
// against overcommitment that leads to preemptions.
func TestForecastServesMoreThanReservingDeclaredOutput(t *testing.T) {
	g := NewWithT(t)
	var forecast, reserved, preempted int
	for seed := range uint64(10) {
		finished, evicted := newLoad(seed).simulate(byForecast(kvmemory.SafetyMargin))
		forecast, preempted = forecast+finished, preempted+evicted
		finished, evicted = newLoad(seed).simulate(byDeclared)
		g.Expect(evicted).To(BeZero())
		reserved += finished
	}
	t.Logf("finished: %d by forecast with %d preempted, %d by declared output", forecast, preempted, reserved)
	g.Expect(float64(forecast)).To(BeNumerically(">", 1.25*float64(reserved)))
	g.Expect(float64(preempted)).To(BeNumerically("<", 0.02*float64(forecast)))
}

// Guards against counting the memory of a run as free because its output exceeds the forecast.
func TestLongRunsKeepTheirMemory(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	long := kvmemory.Run{Prompt: 5000, Generated: 9000, At: now, Output: kvmemory.Output{LogMean: math.Log(1000), LogSigma: 0.3, Max: declared}}
	needs := kvmemory.Needs([]kvmemory.Run{long}, decodeRate, now)
	g.Expect(needs[0].Mean).To(BeNumerically(">=", 14_000))
}

// Guards against a forecast above the declared maximum, and against one that ignores the hint or finished generations.
func TestForecastFollowsHintAndFinishedGenerations(t *testing.T) {
	g := NewWithT(t)
	p := newLoad(3).predictor
	short, long, none := p.Forecast(1000, declared), p.Forecast(9000, declared), p.Forecast(0, declared)
	g.Expect(short.Median()).To(BeNumerically("<", none.Median()))
	g.Expect(long.Median()).To(BeNumerically(">", none.Median()))
	g.Expect(none.Median()).To(BeNumerically("~", 4000, 600))
	g.Expect(p.Forecast(1e9, declared).Median()).To(BeNumerically("<=", declared))
}

// Guards against a decode rate that is too high because the total output of a generation is divided by the time at its
// last engine only.
func TestDecodeRateIsThatOfTheLastRun(t *testing.T) {
	g := NewWithT(t)
	p := kvmemory.NewPredictor()
	for range 100 {
		p.Record(4_200, 1_400, time.Second)
	}
	g.Expect(p.DecodeRate()).To(BeNumerically("~", 1_400, 1))
	g.Expect(p.Forecast(0, 9_100).Median()).To(BeNumerically("~", 4_200, 200))
}

// Guards against a duration forecast that ignores the declared maximum or the variance of the output length.
func TestDurationOfAnOutput(t *testing.T) {
	g := NewWithT(t)
	o := kvmemory.Output{LogMean: math.Log(2_800), LogSigma: math.Log(1.5), Max: 10_000}
	g.Expect(o.Duration(1_400)).To(BeNumerically("~", 3*time.Second, time.Millisecond))
	o.Max = 1_400
	g.Expect(o.Duration(1_400)).To(Equal(time.Second))
	g.Expect(o.Duration(0)).To(BeZero())
}

// Guards against a forecast that takes the runs of a slow engine for finished, so that it gets more than its memory holds, and
// against a relative time without bounds.
func TestForecastUsesTheRateOfTheEngine(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	p := kvmemory.NewPredictor()
	for range 100 {
		p.Record(2_800, 2_800, kvmemory.OrdinaryTime(4*time.Second, 2))
	}
	g.Expect(p.DecodeRate()).To(BeNumerically("~", 1_400, 1), "the time at a slow engine does not change the usual rate")
	run := kvmemory.Run{Prompt: 5_000, Generated: 500, At: now, Output: kvmemory.Output{LogMean: math.Log(2_800), LogSigma: 0.3, Max: declared}}
	in3s := func(relative float64) float64 {
		return kvmemory.Needs([]kvmemory.Run{run}, p.EngineRate(relative), now)[5].Mean
	}
	g.Expect(in3s(2)).To(BeNumerically(">", 2*in3s(1)))
	g.Expect(p.EngineRate(1000)).To(Equal(p.EngineRate(4)))
	g.Expect(p.EngineRate(0)).To(Equal(p.DecodeRate()))
}
