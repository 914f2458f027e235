package exchange

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/peer"
	"github.com/boragecourse/boragecourse/internal/wait"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

const (
	// interval is the longest time between two rounds of reports in a small fleet; unreachableAfter is a multiple of it.
	interval = 250 * time.Millisecond
	// spacing is the shortest time between two rounds, so that changes in quick succession share a report.
	spacing = 20 * time.Millisecond
	// relayedInterval and relayedSpacing apply in fleets with relays, where each host has fewer streams to report.
	relayedInterval = 400 * time.Millisecond
	relayedSpacing  = 30 * time.Millisecond
	// spacingHosts is the number of hosts above which the spacing grows in proportion to the fleet. Rounds then carry the
	// changes of more hosts, but there are fewer of them in a second.
	spacingHosts = 40
	// branchedRelayInterval and branchedInterval bound the time between two rounds of relays and of the other hosts in zones
	// with branches, where a report passes through five hosts instead of three and must still arrive within
	// unreachableAfterRelayed when a relay fails: 500 + 300 + 3*120 + 300 ms and reportTimeout.
	branchedRelayInterval = 120 * time.Millisecond
	branchedInterval      = 300 * time.Millisecond
	// livenessInterval is the time after which a host without changes sends a new report, so that it counts as reachable.
	livenessInterval = 500 * time.Millisecond
	// standbyInterval is the time between two reports to a relay that is not in use.
	standbyInterval = 250 * time.Millisecond
	// contactsInterval is the time between two requests for the addresses of other hosts.
	contactsInterval = time.Second
	// discoveryTime is how long after its start a host asks for all contacts, and not only for those of hosts that have more
	// than itself. Parts of a restarted fleet that found each other from different seeds have as many hosts but others, and
	// stayed apart until they took each other for unreachable. Relays always do, so that a split heals later as well.
	discoveryTime = 10 * time.Second
	// reportTimeout bounds one report call. It is below unreachableAfter, so that a dead connection is detected in time.
	reportTimeout = 700 * time.Millisecond
	// maxTimeouts is the number of consecutive time-outs after which a connection is closed, since it may be dead while
	// a new connection would work.
	maxTimeouts = 2
	// fetchTimeout bounds the transfer of another host's copy of the store.
	fetchTimeout = time.Second
	// connectionIdle is how long a connection to a host that is no destination any more stays open.
	connectionIdle = 10 * time.Second
)

// StateVersion is the version of a host's copy of the store.
type StateVersion struct {
	// Revision is the store's revision with its era (kvstore.InEra), 0 without a copy.
	Revision int64
	// Configuration is the version of the host's configuration, 0 if it has none.
	Configuration uint64
}

// Local is the local host: it supplies the contents of reports and receives those of other hosts.
type Local interface {
	// Fill sets the resource usage and the state version in a report.
	Fill(r *peerv1.FrontReport)
	// DecodeRate returns the rate in tokens a second at which hosts extrapolate the output of each other's runs.
	DecodeRate() float64
	// ServerKey returns the key of the backend server with a hash (see ServerHash), empty if it is not known.
	ServerKey(hash uint64) string
	// ReportsReceived is called with the reports of other hosts that one message contained, as far as they are newer than
	// the previous ones. The first report of an incarnation is complete; later ones may be partial.
	ReportsReceived(reports []*peerv1.FrontReport)
	// Changed is called on each state transition of another host.
	Changed(t Transition)
	// State returns what has changed in the local copy of the store after a version; revision 0 stands for all of it.
	State(since StateVersion) *peerv1.FetchStateResponse
	// StateVersion returns the version of the local copy of the store.
	StateVersion() StateVersion
	// ApplyState receives another host's copy of the store, or the changes of it after the local revision, requested at
	// requestedAt. fromRelay is set when the other host is the relay that reads the store for this one.
	ApplyState(from string, state *peerv1.FetchStateResponse, requestedAt time.Time, fromRelay bool)
	// ShouldFetch reports whether a copy of the store with the given version and age is needed: it is newer than the local
	// one while the store does not respond to this host, or it has a configuration that the store no longer has.
	ShouldFetch(version StateVersion, age time.Duration) bool
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
	linkMbps    int32
	incarnation uint64
	local       Local
	pool        Pool
	log         logr.Logger
	metrics     *metrics.Registry
	now         func() time.Time

	sent, received traffic

	wake chan struct{}

	// refreshMu is held while this host's report is filled and recorded, so that an older one does not replace a newer one. It
	// is locked before mu.
	refreshMu sync.Mutex

	// receiveMu is held while reports are received, so that the local host gets them in the order of their sequences. It is
	// locked before mu.
	receiveMu sync.Mutex

	mu        sync.Mutex
	directory *Directory
	feed      *feed
	leaving   bool
	startedAt time.Time
	// bumpedAt is when the sequence of this host's report last rose.
	bumpedAt time.Time
	links    map[string]*link
	fetching bool
	role     Role
	// fetchAfter is the earliest time of the next request for another host's copy of the store.
	fetchAfter time.Time
	copies     *copyBudget
	workspaces *workspaceList
}

