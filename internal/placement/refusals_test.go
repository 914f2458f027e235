package placement

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/rules"
)

// Guards against placing on leaving servers, waiting forever when no server remains, and an unbounded queue.
func TestRefusalsByReason(t *testing.T) {
	inFleet(t, Options{QueueLimit: 1}, serverRules(1, "d"), func(g *GomegaWithT, f *fleet) {
		p, err := f.place("a", rules.ClassWait)
		g.Expect(err).NotTo(HaveOccurred())
		p.ReleasePrefill()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() {
			_, err := f.services["a"].Place(ctx, f.Current(), f.request(rules.ClassWait))
			done <- err
		}()
		time.Sleep(10 * time.Second)
		var full *QueueFullError
		_, err = f.place("a", rules.ClassWait)
		g.Expect(errors.As(err, &full)).To(BeTrue(), "%v", err)
		cancel()
		g.Expect(errors.Is(<-done, context.Canceled)).To(BeTrue())
		waiting := make(chan error, 1)
		go func() {
			_, err := f.services["a"].Place(context.Background(), f.Current(), f.request(rules.ClassWait))
			waiting <- err
		}()
		time.Sleep(time.Second)
		all := serverRules(1, "d")
		all[1].(*rules.Server).State = rules.ServerLeaving
		f.setRules(2, all)
		time.Sleep(2 * time.Second)
		p.ReleaseDecode()
		g.Expect(<-waiting).To(HaveOccurred(), "a request that waits for a leaving server does not get its free slot")
		var none *NoServerError
		for _, class := range []rules.Class{rules.ClassLatency, rules.ClassWait} {
			_, err = f.place("a", class)
			g.Expect(errors.As(err, &none)).To(BeTrue(), "%v", err)
		}
		for _, reason := range []string{reasonQueueFull, reasonCanceled, reasonNoServer} {
			g.Expect(f.metrics.Count(metricRefusals, metrics.L("reason", reason))).To(BeNumerically(">", 0), reason)
		}
	})
}

// Guards against an index that stays wrong after a lost cache event, and against other hosts not receiving the length
// of the cache match.
func TestCacheMatchCrossesHosts(t *testing.T) {
	inFleet(t, Options{}, serverRules(4, "d"), func(g *GomegaWithT, f *fleet) {
		e := f.engines["p"]
		e.mu.Lock()
		e.events, e.blocks = []engine.CacheEvent{{Sequence: 3, Block: 8}}, []uint64{1, 2}
		e.mu.Unlock()
		time.Sleep(time.Second)
		g.Expect(f.metrics.Count(metricResyncs)).To(BeNumerically(">", 0))
		r := f.request(rules.ClassLatency)
		r.PromptTokens, r.PrefixBlocks = 1600, []uint64{1, 2, 3}
		p, err := f.services[other(f.HomeOf("p"))].Place(context.Background(), f.Current(), r)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(p.CachedTokens).To(BeEquivalentTo(1024))
	})
}
