package membership_test

import (
	"context"
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

// daemon is one run of a host in a test fleet.
type daemon struct {
	*membership.Service
	store *memstore.Client
	node  *memnet.Node
	stop  func()
}

// fleet is a set of hosts on one store and one network, in a synctest bubble.
type fleet struct {
	t      *testing.T
	g      *WithT
	store  *memstore.Store
	net    *memnet.Network
	timing membership.Timing
	hosts  map[string]*daemon
	runs   uint64
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{
		t: t, g: NewWithT(t), store: memstore.New(), net: memnet.New(),
		timing: membership.DefaultTiming(), hosts: map[string]*daemon{},
	}
	f.net.SetDelay(func(_, _ string) time.Duration { return 500 * time.Microsecond })
	return f
}

// start runs a host at the address of its name.
func (f *fleet) start(name, zone string) *daemon {
	f.runs++
	id := host.ID{Name: name, Addr: name + ":7000", Zone: zone, Incarnation: f.runs}
	d := &daemon{store: f.store.Client(), node: f.net.Node(id.Addr)}
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

// startAll starts hosts named by their zone and place: startAll(2, 1) starts a1, a2 and b1.
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

// Guards against a host that joins being left out of the epoch, or admitting without being in it.
func TestJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stopAll()
		f.startAll(2, 2, 1)
		for _, d := range f.hosts {
			f.g.Expect(names(d.Epoch())).To(Equal([]string{"a1", "a2", "b1", "b2", "c1"}))
			f.g.Expect(d.CanAdmit(time.Now())).To(Succeed())
			f.g.Expect(d.EpochKnownByMajority(d.Epoch().Number)).To(BeTrue())
		}
	})
}
