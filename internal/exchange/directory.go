// Package exchange distributes reports among the entry hosts. A report contains the host's resource usage and the
// version of its copy of the store. In a small fleet every host sends its reports to every other one. In a larger one
// two hosts of each zone are relays: a host exchanges reports with the first relay of its zone, and the first relays of
// the zones exchange those of their zones. In a zone of more than 40 hosts, branches stand between the other hosts and the
// first relay. Only what has changed is sent. The number of messages that a host sends is
// constant, and that of a relay grows with the hosts of its zone and with the number of zones. There is no consensus;
// each host acts on the latest reports that it has received.
package exchange

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/boragecourse/boragecourse/internal/serverlimit"
)

const (
	// meshLimit is the number of hosts up to which every host reports to every other one.
	meshLimit = 8
	// unreachableAfter is how long after its last report a host counts as unreachable. It is a few report intervals, so
	// that a single late report does not make the host unreachable.
	unreachableAfter = time.Second
	// unreachableAfterRelayed replaces unreachableAfter in fleets with relays. It allows for the time that the
	// replacement of a failed relay takes.
	unreachableAfterRelayed = 2500 * time.Millisecond
	// removeAfter is how long after its last report a host is assumed to serve requests. A partitioned host serves
	// requests for as long as callers reach it; this bounds how long capacity is reserved for it.
	removeAfter = 15 * time.Second
	// seedPause is the time between attempts to contact an address from which no report was received.
	seedPause = time.Second
	// maxAttempts is the number of addresses without reports that are contacted in one round, so that a host that learns
	// of a large fleet does not contact all of it at once. The others become known through the relays.
	maxAttempts = 3
	// relaysPerZone is the number of hosts of a zone that receive reports directly from all others. The second one
	// replaces the first at once when that fails, since it has the same reports.
	relaysPerZone = 2
	// branchLimit is the number of hosts that one relay serves. In larger zones, hosts with the next fastest links are
	// branches: each exchanges the reports of about branchHosts hosts with the first relay. With 100 hosts in a zone, the
	// first relay and the branches serve about equally many.
	branchLimit = 40
	branchHosts = 10
	// avoidAfterFailure is how long a relay is not used after a failed call, if another one is left.
	avoidAfterFailure = 2 * time.Second
)

// PeerState is the state of another host as seen by this one. Its values are used in logs and metrics.
type PeerState string

// States of other hosts.
const (
	// Reachable means that reports are received, for the first time or again.
	Reachable PeerState = "heard"
	// Unreachable means that reports are overdue. The host may still serve requests.
	Unreachable PeerState = "silent"
	// Left means that the host announced its shutdown.
	Left PeerState = "left"
	// Restarted means that the incarnation was replaced by another one at the same address.
	Restarted PeerState = "restarted"
	// Removed means that the host sent no report for removeAfter and is assumed to serve no requests.
	Removed PeerState = "forgotten"
)

// Transition is a state change of another host.
type Transition struct {
	Address     string
	Incarnation uint64
	State       PeerState
	// SinceReport is the time since the last report. It is zero for a first report, a restart and a shutdown.
	SinceReport time.Duration
}

type host struct {
	zone string
	// linkMbps is the bandwidth of the host's network link.
	linkMbps              int32
	incarnation, sequence uint64
	lastReport            time.Time
	unreachable           bool
	// lastAttempt is the time of the last attempt to contact the host while it was unreachable. avoidUntil is set after
	// a failed call.
	lastAttempt, avoidUntil time.Time
}

// candidate is an address from which no report was received yet. zone is empty for seeds.
type candidate struct {
	zone        string
	lastAttempt time.Time
}

// Directory tracks the other known hosts and their states. It is not safe for concurrent use.
type Directory struct {
	self     string
	zone     string
	linkMbps int32
	peers    map[string]*host
	// left holds the incarnations that announced their shutdown, so that a delayed report does not add them again.
	left map[uint64]bool
	// removed holds the last sequence of the incarnations that were removed, so that an old report, which another host
	// still passes on, does not add them again.
	removed    map[uint64]uint64
	candidates map[string]*candidate
}

// NewDirectory returns a directory without known hosts. linkMbps is the bandwidth of this host's network link; seeds are
// the addresses to contact first.
func NewDirectory(self, zone string, linkMbps int32, seeds []string) *Directory {
	d := &Directory{self: self, zone: zone, linkMbps: linkMbps, peers: map[string]*host{}, left: map[uint64]bool{},
		removed: map[uint64]uint64{}, candidates: map[string]*candidate{}}
	for _, s := range seeds {
		d.AddCandidate(s, "")
	}
	return d
}