// link is the state of the reports between this host and another address.
type link struct {
	// busy is set while a call is in progress; timeouts counts consecutive time-outs.
	busy     bool
	timeouts int
	// incarnation is the process at the address. It has all reports up to the position acknowledged of this host's feed,
	// and this host has received those up to the position received of its feed.
	incarnation            uint64
	acknowledged, received uint64
	// send and pull are the scopes to which the positions apply.
	send, pull Scope
	lastCall   time.Time
	// contactsAskedAt is when the address was last asked for contacts. It is kept for each address: seeds that are down are
	// tried once a second, too, and would get every request for contacts otherwise.
	contactsAskedAt time.Time
}

// Options are the dependencies and settings of an Exchange. Address is the address at which other hosts reach this one,
// and Seeds are the first addresses to contact.
type Options struct {
	Name, Address string
	Zone          string
	// LinkMbps is the bandwidth of this host's network link.
	LinkMbps    int32
	Incarnation uint64
	Seeds       []string
	Local       Local
	Pool        Pool
	Log         logr.Logger
	Metrics     *metrics.Registry
	Now         func() time.Time
}

// New returns an exchange. It sends no reports until Serve is called.
func New(o Options) *Exchange {
	return &Exchange{
		startedAt: o.Now(), copies: newCopyBudget(o.LinkMbps, o.Now()), name: o.Name, self: o.Address, zone: o.Zone, linkMbps: o.LinkMbps, incarnation: o.Incarnation, local: o.Local, pool: o.Pool, log: o.Log,
		metrics: o.Metrics, now: o.Now, wake: make(chan struct{}, 1), directory: NewDirectory(o.Address, o.Zone, o.LinkMbps, o.Seeds),
		feed: newFeed(o.Address, o.Local.ServerKey), links: map[string]*link{},
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

// Members returns all hosts that may be serving requests, including this one.
func (e *Exchange) Members() []Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.directory.Members()
}

// FollowsRelay reports whether the relays of the zone read the store for this host.
func (e *Exchange) FollowsRelay() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.directory.FollowsRelay(e.now())
}

// Relayed reports whether relays read the store for the other hosts of their zones.
func (e *Exchange) Relayed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.directory.relayed()
}

// Contacts returns the sorted addresses of the reachable hosts.
func (e *Exchange) Contacts() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.directory.Contacts()
}

