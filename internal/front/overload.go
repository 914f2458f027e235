package front

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/boragecourse/boragecourse/internal/dispatch"
	"github.com/boragecourse/boragecourse/internal/fleet"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/overload"
	"github.com/boragecourse/boragecourse/platform"
)

const (
	// overloadLogStart is the refused share from which a service is logged as overloaded. overloadLogEnd is how long
	// nothing must have been refused until it is logged as not overloaded any more, so that short swings make no lines.
	overloadLogStart = 0.05
	overloadLogEnd   = time.Second
)

// groupOverload protects the plain servers of one service from more requests than they serve in time.
type groupOverload struct {
	mu         sync.Mutex
	controller *overload.Controller
	// refusing is set between the log lines of the start and the end of an overload; lastRefusing is when the controller
	// last refused a share of the requests.
	refusing     bool
	lastRefusing time.Time
	refused      int
}

// recordStatedLoad records what a plain server states about its load in a response, and returns the queueing delay that
// follows from it.
func (g *group) recordStatedLoad(key string, l overload.Load) (delay time.Duration, known bool) {
	o := &g.overload
	o.mu.Lock()
	now := g.now()
	o.controller.Report(key, l, now)
	use, stated := o.controller.Outstanding(key, now)
	o.mu.Unlock()
	if !stated {
		return 0, false
	}
	g.plain.SetStatedLoad(key, use.Requests, use.PerSecond, use.Limit)
	return use.Delay, true
}

// completed records the time that a plain server took for a response.
func (g *group) completed(grant *dispatch.Grant, slots int, took time.Duration) {
	g.overload.mu.Lock()
	defer g.overload.mu.Unlock()
	g.overload.controller.Completed(grant.Key, took, grant.Occupied, max(slots, 1), g.now())
}

// refusedAsFull records that a plain server refused a request, and reports whether it did so because of its load.
func (g *group) refusedAsFull(key string) bool {
	o := &g.overload
	o.mu.Lock()
	now := g.now()
	full := o.controller.Full(key, now)
	use, stated := o.controller.Outstanding(key, now)
	o.mu.Unlock()
	if full && stated {
		g.plain.SetStatedLoad(key, use.Requests, use.PerSecond, use.Limit)
	}
	return full
}

// admitPlain decides whether a plain request is sent to a server or refused because of the queues there.
func (g *group) admitPlain(a overload.Arrival, objective time.Duration) *overload.Refusal {
	a.FreeSlot = g.plain.HasIdle(plainQueueFactor)
	o := &g.overload
	o.mu.Lock()
	defer o.mu.Unlock()
	o.controller.SetObjective(objective)
	return o.controller.Admit(a, g.now())
}

// previewPlain returns the probability with which admitPlain would refuse a request now, and the refusal.
func (g *group) previewPlain(a overload.Arrival, objective time.Duration) (float64, *overload.Refusal) {
	a.FreeSlot = g.plain.HasIdle(plainQueueFactor)
	g.overload.mu.Lock()
	defer g.overload.mu.Unlock()
	return g.overload.controller.Preview(a, objective, g.now())
}

// workTime returns the time that a plain request takes at a server without waiting, 0 if it is not known.
func (g *group) workTime() time.Duration {
	g.overload.mu.Lock()
	defer g.overload.mu.Unlock()
	_, work, _ := g.overload.controller.Delay(g.now())
	return work
}

// overloadChange reports the refused share, and whether the service has just become or ceased to be overloaded.
func (g *group) overloadChange(refused bool) (share float64, began, ended bool, count int) {
	o := &g.overload
	o.mu.Lock()
	defer o.mu.Unlock()
	now := g.now()
	share = o.controller.Probability(now)
	if refused {
		o.refused++
	}
	if share > 0 {
		o.lastRefusing = now
	}
	switch {
	case !o.refusing && share >= overloadLogStart:
		o.refusing = true
		return share, true, false, 0
	case o.refusing && now.Sub(o.lastRefusing) >= overloadLogEnd:
		count, o.refused, o.refusing = o.refused, 0, false
		return share, false, true, count
	}
	return share, false, false, 0
}

// observeQueue records the queue at a plain server that states its load in a response.
func (f *Front) observeQueue(server fleet.Server, l platform.LoadReport) {
	if server.Stage != fleet.NoStage {
		return
	}
	load := overload.Load{Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, TimePercent: l.TimePercent}
	if delay, known := f.group(server.Service).recordStatedLoad(serverKey(server), load); known {
		f.metrics.Observe("queue_delay", delay, metrics.L("service", server.Service))
	}
}

// refuseOverloaded refuses a plain request on arrival if the service is overloaded. Nothing has been sent yet.
func (f *Front) refuseOverloaded(x *call) error {
	arrival := f.arrival(x)
	arrival.Random = rand.Float64()
	refusal := x.group.admitPlain(arrival, x.config.Objective(x.group.service))
	share, began, ended, count := x.group.overloadChange(refusal != nil)
	service := x.group.service
	f.metrics.Set("overload_probability_percent", int64(100*share+0.5), metrics.L("service", service))
	if began {
		f.log.Info("overload began", "service", service, "share", share)
	}
	if ended {
		f.log.Info("overload ended", "service", service, "refused", count)
	}
	if refusal == nil {
		return nil
	}
	f.metrics.Inc("overload_refusals", metrics.L("service", service), metrics.L("reason", "queue_delay"))
	return &OverloadedError{Refusal: *refusal}
}

// arrival describes a plain request to the overload controller.
func (f *Front) arrival(x *call) overload.Arrival {
	rank, _ := f.rank(x)
	return overload.Arrival{Rank: rank, Returned: f.isLate(x), TimeLeft: x.deadline.Sub(f.now())}
}

// spread adds a random part as long again to a Retry-After, so that refused callers do not return at the same time.
func spread(after time.Duration) time.Duration {
	return after + time.Duration(rand.Int64N(int64(max(after, 1))))
}

// rank returns the rank of a request among those of its service and whether the service has more than one.
func (f *Front) rank(x *call) (rank int, several bool) {
	index, ranks := x.config.RankIndex(x.group.service, fleet.RankOf(x.route, x.workspace))
	return index, ranks > 1
}

// urgency returns the urgency that backend servers are told, or nil if all requests of the service have the same rank.
func (f *Front) urgency(x *call) *int {
	if _, several := f.rank(x); !several {
		return nil
	}
	u := fleet.RankOf(x.route, x.workspace).Urgency()
	return &u
}
