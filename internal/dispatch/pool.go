package dispatch

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

// Candidate is a backend server that may get work.
type Candidate struct {
	// Key names one lifetime of the backend server.
	Key   string
	Zone  string
	Slots int
}

// Job is one request that waits for a slot.
type Job struct {
	ID string
	// Value orders waiting jobs: what a caller gains from the answer, for each unit of slot time that it takes.
	Value float64
	// Latest is when the job must have a slot to be of use.
	Latest time.Time
	// Avoid holds backend servers that already failed this job.
	Avoid map[string]bool
	// Take reserves what the job needs beside a slot, and tells whether there was room. Nil means that it needs nothing.
	Take func(key string) bool
}

// Grant is a slot for a job.
type Grant struct {
	Candidate
	// Occupied is the estimate of taken slots at the time of the grant, this one included.
	Occupied int
	// Waited is how long the job was queued.
	Waited time.Duration

	pool *Pool
	once sync.Once
}

// Release gives the slot back. Repeated calls have no effect.
func (g *Grant) Release() {
	g.once.Do(func() { g.pool.release(g.Key) })
}

// Rejected gives back a slot that turned out to be taken: the backend server counts as full for a moment.
func (g *Grant) Rejected() {
	g.once.Do(func() { g.pool.rejected(g.Key) })
}

const (
	// fullPause is how long a backend server that had no room is left alone unless a slot is released before; it is
	// the mean time between two ends of streams at one engine, about 3 s for 12 slots, or less.
	fullPause = 150 * time.Millisecond
	// crossZonePenalty is the occupied share that a backend server of another zone must have less to be preferred.
	crossZonePenalty = 0.12
	// outbidMargin is by how much the jobs of more value must outnumber the recent grants before a job is refused at its
	// arrival: both are counted over a short time.
	outbidMargin = 1.0
	// rateWindow is the time over which the grants per second are averaged.
	rateWindow = 2 * time.Second
)

// Pool hands out slots of a group of backend servers on one host. Jobs that find none wait in order of value; those
// that cannot get one in time are refused at once. It answers the load of two to three times the capacity, where
// serving in order of arrival makes every answer late.
type Pool struct {
	zone string
	now  func() time.Time

	mu sync.Mutex
	// servers holds the candidates and the others at which slots are still in use; order names the candidates.
	servers map[string]*server
	order   []string
	queue   queue
	grants  rate
	// arrivals holds the values of the jobs that came lately.
	arrivals values
	timer    *time.Timer
}

type server struct {
	Candidate
	own, others int
	fullUntil   time.Time
}

// NewPool returns a pool without backend servers. zone is that of this host.
func NewPool(zone string, now func() time.Time) *Pool {
	return &Pool{zone: zone, now: now, servers: map[string]*server{}, grants: rate{window: rateWindow}, arrivals: values{window: rateWindow}}
}

// SetCandidates replaces the group. Slots in use are kept, also those of backend servers that are no candidates now.
func (p *Pool) SetCandidates(candidates []Candidate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.servers
	p.servers = make(map[string]*server, len(candidates))
	p.order = p.order[:0]
	for _, c := range candidates {
		s := old[c.Key]
		if s == nil {
			s = &server{}
		}
		s.Candidate = c
		p.servers[c.Key] = s
		p.order = append(p.order, c.Key)
	}
	for key, s := range old {
		if p.servers[key] == nil && s.own > 0 {
			p.servers[key] = s
		}
	}
	p.dispatch()
}

// SetOthers replaces what the other hosts said of the slots that they use.
func (p *Pool) SetOthers(used map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, s := range p.servers {
		s.others = used[key]
	}
	p.dispatch()
}

// Own returns the slots that this host uses, by backend server.
func (p *Pool) Own() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	own := map[string]int{}
	for key, s := range p.servers {
		if s.own > 0 {
			own[key] = s.own
		}
	}
	return own
}

// Used returns the slots in use of all hosts, by backend server.
func (p *Pool) Used() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	used := map[string]int{}
	for key, s := range p.servers {
		used[key] = s.own + s.others
	}
	return used
}

// Stats describe the pool for logs and refusals.
type Stats struct {
	Servers, Slots, Used, Waiting int
	// GrantsPerSecond is the recent rate of grants on this host.
	GrantsPerSecond float64
}

// Stats returns the present state.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats()
}

func (p *Pool) stats() Stats {
	st := Stats{Servers: len(p.order), Waiting: p.queue.Len(), GrantsPerSecond: p.grants.perSecond(p.now())}
	for _, key := range p.order {
		s := p.servers[key]
		st.Slots += s.Slots
		st.Used += s.own + s.others
	}
	return st
}

