package front

import (
	"maps"
	"strconv"
	"time"

	"github.com/boragecourse/boragecourse/internal/evacuation"
	"github.com/boragecourse/boragecourse/internal/exchange"
	"github.com/boragecourse/boragecourse/internal/kvmemory"
	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/internal/registry"
	"github.com/boragecourse/boragecourse/internal/replica"
	"github.com/boragecourse/boragecourse/internal/serverlimit"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// useTTL is how long the usage reported by a host counts after its last report. Most streams of an unreachable host end
// within this time.
const useTTL = 4 * time.Second

// peerReport is what another host has reported, except for its use of backend servers.
type peerReport struct {
	// at is when the last report was received, usesAt when the last one with uses was.
	at, usesAt time.Time
	// loadTotals holds the host's load counters by service. changing holds the engines that the host has commanded to
	// change their stage, with the remaining time in milliseconds as of usesAt.
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
	r.Evidence = f.quarantine.evidence()
	f.limits.fill(r, f.startedAt, f.now())
	f.fillObservations(r)
	version, confirmed := f.state.Version()
	r.StateRevision, r.StateEra = kvstore.WithoutEra(version.Revision), kvstore.Era(version.Revision)
	r.ConfigurationVersion, r.StateAgeMillis = version.Configuration, f.now().Sub(confirmed).Milliseconds()
}

// ReportsReceived implements exchange.Local.
func (f *Front) ReportsReceived(reports []*peerv1.FrontReport) {
	now := f.now()
	for _, r := range reports {
		f.state.ObserveConfiguration(r.ConfigurationVersion)
	}
	f.limiterMu.Lock()
	for _, r := range reports {
		f.limiter.ApplyReport(processName(r.Incarnation), r.Admitted, r.Partial, now)
	}
	f.limiterMu.Unlock()
	f.reportsMu.Lock()
	for _, r := range reports {
		f.recordReport(r, now)
	}
	f.reportsMu.Unlock()
	for _, r := range reports {
		if r.Evidence != nil {
			f.quarantine.receive(processName(r.Incarnation), r.Evidence)
		}
		if r.Observations != nil {
			f.receiveObservations(r, now)
		}
		if r.Limits != nil && f.limits.receive(r, now) {
			f.applyLimits()
		}
	}
	f.applyPeerUse(now)
}

// recordReport overlays a report of another host on what it has reported before. f.reportsMu must be held.
func (f *Front) recordReport(r *peerv1.FrontReport, now time.Time) {
	p := f.reports[r.Incarnation]
	if p == nil || !r.Partial {
		p = &peerReport{loadTotals: map[string]*peerv1.GenerationTotals{}}
		f.reports[r.Incarnation] = p
	}
	p.at = now
	maps.Copy(p.loadTotals, r.Generations)
	if !r.KeepsUses {
		p.usesAt, p.changing = now, r.ChangingStage
	}
	f.remoteUse.receive(r, now)
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
	if t.State == exchange.Left || t.State == exchange.Restarted || t.State == exchange.Removed {
		f.reportsMu.Lock()
		delete(f.reports, t.Incarnation)
		f.remoteUse.remove(t.Incarnation)
		f.reportsMu.Unlock()
		f.quarantine.forget(processName(t.Incarnation))
		f.applyPeerUse(now)
	}
}

// applyPeerUse passes the slots, runs and stage changes reported by the other hosts to the pools and the run table, as
// far as they have changed.
func (f *Front) applyPeerUse(now time.Time) {
	changing := f.stages.idleEngines(now)
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	f.reportsMu.Lock()
	for _, report := range f.reports {
		if now.Sub(report.at) > useTTL {
			continue
		}
		for key, left := range report.changing {
			changing[key] = report.usesAt.Add(time.Duration(left) * time.Millisecond)
		}
	}
	f.remoteUse.expire(now)
	slots, runs := f.remoteUse.takeChanged(f.ServerKey)
	f.reportsMu.Unlock()
	f.passUse(slots, runs)
	for _, g := range f.allGroups() {
		g.setChanging(changing)
	}
}

// ServerKey implements exchange.Local.
func (f *Front) ServerKey(hash uint64) string {
	if keys := f.serverKeys.Load(); keys != nil {
		return (*keys)[hash]
	}
	return ""
}

// recordServerKeys records the keys of the usable backend servers, and passes on what other hosts use of those that are
// new. The pools forget what was used of the others.
func (f *Front) recordServerKeys(usable []registry.State) {
	keys := make(map[uint64]string, len(usable))
	for _, s := range usable {
		key := serverKey(s.Server)
		keys[serverlimit.Hash(key)] = key
	}
	f.applyMu.Lock()
	f.reportsMu.Lock()
	for hash := range keys {
		if f.ServerKey(hash) == "" {
			f.remoteUse.recheck(hash)
		}
	}
	f.reportsMu.Unlock()
	slots, runs := map[string]int{}, map[string][]kvmemory.Run{}
	if old := f.serverKeys.Load(); old != nil {
		for hash, key := range *old {
			if keys[hash] == "" {
				slots[key], runs[key] = 0, nil
			}
		}
	}
	f.serverKeys.Store(&keys)
	f.passUse(slots, runs)
	f.applyMu.Unlock()
	f.applyPeerUse(f.now())
}

// passUse passes changes of what other hosts use to the run table and the pools. f.applyMu must be held.
func (f *Front) passUse(slots map[string]int, runs map[string][]kvmemory.Run) {
	f.runTable.updateRemoteUse(runs)
	hosts := f.hosts()
	for _, g := range f.allGroups() {
		g.updateRemoteUse(slots, hosts)
	}
}

// DecodeRate implements exchange.Local.
func (f *Front) DecodeRate() float64 { return f.runTable.decodeRate() }

// State implements exchange.Local.
func (f *Front) State(since exchange.StateVersion) *peerv1.FetchStateResponse {
	t := f.state.Since(since)
	now := f.now()
	out := &peerv1.FetchStateResponse{
		Revision: kvstore.WithoutEra(t.Revision), Era: kvstore.Era(t.Revision), Configuration: t.Configuration, AgeMillis: now.Sub(t.ConfirmedAt).Milliseconds(), Partial: t.Partial, StoreLost: t.StoreLost,
	}
	for _, e := range t.Retained {
		out.Retained = append(out.Retained, &peerv1.RetainedEvacuation{Zone: e.Zone, Revision: kvstore.WithoutEra(e.Revision), Era: kvstore.Era(e.Revision)})
	}
	if !t.RecoveredAt.IsZero() {
		out.Recovered, out.RecoveredAgeMillis = true, now.Sub(t.RecoveredAt).Milliseconds()
	}
	for _, item := range t.Items {
		out.Items = append(out.Items, &peerv1.StateItem{Key: item.Key, Value: item.Value, Revision: kvstore.WithoutEra(item.ModRevision)})
	}
	for _, r := range t.Removed {
		out.Removed = append(out.Removed, &peerv1.RemovedItem{Key: r.Key, Revision: kvstore.WithoutEra(r.Revision)})
	}
	return out
}

// ApplyState implements exchange.Local.
func (f *Front) ApplyState(from string, state *peerv1.FetchStateResponse, requestedAt time.Time, fromRelay bool) {
	t := Transfer{
		Partial: state.Partial, Revision: kvstore.InEra(state.Era, state.Revision), Configuration: state.Configuration, StoreLost: state.StoreLost,
		ConfirmedAt: requestedAt.Add(-time.Duration(state.AgeMillis) * time.Millisecond),
	}
	if state.Recovered {
		t.RecoveredAt = requestedAt.Add(-time.Duration(state.RecoveredAgeMillis) * time.Millisecond)
	}
	for _, e := range state.Retained {
		t.Retained = append(t.Retained, evacuation.Entry{Zone: e.Zone, Revision: kvstore.InEra(e.Era, e.Revision)})
	}
	for _, item := range state.Items {
		t.Items = append(t.Items, kvstore.KeyValue{Key: item.Key, Value: item.Value, ModRevision: kvstore.InEra(state.Era, item.Revision)})
	}
	for _, r := range state.Removed {
		t.Removed = append(t.Removed, replica.Removal{Key: r.Key, Revision: kvstore.InEra(state.Era, r.Revision)})
	}
	f.state.ReceiveCopy(from, t, fromRelay)
}

// StateVersion implements exchange.Local.
func (f *Front) StateVersion() exchange.StateVersion {
	version, _ := f.state.Version()
	return version
}

// ShouldFetch implements exchange.Local.
func (f *Front) ShouldFetch(version exchange.StateVersion, age time.Duration) bool {
	return f.state.ShouldFetch(version, age)
}
