package front

import (
	"sync"
	"time"

	"github.com/boragecourse/boragecourse/internal/kvmemory"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// run is a generation of this host at a decode engine.
type run struct {
	kvmemory.Run
	key string
}

// ledger knows the generations at the decode engines: those of this host exactly, those of other hosts from their
// reports.
type ledger struct {
	now func() time.Time

	mu        sync.Mutex
	predictor *kvmemory.Predictor
	own       map[string]map[*run]bool
	others    map[string][]kvmemory.Run
}

func newLedger(now func() time.Time) *ledger {
	return &ledger{now: now, predictor: kvmemory.NewPredictor(), own: map[string]map[*run]bool{}, others: map[string][]kvmemory.Run{}}
}

// forecast returns the expected output of a generation.
func (l *ledger) forecast(hint, declared int64) kvmemory.Output {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.predictor.Forecast(hint, declared)
}

// duration is how long a generation is expected to take once it has its slot.
func (l *ledger) duration(output kvmemory.Output) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return output.Duration(l.predictor.Pace())
}

// take records a run at an engine if its memory suffices. A capacity of 0 is unknown and always suffices.
func (l *ledger) take(r *run, key string, capacity int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	r.At = now
	if capacity > 0 {
		runs := append([]kvmemory.Run(nil), l.others[key]...)
		for o := range l.own[key] {
			runs = append(runs, o.Run)
		}
		pace := l.predictor.Pace()
		if len(runs) > 0 && !kvmemory.Fits(kvmemory.Needs(runs, pace, now), r.Run, capacity, kvmemory.Spread, pace, now) {
			return false
		}
	}
	r.key = key
	if l.own[key] == nil {
		l.own[key] = map[*run]bool{}
	}
	l.own[key][r] = true
	return true
}

// progress records the output of a run so far.
func (l *ledger) progress(r *run, generated int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Generated, r.At = generated, l.now()
}

// end removes a run. A run that was never taken is not there.
func (l *ledger) end(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.own[r.key], r)
	if len(l.own[r.key]) == 0 {
		delete(l.own, r.key)
	}
}

// finished lets the predictor learn from a whole run.
func (l *ledger) finished(output, lastRun int64, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.predictor.Finished(output, lastRun, took)
}

// report returns this host's runs.
func (l *ledger) report() map[string][]*peerv1.GenerationRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	pace := l.predictor.Pace()
	out := make(map[string][]*peerv1.GenerationRun, len(l.own))
	for key, runs := range l.own {
		for r := range runs {
			generated := r.Generated
			if generated > 0 {
				generated += int64(pace * now.Sub(r.At).Seconds())
			}
			out[key] = append(out[key], &peerv1.GenerationRun{
				Prompt: r.Prompt, Generated: min(generated, r.Output.Max), LogMean: float32(r.Output.LogMean),
				LogSigma: float32(r.Output.LogSigma), MaxOutput: r.Output.Max,
			})
		}
	}
	return out
}

// setOthers replaces the runs of other hosts.
func (l *ledger) setOthers(others map[string][]kvmemory.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.others = others
}
