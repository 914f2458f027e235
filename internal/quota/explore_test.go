package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/rules"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

const (
	exploreBurst = int64(1000)
	peakLength   = 200 * time.Millisecond
	// neverReached is later than the end of every exploration.
	neverReached = time.Hour
	// Clock rates in thousandths: two clocks differ by less than 5%.
	slowestClock, fastestClock = 976, 1024
)

// mutation is a faulty variant of the quota logic that the exploration must detect.
type mutation int

const (
	noMutation mutation = iota
	mutationBorrowerRefills
	mutationNoCapacityRule
	mutationStartsFull
	mutationIgnoresInherited
	mutationSkipsAcknowledgements
	mutationImmediateShareIncrease
)

// conditions vary with the seed, since a fleet under all faults at once admits too little to exceed the bound.
type conditions struct {
	// tokensPerSecond determines how much of the bucket is refilled during a term.
	tokensPerSecond                       int64
	lossPercent, latePercent              int
	lateDelay, propagationDelay, maxPause time.Duration
	maxIdle                               time.Duration
	oneZone                               bool
	faultEvery, arrivalEvery              time.Duration
	faults                                []int
	// usePercent is the largest part of a reservation that is used; the rest is returned.
	usePercent int64
	// fullPercent of the requests use all tokens that they reserved.
	fullPercent int
	// faultsOnLastHost directs all faults at the last host, whose requests use at most usePercent of their tokens.
	faultsOnLastHost bool
	longPercent      int
	largePercent     int
}

func pick[T any](r *rand.Rand, values ...T) T { return values[r.IntN(len(values))] }

func newConditions(r *rand.Rand) conditions {
	c := conditions{
		tokensPerSecond:  pick[int64](r, 50, 300, 1000, 3000),
		lossPercent:      pick(r, 0, 0, 3, 10),
		latePercent:      pick(r, 0, 3, 20),
		lateDelay:        pick(r, time.Second, 7*time.Second),
		propagationDelay: pick(r, 50*time.Millisecond, time.Second, 6*time.Second),
		maxPause:         pick(r, time.Second, 8*time.Second, 33*time.Second),
		maxIdle:          pick(r, time.Second, 4*time.Second, 10*time.Second),
		oneZone:          r.IntN(2) == 0,
		faultEvery:       pick(r, 3*time.Second, 10*time.Second, 20*time.Second),
		arrivalEvery:     pick(r, 10*time.Millisecond, 50*time.Millisecond, 200*time.Millisecond),
		usePercent:       pick[int64](r, 10, 100),
		fullPercent:      pick(r, 20, 100, 100),
		longPercent:      pick(r, 0, 10, 50),
		largePercent:     pick(r, 0, 5, 50),
	}
	single := r.IntN(faultKinds + 1)
	for f := range faultKinds {
		if f == single || single == faultKinds && r.IntN(2) == 0 {
			c.faults = append(c.faults, f)
		}
	}
	return c
}

// simulation is the explored fleet: hosts with their own clocks, a network, and an oracle that changes epochs. As
// package membership does, the oracle excludes a host only when it has crashed or has lost its authority.
type simulation struct {
	conditions
	r        *rand.Rand
	mutation mutation
	length   time.Duration
	peaks    []time.Duration
	// idleUntil is the end of a period without requests, in which buckets refill.
	idleUntil time.Duration
	now       time.Duration
	queue     events
	seq       int
	hosts     []*simHost
	epoch     membership.Epoch
	snapshots []*config.Snapshot
	admitted  []*simAdmission
}

type simHost struct {
	id     host.ID
	node   *HostState
	rate   int64 // thousandths
	offset time.Duration
	alive  bool
	// fenced is set by the oracle when an epoch excludes the host, until the host has received a later one.
	fenced     bool
	excludedBy uint64
	paused     time.Duration
	epoch      membership.Epoch
	snapshot   *config.Snapshot
}

type simAdmission struct {
	at             time.Duration
	reserved, used int64
	settled        bool
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func (sim *simulation) after(d time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.queue, event{sim.now + d, sim.seq, run})
}

func (sim *simulation) upTo(d time.Duration) time.Duration {
	return time.Duration(sim.r.Int64N(int64(d) + 1))
}

