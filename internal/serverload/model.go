// Package serverload learns how fast each backend server of a service is at present and how many concurrent requests it
// handles well. Its inputs are the durations of this host's requests, the load that servers state in their responses and
// what other hosts have observed. The package does no I/O, starts no goroutine and reads no clock.
package serverload

import (
	"math"
	"time"
)

const (
	// statedMemory is how long a server's own statement of its speed is of use: the slowdowns by other loads on the same
	// machine last for about 600 ms.
	statedMemory = 300 * time.Millisecond
	// recentMemory is the age at which this host's latest samples have lost most of their weight. A server that slows down
	// must lose its work within one to two seconds.
	recentMemory = 1500 * time.Millisecond
	// sharedMemory is the same for what other hosts report, which is 0.1 to 0.8 s old when it arrives.
	sharedMemory = time.Second
	// steadyWindow is the period over which the lasting speed is averaged, steadyMemory the age at which it is forgotten.
	steadyWindow = 3 * time.Second
	steadyMemory = 30 * time.Second
	// recentWeight is the weight of the newest sample in the average of recent samples, steadyWeight the largest one in
	// the lasting speed.
	recentWeight = 0.35
	steadyWeight = 0.2
	// usualWeight is the least weight of a sample in the usual time of its class.
	usualWeight = 0.005
	// Weights of the sources of an estimate when they are fresh. The statement of the server itself is exact, the lasting
	// speed decides only when there is nothing newer.
	statedTrust = 8.0
	recentTrust = 2.0
	sharedTrust = 1.0
	steadyTrust = 0.15
	// maxSharedTrust bounds the weight of all other hosts together.
	maxSharedTrust = 3.0
	// negligible is the departure from the usual time, as a logarithm, that counts as none: 5%.
	negligible = 0.05
	// maxDeparture bounds the effect of a single sample, as a logarithm: a factor of 8.
	maxDeparture = 2.08
)

// Sample is a finished piece of work at a server: a plain request, a prefill, or part of a stream.
type Sample struct {
	// Class names the kind of work. Times are compared within a class only.
	Class string
	// Took is the time per unit of work.
	Took time.Duration
	// Occupied is the number of concurrent requests at the server, including this one; Slots is how many it runs at once.
	// They are 0 for work whose time does not depend on them.
	Occupied, Slots int
	// Certain is set if Occupied is not older than the work takes. It is also taken for certain if the server states it in the
	// same response. Only such samples show how the time depends on the occupancy.
	Certain bool
}

// Load is what a server states about itself.
type Load struct {
	Running, Waiting, Slots int
	// TimePercent is the time that work takes now in percent of the usual time, 0 if not stated.
	TimePercent float64
	// Brief is set for servers whose work is shorter than the age of other hosts' reports. Their occupancy is taken from what
	// they state, since the use that others report has ended when it is received.
	Brief bool
}

// Model holds what is known of the servers of one service. Servers are named by the keys of their incarnations. It is not
// safe for concurrent use.
type Model struct {
	servers map[string]*record
	// byHash finds the key of a server that another host names by its hash.
	byHash map[uint64]string
	usual  map[string]*usualTime
	prompt average
	// reported is what this host has last told the others, at reportedAt.
	reported   []Observation
	reportedAt time.Time
	checkedAt  time.Time
	// sharers holds the keys of the servers of which another host has reported something.
	sharers map[uint64][]string
}

// record is what is known of one server. Times are logarithms of the factor by which work takes longer than usual.
type record struct {
	stated, recent, steady estimate
	// deviation is the mean square of the difference between a sample and the average of those before.
	deviation float64
	samples   int
	load      Load
	loadAt    time.Time
	// occupancy is the moving average of the occupancy that the server states, at loadAt.
	occupancy float64
	// sent is the number of requests that this host has sent since loadAt.
	sent   int
	shared map[uint64]Observation
	limit  limiter
	doubt  ownDoubt
	// queued is the number of prompts that this host has at the server, queuedTokens their size.
	queued       int
	queuedTokens int64
}

type estimate struct {
	value float64
	at    time.Time
}

// fresh returns the weight of an estimate by its age, 1 when it is new and 0 when there is none.
func (e estimate) fresh(memory time.Duration, now time.Time) float64 {
	if e.at.IsZero() {
		return 0
	}
	return math.Exp(-float64(max(now.Sub(e.at), 0)) / float64(memory))
}

