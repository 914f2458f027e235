package leader

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/kvstore"
)

const (
	handover = 3 * time.Second
	// longestCall is the longest time from sending a command to its arrival.
	longestCall = 900 * time.Millisecond
)

func noDelay() time.Duration { return 0 }

func leaderRecord(process string, id kvstore.LeaseID) record {
	return record{leader: kvstore.KeyValue{Key: leaderKey, Value: []byte(process), Lease: id, ModRevision: 7}}
}

// Guards against a claim before the store has been read or while another process is the leader, and against commands
// under a lease that may have expired while the process was suspended.
func TestClaimAndCommandConditions(t *testing.T) {
	g := NewWithT(t)
	m := &machine{process: "a/1", handover: handover}
	g.Expect(m.step(0, record{}, false, noDelay)).To(Equal(actionNone))
	g.Expect(m.step(0, leaderRecord("b/1", 4), true, noDelay)).To(Equal(actionNone))
	g.Expect(m.step(time.Second, record{}, true, noDelay)).To(Equal(actionClaim))
	m.recordGrant(time.Second, 5, leaseTTL, record{})
	g.Expect(m.mayCommand(time.Second)).To(BeFalse(), "the claim is not confirmed")
	m.recordClaim(time.Second, 7)
	g.Expect(m.mayCommand(time.Second)).To(BeTrue(), "there was no leader before")
	g.Expect(m.step(time.Second+renewInterval, leaderRecord("a/1", 5), true, noDelay)).To(Equal(actionRenew))
	g.Expect(m.mayCommand(time.Second + leaseTTL)).To(BeFalse())
	g.Expect(m.step(time.Second+leaseTTL, leaderRecord("a/1", 5), true, noDelay)).To(Equal(actionNone))
	g.Expect(m.lease).To(BeZero())
}

// Guards against a new leader whose first command follows the last one of the previous leader too soon, and against a
// wait when there was no leader before.
func TestNewLeaderWaitsForPreviousLeader(t *testing.T) {
	g := NewWithT(t)
	for last, mustWait := range map[string]bool{"": false, "a": true, "b": true} {
		m := &machine{process: "a/2", handover: handover}
		r := record{}
		if last != "" {
			r.last.Value = []byte(last)
		}
		m.recordGrant(0, 5, leaseTTL, r)
		m.recordClaim(0, 9)
		g.Expect(m.mayCommand(handover)).To(Equal(!mustWait), "last leader %q", last)
		g.Expect(m.mayCommand(handover + callMargin)).To(BeTrue())
	}
}

// Guards against treating a claim whose reply was lost as failed although it was carried out, or as successful although
// it was not.
func TestClaimWithLostReply(t *testing.T) {
	g := NewWithT(t)
	m := &machine{process: "a/1"}
	m.recordGrant(0, 5, leaseTTL, record{})
	m.step(stepInterval, leaderRecord("a/1", 5), true, noDelay)
	g.Expect(m.fence).To(Equal(int64(7)))

	m = &machine{process: "a/1"}
	m.recordGrant(0, 5, leaseTTL, record{})
	m.step(renewInterval, record{}, true, noDelay)
	g.Expect(m.lease).To(BeZero())
}

// Guards against a first command too soon after that of a leader whose record was lost when the store was restored.
func TestNewLeaderWaitsWhenRecordIsLost(t *testing.T) {
	g := NewWithT(t)
	seen := &machine{process: "a/1", handover: handover}
	seen.step(0, record{last: kvstore.KeyValue{Key: lastKey, Value: []byte("b")}}, true, func() time.Duration { return time.Hour })
	for _, m := range []*machine{seen, {process: "a/2", handover: handover, restarted: true}} {
		m.recordGrant(0, 5, leaseTTL, record{})
		m.recordClaim(0, 9)
		g.Expect(m.mayCommand(handover)).To(BeFalse())
		g.Expect(m.mayCommand(handover + callMargin)).To(BeTrue())
	}
}

// simulation models several hosts that can be suspended, restarted or cut off by a partition, and a store that loses
// replies, carries out claims late and, with restores, is restored from older copies. It records when commands arrive.
type simulation struct {
	rng *rand.Rand
	now time.Duration
	// restores is set if the store is restored. backupRecord and backupRevision are the copy.
	restores       bool
	backupRecord   record
	backupRevision int64

	revision   int64
	leases     map[kvstore.LeaseID]time.Duration
	record     record
	lateClaims []func()
	lateAt     []time.Duration
	hosts      []*simulatedHost
	commands   []command
}

type simulatedHost struct {
	machine
	host             string
	seen             record
	suspendedUntil   time.Duration
	partitionedUntil time.Duration
}

type command struct {
	at    time.Duration
	host  string
	fence int64
}

func (w *simulation) expire() {
	if id := w.record.leader.Lease; id != 0 && w.leases[id] <= w.now {
		w.record.leader = kvstore.KeyValue{}
		w.revision++
	}
}

// restore replaces the content of the store by that of the last backup, now and then.
func (w *simulation) restore() {
	switch w.rng.IntN(300) {
	case 0:
		w.backupRecord, w.backupRevision = w.record, w.revision
	case 1:
		era := kvstore.Era(w.revision) + 1
		inEra := func(number int64) int64 { return kvstore.InEra(era, kvstore.WithoutEra(number)) }
		w.record, w.revision = w.backupRecord, era<<40|kvstore.WithoutEra(w.backupRevision)
		for _, item := range []*kvstore.KeyValue{&w.record.leader, &w.record.last} {
			item.ModRevision, item.Lease = inEra(item.ModRevision), kvstore.LeaseID(inEra(int64(item.Lease)))
		}
		clear(w.leases)
	}
}

