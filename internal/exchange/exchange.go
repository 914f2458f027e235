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
	"github.com/boragecourse/boragecourse/internal/wait"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

const (
	// interval is the longest time between two reports; silentAfter is a few of them.
	interval = 250 * time.Millisecond
	// spacing is the shortest time between two reports, so that changes that come together are told together.
	spacing = 20 * time.Millisecond
	// relayedInterval and relayedSpacing hold in fleets with relays; each host has fewer streams there.
	relayedInterval = 500 * time.Millisecond
	relayedSpacing  = 30 * time.Millisecond
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
	zone        string
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
	// newest holds the newest report of each known host; sent is what each address was last told of them.
	newest map[string]*peerv1.FrontReport
	sent   map[string]map[string]uint64
}

// Options are the parts of an exchange.
type Options struct {
	Name, Address string
	Zone          string
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
		name: o.Name, self: o.Address, zone: o.Zone, incarnation: o.Incarnation, local: o.Local, pool: o.Pool, log: o.Log, metrics: o.Metrics,
		now: o.Now, wake: make(chan struct{}, 1), directory: NewDirectory(o.Address, o.Zone, o.Seeds),
		busy: map[string]bool{}, timeouts: map[string]int{}, newest: map[string]*peerv1.FrontReport{}, sent: map[string]map[string]uint64{},
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
	for {
		e.round(ctx)
		longest, shortest := e.pace()
		if err := wait.For(ctx, shortest); err != nil {
			return err
		}
		timer := time.NewTimer(longest - shortest)
		select {
		case <-e.wake:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// pace returns the longest and the shortest time between two reports.
func (e *Exchange) pace() (longest, shortest time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.directory.relayed() {
		return relayedInterval, relayedSpacing
	}
	return interval, spacing
}

// Leave tells every known host that this one takes no more requests.
func (e *Exchange) Leave(ctx context.Context) {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	var group sync.WaitGroup
	for _, address := range e.Contacts() {
		group.Go(func() { e.send(ctx, Route{Address: address}) })
	}
	group.Wait()
}

func (e *Exchange) round(ctx context.Context) {
	e.mu.Lock()
	now := e.now()
	changes := e.directory.Check(now)
	var routes []Route
	for _, r := range e.directory.Routes(now) {
		if !e.busy[r.Address] {
			e.busy[r.Address] = true
			routes = append(routes, r)
		}
	}
	e.mu.Unlock()
	e.changed(changes)
	for _, r := range routes {
		go func() {
			defer func() {
				e.mu.Lock()
				delete(e.busy, r.Address)
				e.mu.Unlock()
			}()
			e.send(ctx, r)
		}()
	}
}

func (e *Exchange) changed(changes []Transition) {
	for _, c := range changes {
		if c.State == Forgotten {
			e.mu.Lock()
			delete(e.newest, c.Address)
			delete(e.sent, c.Address)
			e.mu.Unlock()
		}
		e.log.Info("host "+string(c.State), "address", c.Address, "incarnation", fmt.Sprintf("%x", c.Incarnation), "quiet", c.Quiet)
		e.metrics.Inc("host_changes", metrics.L("state", string(c.State)))
		e.local.Changed(c)
	}
}

func (e *Exchange) send(ctx context.Context, r Route) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	request, told := e.request(r)
	answer, err := peerv1.NewFrontsClient(e.pool.Conn(r.Address)).Report(ctx, request)
	if err == nil {
		e.mu.Lock()
		delete(e.timeouts, r.Address)
		e.sent[r.Address] = told
		for _, address := range answer.Peers {
			e.directory.Learn(address)
		}
		e.mu.Unlock()
		return
	}
	e.metrics.Inc("reports_failed")
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return
	}
	e.mu.Lock()
	e.timeouts[r.Address]++
	giveUp := e.timeouts[r.Address] >= maxTimeouts
	if giveUp {
		delete(e.timeouts, r.Address)
	}
	e.mu.Unlock()
	if giveUp {
		e.pool.Prune(func(a string) bool { return a != r.Address })
	}
}

// request builds the message for a route: the own report, and those to relay that are newer than what the address was
// told. It also returns what the address will have been told.
func (e *Exchange) request(r Route) (*peerv1.ReportRequest, map[string]uint64) {
	own := e.report()
	e.mu.Lock()
	defer e.mu.Unlock()
	request := &peerv1.ReportRequest{Reports: []*peerv1.FrontReport{own}, Contacts: int32(len(e.directory.Contacts()))}
	if r.Relay == nil {
		return request, nil
	}
	told := map[string]uint64{}
	for address, report := range e.newest {
		if address == r.Address || !r.Relay(report.Zone) {
			continue
		}
		told[address] = report.Sequence ^ report.Incarnation
		if e.sent[r.Address][address] != told[address] {
			request.Reports = append(request.Reports, report)
		}
	}
	return request, told
}

func (e *Exchange) report() *peerv1.FrontReport {
	e.mu.Lock()
	e.sequence++
	r := &peerv1.FrontReport{
		Name: e.name, Address: e.self, Zone: e.zone, Incarnation: e.incarnation, Sequence: e.sequence, Leaving: e.leaving,
	}
	e.mu.Unlock()
	e.local.Fill(r)
	return r
}

// Report implements the service.
func (e *Exchange) Report(_ context.Context, r *peerv1.ReportRequest) (*peerv1.ReportResponse, error) {
	for _, report := range r.Reports {
		e.hear(report)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	answer := &peerv1.ReportResponse{}
	if contacts := e.directory.Contacts(); len(contacts) > int(r.Contacts) {
		answer.Peers = contacts
	}
	return answer, nil
}

// FetchState implements the service.
func (e *Exchange) FetchState(context.Context, *peerv1.FetchStateRequest) (*peerv1.FetchStateResponse, error) {
	return e.local.State(), nil
}

func (e *Exchange) hear(r *peerv1.FrontReport) {
	e.mu.Lock()
	newer, changes := e.directory.Hear(r.Address, r.Zone, r.Incarnation, r.Sequence, r.Leaving, e.now())
	if newer {
		e.newest[r.Address] = r
	}
	if r.Leaving {
		delete(e.newest, r.Address)
	}
	relay := e.directory.IsRelay()
	e.mu.Unlock()
	if newer && relay {
		e.Notify()
	}
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
