// Package front implements the entry hosts: one process per host accepts callers' requests, applies authentication and
// rate limits, forwards each request to a backend server and relays the response.
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

	"github.com/boragecourse/boragecourse/internal/bytebudget"
	"github.com/boragecourse/boragecourse/internal/exchange"
	"github.com/boragecourse/boragecourse/internal/explain"
	"github.com/boragecourse/boragecourse/internal/fleet"
	"github.com/boragecourse/boragecourse/internal/keepalive"
	"github.com/boragecourse/boragecourse/internal/leader"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/peer"
	"github.com/boragecourse/boragecourse/internal/ratelimit"
	"github.com/boragecourse/boragecourse/internal/registry"
	"github.com/boragecourse/boragecourse/platform"
)

const (
	// headerLimit bounds the request header, in bytes. It is fixed. The limit that the configuration sets is lower and
	// is not enforced here.
	headerLimit = 64 << 10
	// headerTimeout is how long a caller may take to send the request header.
	headerTimeout = 10 * time.Second
	// idleTimeout exceeds every idle time-out that a configuration can set, so that no connection is closed while a
	// caller may still reuse it.
	idleTimeout = 5 * time.Minute
)

// Front is the process of one entry host.
type Front struct {
	settings fleet.HostSettings
	// incarnation identifies this run of the process.
	incarnation uint64
	log         logr.Logger
	metrics     *metrics.Registry
	now         func() time.Time

	state    *State
	store    Store
	backends *platform.Backends

	groupsMu sync.Mutex
	groups   map[string]*group

	limiterMu sync.Mutex
	limiter   *ratelimit.Limiter

	// discarding is the number of refused requests whose bodies are being read.
	discarding atomic.Int64
	// budget and outstanding bound the bytes that are held for callers and backend servers. Both are nil where they are not
	// bounded.
	budget      *bytebudget.Budget
	outstanding *bytebudget.Outstanding

	runTable   *runTable
	stages     *stages
	quarantine *quarantineLedger
	versions   *streamVersions
	limits     *serverLimits
	leader     *leader.Elector
	exchange   *exchange.Exchange
	pool       *peer.Pool
	peers      *grpc.Server

	reportsMu sync.Mutex
	reports   map[uint64]*peerReport
	remoteUse *remoteUse
	// applyMu orders the changes of remote use that are passed on. It is locked before reportsMu.
	applyMu sync.Mutex
	// serverKeys holds the keys of the usable backend servers by their hashes.
	serverKeys atomic.Pointer[map[uint64]string]

	// explaining is the number of explanations that are being made.
	explaining atomic.Int64

	startedAt time.Time
	open      atomic.Int64
	draining  atomic.Bool
	// drainEnd is the time by which the drain must have ended. It is stored before draining is set to true.
	drainEnd atomic.Pointer[time.Time]
	// openStreams counts the open generations. refusingStreams is set when a draining host accepts no new ones.
	openStreams     atomic.Int64
	refusingStreams atomic.Bool
	// ending ends, with *DrainEndedError, when requests that are still open must be answered because the drain time is over.
	ending     context.Context
	endAnswers context.CancelCauseFunc

	callers, readiness, metricsListener, peersListener net.Listener

	// LogLinesDropped returns how many log lines were dropped because the log queue was full.
	LogLinesDropped func() int64
}

