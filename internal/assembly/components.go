// Package assembly constructs the components of one host and connects them. The daemon passes in the real store, peers
// and engines; tests pass in-memory stand-ins.
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
	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/peer"
	"github.com/boragecourse/boragecourse/internal/placement"
	"github.com/boragecourse/boragecourse/internal/quota"
	"github.com/boragecourse/boragecourse/internal/request"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// Dependencies holds the external dependencies and the settings of a host's components.
type Dependencies struct {
	Self    host.ID
	Store   kvstore.Store
	Hosts   kvstore.Hosts
	Dialer  peer.Dialer
	Engines engine.Directory
	Metrics *metrics.Registry
	Log     logr.Logger

	// SeedPeers are peer addresses of other hosts. The platform's host list is in the store, so a host that starts
	// while the store is unavailable can fetch its configuration only from these peers.
	SeedPeers []string

	Timing membership.Timing
	// TrustPeriod is how long after its last confirmation a configuration may serve keyed requests; see config.Options.
	TrustPeriod time.Duration
	Placement   placement.Options
	Commands    command.Options
	Request     request.Settings
}

// Components holds the connected components of one host. They keep their state when a supervisor restarts their
// services.
type Components struct {
	Self    host.ID
	Log     logr.Logger
	Metrics *metrics.Registry
	hosts   kvstore.Hosts
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
func New(deps Dependencies) (*Components, error) {
	c := &Components{Self: deps.Self, Log: deps.Log, Metrics: deps.Metrics, hosts: deps.Hosts, seeds: deps.SeedPeers}
	c.Events = events.New(deps.Metrics, deps.Log)
	members, err := membership.New(c.membershipOptions(deps))
	if err != nil {
		return nil, fmt.Errorf("create membership service: %w", err)
	}
	c.Members = members
	c.Config = config.New(config.Options{
		Store: deps.Store, Viewer: members, Dialer: deps.Dialer, ExtraPeers: c.listedHosts,
		EpochKey: membership.EpochKey, DecodeEpoch: membership.DecodeEpochNumber,
		TrustPeriod: deps.TrustPeriod, OnInstall: c.onInstall, Log: deps.Log.WithName("config"), Metrics: deps.Metrics,
	})
	c.Quota = quota.New(quota.Options{
		Viewer: members, Spread: members, Dialer: deps.Dialer, Config: c.Config, Metrics: deps.Metrics, Log: deps.Log.WithName("quota"),
	})
	c.Placement = placement.New(placement.Deps{
		Viewer: members, Dialer: deps.Dialer, Config: c.Config, Engines: deps.Engines, Metrics: deps.Metrics, Log: deps.Log.WithName("placement"),
	}, deps.Placement)
	c.Claims = claim.New(claim.Config{}, deps.Store, deps.Dialer, members, deps.Metrics, deps.Log)
	c.Charges = charge.New(charge.Config{}, deps.Store, deps.Dialer, members, deps.Metrics, deps.Log)
	c.Commands = command.New(command.Deps{
		Store: deps.Store, Viewer: members, Config: c.Config, Engines: deps.Engines, Metrics: deps.Metrics, Log: deps.Log.WithName("command"),
	}, deps.Commands)
	c.Router = request.New(request.Deps{
		Config: c.Config, Limiter: c.Quota, Placer: c.Placement, Claims: c.Claims, Charges: c.Charges,
		Engines: deps.Engines, Metrics: deps.Metrics, Log: deps.Log.WithName("request"), Self: deps.Self,
	}, deps.Request)
	return c, nil
}

// membershipOptions connects membership to the configuration through closures, since each depends on the other.
func (c *Components) membershipOptions(deps Dependencies) membership.Options {
	return membership.Options{
		Self: deps.Self, Timing: deps.Timing, Store: deps.Store, Hosts: deps.Hosts, Dialer: deps.Dialer,
		Log: deps.Log.WithName("membership"), Metrics: deps.Metrics,
		Generation: func() uint64 { return c.Config.Generation() },
		FreshnessAge: func() (time.Duration, bool) {
			age := c.Config.FreshnessAge(time.Now())
			return age, age >= 0
		},
		OnPeerConfigStatus: func(r membership.PeerConfigStatus) { c.Config.HintGeneration(r.From, r.Generation) },
	}
}

// Register registers the gRPC services that other hosts call.
func (c *Components) Register(r grpc.ServiceRegistrar) {
	c.Members.Register(r)
	c.Config.Register(r)
	c.Placement.Register(r)
	peerv1.RegisterQuotaServer(r, c.Quota)
	peerv1.RegisterClaimsServer(r, c.Claims)
	peerv1.RegisterChargesServer(r, c.Charges)
}

// Control returns the services for membership and configuration.
func (c *Components) Control() []suture.Service { return []suture.Service{c.Members, c.Config} }

// Work returns the services on which the handling of requests depends, and the service that sends commands to engines.
func (c *Components) Work() []suture.Service {
	return []suture.Service{c.Quota, c.Placement, c.Claims, c.Charges, c.Commands}
}

// Ready returns nil when this host may receive traffic, and otherwise a *NotReadyError with the reason.
func (c *Components) Ready() error {
	switch {
	case !c.Config.Ready():
		return &NotReadyError{Reason: "no configuration"}
	case !c.Members.Epoch().Contains(c.Self):
		return &NotReadyError{Reason: "not in the epoch"}
	}
	return nil
}

// handOverTime is how long a host that has left the epoch still serves the new home hosts, so that they can fetch the
// token buckets that move to them. A new home host fetches its buckets within one tick of receiving the new epoch.
const handOverTime = time.Second

// ReleaseState releases the state that other hosts can take over at once; the last request must have finished. Failures
// are logged and only delay the takeover: grants expire, and the epoch excludes this host once it has stopped.
func (c *Components) ReleaseState(ctx context.Context) {
	for _, step := range []struct {
		name string
		run  func(context.Context) error
	}{
		{"quota", c.Quota.Drain},
		{"claims", c.Claims.Flush},
		{"charges", c.Charges.Flush},
		{"commands", c.releaseCommands},
		{"membership", c.Members.Leave},
	} {
		if err := step.run(ctx); err != nil && !errors.Is(err, context.Canceled) {
			c.Metrics.Inc("hand_back_failures_total")
			c.Log.Error(err, "failed to release state to other hosts", "part", step.name)
		}
	}
	select {
	case <-time.After(handOverTime):
	case <-ctx.Done():
	}
}

// commandReleaseTime bounds the wait for commands in flight, so that the host still leaves the epoch within the time
// limit of ReleaseState. Remaining ownership records expire with their lease.
const commandReleaseTime = 3 * time.Second

func (c *Components) releaseCommands(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, commandReleaseTime)
	defer cancel()
	return c.Commands.Drain(bounded)
}

