package placement

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/boragecourse/boragecourse/internal/host"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// Reserve implements the Placement gRPC service. It returns when the request is granted or denied.
func (s *Service) Reserve(ctx context.Context, q *peerv1.ReserveRequest) (*peerv1.ReserveResponse, error) {
	if q.GetFrom().GetName() == "" || q.GetServer() == "" {
		return nil, status.Error(codes.InvalidArgument, "from and server are required")
	}
	now := time.Now()
	r, err := s.reserveLocal(ctx, q.GetServer(), ReservationRequest{
		ID:        ReservationID{Owner: ownerOf(host.FromProto(q.GetFrom())), ID: q.GetReservationId()},
		Workspace: q.GetWorkspace(), Weight: q.GetWeight(), Stage: stageFromProto(q.GetStage()), Tokens: q.GetTokens(),
		Priority: int(q.GetPriority()), WaitClass: q.GetWaitClass(), Duration: time.Duration(q.GetExpectedDurationNanos()),
		Start: now.Add(time.Duration(q.GetStartAfterNanos())), Deadline: now.Add(time.Duration(q.GetMaxWaitNanos())),
	}, q.GetPrefixBlocks())
	if err != nil {
		if ctx.Err() != nil {
			return nil, status.FromContextError(ctx.Err()).Err()
		}
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return &peerv1.ReserveResponse{
		Granted: r.granted, NotHome: r.notHome, QueueFull: r.queueFull, RetryAfterNanos: int64(r.retryAfter),
		CachedBlocks: int32(r.cached), Load: toProto("", r.load), //nolint:gosec // At most cacheindex.MaxBlocks.
	}, nil
}

// Release implements the Placement gRPC service. Releasing an unknown reservation is not an error.
func (s *Service) Release(_ context.Context, q *peerv1.ReleaseRequest) (*peerv1.ReleaseResponse, error) {
	s.releaseLocal(q.GetServer(), ReservationID{Owner: ownerOf(host.FromProto(q.GetFrom())), ID: q.GetReservationId()})
	return &peerv1.ReleaseResponse{}, nil
}

// Renew implements the Placement gRPC service. It keeps the caller's reservations from expiring, reconciles them and
// returns the loads of the servers that this host is the home host of.
func (s *Service) Renew(_ context.Context, q *peerv1.RenewRequest) (*peerv1.RenewResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.syncLocked(now, nil)
	id := ownerOf(host.FromProto(q.GetFrom()))
	o := s.homeState.touchOwner(now, id)
	resp := &peerv1.RenewResponse{}
	if q.GetFull() {
		o.digestDiffered = false
		s.reconcileLocked(now, id, q.GetOpen())
	} else {
		count, digest, newTable := s.homeState.digest(now, id)
		differs := count != q.GetCount() || digest != q.GetDigest()
		// One difference may be a change in transit. The full list is requested after a second one in a row, or after the
		// first one if a table is new.
		resp.NeedFull = differs && (o.digestDiffered || newTable)
		o.digestDiffered = differs
	}
	for name, b := range s.homeState.tables {
		resp.Loads = append(resp.Loads, toProto(name, b.Load(now)))
	}
	return resp, nil
}

func toProto(server string, l Load) *peerv1.ServerLoad {
	return &peerv1.ServerLoad{
		Server: server, Slots: clampUint(int64(l.Slots)), Busy: clampUint(int64(l.Busy)), Waiting: clampUint(int64(l.Waiting)),
		SlotWaitMicros: clampUint(l.SlotWait.Microseconds()), PrefillWaitMicros: clampUint(l.PrefillWait.Microseconds()), Down: l.Down,
		SlotQueueMicros: clampUint(l.SlotQueue.Microseconds()), PrefillQueueMicros: clampUint(l.PrefillQueue.Microseconds()),
	}
}

func fromProto(l *peerv1.ServerLoad) Load {
	return Load{
		Slots: int(l.GetSlots()), Busy: int(l.GetBusy()), Waiting: int(l.GetWaiting()), Down: l.GetDown(),
		SlotWait:     time.Duration(l.GetSlotWaitMicros()) * time.Microsecond,
		PrefillWait:  time.Duration(l.GetPrefillWaitMicros()) * time.Microsecond,
		SlotQueue:    time.Duration(l.GetSlotQueueMicros()) * time.Microsecond,
		PrefillQueue: time.Duration(l.GetPrefillQueueMicros()) * time.Microsecond,
	}
}

func clampUint(n int64) uint32 {
	const limit = 1<<32 - 1
	return uint32(min(max(n, 0), limit)) //nolint:gosec // Clamped.
}
