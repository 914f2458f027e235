package quota

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/grpc/status"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/metrics"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// collectTokens draws tokens for the waiting requests: from the zone's home host, then from the other zones' home
// hosts in parallel. It ends the queue's round.
func (s *Service) collectTokens(ctx context.Context, name string, q *queue) {
	defer s.endRound(name, q)
	self, epoch := s.opt.Viewer.Self(), s.opt.Viewer.Epoch()
	home, ok := epoch.Home(self.Zone, name)
	if need := s.need(name, q); ok && home != self && need > 0 && s.opt.Viewer.Reachable(home) {
		s.drawFrom(ctx, name, home, need, false)
	}
	lenders := s.lenders(epoch, name)
	// The first pass divides the need among the zones, so that one request does not empty the buckets of all zones.
	for _, divisor := range []int64{int64(len(lenders)), 1} {
		need := s.need(name, q)
		if need == 0 || len(lenders) == 0 {
			return
		}
		need = (need + divisor - 1) / divisor
		var calls sync.WaitGroup
		for _, lender := range lenders {
			calls.Go(func() { s.drawFrom(ctx, name, lender, need, true) })
		}
		calls.Wait()
	}
}

func (s *Service) endRound(name string, q *queue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(q.round.done)
	q.round = nil
	s.dropIfUnused(name, q)
}

// lenders returns the reachable home hosts of the other zones.
func (s *Service) lenders(epoch membership.Epoch, name string) []host.ID {
	seen := map[string]bool{s.opt.Viewer.Self().Zone: true}
	var lenders []host.ID
	for _, h := range epoch.Hosts {
		if seen[h.Zone] {
			continue
		}
		seen[h.Zone] = true
		if lender, ok := epoch.Home(h.Zone, name); ok && s.opt.Viewer.Reachable(lender) {
			lenders = append(lenders, lender)
		}
	}
	return lenders
}

// need returns the number of tokens that the waiting requests need beyond what this host holds.
func (s *Service) need(name string, q *queue) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.sync(now)
	return max(q.tokens-s.node.Available(now, name), 0)
}

func (s *Service) drawFrom(ctx context.Context, name string, lender host.ID, need int64, loan bool) {
	s.mu.Lock()
	sent := time.Now()
	request := &peerv1.DrawRequest{
		From: s.opt.Viewer.Self().Proto(), Epoch: s.node.Epoch().Number, Workspace: name, Need: need,
		Want: s.node.Want(sent, name, need), Loan: loan,
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := peerv1.NewQuotaClient(s.opt.Dialer.Conn(lender.Addr)).Draw(ctx, request)
	if err != nil {
		s.opt.Metrics.Inc("quota_draw_failures", metrics.L("reason", callFailureReason(err)))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node.AddGrant(time.Now(), sent, name, lender, reply)
}

// Draw implements the Quota gRPC service. The authority to admit is checked right before the grant.
func (s *Service) Draw(_ context.Context, r *peerv1.DrawRequest) (*peerv1.DrawResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if err := s.authorize(now, r.GetWorkspace()); err != nil {
		s.opt.Metrics.Inc("quota_grants_refused", metrics.L("reason", refusalReason(err)))
		return &peerv1.DrawResponse{Epoch: s.node.Epoch().Number, RetryAfterNanos: -1}, nil
	}
	reply := s.node.Draw(now, r.GetWorkspace(), r.GetNeed(), r.GetWant())
	s.countGrant(reply, r.GetLoan())
	return reply, nil
}

func (s *Service) countGrant(reply *peerv1.DrawResponse, loan bool) {
	name, term := "quota_grants", "short"
	if loan {
		name = "quota_loans"
	}
	switch {
	case reply.GetNotHome():
		s.opt.Metrics.Inc("quota_grants_refused", metrics.L("reason", "not_home"))
		return
	case reply.GetAmount() == 0:
		s.opt.Metrics.Inc("quota_grants_refused", metrics.L("reason", "rate"))
		return
	case reply.GetTermNanos() > int64(ShortTerm):
		term = "long"
	}
	s.opt.Metrics.Inc(name, metrics.L("term", term))
}

// callFailureReason returns the metric label of a failed call.
func callFailureReason(err error) string { return status.Code(err).String() }

// refusalReason returns the metric label of a refusal.
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
