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
	// interval is the longest time between two reports; unreachableAfter is a multiple of it.
	interval = 250 * time.Millisecond
	// spacing is the shortest time between two reports, so that changes in quick succession share a report.
	spacing = 20 * time.Millisecond
	// relayedInterval and relayedSpacing apply in fleets with relays, where each host has fewer streams to report.
	relayedInterval = 500 * time.Millisecond
	relayedSpacing  = 30 * time.Millisecond
	// reportTimeout bounds one report call. It is below unreachableAfter, so that a dead connection is detected in time.
	reportTimeout = 700 * time.Millisecond
	// maxTimeouts is the number of consecutive time-outs after which a connection is closed, since it may be dead while
	// a new connection would work.
	maxTimeouts = 2
	// fetchTimeout bounds the transfer of another host's copy of the store.
	fetchTimeout = time.Second
)

// Local is the local host: it supplies the contents of reports and receives those of other hosts.
type Local interface {
	// Fill sets the resource usage and the state version in a report.
	Fill(r *peerv1.FrontReport)
	// ReportReceived is called with each report of another host that is newer than its previous one.
	ReportReceived(r *peerv1.FrontReport)
	// Changed is called on each state transition of another host.
	Changed(t Transition)
	// State returns the local copy of the store.
	State() *peerv1.FetchStateResponse
	// ApplyState receives another host's copy of the store, which was requested at requestedAt.
	ApplyState(from string, state *peerv1.FetchStateResponse, requestedAt time.Time)
	// ShouldFetch reports whether a copy of the store with the given revision and age is newer than the local one while
	// the store does not respond to this host.
	ShouldFetch(revision int64, age time.Duration) bool
}

// Pool provides connections to other hosts. Prune closes those for which keep returns false.
type Pool interface {
	peer.Dialer
	Prune(keep func(address string) bool)
}

// Exchange sends reports to the other hosts and receives theirs.
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
	// busy holds the addresses to which a call is in progress; timeouts counts consecutive time-outs by address.
	busy     map[string]bool
	timeouts map[string]int
	fetching bool
	// newest holds the latest report of each known host, by the host's address. sent holds, for each destination
	// address, the versions of the relayed reports as of the last successful call.
	newest map[string]*peerv1.FrontReport
	sent   map[string]map[string]uint64
}

// Options are the dependencies and settings of an Exchange. Address is the address at which other hosts reach this one,
// and Seeds are the first addresses to contact.
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

// New returns an exchange. It sends no reports until Serve is called.
func New(o Options) *Exchange {
	return &Exchange{
		name: o.Name, self: o.Address, zone: o.Zone, incarnation: o.Incarnation, local: o.Local, pool: o.Pool, log: o.Log, metrics: o.Metrics,
		now: o.Now, wake: make(chan struct{}, 1), directory: NewDirectory(o.Address, o.Zone, o.Seeds),
		busy: map[string]bool{}, timeouts: map[string]int{}, newest: map[string]*peerv1.FrontReport{}, sent: map[string]map[string]uint64{},
	}
}

// Register registers the gRPC service through which other hosts send their reports and fetch the store copy.
func (e *Exchange) Register(s grpc.ServiceRegistrar) { peerv1.RegisterFrontsServer(s, e) }

// Notify triggers a report without waiting for the interval. It does not block.
func (e *Exchange) Notify() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Hosts returns an upper bound on the number of hosts that may be serving requests, including this one.
func (e *Exchange) Hosts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.directory.Hosts()
}

// Contacts returns the sorted addresses of the reachable hosts.
func (e *Exchange) Contacts() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.directory.Contacts()
}

