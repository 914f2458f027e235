package duty

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	kv "github.com/boragecourse/boragecourse/internal/platform"
)

const (
	handover = 3 * time.Second
	// longestCall is the longest time from sending a command to its arrival.
	longestCall = 900 * time.Millisecond
)

func noDelay() time.Duration { return 0 }

func held(process string, id kv.LeaseID) record {
	return record{holder: kv.KeyValue{Key: holderKey, Value: []byte(process), Lease: id, ModRevision: 7}}
}

// Guards against a claim before the store was read, against a duty that another process holds, and against acting on a
// lease that may have lapsed while the process was suspended.
func TestMachine(t *testing.T) {
	g := NewWithT(t)
	m := &machine{process: "a/1", handover: handover}
	g.Expect(m.step(0, record{}, false, noDelay)).To(Equal(doNothing))
	g.Expect(m.step(0, held("b/1", 4), true, noDelay)).To(Equal(doNothing))
	g.Expect(m.step(time.Second, record{}, true, noDelay)).To(Equal(doClaim))
	m.granted(time.Second, 5, leaseTTL, record{})
	g.Expect(m.mayAct(time.Second)).To(BeFalse(), "the claim is not confirmed")
	m.claimed(time.Second, 7)
	g.Expect(m.mayAct(time.Second)).To(BeTrue(), "nobody held the duty before")
	g.Expect(m.step(time.Second+renewEvery, held("a/1", 5), true, noDelay)).To(Equal(doRenew))
	g.Expect(m.mayAct(time.Second + leaseTTL)).To(BeFalse())
	g.Expect(m.step(time.Second+leaseTTL, held("a/1", 5), true, noDelay)).To(Equal(doNothing))
	g.Expect(m.lease).To(BeZero())
}

// Guards against a new holder whose first command follows that of the last one too soon, and against a wait of the
// first holder ever.
func TestNewHolderWaitsForTheLastOne(t *testing.T) {
	g := NewWithT(t)
	for last, quiet := range map[string]bool{"": false, "a": true, "b": true} {
		m := &machine{process: "a/2", handover: handover}
		r := record{}
		if last != "" {
			r.last.Value = []byte(last)
		}
		m.granted(0, 5, leaseTTL, r)
		m.claimed(0, 9)
		g.Expect(m.mayAct(handover)).To(Equal(!quiet), "last holder %q", last)
		g.Expect(m.mayAct(handover + callMargin)).To(BeTrue())
	}
}

// Guards against a claim without an answer that is taken as failed although it was carried out, or as done although it
// was not.
func TestClaimWithoutAnswer(t *testing.T) {
	g := NewWithT(t)
	m := &machine{process: "a/1"}
	m.granted(0, 5, leaseTTL, record{})
	m.step(tick, held("a/1", 5), true, noDelay)
	g.Expect(m.fence).To(Equal(int64(7)))

	m = &machine{process: "a/1"}
	m.granted(0, 5, leaseTTL, record{})
	m.step(renewEvery, record{}, true, noDelay)
	g.Expect(m.lease).To(BeZero())
}

// world plays several hosts against a store whose answers are lost or whose claims are carried out late, with
// suspended hosts, and records when commands arrive.
type world struct {
	rng      *rand.Rand
	now      time.Duration
	revision int64
	leases   map[kv.LeaseID]time.Duration
	record   record
	late     []func()
	lateAt   []time.Duration
	hosts    []*simulated
	commands []command
}

type simulated struct {
	machine
	host           string
	seen           record
	suspendedUntil time.Duration
	cutUntil       time.Duration
}

type command struct {
	at    time.Duration
	host  string
	fence int64
}

func (w *world) expire() {
	if id := w.record.holder.Lease; id != 0 && w.leases[id] <= w.now {
		w.record.holder = kv.KeyValue{}
		w.revision++
	}
}