// AddCandidate adds an address to contact, unless it is known already. The zone is empty if it is not known.
func (d *Directory) AddCandidate(address, zone string) {
	if address == d.self || d.peers[address] != nil {
		return
	}
	if _, known := d.candidates[address]; !known {
		d.candidates[address] = &candidate{zone: zone}
	}
}

// Receive records a received report and returns the resulting transitions. It returns true if the report comes from a
// host that was unknown, from another incarnation than the recorded one, or has a higher sequence number than the
// recorded one. It returns false for every other report, and always if the report has no address or this host's own,
// announces that the host leaves, comes from an incarnation that has left, or is not newer than what was known of an
// incarnation when it was removed.
func (d *Directory) Receive(h Host, incarnation, sequence uint64, leaving bool, now time.Time) (bool, []Transition) {
	address := h.Address
	if address == d.self || address == "" || d.left[incarnation] {
		return false, nil
	}
	p := d.peers[address]
	if leaving {
		d.left[incarnation] = true
		delete(d.peers, address)
		return false, []Transition{{Address: address, Incarnation: incarnation, State: Left}}
	}
	var changes []Transition
	switch {
	case p == nil && sequence <= d.removed[incarnation] && d.removed[incarnation] > 0:
		return false, nil
	case p != nil && p.incarnation == incarnation && sequence <= p.sequence:
		return false, nil
	case p == nil:
		p = &host{incarnation: incarnation}
		d.peers[address] = p
		delete(d.candidates, address)
		delete(d.removed, incarnation)
		changes = append(changes, Transition{Address: address, Incarnation: incarnation, State: Reachable})
	case p.incarnation != incarnation:
		changes = append(changes, Transition{Address: address, Incarnation: p.incarnation, State: Restarted},
			Transition{Address: address, Incarnation: incarnation, State: Reachable})
		*p = host{incarnation: incarnation}
	case p.unreachable:
		changes = append(changes, Transition{Address: address, Incarnation: incarnation, State: Reachable, SinceReport: now.Sub(p.lastReport)})
	}
	p.zone, p.linkMbps, p.sequence, p.lastReport, p.unreachable = h.Zone, h.LinkMbps, max(sequence, p.sequence), now, false
	return true, changes
}

// Host is what a report says of the host itself.
type Host struct {
	Address, Zone string
	LinkMbps      int32
}

// Check marks hosts with overdue reports as Unreachable, removes those that have not reported for removeAfter, and
// returns these transitions.
func (d *Directory) Check(now time.Time) []Transition {
	var changes []Transition
	limit := unreachableAfter
	if d.relayed() {
		limit = unreachableAfterRelayed
	}
	for address, p := range d.peers {
		age := now.Sub(p.lastReport)
		switch {
		case age > removeAfter:
			delete(d.peers, address)
			d.removed[p.incarnation] = p.sequence
			d.AddCandidate(address, p.zone)
			changes = append(changes, Transition{Address: address, Incarnation: p.incarnation, State: Removed, SinceReport: age})
		case age > limit && !p.unreachable:
			p.unreachable = true
			changes = append(changes, Transition{Address: address, Incarnation: p.incarnation, State: Unreachable, SinceReport: age})
		}
	}
	return changes
}

// relayed reports whether the fleet is too large for every host to report to every other one.
func (d *Directory) relayed() bool { return len(d.peers)+1 > meshLimit }

// Scope selects reports by the zone of their host.
type Scope int

// Scopes of reports.
const (
	NoReports Scope = iota
	OwnReport
	ZoneReports
	AllReports
	// MemberReports are those of this host's zone that were received from their own hosts, and its own. It is used only to
	// send.
	MemberReports
)

// Route is a destination of a round of reports.
type Route struct {
	Address string
	// Send selects the reports to send, Pull those to ask for.
	Send, Pull Scope
	// Standby is set for a relay that is kept informed for the case that the first one fails.
	Standby bool
}

// Routes returns the destinations of a round of reports, sorted by address. It records the time of each attempt to
// contact a host that is unreachable or has not reported yet.
func (d *Directory) Routes(now time.Time) []Route {
	var routes []Route
	if !d.relayed() {
		for address, p := range d.peers {
			if !p.unreachable {
				routes = append(routes, Route{Address: address, Send: OwnReport})
			}
		}
	} else {
		routes = d.relayRoutes(now)
	}
	routes = append(routes, d.attempts(now)...)
	slices.SortFunc(routes, func(a, b Route) int { return strings.Compare(a.Address, b.Address) })
	return routes
}

