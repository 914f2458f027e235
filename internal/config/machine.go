package config

import (
	"slices"
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/membership"
)

// machine decides which head to install, how fresh the installed configuration is, and whom to ask. It does no
// I/O and reads no clock. Times are when a query was sent, so ages never come out too small.
//
// Freshness is a statement "as of t, no generation above g that matters was accepted". A read of the store gives
// one about the store's head. A peer's reply relays one with its age. Replies of a majority of the epoch's hosts
// give one about every acknowledged change, because a change is acknowledged only once a majority holds it.
type machine struct {
	self host.ID
	// started is when the daemon began, for the choice of the first head.
	started time.Time

	installed, target Head
	// confirmedAt and storeAt are the newest times as of which the installed head was current: by any
	// statement, and by one that came from the store.
	confirmedAt, storeAt time.Time
	// directAt is when this host last read the store itself.
	directAt time.Time
	// pending and pendingStore are statements about a generation that is not installed yet.
	pending, pendingStore statement

	epoch      membership.Epoch
	epochSince time.Time
	// previous is the epoch before, as far as this host saw it.
	previous membership.Epoch
	// configEpoch is the newest epoch since whose commit the installed head was confirmed against the store.
	configEpoch uint64
	// heard holds the newest reply of each host by name.
	heard map[string]reply
}

// statement says that as of a time no generation above the given one was accepted (or acknowledged).
type statement struct {
	generation uint64
	at         time.Time
}

// reply is what a host said of itself.
type reply struct {
	from       host.ID
	generation uint64
	sentAt     time.Time
	epoch      uint64
	// configEpoch as in machine.
	configEpoch uint64
}

func newMachine(self host.ID, now time.Time) *machine {
	return &machine{self: self, started: now, heard: map[string]reply{}}
}

// observeEpoch takes over a newer epoch.
func (m *machine) observeEpoch(e membership.Epoch, now time.Time) {
	if e.Number <= m.epoch.Number {
		return
	}
	m.previous, m.epoch, m.epochSince = m.epoch, e, now
	for name, r := range m.heard {
		if !e.Contains(r.from) {
			delete(m.heard, name)
		}
	}
}

// announced raises the target: a head was accepted.
func (m *machine) announced(h Head) {
	if h.Generation > m.target.Generation {
		m.target = h
	}
}

// storeRead takes the store's head, read by a query sent at the given time. The zero head means that the store
// has none.
func (m *machine) storeRead(h Head, sentAt time.Time) {
	m.announced(h)
	m.directAt = later(m.directAt, sentAt)
	if h.Generation >= m.installed.Generation {
		m.state(statement{h.Generation, sentAt}, true)
	}
}

// peerReply takes a host's answer to GetHead. Negative ages mean that it has no such confirmation.
func (m *machine) peerReply(r reply, h Head, age, storeAge time.Duration, now time.Time) {
	m.announced(h)
	if age >= 0 && h.Generation > 0 {
		m.state(statement{h.Generation, r.sentAt.Add(-age)}, false)
	}
	if storeAge >= 0 && h.Generation > 0 {
		m.state(statement{h.Generation, r.sentAt.Add(-storeAge)}, true)
	}
	if old, ok := m.heard[r.from.Name]; !ok || !old.sentAt.After(r.sentAt) {
		m.heard[r.from.Name] = r
	}
	m.countMajority(now)
}

