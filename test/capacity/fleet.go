package capacity

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/boragecourse/boragecourse/internal/assembly"
	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/metrics"
	standin "github.com/boragecourse/boragecourse/test/standin/engine"
	"github.com/boragecourse/boragecourse/test/standin/memnet"
	"github.com/boragecourse/boragecourse/test/standin/memstore"
)

// Zones is the number of availability zones at the target size.
const Zones = 22

const (
	model = "m"
	// slots is how many requests an engine runs at once. At 6.1 million tokens per second and 40 ms per token, 244,000
	// requests are open, about a hundred on each of 2,400 decode servers.
	slots = 128
	// linkDelay is the one-way delay between hosts: the larger of the delays between zones in the two fleets of package
	// bench.
	linkDelay = 900 * time.Microsecond
	// storeDelay is the duration of a store call. A real store responds within milliseconds.
	storeDelay = 2 * time.Millisecond
	// startInterval is the time between the starts of two hosts, as in a rolling start.
	startInterval = 20 * time.Millisecond
	// readyTimeout bounds the time until every host is ready.
	readyTimeout = 3 * time.Minute
)

// NotReadyError reports that not all hosts of a fleet became ready in time.
type NotReadyError struct{ Ready, Hosts int }

// Error implements error.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("only %d of %d hosts became ready", e.Ready, e.Hosts)
}

// Size is the size of a fleet. Servers counts backend servers.
type Size struct {
	Hosts, Zones, Workspaces, Servers int
}

// Fleet is a running fleet of complete hosts. It must run in a synctest bubble and be closed before the bubble ends.
type Fleet struct {
	Size
	Store *memstore.Store
	Net   *memnet.Network
	Hosts []*Host

	engines *standin.Fleet
	running sync.WaitGroup
	polls   atomic.Int64
	calls   storeCalls
	mu      sync.Mutex
	traffic map[string]Traffic
}

// Traffic counts messages (requests and replies) and their encoded bytes.
type Traffic struct{ Messages, Bytes int64 }

// Host is one running host: all components of the daemon, with its own connections to the network and the store.
type Host struct {
	*assembly.Components
	fleet *Fleet
	node  *memnet.Node
	store *memstore.Client
	ctx   context.Context //nolint:containedctx // Lifetime of the simulated process.
	stop  context.CancelFunc
}

// NewFleet starts a fleet, applies a configuration and waits until every host is ready. The fleet must be closed even
// if an error is returned.
func NewFleet(size Size) (*Fleet, error) {
	f := &Fleet{Size: size, Store: memstore.New(), Net: memnet.New(), engines: standin.NewFleet(), traffic: map[string]Traffic{}}
	f.calls.calls = map[string]Traffic{}
	f.Net.SetDelay(func(string, string) time.Duration { return linkDelay })
	for i := range size.Servers {
		name, role := f.serverName(i)
		standin.New(standin.Config{Name: name, Addr: serverAddr(i), Role: role, Model: model, Slots: slots}, f.engines)
	}
	for i := range size.Hosts {
		if err := f.start(i, 1); err != nil {
			return f, err
		}
		time.Sleep(startInterval)
		if i > 0 {
			continue
		}
		// The first host applies the configuration before the others start. A host without a configuration sends
		// requests to all listed hosts; in a running fleet only a new host does so.
		time.Sleep(time.Second)
		if _, err := f.Hosts[0].Config.Apply(f.Hosts[0].ctx, 0, []byte(f.Rules(0))); err != nil {
			return f, err
		}
	}
	return f, f.AwaitReady()
}

// AwaitReady waits until all hosts are ready and have an epoch with the current incarnations of all hosts. It returns a
// NotReadyError after readyTimeout.
func (f *Fleet) AwaitReady() error {
	ready := 0
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if ready = f.ready(); ready == len(f.Hosts) {
			return nil
		}
	}
	return &NotReadyError{ready, len(f.Hosts)}
}