func (sim *simulation) chance(percent int) bool { return sim.r.IntN(100) < percent }

// on runs f at a host after d: later while the host is paused, and not at all if that incarnation of the host has
// ended.
func (sim *simulation) on(h *simHost, d time.Duration, f func(now time.Time)) {
	incarnation := h.id.Incarnation
	sim.after(d, func() {
		switch {
		case !h.alive || h.id.Incarnation != incarnation:
		case h.paused > sim.now:
			sim.on(h, h.paused-sim.now, f)
		default:
			now := h.clock(sim.now)
			if h.epoch.Number > 0 {
				h.node.Sync(now, h.epoch, h.snapshot, func(uint64) bool { return true })
			}
			sim.applyMutation(h, now)
			f(now)
			sim.revertMutation(h)
		}
	})
}

func (h *simHost) clock(t time.Duration) time.Time {
	return time.Unix(1000, 0).Add(h.offset + t/1000*time.Duration(h.rate))
}

// send delivers a message with loss, delay, reordering and duplication.
func (sim *simulation) send(to *simHost, deliver func(now time.Time)) {
	copies := 1
	if sim.chance(5) {
		copies = 2
	}
	for range copies {
		delay := sim.upTo(5 * time.Millisecond)
		if sim.chance(sim.latePercent) {
			delay = sim.upTo(sim.lateDelay)
		}
		if !sim.chance(sim.lossPercent) {
			sim.on(to, delay, deliver)
		}
	}
}

func newSimulation(seed uint64, m mutation, focus func(c *conditions)) *simulation {
	r := rand.New(rand.NewPCG(seed, 0))
	sim := &simulation{r: r, mutation: m, conditions: newConditions(r), length: 30 * time.Second}
	if focus != nil {
		focus(&sim.conditions)
	}
	if sim.maxPause > EntryTTL {
		sim.length = 80 * time.Second
	}
	for i, zone := range []string{"za", "za", "zb", "zb", "zc"} {
		sim.hosts = append(sim.hosts, &simHost{id: host.ID{Name: fmt.Sprint("h", i), Addr: fmt.Sprint("h", i), Zone: zone}})
	}
	sim.reconfigure()
	for _, h := range sim.hosts {
		sim.boot(h)
		sim.epoch.Hosts = append(sim.epoch.Hosts, h.id)
	}
	sim.newEpoch(sim.epoch.Hosts)
	sim.after(0, sim.arrival)
	sim.after(sim.upTo(sim.faultEvery), sim.scheduleFaults)
	sim.idleUntil = neverReached
	sim.planPeaks()
	return sim
}

// reconfigure gives the zones new weights. A zone with weight zero has no share.
func (sim *simulation) reconfigure() {
	if sim.oneZone && len(sim.snapshots) == 0 {
		sim.configure(1, 0, 0)
		return
	}
	sim.configure(1, pick[int64](sim.r, 0, 1, 5), pick[int64](sim.r, 0, 1, 5))
}

// planPeaks schedules the load peaks. A peak empties every bucket; a period of lower load, a fault and a period
// without requests follow. Grants in flight at the fault are then still spendable in the next peak, when the
// buckets are full again, so tokens that are counted twice exceed the bound.
func (sim *simulation) planPeaks() {
	for t := sim.upTo(12 * time.Second); t < sim.length; {
		sim.peaks = append(sim.peaks, t)
		idleFrom := t + sim.upTo(4*time.Second)
		sim.after(idleFrom, func() {
			sim.idleUntil = neverReached
			if sim.chance(80) {
				sim.after(sim.upTo(100*time.Millisecond), sim.injectFault)
			}
		})
		t = idleFrom + sim.upTo(sim.maxIdle)
		sim.after(t, func() { sim.idleUntil = 0 })
	}
}

// nextPeak returns the first start of a peak after the given time.
func (sim *simulation) nextPeak(after time.Duration) time.Duration {
	for _, t := range sim.peaks {
		if t > after {
			return t
		}
	}
	return sim.length
}

