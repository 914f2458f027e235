// Package overload decides which requests of a plain service are refused on arrival while its backend servers queue more
// than callers can wait for. The load is arrivals above the capacity of the service: without refusals the queues of the
// servers grow until every response is late. Each host decides alone, from what the servers state in their responses. All
// hosts see about the same queueing delay and so refuse about the same share. The package does no I/O and reads no clock.
package overload

import (
	"math"
	"time"
)

const (
	// freshness is how long a report or a response describes its server. A host of a large fleet sees 5 to 20 responses a
	// second of each server, and the queue of a server is served within 100 to 200 ms.
	freshness = 300 * time.Millisecond
	// tick is the least time between two steps of the controller. It is shorter than the time between two responses.
	tick = 20 * time.Millisecond
	// maxStep bounds the time that one step integrates over, since the delay is not known between sparse reports.
	maxStep = 100 * time.Millisecond
	// targetShare is the queueing delay that the controller aims for, as a share of the time that the objective leaves
	// beside the work. The delay of single requests reaches several times the target, because hosts act on reports that are
	// as old as the responses take and the work varies. With 0.4, a tenth of the responses were late in the simulation.
	targetShare = 0.2
	// idleShare is the share of the target up to which a delay counts as none. Random arrivals below the capacity cause
	// short queues.
	idleShare = 0.9
	// deadBand is the probability below which nothing is refused. A single report of a short queue raises it by less.
	deadBand = 0.1
	// minObserved is the number of reports that must agree on a queue before a request is refused. A host that sees few
	// responses would refuse because of a moment at one server otherwise.
	minObserved = 8
	// confirmedFor is how long after that fewer reports suffice, so that a host that sees few responses reacts in time
	// while the load goes up and down.
	confirmedFor = 2 * time.Second
	// limitShare is the queueing delay up to which requests are sent to a server, as a share of the same time.
	limitShare = 0.75
	// proportional is the product of gain, dead time and load under twice the capacity. An integrator with dead time, as the
	// queue is one, oscillates if it reaches pi/2.
	proportional = 1.2
	// integralTime is the time constant of the integral part, in dead times.
	integralTime = 4
	// release is the time constant with which the probability falls when nothing queues or nothing is known.
	release = 100 * time.Millisecond
	// maxProbability keeps a few requests in flight, whose responses carry the next reports.
	maxProbability = 0.97
	// learnRate is the weight of the newest sample in the moving averages.
	learnRate = 0.1
	// maxDelay bounds the delay that one server contributes, so that one server does not decide for all.
	maxDelay = 2 * time.Second
	// limitCut is the factor applied to the occupancy at which a server refused a request as full; limitGrowth is how many
	// requests a second the limit grows back by, as a share of the server's slots.
	limitCut    = 0.8
	limitGrowth = 1.0
)

// Load is what a server states about itself in a response: the requests from all hosts that it runs and queues.
type Load struct {
	Running, Waiting, Slots int
	// TimePercent is the time that work takes now in percent of the usual time; 0 if the server does not state it.
	TimePercent float64
}

// pace returns the time that work takes relative to the usual time.
func (l Load) pace() float64 {
	if l.TimePercent <= 0 {
		return 1
	}
	return min(max(l.TimePercent/100, 0.1), 10)
}

// plausible reports whether a server can be in the stated situation.
func (l Load) plausible() bool {
	return l.Slots > 0 && l.Running >= 0 && l.Waiting >= 0 && l.Running <= 2*l.Slots && (l.Waiting == 0 || l.Running > 0)
}

// server is what is known of one server.
type server struct {
	load     Load
	loadAt   time.Time
	work     time.Duration
	excess   time.Duration
	excessAt time.Time
	// fullLimit is the number of outstanding requests learned from refusals, as of fullAt; 0 means none.
	fullLimit float64
	fullAt    time.Time
}

