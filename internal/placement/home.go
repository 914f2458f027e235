package placement

import (
	"context"
	"time"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/rules"
)

// advanceInterval is how often queued reservation requests are reconsidered when there is no release.
const advanceInterval = 10 * time.Millisecond

// homeState is the state that this host keeps as a home host. The service's lock guards it.
type homeState struct {
	opt     Options
	shared  *FairShareTables
	tables  map[string]*homeTable
	pending map[ReservationID]chan reply
	// owners holds when each owner last called, and whether its last digest differed.
	owners       map[OwnerID]*owner
	timerRunning bool
}

// homeTable is the reservation table of a server that this host is the home host of.
type homeTable struct {
	*ReservationTable
	rule *rules.Server
	// created is when this host became the server's home host.
	created time.Time
	poll    pollState
}

type owner struct {
	lastSeen       time.Time
	digestDiffered bool
}

// reply is the result of a reservation request at a home host.
type reply struct {
	granted, notHome, queueFull bool
	retryAfter                  time.Duration
	cached                      int
	load                        Load
}

func newHomeState(o Options) *homeState {
	return &homeState{
		opt: o, shared: NewFairShareTables(), tables: map[string]*homeTable{},
		pending: map[ReservationID]chan reply{}, owners: map[OwnerID]*owner{},
	}
}

// sync creates tables for the servers that this host is the home host of and removes the others. Queued requests of
// removed tables get a notHome reply. It returns the names of the servers with a new table.
func (h *homeState) sync(now time.Time, self host.ID, v *view) []string {
	var created []string
	for name, s := range v.servers {
		isHome := s.hasHome && s.home.Name == self.Name && s.home.Incarnation == self.Incarnation && s.rule.Role != rules.RoleService
		t := h.tables[name]
		if t != nil && (!isHome || t.rule.Addr != s.rule.Addr || t.rule.Role != s.rule.Role) {
			h.rejectWaiting(t)
			delete(h.tables, name)
			t = nil
		}
		switch {
		case isHome && t == nil:
			h.tables[name] = &homeTable{ReservationTable: NewReservationTable(s.rule, h.opt, h.shared), rule: s.rule, created: now}
			created = append(created, name)
		case isHome:
			t.rule = s.rule
		}
		if t := h.tables[name]; t != nil {
			t.Leaving = s.rule.State == rules.ServerLeaving
			h.advance(now, t)
		}
	}
	for name, t := range h.tables {
		if v.servers[name] == nil {
			h.rejectWaiting(t)
			delete(h.tables, name)
		}
	}
	return created
}

func (h *homeState) rejectWaiting(t *homeTable) {
	for _, q := range t.queues {
		for _, a := range q.waiting {
			h.deliver(a.ID, reply{notHome: true})
		}
	}
}

func (h *homeState) deliver(id ReservationID, r reply) {
	if ch := h.pending[id]; ch != nil {
		ch <- r
		delete(h.pending, id)
	}
}

// advance delivers the results of the queued requests of one table that can be decided now.
func (h *homeState) advance(now time.Time, t *homeTable) {
	for _, a := range t.Advance(now) {
		h.deliver(a.ID, reply{granted: a.Granted, retryAfter: a.RetryAfter, load: t.Load(now)})
	}
}

// touchOwner records that an owner called.
func (h *homeState) touchOwner(now time.Time, id OwnerID) *owner {
	o := h.owners[id]
	if o == nil {
		o = &owner{}
		h.owners[id] = o
	}
	o.lastSeen = now
	return o
}

// expire releases the reservations of owners that did not call within OwnerTTL or that left the epoch. This host's own
// reservations do not expire.
func (h *homeState) expire(now time.Time, self host.ID, leftEpoch func(OwnerID) bool) int {
	released := 0
	for id, o := range h.owners {
		if id == ownerOf(self) || (now.Sub(o.lastSeen) <= h.opt.OwnerTTL && !leftEpoch(id)) {
			continue
		}
		delete(h.owners, id)
		for _, t := range h.tables {
			if n := t.ReleaseOwner(now, id); n > 0 {
				released += n
				h.advance(now, t)
			}
		}
	}
	return released
}