func (sim *simulation) configure(weights ...int64) {
	all := []rules.Rule{&rules.Workspace{Name: "ws", Rate: sim.tokensPerSecond, Burst: exploreBurst}}
	for i, weight := range weights {
		all = append(all, &rules.Zone{Name: []string{"za", "zb", "zc"}[i], Share: weight})
	}
	s := config.NewSnapshot(uint64(len(sim.snapshots)+1), all)
	sim.snapshots = append(sim.snapshots, s)
	for _, h := range sim.hosts {
		sim.after(sim.upTo(sim.propagationDelay), func() {
			if h.alive && (h.snapshot == nil || h.snapshot.Generation < s.Generation) {
				h.snapshot = s
			}
		})
	}
}

// boot starts a new incarnation of a host.
func (sim *simulation) boot(h *simHost) {
	h.id.Incarnation++
	h.node = NewHostState(h.id)
	h.rate = slowestClock + sim.r.Int64N(fastestClock-slowestClock+1)
	h.offset = sim.upTo(time.Hour)
	h.alive, h.fenced, h.paused, h.excludedBy = true, false, 0, 0
	h.epoch, h.snapshot = membership.Epoch{}, sim.snapshots[len(sim.snapshots)-1]
	sim.on(h, sim.upTo(tickInterval), func(now time.Time) { sim.tick(h, now) })
}

func (sim *simulation) newEpoch(hosts []host.ID) {
	sim.epoch = membership.Epoch{Number: sim.epoch.Number + 1, Hosts: slices.Clone(hosts)}
	e := sim.epoch
	for _, h := range sim.hosts {
		if !e.Contains(h.id) {
			h.fenced, h.excludedBy = true, e.Number
		}
		incarnation := h.id.Incarnation
		sim.after(sim.upTo(sim.propagationDelay), func() {
			if h.alive && h.id.Incarnation == incarnation && h.epoch.Number < e.Number {
				h.epoch = e
				// An excluded host admits again only after it has received a later epoch that contains it. An older
				// epoch that arrives late gives no authority.
				h.fenced = e.Number <= h.excludedBy || h.node.leaving
			}
		})
	}
}

func (sim *simulation) tick(h *simHost, now time.Time) {
	sim.on(h, tickInterval, func(now time.Time) { sim.tick(h, now) })
	epoch := h.node.Epoch().Number
	for _, to := range h.node.HandOverTargets() {
		peer := sim.find(to)
		sim.send(peer, func(now time.Time) {
			reply := peer.node.HandOver(now, h.id, epoch)
			sim.send(h, func(now time.Time) { h.node.ApplyHandOver(now, to, epoch, reply) })
		})
	}
	for _, b := range h.node.Settlements(now, nil) {
		lender := sim.find(b.To)
		sim.send(lender, func(now time.Time) {
			lender.node.Settle(now, clone(b.Entries))
			sim.send(h, func(now time.Time) { h.node.RecordSettlementAck(now, b) })
		})
	}
	if sim.chance(2) {
		h.node.Sweep(now, func(string) bool { return false })
	}
}

func (sim *simulation) find(id host.ID) *simHost {
	return sim.hosts[slices.IndexFunc(sim.hosts, func(h *simHost) bool { return h.id.Name == id.Name })]
}

// run executes the simulation and returns the first admission that exceeds the bound, or nil.
func (sim *simulation) run() error {
	for len(sim.queue) > 0 && sim.queue[0].at < sim.length {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.run()
	}
	return sim.check()
}

// check covers all windows in one pass: a bucket that starts full and refills at the rate of the fastest clock must
// cover every admission. Its level falls below zero exactly if the admissions of some window exceed the bound.
func (sim *simulation) check() error {
	const unit = nano * 1000
	full := exploreBurst * unit
	level, last := full, time.Duration(0)
	for i, a := range sim.admitted {
		level = min(full, level+sim.tokensPerSecond*int64(a.at-last)*fastestClock)
		last = a.at
		tokens := a.reserved
		if a.settled {
			tokens = a.used
		}
		if level -= tokens * unit; level < 0 {
			return fmt.Errorf("admission %d of %d at %v: %d tokens over the bound", i, len(sim.admitted), a.at, -level/unit)
		}
	}
	return nil
}

func clone(entries []*peerv1.GrantSettlement) []*peerv1.GrantSettlement {
	var out []*peerv1.GrantSettlement
	for _, e := range entries {
		out = append(out, proto.Clone(e).(*peerv1.GrantSettlement))
	}
	return out
}
