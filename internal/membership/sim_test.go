package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/kvstore"
)

// simTiming has about the ratios of the defaults but a shorter isolation limit, so that one run covers several.
var simTiming = Timing{
	Heartbeat: time.Second, LeaseTTL: 4 * time.Second, Renewal: 1500 * time.Millisecond, Retry: time.Second,
	ContactWindow: 2200 * time.Millisecond, FencingTime: 3 * time.Second, Isolation: 8 * time.Second, ClockMargin: 0.05,
	HostsPerZone: 2,
}

const (
	simLength       = 45 * time.Second
	simStoreTimeout = 2 * time.Second
	simClockError   = 0.05
)

// sim is a discrete-event simulation of a fleet's machines, with faults of the store, the network and the processes.
// The seed determines the whole run.
type sim struct {
	rng    *rand.Rand
	policy policy
	now    time.Duration
	queue  eventQueue
	seq    int
	hosts  []*simHost
	// partitioned[i][j] is set while messages from host i to host j are dropped.
	partitioned  [][]bool
	store        simStore
	incarnations uint64
	// stats counts epoch changes, and ticks and proposals by the condition that they are based on.
	stats     map[string]int
	violation string
}

// simHost is one host. A restart replaces its machine; machine is nil while the process is down.
type simHost struct {
	index       int
	id          host.ID
	machine     *Machine
	clockRate   float64
	clockOffset time.Duration
	pausedUntil time.Duration
	storeDown   bool
}

type simStore struct {
	record   Record
	revision int64
	epochRev int64
	leases   map[kvstore.LeaseID]time.Duration
	// registered and sessions hold the registrations and the revisions of the session records.
	registered map[hostKey]simRegistration
	sessions   map[hostKey]int64
	lastLease  kvstore.LeaseID
}

type simRegistration struct {
	Registration
	lease kvstore.LeaseID
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
			leases: map[kvstore.LeaseID]time.Duration{}, registered: map[hostKey]simRegistration{},
			sessions: map[hostKey]int64{},
		},
	}
	for z, n := range zones {
		for range n {
			i := len(s.hosts)
			s.hosts = append(s.hosts, &simHost{index: i, id: host.ID{
				Name: fmt.Sprintf("h%d", i), Addr: fmt.Sprintf("10.0.0.%d:7000", i), Zone: fmt.Sprintf("z%d", z),
			}})
		}
	}
	for _, p := range s.hosts {
		s.partitioned = append(s.partitioned, make([]bool, len(s.hosts)))
		begin := time.Duration(0)
		if s.rng.IntN(4) == 0 {
			begin = s.between(0, simLength/2)
		}
		s.after(begin, func() { s.start(p) })
	}
	s.after(s.between(0, 8*time.Second), s.injectFault)
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

// checkInvariant checks that no host outside of the store's epoch may admit requests. Between events authority can only
// end, so a check after each event covers all times.
func (s *sim) checkInvariant() {
	for _, p := range s.hosts {
		if p.machine == nil || s.store.record.Contains(p.id) {
			continue
		}
		if p.machine.CheckAuthority(p.localTime(s.now)) == nil {
			s.violation = fmt.Sprintf("at %v %v admits under epoch %d but is not in epoch %d of the store",
				s.now, p.id, p.machine.Epoch().Number, s.store.record.Number)
		}
	}
}

func (p *simHost) localTime(now time.Duration) time.Time {
	return time.Unix(1_000_000, 0).Add(p.clockOffset + time.Duration(float64(now)*p.clockRate))
}

// start starts a new process at the host's address.
func (s *sim) start(p *simHost) {
	s.incarnations++
	p.id.Incarnation = s.incarnations
	p.clockRate = 1 - simClockError + 2*simClockError*s.rng.Float64()
	p.clockOffset = s.between(0, time.Hour)
	p.pausedUntil = 0
	timing := simTiming
	if s.policy.noClockMargin {
		timing.ClockMargin = 0
	}
	m := NewMachine(p.id, timing, p.localTime(s.now))
	m.policy = s.policy
	p.machine = m
	m.Handle(p.localTime(s.now), Ready{})
	s.tick(p, m)
}

func (s *sim) tick(p *simHost, m *Machine) {
	s.deliver(p, m, func() {
		s.event(p, m, Tick{})
		s.countAuthority(p, m)
		s.after(500*time.Millisecond, func() { s.tick(p, m) })
	})
}

// deliver runs f once the process is not paused, unless it has stopped or been replaced by then.
func (s *sim) deliver(p *simHost, m *Machine, f func()) {
	if p.machine != m {
		return
	}
	if wait := p.pausedUntil - s.now; wait > 0 {
		s.after(wait, func() { s.deliver(p, m, f) })
		return
	}
	f()
}

