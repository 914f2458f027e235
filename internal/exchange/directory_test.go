package exchange_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/exchange"
)

var start = time.Unix(1000, 0)

func states(changes []exchange.Transition) []exchange.PeerState {
	var out []exchange.PeerState
	for _, c := range changes {
		out = append(out, c.State)
	}
	return out
}

// Guards against a host that counts as reachable although its reports are overdue, is removed too early, or is added
// again by a delayed report of an incarnation that left or was replaced.
func TestPeerStateTransitions(t *testing.T) {
	g := NewWithT(t)
	d := exchange.NewDirectory("self", "a", nil)
	newer, changes := d.Receive("h1", "a", 1, 1, false, start)
	g.Expect(newer).To(BeTrue())
	g.Expect(states(changes)).To(Equal([]exchange.PeerState{exchange.Reachable}))
	newer, _ = d.Receive("h1", "a", 1, 1, false, start)
	g.Expect(newer).To(BeFalse(), "duplicate report")
	g.Expect(d.Check(start.Add(900 * time.Millisecond))).To(BeEmpty())
	g.Expect(states(d.Check(start.Add(1100 * time.Millisecond)))).To(Equal([]exchange.PeerState{exchange.Unreachable}))
	g.Expect(d.Contacts()).To(BeEmpty())
	g.Expect(d.Hosts()).To(Equal(2), "an unreachable host may still serve requests")
	_, changes = d.Receive("h1", "a", 2, 1, false, start.Add(2*time.Second))
	g.Expect(states(changes)).To(Equal([]exchange.PeerState{exchange.Restarted, exchange.Reachable}))
	_, changes = d.Receive("h1", "a", 2, 2, true, start.Add(3*time.Second))
	g.Expect(states(changes)).To(Equal([]exchange.PeerState{exchange.Left}))
	newer, _ = d.Receive("h1", "a", 2, 3, false, start.Add(4*time.Second))
	g.Expect(newer).To(BeFalse(), "delayed report of an incarnation that left")
	d.Receive("h2", "a", 3, 1, false, start)
	g.Expect(states(d.Check(start.Add(16 * time.Second)))).To(Equal([]exchange.PeerState{exchange.Removed}))
	g.Expect(d.Hosts()).To(Equal(1))
}

// simulateReports simulates 40 rounds of reports in a fleet, checks that every running host is in contact with all
// others, and returns the number of messages in the last round.
func simulateReports(t *testing.T, hosts, zones int, down map[int]bool) (perRound int) {
	t.Helper()
	g := NewWithT(t)
	directories := make([]*exchange.Directory, hosts)
	address := func(i int) string { return fmt.Sprintf("10.%d.0.%03d", i%zones, i) }
	zone := func(i int) string { return fmt.Sprint(i % zones) }
	index := map[string]int{}
	for i := range hosts {
		directories[i] = exchange.NewDirectory(address(i), zone(i), []string{address(0), address(1)})
		index[address(i)] = i
	}
	known := make([]map[int]uint64, hosts)
	for i := range known {
		known[i] = map[int]uint64{i: 1}
	}
	now := start
	for round := uint64(1); round <= 40; round++ {
		now = now.Add(400 * time.Millisecond)
		perRound = 0
		for i, d := range directories {
			if down[i] {
				continue
			}
			known[i][i] = round
			d.Check(now)
			for _, r := range d.Routes(now) {
				to := index[r.Address]
				if down[to] {
					continue
				}
				perRound++
				for from, sequence := range known[i] {
					if from == to || from != i && (r.Relay == nil || !r.Relay(zone(from))) {
						continue
					}
					if newer, _ := directories[to].Receive(address(from), zone(from), uint64(from+1), sequence, false, now); newer {
						known[to][from] = sequence
					}
				}
				for _, contact := range directories[to].Contacts() {
					d.AddCandidate(contact)
				}
			}
		}
	}
	for i, d := range directories {
		if !down[i] {
			g.Expect(d.Contacts()).To(HaveLen(hosts-len(down)-1), "contacts of host %d", i)
		}
	}
	return perRound
}

// Guards against a host whose reports do not reach all others, in fleets with and without relays, and with the first
// relays down.
func TestReportsReachEveryHost(t *testing.T) {
	for _, c := range []struct{ hosts, zones int }{{2, 1}, {5, 4}, {8, 3}, {9, 3}, {33, 4}, {96, 6}} {
		t.Run(fmt.Sprintf("%d hosts in %d zones", c.hosts, c.zones), func(t *testing.T) {
			simulateReports(t, c.hosts, c.zones, nil)
		})
	}
	t.Run("first relays down", func(t *testing.T) { simulateReports(t, 33, 4, map[int]bool{2: true, 3: true}) })
}

// Guards against a number of messages that grows with the square of the number of hosts.
func TestMessagesPerRoundDoNotGrowQuadratically(t *testing.T) {
	g := NewWithT(t)
	// The hosts of a zone report to each other, and so do the relays.
	g.Expect(simulateReports(t, 33, 4, nil)).To(BeNumerically("<=", 33*8+4*3))
	g.Expect(simulateReports(t, 96, 6, nil)).To(BeNumerically("<=", 96*15+6*5))
}
