package front

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/boragecourse/boragecourse/internal/fleet"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/registry"
	"github.com/boragecourse/boragecourse/internal/serverlimit"
	"github.com/boragecourse/boragecourse/internal/wait"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// limitsInterval is the interval at which shares of limits follow the hosts that come and go, and limits expire.
const limitsInterval = 500 * time.Millisecond

// memberMemory is how long a host counts among those that share the limit of a cold server after it was last known. Hosts on
// both sides of a partition forget each other after 15 s, and would all together send twice the limit then.
const memberMemory = 2 * time.Minute

// serverLimits makes a serverlimit.Table and a serverlimit.Cold safe for concurrent use.
type serverLimits struct {
	mu    sync.Mutex
	table *serverlimit.Table
	cold  *serverlimit.Cold
	// members holds the hosts that share the limits of cold servers, with the time at which they were last known.
	members map[serverlimit.Host]time.Time
}

func newServerLimits() *serverLimits {
	return &serverLimits{table: serverlimit.New(), cold: serverlimit.NewCold(), members: map[serverlimit.Host]time.Time{}}
}

// remember returns the hosts that are known now or were lately. l.mu must be held.
func (l *serverLimits) remember(known []serverlimit.Host, now time.Time) []serverlimit.Host {
	for _, h := range known {
		l.members[h] = now
	}
	maps.DeleteFunc(l.members, func(_ serverlimit.Host, at time.Time) bool { return now.Sub(at) >= memberMemory })
	return slices.Collect(maps.Keys(l.members))
}

// fill sets the limits in a report to other hosts.
func (l *serverLimits) fill(r *peerv1.FrontReport, started, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.UptimeMillis = now.Sub(started).Milliseconds()
	r.Limits = &peerv1.ServerLimits{}
	for _, o := range l.table.Report(now) {
		r.Limits.Limits = append(r.Limits.Limits, &peerv1.ServerLimit{
			Server: o.Server, PerSecond: float32(o.PerSecond), AtMillis: o.At.Sub(started).Milliseconds(),
		})
	}
}