// New opens the listeners and builds the components; Run starts them. Errors are *ListenError.
func New(settings fleet.HostSettings, store Store, log logr.Logger, reg *metrics.Registry) (*Front, error) {
	f := &Front{
		settings: settings, incarnation: rand.Uint64(), store: store, log: log, metrics: reg, now: time.Now, backends: platform.NewBackends(reg),
		groups: map[string]*group{}, limiter: ratelimit.New(settings.Limits.Quota), reports: map[uint64]*peerReport{}, remoteUse: newRemoteUse(),
		pool: peer.NewPool("", nil), peers: peer.NewServer("", nil), startedAt: time.Now(), LogLinesDropped: func() int64 { return 0 },
	}
	f.ending, f.endAnswers = context.WithCancelCause(context.Background())
	f.budget, f.outstanding = newBudget(settings.BoundBufferedBytes, settings.MemoryBytes)
	f.runTable = newRunTable(f.now)
	f.runTable.relativeTime = f.steadyTime
	f.stages = newStages()
	f.quarantine = newQuarantineLedger(log, reg, f.now)
	f.versions = newStreamVersions(store, log, reg, f.now)
	f.limits = newServerLimits()
	f.backends.OnRateLimit, f.backends.OnCold, f.backends.OnLoad = f.observeLimit, f.observeCold, f.observeLoad
	f.exchange = exchange.New(exchange.Options{
		Name: settings.Name, Address: settings.Peers, Zone: settings.Zone, LinkMbps: int32(settings.LinkMbps),
		Incarnation: f.incarnation, Seeds: settings.Seeds, Local: f, Pool: f.pool,
		Log: log, Metrics: reg, Now: f.now,
	})
	f.exchange.Register(f.peers)
	f.state = newState(store, log, reg, f.now)
	f.backends.MaySend = f.state.MaySend
	f.quarantine.changed = f.exchange.Notify
	f.backends.OnLeaving = f.state.MarkLeaving
	f.backends.OnRefusal = f.holdOff
	f.state.onServers = f.setServers
	f.state.onQuarantine = f.quarantine.adopt
	f.state.onConfig = f.configure
	f.state.onVersions = f.versions.update
	f.state.follows, f.state.relayed, f.state.hosts = f.exchange.FollowsRelay, f.exchange.Relayed, f.hosts
	f.state.changeBound = changeBound(settings.Limits)
	f.leader = leader.New(leader.Options{
		Host: settings.Name, Process: settings.Name + "/" + processName(f.incarnation), Handover: settings.Limits.CommandHandover,
		FirstStart: settings.FirstStart,
		Store:      store, StoreCopy: f.state.OwnItems, StoreRestored: f.state.Restored, HostCount: f.hosts, Log: log, Metrics: reg,
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
	if f.metricsListener, err = net.Listen("tcp", f.settings.Metrics); err != nil {
		// Not fatal: requests can be served without the metrics page.
		f.log.Error(&ListenError{Addr: f.settings.Metrics, Cause: err}, "failed to listen on the metrics address; metrics are not served")
	}
	return nil
}

// Run serves until a termination signal arrives and the open requests have ended or the drain time is over.
func (f *Front) Run(ctx context.Context, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tree := suture.New("front", suture.Spec{EventHook: func(e suture.Event) { f.log.Info("supervisor event", "event", e.String()) }})
	tree.Add(f.state)
	tree.Add(f.exchange)
	tree.Add(f.leader)
	tree.Add(f.stageService())
	tree.Add(serviceFunc(f.storeQuarantine))
	tree.Add(f.versions)
	tree.Add(serviceFunc(f.storeSoftware))
	tree.Add(serviceFunc(f.refreshLimits))
	tree.Add(serviceFunc(f.publishLoad))
	stopped := tree.ServeBackground(ctx)
	servers := f.serve()
	go func() { _ = f.peers.Serve(f.peersListener) }()
	defer f.pool.Close()
	defer peer.Stop(f.peers)
	f.log.Info("started", "zone", f.settings.Zone, "callers", f.settings.Callers,
		"peers", f.settings.Peers, "store", f.settings.Store, "memory", f.settings.MemoryBytes, "bufferedBytesBounded", f.settings.BoundBufferedBytes)
	f.drain(ctx, signals, servers)
	cancel()
	if err := <-stopped; err != nil && !errors.Is(err, context.Canceled) {
		f.log.Error(err, "supervisor failed")
	}
	f.log.Info("stopped", "open", f.open.Load())
	return nil
}

// serve starts the HTTP servers. The first one serves the callers.
func (f *Front) serve() []*keepalive.Server {
	ready := chi.NewRouter()
	ready.Get(platform.ReadyPath, f.readyPage)
	var servers []*keepalive.Server
	metricsRouter := chi.NewRouter()
	metricsRouter.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		f.metrics.Set("log_lines_dropped", f.LogLinesDropped())
		f.metrics.Set("held_bytes", f.budget.Held())
		f.metrics.Set("server_bytes_most", f.outstanding.Most())
		f.metrics.Set("waiting_connections_ended", servers[0].Ended())
		if _, err := f.metrics.WriteTo(w); err != nil {
			f.log.Error(err, "failed to send metrics page")
		}
	})
	metricsRouter.Post(explain.RoutePath, f.explainRoute)
	// A router would refuse the methods that it does not know.
	callers := http.HandlerFunc(f.handle)
	for _, s := range []struct {
		listener net.Listener
		handler  http.Handler
	}{{f.callers, callers}, {f.readiness, ready}, {f.metricsListener, metricsRouter}} {
		if s.listener == nil {
			continue
		}
		server := keepalive.New(&http.Server{
			Handler: s.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerLimit,
			DisableGeneralOptionsHandler: true,
		}, s.listener)
		if f.budget != nil {
			server.SetSocketBuffers(socketBuffer)
			server.SetMaxWaiting(max(int(waitingShare*float64(f.settings.MemoryBytes))/waitingMemory, 1))
		}
		servers = append(servers, server)
		go func() { _ = server.Serve() }()
	}
	return servers
}

