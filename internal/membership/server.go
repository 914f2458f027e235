package membership

import (
	"context"
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// neverConfirmed is the freshness age of a host whose configuration has never been confirmed as current.
const neverConfirmed = -1

// server implements the Membership gRPC service that other hosts call.
type server struct {
	peerv1.UnimplementedMembershipServer
	service *Service
}

// Heartbeat implements peerv1.MembershipServer.
func (s *server) Heartbeat(_ context.Context, req *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
	svc := s.service
	hb := Heartbeat{From: host.FromProto(req.GetFrom()), Epoch: req.GetEpoch(), Session: req.GetSession()}
	svc.mu.Lock()
	reply, actions := svc.machine.AnswerHeartbeat(time.Now(), hb)
	svc.start(actions)
	svc.mu.Unlock()
	resp := &peerv1.HeartbeatResponse{
		From: keyProto(reply.From), Epoch: reply.Epoch, CountsAsContact: reply.Counts, FreshnessAgeNanos: neverConfirmed,
	}
	if reply.Newer != nil {
		resp.NewerEpoch = reply.Newer.Proto()
	}
	if svc.opts.Generation != nil {
		resp.Generation = svc.opts.Generation()
	}
	if svc.opts.FreshnessAge != nil {
		if age, ok := svc.opts.FreshnessAge(); ok {
			resp.FreshnessAgeNanos = age.Nanoseconds()
		}
	}
	return resp, nil
}

// ReportSilence implements peerv1.MembershipServer.
func (s *server) ReportSilence(_ context.Context, req *peerv1.ReportSilenceRequest) (*peerv1.ReportSilenceResponse, error) {
	request := ReportRequest{UnreachableFor: time.Duration(req.GetSilenceNanos())}
	for i, p := range req.GetSuspects() {
		e := HostSession{Host: host.FromProto(p)}
		if i < len(req.GetSessions()) {
			e.Session = req.GetSessions()[i]
		}
		request.Suspects = append(request.Suspects, e)
	}
	s.service.mu.Lock()
	reply := s.service.machine.AnswerReport(time.Now(), request)
	s.service.mu.Unlock()
	return &peerv1.ReportSilenceResponse{Silent: reply.Unreachable, KnownEpochs: reply.Known}, nil
}
