package stagesplit_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/stagesplit"
)

// Guards against a wrong load when the totals of several processes are summed and one of them restarts: the totals of
// its new incarnation must not count as an increment.
func TestMeterSumsAllProcesses(t *testing.T) {
	g := NewWithT(t)
	m := &stagesplit.Meter{}
	perSecond := stagesplit.Totals{
		Arrived: 4, Prompt: 4 * 5000, Output: 4 * 4000, PrefillTime: 100 * time.Millisecond, PrefillTokens: 5000,
		SlotTime: 9 * time.Second, SlotTokens: 12000,
	}
	total := stagesplit.Totals{}
	for second := range 20 {
		total.Arrived += perSecond.Arrived
		total.Prompt += perSecond.Prompt
		total.Output += perSecond.Output
		total.PrefillTime += perSecond.PrefillTime
		total.PrefillTokens += perSecond.PrefillTokens
		total.SlotTime += perSecond.SlotTime
		total.SlotTokens += perSecond.SlotTokens
		all := map[uint64]stagesplit.Totals{1: total, 2: total}
		if second >= 10 {
			delete(all, 2)
			all[3] = stagesplit.Totals{Arrived: 1000}
		}
		m.Record(all, start.Add(time.Duration(second)*time.Second))
		if second == 9 {
			load := m.Load(12, 60_000)
			g.Expect(load.ArrivalRate).To(BeNumerically("~", 8, 0.01))
			g.Expect(load.Prefill).To(Equal(100 * time.Millisecond))
			g.Expect(load.Decode).To(Equal(3 * time.Second))
			g.Expect(load.Concurrency).To(BeNumerically("~", 0.85*60_000/7000, 0.01))
		}
	}
	g.Expect(m.Load(12, 0).ArrivalRate).To(BeNumerically("~", 4, 0.01), "a new process counts from its second sample")
	g.Expect(m.Load(12, 0).Concurrency).To(Equal(12.0))
	g.Expect((&stagesplit.Meter{}).Load(12, 0)).To(Equal(stagesplit.Load{}))
}
