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
	// fetchRetryMin and fetchRetryMax bound the random wait after an attempt that did not get everything.
	fetchRetryMin = 100 * time.Millisecond
	fetchRetryMax = 400 * time.Millisecond
	// peerRounds is how often a host asks its zone's peers before it turns to the store, with a random wait of
	// roundMin to roundMax after each round. The zone's reader asks once and does not wait, so that the others
	// get the chunks from it and the store is read once for each zone.
	peerRounds = 4
	roundMin   = 50 * time.Millisecond
	roundMax   = 200 * time.Millisecond
	// fetchPeers is how many peers of the zone are asked in a round.
	fetchPeers = 3
	// fetchBatch is how many chunks one call asks for; the answer is bounded by maxFetchBytes.
	fetchBatch = 64
	// maxFetchBytes bounds the chunks in one answer, under grpc's usual limit of 4 MB.
	maxFetchBytes = 2 << 20
)

// fetchLoop installs the target whenever there is one.
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
				s.o.Log.Error(err, "configuration not fetched", "generation", target.Generation)
			}
			if wait.For(ctx, jitter(fetchRetryMin, fetchRetryMax)) != nil {
				return
			}
		}
	}
}

// fetch gets what a head needs and installs it.
func (s *Service) fetch(ctx context.Context, h Head) error {
	if err := s.gather(ctx, h, func() []Hash {
		if _, ok := s.blobs.indexes[h.Index]; ok {
			return nil
		}
		return []Hash{h.Index}
	}, func(hash Hash, data string) error { return s.blobs.addIndex(hash, data) }); err != nil {
		return err
	}
	s.mu.Lock()
	chunks, err := decodeIndex(s.blobs.indexes[h.Index])
	s.mu.Unlock()
	if err != nil {
		return err
	}
	if err := s.gather(ctx, h, func() []Hash { return s.blobs.missing(chunks) },
		func(hash Hash, data string) error { return s.blobs.add(hash, data) }); err != nil {
		return err
	}
	return s.install(h, chunks)
}

// gather fetches blobs until none is missing: from peers of the zone, then from the store, then from the other
// zones' hosts. missing and add are called with the lock held.
func (s *Service) gather(ctx context.Context, h Head, missing func() []Hash, add func(Hash, string) error) error {
	lacking := func() []Hash {
		s.mu.Lock()
		defer s.mu.Unlock()
		return missing()
	}
	keep := func(hash Hash, data string) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		return add(hash, data)
	}
	zone, rest, reader := s.sources()
	for round := range peerRounds {
		for _, p := range zone {
			if len(lacking()) == 0 {
				return nil
			}
			s.fetchFrom(ctx, p, lacking, keep)
		}
		if reader || round == peerRounds-1 || len(lacking()) == 0 {
			break
		}
		if wait.For(ctx, jitter(roundMin, roundMax)) != nil {
			return ctx.Err()
		}
	}
	var storeErr error
	if hashes := lacking(); len(hashes) > 0 {
		storeErr = s.fetchFromStore(ctx, hashes, keep)
	}
	if storeErr != nil {
		for _, p := range rest {
			if len(lacking()) == 0 {
				return nil
			}
			s.fetchFrom(ctx, p, lacking, keep)
		}
	}
	if n := len(lacking()); n > 0 {
		return &MissingBlobsError{Generation: h.Generation, Count: n, Cause: storeErr}
	}
	return nil
}

// sources returns the peers to ask before and after the store, the zone's reader and those that are known to be up to
// date first, and whether this host is its zone's reader.
func (s *Service) sources() (zone, rest []host.ID, isReader bool) {
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
		case m.heard[h.Name].generation >= m.target.Generation:
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

// fetchFrom asks a peer for what is lacking until it gives nothing more.
func (s *Service) fetchFrom(ctx context.Context, p host.ID, lacking func() []Hash, keep func(Hash, string) error) {
	client := peerv1.NewConfigClient(s.o.Dialer.Conn(p.Addr))
	for {
		hashes := lacking()
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
			if err := keep(Hash(c.Hash), string(c.Data)); err != nil {
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

func (s *Service) fetchFromStore(ctx context.Context, hashes []Hash, keep func(Hash, string) error) error {
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
		if err := keep(h, string(kv.Value)); err != nil {
			return err
		}
	}
	return nil
}
