package stagesplit

import (
	"math"
	"time"
)

const (
	// meterWindow is the time over which the load is measured: long enough for the samples that a decision needs at ten
	// arrivals a second, short against the minutes that a kind of load lasts.
	meterWindow = 5 * time.Second
	// memoryShare is the part of an engine's memory that running generations use on average; the rest is the spread that
	// is kept free for outputs longer than their forecast.
	memoryShare = 0.85
)

// Totals are what one process counted for a service since its start.
type Totals struct {
	// Arrived is the number of generations; Prompt and Output are their prompt tokens and forecast output tokens.
	Arrived, Prompt, Output int64
	// PrefillTime is the time of the prompts that were processed alone at an engine, PrefillTokens their size.
	PrefillTime   time.Duration
	PrefillTokens int64
	// SlotTime is how long finished generations held their slots, SlotTokens their output.
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

type sample struct {
	at     time.Time
	totals map[uint64]Totals
}

// Meter measures the load of a service from the totals of all processes. It is not safe for concurrent use.
type Meter struct {
	samples []sample
	// pace is what was learned of engines since the start: it changes less than the load.
	pace Totals
}

// Record takes the present totals of all processes, by incarnation.
func (m *Meter) Record(totals map[uint64]Totals, now time.Time) {
	if len(m.samples) > 0 {
		m.pace = m.pace.add(difference(m.samples[len(m.samples)-1].totals, totals), 1)
	}
	m.samples = append(m.samples, sample{at: now, totals: totals})
	for len(m.samples) > 2 && now.Sub(m.samples[1].at) >= meterWindow {
		m.samples = m.samples[1:]
	}
}

// difference sums what the processes of both counted in between. A process that was not there before counts from the
// next time on, since its totals may be older than the window.
func difference(before, after map[uint64]Totals) (sum Totals) {
	for process, t := range after {
		if old, known := before[process]; known {
			sum = sum.add(t, 1).add(old, -1)
		}
	}
	return sum
}

// Load returns the load of the window for engines with the given slots and memory in tokens. It is zero before two
// records.
func (m *Meter) Load(slots int, capacity int64) Load {
	if len(m.samples) < 2 {
		return Load{}
	}
	first, last := m.samples[0], m.samples[len(m.samples)-1]
	d := difference(first.totals, last.totals)
	seconds := last.at.Sub(first.at).Seconds()
	if d.Arrived <= 0 || seconds <= 0 || m.pace.PrefillTokens <= 0 || m.pace.SlotTokens <= 0 {
		return Load{}
	}
	prompt, output := float64(d.Prompt)/float64(d.Arrived), float64(d.Output)/float64(d.Arrived)
	load := Load{
		Samples: int(d.Arrived), PerSecond: float64(d.Arrived) / seconds, Concurrency: float64(slots),
		Prefill: time.Duration(prompt * float64(m.pace.PrefillTime) / float64(m.pace.PrefillTokens)),
		Decode:  time.Duration(output * float64(m.pace.SlotTime) / float64(m.pace.SlotTokens)),
	}
	if mean := prompt + output/2; capacity > 0 && mean > 0 {
		load.Concurrency = math.Min(load.Concurrency, memoryShare*float64(capacity)/mean)
	}
	return load
}
