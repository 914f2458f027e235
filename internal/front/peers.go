package front

import (
	"strconv"
	"time"

	"github.com/boragecourse/boragecourse/internal/exchange"
	"github.com/boragecourse/boragecourse/internal/kvmemory"
	"github.com/boragecourse/boragecourse/internal/kvstore"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// useTTL is how long the usage reported by a host counts after its last report. Most streams of an unreachable host end
// within this time.
const useTTL = 4 * time.Second

// peerReport is the latest report received from another host.
type peerReport struct {
	at   time.Time
	uses []*peerv1.ServerUse
	// loadTotals holds the host's load counters by service. changing holds the engines that the host has commanded to
	// change their stage, with the remaining time in milliseconds.
	loadTotals map[string]*peerv1.GenerationTotals
	changing   map[string]int64
}

// Fill implements exchange.Local.
func (f *Front) Fill(r *peerv1.FrontReport) {
	f.limiterMu.Lock()
	r.Admitted = f.limiter.Admitted()
	f.limiterMu.Unlock()
	runs := f.runTable.report()
	for _, g := range f.allGroups() {
		for key, slots := range g.localUse() {
			r.Uses = append(r.Uses, &peerv1.ServerUse{Key: key, Slots: int32(slots), Runs: runs[key]})
		}
	}
	f.stages.fill(r, f.allGroups())
	revision, confirmed := f.state.Version()
	r.StateRevision, r.StateAgeMillis = revision, f.now().Sub(confirmed).Milliseconds()
}

// ReportReceived implements exchange.Local.
func (f *Front) ReportReceived(r *peerv1.FrontReport) {
	now := f.now()
	f.limiterMu.Lock()
	f.limiter.ApplyReport(processName(r.Incarnation), r.Admitted, now)
	f.limiterMu.Unlock()
	f.reportsMu.Lock()
	f.reports[r.Incarnation] = peerReport{at: now, uses: r.Uses, loadTotals: r.Generations, changing: r.ChangingStage}
	f.reportsMu.Unlock()
	f.applyPeerUse(now)
}

func processName(incarnation uint64) string { return strconv.FormatUint(incarnation, 16) }

// Changed implements exchange.Local.
func (f *Front) Changed(t exchange.Transition) {
	now := f.now()
	f.limiterMu.Lock()
	switch t.State {
	case exchange.Unreachable:
		f.limiter.MarkUnreachable(processName(t.Incarnation), now)
	case exchange.Left, exchange.Restarted, exchange.Removed:
		f.limiter.RemovePeer(processName(t.Incarnation), now)
	}
	f.limiterMu.Unlock()
	if t.State == exchange.Left || t.State == exchange.Restarted {
		f.reportsMu.Lock()
		delete(f.reports, t.Incarnation)
		f.reportsMu.Unlock()
		f.applyPeerUse(now)
	}
}

// applyPeerUse passes the slots, runs and stage changes reported by the other hosts to the pools and the run table.
func (f *Front) applyPeerUse(now time.Time) {
	slots := map[string]int{}
	runs := map[string][]kvmemory.Run{}
	changing := f.stages.idleEngines(now)
	f.reportsMu.Lock()
	for incarnation, report := range f.reports {
		if now.Sub(report.at) > useTTL {
			delete(f.reports, incarnation)
			continue
		}
		for key, left := range report.changing {
			changing[key] = report.at.Add(time.Duration(left) * time.Millisecond)
		}
		for _, u := range report.uses {
			slots[u.Key] += int(u.Slots)
			for _, r := range u.Runs {
				runs[u.Key] = append(runs[u.Key], kvmemory.Run{
					Prompt: r.Prompt, Generated: r.Generated, At: report.at,
					Output: kvmemory.Output{LogMean: float64(r.LogMean), LogSigma: float64(r.LogSigma), Max: r.MaxOutput},
				})
			}
		}
	}
	f.reportsMu.Unlock()
	f.runTable.setRemoteUse(runs)
	for _, g := range f.allGroups() {
		g.setRemoteUse(slots)
		g.setChanging(changing)
	}
}

// State implements exchange.Local.
func (f *Front) State() *peerv1.FetchStateResponse {
	items, revision, confirmed := f.state.Copy()
	out := &peerv1.FetchStateResponse{Revision: revision, AgeMillis: f.now().Sub(confirmed).Milliseconds()}
	for _, item := range items {
		out.Items = append(out.Items, &peerv1.StateItem{Key: item.Key, Value: item.Value, Revision: item.ModRevision})
	}
	return out
}

// ApplyState implements exchange.Local.
func (f *Front) ApplyState(from string, state *peerv1.FetchStateResponse, requestedAt time.Time) {
	items := make([]kvstore.KeyValue, len(state.Items))
	for i, item := range state.Items {
		items[i] = kvstore.KeyValue{Key: item.Key, Value: item.Value, ModRevision: item.Revision}
	}
	f.state.ReplaceCopy(from, items, state.Revision, requestedAt.Add(-time.Duration(state.AgeMillis)*time.Millisecond))
}

// ShouldFetch implements exchange.Local.
func (f *Front) ShouldFetch(revision int64, age time.Duration) bool {
	return f.state.ShouldFetch(revision, age)
}
