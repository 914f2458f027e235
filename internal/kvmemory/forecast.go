// Package kvmemory forecasts how much memory the generations at a decode engine will need, so that an engine is filled
// as far as it goes without running out. An engine without memory preempts a generation and processes its prompt
// again, which costs more than the generation is worth; reserving every declared output leaves a third of the memory
// unused. It answers the load of bursts, in which decode memory binds. It does no I/O and reads no clock.
package kvmemory

import (
	"math"
	"time"
)

// Run is a generation at a decode engine.
type Run struct {
	Prompt int64
	// Generated is the output so far, as of At.
	Generated int64
	At        time.Time
	// Output is the forecast of its output.
	Output Output
}

// Output is a forecast of an output length: log-normal, cut off at Max.
type Output struct {
	// LogMean and LogSigma are the mean and standard deviation of the logarithm.
	LogMean, LogSigma float64
	Max               int64
}

// exceeds is the probability that the output is longer than n.
func (o Output) exceeds(n float64) float64 {
	switch {
	case n >= float64(o.Max):
		return 0
	case n <= 0:
		return 1
	}
	return 0.5 * math.Erfc((math.Log(n)-o.LogMean)/(o.LogSigma*math.Sqrt2))
}

// Median is the most likely output, for logs and for the order of waiting requests.
func (o Output) Median() float64 { return math.Min(math.Exp(o.LogMean), float64(o.Max)) }

// Duration is the time that the output takes at a pace in tokens per second, but for one generation in six, which takes
// longer.
func (o Output) Duration(pace float64) time.Duration {
	if pace <= 0 {
		return 0
	}
	tokens := math.Min(math.Exp(o.LogMean+o.LogSigma), float64(o.Max))
	return time.Duration(tokens / pace * float64(time.Second))
}

const (
	// hintSigma is the standard deviation of the logarithm of output over hint.
	hintSigma = 0.5
	// priorSigma and priorMean describe outputs before any has been seen: wide, around half of what is declared.
	priorSigma = 0.6
	priorShare = 0.5
	// priorWeight is how many finished generations outweigh the assumption.
	priorWeight = 20
	// learnRate is the weight of the newest generation in the running averages.
	learnRate = 0.02
	// startPace is the output per second of one generation before any was seen, in tokens.
	startPace = 1400
)

// Predictor learns how long outputs are and how fast they grow. It is not safe for concurrent use.
type Predictor struct {
	seen              float64
	logMean, variance float64
	pace              float64
}

// NewPredictor returns a predictor that has seen nothing.
func NewPredictor() *Predictor { return &Predictor{pace: startPace} }

// Finished records the whole output of a generation, and how much of it the last engine generated in which time.
func (p *Predictor) Finished(output, lastRun int64, took time.Duration) {
	if output <= 0 || lastRun <= 0 || took <= 0 {
		return
	}
	l := math.Log(float64(output))
	rate := math.Max(learnRate, 1/(p.seen+1))
	d := l - p.logMean
	p.logMean += rate * d
	p.variance = (1 - rate) * (p.variance + rate*d*d)
	p.seen++
	p.pace += math.Max(learnRate, 1/(p.seen+1)) * (float64(lastRun)/took.Seconds() - p.pace)
}

// Pace is the output of one generation in a second, in tokens.
func (p *Predictor) Pace() float64 { return p.pace }

// Forecast combines a caller's hint, 0 when there is none, with what was learned.
func (p *Predictor) Forecast(hint, declared int64) Output {
	assumed := math.Log(math.Max(priorShare*float64(declared), 1))
	w := p.seen / (p.seen + priorWeight)
	mean := w*p.logMean + (1-w)*assumed
	variance := w*p.variance + (1-w)*priorSigma*priorSigma
	if hint > 0 {
		precision := 1/variance + 1/(hintSigma*hintSigma)
		mean = (mean/variance + math.Log(float64(hint))/(hintSigma*hintSigma)) / precision
		variance = 1 / precision
	}
	return Output{LogMean: mean, LogSigma: math.Sqrt(variance), Max: max(declared, 1)}
}

// Spread is how many standard deviations of the forecast an engine has to spare. Preempting costs about as much as a
// whole generation is worth.
const Spread = 2.0

// horizons are the times ahead at which the need is forecast; generations take a few seconds.
var horizons = []time.Duration{
	0, 500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 4 * time.Second,
}

// Need is a forecast of the memory in use at one time ahead: mean and variance, in tokens.
type Need struct{ Mean, Variance float64 }

// Needs returns the forecast for each horizon.
func Needs(runs []Run, pace float64, now time.Time) []Need {
	needs := make([]Need, len(horizons))
	for i := range runs {
		runs[i].add(needs, pace, now)
	}
	return needs
}

func (r *Run) add(needs []Need, pace float64, now time.Time) {
	generated := math.Min(float64(r.Generated)+pace*math.Max(now.Sub(r.At).Seconds(), 0), float64(r.Output.Max))
	alive := math.Max(r.Output.exceeds(float64(r.Generated)), 1e-6)
	for i, h := range horizons {
		at := math.Min(generated+pace*h.Seconds(), float64(r.Output.Max))
		p := math.Min(r.Output.exceeds(at)/alive, 1)
		if i == 0 {
			// A run that is known to be there holds its memory, whatever was forecast.
			p = 1
		}
		size := float64(r.Prompt) + at
		needs[i].Mean += p * size
		needs[i].Variance += p * (1 - p) * size * size
	}
}

// Fits tells whether another run finds room: at no time ahead does the need exceed the capacity, with the given number
// of standard deviations to spare.
func Fits(needs []Need, another Run, capacity int64, spread, pace float64, now time.Time) bool {
	total := make([]Need, len(needs))
	copy(total, needs)
	another.add(total, pace, now)
	for _, n := range total {
		if n.Mean+spread*math.Sqrt(n.Variance) > float64(capacity) {
			return false
		}
	}
	return true
}
