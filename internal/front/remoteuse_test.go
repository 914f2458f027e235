package front

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/serverlimit"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// Guards against slots that stay counted after they were freed, after their host has not reported for useTTL or has left,
// or that do not count again when it returns, and against passes over servers that a report does not change.
func TestRemoteUseFollowsChanges(t *testing.T) {
	g := NewWithT(t)
	u := newRemoteUse()
	now := time.Unix(1000, 0)
	keys := map[uint64]string{serverlimit.Hash("a"): "a", serverlimit.Hash("b"): "b"}
	changed := func() map[string]int {
		slots, _ := u.takeChanged(func(server uint64) string { return keys[server] })
		return slots
	}
	run := &peerv1.GenerationRun{Prompt: 5, MaxOutput: 9}
	u.receive(&peerv1.FrontReport{Incarnation: 1, Uses: []*peerv1.ServerUse{{Key: "a", Slots: 2}, {Key: "b", Slots: 1, Runs: []*peerv1.GenerationRun{run}}}}, now)
	u.receive(&peerv1.FrontReport{Incarnation: 2, Uses: []*peerv1.ServerUse{{Server: serverlimit.Hash("a"), Slots: 1}}}, now)
	slots, runs := u.takeChanged(func(server uint64) string { return keys[server] })
	g.Expect(slots).To(Equal(map[string]int{"a": 3, "b": 1}))
	g.Expect(runs["b"]).To(HaveLen(1))
	u.receive(&peerv1.FrontReport{Incarnation: 1, Partial: true, MergesUses: true, Uses: []*peerv1.ServerUse{{Server: serverlimit.Hash("b")}}}, now)
	g.Expect(changed()).To(Equal(map[string]int{"b": 0}))
	u.receive(&peerv1.FrontReport{Incarnation: 1, Partial: true, KeepsUses: true}, now)
	g.Expect(changed()).To(BeEmpty())

	later := now.Add(useTTL + time.Millisecond)
	u.receive(&peerv1.FrontReport{Incarnation: 2, Partial: true, KeepsUses: true}, later)
	u.expire(later)
	g.Expect(changed()).To(Equal(map[string]int{"a": 1}))
	u.receive(&peerv1.FrontReport{Incarnation: 1, Partial: true, KeepsUses: true}, later)
	g.Expect(changed()).To(Equal(map[string]int{"a": 3}))
	u.remove(2)
	u.receive(&peerv1.FrontReport{Incarnation: 1, Partial: true, Uses: []*peerv1.ServerUse{{Key: "c", Slots: 4}}}, later)
	g.Expect(changed()).To(Equal(map[string]int{"a": 0}))
	keys[serverlimit.Hash("c")] = "c"
	u.recheck(serverlimit.Hash("c"))
	g.Expect(changed()).To(Equal(map[string]int{"c": 4}), "a server that gets known after its use")
	u.remove(1)
	g.Expect(changed()).To(Equal(map[string]int{"c": 0}))
	g.Expect(u.slots).To(BeEmpty())
}
