package serverlimit

import (
	"maps"
	"time"
)

const (
	// coldMemory is how long an incarnation that is not listed stays known, so that one whose registration expired in an outage
	// of the store does not count as new.
	coldMemory = time.Minute
	// maxColdTime bounds the time for which a server counts as cold on one statement.
	maxColdTime = 10 * time.Minute
	// maxColdKnown bounds the incarnations that are remembered.
	maxColdKnown = 1 << 14
)

// ColdLimit bounds the requests that a cold server gets in any second from all hosts: Ratio times PerSecond, plus Slack.
type ColdLimit struct {
	PerSecond, Ratio, Slack float64
}

// Registered is what the registration of a server states.
type Registered struct {
	// Server is the hash of the server's key, see Hash.
	Server uint64
	// Left is how much longer the server is cold as of the time of its registration, ColdStart how long servers of its service
	// are cold after their start.
	Left, ColdStart time.Duration
	// Evacuated is set while the server gets no requests because its zone is evacuated.
	Evacuated bool
}

type coldServer struct {
	left        time.Duration
	until, seen time.Time
	evacuated   bool
}

// Cold records until when servers are cold. It is not safe for concurrent use.
type Cold struct {
	servers map[uint64]coldServer
	// latest is a time after which no server is cold.
	latest time.Time
}

// NewCold returns a record without servers.
func NewCold() *Cold { return &Cold{servers: map[uint64]coldServer{}} }

// Register records the registrations that are listed now and reports how many servers have become cold. Servers that are listed
// for the first time count as cold for ColdStart, except in the first list: these have been running before this host. So do
// those whose zone is not evacuated any more.
func (c *Cold) Register(listed []Registered, now time.Time) (begun int) {
	first := len(c.servers) == 0
	for _, r := range listed {
		s, known := c.servers[r.Server]
		wasCold := now.Before(s.until)
		if !known && !first || known && s.evacuated && !r.Evacuated {
			s.extend(r.ColdStart, now)
		}
		// A registration that was not written again states the same time.
		if r.Left != s.left {
			s.extend(r.Left, now)
		}
		s.left, s.seen, s.evacuated = r.Left, now, r.Evacuated
		c.servers[r.Server] = s
		c.raise(s.until)
		if !wasCold && now.Before(s.until) {
			begun++
		}
	}
	maps.DeleteFunc(c.servers, func(_ uint64, s coldServer) bool { return now.Sub(s.seen) >= coldMemory })
	return begun
}

func (c *Cold) raise(until time.Time) {
	if until.After(c.latest) {
		c.latest = until
	}
}

// MayHave reports whether a server may be cold, without looking at each.
func (c *Cold) MayHave(now time.Time) bool { return now.Before(c.latest) }

func (s *coldServer) extend(d time.Duration, now time.Time) {
	if until := now.Add(min(d, maxColdTime)); until.After(s.until) {
		s.until = until
	}
}

// Observe records that a response names how much longer a server is cold, and reports whether it was not known to be. That is
// more recent than its registration, and replaces what was assumed of it.
func (c *Cold) Observe(server uint64, left time.Duration, now time.Time) (begun bool) {
	s, known := c.servers[server]
	if !known && len(c.servers) >= maxColdKnown {
		return false
	}
	wasCold := now.Before(s.until)
	s.until = now.Add(min(left, maxColdTime))
	s.seen = now
	c.raise(s.until)
	c.servers[server] = s
	return !wasCold && now.Before(s.until)
}

// IsCold reports whether a server is cold.
func (c *Cold) IsCold(server uint64, now time.Time) bool { return now.Before(c.servers[server].until) }

// Count returns the number of cold servers.
func (c *Cold) Count(now time.Time) (n int) {
	for _, s := range c.servers {
		if now.Before(s.until) {
			n++
		}
	}
	return n
}

// ColdShare returns the rate at which the host self may send jobs to a cold server in a zone, in jobs per second. Each job sends
// cost requests; fleet is the number of hosts if that is more than are known. Each host that uses the server may send one job
// at once, so only as many do as the tolerance allows.
func ColdShare(l ColdLimit, cost int, server uint64, zone string, hosts *HostSet, fleet int) float64 {
	tolerance := max(l.Ratio, 1)*l.PerSecond + l.Slack
	planned := tolerance - unplannedFactor*l.PerSecond - unplannedBurst
	users := min(max(int((planned-l.PerSecond)/float64(cost)), 1), max(fleet, len(hosts.hosts)))
	perSecond := min(l.PerSecond, planned-float64(cost*users))
	if perSecond <= 0 || !hosts.isSelfAmongFirst(users, server, zone) {
		return 0
	}
	return perSecond / float64(cost*users)
}

// HostSet is a set of hosts with this one among them. It hashes their addresses once for any number of servers.
type HostSet struct {
	hosts  []Host
	hashes []uint64
	self   int
}

// NewHostSet returns a set of the hosts that may use servers. self is the address of this one, which must be among them.
func NewHostSet(hosts []Host, self string) *HostSet {
	s := &HostSet{hosts: hosts, hashes: make([]uint64, len(hosts)), self: -1}
	for i, h := range hosts {
		s.hashes[i] = Hash(h.Address)
		if h.Address == self {
			s.self = i
		}
	}
	return s
}

// isSelfAmongFirst reports whether this host is among the first n in the order of firstHosts.
func (s *HostSet) isSelfAmongFirst(n int, server uint64, zone string) bool {
	if s.self < 0 {
		return false
	}
	self, rank := s.hosts[s.self], mix(s.hashes[s.self]^server)
	ahead := 0
	for i, h := range s.hosts {
		if (h.Zone == zone) != (self.Zone == zone) {
			if h.Zone == zone {
				ahead++
			}
		} else if other := mix(s.hashes[i] ^ server); other < rank || other == rank && h.Address < self.Address {
			ahead++
		}
	}
	return ahead < n
}