// SetWorkspaces sets the names of the workspaces of the local configuration, in any order. Hosts with the same workspaces
// refer to them by index.
func (e *Exchange) SetWorkspaces(names []string) {
	list := newWorkspaceList(names)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.workspaces = list
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

// pace returns the longest and the shortest time between two rounds of reports.
func (e *Exchange) pace() (longest, shortest time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.directory.relayed() {
		return interval, spacing
	}
	shortest = max(relayedSpacing, relayedSpacing*time.Duration(e.directory.HostCount())/spacingHosts)
	switch {
	case !e.directory.branched():
		return max(relayedInterval, shortest), shortest
	case e.directory.Role(e.now()) != Plain:
		return branchedRelayInterval, min(shortest, branchedRelayInterval)
	default:
		return branchedInterval, min(shortest, branchedInterval)
	}
}

// Leave tells the other hosts, directly or through the relays, that this one serves no more requests. It returns when
// all calls have ended.
func (e *Exchange) Leave(ctx context.Context) {
	e.mu.Lock()
	e.leaving = true
	routes := e.directory.LeaveRoutes(e.now())
	e.mu.Unlock()
	e.refresh()
	var group sync.WaitGroup
	for _, address := range routes {
		group.Go(func() { e.send(ctx, Route{Address: address, Send: OwnReport}) })
	}
	group.Wait()
}

func (e *Exchange) sendRound(ctx context.Context) {
	e.sent.flush(e.metrics, "sent")
	e.received.flush(e.metrics, "received")
	e.refresh()
	e.mu.Lock()
	now := e.now()
	changes := e.directory.Check(now)
	for _, c := range changes {
		if c.State == Removed {
			e.feed.remove(c.Address, c.Incarnation)
		}
	}
	e.feed.expire(now)
	var routes []Route
	for _, r := range e.directory.Routes(now) {
		l := e.linkTo(r.Address)
		if l.busy || r.Standby && now.Sub(l.lastCall) < standbyInterval {
			continue
		}
		l.busy, l.lastCall = true, now
		routes = append(routes, r)
	}
	idle := e.idleLinks(now)
	role, previous := e.directory.Role(now), e.role
	e.role = role
	e.mu.Unlock()
	if role != previous {
		e.log.Info("role in the exchange of reports changed", "role", role, "previous", previous)
		e.metrics.Inc("exchange_role_changes", metrics.L("role", string(role)))
	}
	e.applyTransitions(changes)
	if len(idle) > 0 {
		e.pool.Prune(func(address string) bool { return !idle[address] })
	}
	for _, r := range routes {
		go func() {
			defer func() {
				e.mu.Lock()
				e.linkTo(r.Address).busy = false
				e.mu.Unlock()
			}()
			e.send(ctx, r)
		}()
	}
}

// linkTo returns the link to an address. e.mu must be held.
func (e *Exchange) linkTo(address string) *link {
	l := e.links[address]
	if l == nil {
		l = &link{}
		e.links[address] = l
	}
	return l
}

// idleLinks removes the links that have not been used for connectionIdle and returns their addresses. e.mu must be held.
func (e *Exchange) idleLinks(now time.Time) map[string]bool {
	idle := map[string]bool{}
	for address, l := range e.links {
		if !l.busy && now.Sub(l.lastCall) > connectionIdle {
			delete(e.links, address)
			idle[address] = true
		}
	}
	return idle
}

func (e *Exchange) applyTransitions(changes []Transition) {
	for _, c := range changes {
		e.log.Info("host "+string(c.State), "address", c.Address, "incarnation", fmt.Sprintf("%x", c.Incarnation), "quiet", c.SinceReport)
		e.metrics.Inc("host_changes", metrics.L("state", string(c.State)))
		e.local.Changed(c)
	}
}

// refreshVersion brings this host's report in the feed up to date if it names an older configuration than the present one.
func (e *Exchange) refreshVersion() {
	version := e.local.StateVersion()
	e.mu.Lock()
	own := e.feed.incarnation(e.incarnation)
	outdated := own == nil || own.ConfigurationVersion < version.Configuration
	e.mu.Unlock()
	if outdated {
		e.refresh()
	}
}

// refresh brings this host's report in the feed up to date.
func (e *Exchange) refresh() {
	e.refreshMu.Lock()
	defer e.refreshMu.Unlock()
	e.mu.Lock()
	r := &peerv1.FrontReport{
		Name: e.name, Address: e.self, Zone: e.zone, LinkMbps: e.linkMbps, Incarnation: e.incarnation, Leaving: e.leaving,
	}
	e.mu.Unlock()
	e.local.Fill(r)
	rate := e.local.DecodeRate()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	bump := !e.directory.relayed() || now.Sub(e.bumpedAt) >= livenessInterval
	if e.feed.update(r, bump, e.directory.relayed(), rate, now) || bump {
		e.bumpedAt = now
	}
}

func (e *Exchange) send(ctx context.Context, r Route) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	request, workspaces, sentUpTo := e.request(r)
	requestedAt := e.now()
	e.sent.count(request, request.Reports, nil)
	reply, err := peerv1.NewFrontsClient(e.pool.Conn(r.Address)).Report(ctx, request)
	if err == nil {
		e.received.count(reply, reply.Reports, reply.State)
		if reply.State != nil {
			e.local.ApplyState(r.Address, reply.State, requestedAt, true)
		}
		e.replied(r, reply, request, workspaces, sentUpTo)
		return
	}
	e.metrics.Inc("reports_failed")
	e.mu.Lock()
	e.directory.RecordCall(r.Address, false, e.now())
	l := e.linkTo(r.Address)
	closeConn := false
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		l.timeouts++
		if closeConn = l.timeouts >= maxTimeouts; closeConn {
			l.timeouts = 0
		}
	}
	e.mu.Unlock()
	if closeConn {
		e.pool.Prune(func(a string) bool { return a != r.Address })
	}
}

