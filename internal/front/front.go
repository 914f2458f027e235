// Package front serves callers on the users' platform: one process on each entry host takes requests, decides which
// may run and where, and passes the answers on.
package front

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"
	"google.golang.org/grpc"

	"github.com/boragecourse/boragecourse/internal/allotment"
	"github.com/boragecourse/boragecourse/internal/duty"
	"github.com/boragecourse/boragecourse/internal/exchange"
	"github.com/boragecourse/boragecourse/internal/fleet"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/peer"
	"github.com/boragecourse/boragecourse/internal/registry"
	"github.com/boragecourse/boragecourse/platform"
)

const (
	// headerLimit bounds the head of a request, in bytes; the configuration's limit is lower.
	headerLimit = 64 << 10
	// headerTimeout is how long a caller may take for the head of a request.
	headerTimeout = 10 * time.Second
	// idleTimeout is above every limit that configurations set, so that no connection is closed while a caller may
	// reuse it.
	idleTimeout = 5 * time.Minute
)

// Front is the process of one entry host.
type Front struct {
	settings fleet.HostSettings
	// incarnation names this process.
	incarnation uint64
	log         logr.Logger
	metrics     *metrics.Registry
	now         func() time.Time

	state    *State
	backends *platform.Backends

	groupsMu sync.Mutex
	groups   map[string]*group

	bookMu sync.Mutex
	book   *allotment.Book

	ledger   *ledger
	stages   *stages
	duty     *duty.Holder
	exchange *exchange.Exchange
	pool     *peer.Pool
	peers    *grpc.Server

	heardMu sync.Mutex
	heard   map[uint64]heardReport

	startedAt time.Time
	open      atomic.Int64
	draining  atomic.Bool
	// drainEnd is when a stopping host ends. It is set before draining.
	drainEnd atomic.Pointer[time.Time]
	// openStreams counts the open generations; refusingStreams is set when a stopping host takes no more of them.
	openStreams     atomic.Int64
	refusingStreams atomic.Bool

	callers, readiness, metricsPage, peersListener net.Listener

	// LogLinesDropped tells how many log lines found the queue full.
	LogLinesDropped func() int64
}

// New opens the listeners and builds the parts. Nothing runs before Run. Errors are *ListenError.
func New(settings fleet.HostSettings, store Store, log logr.Logger, reg *metrics.Registry) (*Front, error) {
	f := &Front{
		settings: settings, incarnation: rand.Uint64(), log: log, metrics: reg, now: time.Now, backends: platform.NewBackends(),
		groups: map[string]*group{}, book: allotment.New(settings.Limits.Quota), heard: map[uint64]heardReport{},
		pool: peer.NewPool("", nil), peers: peer.NewServer("", nil), startedAt: time.Now(), LogLinesDropped: func() int64 { return 0 },
	}
	f.ledger = newLedger(f.now)
	f.stages = newStages()
	f.exchange = exchange.New(exchange.Options{
		Name: settings.Name, Address: settings.Peers, Zone: settings.Zone, Incarnation: f.incarnation, Seeds: settings.Seeds, Local: f, Pool: f.pool,
		Log: log, Metrics: reg, Now: f.now,
	})
	f.exchange.Register(f.peers)
	f.state = newState(store, log, reg, f.now)
	f.state.onServers = f.setServers
	f.state.onConfig = f.configure
	f.duty = duty.New(duty.Options{
		Host: settings.Name, Process: settings.Name + "/" + processName(f.incarnation), Handover: settings.Limits.CommandHandover,
		Store: store, Records: f.state.Own, Hosts: f.hosts, Log: log, Metrics: reg,
	})
	return f, f.listen()
}

func (f *Front) listen() error {
	for _, l := range []struct {
		into *net.Listener
		addr string
	}{{&f.callers, f.settings.Callers}, {&f.readiness, f.settings.Readiness}, {&f.peersListener, f.settings.Peers}} {
		opened, err := net.Listen("tcp", l.addr)
		if err != nil {
			return &ListenError{Addr: l.addr, Cause: err}
		}
		*l.into = opened
	}
	var err error
	if f.metricsPage, err = net.Listen("tcp", f.settings.Metrics); err != nil {
		// Requests are served without the metrics page.
		f.log.Error(&ListenError{Addr: f.settings.Metrics, Cause: err}, "no metrics page")
	}
	return nil
}

