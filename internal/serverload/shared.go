package serverload

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/boragecourse/boragecourse/internal/serverlimit"
)

const (
	// doubtTime is how long a doubt about a server lasts after its observation.
	doubtTime = 2 * time.Second
	// maxObservations bounds what a host reports and what is taken from another one.
	maxObservations = 16
	// maxSharers is the number of other hosts whose observations of one server are kept.
	maxSharers = 32
	// reportInterval is the least time between two changes of what is reported, refreshInterval that after which it is
	// reported again without a change.
	reportInterval  = 500 * time.Millisecond
	refreshInterval = 5 * time.Second
	// notable is the departure, as a logarithm, that is reported: a quarter.
	notable = 0.223
	// observedFor is how long a sample is worth reporting.
	observedFor = time.Second
	// maxHosts bounds the hosts whose observations are kept.
	maxHosts = 2048
	// checkInterval is the least time between two looks for changes, which take time in proportion to the servers.
	checkInterval = 100 * time.Millisecond
	// maxLimit bounds the limits that other hosts report.
	maxLimit = 1 << 16
	// maxPercent bounds the times that other hosts report, in percent of the usual time.
	maxPercent = 1600
)

// Observation is what a host has learned of a server from its own requests.
type Observation struct {
	// Server is the hash of the server's key.
	Server uint64
	At     time.Time
	// TimePercent is the time that work takes in percent of what is usual in the service, Limit the learned concurrency
	// limit; 0 if not known.
	TimePercent, Limit int
	// Unreachable and LosesResults are doubts about the server.
	Unreachable, LosesResults bool
}

// Hash returns the hash by which hosts name a server to each other.
func Hash(key string) uint64 { return serverlimit.Hash(key) }

// ownDoubt is what this host's own requests say against a server.
type ownDoubt struct{ unreachable, losesResults, succeeded time.Time }

func within(at time.Time, now time.Time) bool { return !at.IsZero() && now.Sub(at) < doubtTime }

// RecordUnreachable records that a server refused a connection or did not respond.
func (m *Model) RecordUnreachable(key string, now time.Time) {
	if r := m.servers[key]; r != nil {
		r.doubt.unreachable = now
	}
}

// RecordLostResult records that a prefill result was gone when a decode engine asked the server for it.
func (m *Model) RecordLostResult(key string, now time.Time) {
	if r := m.servers[key]; r != nil {
		r.doubt.losesResults = now
	}
}

// RecordSuccess ends the doubts about a server that older observations have raised. A response says that the server is
// reachable, a result that was used that it keeps results.
func (m *Model) RecordSuccess(key string, usedResult bool, now time.Time) {
	r := m.servers[key]
	if r == nil {
		return
	}
	r.doubt.succeeded, r.doubt.unreachable = now, time.Time{}
	if usedResult {
		r.doubt.losesResults = time.Time{}
	}
}

// Doubtful reports whether a server may be at fault, so that others go before it. Whether this host reaches the server is
// left to the outlier detector, which tries it again earlier than the other hosts.
func (m *Model) Doubtful(key string, now time.Time) bool {
	r := m.servers[key]
	if r == nil {
		return false
	}
	if within(r.doubt.losesResults, now) {
		return true
	}
	for _, o := range r.shared {
		if (o.Unreachable || o.LosesResults) && within(o.At, now) && o.At.After(r.doubt.succeeded) {
			return true
		}
	}
	return false
}

// Receive replaces the observations of another host.
func (m *Model) Receive(host uint64, observations []Observation, now time.Time) {
	m.withdraw(host)
	for _, o := range observations[:min(len(observations), maxObservations)] {
		r := m.servers[m.byHash[o.Server]]
		if r == nil || now.Sub(o.At) > limitMemory {
			continue
		}
		if len(r.shared) >= maxSharers {
			maps.DeleteFunc(r.shared, func(_ uint64, old Observation) bool { return now.Sub(old.At) > limitMemory })
		}
		if len(r.shared) >= maxSharers {
			continue
		}
		if o.At.After(now) {
			o.At = now
		}
		o.TimePercent, o.Limit = min(max(o.TimePercent, 0), maxPercent), min(max(o.Limit, 0), maxLimit)
		r.shared[host] = o
		m.sharers[host] = append(m.sharers[host], m.byHash[o.Server])
	}
}

// withdraw removes the observations of another host. Its work does not grow with the number of servers.
func (m *Model) withdraw(host uint64) {
	for _, key := range m.sharers[host] {
		if r := m.servers[key]; r != nil {
			delete(r.shared, host)
		}
	}
	delete(m.sharers, host)
	if len(m.sharers) < maxHosts {
		return
	}
	// Hosts that have left are not withdrawn one by one.
	clear(m.sharers)
	for _, r := range m.servers {
		clear(r.shared)
	}
}