// Acquire waits for a slot. Errors are *RefusedError and those of the context.
func (p *Pool) Acquire(ctx context.Context, job Job) (*Grant, error) {
	w := &waiter{job: job, since: p.now(), done: make(chan result, 1)}
	p.mu.Lock()
	p.arrivals.add(w.since, job.Value)
	p.queue.add(w)
	p.dispatch()
	p.refuseOutbid(w)
	p.mu.Unlock()
	select {
	case r := <-w.done:
		return r.grant, r.err
	case <-ctx.Done():
		p.mu.Lock()
		removed := p.queue.remove(w)
		p.mu.Unlock()
		if !removed {
			if r := <-w.done; r.grant != nil {
				r.grant.Release()
			}
		}
		return nil, context.Cause(ctx)
	}
}

func (p *Pool) release(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[key]; s != nil {
		s.own = max(s.own-1, 0)
		s.fullUntil = time.Time{}
	}
	p.dispatch()
}

func (p *Pool) rejected(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[key]; s != nil {
		s.own = max(s.own-1, 0)
		s.fullUntil = p.now().Add(fullPause)
		p.grants.undo()
	}
	p.dispatch()
}

// dispatch grants slots to waiting jobs in order of value, then refuses those that cannot get one in time.
func (p *Pool) dispatch() {
	now := p.now()
	for _, w := range p.queue.ordered() {
		s := p.choose(w.job, now)
		if s == nil {
			continue
		}
		p.queue.remove(w)
		s.own++
		p.grants.add(now)
		w.done <- result{grant: &Grant{
			Candidate: s.Candidate, Occupied: s.own + s.others, Waited: now.Sub(w.since), pool: p,
		}}
	}
	p.refuseHopeless(now)
	p.schedule(now)
}

// choose returns the least occupied backend server with a free slot and room for the job, with a preference for the
// host's own zone.
func (p *Pool) choose(job Job, now time.Time) *server {
	type scored struct {
		server *server
		score  float64
	}
	free := make([]scored, 0, len(p.order))
	for _, key := range p.order {
		s := p.servers[key]
		if s.own+s.others >= s.Slots || now.Before(s.fullUntil) || job.Avoid[key] {
			continue
		}
		score := float64(s.own+s.others) / float64(s.Slots)
		if s.Zone != p.zone {
			score += crossZonePenalty
		}
		free = append(free, scored{s, score})
	}
	slices.SortStableFunc(free, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	for _, c := range free {
		if job.Take == nil || job.Take(c.server.Key) {
			return c.server
		}
	}
	return nil
}

// refuseHopeless refuses the jobs that the recent rate of grants will not reach before their time.
func (p *Pool) refuseHopeless(now time.Time) {
	perSecond := p.grants.perSecond(now)
	for ahead, w := range p.queue.ordered() {
		left := w.job.Latest.Sub(now)
		reach := perSecond*left.Seconds() + 1
		if left > 0 && len(p.order) > 0 && float64(ahead) < reach {
			continue
		}
		p.queue.remove(w)
		w.done <- result{err: &RefusedError{Stats: p.stats(), Waited: now.Sub(w.since), Ahead: ahead}}
	}
}

// refuseOutbid refuses a job at its arrival when jobs of more value come faster than slots become free, so that it
// would wait only to be refused.
func (p *Pool) refuseOutbid(w *waiter) {
	now := p.now()
	ahead := p.arrivals.above(now, w.job.Value)
	granted := p.grants.perSecond(now) * rateWindow.Seconds()
	if float64(ahead) <= granted*outbidMargin+1 || !p.queue.remove(w) {
		return
	}
	w.done <- result{err: &RefusedError{Stats: p.stats(), Ahead: ahead}}
}

// schedule wakes the pool when a full backend server may be tried again or a waiting job's time is over.
func (p *Pool) schedule(now time.Time) {
	if p.timer != nil {
		p.timer.Stop()
		p.timer = nil
	}
	if p.queue.Len() == 0 {
		return
	}
	next := now.Add(fullPause)
	for _, s := range p.servers {
		if s.fullUntil.After(now) && s.fullUntil.Before(next) {
			next = s.fullUntil
		}
	}
	for _, w := range p.queue.waiters {
		if w.job.Latest.Before(next) {
			next = w.job.Latest
		}
	}
	p.timer = time.AfterFunc(max(next.Sub(now), time.Millisecond), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.dispatch()
	})
}