// request builds the message for a route. It returns the list of workspaces that the message names, and the position of the
// feed that it leads to.
func (e *Exchange) request(r Route) (*peerv1.ReportRequest, *workspaceList, uint64) {
	version := e.local.StateVersion()
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.linkTo(r.Address)
	if l.send != r.Send {
		l.send, l.acknowledged = r.Send, 0
	}
	if l.pull != r.Pull {
		l.pull, l.received = r.Pull, 0
	}
	// The process at the address may have been replaced by one of an earlier version, so the request names all workspaces.
	form := form{changedUses: e.compact(r.Address, l.incarnation)}
	request := &peerv1.ReportRequest{
		Reports: e.feed.since(l.acknowledged, r.Address, form, r.Send == MemberReports, e.scopeFilter(r.Send, r.Address)), Caller: e.self, Incarnation: e.incarnation,
		Pull: scopeToWire[r.Pull], Since: l.received, SinceIncarnation: l.incarnation,
	}
	now := e.now()
	if r.Pull == AllReports && e.directory.FollowsRelay(now) {
		request.FollowsStore, request.StoreRevision = true, kvstore.WithoutEra(version.Revision)
		request.StoreEra, request.ConfigurationVersion = proto.Int64(kvstore.Era(version.Revision)), version.Configuration
	}
	if r.Pull != NoReports && now.Sub(l.contactsAskedAt) >= contactsInterval || !e.directory.relayed() {
		l.contactsAskedAt = now
		request.Contacts = int32(e.directory.HostCount())
		if now.Sub(e.startedAt) < discoveryTime || e.directory.IsRelay(now) {
			request.Contacts = 1
		}
	}
	if r.Pull != NoReports {
		request.WorkspaceList = e.workspaces.identity()
	}
	return request, e.workspaces, e.feed.position
}

// compact reports whether a process gets uses as changes. In a small fleet and to hosts of earlier versions, uses are sent
// as a whole. e.mu must be held.
func (e *Exchange) compact(address string, incarnation uint64) bool {
	return e.directory.relayed() && e.feed.merges(address, incarnation)
}

var scopeToWire = map[Scope]peerv1.Scope{
	NoReports: peerv1.Scope_SCOPE_NONE, OwnReport: peerv1.Scope_SCOPE_OWN, ZoneReports: peerv1.Scope_SCOPE_ZONE, AllReports: peerv1.Scope_SCOPE_ALL,
}

// scopeFilter selects the reports of a scope, except that of the host which receives them. e.mu must be held while the
// filter is used.
func (e *Exchange) scopeFilter(scope Scope, receiver string) func(entry *feedEntry) bool {
	return func(entry *feedEntry) bool {
		r := entry.report
		if r.Address == receiver {
			return false
		}
		switch scope {
		case NoReports:
			return false
		case OwnReport:
			return r.Address == e.self
		case ZoneReports:
			return r.Zone == e.zone
		case MemberReports:
			return r.Zone == e.zone && entry.direct(e.self)
		default:
			return true
		}
	}
}

