package main

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/quota"
	"github.com/boragecourse/boragecourse/internal/rules"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
	"github.com/boragecourse/boragecourse/test/standin/memnet"
)

// One-way delays of the simulated network within a zone and between zones.
const (
	zoneDelay  = 200 * time.Microsecond
	crossDelay = 500 * time.Microsecond
	// contactTime is the time until a failed or partitioned host counts as unreachable.
	contactTime = 2 * time.Second
)

// fleet runs the quota service of every host over an in-memory network.
type fleet struct {
	net   *memnet.Network
	snap  *config.Snapshot
	mu    sync.Mutex
	epoch membership.Epoch
	nodes []*node
}

// node is one host. It implements membership.Viewer and config.Reader for its own quota service.
type node struct {
	fleet       *fleet
	id          host.ID
	service     *quota.Service
	cancel      context.CancelFunc
	done        chan struct{}
	unreachable map[string]bool
	failed      bool
}

func newFleet(hosts []host.ID, workspaces []*rules.Workspace) *fleet {
	f := &fleet{net: memnet.New(), epoch: membership.Epoch{Number: 1, Hosts: hosts}}
	zones := map[string]string{}
	var all []rules.Rule
	for _, h := range hosts {
		if zones[h.Addr] = h.Zone; len(f.epoch.InZone(h.Zone)) > 0 && f.epoch.InZone(h.Zone)[0] == h {
			all = append(all, &rules.Zone{Name: h.Zone, Share: 1})
		}
	}
	for _, w := range workspaces {
		all = append(all, w)
	}
	f.snap = config.NewSnapshot(1, all)
	f.net.SetDelay(func(from, to string) time.Duration {
		if zones[from] == zones[to] {
			return zoneDelay
		}
		return crossDelay
	})
	for _, id := range hosts {
		f.start(id)
	}
	return f
}

func (f *fleet) start(id host.ID) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{fleet: f, id: id, cancel: cancel, done: make(chan struct{}), unreachable: map[string]bool{}}
	link := f.net.Node(id.Addr)
	n.service = quota.New(quota.Options{Viewer: n, Spread: n, Dialer: link, Config: n, Log: logr.Discard()})
	peerv1.RegisterQuotaServer(link, n.service)
	f.nodes = append(f.nodes, n)
	go func() {
		defer close(n.done)
		_ = n.service.Serve(ctx)
	}()
}

func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.cancel()
		<-n.done
	}
}

// kill stops a host. It counts as unreachable after contactTime.
func (f *fleet) kill(n *node) {
	f.mu.Lock()
	n.failed = true
	f.mu.Unlock()
	f.net.Node(n.id.Addr).SetDown(true)
	n.cancel()
	time.AfterFunc(contactTime, func() { f.setUnreachable(n, true) })
}

// exclude starts a new epoch without the host.
func (f *fleet) exclude(n *node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := membership.Epoch{Number: f.epoch.Number + 1}
	for _, h := range f.epoch.Hosts {
		if h != n.id {
			next.Hosts = append(next.Hosts, h)
		}
	}
	f.epoch = next
}

// partition isolates a host from all others until the returned function is called.
func (f *fleet) partition(n *node) func() {
	for _, o := range f.nodes {
		if o != n {
			f.net.Partition(n.id.Addr, o.id.Addr)
		}
	}
	time.AfterFunc(contactTime, func() { f.setUnreachable(n, true) })
	return func() {
		f.net.HealAll()
		f.setUnreachable(n, false)
	}
}

// setUnreachable sets whether a host and all others see each other as unreachable.
func (f *fleet) setUnreachable(n *node, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range f.nodes {
		if o != n {
			o.unreachable[n.id.Name] = unreachable
			n.unreachable[o.id.Name] = unreachable
		}
	}
}

// Self implements membership.Viewer.
func (n *node) Self() host.ID { return n.id }

// Epoch implements membership.Viewer.
func (n *node) Epoch() membership.Epoch {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return n.fleet.epoch
}

// CheckAuthority implements membership.Viewer.
func (n *node) CheckAuthority(time.Time) error { return nil }

// Reachable implements membership.Viewer.
func (n *node) Reachable(id host.ID) bool {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return !n.unreachable[id.Name]
}

// EpochKnownByMajority implements quota.EpochSpread.
func (n *node) EpochKnownByMajority(uint64) bool { return true }

// Current implements config.Reader.
func (n *node) Current() *config.Snapshot { return n.fleet.snap }

// KeyedRequestsAllowed implements config.Reader.
func (n *node) KeyedRequestsAllowed(string) error { return nil }
