package dispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// crossZonePenalty is how much lower the occupancy (fraction of the slots, or of the memory, in use) of a backend server in
	// another availability zone must be for it to be preferred.
	crossZonePenalty = 0.12
	// batchedZonePenalty is the same for jobs that servers work on all at once and for seconds. A generation in another zone breaks
	// off when the zones are cut off from each other, while an engine is no slower until its memory is full.
	batchedZonePenalty = 0.5
	// exactHosts is the number of hosts up to which the least occupied backend server is chosen. More hosts than that
	// would send most of the requests between two reports to the same one.
	exactHosts = 8
	// minSample is the least number of backend servers that are compared in a larger fleet. Two are enough to avoid the
	// busy ones.
	minSample = 2
	// affinityBonus is how much higher the occupancy (fraction of slots in use) of the server that a job prefers by its affinity
	// may be. It lets one prompt wait for another at a prefill engine: processing a prompt again takes as long.
	affinityBonus = 0.3
	// setupShare is the work of the job itself as a share of what a backend server's slots hold. With it, an idle prefill
	// engine of relative time r completes a prompt as late as an ordinary one with 4r-1 others, and an idle plain server
	// that takes three times as long is used once the slots of the ordinary ones are in use.
	setupShare = 0.25
	// recheckShare is the share of jobs for which speeds are ignored, so that a slow server keeps a small share of the jobs
	// and its recovery is noticed without probes.
	recheckShare = 1.0 / 16
)

// Model is what is known of the speed and the state of backend servers. A pool calls it while it chooses one. It only
// orders candidates and bounds their use.
type Model interface {
	// Expected returns the time that one more job takes at a server with occupied slots in use, relative to an ordinary
	// server: 1 if nothing is known.
	Expected(key string, occupied int, now time.Time) (relative float64)
	// Occupied converts a number of jobs to the number of ordinary ones that they amount to.
	Occupied(key string, counted int, now time.Time) float64
	// Limit returns how many slots may be in use, at most slots.
	Limit(key string, slots int, now time.Time) int
	// Doubtful reports whether the server is used only if no other has capacity.
	Doubtful(key string, now time.Time) bool
}

// SetModel sets the model by which backend servers are compared. Without one the least occupied server is chosen.
func (p *Pool) SetModel(m Model) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.model = m
}

// choose returns the backend server that has a free slot and the other resources that the job needs, and is expected to
// complete the job first. It prefers the availability zone of this host, or the one that the job names, by
// crossZonePenalty. In a large fleet it compares only a random sample of the backend servers first, so that hosts with the
// same reports do not all choose the same one.
func (p *Pool) choose(job Job, now time.Time) *server {
	free := p.free(job, now, p.random.Float64, nil)
	p.sortByPreference(free, job, p.random.Shuffle)
	for _, c := range free {
		if job.Reserve == nil || job.Reserve(c.server.Key) {
			return c.server
		}
	}
	return nil
}

// sortByPreference sorts backend servers in the order in which a job takes them. It returns how many of them are compared first, and
// how many are not doubtful. Without shuffle, which draws the sample of a large fleet, all of them are compared.
func (p *Pool) sortByPreference(free []scoredServer, job Job, shuffle func(n int, swap func(i, j int))) (sample, certain int) {
	certain = len(free)
	if p.model != nil {
		// Doubtful servers come last. The order of the others does not change.
		slices.SortStableFunc(free, func(a, b scoredServer) int { return compareBool(a.doubtful, b.doubtful) })
		certain = len(free) - countDoubtful(free)
	}
	sampled, rest := free[:certain], free[certain:]
	sample = sampleSize(certain, int(p.hosts.Load()))
	compared := sample
	switch {
	case job.Affinity != 0:
		orderByAffinity(sampled, job.Affinity)
		if job.Repeated && sample > 0 {
			preferred(sampled[:sample], cmp.Or(job.Zone, p.zone)).score -= affinityBonus
		}
	case shuffle == nil:
		compared = certain
	case sample < certain:
		shuffle(certain, func(i, j int) { sampled[i], sampled[j] = sampled[j], sampled[i] })
	}
	byScore := func(a, b scoredServer) int { return cmp.Compare(a.score, b.score) }
	slices.SortStableFunc(sampled[:compared], byScore)
	slices.SortStableFunc(sampled[compared:], byScore)
	slices.SortStableFunc(rest, byScore)
	return sample, certain
}

// free returns the backend servers with a free slot, with their scores. leftOut, if it is not nil, is called for the others.
func (p *Pool) free(job Job, now time.Time, random func() float64, leftOut func(*server, Reason)) []scoredServer {
	zone := cmp.Or(job.Zone, p.zone)
	free := make([]scoredServer, 0, len(p.order))
	for _, key := range p.order {
		c, reason := p.assess(p.servers[key], &job, now)
		if reason == "" {
			free = append(free, c)
		} else if leftOut != nil {
			leftOut(c.server, reason)
		}
	}
	p.score(free, zone, job.Occupancy != nil, random)
	return free
}

