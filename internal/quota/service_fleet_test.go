package quota_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/quota"
	"github.com/boragecourse/boragecourse/internal/rules"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
	"github.com/boragecourse/boragecourse/test/standin/memnet"
)

// fleet runs a quota service on every host over an in-memory network, inside a synctest bubble.
type fleet struct {
	*GomegaWithT
	t     *testing.T
	net   *memnet.Network
	mu    sync.Mutex
	epoch membership.Epoch
	snap  *config.Snapshot
	hosts map[string]*node
	// admitted holds every reservation with its time, for the check of all windows.
	admitted []admission
}

type admission struct {
	at     time.Time
	tokens int64
}

// node is one host of the fleet. It implements membership.Viewer, EpochSpread and config.Reader.
type node struct {
	f         *fleet
	id        host.ID
	svc       *quota.Service
	metrics   *metrics.Registry
	cancel    context.CancelFunc
	done      chan struct{}
	authority error
	// unreachable holds the names of the hosts without recent direct replies.
	unreachable map[string]bool
}

var errNoAuthority = errors.New("no authority")

func (n *node) Self() host.ID { return n.id }

func (n *node) Epoch() membership.Epoch {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	return n.f.epoch
}

func (n *node) CheckAuthority(time.Time) error {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	return n.authority
}

func (n *node) Reachable(id host.ID) bool {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	return !n.unreachable[id.Name]
}

func (n *node) EpochKnownByMajority(uint64) bool { return true }

func (n *node) Current() *config.Snapshot {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	return n.f.snap
}

func (n *node) KeyedRequestsAllowed(string) error { return nil }

const (
	testRate  = int64(1000)
	testBurst = int64(20000)
	// warmUp is long enough to fill every bucket from empty.
	warmUp = 40 * time.Second
)

func rulesFor(burst int64, zones ...string) []rules.Rule {
	all := []rules.Rule{&rules.Workspace{Name: "ws", Rate: testRate, Burst: burst}}
	for _, z := range zones {
		all = append(all, &rules.Zone{Name: z, Share: 1})
	}
	return all
}

// newFleet starts the given hosts with a configuration of four zones of equal weight.
func newFleet(t *testing.T, hosts ...host.ID) *fleet {
	f := &fleet{GomegaWithT: NewWithT(t), t: t, net: memnet.New(), hosts: map[string]*node{}}
	f.net.SetDelay(func(_, _ string) time.Duration { return 500 * time.Microsecond })
	f.snap = config.NewSnapshot(1, rulesFor(testBurst, "za", "zb", "zc", "zd"))
	f.epoch = membership.Epoch{Number: 1, Hosts: hosts}
	for _, id := range hosts {
		f.start(id)
	}
	return f
}

func id(zone, name string) host.ID {
	return host.ID{Name: name, Zone: zone, Addr: name, Incarnation: 1}
}

func (f *fleet) start(id host.ID) *node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{f: f, id: id, cancel: cancel, done: make(chan struct{}), metrics: metrics.New(), unreachable: map[string]bool{}}
	node := f.net.Node(id.Addr)
	n.svc = quota.New(quota.Options{
		Viewer: n, Spread: n, Dialer: node, Config: n, Metrics: n.metrics, Log: logr.Discard(),
	})
	peerv1.RegisterQuotaServer(node, n.svc)
	go func() {
		defer close(n.done)
		_ = n.svc.Serve(ctx)
	}()
	f.hosts[id.Name] = n
	return n
}

func (f *fleet) stop(name string) {
	f.net.Node(f.hosts[name].id.Addr).SetDown(true)
	f.hosts[name].cancel()
	<-f.hosts[name].done
}

func (f *fleet) stopAll() {
	for name := range f.hosts {
		f.hosts[name].cancel()
		<-f.hosts[name].done
	}
}

func (f *fleet) setEpoch(hosts ...host.ID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.epoch = membership.Epoch{Number: f.epoch.Number + 1, Hosts: hosts}
}

// reserve reserves tokens on a host and records the admission.
func (f *fleet) reserve(name string, tokens int64) (quota.Reservation, error) {
	r, err := f.hosts[name].svc.Reserve(context.Background(), "ws", tokens)
	if err == nil {
		f.mu.Lock()
		f.admitted = append(f.admitted, admission{time.Now(), tokens})
		f.mu.Unlock()
	}
	return r, err
}

// expectWithinBound checks every window: a bucket with the full rate and burst must cover all admissions.
func (f *fleet) expectWithinBound() {
	f.t.Helper()
	level := float64(testBurst)
	var last time.Time
	for i, a := range f.admitted {
		if i > 0 {
			level = min(float64(testBurst), level+a.at.Sub(last).Seconds()*float64(testRate))
		}
		last = a.at
		level -= float64(a.tokens)
		f.Expect(level).To(BeNumerically(">=", -1e-6), "admission %d", i)
	}
}

func use(r quota.Reservation, tokens int64) {
	r.Use(tokens)
	r.Close()
}
