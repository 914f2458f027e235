package charge

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/internal/metrics"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// Guards against records that are lost or written twice. At the end of each case the store must hold every record once,
// and no host a copy.
func TestChargesAreWrittenOnce(t *testing.T) {
	cases := map[string]func(g Gomega, f *fleet){
		"no fault": func(_ Gomega, f *fleet) { f.addOnAllHosts(3 * time.Second) },
		"store down for minutes": func(_ Gomega, f *fleet) {
			f.addOnAllHosts(time.Second)
			f.storeDown(true)
			f.addOnAllHosts(2 * time.Minute)
			f.storeDown(false)
			f.addOnAllHosts(time.Second)
		},
		"lost store responses": func(_ Gomega, f *fleet) {
			for range 5 {
				for _, h := range f.hosts {
					h.store.LoseResponses(2)
				}
				f.addOnAllHosts(3 * time.Second)
			}
		},
		"host crashes before the write": func(_ Gomega, f *fleet) {
			f.storeDown(true)
			f.addOnAllHosts(2 * time.Second)
			time.Sleep(300 * time.Millisecond)
			f.hosts[0].kill()
			f.exclude(f.hosts[0].id)
			time.Sleep(2 * time.Second)
			f.storeDown(false)
		},
		"host is excluded but still writes": func(_ Gomega, f *fleet) {
			f.storeDown(true)
			f.addOnAllHosts(2 * time.Second)
			f.exclude(f.hosts[0].id)
			f.storeDown(false)
			f.addOnAllHosts(2 * time.Second)
		},
		"replica host crashes, then the host": func(g Gomega, f *fleet) {
			f.storeDown(true)
			f.add(0, 50)
			time.Sleep(300 * time.Millisecond)
			killed := 0
			for _, h := range f.hosts[1:] {
				if holdsCopies(h, f.hosts[0]) {
					h.kill()
					f.exclude(h.id)
					killed++
				}
			}
			g.Expect(killed).To(Equal(1))
			time.Sleep(3 * time.Second)
			f.hosts[0].kill()
			f.exclude(f.hosts[0].id)
			f.storeDown(false)
			// The host has left the epoch, so its copies are written without waiting for copyIdleTimeout.
			time.Sleep(5 * time.Second)
			g.Expect(f.stored(g)).To(Equal(f.expected))
		},
		"confirmations are lost": func(_ Gomega, f *fleet) {
			f.addOnAllHosts(time.Second)
			for _, h := range f.hosts {
				f.net.Partition(f.hosts[0].id.Addr, h.id.Addr)
			}
			f.addOnAllHosts(10 * time.Second)
			f.net.HealAll()
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			withFleet(t, Config{}, func(g Gomega, f *fleet) {
				fault(g, f)
				time.Sleep(2 * time.Minute)
				g.Expect(f.stored(g)).To(Equal(f.expected))
				g.Expect(f.maxWritesPerKey(g)).To(Equal(1))
				for _, h := range f.hosts {
					g.Expect(h.m.Count("charge_conflicts_total")).To(BeZero())
					if _, copies := h.ledger.Pending(); !h.dead {
						g.Expect(copies).To(BeZero(), h.id.Name)
					}
				}
			})
		})
	}
}

// holdsCopies reports whether h keeps copies of another host's batches.
func holdsCopies(h, other *testHost) bool {
	h.ledger.mu.Lock()
	defer h.ledger.mu.Unlock()
	return h.ledger.copies[incarnationOf(other.id)] != nil
}

