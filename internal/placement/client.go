package placement

import (
	"context"
	"sync"
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/metrics"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// releaseTimeout bounds one release call. If the call fails, the next renewal makes the home host release the
// reservation.
const releaseTimeout = time.Second

// reservation is a reservation that was granted to this host, with the function that releases it.
type reservation struct {
	id      ReservationID
	release func()
}

// received reports whether a home host replied; the zero reply stands for an unreachable home host.
func (r reply) received() bool { return r.granted || r.queueFull || r.retryAfter > 0 }

// reserve requests a reservation from the server's home host, without the network when that is this host. When the
// reservation is not granted it returns nil and the reply. The servers of a host that is unreachable, or that replies
// that it is not the home host, are avoided for a while.
func (s *Service) reserve(ctx context.Context, v *serverView, req ReservationRequest, blocks []uint64) (*reservation, reply) {
	s.mu.Lock()
	req.ID = s.newIDLocked()
	home, self := v.home, s.viewer.Self()
	s.mu.Unlock()
	var rep reply
	var err error
	local := home.Name == self.Name && home.Incarnation == self.Incarnation
	if local {
		rep, err = s.reserveLocal(ctx, v.name, req, blocks)
	} else {
		rep, err = s.reserveRemote(ctx, home, v.name, req, blocks)
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || rep.notHome {
		if !local && ctx.Err() == nil {
			s.markUnreachableLocked(now, home, rep.notHome)
		}
		return nil, reply{}
	}
	if !local {
		v.setLoad(now, rep.load)
	}
	if !rep.granted {
		rep.retryAfter = max(rep.retryAfter, time.Millisecond)
		return nil, rep
	}
	s.held[req.ID.ID] = &heldReservation{request: req, server: v.name, since: now}
	return &reservation{id: req.ID, release: sync.OnceFunc(func() { s.releaseHeld(req.ID) })}, rep
}

// markUnreachableLocked avoids the servers of a home host for a while. The time is shorter for a host that replied that
// it is not the home host: it has another epoch, and hosts agree on an epoch sooner than a failed host is replaced.
func (s *Service) markUnreachableLocked(now time.Time, home host.ID, notHome bool) {
	reason, until := reasonHomeUnreachable, now.Add(s.opt.HomeRetry)
	if notHome {
		reason, until = reasonNotHome, now.Add(s.opt.HomeRetry/4)
	}
	s.metrics.Inc(metricRetries, metrics.L("reason", reason))
	for _, v := range s.view.servers {
		if v.home.Name == home.Name {
			v.homeUnreachableUntil = until
		}
	}
}

func (s *Service) reserveRemote(ctx context.Context, home host.ID, server string, req ReservationRequest, blocks []uint64) (reply, error) {
	now := time.Now()
	wait := max(0, req.Deadline.Sub(now))
	callCtx, cancel := context.WithTimeout(ctx, wait+s.opt.CallTimeout)
	defer cancel()
	resp, err := peerv1.NewPlacementClient(s.dialer.Conn(home.Addr)).Reserve(callCtx, &peerv1.ReserveRequest{
		From: s.viewer.Self().Proto(), Server: server, ReservationId: req.ID.ID, Workspace: req.Workspace, Weight: req.Weight,
		Stage: stageToProto(req.Stage), Tokens: req.Tokens, StartAfterNanos: int64(max(0, req.Start.Sub(now))),
		MaxWaitNanos: int64(wait), ExpectedDurationNanos: int64(req.Duration), Priority: int32(req.Priority), //nolint:gosec // Priorities are small.
		WaitClass: req.WaitClass, PrefixBlocks: blocks,
	})
	if err != nil {
		// The reservation may have been granted although the reply was lost.
		go s.releaseRemote(home, server, req.ID)
		return reply{}, err
	}
	return reply{
		granted: resp.GetGranted(), notHome: resp.GetNotHome(), queueFull: resp.GetQueueFull(),
		retryAfter: time.Duration(resp.GetRetryAfterNanos()), cached: int(resp.GetCachedBlocks()), load: fromProto(resp.GetLoad()),
	}, nil
}

// releaseHeld frees one of this host's reservations at the server's present home host.
func (s *Service) releaseHeld(id ReservationID) {
	s.mu.Lock()
	h := s.held[id.ID]
	delete(s.held, id.ID)
	var v *serverView
	if h != nil {
		v = s.view.servers[h.server]
	}
	if v == nil {
		s.mu.Unlock()
		return
	}
	home, self := v.home, s.viewer.Self()
	local := home.Name == self.Name && home.Incarnation == self.Incarnation
	if !local {
		if h.request.Stage == StageDecode {
			v.ownBusy--
		} else {
			v.ownPrefill -= h.request.Duration
		}
	}
	s.mu.Unlock()
	if local {
		s.releaseLocal(h.server, id)
		return
	}
	go s.releaseRemote(home, h.server, id)
}

func (s *Service) releaseRemote(home host.ID, server string, id ReservationID) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_, err := peerv1.NewPlacementClient(s.dialer.Conn(home.Addr)).Release(ctx, &peerv1.ReleaseRequest{
		From: s.viewer.Self().Proto(), Server: server, ReservationId: id.ID,
	})
	if err != nil {
		s.log.V(1).Info("release call to the home host failed; the next renewal will release the reservation",
			"home", home.Name, "server", server, "cause", err.Error())
	}
}

func stageToProto(s Stage) peerv1.Stage {
	if s == StagePrefill {
		return peerv1.Stage_STAGE_PREFILL
	}
	return peerv1.Stage_STAGE_DECODE
}

func stageFromProto(s peerv1.Stage) Stage {
	if s == peerv1.Stage_STAGE_PREFILL {
		return StagePrefill
	}
	return StageDecode
}
