package placement

import (
	"context"
	"sync"
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/metrics"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// releaseTimeout bounds one release call. A lost release is repaired by the next renewal.
const releaseTimeout = time.Second

// reservation is a granted reservation of this host.
type reservation struct {
	id      ReservationID
	release func()
}

// asked reports whether a home host answered; the zero reply stands for silence.
func (r reply) asked() bool { return r.granted || r.queueFull || r.retryAfter > 0 }

// reserve asks the server's home host, without the network when that is this host. It returns nil and the reply
// when the reservation was not granted; a home host that does not answer is avoided for a while.
func (s *Service) reserve(ctx context.Context, v *serverView, a Ask, blocks []uint64) (*reservation, reply) {
	s.mu.Lock()
	a.ID = s.newIDLocked()
	home, self := v.home, s.viewer.Self()
	s.mu.Unlock()
	var rep reply
	var err error
	local := home.Name == self.Name && home.Incarnation == self.Incarnation
	if local {
		rep, err = s.reserveHere(ctx, v.name, a, blocks)
	} else {
		rep, err = s.reserveThere(ctx, home, v.name, a, blocks)
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || rep.notHome {
		if !local && ctx.Err() == nil {
			s.silentLocked(now, home, rep.notHome)
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
	s.held[a.ID.ID] = &holding{ask: a, server: v.name, since: now}
	return &reservation{id: a.ID, release: sync.OnceFunc(func() { s.releaseHeld(a.ID) })}, rep
}

// silentLocked avoids a home host for a while. One that says it is not the home host has another epoch, which
// settles sooner than a dead one.
func (s *Service) silentLocked(now time.Time, home host.ID, notHome bool) {
	reason, until := reasonHomeSilent, now.Add(s.opt.HomeRetry)
	if notHome {
		reason, until = reasonNotHome, now.Add(s.opt.HomeRetry/4)
	}
	s.metrics.Inc(metricRetries, metrics.L("reason", reason))
	for _, v := range s.view.servers {
		if v.home.Name == home.Name {
			v.blindUntil = until
		}
	}
}

func (s *Service) reserveThere(ctx context.Context, home host.ID, server string, a Ask, blocks []uint64) (reply, error) {
	now := time.Now()
	wait := max(0, a.Deadline.Sub(now))
	callCtx, cancel := context.WithTimeout(ctx, wait+s.opt.CallTimeout)
	defer cancel()
	resp, err := peerv1.NewPlacementClient(s.dialer.Conn(home.Addr)).Reserve(callCtx, &peerv1.ReserveRequest{
		From: s.viewer.Self().Proto(), Server: server, ReservationId: a.ID.ID, Workspace: a.Workspace, Weight: a.Weight,
		Stage: protoStage(a.Stage), Tokens: a.Tokens, StartAfterNanos: int64(max(0, a.Start.Sub(now))),
		MaxWaitNanos: int64(wait), ExpectedDurationNanos: int64(a.Duration), Priority: int32(a.Priority), //nolint:gosec // Priorities are small.
		WaitClass: a.WaitClass, PrefixBlocks: blocks,
	})
	if err != nil {
		// The answer may be lost after the grant.
		go s.releaseThere(home, server, a.ID)
		return reply{}, err
	}
	return reply{
		granted: resp.GetGranted(), notHome: resp.GetNotHome(), queueFull: resp.GetQueueFull(),
		retryAfter: time.Duration(resp.GetRetryAfterNanos()), cached: int(resp.GetCachedBlocks()), load: fromProto(resp.GetLoad()),
	}, nil
}

// releaseHeld frees one of this host's reservations at the present home host.
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
		if h.ask.Stage == StageDecode {
			v.ownBusy--
		} else {
			v.ownPrefill -= h.ask.Duration
		}
	}
	s.mu.Unlock()
	if local {
		s.releaseHere(h.server, id)
		return
	}
	go s.releaseThere(home, h.server, id)
}

func (s *Service) releaseThere(home host.ID, server string, id ReservationID) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_, err := peerv1.NewPlacementClient(s.dialer.Conn(home.Addr)).Release(ctx, &peerv1.ReleaseRequest{
		From: s.viewer.Self().Proto(), Server: server, ReservationId: id.ID,
	})
	if err != nil {
		s.log.V(1).Info("release lost, the next renewal repairs it", "home", home.Name, "server", server, "cause", err.Error())
	}
}

func protoStage(s Stage) peerv1.Stage {
	if s == StagePrefill {
		return peerv1.Stage_STAGE_PREFILL
	}
	return peerv1.Stage_STAGE_DECODE
}

func stageFrom(s peerv1.Stage) Stage {
	if s == peerv1.Stage_STAGE_PREFILL {
		return StagePrefill
	}
	return StageDecode
}