// Observations returns what this host reports of its servers: doubts first, then the largest departures from the usual.
// The result changes at most every reportInterval, and only if a doubt has begun or ended, a time or limit has changed by
// more than a quarter, or refreshInterval has passed.
func (m *Model) Observations(now time.Time) []Observation {
	if now.Sub(m.reportedAt) < reportInterval || now.Sub(m.checkedAt) < checkInterval {
		return m.reported
	}
	m.checkedAt = now
	before := map[uint64]Observation{}
	for _, o := range m.reported {
		before[o.Server] = o
	}
	next := m.worthReporting(before, now)
	if !differ(before, next) && (now.Sub(m.reportedAt) < refreshInterval || len(next) == 0) {
		return m.reported
	}
	m.reported, m.reportedAt = next, now
	return next
}

// worthReporting returns the observations that matter most. A server that was reported before is contained once more when
// it is as usual again, so that other hosts learn of it.
func (m *Model) worthReporting(before map[uint64]Observation, now time.Time) []Observation {
	var out []Observation
	for key, r := range m.servers {
		o := r.observation(Hash(key), now)
		old, reported := before[o.Server]
		recovered := reported && notablePercent(old.TimePercent) && o.TimePercent > 0
		if o.Unreachable || o.LosesResults || o.Limit > 0 || notablePercent(o.TimePercent) || recovered {
			out = append(out, o)
		}
	}
	return MostImportant(out)
}

// MostImportant sorts observations, doubts first and then the largest departures from the usual time, and returns as many as
// a host may report.
func MostImportant(observations []Observation) []Observation {
	slices.SortFunc(observations, func(a, b Observation) int {
		return cmp.Or(-cmp.Compare(a.importance(), b.importance()), cmp.Compare(a.Server, b.Server))
	})
	return observations[:min(len(observations), maxObservations)]
}

// observation returns what this host's own requests say about a server.
func (r *record) observation(server uint64, now time.Time) Observation {
	o := Observation{
		Server: server, At: now, Limit: r.limit.limit, Unreachable: within(r.doubt.unreachable, now), LosesResults: within(r.doubt.losesResults, now),
	}
	switch {
	case o.Unreachable || o.LosesResults:
		o.At = r.doubt.unreachable
		if r.doubt.losesResults.After(o.At) {
			o.At = r.doubt.losesResults
		}
	case now.Sub(r.recent.at) <= observedFor:
		o.At = r.recent.at
		o.TimePercent = percent(shrink(r.recent.value, r.noise()))
	}
	return o
}

func percent(v float64) int { return int(math.Round(100 * math.Exp(significant(v)))) }

func notablePercent(p int) bool { return p > 0 && math.Abs(math.Log(float64(p)/100)) >= notable }

func (o Observation) importance() float64 {
	switch {
	case o.Unreachable || o.LosesResults:
		return math.Inf(1)
	case o.TimePercent > 0:
		return math.Abs(math.Log(float64(o.TimePercent) / 100))
	}
	return 0
}

// differ reports whether observations differ considerably from those reported before.
func differ(before map[uint64]Observation, next []Observation) bool {
	found := 0
	for _, o := range next {
		old, reported := before[o.Server]
		if !reported {
			return true
		}
		found++
		if old.Unreachable != o.Unreachable || old.LosesResults != o.LosesResults || ratioAbove(old.TimePercent, o.TimePercent) ||
			ratioAbove(old.Limit, o.Limit) {
			return true
		}
	}
	return found != len(before)
}

// ratioAbove reports whether one number exceeds the other by more than a quarter.
func ratioAbove(a, b int) bool {
	return 4*max(a, b) > 5*min(a, b)
}

// Cause is the source that decides what is known of the speed of a server.
type Cause int

// Causes, by decreasing precedence.
const (
	// Unknown means that nothing is known.
	Unknown Cause = iota
	// Stated is the server's own statement.
	Stated
	// Measured are this host's recent requests.
	Measured
	// Shared is what other hosts have reported.
	Shared
	// Lasting is the speed of the last seconds.
	Lasting
)

// Summary is what is known of one server, for metrics and logs.
type Summary struct {
	Server             string
	TimePercent, Limit int
	Slots              int
	Age                time.Duration
	Cause              Cause
}

// Summaries returns what is known of the servers of which something is known. Limit is 0 where none is known.
func (m *Model) Summaries(now time.Time) []Summary {
	var out []Summary
	for key, r := range m.servers {
		s := Summary{Server: key, TimePercent: percent(r.departure(now)), Limit: r.limit.limit, Slots: r.limit.slots}
		s.Cause, s.Age = r.cause(now)
		if !r.steady.at.IsZero() || len(r.shared) > 0 {
			out = append(out, s)
		}
	}
	return out
}

// cause returns the newest usable source and its age.
func (r *record) cause(now time.Time) (Cause, time.Duration) {
	var newest time.Time
	for _, o := range r.shared {
		if o.TimePercent > 0 && o.At.After(newest) {
			newest = o.At
		}
	}
	for _, c := range []struct {
		cause  Cause
		at     time.Time
		memory time.Duration
	}{{Stated, r.stated.at, statedMemory}, {Measured, r.recent.at, recentMemory}, {Shared, newest, sharedMemory}, {Lasting, r.steady.at, steadyMemory}} {
		if age := now.Sub(c.at); !c.at.IsZero() && age <= 2*c.memory {
			return c.cause, age
		}
	}
	return Unknown, 0
}
