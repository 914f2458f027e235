package front

import (
	"strconv"
	"time"

	"github.com/boragecourse/boragecourse/internal/exchange"
	"github.com/boragecourse/boragecourse/internal/kvmemory"
	kv "github.com/boragecourse/boragecourse/internal/platform"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// useTTL is how long the use that a silent host reported counts; its streams mostly end within it.
const useTTL = 4 * time.Second

// heardReport is another host's newest report.
type heardReport struct {
	at   time.Time
	uses []*peerv1.ServerUse
	// generations is what the host counted, by service; changing are the engines that it had change their stage.
	generations map[string]*peerv1.GenerationTotals
	changing    map[string]int64
}

// Fill implements exchange.Local.
func (f *Front) Fill(r *peerv1.FrontReport) {
	f.bookMu.Lock()
	r.Admitted = f.book.Admitted()
	f.bookMu.Unlock()
	runs := f.ledger.report()
	for _, g := range f.allGroups() {
		for key, slots := range g.own() {
			r.Uses = append(r.Uses, &peerv1.ServerUse{Key: key, Slots: int32(slots), Runs: runs[key]})
		}
	}
	f.stages.fill(r, f.allGroups())
	revision, confirmed := f.state.Version()
	r.StateRevision, r.StateAgeMillis = revision, f.now().Sub(confirmed).Milliseconds()
}

// Reported implements exchange.Local.
func (f *Front) Reported(r *peerv1.FrontReport) {
	now := f.now()
	f.bookMu.Lock()
	f.book.Heard(processName(r.Incarnation), r.Admitted, now)
	f.bookMu.Unlock()
	f.heardMu.Lock()
	f.heard[r.Incarnation] = heardReport{at: now, uses: r.Uses, generations: r.Generations, changing: r.ChangingStage}
	f.heardMu.Unlock()
	f.applyUse(now)
}

func processName(incarnation uint64) string { return strconv.FormatUint(incarnation, 16) }

// Changed implements exchange.Local.
func (f *Front) Changed(t exchange.Transition) {
	now := f.now()
	f.bookMu.Lock()
	switch t.State {
	case exchange.Silent:
		f.book.Silent(processName(t.Incarnation), now)
	case exchange.Left, exchange.Restarted, exchange.Forgotten:
		f.book.Forget(processName(t.Incarnation), now)
	}
	f.bookMu.Unlock()
	if t.State == exchange.Left || t.State == exchange.Restarted {
		f.heardMu.Lock()
		delete(f.heard, t.Incarnation)
		f.heardMu.Unlock()
		f.applyUse(now)
	}
}

// applyUse hands what the other hosts use to the pools and the ledger.
func (f *Front) applyUse(now time.Time) {
	slots := map[string]int{}
	runs := map[string][]kvmemory.Run{}
	changing := f.stages.commanded(now)
	f.heardMu.Lock()
	for incarnation, h := range f.heard {
		if now.Sub(h.at) > useTTL {
			delete(f.heard, incarnation)
			continue
		}
		for key, left := range h.changing {
			changing[key] = h.at.Add(time.Duration(left) * time.Millisecond)
		}
		for _, u := range h.uses {
			slots[u.Key] += int(u.Slots)
			for _, r := range u.Runs {
				runs[u.Key] = append(runs[u.Key], kvmemory.Run{
					Prompt: r.Prompt, Generated: r.Generated, At: h.at,
					Output: kvmemory.Output{LogMean: float64(r.LogMean), LogSigma: float64(r.LogSigma), Max: r.MaxOutput},
				})
			}
		}
	}
	f.heardMu.Unlock()
	f.ledger.setOthers(runs)
	for _, g := range f.allGroups() {
		g.setOthers(slots)
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

// TakeState implements exchange.Local.
func (f *Front) TakeState(from string, state *peerv1.FetchStateResponse, asked time.Time) {
	items := make([]kv.KeyValue, len(state.Items))
	for i, item := range state.Items {
		items[i] = kv.KeyValue{Key: item.Key, Value: item.Value, ModRevision: item.Revision}
	}
	f.state.TakeCopy(from, items, state.Revision, asked.Add(-time.Duration(state.AgeMillis)*time.Millisecond))
}

// Behind implements exchange.Local.
func (f *Front) Behind(revision int64, age time.Duration) bool { return f.state.Behind(revision, age) }
