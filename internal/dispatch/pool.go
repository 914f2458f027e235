package dispatch

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/boragecourse/boragecourse/internal/serverlimit"
)

// Candidate is a backend server that is eligible for new jobs.
type Candidate struct {
	// Key identifies one incarnation of the backend server.
	Key   string
	Zone  string
	Slots int
	// Software is the version of the backend server's software.
	Software string
	// LastResort is set if the backend server gets only jobs that need its software version.
	LastResort bool
}

// Job is one request that needs a slot.
type Job struct {
	ID string
	// Begun is set when the caller has got part of the response. Such jobs go before all others.
	Begun bool
	// Rank orders waiting jobs before Value does: 0 is the most urgent. Less urgent ranks keep a bounded share.
	Rank int
	// Value orders waiting jobs of one rank, highest first: the utility of the response to the caller per unit of slot time.
	Value float64
	// DueBy is the latest start with which the response is in time; zero if that is not known. Among jobs of the same rank
	// and value, those that can be in time go before those that cannot, the earliest first.
	DueBy time.Time
	// StartBy is the deadline for getting a slot; a response started later is of no use to the caller.
	StartBy time.Time
	// Exclude holds the keys of backend servers that already failed this job.
	Exclude map[string]bool
	// Affinity, if not 0, is a hash of what backend servers may keep of the job's earlier runs. Jobs with the same hash prefer
	// the same backend servers. Repeated is set if an earlier run may have left something, so that the preference is worth a
	// wait.
	Affinity uint64
	Repeated bool
	// Zone is the availability zone whose backend servers are preferred; empty for this host's zone.
	Zone string
	// Software is the software version that the backend server must have; empty if any will do.
	Software string
	// Reserve reserves the other resources that the job needs at a backend server, such as KV memory, and reports whether
	// they were available. Nil means that the job needs only a slot.
	Reserve func(key string) bool
	// Occupancy returns the share of those resources that is in use. A backend server counts as occupied by the larger of this
	// and the share of its slots in use. Nil if the job needs only a slot.
	Occupancy func(key string) float64
	// Unreserve, if it is not nil, takes back a reservation when the slot is freed.
	Unreserve func(key string)
}

// Grant is a slot allocated to a job. The caller ends it with either Release or ReleaseRejected.
type Grant struct {
	Candidate
	// Occupied is the estimated number of slots in use at the backend server when the slot was granted, including
	// this one. It is an estimate because the use of other hosts is known only from their reports.
	Occupied int
	// Waited is the time that the job spent in the queue.
	Waited time.Duration

	pool      *Pool
	rank      int
	unreserve func(key string)
	once      sync.Once
}

// Release frees the slot. Repeated calls have no effect.
func (g *Grant) Release() {
	g.once.Do(func() {
		g.freeReserved()
		g.pool.release(g.Key)
	})
}

// ReleaseRejected frees a slot that the backend server refused because it had none free. The backend server gets no new
// jobs for fullBackoff, or until one of its other slots is released.
func (g *Grant) ReleaseRejected() {
	g.once.Do(func() {
		g.freeReserved()
		g.pool.rejected(g.Key, g.rank)
	})
}

// freeReserved takes back the reservation of the job before the slot is given to another one.
func (g *Grant) freeReserved() {
	if g.unreserve != nil {
		g.unreserve(g.Key)
	}
}

const (
	// fullBackoff is how long a backend server that refused a job as full is skipped, unless one of its slots is
	// released earlier. It is shorter than the mean time between two stream ends at one engine, which is 250 ms for
	// streams of about 3 s on 12 slots.
	fullBackoff = 150 * time.Millisecond
	// outrankedMargin is the ratio of higher-valued arrivals to grants above which a job is refused on arrival. Both
	// are counted over rateWindow, which is short.
	outrankedMargin = 1.0
	// rateWindow is the period over which grants and arrivals are counted.
	rateWindow = 2 * time.Second
)