// assess returns the terms by which a backend server is compared, or the reason for which it gets no job now.
func (p *Pool) assess(s *server, job *Job, now time.Time) (scoredServer, Reason) {
	key, counted := s.Key, s.localSlots+s.remoteSlots
	used := float64(counted)
	if p.model != nil {
		used = p.model.Occupied(key, counted, now)
	}
	// The use that a server has stated bounds it by itself; see SetStatedLoad.
	bounding := used
	if s.stated != nil {
		bounding = float64(counted)
	}
	c := scoredServer{server: s, used: used, limit: s.Slots, relative: 1}
	switch {
	case job.Exclude[key]:
		return c, ReasonExcluded
	case !s.runs(job.Software):
		return c, ReasonOtherSoftware
	case now.Before(s.fullUntil):
		return c, ReasonRefusedAsFull
	case s.localSlots >= s.Slots || bounding >= float64(s.Slots):
		return c, ReasonFull
	case !p.limits[key].allows(now):
		return c, ReasonRateLimit
	}
	if p.model != nil {
		c.limit = p.model.Limit(key, s.Slots, now)
		if bounding >= float64(c.limit) {
			return c, ReasonLearnedLimit
		}
		c.relative, c.doubtful = p.model.Expected(key, int(used), now), p.model.Doubtful(key, now)
	}
	c.occupancy = used / float64(c.limit)
	if job.Occupancy != nil {
		c.occupancy = max(c.occupancy, job.Occupancy(key))
	}
	return c, ""
}

// score computes the scores of backend servers: the occupancy, or the expected completion if some of them are known to be
// slower or faster than others. The preference for the zone then shrinks as its servers fill. With batched set, servers work on
// all their jobs at once: the others hardly delay the job, so the speed weighs on the job's own part only. A fast engine
// would otherwise be preferred until its memory is full, by all hosts at once. The preference for the zone shrinks in any case.
// random draws whether speeds are ignored.
func (p *Pool) score(free []scoredServer, zone string, batched bool, random func() float64) {
	learned := slices.ContainsFunc(free, func(c scoredServer) bool { return c.relative != 1 })
	penalty := crossZonePenalty
	if batched {
		penalty = batchedZonePenalty
	}
	if learned || batched {
		penalty *= 1 - zoneOccupancy(free, zone)
	}
	if learned {
		if random() < recheckShare {
			// The choice by occupancy alone.
			learned = false
		}
	}
	for i := range free {
		c := &free[i]
		c.score = c.occupancy
		switch {
		case learned && batched:
			c.score = c.relative*setupShare + c.occupancy
		case learned:
			c.score = c.relative * (setupShare + c.occupancy)
		}
		if c.server.Zone != zone {
			c.score += penalty
		}
	}
}

// zoneOccupancy returns the mean occupancy of the backend servers of a zone, 1 if it has none.
func zoneOccupancy(free []scoredServer, zone string) float64 {
	sum, n := 0.0, 0
	for _, c := range free {
		if c.server.Zone == zone {
			sum += c.occupancy
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return min(sum/float64(n), 1)
}

func countDoubtful(free []scoredServer) (n int) {
	for _, c := range free {
		if c.doubtful {
			n++
		}
	}
	return n
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// orderByAffinity sorts servers in the order of preference of the jobs with an affinity (rendezvous hashing).
func orderByAffinity(free []scoredServer, affinity uint64) {
	slices.SortFunc(free, func(a, b scoredServer) int {
		return cmp.Compare(mix(a.server.hash^affinity), mix(b.server.hash^affinity))
	})
}

// preferred returns the server of an ordered sample that a job gets if all are idle: the first one of the zone, or else the
// first one.
func preferred(sample []scoredServer, zone string) *scoredServer {
	for i := range sample {
		if sample[i].server.Zone == zone {
			return &sample[i]
		}
	}
	return &sample[0]
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// scoredServer is a backend server with a free slot. A lower score is better.
type scoredServer struct {
	server *server
	score  float64
	// occupancy is the fraction of the slots in use, relative the expected time of one more job relative to an ordinary
	// server.
	occupancy, relative float64
	doubtful            bool
	// used is the number of slots in use, in terms of ordinary jobs, and limit how many may be in use.
	used  float64
	limit int
}

// sampleSize returns how many of n backend servers a host compares, in inverse proportion to the number of hosts.
func sampleSize(n, hosts int) int {
	if hosts <= exactHosts {
		return n
	}
	return min(max((n*exactHosts+hosts-1)/hosts, minSample), n)
}
