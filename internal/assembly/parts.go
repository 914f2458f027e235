// Package assembly constructs the components of one host and connects them. The daemon passes in the real store, peers
// and engines; tests pass in-memory fakes.
package assembly

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"
	"google.golang.org/grpc"

	"github.com/boragecourse/boragecourse/internal/charge"
	"github.com/boragecourse/boragecourse/internal/claim"
	"github.com/boragecourse/boragecourse/internal/command"
	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/events"
	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/peer"
	"github.com/boragecourse/boragecourse/internal/placement"
	"github.com/boragecourse/boragecourse/internal/platform"
	"github.com/boragecourse/boragecourse/internal/quota"
	"github.com/boragecourse/boragecourse/internal/request"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// Environment holds the external dependencies and the settings of a host's components.
type Environment struct {
	Self    host.ID
	Store   platform.Store
	Hosts   platform.Hosts
	Dialer  peer.Dialer
	Engines engine.Directory
	Metrics *metrics.Registry
	Log     logr.Logger

	// SeedPeers are peer addresses of other hosts. The platform's host list is in the store, so a host that starts
	// while the store is unavailable can fetch its configuration only from these peers.
	SeedPeers []string

	Timing membership.Timing
	// TrustPeriod is passed to config.Options.
	TrustPeriod time.Duration
	Placement   placement.Options
	Commands    command.Options
	Request     request.Settings
}

// Parts holds the connected components of one host. They keep their state when a supervisor restarts their services.
type Parts struct {
	Self    host.ID
	Log     logr.Logger
	Metrics *metrics.Registry
	hosts   platform.Hosts
	seeds   []string

	Events    *events.Bus
	Members   *membership.Service
	Config    *config.Service
	Quota     *quota.Service
	Placement *placement.Service
	Claims    *claim.Coordinator
	Charges   *charge.Ledger
	Commands  *command.Service
	Router    *request.Router
}

// New constructs and connects the components. They are inactive until the services of Control and Work run.
func New(e Environment) (*Parts, error) {
	p := &Parts{Self: e.Self, Log: e.Log, Metrics: e.Metrics, hosts: e.Hosts, seeds: e.SeedPeers}
	p.Events = events.New(e.Metrics, e.Log)
	members, err := membership.New(p.membershipOptions(e))
	if err != nil {
		return nil, fmt.Errorf("create membership service: %w", err)
	}
	p.Members = members
	p.Config = config.New(config.Options{
		Store: e.Store, Viewer: members, Dialer: e.Dialer, ExtraPeers: p.listedHosts,
		EpochKey: membership.EpochKey, DecodeEpoch: membership.DecodeEpochNumber,
		TrustPeriod: e.TrustPeriod, OnInstall: p.installed, Log: e.Log.WithName("config"), Metrics: e.Metrics,
	})
	p.Quota = quota.New(quota.Options{
		Viewer: members, Spread: members, Dialer: e.Dialer, Config: p.Config, Metrics: e.Metrics, Log: e.Log.WithName("quota"),
	})
	p.Placement = placement.New(placement.Deps{
		Viewer: members, Dialer: e.Dialer, Config: p.Config, Engines: e.Engines, Metrics: e.Metrics, Log: e.Log.WithName("placement"),
	}, e.Placement)
	p.Claims = claim.New(claim.Config{}, e.Store, e.Dialer, members, e.Metrics, e.Log)
	p.Charges = charge.New(charge.Config{}, e.Store, e.Dialer, members, e.Metrics, e.Log)
	p.Commands = command.New(command.Deps{
		Store: e.Store, Viewer: members, Config: p.Config, Engines: e.Engines, Metrics: e.Metrics, Log: e.Log.WithName("command"),
	}, e.Commands)
	p.Router = request.New(request.Deps{
		Config: p.Config, Limiter: p.Quota, Placer: p.Placement, Claims: p.Claims, Charges: p.Charges,
		Engines: e.Engines, Metrics: e.Metrics, Log: e.Log.WithName("request"), Self: e.Self,
	}, e.Request)
	return p, nil
}

// membershipOptions connects membership to the configuration through closures, since each depends on the other.
func (p *Parts) membershipOptions(e Environment) membership.Options {
	return membership.Options{
		Self: e.Self, Timing: e.Timing, Store: e.Store, Hosts: e.Hosts, Dialer: e.Dialer,
		Log: e.Log.WithName("membership"), Metrics: e.Metrics,
		Generation: func() uint64 { return p.Config.Generation() },
		FreshnessAge: func() (time.Duration, bool) {
			age := p.Config.FreshnessAge(time.Now())
			return age, age >= 0
		},
		OnPeerReport: func(r membership.PeerReport) { p.Config.HintGeneration(r.From, r.Generation) },
	}
}

