package placement

import (
	"time"

	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/rules"
)

const (
	// reportMaxAge is the age at which the weight of a load report in fallback has fallen to zero; most of the streams
	// that it counted have ended by then.
	reportMaxAge = 4 * time.Second
	// ownShareFactor is the multiple of an equal share of a server's slots that one host may use in fallback. Hosts do not
	// know each other's placements then. A larger factor would cause prefills whose KV cache gets no decode slot and is
	// lost.
	ownShareFactor = 1.25
	// fallbackPrefillTime is the time assumed for each own prefill in flight at a server without a reachable home host.
	fallbackPrefillTime = 50 * time.Millisecond
)

// fallback places a request without reservations while the home host of a candidate server is unreachable. For each
// stage it draws two servers at random and takes the less loaded one by the last reported load and this host's own
// requests. The engine's own limit remains the last protection against overload.
func (a *attempt) fallback(fixed *rules.Server) *Placement {
	s := a.s
	s.mu.Lock()
	defer s.mu.Unlock()
	m, now := s.view.models[a.r.Model], time.Now()
	if m == nil || !anyHomeUnreachable(now, m) {
		return nil
	}
	prefillLoad := func(r *rules.Server) float64 {
		wait := s.view.servers[r.Name].prefillWait(now, false) +
			time.Duration(s.ownInflight.get(r.Name, StagePrefill))*fallbackPrefillTime
		return float64(wait) / float64(s.opt.FirstToken)
	}
	hosts := float64(max(1, len(s.viewer.Epoch().Hosts)))
	decodeLoad := func(r *rules.Server) float64 {
		v := s.view.servers[r.Name]
		_, reported := v.slotWait(false)
		reportWeight := max(0, 1-float64(now.Sub(v.loadAt))/float64(reportMaxAge))
		return reportWeight*reported + s.ownLoad(StageDecode)(r)*hosts/ownShareFactor
	}
	prefill := fixed
	if prefill == nil {
		prefill = twoChoices(a.fallbackCandidates(now, m.prefill), prefillLoad)
	}
	decode := twoChoices(a.fallbackCandidates(now, m.decode), decodeLoad)
	// Known overload is refused here too, so that placing without reservations does not overload the servers further.
	if prefill == nil || decode == nil || decodeLoad(decode) >= 1 || (fixed == nil && prefillLoad(prefill) >= 1) {
		return nil
	}
	s.metrics.Inc(metricFallbacks, metrics.L("reason", reasonHomeUnreachable))
	release := func() {}
	if fixed == nil {
		release = s.ownInflight.add(prefill.Name, StagePrefill)
	}
	out := &Placement{Prefill: prefill, Decode: decode, ReleasePrefill: release, ReleaseDecode: s.ownInflight.add(decode.Name, StageDecode)}
	// A prefill server that was removed from the rules has no view.
	if from, to := s.view.servers[prefill.Name], s.view.servers[decode.Name]; from != nil {
		out.Transfer = to.costs.Transfer(a.r.PromptTokens, s.view.links.inFlight(from.zone, to.zone, now))
	}
	return out
}

func anyHomeUnreachable(now time.Time, m *modelView) bool {
	for _, list := range [][]*serverView{m.prefill, m.decode} {
		for _, v := range list {
			if v.homeUnreachable(now) && !v.down(now) {
				return true
			}
		}
	}
	return false
}

// fallbackCandidates are the servers that fallback draws from: those without a reachable home host, or all servers if
// every home host is reachable.
func (a *attempt) fallbackCandidates(now time.Time, list []*serverView) []*rules.Server {
	var homeUnreachable, all []*rules.Server
	for _, v := range list {
		if a.q.unusable(v, nil) {
			continue
		}
		all = append(all, v.rule)
		if v.homeUnreachable(now) {
			homeUnreachable = append(homeUnreachable, v.rule)
		}
	}
	if len(homeUnreachable) > 0 {
		return homeUnreachable
	}
	return all
}