// Pool allocates the slots of a group of backend servers to the requests of one host. Jobs that find no free slot are
// queued in order of value, and those that cannot get one before their deadline are refused immediately. At two to
// three times the capacity, serving in order of arrival would make every response late.
type Pool struct {
	zone string
	now  func() time.Time
	// hosts is the number of hosts that choose among the same backend servers.
	hosts atomic.Int64

	mu sync.Mutex
	// servers holds the candidates, and former candidates whose slots are still in use. order lists the keys of the
	// candidates.
	servers map[string]*server
	order   []string
	// remote holds the slots that other hosts use, by key, also of servers that are no candidates at the moment.
	remote map[string]int
	queue  queue
	grants rate
	// arrivals holds the ranks and values of the jobs that arrived within rateWindow.
	arrivals valueWindow
	ranks    rankShares
	// limits holds this host's share of the rate limits of backend servers, by key. Other servers have no limit.
	limits map[string]*rateLimit
	// model is what is known of the backend servers, nil if nothing is.
	model Model
	// random is the source of the random parts of choose.
	random *rand.Rand
	timer  *time.Timer
}

type server struct {
	Candidate
	// localSlots are in use by this host, remoteSlots by the other hosts according to their last reports, or according to
	// the server itself.
	localSlots, remoteSlots int
	// hash is a hash of the key.
	hash uint64
	// configured is the number of slots of the candidate, and reportedSlots the use that the other hosts reported. Slots
	// and remoteSlots differ from them while stated is set.
	configured, reportedSlots int
	stated                    *statedLoad
	// fullUntil is when a backend server that refused a job as full becomes eligible again.
	fullUntil time.Time
}

// NewPool returns a pool without backend servers. zone is the availability zone of this host.
func NewPool(zone string, now func() time.Time) *Pool {
	return &Pool{
		zone: zone, now: now, servers: map[string]*server{}, grants: rate{window: rateWindow}, arrivals: valueWindow{window: rateWindow},
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// SetRandom replaces the source of random numbers, which has a random seed, so that simulations can be repeated.
func (p *Pool) SetRandom(source rand.Source) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.random = rand.New(source)
}

// SetCandidates replaces the group of backend servers. Slots that this host uses stay counted, including those of
// backend servers that are no longer candidates.
func (p *Pool) SetCandidates(candidates []Candidate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.servers
	p.servers = make(map[string]*server, len(candidates))
	p.order = p.order[:0]
	for _, c := range candidates {
		s := old[c.Key]
		if s == nil {
			s = &server{hash: serverlimit.Hash(c.Key), reportedSlots: p.remote[c.Key], remoteSlots: p.remote[c.Key]}
		}
		s.Candidate, s.configured = c, c.Slots
		p.servers[c.Key] = s
		p.order = append(p.order, c.Key)
	}
	for key, s := range old {
		if p.servers[key] == nil && s.localSlots > 0 {
			p.servers[key] = s
		}
	}
	p.dispatch()
}

// SetRemoteUse replaces the number of slots that other hosts reported as in use, by key of the backend server.
func (p *Pool) SetRemoteUse(used map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remote = maps.Clone(used)
	for key, s := range p.servers {
		s.reportedSlots = used[key]
	}
	p.dispatch()
}

// UpdateRemoteUse sets the slots that other hosts reported as in use at the backend servers for which they have changed.
func (p *Pool) UpdateRemoteUse(changed map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.remote == nil {
		p.remote = map[string]int{}
	}
	for key, n := range changed {
		if p.remote[key] = n; n == 0 {
			delete(p.remote, key)
		}
		if s := p.servers[key]; s != nil {
			s.reportedSlots = n
		}
	}
	p.dispatch()
}

// SetRateLimits replaces the rates at which this host may send to backend servers, in jobs per second by key. Servers that
// are not listed have no limit; those with rate 0 get no jobs from this host.
func (p *Pool) SetRateLimits(perSecond map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	next := make(map[string]*rateLimit, len(perSecond))
	for key, r := range perSecond {
		l := p.limits[key]
		if l == nil {
			l = &rateLimit{updated: now}
		}
		l.set(r, now)
		next[key] = l
	}
	p.limits = next
	p.dispatch()
}

// SetHosts sets the number of hosts that choose among the same backend servers by reports of the same age.
func (p *Pool) SetHosts(n int) { p.hosts.Store(int64(n)) }

// LocalUse returns the number of slots that this host uses, by key of the backend server.
func (p *Pool) LocalUse() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	localSlots := map[string]int{}
	for key, s := range p.servers {
		if s.localSlots > 0 {
			localSlots[key] = s.localSlots
		}
	}
	return localSlots
}