// replied evaluates the response to a report. workspaces is the list that the request named.
func (e *Exchange) replied(r Route, reply *peerv1.ReportResponse, request *peerv1.ReportRequest, workspaces *workspaceList, sentUpTo uint64) {
	readable := workspaces.expandAll(reply.Reports)
	complete := e.receive(readable, r.Address) && len(readable) == len(reply.Reports)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	e.directory.RecordCall(r.Address, true, now)
	l := e.linkTo(r.Address)
	l.timeouts = 0
	switch {
	case reply.Incarnation != l.incarnation:
		// The process at the address is another one than the request was meant for. If nothing was left out of the
		// request, it has what it needs.
		if l.acknowledged != 0 {
			sentUpTo = 0
		}
		l.incarnation, l.acknowledged, l.received = reply.Incarnation, sentUpTo, 0
	case reply.NeedsFull:
		l.acknowledged = 0
	default:
		l.acknowledged = max(l.acknowledged, sentUpTo)
	}
	if r.Pull != NoReports {
		l.received = reply.Position
		if !complete {
			l.received = 0
		}
	}
	for _, c := range reply.Peers {
		e.directory.AddCandidate(c.Address, c.Zone)
	}
	if request.Pull == peerv1.Scope_SCOPE_ALL && carriesChanges(readable) {
		// More changes are likely, so the next round does not wait for the interval.
		e.Notify()
	}
}

// carriesChanges reports whether any of the reports is more than a sign of life.
func carriesChanges(reports []*peerv1.FrontReport) bool {
	for _, r := range reports {
		if !r.Partial || !r.KeepsUses || r.Evidence != nil || r.Limits != nil || r.Observations != nil || len(r.Admitted) > 0 || len(r.Generations) > 0 {
			return true
		}
	}
	return false
}

// Report receives the reports of another host and returns those that it asks for. The response contains this host's
// contacts when the caller has fewer, so that hosts discover each other.
func (e *Exchange) Report(_ context.Context, r *peerv1.ReportRequest) (*peerv1.ReportResponse, error) {
	reply := e.respond(r)
	e.sent.count(reply, reply.Reports, reply.State)
	return reply, nil
}

func (e *Exchange) respond(r *peerv1.ReportRequest) *peerv1.ReportResponse {
	e.received.count(r, r.Reports, nil)
	complete := e.receive(r.Reports, r.Caller)
	e.refreshVersion()
	var state *peerv1.FetchStateResponse
	if r.FollowsStore {
		since := StateVersion{Revision: kvstore.InEra(r.GetStoreEra(), r.StoreRevision), Configuration: r.ConfigurationVersion}
		if r.StoreEra == nil {
			present := e.local.StateVersion()
			since = StateVersion{kvstore.InEra(kvstore.Era(present.Revision), r.StoreRevision), present.Configuration}
		}
		state = e.local.State(since)
	}
	size := proto.Size(state)
	e.mu.Lock()
	defer e.mu.Unlock()
	if state != nil && !state.Partial && !e.copies.allow(size, e.now()) {
		state = nil
		e.metrics.Inc("state_copies_deferred")
	}
	since := r.Since
	if r.SinceIncarnation != e.incarnation {
		since = 0
	}
	form := form{changedUses: e.compact(r.Caller, r.Incarnation), workspaces: e.workspaces.ifNamed(r.WorkspaceList)}
	reply := &peerv1.ReportResponse{
		Reports: e.feed.since(since, r.Caller, form, false, e.scopeFilter(scopeFromWire(r.Pull), r.Caller)), Position: e.feed.position, Incarnation: e.incarnation,
		NeedsFull: !complete, State: state,
	}
	if r.Contacts > 0 && e.directory.HostCount() > int(r.Contacts) {
		for _, address := range e.directory.Contacts() {
			reply.Peers = append(reply.Peers, &peerv1.Contact{Address: address, Zone: e.directory.Zone(address)})
		}
	}
	return reply
}

func scopeFromWire(s peerv1.Scope) Scope {
	for scope, wire := range scopeToWire {
		if wire == s {
			return scope
		}
	}
	return NoReports
}