func (f *Front) readyPage(w http.ResponseWriter, _ *http.Request) {
	if f.draining.Load() || f.state.Configuration() == nil || !f.state.Loaded() || !f.startupDone() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// contactTimeout is how long a new process waits for a first report from another host before it becomes ready without
// one. Until a report is received, the process does not know which slots of the backend servers the other hosts use.
const contactTimeout = 800 * time.Millisecond

// catchUpTimeout is how long a new process that has an older configuration than other hosts waits for theirs before it
// becomes ready and serves requests.
const catchUpTimeout = 3 * time.Second

// startupDone reports whether another host has reported or contactTimeout has passed since the start, and this host does
// not wait for a newer configuration or for evacuations that the store has lost.
func (f *Front) startupDone() bool {
	if !f.hasReports() {
		return f.now().Sub(f.startedAt) > contactTimeout && !f.catchingUp()
	}
	return !f.catchingUp() && (!f.state.AwaitsRetained() || f.now().Sub(f.startedAt) > retainedWait)
}

// catchingUp reports whether this host has just started and other hosts have a newer configuration.
func (f *Front) catchingUp() bool {
	return f.state.Outdated() && f.now().Sub(f.startedAt) <= catchUpTimeout
}

func (f *Front) hasReports() bool {
	f.reportsMu.Lock()
	defer f.reportsMu.Unlock()
	return len(f.reports) > 0
}

// previousProcessEnd returns the latest time at which an earlier process of this host may have been running, or the
// zero time when there was none.
func (f *Front) previousProcessEnd() time.Time {
	if f.settings.FirstStart {
		return time.Time{}
	}
	return f.startedAt
}

// hosts returns an upper bound on the number of hosts that may be serving requests.
func (f *Front) hosts() int { return f.exchange.Hosts() }

func (f *Front) configure(c *fleet.Configuration) {
	names := make([]string, len(c.Workspaces))
	for i, w := range c.Workspaces {
		names[i] = w.Name
	}
	f.exchange.SetWorkspaces(names)
	f.limiterMu.Lock()
	defer f.limiterMu.Unlock()
	f.limiter.Configure(c.Workspaces, f.now())
}

func (f *Front) allGroups() []*group {
	f.groupsMu.Lock()
	defer f.groupsMu.Unlock()
	return slices.Collect(maps.Values(f.groups))
}

// group returns the group of a service and creates it on first use.
func (f *Front) group(service string) *group {
	f.groupsMu.Lock()
	defer f.groupsMu.Unlock()
	g := f.groups[service]
	if g == nil {
		g = newGroup(service, f.settings.Zone, f.settings.Limits.Retry, f.previousProcessEnd(), f.now)
		g.begins = func(software string) bool { return f.versions.usable(service, software) }
		f.groups[service] = g
	}
	return g
}

// setServers distributes the usable backend servers, and those that are not usable only because their zone is evacuated, to
// the groups of their services. A service without usable backend servers keeps an empty group.
func (f *Front) setServers(usable, evacuated []registry.State) {
	byService, excluded := map[string][]registry.State{}, map[string][]registry.State{}
	for _, s := range evacuated {
		excluded[s.Service] = append(excluded[s.Service], s)
		byService[s.Service] = nil
	}
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
	f.setIdleLimits(usable)
	f.registerCold(usable, evacuated)
	applyLimits := f.currentLimits()
	for service, servers := range byService {
		g := f.group(service)
		g.setEvacuated(excluded[service])
		g.setServers(servers)
		// Waiting requests are sent as soon as the pools have a new server, so its limits must be known before.
		applyLimits(g)
		g.refresh()
	}
	f.recordServerKeys(usable)
}

const (
	// maxIdlePerServer is the number of idle connections that one host keeps to a backend server. A host rarely has more
	// requests at one server at a time.
	maxIdlePerServer = 6
	// idleShare is the fraction of a backend server's connection limit that the idle connections of all hosts may take.
	idleShare = 0.4
)

// setIdleLimits keeps connections to the usable backend servers only, and few enough for the servers' connection limits.
func (f *Front) setIdleLimits(usable []registry.State) {
	config := f.state.Configuration()
	hosts := f.hosts()
	limits := make([]platform.IdleLimit, 0, len(usable))
	for _, s := range usable {
		maxConnections := 0
		if config != nil && config.Services[s.Service] != nil {
			maxConnections = config.Services[s.Service].MaxConnections
		}
		limits = append(limits, platform.IdleLimit{Server: s.Server, Connections: idleLimit(maxConnections, hosts)})
	}
	f.backends.SetIdleLimits(limits)
}

// idleLimit returns how many idle connections a host keeps to a backend server that accepts maxConnections from all
// hosts together; 0 means that the limit is not known.
func idleLimit(maxConnections, hosts int) int {
	if maxConnections <= 0 {
		return maxIdlePerServer
	}
	return min(max(int(idleShare*float64(maxConnections))/max(hosts, 1), 1), maxIdlePerServer)
}
