package dispatch_test

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/dispatch"
)

// Guards against an explanation with wrong terms or reasons, and against one whose first candidate does not get the job.
func TestExplainStatesTermsAndReasons(t *testing.T) {
	synctest.Test(t, explainTermsAndReasons)
}

func explainTermsAndReasons(t *testing.T) {
	g := NewWithT(t)
	p := newPool(4, "a", "b", "doubtful", "learned", "limited", "memory", "refused", "used")
	p.SetModel(fakeModel{doubtful: map[string]bool{"doubtful": true}, limit: map[string]int{"learned": 1}, relative: map[string]float64{"b": 2}})
	p.SetRateLimits(map[string]float64{"limited": 0})
	p.SetRemoteUse(map[string]int{"a": 2, "learned": 1, "used": 4})
	refuse := dispatch.Job{StartBy: time.Now().Add(time.Minute), Reserve: func(key string) bool { return key == "refused" }}
	grant, err := p.Acquire(context.Background(), refuse)
	g.Expect(err).NotTo(HaveOccurred())
	grant.ReleaseRejected()

	job := dispatch.Job{StartBy: time.Now().Add(time.Minute)}
	e := p.Explain(job, func(key string) dispatch.Reason {
		if key == "memory" {
			return "no memory"
		}
		return ""
	})
	reasons := map[string]dispatch.Reason{}
	for _, l := range e.LeftOut {
		reasons[l.Key] = l.Reason
	}
	g.Expect(reasons).To(Equal(map[string]dispatch.Reason{
		"learned": dispatch.ReasonLearnedLimit, "limited": dispatch.ReasonRateLimit, "memory": "no memory",
		"refused": dispatch.ReasonRefusedAsFull, "used": dispatch.ReasonFull,
	}))
	g.Expect(e.Candidates).To(HaveLen(3))
	b := e.Candidates[0]
	g.Expect([]any{b.Key, b.Used, b.Limit, b.Occupancy, b.Relative, b.Score}).To(Equal([]any{"b", 0.0, 4, 0.0, 2.0, 0.5}))
	g.Expect([]any{e.Candidates[1].Key, e.Candidates[1].Score, e.Candidates[2].Key}).To(Equal([]any{"a", 0.75, "doubtful"}))
	g.Expect(e.RecheckProbability).To(Equal(1.0 / 16))
	g.Expect(e.Refused).To(BeNil())
}

// Guards against an explanation that takes a slot or a token of a rate limit, or adds to the queue or to the counts of ranks.
func TestExplainChangesNothing(t *testing.T) {
	g := NewWithT(t)
	p := newPool(1, "a")
	p.SetRateLimits(map[string]float64{"a": 1000})
	time.Sleep(2 * time.Millisecond)
	before := fmt.Sprint(p.Stats(), p.LocalUse())
	for range 100 {
		g.Expect(p.Explain(dispatch.Job{StartBy: time.Now().Add(time.Second)}, nil).Candidates).To(HaveLen(1))
	}
	g.Expect(fmt.Sprint(p.Stats(), p.LocalUse())).To(Equal(before))
	_, err := p.Acquire(context.Background(), dispatch.Job{StartBy: time.Now().Add(time.Second)})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.Explain(dispatch.Job{StartBy: time.Now().Add(-time.Second)}, nil).Refused).NotTo(BeNil())
	g.Expect(p.Stats().Waiting).To(BeZero())
}

// Guards against a random choice in a large fleet that the explanation does not state, and against a list out of order.
func TestExplainStatesTheSample(t *testing.T) {
	g := NewWithT(t)
	keys := make([]string, 100)
	used := map[string]int{}
	for i := range keys {
		keys[i] = fmt.Sprint(i)
		used[keys[i]] = i % 7
	}
	p := newPool(8, keys...)
	p.SetRemoteUse(used)
	p.SetHosts(8)
	g.Expect(p.Explain(dispatch.Job{}, nil).Sample).To(BeZero())
	p.SetHosts(80)
	e := p.Explain(dispatch.Job{}, nil)
	g.Expect(e.Sample).To(Equal(10))
	g.Expect(slices.IsSortedFunc(e.Candidates, func(a, b dispatch.Terms) int { return cmp.Compare(a.Score, b.Score) })).To(BeTrue())
}
