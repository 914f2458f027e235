package front

import (
	"sync"
	"time"

	"github.com/boragecourse/boragecourse/internal/kvmemory"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// run is a generation that this host has placed at a decode engine. key identifies the engine.
type run struct {
	kvmemory.Run
	key string
}

// runTable tracks the running generations by decode engine. The data on this host's generations is current. The data on
// those of other hosts is as of their latest reports.
type runTable struct {
	now func() time.Time
	// relativeTime returns the time that an engine takes, relative to an ordinary one.
	relativeTime func(key string) float64

	mu        sync.Mutex
	predictor *kvmemory.Predictor
	own       map[string]map[*run]bool
	others    map[string][]kvmemory.Run
	// committed is the memory in tokens that the runs at each engine are expected to take when they end.
	committed map[string]float64
}

func newRunTable(now func() time.Time) *runTable {
	return &runTable{
		now: now, relativeTime: func(string) float64 { return 1 }, predictor: kvmemory.NewPredictor(), own: map[string]map[*run]bool{}, others: map[string][]kvmemory.Run{},
		committed: map[string]float64{},
	}
}

// forecast returns the predicted output length of a generation. hint is the caller's estimate and declared its maximum,
// both in tokens.
func (t *runTable) forecast(hint, declared int64) kvmemory.Output {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.predictor.Forecast(hint, declared)
}

// duration returns how long a generation is expected to take once it has its slot.
func (t *runTable) duration(output kvmemory.Output) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return output.Duration(t.predictor.DecodeRate())
}

// add records a run at an engine if the engine's KV memory suffices for it, and reports whether it does. The memory
// counts as sufficient if capacity is 0, which means unknown, or if the engine has no other runs.
func (t *runTable) add(r *run, key string, capacity int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.At = t.now()
	if !t.suffices(r.Run, key, capacity) {
		return false
	}
	r.key = key
	if t.own[key] == nil {
		t.own[key] = map[*run]bool{}
	}
	t.own[key][r] = true
	t.sumCommitted(key)
	return true
}

// fits reports whether add would record a run at an engine now.
func (t *runTable) fits(r kvmemory.Run, key string, capacity int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.At = t.now()
	return t.suffices(r, key, capacity)
}

// suffices reports whether the KV memory of an engine suffices for a run that begins now. t.mu must be held.
func (t *runTable) suffices(r kvmemory.Run, key string, capacity int64) bool {
	if capacity <= 0 {
		return true
	}
	runs := append([]kvmemory.Run(nil), t.others[key]...)
	for o := range t.own[key] {
		runs = append(runs, o.Run)
	}
	decodeRate := t.predictor.EngineRate(t.relativeTime(key))
	return len(runs) == 0 || kvmemory.Fits(kvmemory.Needs(runs, decodeRate, r.At), r, capacity, kvmemory.SafetyMargin, decodeRate, r.At)
}

// sumCommitted updates the committed memory of an engine whose runs have changed.
func (t *runTable) sumCommitted(key string) {
	sum := 0.0
	for r := range t.own[key] {
		sum += r.FinalSize()
	}
	for i := range t.others[key] {
		sum += t.others[key][i].FinalSize()
	}
	if t.committed[key] = sum; sum == 0 {
		delete(t.committed, key)
	}
}

// occupancy returns the committed memory of an engine as a share of capacity; 0 if capacity is 0, which means unknown. Where the
// memory holds fewer runs than there are slots, the share of the slots in use tells nothing of how full the engine is.
func (t *runTable) occupancy(key string, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.committed[key] / float64(capacity)
}

// progress records the number of tokens that a run has generated so far.
func (t *runTable) progress(r *run, generated int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.Generated, r.At = generated, t.now()
}

// generated returns the number of tokens that progress has recorded last.
func (t *runTable) generated(r *run) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return r.Generated
}

// end removes a run. Removing a run that was never added has no effect.
func (t *runTable) end(r *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.own[r.key][r] {
		return
	}
	delete(t.own[r.key], r)
	if len(t.own[r.key]) == 0 {
		delete(t.own, r.key)
	}
	t.sumCommitted(r.key)
}

// recordFinished passes a completed generation to the predictor: its total output, and the output and duration of its
// last run at the engine with the given key.
func (t *runTable) recordFinished(key string, output, lastRun int64, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.predictor.Record(output, lastRun, kvmemory.OrdinaryTime(took, t.relativeTime(key)))
}

// report returns this host's runs by engine. The output is extrapolated from the last event to the present.
func (t *runTable) report() map[string][]*peerv1.GenerationRun {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	out := make(map[string][]*peerv1.GenerationRun, len(t.own))
	for key, runs := range t.own {
		decodeRate := t.predictor.EngineRate(t.relativeTime(key))
		for r := range runs {
			generated := r.Generated
			if generated > 0 {
				generated += int64(decodeRate * now.Sub(r.At).Seconds())
			}
			out[key] = append(out[key], &peerv1.GenerationRun{
				Prompt: r.Prompt, Generated: min(generated, r.Output.Max), LogMean: float32(r.Output.LogMean),
				LogSigma: float32(r.Output.LogSigma), MaxOutput: r.Output.Max,
			})
		}
	}
	return out
}

// updateRemoteUse replaces the runs that other hosts reported at the engines for which they have changed.
func (t *runTable) updateRemoteUse(changed map[string][]kvmemory.Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, runs := range changed {
		if t.others[key] = runs; len(runs) == 0 {
			delete(t.others, key)
		}
		t.sumCommitted(key)
	}
}

// decodeRate returns the rate at which the output of other hosts' runs is extrapolated, in tokens a second.
func (t *runTable) decodeRate() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.predictor.DecodeRate()
}