// Serve sends reports until ctx ends. It implements suture.Service.
func (e *Exchange) Serve(ctx context.Context) error {
	for {
		e.sendRound(ctx)
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

// Leave notifies every reachable host that this one serves no more requests. It returns when all calls have ended.
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

func (e *Exchange) sendRound(ctx context.Context) {
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
	e.applyTransitions(changes)
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

func (e *Exchange) applyTransitions(changes []Transition) {
	for _, c := range changes {
		if c.State == Removed {
			e.mu.Lock()
			delete(e.newest, c.Address)
			delete(e.sent, c.Address)
			e.mu.Unlock()
		}
		e.log.Info("host "+string(c.State), "address", c.Address, "incarnation", fmt.Sprintf("%x", c.Incarnation), "quiet", c.SinceReport)
		e.metrics.Inc("host_changes", metrics.L("state", string(c.State)))
		e.local.Changed(c)
	}
}

func (e *Exchange) send(ctx context.Context, r Route) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	request, versions := e.request(r)
	reply, err := peerv1.NewFrontsClient(e.pool.Conn(r.Address)).Report(ctx, request)
	if err == nil {
		e.mu.Lock()
		delete(e.timeouts, r.Address)
		e.sent[r.Address] = versions
		for _, address := range reply.Peers {
			e.directory.AddCandidate(address)
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
	closeConn := e.timeouts[r.Address] >= maxTimeouts
	if closeConn {
		delete(e.timeouts, r.Address)
	}
	e.mu.Unlock()
	if closeConn {
		e.pool.Prune(func(a string) bool { return a != r.Address })
	}
}

// request builds the message for a route: this host's report, and those reports to relay whose version differs from the
// one that was last sent to the address. It also returns the versions to store in sent if the call succeeds.
func (e *Exchange) request(r Route) (*peerv1.ReportRequest, map[string]uint64) {
	own := e.report()
	e.mu.Lock()
	defer e.mu.Unlock()
	request := &peerv1.ReportRequest{Reports: []*peerv1.FrontReport{own}, Contacts: int32(len(e.directory.Contacts()))}
	if r.Relay == nil {
		return request, nil
	}
	versions := map[string]uint64{}
	for address, report := range e.newest {
		if address == r.Address || !r.Relay(report.Zone) {
			continue
		}
		versions[address] = report.Sequence ^ report.Incarnation
		if e.sent[r.Address][address] != versions[address] {
			request.Reports = append(request.Reports, report)
		}
	}
	return request, versions
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

// Report receives the reports of another host. The response contains this host's contacts when the sender has fewer, so
// that hosts discover each other.
func (e *Exchange) Report(_ context.Context, r *peerv1.ReportRequest) (*peerv1.ReportResponse, error) {
	for _, report := range r.Reports {
		e.receive(report)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	reply := &peerv1.ReportResponse{}
	if contacts := e.directory.Contacts(); len(contacts) > int(r.Contacts) {
		reply.Peers = contacts
	}
	return reply, nil
}

// FetchState returns this host's copy of the store.
func (e *Exchange) FetchState(context.Context, *peerv1.FetchStateRequest) (*peerv1.FetchStateResponse, error) {
	return e.local.State(), nil
}

func (e *Exchange) receive(r *peerv1.FrontReport) {
	e.mu.Lock()
	newer, changes := e.directory.Receive(r.Address, r.Zone, r.Incarnation, r.Sequence, r.Leaving, e.now())
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
	e.applyTransitions(changes)
	if !newer {
		return
	}
	e.local.ReportReceived(r)
	if e.local.ShouldFetch(r.StateRevision, time.Duration(r.StateAgeMillis)*time.Millisecond) {
		e.fetch(r.Address)
	}
}

// fetch requests another host's copy of the store in the background. Only one transfer runs at a time; further calls
// return without effect.
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
		requestedAt := e.now()
		state, err := peerv1.NewFrontsClient(e.pool.Conn(address)).FetchState(ctx, &peerv1.FetchStateRequest{})
		if err != nil {
			e.metrics.Inc("state_transfers_failed")
			e.log.Error(err, "failed to fetch store copy from another host", "from", address)
			return
		}
		e.local.ApplyState(address, state, requestedAt)
	}()
}
