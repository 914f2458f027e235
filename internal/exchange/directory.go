// Package exchange lets the entry hosts tell each other what they use and what they know of the store. Every host
// reports to every other one: soon after a change, and at least once in a while. Nothing is agreed; a host acts on the
// newest reports that it has.
package exchange

import (
	"slices"
	"time"
)

const (
	// silentAfter is how long a host may say nothing before it counts as out of contact: a few reports.
	silentAfter = time.Second
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
	incarnation, sequence uint64
	heardAt               time.Time
	silent                bool
}

// Directory is the set of other hosts that are known. It is not safe for concurrent use.
type Directory struct {
	self  string
	peers map[string]*host
	// left holds incarnations that said they leave, so that a late report does not bring them back.
	left map[uint64]bool
	// tried are the addresses that were only heard of, with the time of the last attempt.
	tried map[string]time.Time
}

// NewDirectory returns a directory that knows only addresses to try.
func NewDirectory(self string, seeds []string) *Directory {
	d := &Directory{self: self, peers: map[string]*host{}, left: map[uint64]bool{}, tried: map[string]time.Time{}}
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
func (d *Directory) Hear(address string, incarnation, sequence uint64, leaving bool, now time.Time) (bool, []Transition) {
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
	p.sequence, p.heardAt, p.silent = max(sequence, p.sequence), now, false
	return true, changes
}

// Check returns the hosts that fell silent and those that are given up.
func (d *Directory) Check(now time.Time) []Transition {
	var changes []Transition
	for address, p := range d.peers {
		quiet := now.Sub(p.heardAt)
		switch {
		case quiet > forgetAfter:
			delete(d.peers, address)
			d.Learn(address)
			changes = append(changes, Transition{Address: address, Incarnation: p.incarnation, State: Forgotten, Quiet: quiet})
		case quiet > silentAfter && !p.silent:
			p.silent = true
			changes = append(changes, Transition{Address: address, Incarnation: p.incarnation, State: Silent, Quiet: quiet})
		}
	}
	return changes
}

// Targets returns the addresses to report to now.
func (d *Directory) Targets(now time.Time) []string {
	var targets []string
	for address := range d.peers {
		targets = append(targets, address)
	}
	for address, last := range d.tried {
		if now.Sub(last) >= seedPause || last.IsZero() {
			d.tried[address] = now
			targets = append(targets, address)
		}
	}
	slices.Sort(targets)
	return targets
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
