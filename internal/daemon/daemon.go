// Package daemon runs the components of a host: listeners, supervisors, the operator API and the drain.
package daemon

import (
	"fmt"
	"net"

	"github.com/go-logr/logr"
	"google.golang.org/grpc"

	"github.com/boragecourse/boragecourse/internal/assembly"
	"github.com/boragecourse/boragecourse/internal/engine/openai"
	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/internal/kvstore/etcd"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/peer"
	"github.com/boragecourse/boragecourse/internal/placement"
	"github.com/boragecourse/boragecourse/internal/request"
	"github.com/boragecourse/boragecourse/internal/settings"
)

// Daemon is the process of one host, with its components, listeners and connections.
type Daemon struct {
	*assembly.Components
	settings settings.Daemon

	store   *etcd.Store
	pool    *peer.Pool
	engines *openai.Directory

	peers     *grpc.Server
	listeners listeners
	drainer   drainer
}

// listeners are opened before any component runs, so that an unusable address makes the start fail.
type listeners struct {
	callers, peers, operators net.Listener
}

// New checks the settings, opens the listeners and builds the components. Nothing runs before Run. Errors are
// *settings.Error, *ListenError and those of the store client.
func New(s settings.Daemon, log logr.Logger) (*Daemon, error) {
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("check settings: %w", err)
	}
	store, err := etcd.New(etcd.Options{Endpoints: s.Store})
	if err != nil {
		return nil, fmt.Errorf("create store client: %w", err)
	}
	d := &Daemon{settings: s, store: store, drainer: drainer{begin: make(chan string, 1)}}
	d.pool = peer.NewPool(s.PeerSecret, nil)
	reg := metrics.New()
	d.engines = openai.NewDirectory(openai.Settings{}, reg)
	d.Components, err = d.assemble(s, reg, log)
	if err == nil {
		err = d.listen()
	}
	if err != nil {
		d.close()
		return nil, err
	}
	d.peers = peer.NewServer(s.PeerSecret, nil)
	d.Register(d.peers)
	return d, nil
}

func (d *Daemon) assemble(s settings.Daemon, reg *metrics.Registry, log logr.Logger) (*assembly.Components, error) {
	return assembly.New(assembly.Dependencies{
		Self:  host.ID{Name: s.Name, Addr: s.AdvertisePeers, Zone: s.Zone, Incarnation: host.NewIncarnation()},
		Store: d.store, Hosts: kvstore.NewHostList(d.store), Dialer: d.pool, Engines: d.engines, Metrics: reg, Log: log,
		SeedPeers: s.SeedPeers, Timing: timing(s), TrustPeriod: s.TrustPeriod,
		Placement: placement.Options{FirstToken: s.FirstTokenTarget},
		Request:   request.Settings{DefaultMaxOutput: s.DefaultMaxOutput, MaxOpen: s.MaxOpenRequests},
	})
}

func timing(s settings.Daemon) membership.Timing {
	t := membership.DefaultTiming()
	t.Heartbeat, t.LeaseTTL, t.Isolation = s.HeartbeatInterval, s.LeaseTTL, s.IsolationLimit
	return t
}

func (d *Daemon) listen() error {
	for _, l := range []struct {
		into *net.Listener
		addr string
	}{
		{&d.listeners.callers, d.settings.ListenCallers},
		{&d.listeners.peers, d.settings.ListenPeers},
		{&d.listeners.operators, d.settings.ListenOperators},
	} {
		opened, err := net.Listen("tcp", l.addr)
		if err != nil {
			return &ListenError{Addr: l.addr, Cause: err}
		}
		*l.into = opened
	}
	return nil
}

func (d *Daemon) closeListeners() {
	for _, l := range []net.Listener{d.listeners.callers, d.listeners.peers, d.listeners.operators} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// ready returns nil when this host may receive traffic, and otherwise an error that states why not.
func (d *Daemon) ready() error {
	if d.drainer.started() {
		return &assembly.NotReadyError{Reason: "draining"}
	}
	return d.Ready()
}
