package claim

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/metrics"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
	"github.com/boragecourse/boragecourse/test/standin/memnet"
	"github.com/boragecourse/boragecourse/test/standin/memstore"
)

var errResponseLost = errors.New("response lost")

// lossyStore loses the responses of some transactions. Such a transaction has taken effect, has no effect, or takes
// effect later. A seeded random source selects the transactions and which of the three happens.
type lossyStore struct {
	kvstore.Store
	mu      sync.Mutex
	rng     *rand.Rand
	percent int
}

func (s *lossyStore) Txn(ctx context.Context, c []kvstore.Condition, w []kvstore.Write) (kvstore.TxnResult, error) {
	s.mu.Lock()
	lose, kind := s.rng.IntN(100) < s.percent, s.rng.IntN(3)
	wait, lag := time.Duration(s.rng.IntN(40))*time.Millisecond, time.Duration(s.rng.IntN(4000))*time.Microsecond
	s.mu.Unlock()
	time.Sleep(lag)
	if !lose {
		return s.Store.Txn(ctx, c, w)
	}
	switch kind {
	case 0:
		if _, err := s.Store.Txn(ctx, c, w); err != nil {
			return kvstore.TxnResult{}, err
		}
	case 1:
		go func() {
			time.Sleep(wait * 30)
			_, _ = s.Store.Txn(context.Background(), c, w)
		}()
	}
	time.Sleep(wait)
	return kvstore.TxnResult{}, &kvstore.OutcomeUnknownError{Op: "txn", Cause: errResponseLost}
}

// testHost is one incarnation of a host; it implements membership.Viewer.
type testHost struct {
	fleet *fleet
	id    host.ID
	coord *Coordinator
	store *memstore.Client
	lossy *lossyStore
	stop  context.CancelFunc

	mu   sync.Mutex
	dead bool
}

func (h *testHost) Self() host.ID                  { return h.id }
func (h *testHost) Epoch() membership.Epoch        { return h.fleet.epoch() }
func (h *testHost) CheckAuthority(time.Time) error { return nil }
func (h *testHost) Reachable(_ host.ID) bool       { return true }
func (h *testHost) isDead() bool                   { h.mu.Lock(); defer h.mu.Unlock(); return h.dead }
func (h *testHost) node() *memnet.Node             { return h.fleet.net.Node(h.id.Addr) }
func (h *testHost) count(result string) int64 {
	return h.fleet.m.Count("claim_results_total", metrics.L("result", result))
}

// fleet is a set of hosts that share one store and one network.
type fleet struct {
	ctx   context.Context
	cfg   Config
	store *memstore.Store
	net   *memnet.Network
	m     *metrics.Registry
	seed  uint64

	mu    sync.Mutex
	hosts []*testHost
	runs  map[string]int
}

func newFleet(ctx context.Context, cfg Config, hosts int, seed uint64) *fleet {
	f := &fleet{
		ctx: ctx, cfg: cfg, store: memstore.New(), net: memnet.New(), m: metrics.New(), seed: seed, runs: map[string]int{},
	}
	f.net.SetDelay(func(from, to string) time.Duration {
		return time.Duration(len(from)+2*len(to)) * 100 * time.Microsecond
	})
	f.hosts = make([]*testHost, hosts)
	for i := range hosts {
		f.start(i, 1)
	}
	return f
}

func (f *fleet) start(i int, incarnation uint64) *testHost {
	h := &testHost{fleet: f, store: f.store.Client(), id: host.ID{
		Name: fmt.Sprintf("h%d", i), Addr: fmt.Sprintf("10.0.0.%d:7000", i), Zone: "z", Incarnation: incarnation,
	}}
	h.lossy = &lossyStore{Store: h.store, rng: rand.New(rand.NewPCG(f.seed, uint64(i)<<8|incarnation))}
	h.coord = New(f.cfg, h.lossy, h.node(), h, f.m, logr.Discard())
	h.node().SetDown(false)
	peerv1.RegisterClaimsServer(h.node(), h.coord)
	ctx, stop := context.WithCancel(f.ctx)
	h.stop = stop
	go func() { _ = h.coord.Serve(ctx) }()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[i] = h
	return h
}

func (f *fleet) host(i int) *testHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts[i]
}

func (f *fleet) epoch() membership.Epoch {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := membership.Epoch{Number: 1}
	for _, h := range f.hosts {
		if h != nil {
			e.Hosts = append(e.Hosts, h.id)
		}
	}
	return e
}

// kill crashes the host's process: its later calls reach neither the store nor the network.
func (h *testHost) kill() {
	h.mu.Lock()
	h.dead = true
	h.mu.Unlock()
	h.store.SetDown(true)
	h.node().SetDown(true)
	h.stop()
}

// run simulates the backend server: it increments and returns the number of runs of a key.
func (f *fleet) run(key string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[key]++
	return f.runs[key]
}

func call(key, attempt string) Call {
	return Call{Workspace: "w", IdempotencyKey: key, Attempt: attempt}
}
