// Package fleet runs all hosts of a small fleet in one process, on in-memory stand-ins for the store, the network
// between hosts, the engines and the services. It must run in a testing/synctest bubble: every method is called from
// within the bubble, and Close is called before the bubble ends.
package fleet

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/boragecourse/boragecourse/internal/assembly"
	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/test/standin/engine"
	"github.com/boragecourse/boragecourse/test/standin/memnet"
	"github.com/boragecourse/boragecourse/test/standin/memstore"
	"github.com/boragecourse/boragecourse/test/standin/service"
)

// Isolation is the isolation limit of the fleet's hosts. It is much shorter than the default, so that a test case can
// exceed it.
const Isolation = 20 * time.Second

// Zones a and b have two hosts each and zone c has one, so that a majority remains after the loss of any one zone.
var hostNames = []string{"a1", "a2", "b1", "b2", "c1"}

// Options configure a fleet. The zero value is a fleet without injected defects.
type Options struct {
	Log logr.Logger
	// ModifyParts modifies the components of each process before it runs, so that tests can replace one by a defective
	// one.
	ModifyParts func(*assembly.Components)
	// EventGapEvery makes the engines drop every n-th cache event; 0 drops none.
	EventGapEvery uint64
	// IgnoreConditions makes the store write configuration heads and claims without checking the conditions, as a
	// defective store would.
	IgnoreConditions bool
	// WrapSink replaces the sink of each request.
	WrapSink func(*Call) Sink
}

// Fleet is a running fleet with its store, network, engines and services.
type Fleet struct {
	Options
	Store    *memstore.Store
	Net      *memnet.Network
	Hosts    map[string]*Host
	Engines  map[string]*engine.Core
	Services map[string]*service.Service

	engines *engine.Fleet
	running sync.WaitGroup

	mu sync.Mutex
	// hook is called at each step of a request or configuration change, before the step runs.
	hook func(step, id string)
	// cuts holds the pairs of zones between which calls to backend servers fail.
	cuts map[[2]string]bool
	// mismatches is the number of responses of each backend server that will carry the id of another attempt.
	mismatches map[string]int
	work       []BackendCall
	calls      []*Call
	applied    []ConfigChange
	faults     []string
}

// BackendCall is one call that a backend server received.
type BackendCall struct {
	At                    time.Time
	Server, Attempt, From string
}

// ConfigChange is one change of the configuration and the result that its operator received.
type ConfigChange struct {
	Base     uint64
	Text     string
	Rules    Rules
	Started  time.Time
	Answered time.Time
	Report   *config.Report
	Err      error
	// HostEnded is set when the host's process ended first, so that the operator received no result.
	HostEnded bool
}

// New starts all hosts, applies the first configuration and waits until every host is ready. On an error the fleet is
// returned as well and must be closed.
func New(o Options) (*Fleet, error) {
	f := &Fleet{
		Options: o, Store: memstore.New(), Net: memnet.New(), engines: engine.NewFleet(),
		Hosts: map[string]*Host{}, Engines: map[string]*engine.Core{}, Services: map[string]*service.Service{},
		cuts: map[[2]string]bool{}, mismatches: map[string]int{}, hook: func(string, string) {},
	}
	f.Net.SetDelay(delay)
	f.addBackendServers()
	for _, name := range hostNames {
		h := &Host{Name: name, Zone: name[:1], Addr: name, fleet: f}
		f.Hosts[name] = h
		if err := f.publish(h); err != nil {
			return f, err
		}
		if err := h.Start(); err != nil {
			return f, err
		}
	}
	first := f.StartApply("a1", 0, DefaultRules())
	if !f.Await(30*time.Second, f.Ready) {
		return f, &NotReadyError{}
	}
	if a := <-first; a.Err != nil {
		return f, fmt.Errorf("apply first configuration: %w", a.Err)
	}
	return f, nil
}

// delay returns the one-way network delay between two hosts. The first letter of an address is the zone.
func delay(from, to string) time.Duration {
	if from[0] == to[0] {
		return 100 * time.Microsecond
	}
	return 500 * time.Microsecond
}

func (f *Fleet) publish(h *Host) error {
	key, value, err := kvstore.EncodeHost(kvstore.HostEntry{Name: h.Name, Addr: h.Addr, Zone: h.Zone, State: kvstore.HostLive})
	if err != nil {
		return err
	}
	_, err = f.Store.Client().Txn(context.Background(), nil, []kvstore.Write{{Key: key, Value: value}})
	return err
}

// Await polls until the condition holds or the limit has passed, and reports whether the condition held.
func (f *Fleet) Await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// Ready reports whether every running host is ready and has exactly the running hosts, in their current incarnations,
// in its epoch.
func (f *Fleet) Ready() bool {
	var running []*Host
	for _, h := range f.All() {
		if h.Alive() {
			running = append(running, h)
		}
	}
	for _, h := range running {
		if h.Ready() != nil || len(h.Members.Epoch().Hosts) != len(running) {
			return false
		}
		for _, other := range running {
			if !h.Members.Epoch().Contains(other.Self) {
				return false
			}
		}
	}
	return true
}

// All returns all hosts, ordered by name.
func (f *Fleet) All() []*Host {
	var all []*Host
	for _, name := range hostNames {
		all = append(all, f.Hosts[name])
	}
	return all
}

