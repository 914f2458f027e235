package quota

import (
	"context"
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/metrics"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// batch is what one lender is told in one message, with the workspaces that the entries belong to.
type batch struct {
	to         host.ID
	workspaces []string
	entries    []Settlement
}

// collect gathers due settlements by lender. Lenders that still have a message under way are left for the
// next time. The caller holds the lock.
func (s *Service) collect(now time.Time) []*batch {
	byLender := map[string]*batch{}
	var batches []*batch
	for name, w := range s.workspaces {
		for _, e := range w.borrower.Settlements(now, s.settling) {
			b := byLender[e.Lender.Host.Name]
			if b == nil {
				b = &batch{to: e.Lender.Host}
				byLender[e.Lender.Host.Name] = b
				batches = append(batches, b)
			}
			b.workspaces = append(b.workspaces, name)
			b.entries = append(b.entries, e)
		}
	}
	return batches
}

func (s *Service) sendSettlements(ctx context.Context, now time.Time) {
	for _, b := range s.collect(now) {
		s.settling[b.to.Name] = true
		s.background.Go(func() { _ = s.settle(ctx, b) })
	}
}

// settle sends one batch. What fails is sent again by a later tick, until the lender has closed the entry.
func (s *Service) settle(ctx context.Context, b *batch) error {
	request := &peerv1.SettleRequest{From: s.opt.Viewer.Self().Proto()}
	for i, e := range b.entries {
		request.Settlements = append(request.Settlements, &peerv1.GrantSettlement{
			Workspace: b.workspaces[i], GrantId: e.Lender.GrantID, LenderIncarnation: e.Lender.Host.Incarnation,
			Used: e.Used, Returned: e.Returned,
		})
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := peerv1.NewQuotaClient(s.opt.Dialer.Conn(b.to.Addr)).Settle(ctx, request)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.settling, b.to.Name)
	now := time.Now()
	if err != nil {
		s.opt.Metrics.Add("quota_settlement_retries", int64(len(b.entries)), metrics.L("reason", reasonOf(err)))
	}
	for i, e := range b.entries {
		if w := s.workspaces[b.workspaces[i]]; w != nil && err == nil {
			w.borrower.Settled(now, e)
		}
	}
	return err
}

// Settle implements the Quota grpc service.
func (s *Service) Settle(_ context.Context, r *peerv1.SettleRequest) (*peerv1.SettleResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.sync(now)
	for _, e := range r.GetSettlements() {
		w := s.workspaces[e.GetWorkspace()]
		if w == nil || w.home == nil || e.GetLenderIncarnation() != s.opt.Viewer.Self().Incarnation {
			continue
		}
		w.home.Settle(now, e.GetGrantId(), e.GetUsed(), e.GetReturned())
	}
	return &peerv1.SettleResponse{}, nil
}

// Drain admits and grants nothing more and hands every unspent grant back. It returns nil when all lenders
// have acknowledged, and the context's error otherwise; lenders then close the rest as used.
func (s *Service) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	for _, w := range s.workspaces {
		w.borrower.ReturnAll()
	}
	s.mu.Unlock()
	for {
		s.mu.Lock()
		batches := s.collect(time.Now())
		left := len(batches) + len(s.settling)
		for _, b := range batches {
			s.settling[b.to.Name] = true
		}
		s.mu.Unlock()
		if left == 0 {
			return nil
		}
		for _, b := range batches {
			_ = s.settle(ctx, b)
		}
		select {
		case <-time.After(tickInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