// countMajority makes a statement from the replies of a majority of the epoch's hosts. It counts only hosts
// of the same incarnation, since a restarted one holds nothing of its predecessor, and only hosts whose head was
// confirmed against the store after the epoch was committed, since the epoch may have brought in hosts that do
// not know an earlier acknowledged change. It makes none when a reply knows a newer epoch.
func (m *machine) countMajority(now time.Time) {
	var times []time.Time
	var highest uint64
	for _, h := range m.epoch.Hosts {
		r, ok := m.heard[h.Name]
		if ok && r.epoch > m.epoch.Number {
			return
		}
		switch {
		case h.Name == m.self.Name:
			if h.Incarnation == m.self.Incarnation && m.configEpoch >= m.epoch.Number {
				times = append(times, now)
			}
		case !ok || h.Incarnation != r.from.Incarnation || r.configEpoch < m.epoch.Number:
		default:
			times, highest = append(times, r.sentAt), max(highest, r.generation)
		}
	}
	need := majority(len(m.epoch.Hosts))
	if len(times) < need {
		return
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	m.state(statement{highest, times[need-1]}, false)
}

func majority(n int) int { return n/2 + 1 }

// state takes a statement. One about a generation that is not installed yet counts once it is.
func (m *machine) state(s statement, fromStore bool) {
	if s.generation > m.installed.Generation {
		if s.at.After(m.pending.at) {
			m.pending = s
		}
		if fromStore && s.at.After(m.pendingStore.at) {
			m.pendingStore = s
		}
		return
	}
	m.confirmedAt = later(m.confirmedAt, s.at)
	if fromStore {
		m.storeAt = later(m.storeAt, s.at)
		if !m.epochSince.IsZero() && !m.storeAt.Before(m.epochSince) {
			m.configEpoch = m.epoch.Number
		}
	}
}

// install reports that a head is in use. A head that is not newer than the installed one changes nothing.
func (m *machine) install(h Head) {
	if h.Generation <= m.installed.Generation {
		return
	}
	m.installed = h
	m.announced(h)
	if m.pending.generation > 0 && m.pending.generation <= h.Generation {
		m.state(m.pending, false)
		m.pending = statement{}
	}
	if m.pendingStore.generation > 0 && m.pendingStore.generation <= h.Generation {
		m.state(m.pendingStore, true)
		m.pendingStore = statement{}
	}
}

// bootstrapWait is how long a new daemon without an answer from the store collects replies of its peers before it
// takes the highest generation among them.
const bootstrapWait = 1500 * time.Millisecond

// wanted returns the head to install next, if any.
func (m *machine) wanted(now time.Time) (Head, bool) {
	if m.target.Generation <= m.installed.Generation {
		return Head{}, false
	}
	first := m.installed.Generation == 0
	answered := !m.directAt.IsZero() || m.pendingStore.generation > 0
	if first && !answered && now.Sub(m.started) < bootstrapWait {
		return Head{}, false
	}
	return m.target, true
}

// age returns how long ago a time was, or -1 when it never was.
func age(now, at time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// holders says which hosts hold a generation, for the acknowledgement of a change.
type holders func(host.ID) bool

// acknowledged reports whether a change counts as in force by majority: a majority of the epoch holds it, and no
// majority of the epoch before could still confirm itself without it. Hosts that left an epoch provably stopped.
// The change was committed under the given epoch, so an older view does not count.
//
// Epochs before the previous one need no check as long as a new epoch is proposed only once a majority of the hosts
// of the epoch before the present one know the present one: a majority of those older hosts then contains one that
// tells the others of the newer epoch. A host that did not see the previous epoch needs every host to hold the
// change.
func (m *machine) acknowledged(committedUnder uint64, holds holders) bool {
	if m.epoch.Number < committedUnder {
		return false
	}
	lacking := 0
	for _, h := range m.epoch.Hosts {
		if !holds(h) {
			lacking++
		}
	}
	if len(m.epoch.Hosts)-lacking < majority(len(m.epoch.Hosts)) {
		return false
	}
	if m.epoch.Number > 1 && m.previous.Number != m.epoch.Number-1 {
		return lacking == 0
	}
	lacking = 0
	for _, h := range m.previous.Hosts {
		if m.epoch.Contains(h) && !holds(h) {
			lacking++
		}
	}
	return len(m.previous.Hosts) == 0 || lacking < majority(len(m.previous.Hosts))
}
