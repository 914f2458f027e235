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
)

// Supervision limits: a part that fails more often than this is restarted after a pause.
const (
	failureThreshold = 5
	failureDecay     = 30 // seconds
	failureBackoff   = time.Second
	stopTimeout      = 5 * time.Second
	// releaseTimeout bounds the release of requests that were cut.
	releaseTimeout = 2 * time.Second
)

// Run serves until a signal drains the daemon or ctx ends. The first signal starts the drain, the second one
// ends it. It returns a *DrainError when requests were cut.
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
		d.Log.Error(err, "supervisor ended")
	}
	d.releaseCut(ctx)
	d.close()
	d.Log.Info("daemon stopped")
	return drainErr
}

// releaseCut frees what engines hold for requests that were cut, so that no other host has to.
func (d *Daemon) releaseCut(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if err := d.Router.Drain(ctx); err != nil {
		d.Log.Error(err, "engines may hold memory until another host releases it")
	}
}

// close ends what New and the services leave behind.
func (d *Daemon) close() {
	if d.Parts != nil {
		d.Close()
	}
	d.pool.Close()
	d.engines.Close()
	_ = d.store.Close()
	d.closeListeners()
}

// supervisor builds the tree of the design page. The parts keep their state in the Daemon, so that a restart of
// a supervisor loses only what its goroutines held.
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
	front.Add(&httpService{name: "callers", server: d.callerServer(), listener: d.listeners.callers})
	front.Add(&httpService{name: "operators", server: d.operatorServer(), listener: d.listeners.operators})
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

// httpService runs an HTTP server on a listener that was opened at start.
type httpService struct {
	name     string
	server   *http.Server
	listener net.Listener
}

// Serve implements suture.Service. Open requests were finished by the drain before ctx ends.
func (h *httpService) Serve(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- h.server.Serve(h.listener) }()
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
			_ = h.server.Close()
		}
		return ctx.Err()
	}
}

// String names the service in supervisor events.
func (h *httpService) String() string { return h.name }

// grpcService runs the server for other hosts.
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
		g.server.Stop()
		return ctx.Err()
	}
}

// String names the service in supervisor events.
func (g *grpcService) String() string { return "peers" }
