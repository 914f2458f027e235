package quota

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/grpc/status"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/metrics"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// draw collects tokens for the waiting requests: from the zone's home host, then from the other zones' home
// hosts in parallel. It ends the workspace's round.
func (s *Service) draw(ctx context.Context, name string, w *workspace) {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		close(w.round.done)
		w.round = nil
	}()
	self := s.opt.Viewer.Self()
	epoch := s.opt.Viewer.Epoch()
	if home, ok := epoch.Home(self.Zone, name); ok && home != self && s.opt.Viewer.Reachable(home) {
		if need := s.need(name); need > 0 {
			s.drawFrom(ctx, name, home, need, false)
		}
	}
	var lenders []host.ID
	for _, zone := range zonesOf(epoch.Hosts) {
		if lender, ok := epoch.Home(zone, name); ok && zone != self.Zone && s.opt.Viewer.Reachable(lender) {
			lenders = append(lenders, lender)
		}
	}
	// The first pass spreads the need over the zones, so that it does not empty all of them for one request.
	for pass := range 2 {
		need := s.need(name)
		if need == 0 || len(lenders) == 0 {
			return
		}
		if pass == 0 {
			need = (need + int64(len(lenders)) - 1) / int64(len(lenders))
		}
		var calls sync.WaitGroup
		for _, lender := range lenders {
			calls.Go(func() { s.drawFrom(ctx, name, lender, need, true) })
		}
		calls.Wait()
	}
}

func zonesOf(hosts []host.ID) []string {
	seen := map[string]bool{}
	var zones []string
	for _, h := range hosts {
		if !seen[h.Zone] {
			seen[h.Zone] = true
			zones = append(zones, h.Zone)
		}
	}
	return zones
}

func (s *Service) need(name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.sync(now)
	return s.missing(now, name)
}

func (s *Service) drawFrom(ctx context.Context, name string, lender host.ID, need int64, loan bool) {
	s.mu.Lock()
	sent := time.Now()
	request := &peerv1.DrawRequest{
		From: s.opt.Viewer.Self().Proto(), Epoch: s.divisions.epoch.Number, Workspace: name, Need: need,
		Want: s.workspace(name).borrower.Want(sent, need), Loan: loan,
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := peerv1.NewQuotaClient(s.opt.Dialer.Conn(lender.Addr)).Draw(ctx, request)
	if err != nil {
		s.opt.Metrics.Inc("quota_draw_failures", metrics.L("reason", reasonOf(err)))
		return
	}
	if answer.GetAmount() <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	lender.Incarnation = answer.GetLenderIncarnation()
	s.workspace(name).borrower.Add(time.Now(), sent, Lender{Host: lender, GrantID: answer.GetGrantId()},
		Grant{Amount: answer.GetAmount(), Term: time.Duration(answer.GetTermNanos())})
}

// Draw implements the Quota grpc service. The authority is checked right before the grant.
func (s *Service) Draw(_ context.Context, r *peerv1.DrawRequest) (*peerv1.DrawResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	answer := &peerv1.DrawResponse{LenderIncarnation: s.opt.Viewer.Self().Incarnation, RetryAfterNanos: -1}
	_, err := s.check(now, r.GetWorkspace(), r.GetNeed())
	answer.Epoch = s.divisions.epoch.Number
	if err != nil {
		s.opt.Metrics.Inc("quota_grants_refused", metrics.L("reason", refusalReason(err)))
		return answer, nil
	}
	home := s.home(now, r.GetWorkspace())
	if home == nil {
		answer.NotHome = true
		s.opt.Metrics.Inc("quota_grants_refused", metrics.L("reason", "not_home"))
		return answer, nil
	}
	s.lastGrant++
	g := home.Draw(now, s.lastGrant, r.GetNeed(), r.GetWant())
	answer.GrantId, answer.Amount, answer.TermNanos = s.lastGrant, g.Amount, int64(g.Term)
	if missing := r.GetNeed() - g.Amount; missing > 0 {
		answer.RetryAfterNanos = int64(wait(missing, home.share.Rate))
	}
	s.countGrant(g, r.GetLoan())
	return answer, nil
}

func (s *Service) countGrant(g Grant, loan bool) {
	kind := "quota_grants"
	if loan {
		kind = "quota_loans"
	}
	term := "short"
	if g.Term > ShortTerm {
		term = "long"
	}
	if g.Amount == 0 {
		term = "none"
	}
	s.opt.Metrics.Inc(kind, metrics.L("term", term))
}

// reasonOf is the label of a failed call.
func reasonOf(err error) string { return status.Code(err).String() }

// refusalReason is the label of a refusal.
func refusalReason(err error) string {
	var (
		refused  *RefusedError
		burst    *ExceedsBurstError
		invalid  *InvalidAmountError
		draining *DrainingError
		unknown  *UnknownWorkspaceError
	)
	switch {
	case errors.As(err, &refused):
		return "rate"
	case errors.As(err, &burst):
		return "burst"
	case errors.As(err, &invalid):
		return "invalid_amount"
	case errors.As(err, &draining):
		return "draining"
	case errors.As(err, &unknown):
		return "unknown_workspace"
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return "context"
	}
	return "authority"
}