func ownerOf(id host.ID) OwnerID { return OwnerID{Host: id.Name, Incarnation: id.Incarnation} }

// reserveLocal requests a reservation from this host's own table and waits for the result. When the context ends
// first, the queued request is removed.
func (s *Service) reserveLocal(ctx context.Context, server string, req ReservationRequest, blocks []uint64) (reply, error) {
	s.mu.Lock()
	now := time.Now()
	s.syncLocked(now, nil)
	t := s.homeState.tables[server]
	if t == nil {
		s.mu.Unlock()
		return reply{notHome: true}, nil
	}
	s.homeState.touchOwner(now, req.ID.Owner)
	result, err := t.Reserve(now, req)
	if err != nil {
		s.mu.Unlock()
		return reply{}, err
	}
	cached := 0
	if req.Stage == StagePrefill && len(blocks) > 0 {
		cached = s.view.index.Match(server, now, blocks)
	}
	if !result.Queued {
		r := reply{granted: result.Granted, queueFull: result.QueueFull, retryAfter: result.RetryAfter, cached: cached, load: t.Load(now)}
		s.refreshViewLocked(now, server, t)
		s.mu.Unlock()
		return r, nil
	}
	ch := make(chan reply, 1)
	s.homeState.pending[req.ID] = ch
	s.refreshViewLocked(now, server, t)
	s.startTimerLocked()
	s.mu.Unlock()
	select {
	case r := <-ch:
		r.cached = cached
		return r, nil
	case <-ctx.Done():
		s.releaseLocal(server, req.ID)
		return reply{}, ctx.Err()
	}
}

// releaseLocal frees a reservation in this host's own table and grants the slot to the next queued request.
func (s *Service) releaseLocal(server string, id ReservationID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.homeState.pending, id)
	if t := s.homeState.tables[server]; t != nil {
		now := time.Now()
		t.Release(now, id)
		s.homeState.advance(now, t)
		s.refreshViewLocked(now, server, t)
	}
}

// refreshViewLocked copies a table's load into this host's own view.
func (s *Service) refreshViewLocked(now time.Time, server string, t *homeTable) {
	if v := s.view.servers[server]; v != nil {
		v.setLoad(now, t.Load(now))
	}
}

// startTimerLocked starts the timer that advances the tables. It runs only while requests are queued.
func (s *Service) startTimerLocked() {
	if s.homeState.timerRunning {
		return
	}
	s.homeState.timerRunning = true
	time.AfterFunc(advanceInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.homeState.timerRunning = false
		now, waiting := time.Now(), 0
		for name, t := range s.homeState.tables {
			if t.QueueLength() > 0 {
				s.homeState.advance(now, t)
				s.refreshViewLocked(now, name, t)
				waiting += t.QueueLength()
			}
		}
		if waiting > 0 {
			s.startTimerLocked()
		}
	})
}

// syncLocked updates view and tables to the newest epoch and snapshot. The argument is used only when no snapshot is
// installed, and may be nil.
func (s *Service) syncLocked(now time.Time, snap *config.Snapshot) {
	epoch := s.viewer.Epoch()
	if installed := s.snapshot(); installed != nil {
		snap = installed
	}
	if snap == nil || s.view.current(snap, epoch.Number) {
		return
	}
	s.view.rebuild(snap, epoch)
	created := s.homeState.sync(now, s.viewer.Self(), s.view)
	s.recordIncarnations(now, epoch)
	for _, name := range created {
		s.restoreOwnLocked(now, name)
	}
}

// recordIncarnations records the incarnations in an epoch, so that leftEpoch can detect their exclusion from a later
// one.
func (s *Service) recordIncarnations(now time.Time, e membership.Epoch) {
	for _, h := range e.Hosts {
		s.knownIncarnations[ownerOf(h)] = now
	}
}

// leftEpoch reports whether an incarnation was in an earlier epoch and is not in the present one.
func (s *Service) leftEpoch(id OwnerID) bool {
	if _, ok := s.knownIncarnations[id]; !ok {
		return false
	}
	return !s.viewer.Epoch().Contains(host.ID{Name: id.Host, Incarnation: id.Incarnation})
}
