package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/platform"
)

// simTiming keeps the ratios of the defaults but shortens the isolation limit, so that a run covers several.
var simTiming = Timing{
	Heartbeat: time.Second, LeaseTTL: 4 * time.Second, Renewal: 1500 * time.Millisecond, Retry: time.Second,
	Contact: 2200 * time.Millisecond, Fence: 3 * time.Second, Isolation: 8 * time.Second, ClockMargin: 0.05,
	HostsPerZone: 2,
}

const (
	simLength       = 45 * time.Second
	simStoreTimeout = 2 * time.Second
	simClockError   = 0.05
)

// sim runs the machines of a fleet against a store and a network with faults, on one seed.
type sim struct {
	rng    *rand.Rand
	policy policy
	now    time.Duration
	queue  eventQueue
	seq    int
	procs  []*proc
	cut    [][]bool
	store  simStore
	incs   uint64
	// stats counts changes of the epoch, and observed authority and exclusions by condition.
	stats     map[string]int
	violation string
}

// proc is one host; a restart replaces its machine.
type proc struct {
	index     int
	id        host.ID
	machine   *Machine
	rate      float64
	offset    time.Duration
	paused    time.Duration
	storeDown bool
}

type simStore struct {
	record   Record
	revision int64
	epochRev int64
	leases   map[platform.LeaseID]time.Duration
	// registered and sessions are the member records.
	registered map[hostKey]simRegistration
	sessions   map[hostKey]int64
	lastLease  platform.LeaseID
}

type simRegistration struct {
	Registration
	lease platform.LeaseID
}

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newSim(seed uint64, zones []int, p policy) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), policy: p, stats: map[string]int{},
		store: simStore{
			leases: map[platform.LeaseID]time.Duration{}, registered: map[hostKey]simRegistration{},
			sessions: map[hostKey]int64{},
		},
	}
	for z, n := range zones {
		for range n {
			i := len(s.procs)
			s.procs = append(s.procs, &proc{index: i, id: host.ID{
				Name: fmt.Sprintf("h%d", i), Addr: fmt.Sprintf("10.0.0.%d:7000", i), Zone: fmt.Sprintf("z%d", z),
			}})
		}
	}
	for _, p := range s.procs {
		s.cut = append(s.cut, make([]bool, len(s.procs)))
		begin := time.Duration(0)
		if s.rng.IntN(4) == 0 {
			begin = s.between(0, simLength/2)
		}
		s.after(begin, func() { s.start(p) })
	}
	s.after(s.between(0, 8*time.Second), s.fault)
	return s
}

func (s *sim) between(a, b time.Duration) time.Duration {
	return a + time.Duration(s.rng.Int64N(int64(b-a)))
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{s.now + d, s.seq, run})
}

func (s *sim) run() {
	for s.violation == "" && s.queue.Len() > 0 && s.now < simLength {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
		s.checkInvariant()
	}
}

// checkInvariant: no host that the store's epoch excludes can admit. Authority only decays between events, so a
// check after each event covers all moments.
func (s *sim) checkInvariant() {
	for _, p := range s.procs {
		if p.machine == nil || s.store.record.Contains(p.id) {
			continue
		}
		if p.machine.CanAdmit(p.local(s.now)) == nil {
			s.violation = fmt.Sprintf("at %v %v admits under epoch %d but is not in epoch %d of the store",
				s.now, p.id, p.machine.Epoch().Number, s.store.record.Number)
		}
	}
}

func (p *proc) local(now time.Duration) time.Time {
	return time.Unix(1_000_000, 0).Add(p.offset + time.Duration(float64(now)*p.rate))
}

// start begins a new process at the host's address.
func (s *sim) start(p *proc) {
	s.incs++
	p.id.Incarnation = s.incs
	p.rate = 1 - simClockError + 2*simClockError*s.rng.Float64()
	p.offset = s.between(0, time.Hour)
	p.paused = 0
	timing := simTiming
	if s.policy.noClockMargin {
		timing.ClockMargin = 0
	}
	m := NewMachine(p.id, timing, p.local(s.now))
	m.policy = s.policy
	p.machine = m
	m.Handle(p.local(s.now), Ready{})
	s.tick(p, m)
}

func (s *sim) tick(p *proc, m *Machine) {
	s.deliver(p, m, func() {
		s.event(p, m, Tick{})
		s.noteAuthority(p, m)
		s.after(500*time.Millisecond, func() { s.tick(p, m) })
	})
}

// deliver runs f on the process once it is not paused, unless it has died.
func (s *sim) deliver(p *proc, m *Machine, f func()) {
	if p.machine != m {
		return
	}
	if wait := p.paused - s.now; wait > 0 {
		s.after(wait, func() { s.deliver(p, m, f) })
		return
	}
	f()
}

func (s *sim) event(p *proc, m *Machine, e Event) {
	for _, a := range m.Handle(p.local(s.now), e) {
		s.act(p, m, a)
	}
}

// noteAuthority counts under which condition hosts admit, to show that the runs exercise all of them.
func (s *sim) noteAuthority(p *proc, m *Machine) {
	s.stats[string(m.condition(p.local(s.now)))]++
}

// delay is short as a rule and now and then so long that the message arrives out of date.
func (s *sim) delay() time.Duration {
	if s.rng.IntN(50) == 0 {
		return s.between(0, 5*time.Second)
	}
	return s.between(time.Millisecond, 40*time.Millisecond)
}

