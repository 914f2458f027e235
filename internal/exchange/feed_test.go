package exchange

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// Guards against admitted tokens that get lost: a host passes on only what it receives directly, so a change that it got
// through another host must be in the first direct report that it passes on.
func TestDirectReportsContainWhatWasNotPassedOnBefore(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	f := newFeed("self", func(uint64) string { return "" })
	direct := func(position uint64) []*peerv1.FrontReport {
		return f.since(position, "relay", form{changedUses: true}, true, func(e *feedEntry) bool { return e.direct("self") })
	}
	f.merge(&peerv1.FrontReport{Address: "host", Incarnation: 7, Sequence: 4, Admitted: map[string]int64{"a": 1}}, "host", now)
	known := f.position
	f.merge(&peerv1.FrontReport{Incarnation: 7, Sequence: 5, Partial: true, KeepsUses: true, Admitted: map[string]int64{"b": 10}}, "other", now)
	g.Expect(direct(known)).To(BeEmpty())
	known = f.position
	f.merge(&peerv1.FrontReport{Incarnation: 7, Sequence: 6, Partial: true, KeepsUses: true, Admitted: map[string]int64{"c": 3}}, "host", now)
	reports := direct(known)
	g.Expect(reports).To(HaveLen(1))
	g.Expect(reports[0].Admitted).To(Equal(map[string]int64{"a": 1, "b": 10, "c": 3}))
	known = f.position
	f.merge(&peerv1.FrontReport{Incarnation: 7, Sequence: 7, Partial: true, KeepsUses: true, Admitted: map[string]int64{"c": 4}}, "host", now)
	g.Expect(direct(known)[0].Admitted).To(Equal(map[string]int64{"c": 4}), "only the change once the receiver has all")
	g.Expect(f.since(known, "host", form{changedUses: true}, false, func(*feedEntry) bool { return true })).To(BeEmpty(), "nothing back to the sender")
}
