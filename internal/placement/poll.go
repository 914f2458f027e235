package placement

import (
	"context"
	"maps"
	"time"

	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/metrics"
)

const (
	// pollTimeout bounds one call to an engine.
	pollTimeout = time.Second
	// downAfter is the number of failed polls in a row after which a server counts as down.
	downAfter = 2
	// holdingsEvery is how many load polls pass between two looks at what an engine holds.
	holdingsEvery = 4
	// unknownHolderGrace is how long an engine must hold memory for an incarnation that is in no known epoch before it
	// is released. A host admits only while it is in the epoch, and epochs spread within seconds.
	unknownHolderGrace = 30 * time.Second
)

type pollState struct {
	running bool
	failed  int
	count   int
}

// Serve polls the engines of this home host, renews reservations and expires those of dead owners until the context
// ends. It implements suture.Service.
func (s *Service) Serve(ctx context.Context) error {
	poll := time.NewTicker(s.opt.PollInterval)
	defer poll.Stop()
	renew := time.NewTimer(0)
	defer renew.Stop()
	renewed := make(chan int, 1)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-poll.C:
			s.pollAll(ctx)
			s.expire()
		case <-renew.C:
			go func() { renewed <- s.renewAll(ctx) }()
		case bytes := <-renewed:
			interval := time.Duration(bytes) * time.Second / time.Duration(s.opt.ControlBytes)
			renew.Reset(min(max(interval, s.opt.RenewInterval), s.opt.RenewMax))
		}
	}
}

func (s *Service) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.syncLocked(now, nil)
	maps.DeleteFunc(s.unknownHolders, func(_ OwnerID, first time.Time) bool { return now.Sub(first) > 2*unknownHolderGrace })
	if n := s.homes.expire(now, s.viewer.Self(), s.gone); n > 0 {
		s.metrics.Add(metricReleased, int64(n), metrics.L("reason", reasonOwnerGone))
	}
}

// pollAll starts a poll of each own server whose last poll has ended.
func (s *Service) pollAll(ctx context.Context) {
	if s.engines == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.syncLocked(time.Now(), nil)
	for _, b := range s.homes.books {
		if b.poll.running {
			continue
		}
		b.poll.running = true
		b.poll.count++
		look := b.poll.count%holdingsEvery == 0
		go s.poll(ctx, b, s.engines.Server(b.rule.Name, b.rule.Addr), look)
	}
}

func (s *Service) poll(ctx context.Context, b *homeBook, e engine.Server, look bool) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, err := e.Load(ctx)
	s.polled(b, report, err)
	if err == nil && b.lanes[StagePrefill] != nil {
		s.pollCache(ctx, e)
	}
	if err == nil && look {
		s.releaseDead(ctx, e)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b.poll.running = false
}

// polled takes a load report or a failure into the book.
func (s *Service) polled(b *homeBook, r engine.LoadReport, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if err != nil {
		s.metrics.Inc(metricPollFails)
		b.poll.failed++
		b.Down = b.poll.failed >= downAfter
	} else {
		b.poll.failed, b.Down = 0, false
		b.Report(now, r)
	}
	if s.homes.books[b.rule.Name] == b {
		s.homes.advance(now, b)
		s.refreshLocked(now, b.rule.Name, b)
	}
}

// pollCache reads cache events and, after a gap, the whole content.
func (s *Service) pollCache(ctx context.Context, e engine.Server) {
	s.mu.Lock()
	after := s.view.index.Sequence(e.Name())
	s.mu.Unlock()
	events, err := e.CacheEvents(ctx, after)
	if err != nil {
		s.metrics.Inc(metricPollFails)
		return
	}
	s.mu.Lock()
	complete := s.view.index.Apply(e.Name(), time.Now(), events)
	s.mu.Unlock()
	if complete {
		return
	}
	s.metrics.Inc(metricResyncs)
	blocks, sequence, err := e.CacheBlocks(ctx)
	if err != nil {
		s.metrics.Inc(metricPollFails)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.index.Resync(e.Name(), time.Now(), blocks, sequence)
}

// releaseDead aborts what the engine holds for daemons that are gone. It is repeated with each look until the engine
// no longer lists it, which is the acknowledgement.
func (s *Service) releaseDead(ctx context.Context, e engine.Server) {
	held, err := e.Holdings(ctx)
	if err != nil {
		s.metrics.Inc(metricPollFails)
		return
	}
	for _, h := range held {
		// Work without a host was not started by any daemon; other clients may share the engine.
		if h.Host == "" {
			continue
		}
		reason := s.deadReason(OwnerID{Host: h.Host, Incarnation: h.Incarnation})
		if reason == "" {
			continue
		}
		if err := e.Abort(ctx, h.AttemptID); err != nil {
			s.log.Info("abort failed, repeated with the next look", "server", e.Name(), "attempt", h.AttemptID, "cause", err.Error())
			continue
		}
		s.metrics.Inc(metricReleased, metrics.L("reason", reason))
	}
}

// deadReason says why a holder is gone, or returns the empty string while it may live. A holder that is in no known
// epoch may be newer than this host's epoch, so it gets a grace period.
func (s *Service) deadReason(id OwnerID) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.syncLocked(now, nil)
	if _, known := s.seen[id]; known {
		delete(s.unknownHolders, id)
		// Authority implies that this host's epoch is current, so a host that came back is not taken for dead.
		if s.gone(id) && s.viewer.CanAdmit(now) == nil {
			return reasonHostExcluded
		}
		return ""
	}
	if s.viewer.CanAdmit(now) != nil {
		return ""
	}
	first, waiting := s.unknownHolders[id]
	if !waiting {
		s.unknownHolders[id] = now
		return ""
	}
	if now.Sub(first) < unknownHolderGrace {
		return ""
	}
	return reasonUnknownHolder
}
