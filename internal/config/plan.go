package config

import (
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
)

const (
	// pollInterval is how often a host confirms its configuration. A confirmation relayed by the zone's reader is
	// then at most two intervals and two calls old, well within the trust period.
	pollInterval = 500 * time.Millisecond
	// relayMaxAge is the age of a confirmation above which a host no longer relies on its zone's reader alone.
	relayMaxAge = 1200 * time.Millisecond
	// majorityPollAge is the age of a confirmation above which a host that is not the reader queries all hosts itself.
	majorityPollAge = 1700 * time.Millisecond
	// hostsPerZone is how many hosts of each zone are queried for a relayed confirmation.
	hostsPerZone = 2
	// readerKey is the key under which rendezvous hashing selects a zone's reader, its home host for this key. With
	// one reader per zone the number of store calls does not grow with the number of hosts.
	readerKey = "configuration reader"
)

// query lists the targets of one poll: the store, and the hosts that get a GetHead call.
type query struct {
	store bool
	peers []host.ID
}

// plan chooses the targets of a poll. extra lists hosts known from outside the epoch; a daemon without a configuration
// queries them as well, since it may not know an epoch yet.
func (m *stateMachine) plan(now time.Time, round int, extra []host.ID, reachable func(host.ID) bool) query {
	var q query
	seen := map[string]bool{m.self.Addr: true}
	add := func(h host.ID) {
		if !seen[h.Addr] {
			seen[h.Addr] = true
			q.peers = append(q.peers, h)
		}
	}
	stale := olderThan(now, m.confirmedAt, relayMaxAge)
	reader := m.reader(reachable)
	isReader := reader.Name == m.self.Name
	if !isReader {
		add(reader)
	}
	q.store = isReader || stale
	if stale || (isReader && olderThan(now, m.storeReadAt, relayMaxAge)) {
		for _, h := range m.rotatingHosts(round) {
			add(h)
		}
	}
	storeStale := olderThan(now, m.storeConfirmedAt, relayMaxAge)
	if storeStale && (isReader || olderThan(now, m.confirmedAt, majorityPollAge)) {
		for _, h := range m.epoch.Hosts {
			add(h)
		}
	}
	if m.installed.Generation == 0 {
		for _, h := range extra {
			add(h)
		}
	}
	return q
}

// olderThan reports whether a time is further back than the limit, or zero.
func olderThan(now, at time.Time, limit time.Duration) bool {
	return at.IsZero() || now.Sub(at) > limit
}

// reader returns the host that reads the store for this zone: the home host of readerKey among this host and the
// zone's reachable hosts.
func (m *stateMachine) reader(reachable func(host.ID) bool) host.ID {
	candidates := []host.ID{m.self}
	for _, h := range m.epoch.InZone(m.self.Zone) {
		if h.Name != m.self.Name && reachable(h) {
			candidates = append(candidates, h)
		}
	}
	h, _ := host.Home(readerKey, candidates)
	return h
}

// rotatingHosts returns up to hostsPerZone hosts of each zone, rotating through them from round to round.
func (m *stateMachine) rotatingHosts(round int) []host.ID {
	byZone, order := map[string][]host.ID{}, []string(nil)
	for _, h := range m.epoch.Hosts {
		if byZone[h.Zone] == nil {
			order = append(order, h.Zone)
		}
		byZone[h.Zone] = append(byZone[h.Zone], h)
	}
	var out []host.ID
	for _, zone := range order {
		hosts := byZone[zone]
		for i := range min(hostsPerZone, len(hosts)) {
			out = append(out, hosts[(round*hostsPerZone+i)%len(hosts)])
		}
	}
	return out
}
