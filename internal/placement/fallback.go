package placement

import (
	"time"

	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/rules"
)

const (
	// reportFades is the age at which a report no longer counts in the fallback: most streams of then have ended.
	reportFades = 4 * time.Second
	// ownExcess is how far above an even part of a server's slots one host goes in the fallback. The hosts do not know
	// of each other's placements then, and a KV cache without a slot is a wasted prefill.
	ownExcess = 1.25
	// fallbackPrefill is the time assumed for each own prefill in flight at a server without a reachable home host.
	fallbackPrefill = 50 * time.Millisecond
)

// fallback places without reservations while some home host does not answer: two random choices for each stage on
// the last reported load and this host's own count. The engine's own limit is the last guard.
func (a *attempt) fallback(fixed *rules.Server) *Placement {
	s := a.s
	s.mu.Lock()
	defer s.mu.Unlock()
	m, now := s.view.models[a.r.Model], time.Now()
	if m == nil || !anyBlind(now, m) {
		return nil
	}
	prefillLoad := func(r *rules.Server) float64 {
		wait := s.view.servers[r.Name].prefillWait(now, false) + time.Duration(s.own.get(r.Name, StagePrefill))*fallbackPrefill
		return float64(wait) / float64(s.opt.FirstToken)
	}
	hosts := float64(max(1, len(s.viewer.Epoch().Hosts)))
	decodeLoad := func(r *rules.Server) float64 {
		v := s.view.servers[r.Name]
		_, reported := v.slotWait(false)
		fresh := max(0, 1-float64(now.Sub(v.loadAt))/float64(reportFades))
		return fresh*reported + s.ownLoad(StageDecode)(r)*hosts/ownExcess
	}
	prefill := fixed
	if prefill == nil {
		prefill = twoChoices(a.blindChoices(now, m.prefill), prefillLoad)
	}
	decode := twoChoices(a.blindChoices(now, m.decode), decodeLoad)
	// Known overload is refused here too, so that the fallback does not collapse.
	if prefill == nil || decode == nil || decodeLoad(decode) >= 1 || (fixed == nil && prefillLoad(prefill) >= 1) {
		return nil
	}
	s.metrics.Inc(metricFallbacks, metrics.L("reason", reasonHomeSilent))
	release := func() {}
	if fixed == nil {
		release = s.own.add(prefill.Name, StagePrefill)
	}
	out := &Placement{Prefill: prefill, Decode: decode, ReleasePrefill: release, ReleaseDecode: s.own.add(decode.Name, StageDecode)}
	// A prefill server that has left the rules has no view.
	if from, to := s.view.servers[prefill.Name], s.view.servers[decode.Name]; from != nil {
		out.Transfer = to.costs.Transfer(a.r.PromptTokens, s.view.links.inFlight(from.zone, to.zone, now))
	}
	return out
}

func anyBlind(now time.Time, m *modelView) bool {
	for _, list := range [][]*serverView{m.prefill, m.decode} {
		for _, v := range list {
			if v.blind(now) && !v.down(now) {
				return true
			}
		}
	}
	return false
}

// blindChoices are the servers that the fallback draws from: those without a reachable home host, or all if every
// home host answers.
func (a *attempt) blindChoices(now time.Time, list []*serverView) []*rules.Server {
	var blind, all []*rules.Server
	for _, v := range list {
		if a.q.skips(v, nil) {
			continue
		}
		all = append(all, v.rule)
		if v.blind(now) {
			blind = append(blind, v.rule)
		}
	}
	if len(blind) > 0 {
		return blind
	}
	return all
}
