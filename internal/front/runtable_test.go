package front

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/kvmemory"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// Guards against memory that stays counted after its generation has ended, or is taken back twice, since the engine would then be
// avoided or overfilled for good.
func TestCommittedMemoryFollowsRuns(t *testing.T) {
	g := NewWithT(t)
	table := newRunTable(func() time.Time { return time.Unix(1000, 0) })
	generation := func(prompt int64) kvmemory.Run {
		return kvmemory.Run{Prompt: prompt, Output: kvmemory.Output{LogMean: 0, LogSigma: 1, Max: 100}}
	}
	own := &run{Run: generation(99)}
	g.Expect(table.occupancy("a", 1000)).To(BeZero())
	g.Expect(table.add(own, "a", 1000)).To(BeTrue())
	table.updateRemoteUse(map[string][]kvmemory.Run{"a": {generation(199), generation(299)}})
	g.Expect(table.occupancy("a", 1000)).To(BeNumerically("~", 0.6, 1e-9))
	g.Expect(table.occupancy("a", 0)).To(BeZero(), "the capacity is not known")
	table.updateRemoteUse(map[string][]kvmemory.Run{"a": {generation(299)}})
	g.Expect(table.occupancy("a", 1000)).To(BeNumerically("~", 0.4, 1e-9))
	table.end(own)
	table.end(own)
	g.Expect(table.occupancy("a", 1000)).To(BeNumerically("~", 0.3, 1e-9))
	table.updateRemoteUse(map[string][]kvmemory.Run{"a": nil})
	g.Expect(table.committed).To(BeEmpty())
}

// Guards against a reported generation that is no number and hides how full its engine is, also after it was withdrawn.
func TestReportedGenerationsAreBounded(t *testing.T) {
	g := NewWithT(t)
	good := &peerv1.GenerationRun{Prompt: 99, MaxOutput: 100}
	bad := []*peerv1.GenerationRun{
		{Prompt: 99, MaxOutput: 100, LogMean: float32(math.NaN())}, {Prompt: 99, MaxOutput: 100, LogSigma: float32(math.Inf(1))},
		{Prompt: math.MaxInt64, MaxOutput: 100}, {Prompt: -1, MaxOutput: 100},
	}
	table := newRunTable(func() time.Time { return time.Unix(1000, 0) })
	table.updateRemoteUse(map[string][]kvmemory.Run{"a": reportedRuns(append(bad, good), time.Unix(1000, 0))})
	g.Expect(table.occupancy("a", 1000)).To(BeNumerically("~", 0.1, 1e-9))
}
