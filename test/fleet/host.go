package fleet

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/boragecourse/boragecourse/internal/assembly"
	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/test/standin/memnet"
	"github.com/boragecourse/boragecourse/test/standin/memstore"
)

// Host is one host. Each Start replaces the process that runs on it.
type Host struct {
	Name, Zone, Addr string
	*process

	fleet     *Fleet
	storeDown bool
	starts    uint64
}

// process is one incarnation of the daemon. Once it has been killed, its calls to the store and to other hosts fail.
type process struct {
	*assembly.Components
	// Client is the connection to the store.
	Client *memstore.Client
	// Died is the time at which the process was killed or finished its drain; zero while it runs.
	Died time.Time

	ctx  context.Context //nolint:containedctx // Canceled when the process ends.
	stop context.CancelFunc
	dead atomic.Bool
}

// Alive reports whether a process runs on the host.
func (h *Host) Alive() bool { return h.process != nil && !h.dead.Load() }

// Start starts a new incarnation of the daemon on the host.
func (h *Host) Start() error {
	h.starts++
	p := &process{Client: h.fleet.Store.Client()}
	p.Client.SetDown(h.storeDown)
	p.ctx, p.stop = context.WithCancel(context.Background())
	node := h.fleet.Net.Node(h.Addr)
	timing := membership.DefaultTiming()
	timing.Isolation = Isolation
	store := &store{Client: p.Client, fleet: h.fleet, name: h.Name}
	components, err := assembly.New(assembly.Dependencies{
		Self:  host.ID{Name: h.Name, Addr: h.Addr, Zone: h.Zone, Incarnation: h.starts},
		Store: store, Hosts: kvstore.NewHostList(store), Dialer: &dialer{node, p},
		Engines: &directory{h.fleet, h, p}, Metrics: metrics.New(), Log: h.fleet.Log.WithName(h.Name), Timing: timing,
	})
	if err != nil {
		return err
	}
	p.Components = components
	if h.fleet.ModifyParts != nil {
		h.fleet.ModifyParts(components)
	}
	h.process = p
	node.SetDown(false)
	components.Register(node)
	for _, s := range append(components.Control(), components.Work()...) {
		h.fleet.running.Go(func() {
			err := s.Serve(p.ctx)
			if p.ctx.Err() == nil {
				h.fleet.recordFault("host %s: service %T ended unexpectedly: %v", h.Name, s, err)
			}
		})
	}
	h.fleet.running.Go(func() {
		for !components.Config.Ready() && p.ctx.Err() == nil {
			time.Sleep(20 * time.Millisecond)
		}
		components.Members.SetReady()
	})
	return nil
}

// Kill ends the process at once, without a drain: from now on its calls to other hosts and the store fail.
func (h *Host) Kill() { h.kill(h.process) }

func (h *Host) kill(p *process) {
	p.dead.Store(true)
	p.Died = time.Now()
	h.fleet.Net.Node(h.Addr).SetDown(true)
	p.Client.SetDown(true)
	p.stop()
	h.fleet.running.Go(p.Close)
}

// DrainAndStop drains the host as the daemon does on SIGTERM, and then ends the process.
func (h *Host) DrainAndStop(ctx context.Context) error {
	p := h.process
	err := p.Router.Drain(ctx)
	p.ReleaseState(ctx)
	h.kill(p)
	return err
}

// store is one process's connection to the store. It calls the fleet's hook before and after writes of a configuration
// head or a claim.
type store struct {
	*memstore.Client
	fleet *Fleet
	name  string
}

// Txn implements kvstore.Store.
func (s *store) Txn(ctx context.Context, conditions []kvstore.Condition, writes []kvstore.Write) (kvstore.TxnResult, error) {
	step := ""
	for _, w := range writes {
		switch {
		case w.Key == config.HeadKey:
			step = "head"
		case strings.HasPrefix(w.Key, "/boragecourse/claim/") && w.Value != nil:
			step = "claim"
		}
	}
	if step == "" {
		return s.Client.Txn(ctx, conditions, writes)
	}
	if s.fleet.IgnoreConditions {
		conditions = nil
	}
	s.fleet.step(step, s.name)
	res, err := s.Client.Txn(ctx, conditions, writes)
	s.fleet.step(step+" written", s.name)
	return res, err
}

// dialer connects a process to other hosts. Calls fail once the process has ended.
type dialer struct {
	node *memnet.Node
	p    *process
}

// Conn implements peer.Dialer.
func (d *dialer) Conn(addr string) grpc.ClientConnInterface {
	return &conn{d.node.Conn(addr), d.p}
}

type conn struct {
	grpc.ClientConnInterface
	p *process
}

// Invoke implements grpc.ClientConnInterface.
func (c *conn) Invoke(ctx context.Context, method string, args, reply any, opts ...grpc.CallOption) error {
	if c.p.dead.Load() {
		return status.Error(codes.Unavailable, errProcessEnded.Error())
	}
	return c.ClientConnInterface.Invoke(ctx, method, args, reply, opts...)
}

var (
	errProcessEnded    = errors.New("the process has ended")
	errCut             = errors.New("no route to host")
	errAttemptMismatch = errors.New("response carries the id of another attempt")
)