// usualTime is the moving average of the logarithm of the time that one class of work takes at all servers.
type usualTime struct{ average }

type average struct {
	value float64
	n     int
}

func (a *average) add(v, least float64) {
	a.n++
	a.value += math.Max(least, 1/float64(a.n)) * (v - a.value)
}

// New returns a model without servers.
func New() *Model {
	return &Model{servers: map[string]*record{}, byHash: map[uint64]string{}, usual: map[string]*usualTime{}, sharers: map[uint64][]string{}}
}

// SetServers replaces the set of servers. What was learned of the others is forgotten.
func (m *Model) SetServers(keys map[string]bool) {
	for key := range m.servers {
		if !keys[key] {
			delete(m.servers, key)
			delete(m.byHash, Hash(key))
		}
	}
	for key := range keys {
		if m.servers[key] == nil {
			m.servers[key] = &record{shared: map[uint64]Observation{}}
			m.byHash[Hash(key)] = key
		}
	}
}

// State records what a server has stated in a response.
func (m *Model) State(key string, l Load, now time.Time) {
	r := m.servers[key]
	if r == nil {
		return
	}
	r.learnOccupancy(l, now)
	if l.TimePercent <= 0 {
		return
	}
	v := clamp(math.Log(l.TimePercent / 100))
	r.learnSteady(v, now)
	r.stated = estimate{v, now}
}

// Observe records a sample. Only complete work may be passed: a failure or a refusal says nothing about speed.
func (m *Model) Observe(key string, s Sample, now time.Time) {
	r := m.servers[key]
	if r == nil || s.Took <= 0 {
		return
	}
	if now.Sub(r.loadAt) <= loadMemory && r.load.Slots > 0 && s.Slots > 0 {
		s.Occupied, s.Slots, s.Certain = max(r.load.Running+r.load.Waiting, 1), r.load.Slots, true
	}
	u := m.usual[s.Class]
	if u == nil {
		u = &usualTime{}
		m.usual[s.Class] = u
	}
	v := math.Log(s.Took.Seconds())
	if s.Certain && s.Occupied > s.Slots {
		// The requests beyond the slots wait, which the slots explain.
		v -= math.Log(float64(s.Occupied) / float64(s.Slots))
	}
	u.add(v, usualWeight)
	v = clamp(v - u.value)
	r.learnRecent(v, now)
	lasting := v
	if r.stated.fresh(statedMemory, now) > 1/math.E {
		lasting -= r.stated.value
	} else {
		r.learnSteady(v, now)
	}
	if s.Certain {
		r.limit.observe(s, lasting, now)
	}
}

// loadMemory is how long the occupancy that a server stated describes the request that is just ending there.
const loadMemory = 50 * time.Millisecond

func (r *record) learnRecent(v float64, now time.Time) {
	weight := recentWeight
	if age := r.recent.fresh(recentMemory, now); age < 1 {
		// An average that is out of date gives way to the new sample.
		weight = 1 - (1-recentWeight)*age
	}
	d := v - r.recent.value
	r.samples++
	if r.samples > 1 {
		r.deviation += math.Max(usualWeight*4, 1/float64(r.samples)) * (d*d - r.deviation)
	}
	r.recent = estimate{r.recent.value + weight*d, now}
}

func (r *record) learnSteady(v float64, now time.Time) {
	weight := steadyWeight
	if !r.steady.at.IsZero() {
		weight = min(1-math.Exp(-float64(max(now.Sub(r.steady.at), 0))/float64(steadyWindow)), steadyWeight)
	}
	r.steady = estimate{r.steady.value + weight*(v-r.steady.value), now}
}

// noise returns the standard error of the average of recent samples. A departure within it counts as none, so that the
// variance of the requests' sizes does not order servers of equal speed.
func (r *record) noise() float64 {
	return math.Sqrt(r.deviation * recentWeight / (2 - recentWeight))
}

// Expected returns the time that one more request takes at a server, relative to an ordinary server: 1 for a server of which
// nothing is known. occupied is the number of requests that it has from all hosts.
func (m *Model) Expected(key string, occupied int, now time.Time) float64 {
	r := m.servers[key]
	if r == nil {
		return 1
	}
	return math.Exp(significant(r.departure(now))) * r.limit.crowding(occupied)
}

// Steady returns the time that work takes at a server over some seconds, relative to an ordinary server. It leaves out the
// moment's speed, which the server states.
func (m *Model) Steady(key string, now time.Time) float64 {
	r := m.servers[key]
	if r == nil {
		return 1
	}
	return math.Exp(significant(r.steady.value * r.steady.fresh(steadyMemory, now)))
}

