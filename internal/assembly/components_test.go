package assembly

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/internal/membership"
	standin "github.com/boragecourse/boragecourse/test/standin/engine"
	"github.com/boragecourse/boragecourse/test/standin/memnet"
	"github.com/boragecourse/boragecourse/test/standin/memstore"
)

// countingHosts is a list of two live hosts and one that is leaving. It counts how often it is read.
type countingHosts struct{ reads atomic.Int64 }

func (c *countingHosts) ListHosts(context.Context) ([]kvstore.HostEntry, error) {
	c.reads.Add(1)
	return []kvstore.HostEntry{
		{Name: "h1", Addr: "10.0.0.1:1", State: kvstore.HostLive}, {Name: "h2", Addr: "10.0.0.2:1", State: kvstore.HostLive},
		{Name: "h3", Addr: "10.0.0.3:1", State: kvstore.HostLeaving},
	}, nil
}

func parts(t *testing.T, hosts kvstore.Hosts, seeds ...string) *Components {
	t.Helper()
	p, err := New(Dependencies{
		Self:  host.ID{Name: "h1", Addr: "10.0.0.1:1", Zone: "a", Incarnation: 1},
		Store: memstore.New().Client(), Hosts: hosts, SeedPeers: seeds, Dialer: memnet.New().Node("10.0.0.1:1"),
		Engines: standin.NewFleet(), Log: logr.Discard(), Timing: membership.DefaultTiming(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// Guards against a daemon without an epoch that finds no peer, and against one that polls itself or leaving hosts.
func TestHostsAreKnownBeforeTheFirstEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		g.Expect(parts(t, &countingHosts{}).listedHosts()).To(Equal([]host.ID{{Name: "h2", Addr: "10.0.0.2:1"}}))
		g.Expect(parts(t, &countingHosts{}, "10.0.0.9:1").listedHosts()).To(Equal([]host.ID{{Name: "10.0.0.9:1", Addr: "10.0.0.9:1"}}))
	})
}

// Guards against reading the host list with every poll of the configuration once the epoch is known, which costs
// store reads and delays the confirmation of keys during a store outage.
func TestHostListIsNotReadWithAnEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		list := &countingHosts{}
		p := parts(t, list)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = p.Members.Serve(ctx) }()
		p.Members.SetReady()
		time.Sleep(10 * time.Second)
		g.Expect(p.Members.Epoch().Number).NotTo(BeZero())
		cancel()
		<-done
		before := list.reads.Load()
		g.Expect(p.listedHosts()).To(BeEmpty())
		g.Expect(list.reads.Load()).To(Equal(before))
	})
}