// delay returns the queueing delay at the server, and false if it is not known.
func (s *server) delay(now time.Time) (time.Duration, bool) {
	switch {
	case now.Sub(s.loadAt) <= freshness && s.work > 0:
		queued := float64(s.load.Waiting) / float64(s.load.Slots) * s.load.pace() * float64(s.work)
		return min(time.Duration(queued), maxDelay), true
	case now.Sub(s.excessAt) <= freshness:
		return min(s.excess, maxDelay), true
	}
	return 0, false
}

// Controller holds the state of one service on one host. It is not safe for concurrent use.
type Controller struct {
	objective time.Duration
	servers   map[string]*server
	updated   time.Time
	lastDelay time.Duration
	p         float64
	// observed counts the reports since the last step without a queue. confirmed is when it last reached minObserved.
	observed  int
	confirmed time.Time
	arrivals  shares
}

// New returns a controller that refuses nothing until servers queue.
func New() *Controller { return &Controller{servers: map[string]*server{}} }

// SetObjective sets the latency objective of the service. Without one the controller refuses nothing.
func (c *Controller) SetObjective(d time.Duration) { c.objective = d }

// Retain forgets the servers for which keep returns false.
func (c *Controller) Retain(keep func(key string) bool) {
	for key := range c.servers {
		if !keep(key) {
			delete(c.servers, key)
		}
	}
}

func (c *Controller) server(key string) *server {
	s := c.servers[key]
	if s == nil {
		s = &server{}
		c.servers[key] = s
	}
	return s
}

// Report records what a server states about itself. Implausible reports are ignored, as if there were none.
func (c *Controller) Report(key string, l Load, now time.Time) {
	if !l.plausible() {
		return
	}
	s := c.server(key)
	s.load, s.loadAt = l, now
	c.observed++
	c.step(now)
}

// Completed records the time that a response took from the send. occupied is the number of requests that the server was
// assumed to have at the send, this one included, and slots the number that it runs at a time.
//
// With reports, the time of the work alone follows from the queue that the response states, since a queue of the length of
// the slots takes as long as one request. A server that states queues that do not exist therefore counts as a fast one and
// its delay never exceeds what responses take. Without reports, responses of a server that is not full show the usual
// time, and those of a full one how much longer it takes.
func (c *Controller) Completed(key string, took time.Duration, occupied, slots int, now time.Time) {
	s := c.server(key)
	if now.Sub(s.loadAt) <= freshness {
		s.learnWork(time.Duration(float64(took) / (1 + float64(s.load.Waiting)/float64(s.load.Slots)) / s.load.pace()))
		return
	}
	excess := time.Duration(0)
	if occupied <= slots || s.work == 0 {
		s.learnWork(took)
	} else {
		excess = max(took-s.work, 0)
	}
	if now.Sub(s.excessAt) > freshness {
		s.excess = 0
	}
	s.excess += time.Duration(2 * learnRate * float64(excess-s.excess))
	s.excessAt = now
	c.observed++
	c.step(now)
}

func (s *server) learnWork(sample time.Duration) {
	if s.work == 0 {
		s.work = sample
		return
	}
	s.work += time.Duration(learnRate * float64(sample-s.work))
}

// Full records that a server refused a request because it had no room for it, and reports whether that agrees with what
// it stated. Only then is the refusal an effect of the load and not a fault of the server.
func (c *Controller) Full(key string, now time.Time) bool {
	s := c.servers[key]
	if s == nil || now.Sub(s.loadAt) > freshness || s.load.Running < s.load.Slots || s.load.Waiting == 0 {
		return false
	}
	s.fullLimit = max(limitCut*float64(s.load.Running+s.load.Waiting), float64(s.load.Slots))
	s.fullAt = now
	return true
}

// Outstanding describes the use of a server that a host may count on until the next report.
type Outstanding struct {
	// Requests is the number of requests at the server as of its report, from all hosts, and PerSecond the rate at
	// which it completes them.
	Requests  int
	PerSecond float64
	// Limit is the number up to which more are sent.
	Limit int
	// Delay is the time that one more request waits.
	Delay time.Duration
}