// InZone returns the hosts of the given zones, one letter per zone.
func (f *Fleet) InZone(zones string) []*Host {
	var all []*Host
	for _, h := range f.All() {
		if strings.Contains(zones, h.Zone) {
			all = append(all, h)
		}
	}
	return all
}

// SetHook sets the function that is called at each step of a request or configuration change, before the step runs. It
// may sleep.
func (f *Fleet) SetHook(hook func(step, id string)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hook = hook
}

func (f *Fleet) step(step, id string) {
	f.mu.Lock()
	hook := f.hook
	f.mu.Unlock()
	hook(step, id)
}

// recordFault records a failure outside of requests: of the test environment, or of a service that ended unexpectedly.
func (f *Fleet) recordFault(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = append(f.faults, fmt.Sprintf(format, args...))
}

// Faults returns the failures outside of requests, for example a service that ended unexpectedly.
func (f *Fleet) Faults() []string { f.mu.Lock(); defer f.mu.Unlock(); return f.faults }

// Calls returns the requests that were sent so far.
func (f *Fleet) Calls() []*Call {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Call(nil), f.calls...)
}

// ConfigChanges returns the finished configuration changes, in the order in which their operators received the results.
func (f *Fleet) ConfigChanges() []ConfigChange {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]ConfigChange(nil), f.applied...)
}

// BackendCalls returns the calls that backend servers received so far.
func (f *Fleet) BackendCalls() []BackendCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]BackendCall(nil), f.work...)
}

// Apply changes the configuration through a host and waits for the result.
func (f *Fleet) Apply(through string, base uint64, r Rules) (*config.Report, error) {
	a := <-f.StartApply(through, base, r)
	return a.Report, a.Err
}

// StartApply starts a change of the configuration and returns a channel that receives its result.
func (f *Fleet) StartApply(through string, base uint64, r Rules) <-chan ConfigChange {
	p := f.Hosts[through].process
	done := make(chan ConfigChange, 1)
	f.running.Go(func() {
		a := ConfigChange{Base: base, Text: r.Text(), Rules: r, Started: time.Now()}
		a.Report, a.Err = p.Config.Apply(p.ctx, base, []byte(a.Text))
		a.Answered, a.HostEnded = time.Now(), p.dead.Load()
		f.mu.Lock()
		f.applied = append(f.applied, a)
		f.mu.Unlock()
		done <- a
	})
	return done
}

// CutPeers cuts the links between two groups of hosts. Calls to backend servers are not affected; see CutZone.
func (f *Fleet) CutPeers(one, other []*Host) {
	for _, x := range one {
		for _, y := range other {
			if x != y {
				f.Net.Partition(x.Addr, y.Addr)
			}
		}
	}
}

// CutZone partitions a zone from all others, hosts and backend servers alike.
func (f *Fleet) CutZone(zone string) {
	for _, other := range []string{"a", "b", "c"} {
		if other != zone {
			f.CutPeers(f.InZone(zone), f.InZone(other))
			f.mu.Lock()
			f.cuts[[2]string{zone, other}], f.cuts[[2]string{other, zone}] = true, true
			f.mu.Unlock()
		}
	}
}

// StoreDown makes the store unreachable for the given hosts, or reachable again.
func (f *Fleet) StoreDown(down bool, hosts ...*Host) {
	for _, h := range hosts {
		h.storeDown = down
		h.Client.SetDown(down)
	}
}

// Heal ends every fault and restarts the hosts whose process has ended.
func (f *Fleet) Heal() error {
	f.Net.HealAll()
	f.Net.SetDelay(delay)
	f.mu.Lock()
	clear(f.cuts)
	clear(f.mismatches)
	f.mu.Unlock()
	for _, c := range f.Engines {
		c.SetFaults(engine.Faults{})
	}
	for _, s := range f.Services {
		s.SetFaults(service.Faults{})
	}
	for _, h := range f.All() {
		h.storeDown = false
		if !h.Alive() {
			if err := h.Start(); err != nil {
				return err
			}
		}
		h.Client.SetDown(false)
		h.Client.SetDelay(0)
		h.Client.LoseResponses(0)
	}
	return nil
}

// Close kills all hosts and engines and waits until their goroutines have ended, as a synctest bubble requires.
func (f *Fleet) Close() {
	f.SetHook(func(string, string) {})
	for _, h := range f.Hosts {
		if h.Alive() {
			h.Kill()
		}
	}
	for _, c := range f.Engines {
		c.Crash()
	}
	f.running.Wait()
	// Delayed responses of services and timers of the stand-ins end within this time.
	time.Sleep(time.Minute)
}

// NotReadyError reports that the hosts of a new fleet did not become ready in time.
type NotReadyError struct{}

// Error implements error.
func (*NotReadyError) Error() string { return "the hosts did not become ready within 30 s" }

// ServerHome returns the home host of a backend server, which manages its reservations, according to the epoch of the
// given host.
func (f *Fleet) ServerHome(as *Host, server string) *Host {
	id, _ := as.Members.Epoch().Home(server[len(server)-1:], "server "+server)
	return f.Hosts[id.Name]
}

// QuotaHome returns the home host of a workspace in a zone, which manages the zone's share of its token bucket.
func (f *Fleet) QuotaHome(zone, workspace string) *Host {
	for _, h := range f.All() {
		if h.Alive() {
			id, _ := h.Members.Epoch().Home(zone, workspace)
			return f.Hosts[id.Name]
		}
	}
	return nil
}
