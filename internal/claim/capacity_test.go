package claim

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/test/standin/memnet"
	"github.com/boragecourse/boragecourse/test/standin/memstore"
)

// Guards against store transactions that exceed the write budget at high call rates. Each call writes twice: its claim
// and its response. The logged figures are those of docs/notes/claims.md.
func TestFiguresOfBatching(t *testing.T) {
	const seconds = 2
	for _, c := range []struct{ hosts, perSecond int }{{1, 10}, {1, 100}, {1, 1000}, {1, 5000}, {5, 100}, {5, 5000}} {
		hosts, perSecond := c.hosts, c.perSecond
		withFleet(t, Config{}, hosts, func(g Gomega, f *fleet) {
			for _, h := range f.hosts {
				h.store.SetDelay(time.Millisecond)
			}
			var wg sync.WaitGroup
			var mu sync.Mutex
			var latency time.Duration
			began := time.Now()
			for i := range seconds * perSecond {
				wg.Go(func() {
					start := time.Now()
					key := fmt.Sprintf("k%d", i)
					ticket, _, err := f.claim(i%hosts, key, key)
					mu.Lock()
					latency += time.Since(start)
					mu.Unlock()
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(ticket.Dispatching()).To(Succeed())
					time.Sleep(50 * time.Millisecond)
					g.Expect(ticket.Done(f.ctx, Response{Status: 200})).To(Succeed())
				})
				time.Sleep(time.Second / time.Duration(perSecond))
			}
			wg.Wait()
			_, writes := f.store.Calls()
			t.Logf("%d hosts, %4d calls/s: %.0f store writes/s, mean latency of a claim %v", hosts, perSecond,
				float64(writes)/seconds, (latency / time.Duration(seconds*perSecond)).Round(10*time.Microsecond))
			paced := 200*time.Since(began).Seconds() + float64(burstTransactions*hosts)
			g.Expect(float64(writes)).To(BeNumerically("<=", min(float64(2*perSecond*seconds), paced)))
		})
	}
}

// Guards against claim records so large that a full batch exceeds maxBatchBytes, and logs the bytes per claim.
func TestFiguresOfRecordSize(t *testing.T) {
	g := NewWithT(t)
	c := Call{Workspace: "inspectors", IdempotencyKey: "0b8a4c1e-8d5a-4c55-9a33-2f3a6f4c7d10", Attempt: "host-0-4000000000000000-1a2-b3c4"}
	c.Digest[5] = 7
	self := host.ID{Name: "host-0", Addr: "10.0.0.1:7000", Zone: "piran-a", Incarnation: 1 << 62}
	value, err := encode(newRecord(c, self, time.Unix(1700000000, 1)))
	g.Expect(err).NotTo(HaveOccurred())
	t.Logf("claim: %d bytes, key %d bytes", len(value), len(storeKey(c)))
	g.Expect((len(value) + len(storeKey(c))) * maxBatchOps).To(BeNumerically("<", maxBatchBytes))
}

func BenchmarkStep(b *testing.B) {
	p := Config{}.withDefaults().policy
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		a, _ := p.Start(now)
		a, _ = p.Step(a, Event{Kind: EventAcknowledged, Revision: 1}, now)
		a, _ = p.Step(a, Event{Kind: EventDispatching}, now)
		a, _ = p.Step(a, Event{Kind: EventFinished}, now)
		a, _ = p.Step(a, Event{Kind: EventAcknowledged, Revision: 2}, now)
		if a.Phase != PhaseRecorded {
			b.Fatal(a.Phase)
		}
	}
}

// BenchmarkCall measures claim, dispatch and recording of the response with the in-memory store. The time per operation
// includes the batch delay; cpu-ns/op is the processor time.
func BenchmarkCall(b *testing.B) {
	store, id := memstore.New(), host.ID{Name: "h", Incarnation: 1}
	h := &testHost{fleet: &fleet{}, id: id}
	c := New(Config{MaxOpenAttempts: 1 << 20, WritesPerSecond: 1e6}, store.Client(), memnet.New().Node("a"), h, nil, logr.Discard())
	var n atomic.Int64
	b.ReportAllocs()
	b.SetParallelism(200)
	before := cpuTime(b)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			key := fmt.Sprint(n.Add(1))
			ticket, _, err := c.Claim(b.Context(), call(key, key))
			if err != nil {
				b.Error(err)
				return
			}
			_ = ticket.Dispatching()
			_ = ticket.Done(b.Context(), Response{Status: 200})
		}
	})
	b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