// TotalUse returns the number of slots that all hosts use, by key of the backend server.
func (p *Pool) TotalUse() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyStatedLoads(p.now())
	used := map[string]int{}
	for key, s := range p.servers {
		used[key] = s.localSlots + s.remoteSlots
	}
	return used
}

// Stats describes the load of the pool, for logs and refusals.
type Stats struct {
	Servers, Slots, Used, Waiting int
	// GrantsPerSecond is the rate of grants on this host, averaged over rateWindow.
	GrantsPerSecond float64
}

// Stats returns the current load of the pool.
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
		st.Used += s.localSlots + s.remoteSlots
	}
	return st
}

// Acquire waits until the job gets a slot. It returns a *RefusedError when no slot can be had before job.StartBy, or
// the cause of ctx if ctx ends first.
func (p *Pool) Acquire(ctx context.Context, job Job) (*Grant, error) {
	w := &waiter{job: job, since: p.now(), done: make(chan result, 1)}
	p.mu.Lock()
	p.arrivals.add(w.since, job)
	p.ranks.arrived(job.Rank, w.since)
	p.queue.add(w)
	p.dispatch()
	p.refuseOutranked(w)
	p.refuseHopeless(w)
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

// HasFree reports whether a backend server of a software version, or of any if it is empty, other than the excluded ones has a
// free slot.
func (p *Pool) HasFree(software string, excluded map[string]bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.applyStatedLoads(now)
	return slices.ContainsFunc(p.order, func(key string) bool {
		s := p.servers[key]
		return s.localSlots+s.remoteSlots < s.Slots && !now.Before(s.fullUntil) && !excluded[key] && s.runs(software)
	})
}

// HasOther reports whether there is a backend server of a software version, or of any if it is empty, other than the excluded
// ones, free or not.
func (p *Pool) HasOther(software string, excluded map[string]bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hasOther(software, excluded)
}

func (p *Pool) hasOther(software string, excluded map[string]bool) bool {
	return slices.ContainsFunc(p.order, func(key string) bool { return !excluded[key] && p.servers[key].runs(software) })
}

// runs reports whether a backend server gets jobs that need a software version, which is empty for any.
func (s *server) runs(software string) bool {
	return s.Software == software || software == "" && !s.LastResort
}

func (p *Pool) release(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[key]; s != nil {
		s.localSlots = max(s.localSlots-1, 0)
		s.fullUntil = time.Time{}
	}
	p.dispatch()
}

func (p *Pool) rejected(key string, rank int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[key]; s != nil {
		s.localSlots = max(s.localSlots-1, 0)
		s.fullUntil = p.now().Add(fullBackoff)
		p.grants.undo()
		p.ranks.undo(rank, p.now())
		p.limits[key].refund()
	}
	p.dispatch()
}

// dispatch grants free slots to waiting jobs in order of rank and value, then refuses those that cannot get one before
// their deadline.
func (p *Pool) dispatch() {
	now := p.now()
	p.applyStatedLoads(now)
	for _, w := range p.ordered(now) {
		s := p.choose(w.job, now)
		if s == nil {
			continue
		}
		p.queue.remove(w)
		s.localSlots++
		p.limits[s.Key].take(now)
		p.grants.add(now)
		p.ranks.granted(w.job.Rank, now)
		w.done <- result{grant: &Grant{
			Candidate: s.Candidate, Occupied: s.localSlots + s.remoteSlots, Waited: now.Sub(w.since), pool: p,
			rank: w.job.Rank, unreserve: w.job.Unreserve,
		}}
	}
	p.refuseLate(now)
	p.schedule(now)
}

// refuseLate refuses the waiting jobs that will not get a slot before their deadline at the recent rate of grants.
func (p *Pool) refuseLate(now time.Time) {
	perSecond := p.grants.perSecond(now)
	for ahead, w := range p.ordered(now) {
		retryAfter, attainable := p.attainable(&w.job, ahead, perSecond, now)
		if attainable {
			continue
		}
		p.queue.remove(w)
		w.done <- result{err: &RefusedError{Stats: p.stats(), Waited: now.Sub(w.since), Ahead: ahead, RateAllowsAfter: retryAfter, Software: p.missing(w.job.Software)}}
	}
}

// attainable reports whether a job gets a slot before its deadline with a number of jobs ahead of it, at a rate of grants. If the
// rate limits of the backend servers are the reason why it does not, retryAfter is when they allow it.
func (p *Pool) attainable(job *Job, ahead int, perSecond float64, now time.Time) (retryAfter time.Duration, ok bool) {
	remaining := job.StartBy.Sub(now)
	retryAfter, inTime := p.rateAllows(ahead+1, remaining, now)
	return retryAfter, remaining > 0 && p.hasOther(job.Software, nil) && float64(ahead) < perSecond*remaining.Seconds()+1 && inTime
}

// missing returns a software version if no backend server has it.
func (p *Pool) missing(software string) string {
	if p.hasOther(software, nil) {
		return ""
	}
	return software
}

// ordered returns a copy of the waiting jobs in the order in which they get slots, so that entries may be removed during
// iteration.
func (p *Pool) ordered(now time.Time) []*waiter {
	return p.queue.ordered(now, func(rank int) bool { return p.ranks.owed(rank, now) })
}

// refuseOutranked refuses a job on arrival when jobs of higher rank or value arrive faster than slots are granted. The job
// would otherwise wait until its deadline and then be refused. A rank that has got less than its share is not refused.
func (p *Pool) refuseOutranked(w *waiter) {
	ahead, outranked := p.outranked(&w.job, &p.ranks, p.now())
	if !outranked || !p.queue.remove(w) {
		return
	}
	w.done <- result{err: &RefusedError{Stats: p.stats(), Ahead: ahead}}
}

// outranked reports whether jobs that go before a job arrive faster than slots are granted, and how many have arrived.
func (p *Pool) outranked(job *Job, shares *rankShares, now time.Time) (ahead int, outranked bool) {
	ahead = p.arrivals.countAbove(now, *job)
	granted := p.grants.perSecond(now) * rateWindow.Seconds()
	return ahead, float64(ahead) > granted*outrankedMargin+1 && !shares.owed(job.Rank, now)
}

// schedule sets the timer for the next dispatch: when a full backend server becomes eligible again, or when the
// deadline of a waiting job passes.
func (p *Pool) schedule(now time.Time) {
	if p.timer != nil {
		p.timer.Stop()
		p.timer = nil
	}
	if p.queue.Len() == 0 {
		return
	}
	next := now.Add(fullBackoff)
	for _, s := range p.servers {
		if s.stated != nil && now.Add(statedRecheck).Before(next) {
			next = now.Add(statedRecheck)
		}
		if s.fullUntil.After(now) && s.fullUntil.Before(next) {
			next = s.fullUntil
		}
	}
	for _, w := range p.queue.waiters {
		if w.job.StartBy.Before(next) {
			next = w.job.StartBy
		}
	}
	p.timer = time.AfterFunc(max(next.Sub(now), time.Millisecond), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.dispatch()
	})
}
