package placement

import (
	"context"
	"time"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/rules"
)

// advanceInterval is how often waiting reservations are looked at when no release happens.
const advanceInterval = 10 * time.Millisecond

// homes is the state of a home host. The service's lock guards it.
type homes struct {
	opt     Options
	shared  *Shared
	books   map[string]*homeBook
	pending map[ReservationID]chan reply
	// owners holds when each owner was last heard of, and whether its last digest differed.
	owners  map[OwnerID]*owner
	ticking bool
}

type homeBook struct {
	*Book
	rule *rules.Server
	// created is when this host became the home host.
	created time.Time
	poll    pollState
}

type owner struct {
	seen     time.Time
	differed bool
}

// reply is the result of a reservation at a home host.
type reply struct {
	granted, notHome, queueFull bool
	retryAfter                  time.Duration
	cached                      int
	load                        Load
}

func newHomes(o Options) *homes {
	return &homes{
		opt: o, shared: NewShared(), books: map[string]*homeBook{},
		pending: map[ReservationID]chan reply{}, owners: map[OwnerID]*owner{},
	}
}

// sync makes books for the servers that this host is home of and drops others. Waiting asks of dropped books are
// answered with notHome. It reports the servers with a new book.
func (h *homes) sync(now time.Time, self host.ID, v *view) []string {
	var created []string
	for name, s := range v.servers {
		mine := s.hasHome && s.home.Name == self.Name && s.home.Incarnation == self.Incarnation && s.rule.Role != rules.RoleService
		b := h.books[name]
		if b != nil && (!mine || b.rule.Addr != s.rule.Addr || b.rule.Role != s.rule.Role) {
			h.drop(b)
			delete(h.books, name)
			b = nil
		}
		switch {
		case mine && b == nil:
			h.books[name] = &homeBook{Book: NewBook(s.rule, h.opt, h.shared), rule: s.rule, created: now}
			created = append(created, name)
		case mine:
			b.rule = s.rule
		}
		if b := h.books[name]; b != nil {
			b.Leaving = s.rule.State == rules.ServerLeaving
			h.advance(now, b)
		}
	}
	for name, b := range h.books {
		if v.servers[name] == nil {
			h.drop(b)
			delete(h.books, name)
		}
	}
	return created
}

func (h *homes) drop(b *homeBook) {
	for _, l := range b.lanes {
		for _, a := range l.waiting {
			h.deliver(a.ID, reply{notHome: true})
		}
	}
}

func (h *homes) deliver(id ReservationID, r reply) {
	if ch := h.pending[id]; ch != nil {
		ch <- r
		delete(h.pending, id)
	}
}

// advance answers waiting asks of one book.
func (h *homes) advance(now time.Time, b *homeBook) {
	for _, a := range b.Advance(now) {
		h.deliver(a.ID, reply{granted: a.Granted, retryAfter: a.RetryAfter, load: b.Load(now)})
	}
}

// heard records a sign of life of an owner.
func (h *homes) heard(now time.Time, id OwnerID) *owner {
	o := h.owners[id]
	if o == nil {
		o = &owner{}
		h.owners[id] = o
	}
	o.seen = now
	return o
}

// expire releases the reservations of owners that were silent for too long or that left the epoch. The caller's
// own reservations never expire.
func (h *homes) expire(now time.Time, self host.ID, gone func(OwnerID) bool) int {
	released := 0
	for id, o := range h.owners {
		if id == ownerOf(self) || (now.Sub(o.seen) <= h.opt.OwnerTTL && !gone(id)) {
			continue
		}
		delete(h.owners, id)
		for _, b := range h.books {
			if n := b.ReleaseOwner(now, id); n > 0 {
				released += n
				h.advance(now, b)
			}
		}
	}
	return released
}

func ownerOf(id host.ID) OwnerID { return OwnerID{Host: id.Name, Incarnation: id.Incarnation} }

// reserveHere asks this host's own book and waits for the answer. It ends with the context; an ask that still
// waits then is withdrawn.
func (s *Service) reserveHere(ctx context.Context, server string, a Ask, blocks []uint64) (reply, error) {
	s.mu.Lock()
	now := time.Now()
	s.syncLocked(now, nil)
	b := s.homes.books[server]
	if b == nil {
		s.mu.Unlock()
		return reply{notHome: true}, nil
	}
	s.homes.heard(now, a.ID.Owner)
	answer, err := b.Reserve(now, a)
	if err != nil {
		s.mu.Unlock()
		return reply{}, err
	}
	cached := 0
	if a.Stage == StagePrefill && len(blocks) > 0 {
		cached = s.view.index.Match(server, now, blocks)
	}
	if !answer.Queued {
		r := reply{granted: answer.Granted, queueFull: answer.QueueFull, retryAfter: answer.RetryAfter, cached: cached, load: b.Load(now)}
		s.refreshLocked(now, server, b)
		s.mu.Unlock()
		return r, nil
	}
	ch := make(chan reply, 1)
	s.homes.pending[a.ID] = ch
	s.refreshLocked(now, server, b)
	s.tickLocked()
	s.mu.Unlock()
	select {
	case r := <-ch:
		r.cached = cached
		return r, nil
	case <-ctx.Done():
		s.releaseHere(server, a.ID)
		return reply{}, ctx.Err()
	}
}

// releaseHere frees a reservation in this host's own book and grants its slot to the next.
func (s *Service) releaseHere(server string, id ReservationID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.homes.pending, id)
	if b := s.homes.books[server]; b != nil {
		now := time.Now()
		b.Release(now, id)
		s.homes.advance(now, b)
		s.refreshLocked(now, server, b)
	}
}

// refreshLocked copies a book's load into this host's own view.
func (s *Service) refreshLocked(now time.Time, server string, b *homeBook) {
	if v := s.view.servers[server]; v != nil {
		v.setLoad(now, b.Load(now))
	}
}

// tickLocked starts the timer that answers waiting asks; it runs only while some wait.
func (s *Service) tickLocked() {
	if s.homes.ticking {
		return
	}
	s.homes.ticking = true
	time.AfterFunc(advanceInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.homes.ticking = false
		now, waiting := time.Now(), 0
		for name, b := range s.homes.books {
			if b.Waiting() > 0 {
				s.homes.advance(now, b)
				s.refreshLocked(now, name, b)
				waiting += b.Waiting()
			}
		}
		if waiting > 0 {
			s.tickLocked()
		}
	})
}

// syncLocked follows the newest epoch and snapshot; nil stands for the installed snapshot.
func (s *Service) syncLocked(now time.Time, snap *config.Snapshot) {
	epoch := s.viewer.Epoch()
	if installed := s.snapshot(); installed != nil {
		snap = installed
	}
	if snap == nil || s.view.current(snap, epoch.Number) {
		return
	}
	s.view.rebuild(snap, epoch)
	created := s.homes.sync(now, s.viewer.Self(), s.view)
	s.remember(now, epoch)
	for _, name := range created {
		s.restoreOwnLocked(now, name)
	}
}

// remember keeps which incarnations were in an epoch, so that their exclusion is known from their absence.
func (s *Service) remember(now time.Time, e membership.Epoch) {
	for _, h := range e.Hosts {
		s.seen[ownerOf(h)] = now
	}
}

// gone reports whether an incarnation was in an earlier epoch and is not in this one.
func (s *Service) gone(id OwnerID) bool {
	if _, ok := s.seen[id]; !ok {
		return false
	}
	return !s.viewer.Epoch().Contains(host.ID{Name: id.Host, Incarnation: id.Incarnation})
}
