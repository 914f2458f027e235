package config

import (
	"slices"
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/membership"
)

// stateMachine decides which head to install and which hosts to query, and keeps track of when the installed
// configuration was last confirmed. It does no I/O and reads no clock.
//
// A confirmation states that as of time t no generation above g was accepted. The time is that at which the query was
// sent, so the age of a confirmation is never underestimated. There are three sources of confirmations. A read of the
// store confirms the store's head. A peer's reply relays the peer's confirmation with its age. The replies of a
// majority of the epoch's hosts cover every acknowledged change, because a change is acknowledged only after a majority
// has installed it.
type stateMachine struct {
	self host.ID
	// started is when the daemon started; wanted waits from then on before it chooses the first head.
	started time.Time

	installed, target Head
	// confirmedAt is the newest time as of which the installed head was confirmed as current. storeConfirmedAt
	// counts only confirmations that originate from the store, directly or relayed.
	confirmedAt, storeConfirmedAt time.Time
	// storeReadAt is when this host itself sent its newest successful read of the store.
	storeReadAt time.Time
	// pending and pendingFromStore are confirmations of a generation that is not installed yet.
	pending, pendingFromStore confirmation

	epoch      membership.Epoch
	epochSince time.Time
	// previous is the last epoch that this host observed before epoch. Its number may be lower by more than one.
	previous membership.Epoch
	// configEpoch is the newest epoch after whose commit the installed head was confirmed against the store.
	configEpoch uint64
	// replies holds the newest reply of each host, by host name.
	replies map[string]reply
}

// confirmation states that as of a time no generation above the given one was accepted or, if it comes from a majority
// of hosts, acknowledged.
type confirmation struct {
	generation uint64
	at         time.Time
}

// reply is a host's reply to GetHead, without the head and its confirmations. sentAt is when the query was sent.
type reply struct {
	from       host.ID
	generation uint64
	sentAt     time.Time
	epoch      uint64
	// configEpoch is the sender's stateMachine.configEpoch.
	configEpoch uint64
}

func newStateMachine(self host.ID, now time.Time) *stateMachine {
	return &stateMachine{self: self, started: now, replies: map[string]reply{}}
}

// observeEpoch adopts a newer epoch and drops the replies of hosts that are not in it.
func (m *stateMachine) observeEpoch(e membership.Epoch, now time.Time) {
	if e.Number <= m.epoch.Number {
		return
	}
	m.previous, m.epoch, m.epochSince = m.epoch, e, now
	for name, r := range m.replies {
		if !e.Contains(r.from) {
			delete(m.replies, name)
		}
	}
}

// raiseTarget records that a head was accepted.
func (m *stateMachine) raiseTarget(h Head) {
	if h.Generation > m.target.Generation {
		m.target = h
	}
}

// recordStoreRead records the store's head, read by a query sent at the given time. The zero head means that the
// store has none.
func (m *stateMachine) recordStoreRead(h Head, sentAt time.Time) {
	m.raiseTarget(h)
	m.storeReadAt = later(m.storeReadAt, sentAt)
	if h.Generation >= m.installed.Generation {
		m.confirm(confirmation{h.Generation, sentAt}, true)
	}
}

// recordReply records a host's reply to GetHead. A negative age means that the host has no such confirmation.
func (m *stateMachine) recordReply(r reply, h Head, age, storeAge time.Duration, now time.Time) {
	m.raiseTarget(h)
	if age >= 0 && h.Generation > 0 {
		m.confirm(confirmation{h.Generation, r.sentAt.Add(-age)}, false)
	}
	if storeAge >= 0 && h.Generation > 0 {
		m.confirm(confirmation{h.Generation, r.sentAt.Add(-storeAge)}, true)
	}
	if old, ok := m.replies[r.from.Name]; !ok || !old.sentAt.After(r.sentAt) {
		m.replies[r.from.Name] = r
	}
	m.confirmByMajority(now)
}

