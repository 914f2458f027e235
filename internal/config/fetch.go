package config

import (
	"context"
	"slices"
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/wait"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

const (
	// fetchRetryMin and fetchRetryMax bound the random wait after a failed fetch.
	fetchRetryMin = 100 * time.Millisecond
	fetchRetryMax = 400 * time.Millisecond
	// peerRounds is how many times a host queries the peers of its zone before it reads the store, with a random wait
	// of roundWaitMin to roundWaitMax between rounds. The zone's reader queries them once and does not wait, so that
	// the other hosts can get the chunks from it and the store is read once per zone.
	peerRounds   = 4
	roundWaitMin = 50 * time.Millisecond
	roundWaitMax = 200 * time.Millisecond
	// fetchPeers is how many peers of the zone are queried in a round.
	fetchPeers = 3
	// fetchBatch is how many chunks one call requests; the reply is also bounded by maxFetchBytes.
	fetchBatch = 64
	// maxFetchBytes bounds the chunks in one reply, well under gRPC's default message limit of 4 MB.
	maxFetchBytes = 2 << 20
)

// fetchLoop fetches and installs the target whenever it is newer than the installed head.
func (s *Service) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		for {
			s.mu.Lock()
			target, want := s.m.wanted(time.Now())
			s.mu.Unlock()
			if !want {
				break
			}
			err := s.fetch(ctx, target)
			if err == nil {
				continue
			}
			if !canceled(ctx, err) {
				s.o.Metrics.Inc("config_fetch_errors")
				s.o.Log.Error(err, "failed to fetch configuration", "generation", target.Generation)
			}
			if wait.For(ctx, jitter(fetchRetryMin, fetchRetryMax)) != nil {
				return
			}
		}
	}
}

// fetch fetches the index and the missing chunks of a head and installs it.
func (s *Service) fetch(ctx context.Context, h Head) error {
	if err := s.fetchMissing(ctx, h, func() []Hash {
		if _, ok := s.blobCache.indexes[h.Index]; ok {
			return nil
		}
		return []Hash{h.Index}
	}, func(hash Hash, data string) error { return s.blobCache.addIndex(hash, data) }); err != nil {
		return err
	}
	s.mu.Lock()
	chunks, err := decodeIndex(s.blobCache.indexes[h.Index])
	s.mu.Unlock()
	if err != nil {
		return err
	}
	if err := s.fetchMissing(ctx, h, func() []Hash { return s.blobCache.missing(chunks) },
		func(hash Hash, data string) error { return s.blobCache.add(hash, data) }); err != nil {
		return err
	}
	return s.install(h, chunks)
}

// fetchMissing fetches blobs until none is missing: from peers of the zone, then from the store and, if the store
// fails, from the remaining hosts. missing and add are called with s.mu held.
func (s *Service) fetchMissing(ctx context.Context, h Head, missing func() []Hash, add func(Hash, string) error) error {
	stillMissing := func() []Hash {
		s.mu.Lock()
		defer s.mu.Unlock()
		return missing()
	}
	addBlob := func(hash Hash, data string) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		return add(hash, data)
	}
	zone, rest, reader := s.fetchSources()
	for round := range peerRounds {
		for _, p := range zone {
			if len(stillMissing()) == 0 {
				return nil
			}
			s.fetchFromPeer(ctx, p, stillMissing, addBlob)
		}
		if reader || round == peerRounds-1 || len(stillMissing()) == 0 {
			break
		}
		if wait.For(ctx, jitter(roundWaitMin, roundWaitMax)) != nil {
			return ctx.Err()
		}
	}
	var storeErr error
	if hashes := stillMissing(); len(hashes) > 0 {
		storeErr = s.fetchFromStore(ctx, hashes, addBlob)
	}
	if storeErr != nil {
		for _, p := range rest {
			if len(stillMissing()) == 0 {
				return nil
			}
			s.fetchFromPeer(ctx, p, stillMissing, addBlob)
		}
	}
	if n := len(stillMissing()); n > 0 {
		return &MissingBlobsError{Generation: h.Generation, Count: n, Cause: storeErr}
	}
	return nil
}

// fetchSources returns the peers to query before the store (zone) and after it (rest), and whether this host is its
// zone's reader. The zone's reader comes first, then the hosts that are known to have the target.
func (s *Service) fetchSources() (zone, rest []host.ID, isReader bool) {
	extra := s.o.ExtraPeers()
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.m
	m.observeEpoch(s.o.Viewer.Epoch(), time.Now())
	reader := m.reader(s.o.Viewer.Reachable)
	all := append(append([]host.ID{}, m.epoch.Hosts...), extra...)
	rank := func(h host.ID) int {
		switch {
		case h.Name == reader.Name:
			return 0
		case m.replies[h.Name].generation >= m.target.Generation:
			return 1
		default:
			return 2
		}
	}
	slices.SortStableFunc(all, func(a, b host.ID) int { return rank(a) - rank(b) })
	seen := map[string]bool{m.self.Addr: true}
	for _, h := range all {
		switch {
		case seen[h.Addr]:
		case h.Zone == m.self.Zone && len(zone) < fetchPeers && s.o.Viewer.Reachable(h):
			zone = append(zone, h)
		default:
			rest = append(rest, h)
		}
		seen[h.Addr] = true
	}
	return zone, rest, reader.Name == m.self.Name
}

// fetchFromPeer requests missing blobs from a peer until none is missing or the peer returns no more.
func (s *Service) fetchFromPeer(ctx context.Context, p host.ID, missing func() []Hash, add func(Hash, string) error) {
	client := peerv1.NewConfigClient(s.o.Dialer.Conn(p.Addr))
	for {
		hashes := missing()
		if len(hashes) == 0 {
			return
		}
		req := &peerv1.FetchChunksRequest{}
		for _, h := range hashes[:min(len(hashes), fetchBatch)] {
			req.Hashes = append(req.Hashes, h[:])
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		resp, err := client.FetchChunks(callCtx, req)
		cancel()
		if err != nil {
			return
		}
		got := 0
		for _, c := range resp.Chunks {
			if len(c.Hash) != len(Hash{}) {
				continue
			}
			if err := add(Hash(c.Hash), string(c.Data)); err != nil {
				s.o.Metrics.Inc("config_corrupt_chunks")
				s.o.Log.Error(err, "peer sent a corrupt chunk", "peer", p.String())
				return
			}
			got++
		}
		if got == 0 {
			return
		}
	}
}

func (s *Service) fetchFromStore(ctx context.Context, hashes []Hash, add func(Hash, string) error) error {
	for _, h := range hashes {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		kv, ok, err := s.o.Store.Get(callCtx, blobKey(h))
		cancel()
		if err != nil {
			return err
		}
		if !ok {
			return &CorruptError{What: "chunk " + h.String(), Cause: errAbsent}
		}
		if err := add(h, string(kv.Value)); err != nil {
			return err
		}
	}
	return nil
}
