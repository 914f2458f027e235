package exchange_test

import (
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
	d := exchange.NewDirectory("self", "a", 0, nil)
	newer, changes := d.Receive(exchange.Host{Address: "h1", Zone: "a"}, 1, 1, false, start)
	g.Expect(newer).To(BeTrue())
	g.Expect(states(changes)).To(Equal([]exchange.PeerState{exchange.Reachable}))
	newer, _ = d.Receive(exchange.Host{Address: "h1", Zone: "a"}, 1, 1, false, start)
	g.Expect(newer).To(BeFalse(), "duplicate report")
	g.Expect(d.Check(start.Add(900 * time.Millisecond))).To(BeEmpty())
	g.Expect(states(d.Check(start.Add(1100 * time.Millisecond)))).To(Equal([]exchange.PeerState{exchange.Unreachable}))
	g.Expect(d.Contacts()).To(BeEmpty())
	g.Expect(d.Hosts()).To(Equal(2), "an unreachable host may still serve requests")
	_, changes = d.Receive(exchange.Host{Address: "h1", Zone: "a"}, 2, 1, false, start.Add(2*time.Second))
	g.Expect(states(changes)).To(Equal([]exchange.PeerState{exchange.Restarted, exchange.Reachable}))
	_, changes = d.Receive(exchange.Host{Address: "h1", Zone: "a"}, 2, 2, true, start.Add(3*time.Second))
	g.Expect(states(changes)).To(Equal([]exchange.PeerState{exchange.Left}))
	newer, _ = d.Receive(exchange.Host{Address: "h1", Zone: "a"}, 2, 3, false, start.Add(4*time.Second))
	g.Expect(newer).To(BeFalse(), "delayed report of an incarnation that left")
	d.Receive(exchange.Host{Address: "h2", Zone: "a"}, 3, 1, false, start)
	g.Expect(states(d.Check(start.Add(16 * time.Second)))).To(Equal([]exchange.PeerState{exchange.Removed}))
	g.Expect(d.Hosts()).To(Equal(1))
}

// Guards against a host that is reachable again because another host passes on its old report.
func TestOldReportsDoNotReviveHosts(t *testing.T) {
	g := NewWithT(t)
	d := exchange.NewDirectory("self", "a", 0, nil)
	h1 := exchange.Host{Address: "h1", Zone: "a"}
	d.Receive(h1, 1, 5, false, start)
	d.Check(start.Add(1100 * time.Millisecond))
	newer, changes := d.Receive(h1, 1, 5, false, start.Add(2*time.Second))
	g.Expect(newer).To(BeFalse())
	g.Expect(changes).To(BeEmpty())
	g.Expect(states(d.Check(start.Add(16 * time.Second)))).To(Equal([]exchange.PeerState{exchange.Removed}))
	newer, _ = d.Receive(h1, 1, 5, false, start.Add(17*time.Second))
	g.Expect(newer).To(BeFalse())
	newer, changes = d.Receive(h1, 1, 6, false, start.Add(18*time.Second))
	g.Expect(newer).To(BeTrue(), "a host that was cut off returns")
	g.Expect(states(changes)).To(Equal([]exchange.PeerState{exchange.Reachable}))
}