// Run serves until a signal asks the process to stop and the open requests are done.
func (f *Front) Run(ctx context.Context, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tree := suture.New("front", suture.Spec{EventHook: func(e suture.Event) { f.log.Info("supervisor", "event", e.String()) }})
	tree.Add(f.state)
	tree.Add(f.exchange)
	tree.Add(f.duty)
	tree.Add(f.stageService())
	stopped := tree.ServeBackground(ctx)
	servers := f.serve()
	go func() { _ = f.peers.Serve(f.peersListener) }()
	defer f.pool.Close()
	defer f.peers.Stop()
	f.log.Info("started", "host", f.settings.Name, "zone", f.settings.Zone, "callers", f.settings.Callers,
		"peers", f.settings.Peers, "store", f.settings.Store, "memory", f.settings.MemoryBytes)
	f.drain(ctx, signals, servers)
	cancel()
	if err := <-stopped; err != nil && !errors.Is(err, context.Canceled) {
		f.log.Error(err, "supervisor failed")
	}
	f.log.Info("stopped", "open", f.open.Load())
	return nil
}

// serve starts the HTTP servers. The first is the callers'.
func (f *Front) serve() []*http.Server {
	ready := chi.NewRouter()
	ready.Get(platform.ReadyPath, f.readyPage)
	page := chi.NewRouter()
	page.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		f.metrics.Set("log_lines_dropped", f.LogLinesDropped())
		if _, err := f.metrics.WriteTo(w); err != nil {
			f.log.Error(err, "metrics not written")
		}
	})
	callers := chi.NewRouter()
	callers.HandleFunc("/*", f.handle)
	var servers []*http.Server
	for _, s := range []struct {
		listener net.Listener
		handler  http.Handler
	}{{f.callers, callers}, {f.readiness, ready}, {f.metricsPage, page}} {
		if s.listener == nil {
			continue
		}
		server := &http.Server{
			Handler: s.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerLimit,
		}
		servers = append(servers, server)
		go func() { _ = server.Serve(s.listener) }()
	}
	return servers
}

func (f *Front) readyPage(w http.ResponseWriter, _ *http.Request) {
	if f.draining.Load() || f.state.Configuration() == nil || !f.settled() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// settleTime is how long a new process waits to hear of another host before it counts as ready: until then it does not
// know what the others use of the backend servers.
const settleTime = 800 * time.Millisecond

// settled tells whether the process knows what other hosts use, or has waited for it in vain.
func (f *Front) settled() bool {
	return len(f.exchange.Contacts()) > 0 || f.now().Sub(f.startedAt) > settleTime
}

// formerProcessUntil is when another process of this host may have run last.
func (f *Front) formerProcessUntil() time.Time {
	if f.settings.FirstStart {
		return time.Time{}
	}
	return f.startedAt
}

// hosts is the largest number of hosts that may be taking requests.
func (f *Front) hosts() int { return f.exchange.Hosts() }

func (f *Front) configure(c *fleet.Configuration) {
	f.bookMu.Lock()
	defer f.bookMu.Unlock()
	f.book.Configure(c.Workspaces, f.now())
}

func (f *Front) allGroups() []*group {
	f.groupsMu.Lock()
	defer f.groupsMu.Unlock()
	return slices.Collect(maps.Values(f.groups))
}

// group returns the backend servers of a service.
func (f *Front) group(service string) *group {
	f.groupsMu.Lock()
	defer f.groupsMu.Unlock()
	g := f.groups[service]
	if g == nil {
		g = newGroup(service, f.settings.Zone, f.settings.Limits.Retry, f.formerProcessUntil(), f.now)
		f.groups[service] = g
	}
	return g
}

// setServers hands the usable backend servers to their groups. Services without any keep an empty group.
func (f *Front) setServers(usable []registry.State) {
	byService := map[string][]registry.State{}
	for _, s := range usable {
		byService[s.Service] = append(byService[s.Service], s)
	}
	f.groupsMu.Lock()
	for service := range f.groups {
		if _, present := byService[service]; !present {
			byService[service] = nil
		}
	}
	f.groupsMu.Unlock()
	for service, servers := range byService {
		f.group(service).update(servers)
	}
}
