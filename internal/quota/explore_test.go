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
	rushLength   = 200 * time.Millisecond
	// exploreForever is after the end of every exploration.
	exploreForever = time.Hour
	// Clock rates in thousandths: two clocks differ by less than 5%.
	slowestClock, fastestClock = 976, 1024
)

// trap is a broken variant that the exploration must catch.
type trap int

const (
	noTrap trap = iota
	trapRateLent
	trapNoCap
	trapStartsFull
	trapNoReducedCap
	trapNoHandOverWait
	trapShareRaisedAtOnce
)

// conditions vary from seed to seed, since a fleet under all faults at once admits too little to break a bound.
type conditions struct {
	// tokensPerSecond decides how much of the bucket fills during a term.
	tokensPerSecond          int64
	lossPercent, latePercent int
	late, learn, pause       time.Duration
	quiet                    time.Duration
	oneZone                  bool
	faultEvery, arrivalEvery time.Duration
	faults                   []int
	// usePercent is the largest part of a reservation that is used; the rest is returned.
	usePercent int64
	// fullPercent of the requests use all they reserved.
	fullPercent int
	// onlyLast directs all faults at the last host, whose requests use a tenth.
	onlyLast     bool
	longPercent  int
	largePercent int
}

func pick[T any](r *rand.Rand, values ...T) T { return values[r.IntN(len(values))] }

func newConditions(r *rand.Rand) conditions {
	c := conditions{
		tokensPerSecond: pick[int64](r, 50, 300, 1000, 3000),
		lossPercent:     pick(r, 0, 0, 3, 10),
		latePercent:     pick(r, 0, 3, 20),
		late:            pick(r, time.Second, 7*time.Second),
		learn:           pick(r, 50*time.Millisecond, time.Second, 6*time.Second),
		pause:           pick(r, time.Second, 8*time.Second, 33*time.Second),
		quiet:           pick(r, time.Second, 4*time.Second, 10*time.Second),
		oneZone:         r.IntN(2) == 0,
		faultEvery:      pick(r, 3*time.Second, 10*time.Second, 20*time.Second),
		arrivalEvery:    pick(r, 10*time.Millisecond, 50*time.Millisecond, 200*time.Millisecond),
		usePercent:      pick[int64](r, 10, 100),
		fullPercent:     pick(r, 20, 100, 100),
		longPercent:     pick(r, 0, 10, 50),
		largePercent:    pick(r, 0, 5, 50),
	}
	single := r.IntN(faultKinds + 1)
	for f := range faultKinds {
		if f == single || single == faultKinds && r.IntN(2) == 0 {
			c.faults = append(c.faults, f)
		}
	}
	return c
}

// world is the explored fleet: hosts with clocks of their own, a network, and an oracle for epochs that follows
// section 6 of the design: a host is excluded only when it is dead or has lost its authority.
type world struct {
	conditions
	r      *rand.Rand
	trap   trap
	length time.Duration
	rushes []time.Duration
	// quietUntil is the end of a time without requests, in which buckets fill.
	quietUntil time.Duration
	now        time.Duration
	queue      events
	seq        int
	hosts      []*simHost
	epoch      membership.Epoch
	snapshots  []*config.Snapshot
	admitted   []*simAdmission
}

type simHost struct {
	id     host.ID
	node   *Node
	rate   int64 // thousandths
	offset time.Duration
	alive  bool
	// fenced is set by the oracle when an epoch excludes the host, until the host knows a later one.
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

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, run})
}

func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.r.Int64N(int64(d) + 1)) }

func (w *world) chance(percent int) bool { return w.r.IntN(100) < percent }

// on runs f at a host, later if the host is paused, and never if that run of the host has ended.
func (w *world) on(h *simHost, d time.Duration, f func(now time.Time)) {
	incarnation := h.id.Incarnation
	w.after(d, func() {
		switch {
		case !h.alive || h.id.Incarnation != incarnation:
		case h.paused > w.now:
			w.on(h, h.paused-w.now, f)
		default:
			now := h.clock(w.now)
			if h.epoch.Number > 0 {
				h.node.Sync(now, h.epoch, h.snapshot, func(uint64) bool { return true })
			}
			w.spoil(h, now)
			f(now)
			w.unspoil(h)
		}
	})
}

func (h *simHost) clock(t time.Duration) time.Time {
	return time.Unix(1000, 0).Add(h.offset + t/1000*time.Duration(h.rate))
}

// send carries a message with loss, delay, reordering and duplication.
func (w *world) send(to *simHost, deliver func(now time.Time)) {
	copies := 1
	if w.chance(5) {
		copies = 2
	}
	for range copies {
		delay := w.upTo(5 * time.Millisecond)
		if w.chance(w.latePercent) {
			delay = w.upTo(w.late)
		}
		if !w.chance(w.lossPercent) {
			w.on(to, delay, deliver)
		}
	}
}

func newWorld(seed uint64, t trap, focus func(c *conditions)) *world {
	r := rand.New(rand.NewPCG(seed, 0))
	w := &world{r: r, trap: t, conditions: newConditions(r), length: 30 * time.Second}
	if focus != nil {
		focus(&w.conditions)
	}
	if w.pause > EntryTTL {
		w.length = 80 * time.Second
	}
	for i, zone := range []string{"za", "za", "zb", "zb", "zc"} {
		w.hosts = append(w.hosts, &simHost{id: host.ID{Name: fmt.Sprint("h", i), Addr: fmt.Sprint("h", i), Zone: zone}})
	}
	w.reconfigure()
	for _, h := range w.hosts {
		w.boot(h)
		w.epoch.Hosts = append(w.epoch.Hosts, h.id)
	}
	w.newEpoch(w.epoch.Hosts)
	w.after(0, w.arrival)
	w.after(w.upTo(w.faultEvery), w.fault)
	w.quietUntil = exploreForever
	w.plan()
	return w
}