// departure combines what is known of the speed of a server, weighted by age.
func (r *record) departure(now time.Time) float64 {
	stated := statedTrust * r.stated.fresh(statedMemory, now)
	recent, memory := recentTrust*r.recent.fresh(recentMemory, now), sharedMemory
	if r.stated.fresh(steadyMemory, now) > 1/math.E {
		// What a server states changes faster than samples and reports are averaged.
		recent, memory = 0, statedMemory
	}
	sum := stated*r.stated.value + recent*shrink(r.recent.value, r.noise())
	weights := stated + recent
	var shared, sharedSum float64
	for _, o := range r.shared {
		if o.TimePercent > 0 {
			w := sharedTrust * estimate{at: o.At}.fresh(memory, now)
			shared, sharedSum = shared+w, sharedSum+w*clamp(math.Log(float64(o.TimePercent)/100))
		}
	}
	if shared > maxSharedTrust {
		shared, sharedSum = maxSharedTrust, sharedSum*maxSharedTrust/shared
	}
	lasting := r.steady.fresh(steadyMemory, now)
	return (sum + sharedSum + steadyTrust*lasting*r.steady.value) / (weights + shared + steadyTrust)
}

// Occupied converts the number of requests that this and other hosts are known to have at a server to what they amount to.
// Prompts count by their size, since a prefill engine processes the tokens of all of them at a common rate; those of other hosts
// count as of mean size. At a server with brief work it is what the server states.
func (m *Model) Occupied(key string, counted int, now time.Time) float64 {
	r := m.servers[key]
	switch {
	case r == nil:
		return float64(counted)
	case r.load.Brief && now.Sub(r.loadAt) <= occupancyMemory:
		stated := float64(r.load.Running + r.load.Waiting)
		memory := queueMemory
		if r.load.Slots > 0 {
			// A long queue takes longer to disappear.
			memory = time.Duration(float64(memory) * math.Max(1, stated/float64(r.load.Slots)))
		}
		return r.occupancy + (stated-r.occupancy)*estimate{at: r.loadAt}.fresh(memory, now) + float64(r.sent)
	case r.queued > 0 && m.prompt.value > 0:
		return float64(max(counted-r.queued, 0)) + float64(r.queuedTokens)/m.prompt.value
	}
	return float64(counted)
}

const (
	// queueMemory is how long the occupancy that a server states describes it: a few times the 15 to 60 ms that work takes.
	queueMemory = 100 * time.Millisecond
	// occupancyWindow is the period over which the stated occupancy is averaged, occupancyMemory the age at which the average
	// is of no use.
	occupancyWindow = time.Second
	occupancyMemory = 3 * time.Second
)

func (r *record) learnOccupancy(l Load, now time.Time) {
	age := estimate{at: r.loadAt}.fresh(occupancyWindow, now)
	r.occupancy += (1 - age) * (float64(l.Running+l.Waiting) - r.occupancy)
	r.load, r.loadAt, r.sent = l, now, 0
}

// RecordSent records that this host sends a request to a server. The occupancy that a server has stated does not include it.
func (m *Model) RecordSent(key string) {
	if r := m.servers[key]; r != nil {
		r.sent++
	}
}

// Queue records a prompt that is sent to a server, Dequeue its end.
func (m *Model) Queue(key string, tokens int64) {
	if tokens <= 0 {
		return
	}
	m.prompt.add(float64(tokens), usualWeight)
	if r := m.servers[key]; r != nil {
		r.queued++
		r.queuedTokens += tokens
	}
}

// Dequeue records the end of a prompt that Queue has recorded.
func (m *Model) Dequeue(key string, tokens int64) {
	r := m.servers[key]
	if r == nil || r.queued == 0 || tokens <= 0 {
		return
	}
	r.queued--
	r.queuedTokens = max(r.queuedTokens-tokens, 0)
	if r.queued == 0 {
		r.queuedTokens = 0
	}
}

// significant returns 0 for a negligible departure.
func significant(v float64) float64 {
	if math.Abs(v) <= negligible {
		return 0
	}
	return v
}

// shrink moves a value toward 0 by its error.
func shrink(v, err float64) float64 {
	return math.Copysign(math.Max(math.Abs(v)-err, 0), v)
}

func clamp(v float64) float64 { return min(max(v, -maxDeparture), maxDeparture) }
