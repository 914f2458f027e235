package membership

import (
	"time"

	"github.com/boragecourse/boragecourse/internal/platform"
)

// fault changes one thing and comes back some time later.
func (s *sim) fault() {
	p := s.procs[s.rng.IntN(len(s.procs))]
	switch s.rng.IntN(12) {
	case 0, 1, 2:
		s.isolate(s.rng.IntN(3) == 0)
	case 3:
		q := s.procs[s.rng.IntN(len(s.procs))]
		s.cut[p.index][q.index] = !s.cut[p.index][q.index]
	case 4:
		for i := range s.cut {
			clear(s.cut[i])
		}
	case 5:
		p.storeDown = !p.storeDown
	case 6:
		down := s.rng.IntN(2) == 0
		for _, q := range s.procs {
			q.storeDown = down
		}
	case 7:
		p.paused = s.now + s.between(500*time.Millisecond, 15*time.Second)
	case 8, 9:
		s.restart(p)
	case 10:
		s.listHosts()
	case 11:
		if p.machine != nil && s.rng.IntN(3) == 0 {
			s.event(p, p.machine, Leave{})
			m := p.machine
			s.after(s.between(time.Second, 6*time.Second), func() {
				if p.machine == m {
					s.restart(p)
				}
			})
		}
	}
	s.after(s.between(200*time.Millisecond, 8*time.Second), s.fault)
}

// isolate cuts a set of hosts off from the others, and perhaps from the store.
func (s *sim) isolate(oneWay bool) {
	inside := map[int]bool{}
	zone := s.procs[s.rng.IntN(len(s.procs))].id.Zone
	byZone := s.rng.IntN(2) == 0
	storeToo := s.rng.IntN(2) == 0
	for _, p := range s.procs {
		if byZone && p.id.Zone == zone || !byZone && s.rng.IntN(3) == 0 {
			inside[p.index] = true
		}
		if storeToo {
			p.storeDown = inside[p.index]
		}
	}
	for i := range s.procs {
		for j := range s.procs {
			s.cut[i][j] = inside[i] != inside[j] && (!oneWay || inside[i])
		}
	}
}

func (s *sim) restart(p *proc) {
	p.machine = nil
	if s.rng.IntN(4) > 0 {
		s.after(s.between(100*time.Millisecond, 10*time.Second), func() {
			if p.machine == nil {
				s.start(p)
			}
		})
	}
}

func (s *sim) listHosts() {
	var entries []platform.HostEntry
	for _, p := range s.procs {
		if p.machine != nil && s.rng.IntN(3) > 0 {
			entries = append(entries, platform.HostEntry{Name: p.id.Name, Addr: p.id.Addr, State: platform.HostLive})
		}
	}
	for _, p := range s.procs {
		if m := p.machine; m != nil {
			s.deliver(p, m, func() { s.event(p, m, HostsListed{Entries: entries}) })
		}
	}
}
