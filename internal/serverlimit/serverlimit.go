// Package serverlimit divides the rate limit that a backend server names among the hosts. Hosts tell each other the newest
// limits that they were told. A limited server is used by a few hosts only, each with an equal share, so that the sum over
// all hosts keeps the limit without messages for single requests. The package does no I/O and reads no clock.
package serverlimit

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// observationTTL is how long a limit holds without a new response from the server.
	observationTTL = 45 * time.Second
	// refreshInterval is the time after which newer responses with the same limits are passed on.
	refreshInterval = 15 * time.Second
	// maxReported bounds the limits that one host passes on, maxKnown those that it remembers.
	maxReported = 8
	maxKnown    = 1024
	// minUsers is the number of hosts that use a server with a low limit. Each of them may send one request at once.
	minUsers = 4
)

// Tolerance of backend servers: in any toleranceWindow they take toleranceFactor times what the limit allows and
// toleranceBurst requests more.
const (
	toleranceWindow = 4 * time.Second
	toleranceFactor = 1.5
	toleranceBurst  = 5
	// plannedFactor bounds the shares of all hosts together, as a multiple of the limit. What remains of the tolerance, at
	// least unplannedFactor times the limit and unplannedBurst requests, covers requests that arrive late and hosts that do
	// not know of each other yet.
	plannedFactor   = 1.4
	unplannedFactor = 0.025
	unplannedBurst  = 1
)

// Observation is what a server named in its newest known response.
type Observation struct {
	// Server is the hash of the server's key, see Hash.
	Server uint64
	// PerSecond is the limit in requests per second over all hosts, 0 if the server named none.
	PerSecond float64
	At        time.Time
}

// Hash returns the hash by which hosts name a server to each other.
func Hash(key string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	return h.Sum64()
}

// Host is a host that may use servers.
type Host struct{ Address, Zone string }

// Table holds the limits that this host knows. It is not safe for concurrent use.
type Table struct {
	known map[uint64]Observation
	// own holds what servers told this host itself.
	own map[uint64]Observation
	// report is what was last passed on, at reportedAt. stale is set when a limit has changed since.
	report     []Observation
	reportedAt time.Time
	stale      bool
}

// New returns a table without limits.
func New() *Table {
	return &Table{known: map[uint64]Observation{}, own: map[uint64]Observation{}}
}

// Observe records what a server named in a response, and reports whether the limit differs from the known one.
func (t *Table) Observe(server uint64, perSecond float64, now time.Time) bool {
	// Hosts pass limits on with this precision, and a difference would count as a change.
	perSecond = float64(float32(perSecond))
	before, known := t.known[server]
	if !known && perSecond == 0 {
		return false
	}
	o := Observation{Server: server, PerSecond: perSecond, At: now}
	t.record(o)
	old, present := t.own[server]
	t.stale = t.stale || !present || old.PerSecond != perSecond
	t.own[server] = o
	if len(t.own) > maxKnown {
		delete(t.own, oldest(t.own))
	}
	return before.PerSecond != perSecond
}

func (t *Table) record(o Observation) {
	t.known[o.Server] = o
	if len(t.known) > maxKnown {
		delete(t.known, oldest(t.known))
	}
}

func oldest(observations map[uint64]Observation) uint64 {
	o := slices.MinFunc(slices.Collect(maps.Values(observations)), func(a, b Observation) int { return a.At.Compare(b.At) })
	return o.Server
}

// Receive records what servers told another host, and reports whether a limit has changed.
func (t *Table) Receive(observations []Observation) (changed bool) {
	for _, o := range observations {
		before, known := t.known[o.Server]
		if known && !o.At.After(before.At) || math.IsNaN(o.PerSecond) || o.PerSecond < 0 {
			continue
		}
		t.record(o)
		changed = changed || before.PerSecond != o.PerSecond
	}
	return changed
}

// Report returns the newest of what servers told this host itself. It changes when a limit does, and every refreshInterval.
func (t *Table) Report(now time.Time) []Observation {
	t.expire(now)
	if t.stale || now.Sub(t.reportedAt) >= refreshInterval {
		out := slices.Collect(maps.Values(t.own))
		slices.SortFunc(out, func(a, b Observation) int { return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Server, b.Server)) })
		t.report, t.reportedAt, t.stale = out[:min(len(out), maxReported)], now, false
	}
	return t.report
}

// Empty reports whether no limit is known.
func (t *Table) Empty() bool { return len(t.known) == 0 }

func (t *Table) expire(now time.Time) {
	old := func(_ uint64, o Observation) bool { return now.Sub(o.At) >= observationTTL }
	maps.DeleteFunc(t.known, old)
	maps.DeleteFunc(t.own, old)
}

// Share returns the rate at which the host self may send to a server in a zone, in requests per second, and whether the
// server is limited at all. hosts are all hosts that may use it, with self.
func (t *Table) Share(server uint64, zone string, hosts []Host, self string, now time.Time) (perSecond float64, limited bool) {
	o := t.known[server]
	if o.PerSecond <= 0 || now.Sub(o.At) >= observationTTL {
		return 0, false
	}
	users := min(max(int(math.Min(o.PerSecond, float64(len(hosts)))), minUsers), len(hosts))
	if !slices.Contains(firstHosts(server, zone, hosts, users), self) {
		return 0, true
	}
	return plannedRate(o.PerSecond, users) / float64(users), true
}

// plannedRate returns the rate of all users together of a server with a limit. With one request of each user at once it stays
// within the tolerance.
func plannedRate(limit float64, users int) float64 {
	bursts := toleranceBurst - unplannedBurst - float64(users)
	return min(plannedFactor*limit, (toleranceFactor-unplannedFactor)*limit+bursts/toleranceWindow.Seconds())
}

// firstHosts returns the first n hosts in the order of the server: those of its zone first, and among these by a hash of
// both, so that the servers of a service are used by different hosts (rendezvous hashing).
func firstHosts(server uint64, zone string, hosts []Host, n int) []string {
	rank := func(h Host) uint64 {
		f := fnv.New64a()
		_, _ = f.Write([]byte(h.Address))
		return mix(f.Sum64() ^ server)
	}
	ordered := slices.Clone(hosts)
	slices.SortFunc(ordered, func(a, b Host) int {
		if (a.Zone == zone) != (b.Zone == zone) {
			if a.Zone == zone {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Address, b.Address))
	})
	out := make([]string, 0, n)
	for _, h := range ordered[:n] {
		out = append(out, h.Address)
	}
	return out
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
