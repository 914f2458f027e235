package bench

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/placement"
	"github.com/boragecourse/boragecourse/test/baseline"
	"github.com/boragecourse/boragecourse/test/standin/memnet"
)

// Fault names the fault that is injected into a run.
type Fault string

// Faults. ServerLost stops an engine, DaemonLost stops a host, and ZonePartition partitions one zone from all others.
const (
	NoFault       Fault = "none"
	ServerLost    Fault = "server-lost"
	DaemonLost    Fault = "daemon-lost"
	ZonePartition Fault = "zone-cut"
)

// Reserving is the policy of internal/placement; the other policies are baselines.
const Reserving baseline.Policy = "reserving"

// Case describes one simulation run. Load is the offered load relative to the capacity.
type Case struct {
	Fleet  Fleet
	Policy baseline.Policy
	Load   float64
	Fault  Fault
	Seed   uint64
}

// viewer is a membership.Viewer that returns the epoch of the run.
type viewer struct {
	mu    *sync.Mutex
	epoch *membership.Epoch
	self  host.ID
}

// Self implements membership.Viewer.
func (v viewer) Self() host.ID { return v.self }

// Epoch implements membership.Viewer.
func (v viewer) Epoch() membership.Epoch {
	v.mu.Lock()
	defer v.mu.Unlock()
	return *v.epoch
}

// CheckAuthority implements membership.Viewer.
func (v viewer) CheckAuthority(time.Time) error { return nil }

// Reachable implements membership.Viewer.
func (v viewer) Reachable(host.ID) bool { return true }

// reader is a config.Reader that returns the snapshot of the run.
type reader struct{ snap *config.Snapshot }

// Current implements config.Reader.
func (r reader) Current() *config.Snapshot { return r.snap }

// KeyedRequestsAllowed implements config.Reader.
func (r reader) KeyedRequestsAllowed(string) error { return nil }

// run is the state of one case.
type run struct {
	c       Case
	sim     *Simulation
	net     *memnet.Network
	snap    *config.Snapshot
	random  *rand.Rand
	start   time.Time
	mu      sync.Mutex
	epoch   membership.Epoch
	hosts   []*simHost
	results []Result
	offered []int
	// tokens are the prompt and output tokens offered by each workspace.
	tokens  []float64
	buckets []float64
	filled  time.Time
	wg      sync.WaitGroup
	metrics *metrics.Registry
}

type simHost struct {
	id        host.ID
	lifecycle Lifecycle
	cancel    context.CancelFunc
	ctx       context.Context
	removed   bool
}

// Run simulates one case and returns its measures. It must be called in a testing/synctest bubble.
func Run(c Case) Outcome {
	snap := c.Fleet.snapshot(c.Policy == baseline.Colocated)
	r := &run{
		c: c, sim: newSimulation(&c.Fleet, snap.Servers()), net: memnet.New(), snap: snap, start: time.Now(), metrics: metrics.New(),
		random: rand.New(rand.NewPCG(c.Seed, 7)), epoch: membership.Epoch{Number: 1, Hosts: c.Fleet.Hosts},
		offered: make([]int, len(Shares)), tokens: make([]float64, len(Shares)), buckets: make([]float64, len(Shares)), filled: time.Now(),
	}
	zone := map[string]string{}
	for _, h := range c.Fleet.Hosts {
		zone[h.Addr] = h.Zone
	}
	r.net.SetDelay(func(from, to string) time.Duration {
		if zone[from] == zone[to] {
			return 100 * time.Microsecond
		}
		return c.Fleet.Latency
	})
	ctx, cancel := context.WithCancel(context.Background())
	go r.sim.refreshReports(ctx)
	for _, h := range c.Fleet.Hosts {
		r.addHost(ctx, h)
	}
	go r.fault(ctx)
	r.arrivals(ctx)
	cancel()
	r.wg.Wait()
	o := r.outcome()
	time.Sleep(shutdownTime)
	return o
}

func (r *run) addHost(ctx context.Context, id host.ID) {
	h := &simHost{id: id}
	h.ctx, h.cancel = context.WithCancel(ctx)
	engines := directory{r.sim, id.Zone}
	var placer placement.Placer
	if r.c.Policy == Reserving {
		node := r.net.Node(id.Addr)
		s := placement.New(placement.Deps{
			Viewer: viewer{&r.mu, &r.epoch, id}, Dialer: node, Config: reader{r.snap}, Engines: engines, Log: logr.Discard(), Metrics: r.metrics,
		}, placement.Options{})
		s.Register(node)
		go func() { _ = s.Serve(h.ctx) }()
		placer = s
	} else {
		b := baseline.New(r.c.Policy, engines)
		go func() {
			for h.ctx.Err() == nil {
				b.Poll(h.ctx, r.snap)
				time.Sleep(reportLag)
			}
		}()
		placer = b
	}
	h.lifecycle = &driver{self: id, snap: r.snap, placer: placer, engines: engines}
	r.hosts = append(r.hosts, h)
}