// Outstanding returns the use of a server, and false if it has made no recent report or its work time is not known.
func (c *Controller) Outstanding(key string, now time.Time) (Outstanding, bool) {
	s := c.servers[key]
	if s == nil || now.Sub(s.loadAt) > freshness || s.work <= 0 {
		return Outstanding{}, false
	}
	slots := float64(s.load.Slots)
	perSecond := slots / (s.load.pace() * s.work.Seconds())
	limit := 2 * slots
	if c.objective > 0 {
		limit = max(limit, slots+limitShare*(c.objective-s.work).Seconds()*perSecond)
	}
	if s.fullLimit > 0 {
		limit = min(limit, s.fullLimit+limitGrowth*slots*now.Sub(s.fullAt).Seconds())
	}
	delay, _ := s.delay(now)
	return Outstanding{Delay: delay, Requests: s.load.Running + s.load.Waiting, PerSecond: perSecond, Limit: int(math.Min(limit, 1<<20))}, true
}

// Delay returns the mean queueing delay over the servers of which it is known, weighted by their slots, and the mean time
// of the work alone. known is false if no server has made a recent report.
func (c *Controller) Delay(now time.Time) (delay, work time.Duration, known bool) {
	var sum, workSum, weight float64
	count := 0
	for _, s := range c.servers {
		d, ok := s.delay(now)
		if !ok {
			continue
		}
		count++
		w := float64(max(s.load.Slots, 1))
		sum, workSum, weight = sum+w*float64(d), workSum+w*float64(s.work), weight+w
	}
	if count == 0 {
		return 0, 0, false
	}
	return time.Duration(sum / weight), time.Duration(workSum / weight), true
}

// target returns the queueing delay that the controller aims for.
func (c *Controller) target(work time.Duration) time.Duration {
	return time.Duration(targetShare * float64(max(c.objective-work, c.objective/4)))
}

// step moves the probability by the delay since the last step: by its change (proportional part) and by its distance from
// the target (integral part). The gains follow from the dead time of the loop, which is the work, the delay itself and the
// age of the reports.
func (c *Controller) step(now time.Time) {
	elapsed := now.Sub(c.updated)
	if elapsed < tick {
		return
	}
	c.updated = now
	delay, work, known := c.Delay(now)
	target := c.target(work)
	floor := time.Duration(idleShare * float64(target))
	if !known || c.objective <= 0 || delay <= floor {
		c.p *= math.Exp(-elapsed.Seconds() / release.Seconds())
		if c.p < 0.01 {
			c.p = 0
		}
		c.lastDelay = floor
		c.observed = 0
		return
	}
	deadTime := (target + work + c.age(now)).Seconds()
	gain := proportional / (2 * deadTime)
	c.p += gain * (delay - c.lastDelay).Seconds()
	c.p += gain / (integralTime * deadTime) * (delay - target).Seconds() * min(elapsed, maxStep).Seconds()
	c.p = min(max(c.p, 0), maxProbability)
	c.lastDelay = delay
}

// age returns the mean age of the reports and responses that are still used.
func (c *Controller) age(now time.Time) time.Duration {
	sum, n := time.Duration(0), 0
	for _, s := range c.servers {
		if age := min(now.Sub(s.loadAt), now.Sub(s.excessAt)); age <= freshness {
			sum, n = sum+age, n+1
		}
	}
	return sum / time.Duration(max(n, 1))
}

// Probability returns the share of all arrivals that is refused now.
func (c *Controller) Probability(now time.Time) float64 {
	c.step(now)
	if c.observed >= minObserved {
		c.confirmed = now
	}
	if now.Sub(c.confirmed) > confirmedFor {
		return 0
	}
	return max(c.p-deadBand, 0) / (1 - deadBand)
}
