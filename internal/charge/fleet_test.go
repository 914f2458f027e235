package charge

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/logging"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/rules"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
	"github.com/boragecourse/boragecourse/test/standin/memnet"
	"github.com/boragecourse/boragecourse/test/standin/memstore"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testHost is one incarnation of a host; it implements membership.Viewer.
type testHost struct {
	fleet  *fleet
	id     host.ID
	ledger *Ledger
	store  *memstore.Client
	m      *metrics.Registry
	stop   context.CancelFunc
	dead   bool
}

func (h *testHost) Self() host.ID                  { return h.id }
func (h *testHost) CheckAuthority(time.Time) error { return nil }
func (h *testHost) Reachable(host.ID) bool         { return true }

func (h *testHost) Epoch() membership.Epoch {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	return h.fleet.epoch
}

// fleet has host-0 and host-1 in zone a, host-2 in zone b and host-3 in zone c. At the start all are in the epoch.
type fleet struct {
	ctx   context.Context
	store *memstore.Store
	net   *memnet.Network
	hosts []*testHost
	log   strings.Builder

	mu    sync.Mutex
	epoch membership.Epoch
	// expected counts the records by request id.
	expected map[string]int
}

func withFleet(t *testing.T, cfg Config, f func(g Gomega, fl *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		fl := &fleet{ctx: ctx, store: memstore.New(), net: memnet.New(), expected: map[string]int{}}
		fl.net.SetDelay(func(_, _ string) time.Duration { return time.Millisecond })
		for i, zone := range []string{"a", "a", "b", "c"} {
			id := host.ID{Name: fmt.Sprintf("host-%d", i), Addr: fmt.Sprintf("10.0.0.%d:7000", i), Zone: zone, Incarnation: uint64(i + 1)}
			fl.epoch.Hosts = append(fl.epoch.Hosts, id)
		}
		for _, id := range fl.epoch.Hosts {
			fl.start(cfg, id)
		}
		f(NewWithT(t), fl)
	})
}

func (f *fleet) start(cfg Config, id host.ID) *testHost {
	h := &testHost{fleet: f, id: id, store: f.store.Client(), m: metrics.New()}
	log := logr.Discard()
	if len(f.hosts) == 0 {
		log = logging.New(io.Writer(&f.log), 0)
	}
	h.ledger = New(cfg, h.store, f.net.Node(id.Addr), h, h.m, log)
	f.net.Node(id.Addr).SetDown(false)
	peerv1.RegisterChargesServer(f.net.Node(id.Addr), h.ledger)
	ctx, stop := context.WithCancel(f.ctx)
	h.stop = stop
	go func() { _ = h.ledger.Serve(ctx) }()
	f.hosts = append(f.hosts, h)
	return h
}

// kill crashes the host's process: its later calls reach neither the store nor the network.
func (h *testHost) kill() {
	h.dead = true
	h.store.SetDown(true)
	h.fleet.net.Node(h.id.Addr).SetDown(true)
	h.stop()
}

// exclude removes a host from the epoch.
func (f *fleet) exclude(id host.ID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := membership.Epoch{Number: f.epoch.Number + 1}
	for _, h := range f.epoch.Hosts {
		if h != id {
			e.Hosts = append(e.Hosts, h)
		}
	}
	f.epoch = e
}

func record(id string) Record {
	return Record{
		RequestID: id, Workspace: "inspectors", KeyID: "k1", Generation: 4711, Route: "/v1/chat/completions",
		Rule: rules.Origin{
			Line: 12, Who: "ana", Why: "contract 17",
			Text: "workspace inspectors rate=2000/s burst=40000 isolated=refuse priority=0",
		},
		PromptTokens: 4096, CachedTokens: 2048, OutputTokens: 300, Outcome: "ran", Finished: time.Unix(0, time.Now().UnixNano()),
	}
}

// add records n finished requests on host i and returns the last request id.
func (f *fleet) add(i, n int) (last string) {
	for range n {
		last = f.hosts[i].ledger.NewRequestID()
		f.expected[last]++
		f.hosts[i].ledger.Add(record(last))
	}
	return last
}

// stored counts the records in the store by request id.
func (f *fleet) stored(g Gomega) map[string]int {
	kvs, err := f.store.Client().List(f.ctx, keyPrefix)
	g.Expect(err).NotTo(HaveOccurred())
	counts := map[string]int{}
	for _, kv := range kvs {
		b := &peerv1.ChargeBatch{}
		g.Expect(proto.Unmarshal(kv.Value, b)).To(Succeed())
		for _, r := range b.GetRecords() {
			counts[r.GetRequestId()]++
		}
	}
	return counts
}

// maxWritesPerKey returns the maximum number of writes to a batch's key.
func (f *fleet) maxWritesPerKey(g Gomega) int {
	counts, most := map[string]int{}, 0
	b := <-f.store.Client().Watch(f.ctx, keyPrefix, 0)
	g.Expect(b.Err).NotTo(HaveOccurred())
	for _, e := range b.Events {
		counts[e.Key]++
		most = max(most, counts[e.Key])
	}
	return most
}

// addOnAllHosts adds a record on each host every 50 ms for the duration d.
func (f *fleet) addOnAllHosts(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for i := range 4 {
			f.add(i, 1)
		}
	}
}

func (f *fleet) storeDown(down bool) {
	for _, h := range f.hosts {
		h.store.SetDown(down || h.dead)
	}
}
