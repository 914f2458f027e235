package exchange

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/grpc"

	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/peer"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

const (
	// interval is the longest time between two reports; silentAfter is a few of them.
	interval = 250 * time.Millisecond
	// spacing is the shortest time between two reports, so that changes that come together are told together.
	spacing = 20 * time.Millisecond
	// reportTimeout bounds one report. It is below silentAfter, so that a lost connection is noticed in time.
	reportTimeout = 700 * time.Millisecond
	// maxTimeouts is how many reports in a row may time out before the connection is given up: it may be silent
	// although a new one would work.
	maxTimeouts = 2
	// fetchTimeout bounds the transfer of a copy of the store.
	fetchTimeout = time.Second
)

// Local is the host whose state is exchanged.
type Local interface {
	// Fill sets the parts of a report that tell what the host uses and knows.
	Fill(r *peerv1.FrontReport)
	// Reported takes another host's newer report.
	Reported(r *peerv1.FrontReport)
	// Changed is called when the belief about another host changes.
	Changed(t Transition)
	// State returns the host's copy of the store, TakeState takes another host's.
	State() *peerv1.FetchStateResponse
	TakeState(from string, state *peerv1.FetchStateResponse, asked time.Time)
	// Behind tells whether a copy of the store with the given revision and age is newer than the host's own, and the
	// store does not answer the host.
	Behind(revision int64, age time.Duration) bool
}

// Pool gives connections to other hosts.
type Pool interface {
	peer.Dialer
	Prune(keep func(address string) bool)
}

// Exchange reports to the other hosts and takes their reports.
type Exchange struct {
	peerv1.UnimplementedFrontsServer

	name, self  string
	incarnation uint64
	local       Local
	pool        Pool
	log         logr.Logger
	metrics     *metrics.Registry
	now         func() time.Time

	wake chan struct{}

	mu        sync.Mutex
	directory *Directory
	sequence  uint64
	leaving   bool
	busy      map[string]bool
	timeouts  map[string]int
	fetching  bool
}

// Options are the parts of an exchange.
type Options struct {
	Name, Address string
	Incarnation   uint64
	Seeds         []string
	Local         Local
	Pool          Pool
	Log           logr.Logger
	Metrics       *metrics.Registry
	Now           func() time.Time
}

// New returns an exchange that does nothing until Serve.
func New(o Options) *Exchange {
	return &Exchange{
		name: o.Name, self: o.Address, incarnation: o.Incarnation, local: o.Local, pool: o.Pool, log: o.Log, metrics: o.Metrics,
		now: o.Now, wake: make(chan struct{}, 1), directory: NewDirectory(o.Address, o.Seeds),
		busy: map[string]bool{}, timeouts: map[string]int{},
	}
}

// Register adds the service to a server.
func (e *Exchange) Register(s grpc.ServiceRegistrar) { peerv1.RegisterFrontsServer(s, e) }

// Notify has a report sent soon.
func (e *Exchange) Notify() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Hosts is the largest number of hosts that may be taking requests.
func (e *Exchange) Hosts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.directory.Hosts()
}

// Contacts returns the addresses of the hosts in contact.
func (e *Exchange) Contacts() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.directory.Contacts()
}

// Serve reports until ctx ends. It implements suture.Service.
func (e *Exchange) Serve(ctx context.Context) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		e.round(ctx)
		pause := time.NewTimer(spacing)
		select {
		case <-pause.C:
		case <-ctx.Done():
			pause.Stop()
			return ctx.Err()
		}
		select {
		case <-e.wake:
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Leave tells every known host that this one takes no more requests.
func (e *Exchange) Leave(ctx context.Context) {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	var group sync.WaitGroup
	for _, address := range e.Contacts() {
		group.Go(func() { e.send(ctx, address) })
	}
	group.Wait()
}

func (e *Exchange) round(ctx context.Context) {
	e.mu.Lock()
	now := e.now()
	changes := e.directory.Check(now)
	var targets []string
	for _, t := range e.directory.Targets(now) {
		if !e.busy[t] {
			e.busy[t] = true
			targets = append(targets, t)
		}
	}
	e.mu.Unlock()
	e.changed(changes)
	for _, address := range targets {
		go func() {
			defer func() {
				e.mu.Lock()
				delete(e.busy, address)
				e.mu.Unlock()
			}()
			e.send(ctx, address)
		}()
	}
}

func (e *Exchange) changed(changes []Transition) {
	for _, c := range changes {
		e.log.Info("host "+string(c.State), "address", c.Address, "incarnation", fmt.Sprintf("%x", c.Incarnation), "quiet", c.Quiet)
		e.metrics.Inc("host_changes", metrics.L("state", string(c.State)))
		e.local.Changed(c)
	}
}

func (e *Exchange) send(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	answer, err := peerv1.NewFrontsClient(e.pool.Conn(address)).Report(ctx, e.report())
	if err == nil {
		e.mu.Lock()
		delete(e.timeouts, address)
		e.mu.Unlock()
		e.hear(answer)
		return
	}
	e.metrics.Inc("reports_failed")
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return
	}
	e.mu.Lock()
	e.timeouts[address]++
	giveUp := e.timeouts[address] >= maxTimeouts
	if giveUp {
		delete(e.timeouts, address)
	}
	e.mu.Unlock()
	if giveUp {
		e.pool.Prune(func(a string) bool { return a != address })
	}
}

func (e *Exchange) report() *peerv1.FrontReport {
	e.mu.Lock()
	e.sequence++
	r := &peerv1.FrontReport{
		Name: e.name, Address: e.self, Incarnation: e.incarnation, Sequence: e.sequence, Leaving: e.leaving,
		Peers: e.directory.Contacts(),
	}
	e.mu.Unlock()
	e.local.Fill(r)
	return r
}

// Report implements the service.
func (e *Exchange) Report(_ context.Context, r *peerv1.FrontReport) (*peerv1.FrontReport, error) {
	e.hear(r)
	return e.report(), nil
}

// FetchState implements the service.
func (e *Exchange) FetchState(context.Context, *peerv1.FetchStateRequest) (*peerv1.FetchStateResponse, error) {
	return e.local.State(), nil
}

func (e *Exchange) hear(r *peerv1.FrontReport) {
	e.mu.Lock()
	newer, changes := e.directory.Hear(r.Address, r.Incarnation, r.Sequence, r.Leaving, e.now())
	for _, address := range r.Peers {
		e.directory.Learn(address)
	}
	e.mu.Unlock()
	e.changed(changes)
	if !newer {
		return
	}
	e.local.Reported(r)
	if e.local.Behind(r.StateRevision, time.Duration(r.StateAgeMillis)*time.Millisecond) {
		e.fetch(r.Address)
	}
}

// fetch takes another host's copy of the store, one transfer at a time.
func (e *Exchange) fetch(address string) {
	e.mu.Lock()
	busy := e.fetching
	e.fetching = true
	e.mu.Unlock()
	if busy {
		return
	}
	go func() {
		defer func() {
			e.mu.Lock()
			e.fetching = false
			e.mu.Unlock()
		}()
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		asked := e.now()
		state, err := peerv1.NewFrontsClient(e.pool.Conn(address)).FetchState(ctx, &peerv1.FetchStateRequest{})
		if err != nil {
			e.metrics.Inc("state_transfers_failed")
			e.log.Error(err, "copy of the store not fetched", "from", address)
			return
		}
		e.local.TakeState(address, state, asked)
	}()
}
