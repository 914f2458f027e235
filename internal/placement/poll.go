package placement

import (
	"context"
	"maps"
	"time"

	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/metrics"
)

const (
	// pollTimeout bounds all calls of one poll of an engine together.
	pollTimeout = time.Second
	// maxFailedPolls is the number of consecutive failed polls after which a server counts as down.
	maxFailedPolls = 2
	// holdingsPollInterval is the number of load polls per check of an engine's holdings.
	holdingsPollInterval = 4
	// unknownOwnerGrace is how long an engine must hold memory for an incarnation that is in no known epoch before the
	// memory is released. A host admits requests only while it is in the epoch, and all hosts receive a new epoch within
	// seconds.
	unknownOwnerGrace = 30 * time.Second
)

type pollState struct {
	running bool
	failed  int
	count   int
}

// Serve polls the engines of the servers that this host is the home host of, renews reservations and expires those of
// owners that have stopped, until the context ends. It implements suture.Service.
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
			interval := time.Duration(bytes) * time.Second / time.Duration(s.opt.RenewBytesPerSecond)
			renew.Reset(min(max(interval, s.opt.RenewMinInterval), s.opt.RenewMaxInterval))
		}
	}
}

func (s *Service) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.syncLocked(now, nil)
	maps.DeleteFunc(s.unknownOwners, func(_ OwnerID, first time.Time) bool { return now.Sub(first) > 2*unknownOwnerGrace })
	if n := s.homeState.expire(now, s.viewer.Self(), s.leftEpoch); n > 0 {
		s.metrics.Add(metricReleased, int64(n), metrics.L("reason", reasonOwnerGone))
	}
}

// pollAll starts a poll of each own server whose previous poll has ended.
func (s *Service) pollAll(ctx context.Context) {
	if s.engines == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.syncLocked(time.Now(), nil)
	for _, t := range s.homeState.tables {
		if t.poll.running {
			continue
		}
		t.poll.running = true
		t.poll.count++
		checkHoldings := t.poll.count%holdingsPollInterval == 0
		go s.poll(ctx, t, s.engines.Server(t.rule.Name, t.rule.Addr), checkHoldings)
	}
}

func (s *Service) poll(ctx context.Context, t *homeTable, e engine.Server, checkHoldings bool) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, err := e.Load(ctx)
	s.recordPoll(t, report, err)
	if err == nil && t.queues[StagePrefill] != nil {
		s.pollCache(ctx, e)
	}
	if err == nil && checkHoldings {
		s.abortOrphaned(ctx, e)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t.poll.running = false
}

// recordPoll applies a load report, or a failed poll, to the table.
func (s *Service) recordPoll(t *homeTable, r engine.LoadReport, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if err != nil {
		s.metrics.Inc(metricPollFails)
		t.poll.failed++
		t.Down = t.poll.failed >= maxFailedPolls
	} else {
		t.poll.failed, t.Down = 0, false
		t.Report(now, r)
	}
	if s.homeState.tables[t.rule.Name] == t {
		s.homeState.advance(now, t)
		s.refreshViewLocked(now, t.rule.Name, t)
	}
}

// pollCache reads cache events and, after a gap, the complete cache content.
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

// abortOrphaned aborts the attempts that the engine holds for incarnations that have stopped. An abort has succeeded
// when the engine no longer lists the attempt; until then each check repeats it.
func (s *Service) abortOrphaned(ctx context.Context, e engine.Server) {
	held, err := e.Holdings(ctx)
	if err != nil {
		s.metrics.Inc(metricPollFails)
		return
	}
	for _, h := range held {
		// An attempt without a host name was not started by this system; other clients may share the engine.
		if h.Host == "" {
			continue
		}
		reason := s.orphanReason(OwnerID{Host: h.Host, Incarnation: h.Incarnation})
		if reason == "" {
			continue
		}
		if err := e.Abort(ctx, h.AttemptID); err != nil {
			s.log.Info("failed to abort an orphaned attempt; retrying at the next check of the engine's holdings",
				"server", e.Name(), "attempt", h.AttemptID, "cause", err.Error())
			continue
		}
		s.metrics.Inc(metricReleased, metrics.L("reason", reason))
	}
}

// orphanReason returns why an owner counts as stopped, or the empty string while it may still be running. An owner that
// is in no known epoch may belong to an epoch newer than this host's, so it gets a grace period.
func (s *Service) orphanReason(id OwnerID) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.syncLocked(now, nil)
	if _, known := s.knownIncarnations[id]; known {
		delete(s.unknownOwners, id)
		// CheckAuthority succeeds only while this host's epoch is current, so an owner that rejoined in a newer epoch does
		// not count as stopped.
		if s.leftEpoch(id) && s.viewer.CheckAuthority(now) == nil {
			return reasonHostExcluded
		}
		return ""
	}
	if s.viewer.CheckAuthority(now) != nil {
		return ""
	}
	first, seen := s.unknownOwners[id]
	if !seen {
		s.unknownOwners[id] = now
		return ""
	}
	if now.Sub(first) < unknownOwnerGrace {
		return ""
	}
	return reasonUnknownOwner
}
