// Package fleet runs whole hosts of a small fleet in one process, over in-memory stand-ins of the store, the
// network between hosts, the engines and the plain services. It is meant for testing/synctest bubbles: every
// method must be called from within one, and Close must be called before its end.
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
	"github.com/boragecourse/boragecourse/internal/platform"
	"github.com/boragecourse/boragecourse/test/standin/engine"
	"github.com/boragecourse/boragecourse/test/standin/memnet"
	"github.com/boragecourse/boragecourse/test/standin/memstore"
	"github.com/boragecourse/boragecourse/test/standin/service"
)

// Isolation is the fleet's isolation limit. It is much shorter than the default, so that cases can pass it.
const Isolation = 20 * time.Second

// Names of the hosts: two in zones a and b, one in zone c, so that losing any zone leaves a majority.
var hostNames = []string{"a1", "a2", "b1", "b2", "c1"}

// Options change a fleet. The zero value is a fleet without tampering.
type Options struct {
	Log logr.Logger
	// Tamper changes the parts of each process before it runs, so that deliberately broken parts can be tried.
	Tamper func(*assembly.Parts)
	// EventGapEvery makes the engines drop each n-th cache event.
	EventGapEvery uint64
	// NoCompare makes the store write heads and claims without comparing, as a broken store would.
	NoCompare bool
	// WrapSink changes the sink of each request.
	WrapSink func(*Call) Sink
}

// Fleet is a running fleet.
type Fleet struct {
	Options
	Store    *memstore.Store
	Net      *memnet.Network
	Hosts    map[string]*Host
	Cores    map[string]*engine.Core
	Services map[string]*service.Service

	engines *engine.Fleet
	running sync.WaitGroup

	mu sync.Mutex
	// hook is called at each step of a request or change, before it goes on.
	hook func(step, id string)
	// cuts holds pairs of zones between which no call to backend servers passes.
	cuts    map[[2]string]bool
	crossed map[string]int
	work    []Work
	calls   []*Call
	applied []Applied
	faults  []string
}

// Work is one call that a backend server got.
type Work struct {
	At                    time.Time
	Server, Attempt, From string
}

// Applied is one change of the configuration and what its operator was told.
type Applied struct {
	Base     uint64
	Text     string
	Rules    Rules
	Started  time.Time
	Answered time.Time
	Report   *config.Report
	Err      error
	// Dead is set when the host died first, so that the operator got no answer.
	Dead bool
}

// New starts all hosts, applies the first configuration and waits until every host is ready.
func New(o Options) (*Fleet, error) {
	f := &Fleet{
		Options: o, Store: memstore.New(), Net: memnet.New(), engines: engine.NewFleet(),
		Hosts: map[string]*Host{}, Cores: map[string]*engine.Core{}, Services: map[string]*service.Service{},
		cuts: map[[2]string]bool{}, crossed: map[string]int{}, hook: func(string, string) {},
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
		return f, fmt.Errorf("first configuration: %w", a.Err)
	}
	return f, nil
}

// delay is the one-way time between two hosts, whose addresses begin with their zone.
func delay(from, to string) time.Duration {
	if from[0] == to[0] {
		return 100 * time.Microsecond
	}
	return 500 * time.Microsecond
}

func (f *Fleet) publish(h *Host) error {
	key, value, err := platform.EncodeHost(platform.HostEntry{Name: h.Name, Addr: h.Addr, Zone: h.Zone, State: platform.HostLive})
	if err != nil {
		return err
	}
	_, err = f.Store.Client().Txn(context.Background(), nil, []platform.Write{{Key: key, Value: value}})
	return err
}

// Await polls until the condition holds or the time is over, and reports whether it held.
func (f *Fleet) Await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// Ready reports whether every running host is ready and knows all others by their present incarnation.
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

// All returns the hosts by name.
func (f *Fleet) All() []*Host {
	var all []*Host
	for _, name := range hostNames {
		all = append(all, f.Hosts[name])
	}
	return all
}