// reconfigure gives the zones new weights; a zone without weight has no share.
func (w *world) reconfigure() {
	if w.oneZone && len(w.snapshots) == 0 {
		w.configure(1, 0, 0)
		return
	}
	w.configure(1, pick[int64](w.r, 0, 1, 5), pick[int64](w.r, 0, 1, 5))
}

// plan lays out the times at which a rush starts. A rush drains every bucket; a time with less traffic, a fault
// and a time without requests follow. Grants that are in flight at the fault meet the next rush with refilled
// buckets, which shows what is counted twice.
func (w *world) plan() {
	for t := w.upTo(12 * time.Second); t < w.length; {
		w.rushes = append(w.rushes, t)
		quietAt := t + w.upTo(4*time.Second)
		w.after(quietAt, func() {
			w.quietUntil = exploreForever
			if w.chance(80) {
				w.after(w.upTo(100*time.Millisecond), w.strike)
			}
		})
		t = quietAt + w.upTo(w.quiet)
		w.after(t, func() { w.quietUntil = 0 })
	}
}

// nextRush is the first start of a rush after the given time.
func (w *world) nextRush(after time.Duration) time.Duration {
	for _, t := range w.rushes {
		if t > after {
			return t
		}
	}
	return w.length
}

func (w *world) configure(weights ...int64) {
	all := []rules.Rule{&rules.Workspace{Name: "ws", Rate: w.tokensPerSecond, Burst: exploreBurst}}
	for i, weight := range weights {
		all = append(all, &rules.Zone{Name: []string{"za", "zb", "zc"}[i], Share: weight})
	}
	s := config.NewSnapshot(uint64(len(w.snapshots)+1), all)
	w.snapshots = append(w.snapshots, s)
	for _, h := range w.hosts {
		w.after(w.upTo(w.learn), func() {
			if h.alive && (h.snapshot == nil || h.snapshot.Generation < s.Generation) {
				h.snapshot = s
			}
		})
	}
}

// boot starts a new run of a host.
func (w *world) boot(h *simHost) {
	h.id.Incarnation++
	h.node = NewNode(h.id)
	h.rate = slowestClock + w.r.Int64N(fastestClock-slowestClock+1)
	h.offset = w.upTo(time.Hour)
	h.alive, h.fenced, h.paused, h.excludedBy = true, false, 0, 0
	h.epoch, h.snapshot = membership.Epoch{}, w.snapshots[len(w.snapshots)-1]
	w.on(h, w.upTo(tickInterval), func(now time.Time) { w.tick(h, now) })
}

func (w *world) newEpoch(hosts []host.ID) {
	w.epoch = membership.Epoch{Number: w.epoch.Number + 1, Hosts: slices.Clone(hosts)}
	e := w.epoch
	for _, h := range w.hosts {
		if !e.Contains(h.id) {
			h.fenced, h.excludedBy = true, e.Number
		}
		incarnation := h.id.Incarnation
		w.after(w.upTo(w.learn), func() {
			if h.alive && h.id.Incarnation == incarnation && h.epoch.Number < e.Number {
				h.epoch = e
				// A host that was excluded admits again only after it has read a later epoch that contains it. An
				// older one that reaches it late gives no authority.
				h.fenced = e.Number <= h.excludedBy || h.node.leaving
			}
		})
	}
}

func (w *world) tick(h *simHost, now time.Time) {
	w.on(h, tickInterval, func(now time.Time) { w.tick(h, now) })
	epoch := h.node.Epoch().Number
	for _, to := range h.node.AskHandOver() {
		peer := w.find(to)
		w.send(peer, func(now time.Time) {
			answer := peer.node.HandOver(now, h.id, epoch)
			w.send(h, func(now time.Time) { h.node.TakeHandOver(now, to, epoch, answer) })
		})
	}
	for _, b := range h.node.Settlements(now, nil) {
		lender := w.find(b.To)
		w.send(lender, func(now time.Time) {
			lender.node.Settle(now, clone(b.Entries))
			w.send(h, func(now time.Time) { h.node.Settled(now, b) })
		})
	}
	if w.chance(2) {
		h.node.Sweep(now, func(string) bool { return false })
	}
}

func (w *world) find(id host.ID) *simHost {
	return w.hosts[slices.IndexFunc(w.hosts, func(h *simHost) bool { return h.id.Name == id.Name })]
}

// run explores and returns the first admission that breaks the bound, or nil.
func (w *world) run() error {
	for len(w.queue) > 0 && w.queue[0].at < w.length {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	return w.check()
}

// check looks at all windows at once: a bucket that starts full and refills at the rate of the fastest clock
// must cover every admission. It goes below zero exactly if some window holds more than its bound.
func (w *world) check() error {
	const unit = nano * 1000
	full := exploreBurst * unit
	level, last := full, time.Duration(0)
	for i, a := range w.admitted {
		level = min(full, level+w.tokensPerSecond*int64(a.at-last)*fastestClock)
		last = a.at
		tokens := a.reserved
		if a.settled {
			tokens = a.used
		}
		if level -= tokens * unit; level < 0 {
			return fmt.Errorf("admission %d of %d at %v: %d tokens over", i, len(w.admitted), a.at, -level/unit)
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
