package placement

import (
	"time"
)

const (
	// DefaultPrefillPerToken is the prefill time per uncached token before the first observation.
	DefaultPrefillPerToken = 25 * time.Microsecond
	// DefaultDecodePerToken is the time per output token of one stream before the first observation.
	DefaultDecodePerToken = 28 * time.Millisecond
	// DefaultTransferPerToken is the transfer time per prompt token on an idle link before the first observation.
	DefaultTransferPerToken = 5 * time.Microsecond
	// stageOverhead is the fixed part of a prefill or transfer: connection, scheduling, one engine step.
	stageOverhead = 4 * time.Millisecond
	// fasterWeight and slowerWeight are the weights of samples below and above the estimate. Observed durations include
	// waits at the engine, which the reservation table predicts separately, so a faster sample is closer to the cost.
	fasterWeight = 0.3
	slowerWeight = 0.05
	// fullSampleTokens is the size of a sample with full weight. Short samples measure mostly waits and fixed costs, so
	// their weight falls with the square of their size.
	fullSampleTokens = 4096
)

// Costs are the estimated costs of one server, in nanoseconds per token.
type Costs struct {
	prefill, decode, transfer float64
}

// DefaultCosts returns the costs of a server without observations.
func DefaultCosts() Costs {
	return Costs{
		prefill: float64(DefaultPrefillPerToken), decode: float64(DefaultDecodePerToken),
		transfer: float64(DefaultTransferPerToken),
	}
}

// Update updates the costs with an observation. Failed and empty observations are ignored.
func (c *Costs) Update(o Observation) {
	if o.Failed || o.Tokens <= 0 || o.Duration <= 0 {
		return
	}
	switch o.Stage {
	case StagePrefill:
		update(&c.prefill, o, stageOverhead)
	case StageTransfer:
		update(&c.transfer, o, stageOverhead)
	case StageDecode:
		sample := float64(o.Duration) / float64(o.Tokens)
		c.decode += slowerWeight * (sample - c.decode)
	case StageService:
	}
}

func update(cost *float64, o Observation, base time.Duration) {
	if o.Duration <= base {
		return
	}
	size := min(1, float64(o.Tokens)/fullSampleTokens)
	sample := float64(o.Duration-base) / float64(o.Tokens)
	weight := slowerWeight
	if sample < *cost {
		weight = fasterWeight
	}
	*cost += weight * size * size * (sample - *cost)
}

// Prefill predicts the prefill time of a number of uncached tokens.
func (c *Costs) Prefill(tokens int64) time.Duration {
	return stageOverhead + time.Duration(c.prefill*float64(max(0, tokens)))
}

// Decode predicts the time to generate a number of output tokens.
func (c *Costs) Decode(tokens int64) time.Duration {
	return time.Duration(c.decode * float64(max(0, tokens)))
}

// Transfer predicts the transfer time of a prompt's KV cache while inFlight other tokens share the link.
func (c *Costs) Transfer(tokens, inFlight int64) time.Duration {
	return stageOverhead + time.Duration(c.transfer*float64(tokens+inFlight))
}
