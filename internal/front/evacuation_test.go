package front

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/exchange"
	"github.com/boragecourse/boragecourse/internal/fleet"
	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/registry"
	"github.com/boragecourse/boragecourse/platform"
)

func evacuationItem(zone string, revision int64) kvstore.KeyValue {
	return kvstore.KeyValue{Key: platform.EvacuationPrefix + zone, Value: []byte("{}"), ModRevision: revision}
}

// Guards against a host that was suspended while a zone was evacuated and the store was restored, reads a copy without the
// request, and sends to the zone although the other hosts know better; and against one that goes on asking them.
func TestHostTakesOverRetainedEvacuations(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	newHost := func() *State { return newState(nil, logr.Discard(), metrics.New(), func() time.Time { return now }) }
	knowing, suspended := newHost(), newHost()
	g.Expect(suspended.Loaded()).To(BeFalse())
	suspended.ReceiveCopy("a", Transfer{Revision: kvstore.InEra(1, 5), ConfirmedAt: now}, false)
	knowing.ReceiveCopy("a", Transfer{
		Items: []kvstore.KeyValue{evacuationItem("z", kvstore.InEra(1, 7))}, Revision: kvstore.InEra(1, 8), ConfirmedAt: now,
	}, false)
	g.Expect(knowing.MaySend("s/1", "z")).To(HaveOccurred())
	restored := Transfer{Revision: kvstore.InEra(2, 3), ConfirmedAt: now}
	for _, s := range []*State{knowing, suspended} {
		g.Expect(s.replaceCopy(nil, restored.Revision, now, now)).To(BeTrue())
		s.applyCopy()
		g.Expect(s.Loaded()).To(BeTrue())
	}
	g.Expect(knowing.MaySend("s/1", "z")).To(HaveOccurred())
	g.Expect(suspended.MaySend("s/1", "z")).NotTo(HaveOccurred())
	version := exchange.StateVersion{Revision: restored.Revision}
	g.Expect(suspended.ShouldFetch(version, 0)).To(BeTrue())
	suspended.ReceiveCopy("b", knowing.Since(version), false)
	g.Expect(suspended.MaySend("s/1", "z")).To(HaveOccurred())
	g.Expect(suspended.MaySend("s/1", "y")).NotTo(HaveOccurred())
	g.Expect(suspended.ShouldFetch(version, 0)).To(BeFalse())
}

// Guards against refusals that blame an evacuation while another server is only held off, or that do not when a stage has only
// evacuated engines.
func TestWhenOnlyEvacuatedServersAreLeft(t *testing.T) {
	g := NewWithT(t)
	state := func(id string, stage fleet.Stage) registry.State {
		return registry.State{Server: fleet.Server{ID: id, Stage: stage}}
	}
	group := newGroup("llm", "z", fleet.RetryLimits{}, time.Time{}, time.Now)
	group.setEvacuated([]registry.State{state("a", fleet.Decode)})
	group.update([]registry.State{state("b", fleet.Prefill)})
	g.Expect(group.onlyEvacuated(fleet.Generation)).To(BeTrue())
	g.Expect(group.onlyEvacuated(fleet.Idempotent)).To(BeFalse())
	group.update([]registry.State{state("c", fleet.Decode)})
	group.holdOff(fleet.Server{ID: "c"}, time.Minute)
	g.Expect(group.onlyEvacuated(fleet.Generation)).To(BeFalse())
}
