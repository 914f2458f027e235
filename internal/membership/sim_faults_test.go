package membership

import (
	"time"

	"github.com/boragecourse/boragecourse/internal/kvstore"
)

// injectFault injects or ends one random fault, and schedules the next call of itself.
func (s *sim) injectFault() {
	p := s.hosts[s.rng.IntN(len(s.hosts))]
	switch s.rng.IntN(12) {
	case 0, 1, 2:
		s.partition(s.rng.IntN(3) == 0)
	case 3:
		q := s.hosts[s.rng.IntN(len(s.hosts))]
		s.partitioned[p.index][q.index] = !s.partitioned[p.index][q.index]
	case 4:
		for i := range s.partitioned {
			clear(s.partitioned[i])
		}
	case 5:
		p.storeDown = !p.storeDown
	case 6:
		down := s.rng.IntN(2) == 0
		for _, q := range s.hosts {
			q.storeDown = down
		}
	case 7:
		p.pausedUntil = s.now + s.between(500*time.Millisecond, 15*time.Second)
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
	s.after(s.between(200*time.Millisecond, 8*time.Second), s.injectFault)
}

// partition blocks the traffic between a random set of hosts and the other hosts, and in half of the cases between that
// set and the store. If oneWay is set, only messages from the set to the other hosts are dropped.
func (s *sim) partition(oneWay bool) {
	inside := map[int]bool{}
	zone := s.hosts[s.rng.IntN(len(s.hosts))].id.Zone
	byZone := s.rng.IntN(2) == 0
	includeStore := s.rng.IntN(2) == 0
	for _, p := range s.hosts {
		if byZone && p.id.Zone == zone || !byZone && s.rng.IntN(3) == 0 {
			inside[p.index] = true
		}
		if includeStore {
			p.storeDown = inside[p.index]
		}
	}
	for i := range s.hosts {
		for j := range s.hosts {
			s.partitioned[i][j] = inside[i] != inside[j] && (!oneWay || inside[i])
		}
	}
}

func (s *sim) restart(p *simHost) {
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
	var entries []kvstore.HostEntry
	for _, p := range s.hosts {
		if p.machine != nil && s.rng.IntN(3) > 0 {
			entries = append(entries, kvstore.HostEntry{Name: p.id.Name, Addr: p.id.Addr, State: kvstore.HostLive})
		}
	}
	for _, p := range s.hosts {
		if m := p.machine; m != nil {
			s.deliver(p, m, func() { s.event(p, m, HostsListed{Entries: entries}) })
		}
	}
}
