package membership_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/test/standin/memnet"
	"github.com/boragecourse/boragecourse/test/standin/memstore"
)

// testHost is one incarnation of a host in a test fleet.
type testHost struct {
	*membership.Service
	store *memstore.Client
	node  *memnet.Node
	stop  func()
}

// fleet is a set of hosts that share an in-memory store and network, in a synctest bubble.
type fleet struct {
	t      *testing.T
	g      *WithT
	store  *memstore.Store
	net    *memnet.Network
	timing membership.Timing
	hosts  map[string]*testHost
	runs   uint64
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{
		t: t, g: NewWithT(t), store: memstore.New(), net: memnet.New(),
		timing: membership.DefaultTiming(), hosts: map[string]*testHost{},
	}
	f.net.SetDelay(func(_, _ string) time.Duration { return 500 * time.Microsecond })
	return f
}

// start runs a new incarnation of a host. Its address is its name with port 7000.
func (f *fleet) start(name, zone string) *testHost {
	f.runs++
	id := host.ID{Name: name, Addr: name + ":7000", Zone: zone, Incarnation: f.runs}
	d := &testHost{store: f.store.Client(), node: f.net.Node(id.Addr)}
	d.node.SetDown(false)
	s, err := membership.New(membership.Options{
		Self: id, Timing: f.timing, Store: d.store, Dialer: d.node, Log: logr.Discard(),
	})
	f.g.Expect(err).NotTo(HaveOccurred())
	d.Service = s
	s.Register(d.node)
	ctx, cancel := context.WithCancel(f.t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(ctx) }()
	d.stop = func() {
		d.node.SetDown(true)
		cancel()
		<-done
	}
	s.SetReady()
	f.hosts[name] = d
	return d
}

// startAll starts hosts named by their zone and index, startAll(2, 1) for example a1, a2 and b1, and waits until they
// have joined.
func (f *fleet) startAll(perZone ...int) {
	for z, n := range perZone {
		for i := range n {
			f.start(fmt.Sprintf("%c%d", 'a'+z, i+1), string(rune('a'+z)))
		}
	}
	time.Sleep(10 * time.Second)
}

func (f *fleet) stopAll() {
	for _, d := range f.hosts {
		d.stop()
	}
}

func names(e membership.Epoch) []string {
	var ns []string
	for _, h := range e.Hosts {
		ns = append(ns, h.Name)
	}
	return ns
}

// Guards against hosts that stay out of the epoch, may not admit requests or do not all know the epoch after a cold
// start.
func TestJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stopAll()
		f.startAll(2, 2, 1)
		for _, d := range f.hosts {
			f.g.Expect(names(d.Epoch())).To(Equal([]string{"a1", "a2", "b1", "b2", "c1"}))
			f.g.Expect(d.CheckAuthority(time.Now())).To(Succeed())
			f.g.Expect(d.EpochKnownByMajority(d.Epoch().Number)).To(BeTrue())
		}
	})
}

// expectEpoch checks that the hosts in seenBy have an epoch with exactly the wanted hosts.
func (f *fleet) expectEpoch(seenBy []string, want ...string) {
	f.t.Helper()
	for _, name := range seenBy {
		f.g.Expect(names(f.hosts[name].Epoch())).To(Equal(want), "seen by %s", name)
	}
}

// expectAdmit checks that all the named hosts may admit requests now, or that none of them may.
func (f *fleet) expectAdmit(can bool, hosts ...string) {
	f.t.Helper()
	for _, name := range hosts {
		err := f.hosts[name].CheckAuthority(time.Now())
		if can {
			f.g.Expect(err).NotTo(HaveOccurred(), name)
		} else {
			var noAuthority *membership.NoAuthorityError
			f.g.Expect(errors.As(err, &noAuthority)).To(BeTrue(), name)
		}
	}
}

func (f *fleet) expectCondition(want membership.AuthorityCondition, hosts ...string) {
	f.t.Helper()
	for _, name := range hosts {
		f.g.Expect(f.hosts[name].Status().Condition).To(Equal(want), name)
	}
}

func (f *fleet) storeDown(down bool, hosts ...string) {
	for _, name := range hosts {
		f.hosts[name].store.SetDown(down)
	}
}

// partition drops the traffic between the inside and the outside hosts.
func (f *fleet) partition(inside, outside []string) {
	for _, a := range inside {
		for _, b := range outside {
			f.net.Partition(a+":7000", b+":7000")
		}
	}
}

// expectAdmitFor checks twice a second, for the given time, that all the named hosts may admit requests.
func (f *fleet) expectAdmitFor(d time.Duration, hosts ...string) {
	f.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		f.expectAdmit(true, hosts...)
	}
}