// Close releases the resources that remain after the services have stopped.
func (c *Components) Close() {
	c.Router.Close()
	_ = c.Events.Close()
}

// onInstall is called with each new configuration. It lets the router refuse queued requests whose key was removed, and
// publishes the event.
func (c *Components) onInstall(_, snap *config.Snapshot) {
	c.Log.Info("configuration installed", "generation", snap.Generation)
	c.Metrics.Set("config_generation", int64(snap.Generation)) //nolint:gosec // Generations stay far below 2^63.
	c.Router.ConfigChanged(snap)
	if err := events.Publish(c.Events, events.SnapshotInstalled{Generation: snap.Generation}); err != nil {
		c.Log.Error(err, "failed to publish configuration event")
	}
}

// listedHostsTimeout bounds the read of the platform's host list, which only supplies additional peers to poll.
const listedHostsTimeout = time.Second

// listedHosts returns the seed peers, or otherwise the live hosts of the platform's list, for a daemon that starts
// without an epoch. It is called with every poll of the configuration. A host that knows an epoch must therefore not
// read the list: that would cost the store two reads per second and host, and delay polls during a store outage.
func (c *Components) listedHosts() []host.ID {
	if c.Members.Epoch().Number > 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), listedHostsTimeout)
	defer cancel()
	ids := make([]host.ID, 0, len(c.seeds))
	for _, addr := range c.seeds {
		ids = append(ids, host.ID{Name: addr, Addr: addr})
	}
	if len(ids) > 0 {
		return ids
	}
	entries, err := c.hosts.ListHosts(ctx)
	if err != nil {
		return nil
	}
	for _, deps := range entries {
		if deps.State == kvstore.HostLive && deps.Name != c.Self.Name {
			ids = append(ids, host.ID{Name: deps.Name, Addr: deps.Addr, Zone: deps.Zone})
		}
	}
	return ids
}