func (s *sim) act(p *proc, m *Machine, action Action) {
	switch a := action.(type) {
	case SendHeartbeat:
		sent := p.local(s.now)
		s.call(p, m, a.To.Addr, func(to *proc, tm *Machine) func() {
			reply, actions := tm.AnswerHeartbeat(to.local(s.now), a.Heartbeat)
			for _, next := range actions {
				s.act(to, tm, next)
			}
			return func() { s.event(p, m, HeartbeatReplied{To: a.To, Sent: sent, Reply: reply}) }
		})
	case AskReport:
		s.call(p, m, a.To.Addr, func(to *proc, tm *Machine) func() {
			reply := tm.AnswerReport(to.local(s.now), a.Request)
			return func() { s.event(p, m, ReportReplied{Ask: a, Reply: reply}) }
		})
	default:
		s.storeCall(p, m, action)
	}
}

// call sends a request to the process that listens on addr and brings the answer back.
func (s *sim) call(p *proc, m *Machine, addr string, answer func(*proc, *Machine) func()) {
	for _, to := range s.procs {
		tm := to.machine
		if to.id.Addr != addr || tm == nil {
			continue
		}
		s.after(s.delay(), func() {
			if s.cut[p.index][to.index] {
				return
			}
			s.deliver(to, tm, func() {
				back := answer(to, tm)
				s.after(s.delay(), func() {
					if !s.cut[to.index][p.index] {
						s.deliver(p, m, back)
					}
				})
			})
		})
	}
}

// storeCall makes a store call. Its effect may come late, and its answer may be lost after the effect.
func (s *sim) storeCall(p *proc, m *Machine, action Action) {
	kind := CallLease
	switch action.(type) {
	case ReadEpoch:
		kind = CallReadEpoch
	case ReadRegistry:
		kind = CallReadRegistry
	case ProposeEpoch:
		kind = CallPropose
		s.noteProposal(p, m)
	}
	answered := false
	finish := func(e Event) {
		s.deliver(p, m, func() {
			if !answered {
				answered = true
				s.event(p, m, e)
			}
		})
	}
	if p.storeDown {
		s.after(50*time.Millisecond, func() { finish(StoreFailed{Call: kind}) })
		return
	}
	sent := p.local(s.now)
	s.after(simStoreTimeout, func() { finish(StoreFailed{Call: kind}) })
	s.after(s.delay(), func() {
		answer := s.apply(p.id, sent, action)
		s.after(s.delay(), func() {
			if answer != nil && !p.storeDown && s.rng.IntN(30) != 0 {
				finish(answer())
			}
		})
	})
}

// noteProposal counts the conditions that exclusions rest on.
func (s *sim) noteProposal(p *proc, m *Machine) {
	switch now := p.local(s.now); {
	case len(m.isolatedHosts(now)) > 0:
		s.stats["c"]++
	case len(m.suspects) > 0:
		s.stats["b"]++
	}
}

// apply has the effect of a store call and returns its answer, made when the answer arrives.
func (s *sim) apply(id host.ID, sent time.Time, action Action) func() Event {
	st := &s.store
	st.revision++
	switch a := action.(type) {
	case AcquireLease:
		st.lastLease++
		lease := st.lastLease
		st.leases[lease] = s.now + simTiming.LeaseTTL
		var e Event = StoreFailed{Call: CallLease}
		// The registration follows in a second call.
		s.after(s.delay()/2, func() {
			if st.sessions[keyOf(id)] != a.Session && !s.policy.anyAcquisition {
				e = LeaseRefused{Session: st.sessions[keyOf(id)]}
			} else if st.leases[lease] > s.now {
				st.revision++
				st.registered[keyOf(id)] = simRegistration{Registration{Host: id, Ready: a.Ready}, lease}
				st.sessions[keyOf(id)] = st.revision
				e = LeaseAcquired{Sent: sent, Lease: lease, TTL: simTiming.LeaseTTL, Session: st.revision, Ready: a.Ready}
			}
		})
		return func() Event { return e }
	case RenewLease:
		if st.leases[a.Lease] <= s.now {
			return func() Event { return LeaseLost(a) }
		}
		st.leases[a.Lease] = s.now + simTiming.LeaseTTL
		return func() Event { return LeaseRenewed{Sent: sent, Lease: a.Lease, TTL: simTiming.LeaseTTL} }
	case ReadEpoch:
		e := EpochRead{Read: a, Found: st.epochRev > 0, Record: st.record, Revision: st.epochRev}
		return func() Event { return e }
	case ReadRegistry:
		r := Registry{Sessions: map[hostKey]int64{}}
		for _, p := range s.procs {
			for inc := range s.incs {
				k := hostKey{p.id.Name, inc + 1}
				if reg, ok := st.registered[k]; ok && st.leases[reg.lease] > s.now {
					r.Registered = append(r.Registered, reg.Registration)
				}
				if v, ok := st.sessions[k]; ok {
					r.Sessions[k] = v
				}
			}
		}
		return func() Event { return RegistryRead{Registry: r} }
	case ProposeEpoch:
		accepted := s.propose(a)
		revision := st.epochRev
		return func() Event { return EpochProposed{Proposal: a, Accepted: accepted, Revision: revision} }
	}
	return nil
}

func (s *sim) propose(a ProposeEpoch) bool {
	st := &s.store
	if a.Revision != st.epochRev {
		return false
	}
	for _, e := range a.Excluded {
		reg, ok := st.registered[keyOf(e.Host)]
		registered := ok && st.leases[reg.lease] > s.now
		if !s.policy.ignoreLease && (registered || st.sessions[keyOf(e.Host)] != e.Session) {
			return false
		}
	}
	for _, e := range a.Excluded {
		delete(st.sessions, keyOf(e.Host))
	}
	st.record, st.epochRev = a.Record, st.revision
	s.stats["epochs"]++
	s.stats["excluded"] += len(a.Excluded)
	s.stats["replaced"] += len(a.Replaced)
	return true
}
