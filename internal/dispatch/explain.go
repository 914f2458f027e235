package dispatch

import (
	"cmp"
	"slices"
)

// Reason says why a backend server gets no job. Its values are sent to operators.
type Reason string

// Reasons that a pool knows. ReasonRateLimit is reached for the limit that a server has named and for that of a cold server.
const (
	ReasonFull          Reason = "full"
	ReasonRefusedAsFull Reason = "refused_as_full"
	ReasonLearnedLimit  Reason = "learned_limit"
	ReasonRateLimit     Reason = "rate_limit"
	ReasonExcluded      Reason = "excluded"
	ReasonOtherSoftware Reason = "other_software_version"
)

// Terms are the values by which a backend server is compared with others. The lowest score is preferred.
type Terms struct {
	Candidate
	// Used is the number of slots in use, in terms of ordinary jobs; Limit is how many may be in use.
	Used  float64
	Limit int
	// Occupancy is the share of the slots, or of the other resources, in use. Relative is the expected time of one more job,
	// relative to an ordinary server.
	Occupancy, Relative, Score float64
	Doubtful                   bool
}

// LeftOut is a backend server that gets no job now.
type LeftOut struct {
	Candidate
	Reason Reason
}

// Explanation describes what Acquire would decide about a job now.
type Explanation struct {
	// Candidates are in the order in which the job takes them.
	Candidates []Terms
	LeftOut    []LeftOut
	// Sample is the number of candidates, drawn at random, among which a job chooses; 0 if it chooses among all of them.
	Sample int
	// RecheckProbability is the probability that the speeds of the servers are ignored; 0 if none is known.
	RecheckProbability float64
	// Waiting is the number of jobs in the queue.
	Waiting int
	// Refused is set if the job would be refused. Without it and without candidates, the job would wait.
	Refused *RefusedError
}

// Explain returns what Acquire would decide about a job now, without changing the pool. withheld, if it is not nil, takes the
// place of job.Reserve: it returns why a backend server lacks other resources that the job needs, or "" if it has them.
// The order of the candidates ignores the random parts of the decision, which the explanation states.
func (p *Pool) Explain(job Job, withheld func(key string) Reason) Explanation {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.applyStatedLoads(now)
	e := Explanation{Waiting: p.queue.Len()}
	exclude := func(s *server, r Reason) { e.LeftOut = append(e.LeftOut, LeftOut{Candidate: s.Candidate, Reason: r}) }
	free := p.free(job, now, func() float64 { return 1 }, exclude)
	sample, certain := p.sortByPreference(free, job, nil)
	if sample < certain && job.Affinity == 0 {
		e.Sample = sample
	}
	if slices.ContainsFunc(free, func(c scoredServer) bool { return c.relative != 1 }) {
		e.RecheckProbability = recheckShare
	}
	for _, c := range free {
		if withheld != nil {
			if reason := withheld(c.server.Key); reason != "" {
				exclude(c.server, reason)
				continue
			}
		}
		e.Candidates = append(e.Candidates, Terms{
			Candidate: c.server.Candidate, Used: c.used, Limit: c.limit, Occupancy: c.occupancy, Relative: c.relative,
			Score: c.score, Doubtful: c.doubtful,
		})
	}
	slices.SortFunc(e.LeftOut, func(a, b LeftOut) int { return cmp.Compare(a.Key, b.Key) })
	if len(e.Candidates) == 0 {
		e.Refused = p.refusalOf(&job)
	}
	return e
}

// refusalOf returns the refusal of a job that finds no free slot, or nil if it would wait. The jobs ahead are counted by rank
// and value only, although a waiting rank that is owed a share goes first. p.mu must be held.
func (p *Pool) refusalOf(job *Job) *RefusedError {
	now := p.now()
	ahead := 0
	for _, w := range p.queue.waiters {
		if !job.before(&w.job) {
			ahead++
		}
	}
	if after, ok := p.attainable(job, ahead, p.grants.perSecond(now), now); !ok {
		return &RefusedError{Stats: p.stats(), Ahead: ahead, RateAllowsAfter: after, Software: p.missing(job.Software)}
	}
	shares := p.ranks.clone()
	shares.arrived(job.Rank, now)
	if above, outranked := p.outranked(job, shares, now); outranked {
		return &RefusedError{Stats: p.stats(), Ahead: above}
	}
	if p.hopeless(job, now) {
		return &RefusedError{Stats: p.stats(), Ahead: 1, TooLate: true}
	}
	return nil
}