// FetchState returns this host's copy of the store.
func (e *Exchange) FetchState(_ context.Context, r *peerv1.FetchStateRequest) (*peerv1.FetchStateResponse, error) {
	state := e.local.State(StateVersion{kvstore.InEra(r.Era, r.Revision), r.ConfigurationVersion})
	size := proto.Size(state)
	e.mu.Lock()
	allowed := state.GetPartial() || e.copies.allow(size, e.now())
	e.mu.Unlock()
	if !allowed {
		e.metrics.Inc("state_copies_deferred")
		return nil, status.Error(codes.ResourceExhausted, "too many copies of the store requested")
	}
	e.sent.count(nil, nil, state)
	return state, nil
}

// receive records reports of other hosts, which the host at the address from has sent, and passes on those that are newer than the recorded ones. It returns false
// when one of them is partial and its base is missing here.
func (e *Exchange) receive(reports []*peerv1.FrontReport, from string) bool {
	if len(reports) == 0 {
		return true
	}
	e.receiveMu.Lock()
	defer e.receiveMu.Unlock()
	complete := true
	var newer []*peerv1.FrontReport
	var changes []Transition
	var addresses []string
	var versions []StateVersion
	e.mu.Lock()
	now := e.now()
	for _, r := range reports {
		if r.Incarnation == e.incarnation {
			continue
		}
		known, isNewer, transitions := e.record(r, from, now)
		changes = append(changes, transitions...)
		if known == nil {
			// A host that has left is not needed again.
			complete = complete && r.Leaving
		}
		if isNewer {
			newer, addresses = append(newer, r), append(addresses, known.Address)
			versions = append(versions, e.feed.version(r))
		}
	}
	role := e.directory.Role(now)
	relay := role == FirstRelay || role == Branch
	e.mu.Unlock()
	e.applyTransitions(changes)
	if len(newer) == 0 {
		return complete
	}
	if relay && carriesChanges(newer) {
		e.Notify()
	}
	e.local.ReportsReceived(newer)
	for i, r := range newer {
		if e.local.ShouldFetch(versions[i], time.Duration(r.StateAgeMillis)*time.Millisecond) {
			e.fetch(addresses[i])
			break
		}
	}
	return complete
}

// record records the report of another host. known is the report that tells who the host is, nil if a partial report has no
// base here; isNewer is set if the report is newer than the recorded one. e.mu must be held.
func (e *Exchange) record(r *peerv1.FrontReport, from string, now time.Time) (known *peerv1.FrontReport, isNewer bool, transitions []Transition) {
	known = r
	if r.Partial {
		if known = e.feed.incarnation(r.Incarnation); known == nil {
			return nil, false, nil
		}
	}
	host := Host{Address: known.Address, Zone: known.Zone, LinkMbps: known.LinkMbps}
	isNewer, transitions = e.directory.Receive(host, r.Incarnation, r.Sequence, r.Leaving, now)
	if isNewer || r.Leaving && len(transitions) > 0 {
		e.feed.merge(r, from, now)
	}
	return known, isNewer, transitions
}

// fetch requests another host's copy of the store in the background. Only one transfer runs at a time, and none
// shortly after a failed one; further calls return without effect.
func (e *Exchange) fetch(address string) {
	e.mu.Lock()
	busy := e.fetching || e.now().Before(e.fetchAfter)
	e.fetching = e.fetching || !busy
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
		version := e.local.StateVersion()
		state, err := peerv1.NewFrontsClient(e.pool.Conn(address)).FetchState(ctx, &peerv1.FetchStateRequest{
			Revision: kvstore.WithoutEra(version.Revision), Era: kvstore.Era(version.Revision), ConfigurationVersion: version.Configuration,
		})
		if err != nil {
			e.mu.Lock()
			e.fetchAfter = e.now().Add(copyPause + rand.N(copyPause))
			e.mu.Unlock()
			if status.Code(err) == codes.ResourceExhausted {
				return
			}
			e.metrics.Inc("state_transfers_failed")
			e.log.Error(err, "failed to fetch store copy from another host", "from", address)
			return
		}
		e.received.count(nil, nil, state)
		e.local.ApplyState(address, state, requestedAt, false)
	}()
}
