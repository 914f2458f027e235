package config

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/membership"
)

func id(name string) host.ID { return host.ID{Name: name, Addr: name, Zone: "z", Incarnation: 1} }

func epochOf(number uint64, names ...string) membership.Epoch {
	e := membership.Epoch{Number: number}
	for _, n := range names {
		e.Hosts = append(e.Hosts, id(n))
	}
	return e
}

// Guards against counting a host that may lack an acknowledged change towards a majority, and against a confirmation
// time that is later than the oldest reply of the majority.
func TestMajorityConfirmation(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	from := func(name string, sent int, change func(*reply)) reply {
		r := reply{from: id(name), generation: 2, sentAt: at(sent), epoch: 5, configEpoch: 5}
		if change != nil {
			change(&r)
		}
		return r
	}
	three := []string{"a", "b", "c"}
	tests := []struct {
		name    string
		hosts   []string
		self    uint64
		replies []reply
		want    int // Expected confirmation time in seconds after start, or -1 for no confirmation.
		// incarnation is this host's, 1 if zero; the epoch lists it with incarnation 1.
		incarnation uint64
	}{
		{"two of three", three, 5, []reply{from("b", 3, nil)}, 3, 0},
		{"the only host", []string{"a"}, 5, []reply{from("x", 3, nil)}, 9, 0},
		{"one of two", []string{"a", "b"}, 5, nil, -1, 0},
		{"another incarnation", three, 5, []reply{from("b", 3, func(r *reply) { r.from.Incarnation = 2 })}, -1, 0},
		{"not confirmed since the epoch", three, 5, []reply{from("b", 3, func(r *reply) { r.configEpoch = 4 })}, -1, 0},
		{"a reply after the majority reports a newer epoch", three, 5, []reply{from("b", 3, nil), from("c", 4, func(r *reply) { r.epoch = 6 })}, 3, 0},
		{"an earlier reply reported a newer epoch", three, 5, []reply{from("c", 2, func(r *reply) { r.epoch, r.configEpoch = 6, 0 }), from("b", 3, nil)}, -1, 0},
		{"this host is not confirmed since the epoch", three, 4, []reply{from("b", 3, nil)}, -1, 0},
		{"this host was restarted", three, 5, []reply{from("b", 3, nil)}, -1, 2},
		{"two of three others", three, 4, []reply{from("b", 3, nil), from("c", 4, nil)}, 3, 0},
		{"the oldest of the majority counts", []string{"a", "b", "c", "d", "e"}, 5, []reply{from("b", 4, nil), from("c", 2, nil)}, 2, 0},
		{"the oldest beyond the majority does not", []string{"a", "b", "c", "d", "e"}, 5, []reply{from("b", 4, nil), from("c", 2, nil), from("d", 3, nil)}, 3, 0},
		{"a reply of an unknown host", three, 5, []reply{from("x", 3, nil)}, -1, 0},
		{"a newer generation is known", three, 5, []reply{from("b", 3, func(r *reply) { r.generation = 3 })}, -1, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			self := id("a")
			self.Incarnation = max(1, tt.incarnation)
			m := newStateMachine(self, start)
			m.observeEpoch(epochOf(5, tt.hosts...), start)
			m.install(Head{Generation: 2})
			m.configEpoch = tt.self
			for _, r := range tt.replies {
				m.recordReply(r, Head{Generation: r.generation}, -1, -1, at(9))
			}
			want := time.Time{}
			if tt.want >= 0 {
				want = at(tt.want)
			}
			g.Expect(m.confirmedAt).To(Equal(want))
			if m.target.Generation == 3 {
				m.install(m.target)
				g.Expect(m.confirmedAt).To(Equal(at(3)))
			}
		})
	}
}

// Guards against acknowledging a change while a majority of the current or the previous epoch's hosts could confirm
// each other without it.
func TestAcknowledged(t *testing.T) {
	abc, abcde := epochOf(4, "a", "b", "c"), epochOf(5, "a", "b", "c", "d", "e")
	tests := []struct {
		name    string
		epochs  []membership.Epoch
		under   uint64
		holding []string
		want    bool
	}{
		{"majority in the first epoch", []membership.Epoch{epochOf(1, "a", "b", "c")}, 1, []string{"a", "b"}, true},
		{"half is not a majority", []membership.Epoch{epochOf(1, "a", "b")}, 1, []string{"a"}, false},
		{"no epoch", nil, 0, []string{"a"}, false},
		{"this host does not know the epoch of the commit", []membership.Epoch{epochOf(1, "a", "b", "c")}, 2, []string{"a", "b"}, false},
		{"two of the previous three lack it", []membership.Epoch{abc, abcde}, 5, []string{"a", "d", "e"}, false},
		{"one of the previous three lacks it", []membership.Epoch{abc, abcde}, 5, []string{"a", "b", "d"}, true},
		{"the hosts that lack it were removed", []membership.Epoch{abc, epochOf(5, "a", "d", "e")}, 5, []string{"a", "d"}, true},
		{"the previous epoch was not observed", []membership.Epoch{abcde}, 5, []string{"a", "b", "c", "d"}, false},
		{"the previous epoch was not observed, all hold it", []membership.Epoch{abcde}, 5, []string{"a", "b", "c", "d", "e"}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newStateMachine(id("a"), time.Unix(1000, 0))
			for _, e := range tt.epochs {
				m.observeEpoch(e, time.Unix(1000, 0))
			}
			got := m.acknowledged(tt.under, func(h host.ID) bool { return slices.Contains(tt.holding, h.Name) })
			NewWithT(t).Expect(got).To(Equal(tt.want))
		})
	}
}

// Guards against a new daemon that installs a peer's old generation although the store or a peer with a newer
// generation would reply shortly.
func TestFirstHead(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1000, 0)
	fresh := func() *stateMachine { return newStateMachine(id("a"), start) }
	wants := func(m *stateMachine, after time.Duration) bool { _, ok := m.wanted(start.Add(after)); return ok }
	old := reply{from: id("b"), generation: 1, sentAt: start}

	m := fresh()
	m.recordReply(old, Head{Generation: 1}, -1, -1, start)
	g.Expect(wants(m, bootstrapWait-1)).To(BeFalse())
	g.Expect(wants(m, bootstrapWait)).To(BeTrue())
	m.recordStoreRead(Head{Generation: 2}, start)
	head, ok := m.wanted(start)
	g.Expect(ok).To(BeTrue())
	g.Expect(head.Generation).To(Equal(uint64(2)))

	m = fresh()
	m.recordReply(old, Head{Generation: 1}, time.Second, time.Second, start)
	g.Expect(wants(m, 0)).To(BeTrue(), "a relayed confirmation from the store is equivalent to a read")
}