func (s *sim) event(p *simHost, m *Machine, e Event) {
	for _, a := range m.Handle(p.localTime(s.now), e) {
		s.execute(p, m, a)
	}
}

// countAuthority counts the condition under which the host may admit requests, to show that the runs exercise all
// conditions.
func (s *sim) countAuthority(p *simHost, m *Machine) {
	s.stats[string(m.condition(p.localTime(s.now)))]++
}

// delay returns a network delay, which in 1 of 50 cases may be so long that the message is outdated when it arrives.
func (s *sim) delay() time.Duration {
	if s.rng.IntN(50) == 0 {
		return s.between(0, 5*time.Second)
	}
	return s.between(time.Millisecond, 40*time.Millisecond)
}

func (s *sim) execute(p *simHost, m *Machine, action Action) {
	switch a := action.(type) {
	case SendHeartbeat:
		sent := p.localTime(s.now)
		s.call(p, m, a.To.Addr, func(to *simHost, tm *Machine) func() {
			reply, actions := tm.AnswerHeartbeat(to.localTime(s.now), a.Heartbeat)
			for _, next := range actions {
				s.execute(to, tm, next)
			}
			return func() { s.event(p, m, HeartbeatReplied{To: a.To, Sent: sent, Reply: reply}) }
		})
	case RequestReport:
		s.call(p, m, a.To.Addr, func(to *simHost, tm *Machine) func() {
			reply := tm.AnswerReport(to.localTime(s.now), a.Request)
			return func() { s.event(p, m, ReportReplied{Sent: a, Reply: reply}) }
		})
	default:
		s.storeCall(p, m, action)
	}
}

// call sends a request to the process that listens on addr and delivers the reply.
func (s *sim) call(p *simHost, m *Machine, addr string, handle func(*simHost, *Machine) func()) {
	for _, to := range s.hosts {
		tm := to.machine
		if to.id.Addr != addr || tm == nil {
			continue
		}
		s.after(s.delay(), func() {
			if s.partitioned[p.index][to.index] {
				return
			}
			s.deliver(to, tm, func() {
				deliverReply := handle(to, tm)
				s.after(s.delay(), func() {
					if !s.partitioned[to.index][p.index] {
						s.deliver(p, m, deliverReply)
					}
				})
			})
		})
	}
}

// storeCall makes a store call. It may take effect late, and its result may be lost after it has taken effect.
func (s *sim) storeCall(p *simHost, m *Machine, action Action) {
	kind := CallLease
	switch action.(type) {
	case ReadEpoch:
		kind = CallReadEpoch
	case ReadRegistry:
		kind = CallReadRegistry
	case ProposeEpoch:
		kind = CallPropose
		s.countProposal(p, m)
	}
	finished := false
	finish := func(e Event) {
		s.deliver(p, m, func() {
			if !finished {
				finished = true
				s.event(p, m, e)
			}
		})
	}
	if p.storeDown {
		s.after(50*time.Millisecond, func() { finish(StoreFailed{Call: kind}) })
		return
	}
	sent := p.localTime(s.now)
	s.after(simStoreTimeout, func() { finish(StoreFailed{Call: kind}) })
	s.after(s.delay(), func() {
		result := s.apply(p.id, sent, action)
		s.after(s.delay(), func() {
			if result != nil && !p.storeDown && s.rng.IntN(30) != 0 {
				finish(result())
			}
		})
	})
}

// countProposal counts proposals by the kind of exclusion that they are based on.
func (s *sim) countProposal(p *simHost, m *Machine) {
	switch now := p.localTime(s.now); {
	case len(m.isolatedHosts(now)) > 0:
		s.stats["isolation"]++
	case len(m.suspects) > 0:
		s.stats["fencing"]++
	}
}

// apply applies a store call to the simulated store. It returns a function that gives the result at the time at which
// the result is delivered, or nil for no result.
func (s *sim) apply(id host.ID, sent time.Time, action Action) func() Event {
	st := &s.store
	st.revision++
	switch a := action.(type) {
	case AcquireLease:
		st.lastLease++
		lease := st.lastLease
		st.leases[lease] = s.now + simTiming.LeaseTTL
		var e Event = StoreFailed{Call: CallLease}
		// The registration is written by a second, later call.
		s.after(s.delay()/2, func() {
			if st.sessions[keyOf(id)] != a.Session && !s.policy.anyAcquisition {
				e = RegistrationRefused{Session: st.sessions[keyOf(id)]}
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
		for _, p := range s.hosts {
			for inc := range s.incarnations {
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