// confirmByMajority derives a confirmation from the replies of a majority of the epoch's hosts. It counts only hosts
// with the epoch's incarnation, since a restarted host has lost its configuration, and only hosts whose head was
// confirmed against the store after the epoch was committed, since the epoch may have added hosts that do not know an
// earlier acknowledged change. If a reply reports a newer epoch, there is no confirmation.
func (m *stateMachine) confirmByMajority(now time.Time) {
	var times []time.Time
	var highest uint64
	for _, h := range m.epoch.Hosts {
		r, ok := m.replies[h.Name]
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
	m.confirm(confirmation{highest, times[need-1]}, false)
}

func majority(n int) int { return n/2 + 1 }

// confirm applies a confirmation. If its generation is not installed yet, the confirmation is kept until that
// generation is installed.
func (m *stateMachine) confirm(s confirmation, fromStore bool) {
	if s.generation > m.installed.Generation {
		if s.at.After(m.pending.at) {
			m.pending = s
		}
		if fromStore && s.at.After(m.pendingFromStore.at) {
			m.pendingFromStore = s
		}
		return
	}
	m.confirmedAt = later(m.confirmedAt, s.at)
	if fromStore {
		m.storeConfirmedAt = later(m.storeConfirmedAt, s.at)
		if !m.epochSince.IsZero() && !m.storeConfirmedAt.Before(m.epochSince) {
			m.configEpoch = m.epoch.Number
		}
	}
}

// install records that a head is installed and applies the confirmations that waited for it. A head that is not
// newer than the installed one changes nothing.
func (m *stateMachine) install(h Head) {
	if h.Generation <= m.installed.Generation {
		return
	}
	m.installed = h
	m.raiseTarget(h)
	if m.pending.generation > 0 && m.pending.generation <= h.Generation {
		m.confirm(m.pending, false)
		m.pending = confirmation{}
	}
	if m.pendingFromStore.generation > 0 && m.pendingFromStore.generation <= h.Generation {
		m.confirm(m.pendingFromStore, true)
		m.pendingFromStore = confirmation{}
	}
}

// bootstrapWait is how long a new daemon that has no response from the store collects the replies of its peers before
// it installs the highest generation among them.
const bootstrapWait = 1500 * time.Millisecond

// wanted returns the head to install next, if any.
func (m *stateMachine) wanted(now time.Time) (Head, bool) {
	if m.target.Generation <= m.installed.Generation {
		return Head{}, false
	}
	first := m.installed.Generation == 0
	storeConfirmed := !m.storeReadAt.IsZero() || m.pendingFromStore.generation > 0
	if first && !storeConfirmed && now.Sub(m.started) < bootstrapWait {
		return Head{}, false
	}
	return m.target, true
}

// age returns the time elapsed since at, or -1 for the zero time.
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

// holdsFunc reports whether a host has installed the generation to be acknowledged, or a newer one.
type holdsFunc func(host.ID) bool

// acknowledged reports whether enough hosts hold a change for it to be acknowledged: a majority of the current epoch's
// hosts holds it, and fewer than a majority of the previous epoch's hosts lack it, since such a majority could still
// confirm an older configuration among themselves. A host is removed from an epoch only after it has stopped, so
// removed hosts do not count as lacking the change. The change was committed under committedEpoch, so a host that knows
// only older epochs cannot acknowledge it.
//
// Epochs before the previous one need no check, provided that a new epoch is proposed only after a majority of the
// previous epoch's hosts know the current epoch: any majority of those hosts then contains one that reports the
// current epoch to the others. If this host did not observe the previous epoch, all hosts must hold the change.
func (m *stateMachine) acknowledged(committedEpoch uint64, holds holdsFunc) bool {
	if m.epoch.Number < committedEpoch {
		return false
	}
	missing := 0
	for _, h := range m.epoch.Hosts {
		if !holds(h) {
			missing++
		}
	}
	if len(m.epoch.Hosts)-missing < majority(len(m.epoch.Hosts)) {
		return false
	}
	if m.epoch.Number > 1 && m.previous.Number != m.epoch.Number-1 {
		return missing == 0
	}
	missing = 0
	for _, h := range m.previous.Hosts {
		if m.epoch.Contains(h) && !holds(h) {
			missing++
		}
	}
	return len(m.previous.Hosts) == 0 || missing < majority(len(m.previous.Hosts))
}