// fault waits until faultAt and then injects the fault of the case.
func (r *run) fault(ctx context.Context) {
	wait := func(d time.Duration) bool {
		select {
		case <-time.After(d):
			return true
		case <-ctx.Done():
			return false
		}
	}
	if !wait(faultAt) {
		return
	}
	switch r.c.Fault {
	case ServerLost:
		r.sim.engines[r.c.Fleet.LostServer].kill()
	case DaemonLost:
		for _, h := range r.hosts {
			if h.id.Name == r.c.Fleet.LostHost {
				r.net.Node(h.id.Addr).SetDown(true)
				h.cancel()
				if wait(redirectDelay) {
					h.removed = true
				}
			}
		}
		if wait(epochDelay - redirectDelay) {
			r.mu.Lock()
			left := slices.DeleteFunc(slices.Clone(r.epoch.Hosts), func(h host.ID) bool { return h.Name == r.c.Fleet.LostHost })
			r.epoch = membership.Epoch{Number: 2, Hosts: left}
			r.mu.Unlock()
		}
	case ZonePartition:
		r.sim.mu.Lock()
		r.sim.partitionedZone = r.c.Fleet.PartitionedZone
		r.sim.mu.Unlock()
		for _, a := range r.hosts {
			for _, b := range r.hosts {
				if a.id.Zone != b.id.Zone && a.id.Zone == r.c.Fleet.PartitionedZone {
					r.net.Partition(a.id.Addr, b.id.Addr)
				}
			}
		}
	case NoFault:
	}
}

// arrivals starts jobs as a Poisson process until the run ends.
func (r *run) arrivals(ctx context.Context) {
	capacity := r.c.Fleet.Capacity(len(r.c.Fleet.Prefill), len(r.c.Fleet.Decode))
	rates := demand(capacity, r.c.Load)
	var total float64
	for _, x := range rates {
		total += x
	}
	for id := 0; ; id++ {
		time.Sleep(time.Duration(r.random.ExpFloat64() / total * float64(time.Second)))
		if time.Since(r.start) >= runLength {
			return
		}
		workspace, x := 0, r.random.Float64()*total
		for x > rates[workspace] && workspace < len(rates)-1 {
			x -= rates[workspace]
			workspace++
		}
		j := r.c.Fleet.newJob(r.random, workspace)
		j.ID, j.Arrived, j.Host, j.InRate = id, time.Now(), r.random.IntN(len(r.hosts)), r.takeToken(workspace, capacity)
		h := r.hosts[j.Host]
		for h.removed {
			j.Host = (j.Host + 1) % len(r.hosts)
			h = r.hosts[j.Host]
		}
		r.sim.mu.Lock()
		r.sim.jobs[id] = j
		r.sim.mu.Unlock()
		if time.Since(r.start) >= warmUp {
			r.offered[workspace]++
			r.tokens[workspace] += float64(j.Prompt + j.Output)
		}
		r.wg.Go(func() {
			res := h.lifecycle.Run(h.ctx, j)
			if ctx.Err() == nil {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.results = append(r.results, res)
			}
		})
	}
}

// shutdownTime exceeds every timeout, so that all goroutines of a run have ended after it.
const shutdownTime = 5 * time.Second

// burstSeconds is the burst size of a workspace as a number of seconds at its rate.
const burstSeconds = 4

// takeToken takes one request from the workspace's token bucket and reports whether the bucket had enough. While the
// buckets fill at the start, it reports true for every request.
func (r *run) takeToken(workspace int, capacity float64) bool {
	passed := time.Since(r.filled).Seconds()
	r.filled = time.Now()
	for i, s := range Shares {
		r.buckets[i] = min(burstSeconds*s*capacity, r.buckets[i]+passed*s*capacity)
	}
	if time.Since(r.start) < burstSeconds*time.Second {
		return true
	}
	if r.buckets[workspace] < 1 {
		return false
	}
	r.buckets[workspace]--
	return true
}
