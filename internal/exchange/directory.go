// Package exchange lets the entry hosts tell each other what they use and what they know of the store: soon after a
// change, and at least once in a while. In a small fleet every host reports to every other one. In a larger one a host
// reports to those of its zone, and one host of each zone, the relay, passes the zone's reports on to the relays of the
// other zones and theirs to its zone. Messages then grow with the hosts of a zone and with the zones, not with the
// square of the hosts. Nothing is agreed; a host acts on the newest reports that it has.
package exchange

import (
	"slices"
	"strings"
	"time"
)

const (
	// meshLimit is the number of hosts up to which every host reports to every other one.
	meshLimit = 8
	// silentAfter is how long a host may say nothing before it counts as out of contact: a few reports.
	silentAfter = time.Second
	// silentAfterRelayed allows for a relay that fails and is replaced.
	silentAfterRelayed = 2500 * time.Millisecond
	// forgetAfter is how long a silent host may still take requests in the view of the others. A host that is cut off
	// from all others takes requests for as long as callers reach it; this bounds what is set aside for it.
	forgetAfter = 15 * time.Second
	// seedPause separates attempts to reach addresses from which nothing was heard.
	seedPause = time.Second
)

// PeerState says what became of another host.
type PeerState string

// States of other hosts.
const (
	Heard     PeerState = "heard"
	Silent    PeerState = "silent"
	Left      PeerState = "left"
	Restarted PeerState = "restarted"
	Forgotten PeerState = "forgotten"
)

// Transition is a change of what is believed of another host.
type Transition struct {
	Address     string
	Incarnation uint64
	State       PeerState
	// Quiet is how long nothing was heard.
	Quiet time.Duration
}

type host struct {
	zone                  string
	incarnation, sequence uint64
	heardAt               time.Time
	silent                bool
}

// Directory is the set of other hosts that are known. It is not safe for concurrent use.
type Directory struct {
	self  string
	zone  string
	peers map[string]*host
	// left holds incarnations that said they leave, so that a late report does not bring them back.
	left map[uint64]bool
	// tried are the addresses that were only heard of, with the time of the last attempt.
	tried map[string]time.Time
}

// NewDirectory returns a directory that knows only addresses to try.
func NewDirectory(self, zone string, seeds []string) *Directory {
	d := &Directory{self: self, zone: zone, peers: map[string]*host{}, left: map[uint64]bool{}, tried: map[string]time.Time{}}
	for _, s := range seeds {
		d.Learn(s)
	}
	return d
}

// Learn adds an address to try.
func (d *Directory) Learn(address string) {
	if address == d.self || d.peers[address] != nil {
		return
	}
	if _, known := d.tried[address]; !known {
		d.tried[address] = time.Time{}
	}
}

// Hear takes note of a report. It returns whether the report is newer than the last one of its host, and what changed.
func (d *Directory) Hear(address, zone string, incarnation, sequence uint64, leaving bool, now time.Time) (bool, []Transition) {
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
		delete(d.tried, address)
		changes = append(changes, Transition{Address: address, Incarnation: incarnation, State: Heard})
	case p.incarnation != incarnation:
		changes = append(changes, Transition{Address: address, Incarnation: p.incarnation, State: Restarted},
			Transition{Address: address, Incarnation: incarnation, State: Heard})
		*p = host{incarnation: incarnation}
	case p.silent:
		changes = append(changes, Transition{Address: address, Incarnation: incarnation, State: Heard, Quiet: now.Sub(p.heardAt)})
	case sequence <= p.sequence:
		return false, nil
	}
	p.zone, p.sequence, p.heardAt, p.silent = zone, max(sequence, p.sequence), now, false
	return true, changes
}

// Check returns the hosts that fell silent and those that are given up.
func (d *Directory) Check(now time.Time) []Transition {
	var changes []Transition
	limit := silentAfter
	if d.relayed() {
		limit = silentAfterRelayed
	}
	for address, p := range d.peers {
		quiet := now.Sub(p.heardAt)
		switch {
		case quiet > forgetAfter:
			delete(d.peers, address)
			d.Learn(address)
			changes = append(changes, Transition{Address: address, Incarnation: p.incarnation, State: Forgotten, Quiet: quiet})
		case quiet > limit && !p.silent:
			p.silent = true
			changes = append(changes, Transition{Address: address, Incarnation: p.incarnation, State: Silent, Quiet: quiet})
		}
	}
	return changes
}

// relayed tells whether the fleet is too large for every host to report to every other one.
func (d *Directory) relayed() bool { return len(d.peers)+1 > meshLimit }

// Route is whom to report to, and whose reports.
type Route struct {
	Address string
	// Relay names the zones whose hosts' reports are passed on beside the own report; nil passes on none.
	Relay func(zone string) bool
}

// Routes returns whom to report to now.
func (d *Directory) Routes(now time.Time) []Route {
	var routes []Route
	relay := d.relayOf(d.zone)
	for address, p := range d.peers {
		switch {
		case !d.relayed() || p.silent:
			routes = append(routes, Route{Address: address})
		case p.zone == d.zone && relay == d.self:
			routes = append(routes, Route{Address: address, Relay: func(zone string) bool { return zone != d.zone }})
		case p.zone == d.zone:
			routes = append(routes, Route{Address: address})
		case relay == d.self && d.relayOf(p.zone) == address:
			routes = append(routes, Route{Address: address, Relay: func(zone string) bool { return zone == d.zone }})
		}
	}
	for address, last := range d.tried {
		if now.Sub(last) >= seedPause || last.IsZero() {
			d.tried[address] = now
			routes = append(routes, Route{Address: address})
		}
	}
	slices.SortFunc(routes, func(a, b Route) int { return strings.Compare(a.Address, b.Address) })
	return routes
}

// IsRelay tells whether this host passes reports on.
func (d *Directory) IsRelay() bool { return d.relayed() && d.relayOf(d.zone) == d.self }

// relayOf is the host of a zone that passes reports on: the first by address that is heard.
func (d *Directory) relayOf(zone string) string {
	relay := ""
	if zone == d.zone {
		relay = d.self
	}
	for address, p := range d.peers {
		if p.zone == zone && !p.silent && (relay == "" || address < relay) {
			relay = address
		}
	}
	return relay
}

// Contacts returns the addresses of the hosts that are in contact.
func (d *Directory) Contacts() []string {
	var contacts []string
	for address, p := range d.peers {
		if !p.silent {
			contacts = append(contacts, address)
		}
	}
	slices.Sort(contacts)
	return contacts
}

// Hosts is the largest number of hosts that may be taking requests, this one included.
func (d *Directory) Hosts() int { return len(d.peers) + 1 }
