// Package exchange distributes reports among the entry hosts. A report contains the host's resource usage and the
// version of its copy of the store. A host reports soon after a change, and periodically otherwise. In a small fleet
// every host reports to every other one. In a larger one a host reports to the hosts of its zone, and one host per
// zone, the relay, forwards the zone's reports to the relays of the other zones and their reports to its zone. The
// number of messages that a host sends then grows with the hosts of its zone, and for a relay also with the number of
// zones, not with all hosts. There is no consensus; each host acts on the latest reports that it has received.
package exchange

import (
	"slices"
	"strings"
	"time"
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
	zone                  string
	incarnation, sequence uint64
	lastReport            time.Time
	unreachable           bool
}

// Directory tracks the other known hosts and their states. It is not safe for concurrent use.
type Directory struct {
	self  string
	zone  string
	peers map[string]*host
	// left holds the incarnations that announced their shutdown, so that a delayed report does not add them again.
	left map[uint64]bool
	// candidates holds the addresses from which no report was received yet, with the time of the last attempt.
	candidates map[string]time.Time
}

// NewDirectory returns a directory without known hosts; seeds are the addresses to contact first.
func NewDirectory(self, zone string, seeds []string) *Directory {
	d := &Directory{self: self, zone: zone, peers: map[string]*host{}, left: map[uint64]bool{}, candidates: map[string]time.Time{}}
	for _, s := range seeds {
		d.AddCandidate(s)
	}
	return d
}

// AddCandidate adds an address to contact, unless it is known already.
func (d *Directory) AddCandidate(address string) {
	if address == d.self || d.peers[address] != nil {
		return
	}
	if _, known := d.candidates[address]; !known {
		d.candidates[address] = time.Time{}
	}
}

// Receive records a received report and returns the resulting transitions. It returns true if the report comes from a
// host that was unknown or unreachable, from another incarnation than the recorded one, or has a higher sequence number
// than the recorded one. It returns false for every other report, and always if the report has no address or this host's
// own, announces that the host leaves, or comes from an incarnation that has left.
func (d *Directory) Receive(address, zone string, incarnation, sequence uint64, leaving bool, now time.Time) (bool, []Transition) {
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
	case p == nil:
		p = &host{incarnation: incarnation}
		d.peers[address] = p
		delete(d.candidates, address)
		changes = append(changes, Transition{Address: address, Incarnation: incarnation, State: Reachable})
	case p.incarnation != incarnation:
		changes = append(changes, Transition{Address: address, Incarnation: p.incarnation, State: Restarted},
			Transition{Address: address, Incarnation: incarnation, State: Reachable})
		*p = host{incarnation: incarnation}
	case p.unreachable:
		changes = append(changes, Transition{Address: address, Incarnation: incarnation, State: Reachable, SinceReport: now.Sub(p.lastReport)})
	case sequence <= p.sequence:
		return false, nil
	}
	p.zone, p.sequence, p.lastReport, p.unreachable = zone, max(sequence, p.sequence), now, false
	return true, changes
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
			d.AddCandidate(address)
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

// Route is a destination for reports.
type Route struct {
	Address string
	// Relay selects the zones whose reports are forwarded in addition to this host's own; nil selects none.
	Relay func(zone string) bool
}

// Routes returns the destinations of a round of reports, sorted by address. It records the time of each attempt to
// contact an address that has not reported yet.
func (d *Directory) Routes(now time.Time) []Route {
	var routes []Route
	relay := d.relayOf(d.zone)
	for address, p := range d.peers {
		switch {
		case !d.relayed() || p.unreachable:
			routes = append(routes, Route{Address: address})
		case p.zone == d.zone && relay == d.self:
			routes = append(routes, Route{Address: address, Relay: func(zone string) bool { return zone != d.zone }})
		case p.zone == d.zone:
			routes = append(routes, Route{Address: address})
		case relay == d.self && d.relayOf(p.zone) == address:
			routes = append(routes, Route{Address: address, Relay: func(zone string) bool { return zone == d.zone }})
		}
	}
	for address, last := range d.candidates {
		if now.Sub(last) >= seedPause || last.IsZero() {
			d.candidates[address] = now
			routes = append(routes, Route{Address: address})
		}
	}
	slices.SortFunc(routes, func(a, b Route) int { return strings.Compare(a.Address, b.Address) })
	return routes
}

// IsRelay reports whether this host is the relay of its zone.
func (d *Directory) IsRelay() bool { return d.relayed() && d.relayOf(d.zone) == d.self }

// relayOf returns the relay of a zone: the reachable host with the lowest address.
func (d *Directory) relayOf(zone string) string {
	relay := ""
	if zone == d.zone {
		relay = d.self
	}
	for address, p := range d.peers {
		if p.zone == zone && !p.unreachable && (relay == "" || address < relay) {
			relay = address
		}
	}
	return relay
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