// Guards against combinations of faults that lose or duplicate records while only one of the hosts with a batch
// crashes.
func TestRandomFaultsLoseNoClosedBatch(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 1))
		withFleet(t, Config{}, func(g Gomega, f *fleet) {
			victim := rng.IntN(4)
			for range 12 {
				h := f.hosts[rng.IntN(4)]
				switch rng.IntN(5) {
				case 0:
					f.storeDown(rng.IntN(2) == 0)
				case 1:
					h.store.LoseResponses(rng.IntN(4))
				case 2:
					f.net.Partition(h.id.Addr, f.hosts[rng.IntN(4)].id.Addr)
				case 3:
					f.net.HealAll()
				default:
					h.store.SetDelay(time.Duration(rng.IntN(2500)) * time.Millisecond)
				}
				f.addOnAllHosts(time.Duration(rng.IntN(1500)) * time.Millisecond)
			}
			f.net.HealAll()
			time.Sleep(10 * time.Second)
			f.hosts[victim].kill()
			f.exclude(f.hosts[victim].id)
			for i, h := range f.hosts {
				h.store.SetDelay(0)
				h.store.SetDown(i == victim)
				h.store.LoseResponses(0)
			}
			time.Sleep(2 * time.Minute)
			g.Expect(f.stored(g)).To(Equal(f.expected), "seed %d", seed)
		})
	}
}

// Guards against a request id whose record is not found, whether the record is in memory, copied or stored, and against
// a trace with an unbounded number of store reads.
func TestTrace(t *testing.T) {
	withFleet(t, Config{}, func(g Gomega, f *fleet) {
		trace := func(i int, id string) Record {
			r, err := f.hosts[i].ledger.Trace(f.ctx, id)
			g.Expect(err).NotTo(HaveOccurred())
			return r
		}
		long := f.hosts[0].ledger.NewRequestID()
		first := f.add(0, 1)
		g.Expect(trace(0, first).Rule).To(Equal(record("").Rule))
		time.Sleep(300 * time.Millisecond)
		g.Expect(trace(0, first).Rule.Who).To(Equal("ana"))
		f.addOnAllHosts(30 * time.Second)
		recent := f.add(0, 1)
		want := record(long)
		f.hosts[0].ledger.Add(want)
		time.Sleep(5 * time.Second)
		reads, _ := f.store.Calls()
		g.Expect(trace(3, long)).To(Equal(want))
		g.Expect(trace(3, first).RequestID).To(Equal(first))
		after, _ := f.store.Calls()
		g.Expect(after - reads).To(BeNumerically("<=", 12))
		g.Expect(trace(3, recent).RequestID).To(Equal(recent))
		last, _ := f.store.Calls()
		g.Expect(last - after).To(Equal(int64(1)))

		var missing *NotFoundError
		_, err := f.hosts[3].ledger.Trace(f.ctx, f.hosts[0].ledger.NewRequestID())
		g.Expect(errors.As(err, &missing)).To(BeTrue())
		var malformed *RequestIDError
		for _, id := range []string{"", "a-b-c", "host-1-2-z"} {
			_, err := f.hosts[0].ledger.Trace(f.ctx, id)
			g.Expect(errors.As(err, &malformed)).To(BeTrue(), id)
		}
		f.hosts[3].store.SetDown(true)
		var unavailable *kvstore.UnavailableError
		_, err = f.hosts[3].ledger.Trace(f.ctx, long)
		g.Expect(errors.As(err, &unavailable)).To(BeTrue())
	})
}

// Guards against unbounded memory use during a store outage, and against a dropped record that is neither counted nor
// logged.
func TestOverflowIsRefusedThenCountedAndLogged(t *testing.T) {
	withFleet(t, Config{MaxPendingBytes: 20000, MaxBatchBytes: 1000}, func(g Gomega, f *fleet) {
		f.storeDown(true)
		l := f.hosts[0].ledger
		added := 0
		for ; l.Accepting() == nil; added++ {
			f.add(0, 1)
		}
		var overflow *OverflowError
		g.Expect(errors.As(l.Accepting(), &overflow)).To(BeTrue())
		for range 100 {
			f.add(0, 1)
			added++
		}
		dropped := f.hosts[0].m.Count("charge_dropped_total", metrics.L("reason", "memory_full"))
		g.Expect(dropped).To(BeNumerically(">", 50))
		g.Expect(f.log.String()).To(ContainSubstring("charge record dropped"))
		g.Expect(f.log.String()).To(ContainSubstring("who=ana"))
		f.storeDown(false)
		time.Sleep(time.Minute)
		g.Expect(f.stored(g)).To(HaveLen(added - int(dropped)))
		g.Expect(l.Accepting()).To(Succeed())
	})
}