func (f *Fleet) ready() int {
	ready := 0
	for _, h := range f.Hosts {
		e := h.Members.Epoch()
		if h.Ready() != nil || len(e.Hosts) != len(f.Hosts) {
			return ready
		}
		for i, id := range e.Hosts {
			if id.Incarnation != f.Hosts[i].Self.Incarnation {
				return ready
			}
		}
		ready++
	}
	return ready
}

// start starts an incarnation of host i, which replaces the previous one.
func (f *Fleet) start(i int, incarnation uint64) error {
	addr := fmt.Sprintf("10.20.%d.%d:7000", i/200, i%200)
	h := &Host{fleet: f, node: f.Net.Node(addr), store: f.Store.Client()}
	h.store.SetDelay(storeDelay)
	counted := &countedStore{h.store, &f.calls}
	h.ctx, h.stop = context.WithCancel(context.Background())
	var err error
	h.Components, err = assembly.New(assembly.Dependencies{
		Self: host.ID{
			Name: fmt.Sprintf("host-%03d", i), Addr: addr, Zone: zoneName(i % f.Zones), Incarnation: 1<<63 + incarnation,
		},
		Store: counted, Hosts: kvstore.NewHostList(counted), Dialer: &dialer{h}, Engines: &directory{f},
		Metrics: metrics.New(), Log: logr.Discard(), Timing: membership.DefaultTiming(),
	})
	if err != nil {
		return err
	}
	h.node.SetDown(false)
	h.Register(h.node)
	for _, s := range append(h.Control(), h.Work()...) {
		f.running.Go(func() { _ = s.Serve(h.ctx) })
	}
	f.running.Go(func() {
		for !h.Config.Ready() && h.ctx.Err() == nil {
			time.Sleep(20 * time.Millisecond)
		}
		h.Members.SetReady()
	})
	if err := f.publish(h.Self); err != nil {
		return err
	}
	if i < len(f.Hosts) {
		f.Hosts[i] = h
	} else {
		f.Hosts = append(f.Hosts, h)
	}
	return nil
}

// publish writes a host into the platform's host list.
func (f *Fleet) publish(id host.ID) error {
	key, value, err := kvstore.EncodeHost(kvstore.HostEntry{Name: id.Name, Addr: id.Addr, Zone: id.Zone, State: kvstore.HostLive})
	if err != nil {
		return err
	}
	_, err = f.Store.Client().Txn(context.Background(), nil, []kvstore.Write{{Key: key, Value: value}})
	return err
}

// kill stops a host without a drain.
func (h *Host) kill() {
	h.node.SetDown(true)
	h.store.SetDown(true)
	h.stop()
	h.Close()
}

// Close stops all hosts and waits for their goroutines and store leases to end.
func (f *Fleet) Close() {
	for _, h := range f.Hosts {
		h.kill()
	}
	f.running.Wait()
	// Store leases expire by their own timers, which must have ended before the bubble does.
	time.Sleep(membership.DefaultLeaseTTL)
}

// Rules returns the rules file of the fleet. A version above 0 changes one key.
func (f *Fleet) Rules(version int) string {
	var b strings.Builder
	for z := range f.Zones {
		fmt.Fprintf(&b, "zone %s region=region-%d # ana: opening\n", zoneName(z), z%6)
	}
	writeWorkspaces(&b, f.Workspaces, version)
	for i := range f.Servers {
		name, role := f.serverName(i)
		fmt.Fprintf(&b, "server %s zone=%s addr=%s role=%s model=%s slots=%d # bojan: rack %d\n",
			name, zoneName(i%f.Zones), serverAddr(i), role, model, slots, i)
	}
	return b.String()
}

func zoneName(z int) string { return fmt.Sprintf("zone-%02d", z) }

// serverName returns the name and the role of server i. In each zone every third server has the prefill role, starting
// with the first.
func (f *Fleet) serverName(i int) (string, standin.Role) {
	if (i/f.Zones)%3 == 0 {
		return fmt.Sprintf("prefill-%04d", i), standin.Prefill
	}
	return fmt.Sprintf("decode-%04d", i), standin.Decode
}

