package placement

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/rules"
	"github.com/boragecourse/boragecourse/test/standin/memnet"
)

// fleet is a set of services on an in-memory network.
type fleet struct {
	mu       sync.Mutex
	epoch    membership.Epoch
	snap     *config.Snapshot
	net      *memnet.Network
	engines  map[string]*fakeEngine
	services map[string]*Service
	metrics  *metrics.Registry
	cancel   map[string]context.CancelFunc
}

type member struct {
	f    *fleet
	self host.ID
}

func (m member) Self() host.ID                  { return m.self }
func (m member) CheckAuthority(time.Time) error { return nil }
func (m member) Reachable(host.ID) bool         { return true }
func (m member) Epoch() membership.Epoch {
	m.f.mu.Lock()
	defer m.f.mu.Unlock()
	return m.f.epoch
}

func (f *fleet) Current() *config.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snap
}
func (f *fleet) KeyedRequestsAllowed(string) error   { return nil }
func (f *fleet) Server(name, _ string) engine.Server { return f.engines[name] }
func (f *fleet) Service(_, _ string) engine.Service  { return nil }
func (f *fleet) setEpoch(number uint64, hosts ...host.ID) {
	f.change(func() { f.epoch = membership.Epoch{Number: number, Hosts: hosts} })
}
func (f *fleet) setRules(generation uint64, all []rules.Rule) {
	f.change(func() { f.snap = config.NewSnapshot(generation, all) })
}
func (f *fleet) change(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

// fakeEngine serves the calls of a home host.
type fakeEngine struct {
	engine.Server
	mu         sync.Mutex
	name       string
	load       engine.LoadReport
	holdings   []engine.Holding
	abortFails int
	events     []engine.CacheEvent
	blocks     []uint64
}

func (e *fakeEngine) Name() string { return e.name }
func (e *fakeEngine) Load(context.Context) (engine.LoadReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load, nil
}
func (e *fakeEngine) CacheEvents(_ context.Context, after uint64) ([]engine.CacheEvent, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.events, nil
}
func (e *fakeEngine) CacheBlocks(context.Context) ([]uint64, uint64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.blocks, 9, nil
}
func (e *fakeEngine) Holdings(context.Context) ([]engine.Holding, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]engine.Holding(nil), e.holdings...), nil
}
func (e *fakeEngine) Abort(_ context.Context, id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.abortFails > 0 {
		e.abortFails--
		return errors.New("injected failure of the abort")
	}
	for i, h := range e.holdings {
		if h.AttemptID == id {
			e.holdings = append(e.holdings[:i:i], e.holdings[i+1:]...)
			break
		}
	}
	return nil
}

func serverRules(slots int, decodes ...string) []rules.Rule {
	out := []rules.Rule{&rules.Server{Name: "p", Addr: "p", Zone: "z", Role: rules.RolePrefill, Model: "m", Slots: 1}}
	for _, d := range decodes {
		out = append(out, &rules.Server{Name: d, Addr: d, Zone: "z", Role: rules.RoleDecode, Model: "m", Slots: slots})
	}
	return out
}

var hostA, hostB = host.ID{Name: "a", Addr: "a:1", Zone: "z", Incarnation: 1}, host.ID{Name: "b", Addr: "b:1", Zone: "z", Incarnation: 2}

// inFleet runs a test in a synctest bubble with two running hosts.
func inFleet(t *testing.T, o Options, all []rules.Rule, test func(*GomegaWithT, *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{net: memnet.New(), engines: map[string]*fakeEngine{}, services: map[string]*Service{}, metrics: metrics.New(), cancel: map[string]context.CancelFunc{}}
		f.setRules(1, all)
		f.setEpoch(1, hostA, hostB)
		for name, s := range f.snap.Servers() {
			f.engines[name] = &fakeEngine{name: name, load: engine.LoadReport{Slots: s.Slots}}
		}
		f.net.SetDelay(func(string, string) time.Duration { return time.Millisecond })
		for _, h := range []host.ID{hostA, hostB} {
			node := f.net.Node(h.Addr)
			s := New(Deps{Viewer: member{f, h}, Dialer: node, Config: f, Engines: f, Metrics: f.metrics, Log: logr.Discard()}, o)
			s.Register(node)
			f.services[h.Name] = s
			ctx, cancel := context.WithCancel(context.Background())
			f.cancel[h.Name] = cancel
			go func() { _ = s.Serve(ctx) }()
		}
		time.Sleep(2 * time.Second)
		test(NewWithT(t), f)
		for _, cancel := range f.cancel {
			cancel()
		}
		time.Sleep(5 * time.Second)
	})
}

