package config

import (
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
)

const (
	// pollInterval is how often a host confirms its configuration. A relayed confirmation is then at most two
	// intervals and two calls old, well inside the trust period.
	pollInterval = 500 * time.Millisecond
	// relayLimit is the age from which a host no longer relies on its zone's reader alone.
	relayLimit = 1200 * time.Millisecond
	// pollMajorityLimit is the age from which a host that is not the reader asks all hosts itself.
	pollMajorityLimit = 1700 * time.Millisecond
	// hostsPerZone is how many hosts of each other zone are asked for a relayed confirmation.
	hostsPerZone = 2
	// readerKey names the role of reading the store for a zone in the rendezvous hash. One reader for each
	// zone keeps the store's calls independent of the number of hosts.
	readerKey = "configuration reader"
)

// query is whom to ask in one round.
type query struct {
	store bool
	peers []host.ID
}

// plan chooses the round's queries. extra are hosts known from elsewhere, which help a daemon that knows no epoch.
func (m *machine) plan(now time.Time, round int, extra []host.ID, reachable func(host.ID) bool) query {
	var q query
	seen := map[string]bool{m.self.Addr: true}
	ask := func(h host.ID) {
		if !seen[h.Addr] {
			seen[h.Addr] = true
			q.peers = append(q.peers, h)
		}
	}
	stale := olderThan(now, m.confirmedAt, relayLimit)
	reader := m.reader(reachable)
	isReader := reader.Name == m.self.Name
	if !isReader {
		ask(reader)
	}
	q.store = isReader || stale
	if stale || (isReader && olderThan(now, m.directAt, relayLimit)) {
		for _, h := range m.others(round) {
			ask(h)
		}
	}
	outage := olderThan(now, m.storeAt, relayLimit)
	if outage && (isReader || olderThan(now, m.confirmedAt, pollMajorityLimit)) {
		for _, h := range m.epoch.Hosts {
			ask(h)
		}
	}
	if m.installed.Generation == 0 {
		for _, h := range extra {
			ask(h)
		}
	}
	return q
}

// olderThan reports whether a time is longer ago than the limit, or never was.
func olderThan(now, at time.Time, limit time.Duration) bool {
	return at.IsZero() || now.Sub(at) > limit
}

// reader returns the host that reads the store for this zone.
func (m *machine) reader(reachable func(host.ID) bool) host.ID {
	candidates := []host.ID{m.self}
	for _, h := range m.epoch.InZone(m.self.Zone) {
		if h.Name != m.self.Name && reachable(h) {
			candidates = append(candidates, h)
		}
	}
	h, _ := host.Home(readerKey, candidates)
	return h
}

// others returns a few hosts of each zone, different ones in each round.
func (m *machine) others(round int) []host.ID {
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
