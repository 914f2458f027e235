package config_test

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/rules"
	"github.com/boragecourse/boragecourse/test/standin/memnet"
	"github.com/boragecourse/boragecourse/test/standin/memstore"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	goleak.VerifyTestMain(m)
}

const epochKey = "/boragecourse/epoch"

// cluster runs the configuration services of several hosts on an in-memory network and store.
type cluster struct {
	*WithT
	t     testing.TB
	net   *memnet.Network
	store *memstore.Store
	admin *memstore.Client
	nodes map[string]*node

	mu    sync.Mutex
	epoch membership.Epoch
	cut   map[[2]string]bool
}

// node is one daemon. It implements membership.Viewer for its own service.
type node struct {
	c        *cluster
	id       host.ID
	store    *memstore.Client
	svc      *config.Service
	stop     context.CancelFunc
	done     chan struct{}
	installs []uint64
	// epoch overrides the cluster's epoch if it is not nil.
	epoch *membership.Epoch
}

func (n *node) Self() host.ID { return n.id }

func (n *node) Epoch() membership.Epoch {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	if n.epoch != nil {
		return *n.epoch
	}
	return n.c.epoch
}

// overrideEpoch sets the epoch that this host observes; nil restores the cluster's current one.
func (n *node) overrideEpoch(e *membership.Epoch) {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	n.epoch = e
}

func (n *node) CheckAuthority(time.Time) error { return nil }

func (n *node) Reachable(id host.ID) bool {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	other := n.c.nodes[id.Name]
	return other != nil && other.id == id && other.stop != nil && !n.c.cut[[2]string{n.id.Addr, id.Addr}]
}

// bubble runs a test in a synctest bubble (with fake time). The first letter of a host's name is its zone, for
// example "a1" is in zone "a".
func bubble(t *testing.T, hosts []string, f func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, hosts)
		f(c)
		c.close()
	})
}

func newCluster(t testing.TB, hosts []string) *cluster {
	c := &cluster{
		WithT: NewWithT(t), t: t, net: memnet.New(), store: memstore.New(), nodes: map[string]*node{}, cut: map[[2]string]bool{},
	}
	c.admin = c.store.Client()
	c.net.SetDelay(func(_, _ string) time.Duration { return time.Millisecond })
	for _, name := range hosts {
		c.start(name)
	}
	c.newEpoch(hosts...)
	return c
}

func (c *cluster) close() {
	for _, n := range c.nodes {
		n.kill()
	}
}

// start runs a daemon on a host, with the next incarnation if the host ran one earlier. The functions in before run
// before the service starts, to inject faults that must affect its first calls.
func (c *cluster) start(name string, before ...func(*node)) *node {
	n := &node{c: c, store: c.store.Client()}
	n.id = host.ID{Name: name, Addr: "10.0.0." + name + ":7", Zone: name[:1], Incarnation: 1}
	if old := c.nodes[name]; old != nil {
		n.id.Incarnation = old.id.Incarnation + 1
		n.store = old.store
	}
	c.mu.Lock()
	c.nodes[name] = n
	c.mu.Unlock()
	c.net.Node(n.id.Addr).SetDown(false)
	n.svc = config.New(config.Options{
		Store: n.store, Viewer: n, Dialer: c.net.Node(n.id.Addr), EpochKey: epochKey,
		DecodeEpoch: func(b []byte) (uint64, error) { return strconv.ParseUint(string(b), 10, 64) },
		OnInstall: func(_, s *config.Snapshot) {
			c.mu.Lock()
			defer c.mu.Unlock()
			n.installs = append(n.installs, s.Generation)
		},
	})
	n.svc.Register(c.net.Node(n.id.Addr))
	for _, f := range before {
		f(n)
	}
	n.run()
	return n
}

func (n *node) run() {
	ctx, stop := context.WithCancel(n.c.t.Context())
	n.c.mu.Lock()
	n.stop = stop
	n.c.mu.Unlock()
	n.done = make(chan struct{})
	go func() {
		defer close(n.done)
		_ = n.svc.Serve(ctx)
	}()
}

func (n *node) kill() {
	if n.stop == nil {
		return
	}
	n.c.net.Node(n.id.Addr).SetDown(true)
	n.stop()
	<-n.done
	n.c.mu.Lock()
	n.stop = nil
	n.c.mu.Unlock()
}

// installed returns the generations for which OnInstall was called, in order.
func (n *node) installed() []uint64 {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return slices.Clone(n.installs)
}

// newEpoch commits an epoch with the current incarnations of the named hosts.
func (c *cluster) newEpoch(names ...string) {
	c.mu.Lock()
	e := membership.Epoch{Number: c.epoch.Number + 1}
	for _, name := range names {
		e.Hosts = append(e.Hosts, c.nodes[name].id)
	}
	c.epoch = e
	c.mu.Unlock()
	_, err := c.admin.Txn(c.t.Context(), nil, []kvstore.Write{{Key: epochKey, Value: []byte(strconv.FormatUint(e.Number, 10))}})
	c.Expect(err).NotTo(HaveOccurred())
}

// partition cuts the links between two groups of hosts. Like heal and setStoreDown it first waits until all goroutines
// are blocked, so that faults and calls have the same order in each run.
func (c *cluster) partition(a, b []string) {
	synctest.Wait()
	for _, x := range a {
		for _, y := range b {
			p, q := c.nodes[x].id.Addr, c.nodes[y].id.Addr
			c.net.Partition(p, q)
			c.mu.Lock()
			c.cut[[2]string{p, q}], c.cut[[2]string{q, p}] = true, true
			c.mu.Unlock()
		}
	}
}

func (c *cluster) heal() {
	synctest.Wait()
	c.net.HealAll()
	c.mu.Lock()
	clear(c.cut)
	c.mu.Unlock()
}

// setStoreDown makes the store unavailable to the named hosts, or available again.
func (c *cluster) setStoreDown(down bool, names ...string) {
	synctest.Wait()
	for _, name := range names {
		c.nodes[name].store.SetDown(down)
	}
}

// rulesFile returns a rules file with the given keys of workspace w. Workspace s has isolated=serve.
func rulesFile(keys ...string) []byte {
	var b strings.Builder
	b.WriteString("zone z region=r # ana: test\nworkspace w rate=1/s burst=1 # ana: test\nworkspace s rate=1/s burst=1 isolated=serve # ana: test\n")
	for _, k := range keys {
		fmt.Fprintf(&b, "key w sha256=%x id=%s # ana: test\n", rules.HashKey(k), k)
	}
	return []byte(b.String())
}

func (c *cluster) apply(name string, base uint64, keys ...string) *config.Report {
	r, err := c.nodes[name].svc.Apply(c.t.Context(), base, rulesFile(keys...))
	c.Expect(err).NotTo(HaveOccurred())
	return r
}

// acceptsKey reports whether a host currently serves requests with the key.
func (c *cluster) acceptsKey(name, key string) bool {
	svc := c.nodes[name].svc
	allowed := svc.KeyedRequestsAllowed("w") == nil
	s := svc.Current()
	return s != nil && s.Key(rules.HashKey(key)) != nil && allowed
}