func (f *fleet) request(class rules.Class) Request {
	return Request{ID: "r", Workspace: "w", Weight: 100, Model: "m", Class: class, PromptTokens: 400, MaxOutputTokens: 50, Arrived: time.Now()}
}

func (f *fleet) place(h string, class rules.Class) (*Placement, error) {
	return f.services[h].Place(context.Background(), f.Current(), f.request(class))
}

func (f *fleet) HomeOf(server string) string {
	home, _ := HomeOf(f.epoch, f.snap.Servers()[server])
	return home.Name
}

func other(h string) string {
	if h == "a" {
		return "b"
	}
	return "a"
}

func (f *fleet) granted(server string) int {
	n := 0
	for _, s := range f.services {
		s.mu.Lock()
		if b := s.homeState.tables[server]; b != nil {
			n += len(b.queues[StageDecode].grants)
		}
		s.mu.Unlock()
	}
	return n
}

// Guards against two hosts together being granted more slots than a server has, and against slots that are not freed.
func TestHostsShareSlots(t *testing.T) {
	inFleet(t, Options{}, serverRules(4, "d"), func(g *GomegaWithT, f *fleet) {
		var held []*Placement
		var deadline *DeadlineError
		for i := range 12 {
			p, err := f.place([]string{"a", "b"}[i%2], rules.ClassLatency)
			if err != nil {
				g.Expect(errors.As(err, &deadline)).To(BeTrue(), "%v", err)
				g.Expect(deadline.RetryAfter).To(BeNumerically(">", 0))
				continue
			}
			p.ReleasePrefill()
			held = append(held, p)
		}
		g.Expect(held).To(HaveLen(4))
		g.Expect(f.granted("d")).To(Equal(4))
		for _, p := range held {
			p.ReleaseDecode()
			p.ReleaseDecode()
		}
		time.Sleep(100 * time.Millisecond)
		g.Expect(f.granted("d")).To(BeZero())
	})
}

// Guards against losing wait-class requests under several times the capacity, and against one host's queue being
// served before the other's: both workspaces have the same weight and enter through different hosts, one with four
// times the load.
func TestWaitClassIsFairAcrossHostsAndNotLost(t *testing.T) {
	inFleet(t, Options{}, serverRules(2, "d"), func(g *GomegaWithT, f *fleet) {
		var mu sync.Mutex
		var order []string
		var wg sync.WaitGroup
		run := func(h, workspace string, n int) {
			for range n {
				wg.Go(func() {
					r := f.request(rules.ClassWait)
					r.Workspace = workspace
					p, err := f.services[h].Place(context.Background(), f.Current(), r)
					g.Expect(err).NotTo(HaveOccurred())
					time.Sleep(20 * time.Millisecond)
					p.ReleasePrefill()
					mu.Lock()
					order = append(order, workspace)
					mu.Unlock()
					time.Sleep(time.Second)
					p.ReleaseDecode()
				})
			}
		}
		run("a", "flood", 80)
		run("b", "calm", 20)
		wg.Wait()
		g.Expect(order).To(HaveLen(100))
		calm := 0
		for _, w := range order[:40] {
			if w == "calm" {
				calm++
			}
		}
		g.Expect(calm).To(BeNumerically(">=", 18), "the calm workspace gets nearly half of the first slots: %v", order[:40])
	})
}

// Guards against reservations that are never released after their owner has stopped.
func TestReservationsOfUnreachableOwnersExpire(t *testing.T) {
	inFleet(t, Options{}, serverRules(4, "d"), func(g *GomegaWithT, f *fleet) {
		home := f.HomeOf("d")
		stopped := other(home)
		for range 3 {
			p, err := f.place(stopped, rules.ClassLatency)
			g.Expect(err).NotTo(HaveOccurred())
			p.ReleasePrefill()
		}
		time.Sleep(20 * time.Second)
		g.Expect(f.granted("d")).To(Equal(3), "reservations are renewed while the owner is running")
		f.cancel[stopped]()
		f.net.Node(stopped + ":1").SetDown(true)
		time.Sleep(15 * time.Second)
		g.Expect(f.granted("d")).To(BeZero())
		g.Expect(f.metrics.Count(metricReleased, metrics.L("reason", reasonOwnerGone))).To(BeEquivalentTo(3))
	})
}