// Guards against unbounded memory use by copies on a replica host, against batches without a copy once that host's
// memory is full, and against a copy in the zone of its host while another zone has capacity.
func TestFullReplicaHostIsReplaced(t *testing.T) {
	withFleet(t, Config{MaxCopyBytes: 3000}, func(g Gomega, f *fleet) {
		f.storeDown(true)
		f.add(0, 1)
		time.Sleep(300 * time.Millisecond)
		g.Expect(holdsCopies(f.hosts[1], f.hosts[0])).To(BeFalse(), "the copy must be in another zone")
		for range 10 {
			f.add(0, 3)
			time.Sleep(300 * time.Millisecond)
		}
		replicas := 0
		for _, h := range f.hosts[1:] {
			if _, copies := h.ledger.Pending(); copies > 0 {
				replicas++
			}
			g.Expect(h.ledger.copyBytes).To(BeNumerically("<=", 3000))
		}
		g.Expect(replicas).To(BeNumerically(">=", 2))
	})
}

// Guards against a copy that is received after its confirmation and is then never dropped.
func TestLateCopyIsNotKept(t *testing.T) {
	withFleet(t, Config{}, func(g Gomega, f *fleet) {
		l, from := f.hosts[2].ledger, f.hosts[0].id.Proto()
		_, err := l.Confirm(f.ctx, &peerv1.ConfirmRequest{Host: from, WrittenThrough: 5})
		g.Expect(err).NotTo(HaveOccurred())
		for sequence := range uint64(7) {
			batch := &peerv1.ChargeBatch{Host: from, Sequence: sequence + 1}
			_, err := l.Replicate(f.ctx, &peerv1.ReplicateRequest{Batch: batch})
			g.Expect(err).NotTo(HaveOccurred())
		}
		_, copies := l.Pending()
		g.Expect(copies).To(Equal(2))
	})
}

// Guards against a flush that leaves records unwritten, and against one that does not report the records that it could
// not write.
func TestFlushOnDrain(t *testing.T) {
	withFleet(t, Config{}, func(g Gomega, f *fleet) {
		f.storeDown(true)
		f.add(0, 100)
		f.hosts[0].stop()
		ctx, cancel := context.WithTimeout(f.ctx, 3*time.Second)
		defer cancel()
		var unwritten *UnwrittenError
		g.Expect(errors.As(f.hosts[0].ledger.Flush(ctx), &unwritten)).To(BeTrue())
		g.Expect(unwritten.Records).To(Equal(100))
		f.storeDown(false)
		g.Expect(f.hosts[0].ledger.Flush(f.ctx)).To(Succeed())
		g.Expect(f.stored(g)).To(Equal(f.expected))
	})
}

// Guards against writes in excess of the fleet's budget, in normal operation and after an outage, and against a string
// with invalid UTF-8 that blocks all later records.
func TestWriteBudgetAndFaultyStrings(t *testing.T) {
	withFleet(t, Config{}, func(g Gomega, f *fleet) {
		f.hosts[0].ledger.Add(record("bad\xff"))
		_, before := f.store.Calls()
		f.addOnAllHosts(10 * time.Second)
		_, after := f.store.Calls()
		g.Expect(after - before).To(BeNumerically("<=", 4*11))
		f.storeDown(true)
		f.addOnAllHosts(2 * time.Minute)
		f.storeDown(false)
		_, before = f.store.Calls()
		time.Sleep(1100 * time.Millisecond)
		_, after = f.store.Calls()
		// Four hosts, at most two rounds in this time, four transactions per round.
		g.Expect(after - before).To(BeNumerically("<=", 4*2*4))
		time.Sleep(time.Minute)
		f.expected["bad\uFFFD"]++
		g.Expect(f.stored(g)).To(Equal(f.expected))
	})
}
