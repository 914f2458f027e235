package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/thejerf/suture/v4"
	"google.golang.org/grpc"

	"github.com/boragecourse/boragecourse/internal/keepalive"
	"github.com/boragecourse/boragecourse/internal/peer"
)

// Supervision limits. A service that fails more often than failureThreshold, with failures decaying over failureDecay,
// is restarted only after failureBackoff.
const (
	failureThreshold = 5
	failureDecay     = 30 // seconds
	failureBackoff   = time.Second
	stopTimeout      = 5 * time.Second
	// releaseTimeout bounds the release of engine memory after requests were aborted.
	releaseTimeout = 2 * time.Second
)

// Run serves until the daemon has been drained or ctx ends. A signal or an operator's request starts the drain; a
// further signal aborts it. Run returns a *DrainError when the drain ended before all requests had finished.
func (d *Daemon) Run(ctx context.Context, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	root := d.supervisor()
	ended := root.ServeBackground(ctx)
	d.Members.SetReady()
	d.Log.Info("daemon started", "host", d.Self, "zone", d.Self.Zone, "callers", d.listeners.callers.Addr(),
		"peers", d.listeners.peers.Addr(), "operators", d.listeners.operators.Addr())
	var drainErr error
	select {
	case <-ctx.Done():
	case s := <-signals:
		drainErr = d.drain(ctx, "signal "+s.String(), signals)
	case reason := <-d.drainer.begin:
		drainErr = d.drain(ctx, reason, signals)
	}
	cancel()
	if err := <-ended; err != nil && !errors.Is(err, context.Canceled) {
		d.Log.Error(err, "supervisor stopped with an error")
	}
	d.releaseAborted(ctx)
	d.close()
	d.Log.Info("daemon stopped")
	return drainErr
}

// releaseAborted releases the engine memory of requests that were aborted, so that other hosts need not release it.
func (d *Daemon) releaseAborted(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if err := d.Router.Drain(ctx); err != nil {
		d.Log.Error(err, "release of aborted requests incomplete; engines keep their memory until another host releases it")
	}
}

// close releases the resources that New opened and that remain after the services have stopped.
func (d *Daemon) close() {
	if d.Components != nil {
		d.Close()
	}
	d.pool.Close()
	d.engines.Close()
	_ = d.store.Close()
	d.closeListeners()
}

// supervisor builds the supervision tree, with one supervisor each for control, peers, work and the front. The Daemon
// holds the components and their state, so that a restarted service continues with it; only the local variables of its
// goroutines are lost.
func (d *Daemon) supervisor() *suture.Supervisor {
	root := d.newSupervisor("boragecoursed")
	control := d.newSupervisor("control")
	for _, s := range d.Control() {
		control.Add(s)
	}
	peers := d.newSupervisor("peers")
	peers.Add(&grpcService{server: d.peers, listener: d.listeners.peers})
	peers.Add(&epochWatch{d: d})
	work := d.newSupervisor("work")
	for _, s := range d.Work() {
		work.Add(s)
	}
	front := d.newSupervisor("front")
	front.Add(&httpService{name: "callers", server: keepalive.New(d.callerServer(), d.listeners.callers)})
	front.Add(&httpService{name: "operators", server: keepalive.New(d.operatorServer(), d.listeners.operators)})
	for _, s := range []*suture.Supervisor{control, peers, work, front} {
		root.Add(s)
	}
	return root
}

func (d *Daemon) newSupervisor(name string) *suture.Supervisor {
	return suture.New(name, suture.Spec{
		FailureThreshold: failureThreshold, FailureDecay: failureDecay, FailureBackoff: failureBackoff, Timeout: stopTimeout,
		EventHook: func(e suture.Event) {
			d.Metrics.Inc("supervisor_events_total")
			d.Log.Info("supervisor event", "supervisor", name, "detail", e.String())
		},
	})
}

// httpService runs an HTTP server on a listener that New has opened.
type httpService struct {
	name   string
	server *keepalive.Server
}

// Serve implements suture.Service. The drain finishes open requests before ctx ends.
func (h *httpService) Serve(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- h.server.Serve() }()
	select {
	case err := <-failed:
		if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
			return suture.ErrDoNotRestart
		}
		return err
	case <-ctx.Done():
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout/2)
		defer cancel()
		if err := h.server.Shutdown(stop); err != nil {
			return errors.Join(ctx.Err(), err)
		}
		return ctx.Err()
	}
}

// String returns the name of the service in supervisor events.
func (h *httpService) String() string { return h.name }

// grpcService runs the gRPC server for other hosts on a listener that New has opened.
type grpcService struct {
	server   *grpc.Server
	listener net.Listener
}

// Serve implements suture.Service.
func (g *grpcService) Serve(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- g.server.Serve(g.listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		peer.Stop(g.server)
		return ctx.Err()
	}
}

// String returns the name of the service in supervisor events.
func (g *grpcService) String() string { return "peers" }
