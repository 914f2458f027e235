package stagesplit

import (
	"math"
	"time"
)

const (
	// meterWindow is the period over which the load is measured. At ten arrivals per second it holds more than the
	// minSamples that a decision needs, and it is short compared with the minutes for which a load pattern lasts.
	meterWindow = 5 * time.Second
	// memoryShare is the fraction of an engine's KV memory that active generations use on average. The rest is kept
	// free for outputs that are longer than forecast.
	memoryShare = 0.85
)

// Totals are the counters of one process for a service, accumulated since the process started.
type Totals struct {
	// Arrived is the number of requested generations, Prompt their prompt tokens and Output their forecast output
	// tokens.
	Arrived, Prompt, Output int64
	// PrefillTime is the total processing time of the prompts that had a prefill engine to themselves, and
	// PrefillTokens is their total size.
	PrefillTime   time.Duration
	PrefillTokens int64
	// SlotTime is the total time for which finished generations held their slots, and SlotTokens is their total output
	// in tokens.
	SlotTime   time.Duration
	SlotTokens int64
}

func (t Totals) add(o Totals, sign int64) Totals {
	return Totals{
		Arrived: t.Arrived + sign*o.Arrived, Prompt: t.Prompt + sign*o.Prompt, Output: t.Output + sign*o.Output,
		PrefillTime: t.PrefillTime + time.Duration(sign)*o.PrefillTime, PrefillTokens: t.PrefillTokens + sign*o.PrefillTokens,
		SlotTime: t.SlotTime + time.Duration(sign)*o.SlotTime, SlotTokens: t.SlotTokens + sign*o.SlotTokens,
	}
}

// sample holds the totals of all processes, by incarnation, at one time.
type sample struct {
	at     time.Time
	totals map[uint64]Totals
}

// Meter measures the load of a service over a sliding window from the totals of all processes. It is not safe for
// concurrent use.
type Meter struct {
	samples []sample
	// throughput accumulates the totals since the start. The speed of the engines is computed from these totals rather
	// than from the window, because the speed varies less than the load.
	throughput Totals
}

// Record adds a sample: the current totals of all processes, by incarnation.
func (m *Meter) Record(totals map[uint64]Totals, now time.Time) {
	if len(m.samples) > 0 {
		m.throughput = m.throughput.add(difference(m.samples[len(m.samples)-1].totals, totals), 1)
	}
	m.samples = append(m.samples, sample{at: now, totals: totals})
	for len(m.samples) > 2 && now.Sub(m.samples[1].at) >= meterWindow {
		m.samples = m.samples[1:]
	}
}

// difference returns the sum of the increments of all processes that are in both samples. A process that is missing in
// before is left out until the next sample, since its totals may include counts from before the window.
func difference(before, after map[uint64]Totals) (sum Totals) {
	for process, t := range after {
		if old, known := before[process]; known {
			sum = sum.add(t, 1).add(old, -1)
		}
	}
	return sum
}

// Load returns the load within the window for engines with the given number of slots and KV memory in tokens. It is
// zero until there have been arrivals between two samples, a measured prefill and a finished generation.
func (m *Meter) Load(slots int, capacity int64) Load {
	if len(m.samples) < 2 {
		return Load{}
	}
	first, last := m.samples[0], m.samples[len(m.samples)-1]
	d := difference(first.totals, last.totals)
	seconds := last.at.Sub(first.at).Seconds()
	if d.Arrived <= 0 || seconds <= 0 || m.throughput.PrefillTokens <= 0 || m.throughput.SlotTokens <= 0 {
		return Load{}
	}
	prompt, output := float64(d.Prompt)/float64(d.Arrived), float64(d.Output)/float64(d.Arrived)
	load := Load{
		Samples: int(d.Arrived), ArrivalRate: float64(d.Arrived) / seconds, Concurrency: float64(slots),
		Prefill: time.Duration(prompt * float64(m.throughput.PrefillTime) / float64(m.throughput.PrefillTokens)),
		Decode:  time.Duration(output * float64(m.throughput.SlotTime) / float64(m.throughput.SlotTokens)),
	}
	if mean := prompt + output/2; capacity > 0 && mean > 0 {
		load.Concurrency = math.Min(load.Concurrency, memoryShare*float64(capacity)/mean)
	}
	return load
}
