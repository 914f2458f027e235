package quota

import (
	"context"
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/metrics"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// collectSettlements returns the due settlements and marks their lenders as pending. The caller holds the lock.
func (s *Service) collectSettlements(now time.Time) []*SettlementBatch {
	batches := s.node.Settlements(now, s.settlementPending)
	for _, b := range batches {
		s.settlementPending[b.To.Name] = true
	}
	return batches
}

func (s *Service) sendSettlements(ctx context.Context, now time.Time) {
	for _, b := range s.collectSettlements(now) {
		s.background.Go(func() { s.settle(ctx, b) })
	}
}

// settle sends one batch. After a failure, later ticks send it again until the lender has closed the entry.
func (s *Service) settle(ctx context.Context, b *SettlementBatch) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := peerv1.NewQuotaClient(s.opt.Dialer.Conn(b.To.Addr))
	_, err := client.Settle(ctx, &peerv1.SettleRequest{From: s.opt.Viewer.Self().Proto(), Settlements: b.Entries})
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.settlementPending, b.To.Name)
	if err != nil {
		s.opt.Metrics.Add("quota_settlement_retries", int64(len(b.Entries)), metrics.L("reason", callFailureReason(err)))
		return
	}
	s.node.RecordSettlementAck(time.Now(), b)
}

// Settle implements the Quota gRPC service. It applies settlements regardless of the authority to admit.
func (s *Service) Settle(_ context.Context, r *peerv1.SettleRequest) (*peerv1.SettleResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.sync(now)
	s.node.Settle(now, r.GetSettlements())
	return &peerv1.SettleResponse{}, nil
}

// requestHandOvers requests buckets that moved to this host and missing acknowledgements. The caller holds the
// lock.
func (s *Service) requestHandOvers(ctx context.Context) {
	epoch := s.node.Epoch().Number
	for _, h := range s.node.HandOverTargets() {
		if !s.handOverPending[h.Name] {
			s.handOverPending[h.Name] = true
			s.background.Go(func() { s.requestHandOver(ctx, h, epoch) })
		}
	}
}

func (s *Service) requestHandOver(ctx context.Context, to host.ID, epoch uint64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := peerv1.NewQuotaClient(s.opt.Dialer.Conn(to.Addr))
	reply, err := client.HandOver(ctx, &peerv1.HandOverRequest{From: s.opt.Viewer.Self().Proto(), Epoch: epoch})
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.handOverPending, to.Name)
	if err != nil {
		s.opt.Metrics.Inc("quota_hand_over_retries", metrics.L("reason", callFailureReason(err)))
		return
	}
	now := time.Now()
	s.sync(now)
	taken := s.node.ApplyHandOver(now, to, epoch, reply)
	s.opt.Metrics.Add("quota_hand_overs", int64(taken))
	s.sync(now)
}

// HandOver implements the Quota gRPC service. It applies the newest epoch before it replies.
func (s *Service) HandOver(_ context.Context, r *peerv1.HandOverRequest) (*peerv1.HandOverResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.sync(now)
	return s.node.HandOver(now, host.FromProto(r.GetFrom()), r.GetEpoch()), nil
}

// Drain stops admitting and granting, and returns every unspent grant. It returns nil when all lenders have
// acknowledged, and the context's error otherwise; lenders then count the rest as used. Call it when the accepted
// requests have finished, then leave the epoch, and keep serving the Quota gRPC service for a second: successors
// request the buckets in the epoch without this host.
func (s *Service) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	now := time.Now()
	s.sync(now)
	s.node.Leave(now)
	s.mu.Unlock()
	for {
		s.mu.Lock()
		// Replies to draws that were in progress may still have added grants.
		s.node.ReturnAll()
		batches := s.collectSettlements(time.Now())
		left := len(s.settlementPending)
		s.mu.Unlock()
		if left == 0 {
			return nil
		}
		for _, b := range batches {
			s.settle(ctx, b)
		}
		select {
		case <-time.After(tickInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