// InZone returns the hosts of some zones.
func (f *Fleet) InZone(zones string) []*Host {
	var all []*Host
	for _, h := range f.All() {
		if strings.Contains(zones, h.Zone) {
			all = append(all, h)
		}
	}
	return all
}

// SetHook sets what is called at each step of a request or change, before it goes on; it may sleep.
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

// fault notes a failure of the scaffolding or of a service that ended on its own.
func (f *Fleet) fault(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = append(f.faults, fmt.Sprintf(format, args...))
}

// Faults returns what went wrong outside of requests, for example a service that ended on its own.
func (f *Fleet) Faults() []string { f.mu.Lock(); defer f.mu.Unlock(); return f.faults }

// Calls returns the requests so far.
func (f *Fleet) Calls() []*Call {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Call(nil), f.calls...)
}

// Applied returns the changes so far, in the order in which their operators were answered.
func (f *Fleet) Applied() []Applied {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Applied(nil), f.applied...)
}

// Work returns the calls that backend servers got.
func (f *Fleet) Work() []Work {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Work(nil), f.work...)
}

// Apply changes the configuration through a host.
func (f *Fleet) Apply(through string, base uint64, r Rules) (*config.Report, error) {
	a := <-f.StartApply(through, base, r)
	return a.Report, a.Err
}

// StartApply begins a change and returns where its result will be.
func (f *Fleet) StartApply(through string, base uint64, r Rules) <-chan Applied {
	p := f.Hosts[through].process
	done := make(chan Applied, 1)
	f.running.Go(func() {
		a := Applied{Base: base, Text: r.Text(), Rules: r, Started: time.Now()}
		a.Report, a.Err = p.Config.Apply(p.ctx, base, []byte(a.Text))
		a.Answered, a.Dead = time.Now(), p.dead.Load()
		f.mu.Lock()
		f.applied = append(f.applied, a)
		f.mu.Unlock()
		done <- a
	})
	return done
}

// CutPeers cuts the links between two groups of hosts, and those of zones that lie wholly in different groups to
// each other's backend servers.
func (f *Fleet) CutPeers(one, other []*Host) {
	for _, x := range one {
		for _, y := range other {
			if x != y {
				f.Net.CutBoth(x.Addr, y.Addr)
			}
		}
	}
}

// CutZone cuts a zone off from all others, hosts and backend servers alike.
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

// StoreDown cuts hosts from the store, or ends that.
func (f *Fleet) StoreDown(down bool, hosts ...*Host) {
	for _, h := range hosts {
		h.storeDown = down
		h.Client.SetDown(down)
	}
}

// Heal ends every fault and starts dead hosts again.
func (f *Fleet) Heal() error {
	f.Net.HealAll()
	f.Net.SetDelay(delay)
	f.mu.Lock()
	clear(f.cuts)
	clear(f.crossed)
	f.mu.Unlock()
	for _, c := range f.Cores {
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
		h.Client.LoseAnswers(0)
	}
	return nil
}

// Close ends everything and waits for it, as a bubble requires.
func (f *Fleet) Close() {
	f.SetHook(func(string, string) {})
	for _, h := range f.Hosts {
		if h.Alive() {
			h.Kill()
		}
	}
	for _, c := range f.Cores {
		c.Crash()
	}
	f.running.Wait()
	// Answers of slow services and timers of the stand-ins end by themselves.
	time.Sleep(time.Minute)
}

// NotReadyError reports hosts that did not become ready.
type NotReadyError struct{}

// Error implements error.
func (*NotReadyError) Error() string { return "the hosts did not become ready" }

// SlotHome returns the host that keeps the reservations of a backend server, as the host sees it.
func (f *Fleet) SlotHome(as *Host, server string) *Host {
	id, _ := as.Members.Epoch().Home(server[len(server)-1:], "server "+server)
	return f.Hosts[id.Name]
}

// QuotaHome returns the host that keeps the zone's share of a workspace's bucket.
func (f *Fleet) QuotaHome(zone, workspace string) *Host {
	for _, h := range f.All() {
		if h.Alive() {
			id, _ := h.Members.Epoch().Home(zone, workspace)
			return f.Hosts[id.Name]
		}
	}
	return nil
}
