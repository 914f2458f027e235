package dispatch

import (
	"slices"
	"time"
)

const (
	// statedTTL is how long the load that a server has stated replaces what other hosts have reported. A host of a fleet of
	// 60 sees 5 responses a second of each server.
	statedTTL = time.Second
	// statedRecheck is how often waiting jobs are matched with the estimated use of servers that state their load.
	statedRecheck = 10 * time.Millisecond
	// drainShare is the share of a server's completions by which its estimated use falls after its report. The other hosts
	// replace the rest.
	drainShare = 0.5
)

// statedLoad is what a backend server has stated about its use by all hosts.
type statedLoad struct {
	at time.Time
	// others is the number of requests of other hosts at that time, perSecond the rate of completions.
	others    int
	perSecond float64
	limit     int
}

// SetStatedLoad records the number of requests from all hosts that a backend server has at the time of a response, the
// rate at which it completes them, and the number up to which it gets more. They replace the reports of other hosts and
// the candidate's slots for statedTTL. The response that states the load must still hold its slot.
func (p *Pool) SetStatedLoad(key string, requests int, perSecond float64, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[key]
	if s == nil {
		return
	}
	// The slot of the response itself is still counted as local but no longer at the server.
	s.stated = &statedLoad{at: p.now(), others: max(requests-max(s.localSlots-1, 0), 0), perSecond: perSecond, limit: limit}
	p.dispatch()
}

// applyStatedLoads updates the estimated use of the servers to the present. p.mu must be held.
func (p *Pool) applyStatedLoads(now time.Time) {
	for _, s := range p.servers {
		if s.stated != nil && now.Sub(s.stated.at) > statedTTL {
			s.stated = nil
		}
		if s.stated == nil {
			s.Slots, s.remoteSlots = s.configured, s.reportedSlots
			continue
		}
		drained := int(drainShare * s.stated.perSecond * max(now.Sub(s.stated.at), 0).Seconds())
		s.remoteSlots = max(s.stated.others-drained, 0)
		s.Slots = max(s.stated.limit, 1)
	}
}

// refuseHopeless refuses a job on arrival that has to wait and whose response cannot be in time, if others are waiting
// whose responses can. It would be served after all of them.
func (p *Pool) refuseHopeless(w *waiter) {
	if p.hopeless(&w.job, p.now()) && p.queue.remove(w) {
		w.done <- result{err: &RefusedError{Stats: p.stats(), Ahead: 1, TooLate: true}}
	}
}

// hopeless reports whether the response to a job cannot be in time while those to waiting jobs that are as urgent can.
func (p *Pool) hopeless(job *Job, now time.Time) bool {
	return !job.inTime(now) && slices.ContainsFunc(p.queue.waiters, func(o *waiter) bool {
		return o.job.inTime(now) && !o.job.DueBy.IsZero() && o.job.Rank <= job.Rank
	})
}

// HasIdle reports whether a backend server is believed to have a slot that runs a request at once. queueFactor is the
// number of requests for each slot that candidates' slots stand for. A server that has stated its load counts with what it
// has stated, since the estimate between reports is too low while other hosts go on sending.
func (p *Pool) HasIdle(queueFactor int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.applyStatedLoads(now)
	for _, key := range p.order {
		s := p.servers[key]
		others := s.reportedSlots
		if s.stated != nil {
			others = s.stated.others
		}
		if (s.localSlots+others)*queueFactor < s.configured && !now.Before(s.fullUntil) && p.limits[key].allows(now) {
			return true
		}
	}
	return false
}
