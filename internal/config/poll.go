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
	// a silent peer leaves time to ask others.
	callTimeout = time.Second
	// watchRetryMin and watchRetryMax bound the random wait before a watch is opened again, so that hundreds of
	// hosts do not return to the store at once.
	watchRetryMin = 200 * time.Millisecond
	watchRetryMax = time.Second
)

// jitter returns a random duration in [low, high).
func jitter(low, high time.Duration) time.Duration { return low + rand.N(high-low) }

// watchHead follows the head in the store. After each gap it reads the head before it watches again.
func (s *Service) watchHead(ctx context.Context) {
	for {
		if revision, err := s.readHead(ctx); err == nil {
			s.followHead(ctx, revision+1)
		}
		if wait.For(ctx, jitter(watchRetryMin, watchRetryMax)) != nil {
			return
		}
	}
}

// followHead returns when the watch ends.
func (s *Service) followHead(ctx context.Context, from int64) {
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
					s.update(func(m *machine, _ time.Time) { m.announced(record.head()) })
				}
			}
		}
	}
}

// readHead reads the head from the store, which confirms it as of now, and returns its revision.
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
		s.o.Log.Error(err, "head in the store is unreadable")
		return 0, err
	}
	s.update(func(m *machine, _ time.Time) { m.storeRead(record.head(), sentAt) })
	return kv.ModRevision, nil
}

// pollLoop confirms the configuration at a fixed interval.
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
			s.ask(ctx, &wg, from)
		case <-ticker.C:
		}
	}
}

func (s *Service) poll(ctx context.Context, wg *sync.WaitGroup) {
	var extra []host.ID
	// The list may be a read of the store, and only a host without a configuration uses it.
	if s.Current() == nil {
		extra = s.o.ExtraPeers()
	}
	var q query
	s.update(func(m *machine, now time.Time) {
		s.round++
		// A host that is the whole epoch is its own majority and gets no replies.
		m.countMajority(now)
		q = m.plan(now, s.round, extra, s.o.Viewer.Reachable)
		// A read that is still open is not repeated.
		q.store = q.store && !s.inRead
		s.inRead = s.inRead || q.store
	})
	if q.store {
		wg.Go(func() {
			_, _ = s.readHead(ctx)
			s.mu.Lock()
			s.inRead = false
			s.mu.Unlock()
		})
	}
	for _, h := range q.peers {
		s.ask(ctx, wg, h)
	}
}

// ask sends GetHead to a host unless a call to it is open.
func (s *Service) ask(ctx context.Context, wg *sync.WaitGroup, h host.ID) {
	s.mu.Lock()
	open := s.asking[h.Addr]
	s.asking[h.Addr] = true
	s.mu.Unlock()
	if open {
		return
	}
	wg.Go(func() {
		s.getHead(ctx, h)
		s.mu.Lock()
		delete(s.asking, h.Addr)
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
	s.update(func(m *machine, now time.Time) {
		m.peerReply(r, headFromProto(resp.Head), time.Duration(resp.FreshnessAgeNanos), time.Duration(resp.StoreAgeNanos), now)
	})
}
