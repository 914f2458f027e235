package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/wait"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

const (
	// callTimeout bounds one call to a peer or one read of the head. It is well under the trust period, so that
	// there is time to query other hosts after one does not reply.
	callTimeout = time.Second
	// watchRetryMin and watchRetryMax bound the random wait before a watch is reopened, so that hundreds of hosts
	// do not reconnect to the store at the same time.
	watchRetryMin = 200 * time.Millisecond
	watchRetryMax = time.Second
)

// jitter returns a random duration in [low, high).
func jitter(low, high time.Duration) time.Duration { return low + rand.N(high-low) }

// watchHead watches the head in the store. Whenever a watch ends, it reads the head before it opens another, so that
// no change in between is missed.
func (s *Service) watchHead(ctx context.Context) {
	for {
		if revision, err := s.readHead(ctx); err == nil {
			s.watchHeadFrom(ctx, revision+1)
		}
		if wait.For(ctx, jitter(watchRetryMin, watchRetryMax)) != nil {
			return
		}
	}
}

// watchHeadFrom watches the head from a revision on. It returns when the watch fails or the context ends.
func (s *Service) watchHeadFrom(ctx context.Context, from int64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	batches := s.o.Store.Watch(ctx, HeadKey, from)
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-batches:
			if b.Err != nil {
				s.o.Metrics.Inc("config_watch_errors")
				return
			}
			for _, e := range b.Events {
				if e.Key != HeadKey || e.Deleted {
					continue
				}
				if record, err := decodeHead(e.Value); err == nil {
					s.update(func(m *stateMachine, _ time.Time) { m.raiseTarget(record.head()) })
				}
			}
		}
	}
}

// readHead reads the head from the store, which confirms it as of the start of the read, and returns its revision.
func (s *Service) readHead(ctx context.Context) (int64, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := time.Now()
	kv, _, err := s.o.Store.Get(callCtx, HeadKey)
	if err != nil {
		if !canceled(ctx, err) {
			s.o.Metrics.Inc("config_store_read_errors")
		}
		return 0, err
	}
	record, err := decodeHead(kv.Value)
	if err != nil {
		s.o.Log.Error(err, "failed to decode configuration head from store")
		return 0, err
	}
	s.update(func(m *stateMachine, _ time.Time) { m.recordStoreRead(record.head(), sentAt) })
	return kv.ModRevision, nil
}

// pollLoop polls every pollInterval to confirm the configuration. A host for which HintGeneration reports a newer
// generation is queried immediately.
func (s *Service) pollLoop(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		s.poll(ctx, &wg)
		select {
		case <-ctx.Done():
			return
		case from := <-s.hints:
			s.startGetHead(ctx, &wg, from)
		case <-ticker.C:
		}
	}
}

func (s *Service) poll(ctx context.Context, wg *sync.WaitGroup) {
	var extra []host.ID
	// ExtraPeers may read the store, and only a host without a configuration uses the list.
	if s.Current() == nil {
		extra = s.o.ExtraPeers()
	}
	var q query
	s.update(func(m *stateMachine, now time.Time) {
		s.round++
		// The only host of an epoch is a majority by itself and receives no replies, so its configuration is
		// confirmed here.
		m.confirmByMajority(now)
		q = m.plan(now, s.round, extra, s.o.Viewer.Reachable)
		// No read of the store is started while an earlier poll's read is in progress.
		q.store = q.store && !s.storeReadOpen
		s.storeReadOpen = s.storeReadOpen || q.store
	})
	if q.store {
		wg.Go(func() {
			_, _ = s.readHead(ctx)
			s.mu.Lock()
			s.storeReadOpen = false
			s.mu.Unlock()
		})
	}
	for _, h := range q.peers {
		s.startGetHead(ctx, wg, h)
	}
}

// startGetHead sends GetHead to a host in the background unless a call to it is in progress.
func (s *Service) startGetHead(ctx context.Context, wg *sync.WaitGroup, h host.ID) {
	s.mu.Lock()
	open := s.getHeadOpen[h.Addr]
	s.getHeadOpen[h.Addr] = true
	s.mu.Unlock()
	if open {
		return
	}
	wg.Go(func() {
		s.getHead(ctx, h)
		s.mu.Lock()
		delete(s.getHeadOpen, h.Addr)
		s.mu.Unlock()
	})
}

func (s *Service) getHead(ctx context.Context, h host.ID) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := time.Now()
	resp, err := peerv1.NewConfigClient(s.o.Dialer.Conn(h.Addr)).GetHead(ctx, &peerv1.GetHeadRequest{})
	if err != nil {
		return
	}
	r := reply{
		from: host.FromProto(resp.From), generation: resp.Head.GetGeneration(), sentAt: sentAt,
		epoch: resp.Epoch, configEpoch: resp.ConfigEpoch,
	}
	s.update(func(m *stateMachine, now time.Time) {
		m.recordReply(r, headFromProto(resp.Head), time.Duration(resp.FreshnessAgeNanos), time.Duration(resp.StoreAgeNanos), now)
	})
}