// receive records the limits that servers named to another host, and reports whether one has changed.
func (l *serverLimits) receive(r *peerv1.FrontReport, now time.Time) bool {
	observations := make([]serverlimit.Observation, len(r.Limits.Limits))
	for i, o := range r.Limits.Limits {
		age := time.Duration(max(r.UptimeMillis-o.AtMillis, 0)) * time.Millisecond
		observations[i] = serverlimit.Observation{Server: o.Server, PerSecond: float64(o.PerSecond), At: now.Add(-age)}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Receive(observations)
}

// observeLimit is called with the limit that a response names, 0 for none.
func (f *Front) observeLimit(server fleet.Server, perSecond float64) {
	key := serverKey(server)
	f.limits.mu.Lock()
	changed := f.limits.table.Observe(serverlimit.Hash(key), perSecond, f.now())
	f.limits.mu.Unlock()
	if perSecond > 0 {
		f.metrics.Inc("sends_to_limited_servers", metrics.L("service", server.Service))
	}
	if changed {
		f.log.Info("backend server names rate limit", "server", key, "service", server.Service, "perSecond", perSecond)
		f.applyLimits()
		f.exchange.Notify()
	}
}

// observeCold is called with the time for which a response says that its backend server stays cold.
func (f *Front) observeCold(server fleet.Server, left time.Duration) {
	config := f.state.Configuration()
	if config == nil || config.Services[server.Service] == nil || config.Services[server.Service].ColdRate <= 0 {
		return
	}
	key := serverKey(server)
	f.limits.mu.Lock()
	begun := f.limits.cold.Observe(serverlimit.Hash(key), left, f.now())
	f.limits.mu.Unlock()
	if begun {
		f.log.Info("backend server is cold", "server", key, "service", server.Service, "left", ms(left))
		f.metrics.Inc("servers_became_cold", metrics.L("source", "response"))
		f.applyLimits()
	}
}

// registerCold passes what the registrations state to the record of cold servers.
func (f *Front) registerCold(usable, evacuated []registry.State) {
	config := f.state.Configuration()
	if config == nil {
		return
	}
	var listed []serverlimit.Registered
	add := func(servers []registry.State, evacuated bool) {
		for _, s := range servers {
			if service := config.Services[s.Service]; service != nil && service.ColdRate > 0 {
				listed = append(listed, serverlimit.Registered{
					Server: serverlimit.Hash(serverKey(s.Server)), Left: s.WarmupLeft, ColdStart: service.ColdStart, Evacuated: evacuated,
				})
			}
		}
	}
	add(usable, false)
	add(evacuated, true)
	f.limits.mu.Lock()
	begun := f.limits.cold.Register(listed, f.now())
	f.limits.mu.Unlock()
	if begun > 0 {
		f.log.Info("backend servers are cold", "servers", begun)
		f.metrics.Add("servers_became_cold", int64(begun), metrics.L("source", "registration"))
	}
}

// applyLimits passes this host's shares of the limits that servers have named, or that hold while they are cold, to the pools.
func (f *Front) applyLimits() {
	apply := f.currentLimits()
	for _, g := range f.allGroups() {
		apply(g)
	}
}

// currentLimits returns a function that passes the limits, as they are now, to the pools of a group.
func (f *Front) currentLimits() func(g *group) {
	now := f.now()
	var hosts []serverlimit.Host
	for _, m := range f.exchange.Members() {
		hosts = append(hosts, serverlimit.Host(m))
	}
	config := f.state.Configuration()
	f.limits.mu.Lock()
	defer f.limits.mu.Unlock()
	all := serverlimit.NewHostSet(f.limits.remember(hosts, now), f.settings.Peers)
	f.metrics.Set("cold_servers", int64(f.limits.cold.Count(now)))
	return func(g *group) {
		f.limits.mu.Lock()
		defer f.limits.mu.Unlock()
		if f.limits.table.Empty() && !f.limits.cold.MayHave(now) {
			g.clearRateLimits()
			return
		}
		var service *fleet.Service
		if config != nil {
			service = config.Services[g.service]
		}
		g.setRateLimits(func(key string, s fleet.Server) (float64, bool) {
			hash := serverlimit.Hash(key)
			perSecond, limited := f.limits.table.Share(hash, s.Zone, hosts, f.settings.Peers, now)
			if service == nil || service.ColdRate <= 0 || !f.limits.cold.IsCold(hash, now) {
				return perSecond, limited
			}
			cold := f.coldShare(service, hash, s, all)
			if !limited {
				return cold, true
			}
			return min(perSecond, cold), true
		})
	}
}

// coldShare returns this host's share of the limit of a cold server, in jobs per second. A generation is two requests at its
// decode engine: the reservation and the run.
func (f *Front) coldShare(service *fleet.Service, hash uint64, s fleet.Server, hosts *serverlimit.HostSet) float64 {
	cost := 1
	if stage, _ := candidate("", s); stage == decodeIndex {
		cost = 2
	}
	tolerance := f.settings.Limits.Cold
	limit := serverlimit.ColdLimit{PerSecond: service.ColdRate, Ratio: tolerance.Ratio, Slack: tolerance.Slack}
	// The seeds are hosts that a host which has just started has not heard of yet.
	return serverlimit.ColdShare(limit, cost, hash, s.Zone, hosts, len(f.settings.Seeds)+1)
}

// refreshLimits applies the limits again until none is known, also when no new response arrives.
func (f *Front) refreshLimits(ctx context.Context) error {
	applied := false
	for wait.For(ctx, limitsInterval) == nil {
		f.limits.mu.Lock()
		empty := f.limits.table.Empty() && !f.limits.cold.MayHave(f.now())
		f.limits.mu.Unlock()
		if !empty || applied {
			f.applyLimits()
		}
		applied = !empty
	}
	return ctx.Err()
}