func serverAddr(i int) string { return fmt.Sprintf("10.30.%d.%d:9000", i/200, i%200) }

// Measured is the cost of one measurement interval.
type Measured struct {
	// CPU is the CPU time of the process in seconds, Span the length of the interval on the fake clock in seconds.
	CPU, Span float64
	// Reads and Writes count calls to the store, Polls calls to engines. A watch counts as one read.
	Reads, Writes, Polls float64
	// Traffic is keyed by gRPC service, Store by kind of call.
	Traffic, Store map[string]Traffic
}

// Measure calls run and returns the cost of the fleet during the call.
func (f *Fleet) Measure(run func()) Measured {
	before, began, cpu := f.counts(), time.Now(), cpuTime()
	run()
	m := f.counts()
	m.CPU, m.Span = (cpuTime() - cpu).Seconds(), time.Since(began).Seconds()
	m.Reads, m.Writes, m.Polls = m.Reads-before.Reads, m.Writes-before.Writes, m.Polls-before.Polls
	subtract(m.Traffic, before.Traffic)
	subtract(m.Store, before.Store)
	return m
}

func subtract(from, other map[string]Traffic) {
	for name, t := range other {
		from[name] = Traffic{from[name].Messages - t.Messages, from[name].Bytes - t.Bytes}
	}
}

func (f *Fleet) counts() Measured {
	reads, writes := f.Store.Calls()
	m := Measured{Reads: float64(reads), Writes: float64(writes), Polls: float64(f.polls.Load()), Traffic: map[string]Traffic{}, Store: f.calls.copy()}
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, t := range f.traffic {
		m.Traffic[name] = t
	}
	return m
}

// Sum returns the total of all entries.
func Sum(all map[string]Traffic) Traffic {
	var sum Traffic
	for _, t := range all {
		sum.Messages += t.Messages
		sum.Bytes += t.Bytes
	}
	return sum
}

// dialer returns connections that count a host's calls by gRPC service.
type dialer struct{ h *Host }

// Conn implements peer.Dialer.
func (d *dialer) Conn(addr string) grpc.ClientConnInterface {
	return &countedConn{d.h.node.Conn(addr), d.h.fleet}
}

type countedConn struct {
	grpc.ClientConnInterface
	f *Fleet
}

// Invoke implements grpc.ClientConnInterface.
func (c *countedConn) Invoke(ctx context.Context, method string, args, reply any, opts ...grpc.CallOption) error {
	err := c.ClientConnInterface.Invoke(ctx, method, args, reply, opts...)
	service, _, _ := strings.Cut(strings.TrimPrefix(method, "/boragecourse.peer.v1."), "/")
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	t := c.f.traffic[service]
	t.Messages += 2
	t.Bytes += int64(proto.Size(args.(proto.Message)) + proto.Size(reply.(proto.Message)))
	c.f.traffic[service] = t
	return err
}

// directory is an engine.Directory that counts polls of engines.
type directory struct{ f *Fleet }

// Server implements engine.Directory.
func (d *directory) Server(name, addr string) engine.Server {
	return &countedEngine{d.f.engines.Server(name, addr), d.f}
}

// Service implements engine.Directory.
func (d *directory) Service(string, string) engine.Service { return nil }

type countedEngine struct {
	engine.Server
	f *Fleet
}

func (p *countedEngine) Load(ctx context.Context) (engine.LoadReport, error) {
	p.f.polls.Add(1)
	return p.Server.Load(ctx)
}

func (p *countedEngine) CacheEvents(ctx context.Context, after uint64) ([]engine.CacheEvent, error) {
	p.f.polls.Add(1)
	return p.Server.CacheEvents(ctx, after)
}

func (p *countedEngine) Holdings(ctx context.Context) ([]engine.Holding, error) {
	p.f.polls.Add(1)
	return p.Server.Holdings(ctx)
}
