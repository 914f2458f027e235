package front

import (
	"sync"
	"time"

	"github.com/boragecourse/boragecourse/internal/serverlimit"
)

const (
	// contendedOccupancy is the share of an engine's memory from which only a few hosts place generations there. Up to it, what the
	// others have placed since their last reports (one or two generations of an eighth of the memory each) still finds room.
	contendedOccupancy = 0.6
	// enginesPerHost is the number of such engines that are left to each host, in the mean. With fewer, hosts would have none while
	// others have memory left.
	enginesPerHost = 3
	// directHosts is the number of hosts up to which all report to each other directly, so that their knowledge is recent.
	directHosts = 8
	// hostSetInterval is the least time between two updates of the set of hosts.
	hostSetInterval = 250 * time.Millisecond
)

// hostSetCache keeps the set of hosts, since it is needed for each generation and rarely changes.
type hostSetCache struct {
	mu  sync.Mutex
	at  time.Time
	set *serverlimit.HostSet
}

func (c *hostSetCache) get(now time.Time, load func() *serverlimit.HostSet) *serverlimit.HostSet {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.set == nil || now.Sub(c.at) >= hostSetInterval {
		c.at, c.set = now, load()
	}
	return c.set
}

// sharedEngines decides which engines a host may use while their memory fills up. Load: bursts that fill the memory of all engines
// in a fleet whose hosts know the generations of others only from reports. As soon as memory is free somewhere, all hosts would
// place their waiting generations there, and the engine would preempt some of them. Each engine is therefore left to the first
// hosts in an order that all hosts compute alike, without messages.
type sharedEngines struct {
	hosts *serverlimit.HostSet
	// users is the number of hosts that an engine is left to.
	users int
}

func newSharedEngines(hosts *serverlimit.HostSet, engines int) sharedEngines {
	if engines == 0 || hosts.Size() <= directHosts {
		return sharedEngines{}
	}
	return sharedEngines{hosts: hosts, users: (enginesPerHost*hosts.Size() + engines - 1) / engines}
}

// mayUse reports whether this host may place a generation at an engine of whose memory a share is in use.
func (s sharedEngines) mayUse(key string, occupancy float64) bool {
	return s.hosts == nil || occupancy < contendedOccupancy || s.hosts.IsSelfAmongFirst(s.users, serverlimit.Hash(key))
}

func (f *Front) sharedEngines(g *group) sharedEngines {
	hosts := f.hostSet.get(f.now(), func() *serverlimit.HostSet {
		var members []serverlimit.Host
		for _, m := range f.exchange.Members() {
			members = append(members, serverlimit.Host(m))
		}
		return serverlimit.NewHostSet(members, f.settings.Peers)
	})
	return newSharedEngines(hosts, g.decode.Stats().Servers)
}
