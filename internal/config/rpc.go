package config

import (
	"context"
	"time"

	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// PushHead implements the Config service. It waits until the head is installed, for at most the requested time or
// callTimeout, whichever is shorter, and returns the installed generation.
func (s *Service) PushHead(ctx context.Context, req *peerv1.PushHeadRequest) (*peerv1.PushHeadResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(req.WaitNanos), callTimeout))
	defer cancel()
	h := headFromProto(req.Head)
	s.update(func(m *stateMachine, _ time.Time) { m.raiseTarget(h) })
	installed := s.waitInstalled(ctx, h.Generation)
	return &peerv1.PushHeadResponse{InstalledGeneration: installed, From: s.o.Viewer.Self().Proto()}, nil
}

// GetHead implements the Config service. It returns the installed head with the ages of its confirmations.
func (s *Service) GetHead(context.Context, *peerv1.GetHeadRequest) (*peerv1.GetHeadResponse, error) {
	resp := &peerv1.GetHeadResponse{From: s.o.Viewer.Self().Proto()}
	s.update(func(m *stateMachine, now time.Time) {
		resp.Head = m.installed.proto()
		resp.FreshnessAgeNanos = int64(age(now, m.confirmedAt))
		resp.StoreAgeNanos = int64(age(now, m.storeConfirmedAt))
		resp.Epoch, resp.ConfigEpoch = m.epoch.Number, m.configEpoch
	})
	return resp, nil
}

// FetchChunks implements the Config service. It returns the requested chunks and indexes that are cached, up to
// maxFetchBytes; the caller requests the rest in another call.
func (s *Service) FetchChunks(_ context.Context, req *peerv1.FetchChunksRequest) (*peerv1.FetchChunksResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	resp, size := &peerv1.FetchChunksResponse{}, 0
	for _, raw := range req.Hashes {
		if len(raw) != len(Hash{}) {
			continue
		}
		data, ok := s.blobCache.raw(Hash(raw))
		if !ok {
			continue
		}
		if size += len(data); size > maxFetchBytes && len(resp.Chunks) > 0 {
			break
		}
		resp.Chunks = append(resp.Chunks, &peerv1.Chunk{Hash: raw, Data: []byte(data)})
	}
	return resp, nil
}