func (w *simulation) claim(h *simulatedHost) {
	sentAt, seen := w.now, h.seen
	w.revision++
	id := kvstore.LeaseID(w.revision)
	w.leases[id] = w.now + leaseTTL
	h.recordGrant(sentAt, id, leaseTTL, seen)
	txn := func() bool {
		w.expire()
		if w.record.leader.Value != nil || w.record.last.ModRevision != seen.last.ModRevision || w.leases[id] <= w.now {
			return false
		}
		w.revision++
		w.record = record{
			leader: kvstore.KeyValue{Value: []byte(h.process), Lease: id, ModRevision: w.revision},
			last:   kvstore.KeyValue{Value: []byte(h.host), ModRevision: w.revision},
		}
		return true
	}
	switch w.rng.IntN(4) {
	case 0: // The reply is lost.
		txn()
	case 1: // The claim is carried out late and the reply is lost.
		w.lateClaims = append(w.lateClaims, func() { txn() })
		w.lateAt = append(w.lateAt, w.now+time.Duration(w.rng.IntN(6000))*time.Millisecond)
	default:
		if txn() {
			h.recordClaim(w.now, w.revision)
		} else {
			h.reset()
			w.leases[id] = w.now
		}
	}
}

func (w *simulation) renew(h *simulatedHost) {
	if w.leases[h.lease] <= w.now {
		h.reset()
		return
	}
	w.leases[h.lease] = w.now + leaseTTL
	h.recordRenewal(w.now, leaseTTL)
}

func (w *simulation) step(h *simulatedHost) {
	if w.now < h.suspendedUntil {
		return
	}
	if w.rng.IntN(60) == 0 {
		h.suspendedUntil = w.now + time.Duration(w.rng.IntN(15000))*time.Millisecond
		return
	}
	if w.rng.IntN(60) == 0 {
		h.partitionedUntil = w.now + time.Duration(w.rng.IntN(15000))*time.Millisecond
	}
	reachable := w.now >= h.partitionedUntil
	if reachable && w.rng.IntN(2) == 0 {
		h.seen = w.record
	}
	if w.rng.IntN(80) == 0 {
		// The process is replaced by another one of the same host. A process that is shut down revokes its lease, and
		// one that crashes does not.
		if h.lease != 0 && reachable && w.rng.IntN(2) == 0 {
			w.leases[h.lease] = w.now
			w.expire()
		}
		h.machine = machine{process: h.process + "'", handover: h.handover, restarted: true}
	}
	switch h.step(w.now, h.seen, true, func() time.Duration { return time.Duration(w.rng.IntN(800)) * time.Millisecond }) {
	case actionClaim:
		if reachable {
			w.claim(h)
		}
	case actionRenew:
		if reachable {
			w.renew(h)
		}
	}
	if reachable && h.lease != 0 && w.rng.IntN(4) == 0 {
		if w.renew(h); h.mayCommand(w.now) {
			arrives := w.now + time.Duration(w.rng.Int64N(int64(longestCall)))
			w.commands = append(w.commands, command{at: arrives, host: h.host, fence: h.fence})
		}
	}
}

// simulate runs three hosts for three minutes and returns the commands that they sent.
func simulate(seed uint64, handover time.Duration, restores bool) (commands []command) {
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), leases: map[kvstore.LeaseID]time.Duration{}, restores: restores}
	for _, name := range []string{"a", "b", "c"} {
		w.hosts = append(w.hosts, &simulatedHost{host: name, machine: machine{process: name, handover: handover}})
	}
	for ; w.now < 3*time.Minute; w.now += 100 * time.Millisecond {
		if w.restores {
			w.restore()
		}
		w.expire()
		for i := 0; i < len(w.lateClaims); i++ {
			if w.lateAt[i] <= w.now {
				w.lateClaims[i]()
				w.lateClaims, w.lateAt = append(w.lateClaims[:i], w.lateClaims[i+1:]...), append(w.lateAt[:i], w.lateAt[i+1:]...)
				i--
			}
		}
		for _, h := range w.hosts {
			w.step(h)
		}
	}
	return w.commands
}

// commandsOverlap reports whether commands of two hosts arrive within the handover time of each other, with the same
// fencing token, or with decreasing fencing tokens.
func commandsOverlap(commands []command) bool {
	for i, a := range commands {
		for _, b := range commands[i+1:] {
			near := max(a.at-b.at, b.at-a.at) < handover
			decreasing := b.at > a.at && b.fence < a.fence || a.at > b.at && a.fence < b.fence
			if a.host != b.host && (near || decreasing || a.fence == b.fence) {
				return true
			}
		}
	}
	return false
}

// Guards against two hosts that both send commands as the leader, during suspensions, partitions, restarts and claims
// that are carried out late. As a check of the simulation itself, a leader that does not wait for the previous
// one must be detected.
func TestOnlyOneHostCommandsAtATime(t *testing.T) {
	for name, restores := range map[string]bool{"store keeps its history": false, "store is restored": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			detected, commands := 0, 0
			for seed := range uint64(300) {
				sent := simulate(seed, handover, restores)
				commands += len(sent)
				g.Expect(commandsOverlap(sent)).To(BeFalse(), "seed %d", seed)
				if commandsOverlap(simulate(seed, -callMargin, restores)) {
					detected++
				}
			}
			g.Expect(commands).To(BeNumerically(">", 10_000))
			g.Expect(detected).To(BeNumerically(">", 0), "a leader that does not wait is not detected")
		})
	}
}