// Register registers the gRPC services that other hosts call.
func (p *Parts) Register(r grpc.ServiceRegistrar) {
	p.Members.Register(r)
	p.Config.Register(r)
	p.Placement.Register(r)
	peerv1.RegisterQuotaServer(r, p.Quota)
	peerv1.RegisterClaimsServer(r, p.Claims)
	peerv1.RegisterChargesServer(r, p.Charges)
}

// Control returns the services for membership and configuration.
func (p *Parts) Control() []suture.Service { return []suture.Service{p.Members, p.Config} }

// Work returns the services that the handling of requests depends on, and the one that commands engines.
func (p *Parts) Work() []suture.Service {
	return []suture.Service{p.Quota, p.Placement, p.Claims, p.Charges, p.Commands}
}

// Ready returns nil when this host may receive traffic, and otherwise a *NotReadyError with the reason.
func (p *Parts) Ready() error {
	switch {
	case !p.Config.Ready():
		return &NotReadyError{Reason: "no configuration"}
	case !p.Members.Epoch().Contains(p.Self):
		return &NotReadyError{Reason: "not in the epoch"}
	}
	return nil
}

// handOverTime is how long a host that has left the epoch still serves the new home hosts, so that they can fetch the
// token buckets that move to them. They fetch them within a tick of receiving the new epoch.
const handOverTime = time.Second

// HandBack releases the state that other hosts can take over at once; the last request must have finished. Failures are
// logged and only delay the takeover: grants expire, and the epoch excludes this host once it has stopped.
func (p *Parts) HandBack(ctx context.Context) {
	for _, step := range []struct {
		name string
		run  func(context.Context) error
	}{
		{"quota", p.Quota.Drain},
		{"claims", p.Claims.Flush},
		{"charges", p.Charges.Flush},
		{"commands", p.handBackCommands},
		{"membership", p.Members.Leave},
	} {
		if err := step.run(ctx); err != nil && !errors.Is(err, context.Canceled) {
			p.Metrics.Inc("hand_back_failures_total")
			p.Log.Error(err, "hand-back of state to other hosts failed", "part", step.name)
		}
	}
	select {
	case <-time.After(handOverTime):
	case <-ctx.Done():
	}
}

// commandHandBackTime bounds the wait for commands in flight, so that the host still leaves the epoch within the time
// for the hand-back. Remaining ownership records expire with their lease.
const commandHandBackTime = 3 * time.Second

func (p *Parts) handBackCommands(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, commandHandBackTime)
	defer cancel()
	return p.Commands.Drain(bounded)
}

// Close releases the resources that remain after the services have stopped.
func (p *Parts) Close() {
	p.Router.Close()
	_ = p.Events.Close()
}

// installed is called with each new configuration. It lets the router refuse queued requests whose key was removed, and
// publishes the event.
func (p *Parts) installed(_, snap *config.Snapshot) {
	p.Log.Info("configuration installed", "generation", snap.Generation)
	p.Metrics.Set("config_generation", int64(snap.Generation)) //nolint:gosec // Generations stay far below 2^63.
	p.Router.ConfigChanged(snap)
	if err := events.Publish(p.Events, events.SnapshotInstalled{Generation: snap.Generation}); err != nil {
		p.Log.Error(err, "publish configuration event")
	}
}

// listedHostsTimeout bounds the read of the platform's host list, which only supplies additional peers to poll.
const listedHostsTimeout = time.Second

// listedHosts returns the seed peers, or otherwise the live hosts of the platform's list, for a daemon that starts
// without an epoch. It is called with every poll of the configuration. A host that knows an epoch must therefore not
// read the list: that would cost the store two reads per second and host, and delay polls during a store outage.
func (p *Parts) listedHosts() []host.ID {
	if p.Members.Epoch().Number > 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), listedHostsTimeout)
	defer cancel()
	ids := make([]host.ID, 0, len(p.seeds))
	for _, addr := range p.seeds {
		ids = append(ids, host.ID{Name: addr, Addr: addr})
	}
	if len(ids) > 0 {
		return ids
	}
	entries, err := p.hosts.ListHosts(ctx)
	if err != nil {
		return nil
	}
	for _, e := range entries {
		if e.State == platform.HostLive && e.Name != p.Self.Name {
			ids = append(ids, host.ID{Name: e.Name, Addr: e.Addr, Zone: e.Zone})
		}
	}
	return ids
}