// relayRoutes returns the destinations in a fleet with relays, without those that are contacted for the first time.
func (d *Directory) relayRoutes(now time.Time) []Route {
	relays := d.relaysOf(d.zone, now)
	own := slices.Index(relays, d.self)
	if own == 0 {
		return d.zoneRoutes(now)
	}
	if branches := d.branches(); own < 0 && len(branches) > 0 {
		return d.branchRoutes(branches, relays, now)
	}
	// A host whose view of the zone differs from that of others passes on what they have sent it as their relay.
	send := MemberReports
	if own > 0 {
		// What a host could send to the second relay only reaches the first one this way.
		send = ZoneReports
	}
	routes := []Route{{Address: relays[0], Send: send, Pull: AllReports}}
	if own < 0 && len(relays) > 1 {
		routes = append(routes, Route{Address: relays[1], Send: OwnReport, Standby: true})
	}
	return routes
}

// branchRoutes returns the destinations of a host that is not one of the two relays, in a zone with branches. A host that
// is no branch passes on, too, what hosts with another view of the zone have sent it.
func (d *Directory) branchRoutes(branches, relays []string, now time.Time) []Route {
	if slices.Contains(branches, d.self) {
		return []Route{
			{Address: relays[0], Send: MemberReports, Pull: AllReports},
			{Address: relays[1], Send: MemberReports, Standby: true},
		}
	}
	return []Route{{Address: d.branchOf(branches, relays[0], now), Send: MemberReports, Pull: AllReports}}
}

// branchOf returns the branch that this host uses: the first one in a rendezvous order, so that the failure of a branch
// moves only its own hosts and spreads them over the others. If calls to all of them have just failed, it returns the
// first relay.
func (d *Directory) branchOf(branches []string, relay string, now time.Time) string {
	best, bestScore := relay, uint64(0)
	for _, address := range branches {
		if p := d.peers[address]; p != nil && now.Before(p.avoidUntil) {
			continue
		}
		if score := mix(serverlimit.Hash(address + " " + d.self)); best == relay || score > bestScore {
			best, bestScore = address, score
		}
	}
	return best
}

// mix spreads the bits of a hash. The upper ones of serverlimit.Hash hardly depend on the end of the hashed string.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// branches returns the branches of this host's zone, none if the zone is small. Failed calls have no effect on them, so
// that hosts agree on them as far as they agree on who is reachable.
func (d *Directory) branches() []string {
	if !d.branched() {
		return nil
	}
	all := []ranked{{address: d.self, link: d.linkMbps}}
	for address, p := range d.peers {
		if p.zone == d.zone && !p.unreachable {
			all = append(all, ranked{address: address, link: p.linkMbps})
		}
	}
	slices.SortFunc(all, compareRanks)
	var out []string
	for _, r := range all[relaysPerZone : relaysPerZone+(len(all)+branchHosts-1)/branchHosts] {
		out = append(out, r.address)
	}
	return out
}

// branched reports whether this host's zone has branches.
func (d *Directory) branched() bool {
	n := 1
	for _, p := range d.peers {
		if p.zone == d.zone && !p.unreachable {
			n++
		}
	}
	return n > branchLimit
}

// Role is what a host does in the exchange of reports. Its values are used in logs and metrics.
type Role string

// Roles.
const (
	// Plain hosts exchange reports with a relay or a branch, or with all hosts of a small fleet.
	Plain       Role = "plain"
	Branch      Role = "branch"
	FirstRelay  Role = "relay"
	SecondRelay Role = "second relay"
)

// Role returns the role of this host.
func (d *Directory) Role(now time.Time) Role {
	if !d.relayed() {
		return Plain
	}
	switch own := slices.Index(d.relaysOf(d.zone, now), d.self); {
	case own == 0:
		return FirstRelay
	case own > 0:
		return SecondRelay
	case slices.Contains(d.branches(), d.self):
		return Branch
	default:
		return Plain
	}
}

// zoneRoutes returns the first relays of the other zones.
func (d *Directory) zoneRoutes(now time.Time) []Route {
	var routes []Route
	for zone := range d.zones() {
		if zone == d.zone {
			continue
		}
		if relays := d.relaysOf(zone, now); len(relays) > 0 {
			routes = append(routes, Route{Address: relays[0], Send: ZoneReports, Pull: ZoneReports})
		}
	}
	return routes
}

// attempts returns the unreachable and unknown hosts that are contacted in this round, those first that were not
// contacted for the longest time, and among these those of its own zone, where its relays are. In a fleet with relays only the first relay of a zone contacts hosts of other zones.
func (d *Directory) attempts(now time.Time) []Route {
	type attempt struct {
		address string
		last    *time.Time
		foreign int
	}
	var due []attempt
	consider := func(address, zone string, last *time.Time) {
		allowed := zone == "" || zone == d.zone || !d.relayed() || d.IsRelay(now)
		if allowed && (last.IsZero() || now.Sub(*last) >= seedPause) {
			foreign := 0
			if zone != d.zone {
				foreign = 1
			}
			due = append(due, attempt{address, last, foreign})
		}
	}
	for address, p := range d.peers {
		if p.unreachable {
			consider(address, p.zone, &p.lastAttempt)
		}
	}
	for address, c := range d.candidates {
		consider(address, c.zone, &c.lastAttempt)
	}
	slices.SortFunc(due, func(a, b attempt) int {
		return cmp.Or(a.last.Compare(*b.last), cmp.Compare(a.foreign, b.foreign), strings.Compare(a.address, b.address))
	})
	var routes []Route
	for _, a := range due[:min(len(due), maxAttempts)] {
		*a.last = now
		routes = append(routes, Route{Address: a.address, Send: OwnReport, Pull: ZoneReports})
	}
	return routes
}