var fiveHosts = []string{"a1", "a2", "b1", "b2", "c1"}

// scenarios run on a fleet of five hosts in zones of 2, 2 and 1 with the default timing.
var scenarios = []struct {
	// name is the failure that the scenario guards against.
	name string
	run  func(f *fleet)
}{
	{"a crashed host keeps its share of the quota", func(f *fleet) {
		f.hosts["a2"].stop()
		time.Sleep(15 * time.Second)
		f.expectEpoch([]string{"a1", "b1", "b2", "c1"}, "a1", "b1", "b2", "c1")
		f.expectAdmitFor(time.Minute, "a1", "b1", "b2", "c1")
	}},
	{"the last host of a zone is never excluded, since no zone peer can fence it", func(f *fleet) {
		f.hosts["c1"].stop()
		time.Sleep(2 * time.Minute)
		f.expectEpoch([]string{"a1", "b2"}, fiveHosts...)
		time.Sleep(5 * time.Minute)
		f.expectEpoch([]string{"a1", "b2"}, "a1", "a2", "b1", "b2")
	}},
	{"the minority that remains after crashes loses its authority, or excludes the crashed hosts", func(f *fleet) {
		for _, name := range []string{"a2", "b2", "c1"} {
			f.hosts[name].stop()
		}
		f.expectAdmitFor(10*time.Minute, "a1", "b1")
		f.expectCondition(membership.ConditionLease, "a1", "b1")
		f.g.Expect(f.hosts["a1"].Status().MajorityLost).To(BeTrue())
		f.expectEpoch([]string{"a1", "b1"}, fiveHosts...)
	}},
	{"a restarted host cannot join until its previous incarnation is fenced", func(f *fleet) {
		old := f.hosts["b1"].Self()
		f.hosts["b1"].stop()
		f.start("b1", "b")
		time.Sleep(3 * time.Second)
		f.expectEpoch(fiveHosts, fiveHosts...)
		f.expectAdmit(true, fiveHosts...)
		e := f.hosts["a1"].Epoch()
		f.g.Expect(e.Contains(old)).To(BeFalse())
		f.g.Expect(f.hosts["a1"].EpochConverged(old, e.Number)).To(BeTrue())
	}},
	{"a simultaneous restart of all hosts leaves no majority that can propose an epoch", func(f *fleet) {
		for _, name := range fiveHosts {
			f.hosts[name].stop()
		}
		for _, name := range fiveHosts {
			f.start(name, name[:1])
		}
		time.Sleep(10 * time.Second)
		f.expectEpoch(fiveHosts, fiveHosts...)
		f.expectAdmit(true, fiveHosts...)
	}},
	{"a host that makes no progress keeps its authority after its lease and contacts have expired", func(f *fleet) {
		f.hosts["a1"].stop()
		f.expectAdmit(true, "a1")
		time.Sleep(5 * time.Second)
		f.expectAdmit(false, "a1")
	}},
	{"a store outage stops admission, or excludes hosts from the epoch", func(f *fleet) {
		f.storeDown(true, fiveHosts...)
		f.expectAdmitFor(10*time.Minute, fiveHosts...)
		f.expectCondition(membership.ConditionMajority, fiveHosts...)
		f.storeDown(false, fiveHosts...)
		f.expectAdmitFor(20*time.Second, fiveHosts...)
		f.expectEpoch(fiveHosts, fiveHosts...)
	}},
	{"a host that crashes during a store outage is excluded before the store is back, or never", func(f *fleet) {
		f.storeDown(true, fiveHosts...)
		time.Sleep(time.Minute)
		f.hosts["a2"].stop()
		f.expectAdmitFor(time.Minute, "a1", "b1", "b2", "c1")
		f.expectEpoch([]string{"a1", "b1"}, fiveHosts...)
		f.storeDown(false, "a1", "b1", "b2", "c1")
		time.Sleep(10 * time.Second)
		f.expectEpoch([]string{"a1", "b1", "b2", "c1"}, "a1", "b1", "b2", "c1")
	}},
	{"a partitioned zone stops admission at once, or continues beyond the isolation limit", func(f *fleet) {
		zone, rest := []string{"a1", "a2"}, []string{"b1", "b2", "c1"}
		f.partition(zone, rest)
		f.storeDown(true, zone...)
		f.expectAdmitFor(4*time.Minute+40*time.Second, fiveHosts...)
		f.expectCondition(membership.ConditionZone, zone...)
		f.expectCondition(membership.ConditionLease, rest...)
		f.expectEpoch(fiveHosts, fiveHosts...)
		time.Sleep(25 * time.Second)
		f.expectAdmit(false, zone...)
		f.expectEpoch(rest, fiveHosts...)
		time.Sleep(time.Minute)
		f.expectEpoch(rest, rest...)
		f.net.HealAll()
		f.storeDown(false, zone...)
		time.Sleep(15 * time.Second)
		f.expectEpoch(fiveHosts, fiveHosts...)
		f.expectAdmit(true, fiveHosts...)
	}},
	{"a partitioned host continues admission after its zone peer has fenced it", func(f *fleet) {
		f.partition([]string{"a1"}, []string{"a2", "b1", "b2", "c1"})
		f.storeDown(true, "a1")
		time.Sleep(15 * time.Second)
		f.expectEpoch([]string{"a2", "b1"}, "a2", "b1", "b2", "c1")
		f.expectAdmit(false, "a1")
		f.net.HealAll()
		time.Sleep(2 * time.Second)
		f.expectAdmit(false, "a1")
		f.expectEpoch([]string{"a1"}, "a2", "b1", "b2", "c1")
	}},
	{"a drained host stays in the epoch, or continues admission", func(f *fleet) {
		d := f.hosts["b2"]
		f.g.Expect(d.Leave(f.t.Context())).To(Succeed())
		f.expectAdmit(false, "b2")
		d.stop()
		time.Sleep(3 * time.Second)
		f.expectEpoch([]string{"a1", "a2", "b1", "c1"}, "a1", "a2", "b1", "c1")
		f.start("b2", "b")
		time.Sleep(3 * time.Second)
		f.expectEpoch(fiveHosts, fiveHosts...)
	}},
	{"a drain during a store outage does not return at its deadline", func(f *fleet) {
		f.storeDown(true, "b2")
		ctx, cancel := context.WithTimeout(f.t.Context(), 5*time.Second)
		defer cancel()
		var leaveErr *membership.LeaveError
		f.g.Expect(errors.As(f.hosts["b2"].Leave(ctx), &leaveErr)).To(BeTrue())
		f.expectAdmit(false, "b2")
	}},
	{"a lost store reply to the compare-and-swap leaves a joining host out, or adds it twice", func(f *fleet) {
		d := f.hosts["c1"]
		f.g.Expect(d.Leave(f.t.Context())).To(Succeed())
		d.stop()
		time.Sleep(3 * time.Second)
		before := f.hosts["a1"].Epoch().Number
		d = f.start("c1", "c")
		// The host registers at once and proposes at a later tick, so its next write is the epoch.
		time.Sleep(100 * time.Millisecond)
		f.g.Expect(d.Epoch().Contains(d.Self())).To(BeFalse())
		d.store.LoseResponses(1)
		time.Sleep(5 * time.Second)
		f.expectEpoch(fiveHosts, fiveHosts...)
		f.expectAdmit(true, fiveHosts...)
		f.g.Expect(d.Epoch().Number).To(Equal(before + 1))
	}},
	{"a lost store reply to an exclusion is treated as a failure, and the exclusion is repeated", func(f *fleet) {
		before := f.hosts["a1"].Epoch().Number
		f.hosts["a2"].stop()
		rest := []string{"a1", "b1", "b2", "c1"}
		for _, name := range rest {
			f.hosts[name].store.LoseResponses(1)
		}
		time.Sleep(15 * time.Second)
		f.expectEpoch(rest, rest...)
		f.expectAdmit(true, rest...)
		f.g.Expect(f.hosts["a1"].Epoch().Number).To(Equal(before + 1))
	}},
	{"subscribers miss the newest epoch", func(f *fleet) {
		epochs := f.hosts["a1"].Subscribe(f.t.Context())
		f.g.Expect((<-epochs).Hosts).To(HaveLen(5))
		f.hosts["b1"].stop()
		f.g.Expect((<-epochs).Hosts).To(HaveLen(4))
	}},
}

func TestScenarios(t *testing.T) {
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				defer f.stopAll()
				f.startAll(2, 2, 1)
				f.expectEpoch(fiveHosts, fiveHosts...)
				sc.run(f)
			})
		})
	}
}

// Guards against a loss of authority during a store outage in a fleet so large that the regular heartbeats reach less
// than a majority within the contact window.
func TestLargeFleetAdmitsDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stopAll()
		f.startAll(2, 12)
		var all []string
		for name := range f.hosts {
			all = append(all, name)
		}
		f.storeDown(true, all...)
		f.expectAdmitFor(time.Minute, all...)
		f.expectCondition(membership.ConditionMajority, all...)
	})
}