// Guards against an unreachable home host that stops placement or delays each request by a timeout.
func TestFallbackWithoutHome(t *testing.T) {
	inFleet(t, Options{}, serverRules(8, "d"), func(g *GomegaWithT, f *fleet) {
		home := f.HomeOf("d")
		f.net.Partition("a:1", "b:1")
		began := time.Now()
		for range 5 {
			p, err := f.place(other(home), rules.ClassLatency)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(p.Decode.Name).To(Equal("d"))
			g.Expect(p.Transfer).To(BeNumerically(">", stageOverhead))
		}
		g.Expect(time.Since(began)).To(BeNumerically("<", 200*time.Millisecond))
		g.Expect(f.metrics.Count(metricFallbacks, metrics.L("reason", reasonHomeUnreachable))).To(BeEquivalentTo(5))
		_, err := f.place(other(home), rules.ClassLatency)
		g.Expect(err).To(HaveOccurred(), "one host uses only its part of the slots")
	})
}

// Guards against engine memory that stays held for an incarnation that left the epoch, also when an abort fails, and
// against aborts for incarnations that are still running or may be in a newer epoch.
func TestEnginesAreReleasedForExcludedIncarnations(t *testing.T) {
	inFleet(t, Options{}, serverRules(4, "d"), func(g *GomegaWithT, f *fleet) {
		e := f.engines["d"]
		e.mu.Lock()
		e.abortFails = 2
		for i, id := range []host.ID{hostA, hostB, {Name: "b", Incarnation: 77}} {
			e.holdings = append(e.holdings, engine.Holding{AttemptID: fmt.Sprint(i), Host: id.Name, Incarnation: id.Incarnation})
		}
		e.mu.Unlock()
		left := func() []string {
			e.mu.Lock()
			defer e.mu.Unlock()
			var ids []string
			for _, h := range e.holdings {
				ids = append(ids, h.AttemptID)
			}
			return ids
		}
		time.Sleep(5 * time.Second)
		g.Expect(left()).To(HaveLen(3))
		f.cancel["b"]()
		f.setEpoch(2, hostA)
		time.Sleep(5 * time.Second)
		g.Expect(left()).To(Equal([]string{"0", "2"}), "the excluded incarnation is released, repeated after failed aborts")
		time.Sleep(unknownOwnerGrace + 5*time.Second)
		g.Expect(left()).To(Equal([]string{"0"}), "an incarnation of no known epoch is released after the grace period")
	})
}

// Guards against a new home host that grants slots twice because it does not know the reservations of the old one.
func TestNewHomeHostRebuildsReservationTable(t *testing.T) {
	inFleet(t, Options{}, serverRules(4, "d"), func(g *GomegaWithT, f *fleet) {
		home := f.HomeOf("d")
		var held []*Placement
		for range 3 {
			p, err := f.place(other(home), rules.ClassLatency)
			g.Expect(err).NotTo(HaveOccurred())
			p.ReleasePrefill()
			held = append(held, p)
		}
		// The home host restarts: the same host with another incarnation and service, and without tables.
		f.services[home].mu.Lock()
		f.services[home].homeState.tables = map[string]*homeTable{}
		f.services[home].view.built = false
		f.services[home].mu.Unlock()
		time.Sleep(4 * time.Second)
		g.Expect(f.granted("d")).To(Equal(3))
		f.cancel[home]()
		f.setEpoch(2, map[string]host.ID{"a": hostA, "b": hostB}[other(home)])
		time.Sleep(time.Second)
		g.Expect(f.granted("d")).To(BeNumerically(">=", 3), "the owner is the new home host")
		for _, p := range held {
			p.ReleaseDecode()
		}
		g.Expect(f.services[other(home)].homeState.tables["d"].queues[StageDecode].grants).To(BeEmpty())
	})
}
