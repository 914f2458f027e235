package exchange

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// Guards against a use that other hosts count for ever because they have missed its end.
func TestMissedChangesOfUsesAreRepeated(t *testing.T) {
	g := NewWithT(t)
	f := newFeed("h", func(uint64) string { return "" })
	report := func(at time.Time, uses ...*peerv1.ServerUse) *peerv1.FrontReport {
		r := &peerv1.FrontReport{Address: "h", Incarnation: 1, Uses: uses}
		f.update(r, true, true, 0, at)
		return r
	}
	start := time.Unix(1000, 0)
	kept, ended := &peerv1.ServerUse{Server: 1, Slots: 1}, &peerv1.ServerUse{Server: 2, Slots: 1}
	report(start, kept, ended)
	report(start.Add(time.Second), kept)
	position := f.position
	report(start.Add(2*time.Second), kept)
	uses, _ := f.entries["h"].serverUses.since(position, true, f)
	g.Expect(uses).To(BeEmpty())
	report(start.Add(repeatInterval+time.Second), kept)
	uses, merge := f.entries["h"].serverUses.since(position, true, f)
	g.Expect(merge).To(BeTrue())
	g.Expect(uses).To(ConsistOf(
		HaveField("Server", BeEquivalentTo(1)), And(HaveField("Server", BeEquivalentTo(2)), HaveField("Slots", BeZero()))))
}