func (w *world) claim(h *simulated) {
	asked, seen := w.now, h.seen
	w.revision++
	id := kv.LeaseID(w.revision)
	w.leases[id] = w.now + leaseTTL
	h.granted(asked, id, leaseTTL, seen)
	txn := func() bool {
		w.expire()
		if w.record.holder.Value != nil || w.record.last.ModRevision != seen.last.ModRevision || w.leases[id] <= w.now {
			return false
		}
		w.revision++
		w.record = record{
			holder: kv.KeyValue{Value: []byte(h.process), Lease: id, ModRevision: w.revision},
			last:   kv.KeyValue{Value: []byte(h.host), ModRevision: w.revision},
		}
		return true
	}
	switch w.rng.IntN(4) {
	case 0: // The answer is lost.
		txn()
	case 1: // Carried out late, and the answer is lost.
		w.late = append(w.late, func() { txn() })
		w.lateAt = append(w.lateAt, w.now+time.Duration(w.rng.IntN(6000))*time.Millisecond)
	default:
		if txn() {
			h.claimed(w.now, w.revision)
		} else {
			h.lose()
			w.leases[id] = w.now
		}
	}
}

func (w *world) renew(h *simulated) {
	if w.leases[h.lease] <= w.now {
		h.lose()
		return
	}
	w.leases[h.lease] = w.now + leaseTTL
	h.renewed(w.now, leaseTTL)
}

func (w *world) step(h *simulated) {
	if w.now < h.suspendedUntil {
		return
	}
	if w.rng.IntN(60) == 0 {
		h.suspendedUntil = w.now + time.Duration(w.rng.IntN(15000))*time.Millisecond
		return
	}
	if w.rng.IntN(60) == 0 {
		h.cutUntil = w.now + time.Duration(w.rng.IntN(15000))*time.Millisecond
	}
	reachable := w.now >= h.cutUntil
	if reachable && w.rng.IntN(2) == 0 {
		h.seen = w.record
	}
	if w.rng.IntN(80) == 0 {
		// The process is replaced by another one of the same host; one that is stopped gives the duty up.
		if h.lease != 0 && reachable && w.rng.IntN(2) == 0 {
			w.leases[h.lease] = w.now
			w.expire()
		}
		h.machine = machine{process: h.process + "'", handover: h.handover}
	}
	switch h.step(w.now, h.seen, true, func() time.Duration { return time.Duration(w.rng.IntN(800)) * time.Millisecond }) {
	case doClaim:
		if reachable {
			w.claim(h)
		}
	case doRenew:
		if reachable {
			w.renew(h)
		}
	}
	if reachable && h.lease != 0 && w.rng.IntN(4) == 0 {
		if w.renew(h); h.mayAct(w.now) {
			arrives := w.now + time.Duration(w.rng.Int64N(int64(longestCall)))
			w.commands = append(w.commands, command{at: arrives, host: h.host, fence: h.fence})
		}
	}
}

func play(seed uint64, handover time.Duration) (commands []command) {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), leases: map[kv.LeaseID]time.Duration{}}
	for _, name := range []string{"a", "b", "c"} {
		w.hosts = append(w.hosts, &simulated{host: name, machine: machine{process: name, handover: handover}})
	}
	for ; w.now < 3*time.Minute; w.now += 100 * time.Millisecond {
		w.expire()
		for i := 0; i < len(w.late); i++ {
			if w.lateAt[i] <= w.now {
				w.late[i]()
				w.late, w.lateAt = append(w.late[:i], w.late[i+1:]...), append(w.lateAt[:i], w.lateAt[i+1:]...)
				i--
			}
		}
		for _, h := range w.hosts {
			w.step(h)
		}
	}
	return w.commands
}

// takesTurns tells whether commands of two hosts arrive within the handover time, or with falling fencing numbers.
func takesTurns(commands []command) bool {
	for i, a := range commands {
		for _, b := range commands[i+1:] {
			near := max(a.at-b.at, b.at-a.at) < handover
			falls := b.at > a.at && b.fence < a.fence || a.at > b.at && a.fence < b.fence
			if a.host != b.host && (near || falls || a.fence == b.fence) {
				return true
			}
		}
	}
	return false
}

// Guards against two hosts that command in turns, under suspensions, cuts, restarts, and claims that are carried out
// late. A holder that does not wait for the last one is caught.
func TestHostsDoNotTakeTurns(t *testing.T) {
	g := NewWithT(t)
	caught, commands := 0, 0
	for seed := range uint64(300) {
		played := play(seed, handover)
		commands += len(played)
		g.Expect(takesTurns(played)).To(BeFalse(), "seed %d", seed)
		if takesTurns(play(seed, -callMargin)) {
			caught++
		}
	}
	g.Expect(commands).To(BeNumerically(">", 10_000))
	g.Expect(caught).To(BeNumerically(">", 0), "a holder that does not wait is not caught")
}