// zones returns the zones of the reachable hosts.
func (d *Directory) zones() map[string]bool {
	zones := map[string]bool{d.zone: true}
	for _, p := range d.peers {
		if !p.unreachable {
			zones[p.zone] = true
		}
	}
	return zones
}

// IsRelay reports whether this host is the first relay of its zone.
func (d *Directory) IsRelay(now time.Time) bool {
	return d.relayed() && d.relaysOf(d.zone, now)[0] == d.self
}

// FollowsRelay reports whether the relays of the zone, and not this host, read the store.
func (d *Directory) FollowsRelay(now time.Time) bool {
	return d.relayed() && !slices.Contains(d.relaysOf(d.zone, now), d.self)
}

// relaysOf returns the relays of a zone, the first one first: the reachable hosts with the fastest links, and among
// equal ones those with the lowest addresses. Hosts to which a call has just failed come last.
func (d *Directory) relaysOf(zone string, now time.Time) []string {
	var all []ranked
	if zone == d.zone {
		all = append(all, ranked{d.self, false, d.linkMbps})
	}
	for address, p := range d.peers {
		if p.zone == zone && !p.unreachable {
			all = append(all, ranked{address, now.Before(p.avoidUntil), p.linkMbps})
		}
	}
	slices.SortFunc(all, compareRanks)
	var relays []string
	for _, r := range all[:min(len(all), relaysPerZone)] {
		relays = append(relays, r.address)
	}
	return relays
}

// ranked is a host that may be a relay.
type ranked struct {
	address string
	avoided bool
	link    int32
}

// compareRanks orders hosts by their suitability as relays.
func compareRanks(a, b ranked) int {
	if a.avoided != b.avoided {
		if a.avoided {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(b.link, a.link), strings.Compare(a.address, b.address))
}

// RecordCall records the result of a call to a host.
func (d *Directory) RecordCall(address string, ok bool, now time.Time) {
	p := d.peers[address]
	switch {
	case p == nil:
	case ok:
		p.avoidUntil = time.Time{}
	default:
		p.avoidUntil = now.Add(avoidAfterFailure)
	}
}

// HostCount returns the number of reachable hosts, including this one.
func (d *Directory) HostCount() int {
	n := 1
	for _, p := range d.peers {
		if !p.unreachable {
			n++
		}
	}
	return n
}

// LeaveRoutes returns the addresses to which this host says that it leaves: those that pass it on, or all hosts in a
// small fleet.
func (d *Directory) LeaveRoutes(now time.Time) []string {
	if !d.relayed() {
		return d.Contacts()
	}
	var out []string
	for zone := range d.zones() {
		for i, address := range d.relaysOf(zone, now) {
			if address != d.self && (i == 0 || zone == d.zone) {
				out = append(out, address)
			}
		}
	}
	if branches := d.branches(); len(branches) > 0 && !slices.Contains(branches, d.self) {
		out = append(out, d.branchOf(branches, d.relaysOf(d.zone, now)[0], now))
		slices.Sort(out)
		out = slices.Compact(slices.DeleteFunc(out, func(address string) bool { return address == d.self }))
	}
	return out
}

// Zone returns the zone of a known host.
func (d *Directory) Zone(address string) string {
	if p := d.peers[address]; p != nil {
		return p.zone
	}
	return ""
}

// Contacts returns the sorted addresses of the reachable hosts.
func (d *Directory) Contacts() []string {
	var contacts []string
	for address, p := range d.peers {
		if !p.unreachable {
			contacts = append(contacts, address)
		}
	}
	slices.Sort(contacts)
	return contacts
}

// Hosts returns an upper bound on the number of hosts that may be serving requests, including this one. Unreachable
// hosts count until they are removed.
func (d *Directory) Hosts() int { return len(d.peers) + 1 }

// Members returns all hosts that may be serving requests, including this one.
func (d *Directory) Members() []Member {
	members := []Member{{Address: d.self, Zone: d.zone}}
	for address, p := range d.peers {
		members = append(members, Member{Address: address, Zone: p.zone})
	}
	return members
}

// Member is a host that may be serving requests.
type Member struct{ Address, Zone string }
