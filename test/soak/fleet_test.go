package soak_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"github.com/boragecourse/boragecourse/test/loopback"
	"github.com/boragecourse/boragecourse/test/standin/users"
)

const (
	hostName = "soak.example"
	// limitedRate is the rate of the workspace that exceeds its limit, in tokens per second.
	limitedRate = 400
	plainCost   = 10
	hostCount   = 3
	eventCount  = 12
)

// host is one daemon, with a proxy between it and its endpoint of the store and one between callers and the daemon.
type host struct {
	spec          users.HostSpec
	storeEndpoint *users.Endpoint
	store, front  *proxy
	process       *loopback.Process
	starts        int
	mu            sync.Mutex
	// lastFault is the end of the last fault that affected the host.
	lastFault time.Time
	// replacing is set while the test replaces the process, so that its exit is expected.
	replacing bool
}

// backend is a backend server behind a proxy, with all its incarnations.
type backend struct {
	options users.WorkerOptions
	proxy   *proxy
	mu      sync.Mutex
	current *users.Worker
	all     []*users.Worker
	starts  int
}

// fleet holds the processes and simulated services of one seed.
type fleet struct {
	dir      string
	store    *users.Store
	procs    *loopback.Processes
	hosts    []*host
	backends []*backend
	calls    callLog

	mu      sync.Mutex
	version int
	keys    map[string][]string
}

func newFleet(bin, dir string, network int) (*fleet, error) {
	f := &fleet{
		dir: dir, store: users.NewStore(), procs: &loopback.Processes{Bin: bin, Logs: dir},
		keys:  map[string][]string{"guests": {"key-guests", "key-spare"}, "limited": {"key-limited"}},
		calls: callLog{byZone: map[string][]backendCall{}},
	}
	f.configure()
	for i := range hostCount {
		h, err := f.newHost(i, network)
		if err != nil {
			return f, err
		}
		f.hosts = append(f.hosts, h)
	}
	for _, o := range []users.WorkerOptions{
		{ID: "app-1", Zone: "z", Service: "app"}, {ID: "app-2", Zone: "z", Service: "app"}, {ID: "app-3", Zone: "y", Service: "app"},
		{ID: "pre-1", Zone: "z", Service: "llm", Stage: "prefill"}, {ID: "pre-2", Zone: "y", Service: "llm", Stage: "prefill"},
		{ID: "dec-1", Zone: "z", Service: "llm", Stage: "decode"}, {ID: "dec-2", Zone: "z", Service: "llm", Stage: "decode"},
		{ID: "dec-3", Zone: "y", Service: "llm", Stage: "decode"},
	} {
		o.Slots, o.Events, o.EventPause, o.Work, o.StageChange = 6, eventCount, 40*time.Millisecond, 8*time.Millisecond, 6*time.Second
		b := &backend{options: o}
		var err error
		if b.proxy, err = newProxy(""); err != nil {
			return f, err
		}
		f.backends = append(f.backends, b)
		if err := f.startBackend(b); err != nil {
			return f, err
		}
	}
	for _, h := range f.hosts {
		if err := f.start(h); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *fleet) newHost(i, network int) (*host, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 2+network/200, 1+network%200, i+2)
	addresses, err := loopback.FreeAddressesAt(ip, 3)
	if err != nil {
		return nil, err
	}
	storeEndpoint, err := f.store.StartEndpoint()
	if err != nil {
		return nil, err
	}
	h := &host{storeEndpoint: storeEndpoint, spec: users.HostSpec{
		Name: fmt.Sprintf("host-%d", i), Zone: "z", IP: ip, Bootstrap: true, Front: addresses[0], Ready: addresses[1], Control: addresses[2],
	}}
	if h.store, err = newProxy(storeEndpoint.Addr); err != nil {
		return nil, err
	}
	h.spec.Store = h.store.addr
	h.front, err = newProxy(h.spec.Front)
	return h, err
}

// start starts a host's process.
func (f *fleet) start(h *host) error {
	h.spec.Seeds = nil
	for _, other := range f.hosts {
		h.spec.Seeds = append(h.spec.Seeds, other.spec.Control)
	}
	settings := filepath.Join(f.dir, h.spec.Name+".toml")
	if err := h.spec.Write(settings); err != nil {
		return err
	}
	h.spec.Bootstrap = false
	h.mu.Lock()
	h.starts++
	h.mu.Unlock()
	process, err := f.procs.Start(fmt.Sprintf("%s-%d", h.spec.Name, h.startCount()), "boragecoursed", "front", "--settings", settings)
	h.mu.Lock()
	h.process = process
	h.mu.Unlock()
	return err
}

// startBackend starts a new incarnation of a backend server behind the same proxy address.
func (f *fleet) startBackend(b *backend) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	o := b.options
	b.starts++
	if b.starts%2 == 0 {
		// Every second incarnation has a new id, the others reuse the original one.
		o.ID = fmt.Sprintf("%s-%d", o.ID, b.starts)
	}
	w, err := users.StartWorker(o, "")
	if err != nil {
		return err
	}
	w.Advertise(b.proxy.addr)
	w.Before(func(r *http.Request) { f.calls.record(o.Zone, r) })
	b.proxy.mu.Lock()
	b.proxy.server = w.Addr
	b.proxy.mu.Unlock()
	b.current, b.all = w, append(b.all, w)
	w.Register(f.store, "ready")
	return nil
}

// crash ends a backend server and removes its registration.
func (f *fleet) crash(b *backend) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current.Close()
	f.store.Remove("servers/" + b.current.ID)
}

// worker returns the present incarnation.
func (b *backend) worker() *users.Worker {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current
}

func (f *fleet) workers() (all []*users.Worker) {
	for _, b := range f.backends {
		b.mu.Lock()
		all = append(all, b.all...)
		b.mu.Unlock()
	}
	return all
}

// configure writes a configuration with the next version.
func (f *fleet) configure() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version += 3
	c := users.Configuration(hostName, users.Tenant("guests", f.keys["guests"], 1_000_000), users.Tenant("limited", f.keys["limited"], limitedRate))
	c["version"] = f.version
	text, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	f.store.Put("op/config", text)
}

// withdraw withdraws the spare key of workspace guests.
func (f *fleet) withdraw() {
	f.mu.Lock()
	f.keys["guests"] = []string{"key-guests"}
	f.mu.Unlock()
	f.configure()
}

func (f *fleet) close() {
	f.procs.StopAll()
	for _, h := range f.hosts {
		h.storeEndpoint.Close()
		h.store.close()
		h.front.close()
	}
	for _, b := range f.backends {
		for _, w := range b.all {
			w.Close()
		}
		b.proxy.close()
	}
}

func (h *host) proc() *loopback.Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process
}

func (h *host) startCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.starts
}

// recordFault records that a fault affects the host until the given time.
func (h *host) recordFault(until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until.After(h.lastFault) {
		h.lastFault = until
	}
}

// exitedUnexpectedly reports whether the process has exited without being replaced by the test.
func (h *host) exitedUnexpectedly() bool {
	if h.proc().Running() {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.replacing
}

func seedName(seed uint64) string { return fmt.Sprintf("seed-%d", seed) }
