package dispatch

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// crossZonePenalty is how much lower the occupancy (fraction of slots in use) of a backend server in another
	// availability zone must be for it to be preferred.
	crossZonePenalty = 0.12
	// exactHosts is the number of hosts up to which the least occupied backend server is chosen. More hosts than that
	// would send most of the requests between two reports to the same one.
	exactHosts = 8
	// minSample is the least number of backend servers that are compared in a larger fleet. Two are enough to avoid the
	// busy ones.
	minSample = 2
	// affinityBonus is how much higher the occupancy (fraction of slots in use) of the server that a job prefers by its affinity
	// may be. It lets one prompt wait for another at a prefill engine: processing a prompt again takes as long.
	affinityBonus = 0.3
)

// choose returns the least occupied backend server that has a free slot and the other resources that the job needs. It
// prefers the availability zone of this host by crossZonePenalty. In a large fleet it compares only a random sample of the
// backend servers first, so that hosts with the same reports do not all choose the same one.
func (p *Pool) choose(job Job, now time.Time) *server {
	free := make([]scoredServer, 0, len(p.order))
	for _, key := range p.order {
		s := p.servers[key]
		if s.localSlots+s.remoteSlots >= s.Slots || now.Before(s.fullUntil) || job.Exclude[key] || !p.limits[key].allows(now) {
			continue
		}
		score := float64(s.localSlots+s.remoteSlots) / float64(s.Slots)
		if s.Zone != p.zone {
			score += crossZonePenalty
		}
		free = append(free, scoredServer{s, score})
	}
	sample := sampleSize(len(free), int(p.hosts.Load()))
	switch {
	case job.Affinity != 0:
		orderByAffinity(free, job.Affinity)
		if job.Repeated && sample > 0 {
			preferred(free[:sample], p.zone).score -= affinityBonus
		}
	case sample < len(free):
		rand.Shuffle(len(free), func(i, j int) { free[i], free[j] = free[j], free[i] })
	}
	byScore := func(a, b scoredServer) int { return cmp.Compare(a.score, b.score) }
	slices.SortStableFunc(free[:sample], byScore)
	slices.SortStableFunc(free[sample:], byScore)
	for _, c := range free {
		if job.Reserve == nil || job.Reserve(c.server.Key) {
			return c.server
		}
	}
	return nil
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

func hashKey(key string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	return h.Sum64()
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
}

// sampleSize returns how many of n backend servers a host compares, in inverse proportion to the number of hosts.
func sampleSize(n, hosts int) int {
	if hosts <= exactHosts {
		return n
	}
	return min(max((n*exactHosts+hosts-1)/hosts, minSample), n)
}
