package quota_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/quota"
)

// Guards against a burst that is not fully available to one host while all zones are reachable, or that is
// exceeded.
func TestWholeBurstFromAllZones(t *testing.T) {
	for _, hosts := range [][]host.ID{
		{id("za", "a1")},
		{id("za", "a1"), id("za", "a2"), id("zb", "b1"), id("zc", "c1"), id("zd", "d1")},
	} {
		t.Run(fmt.Sprint(len(hosts)), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, hosts...)
				defer f.stopAll()
				time.Sleep(warmUp)
				r, err := f.reserve("a1", testBurst)
				f.Expect(err).NotTo(HaveOccurred())
				_, err = f.reserve("a1", 100)
				var refused *quota.RefusedError
				f.Expect(errors.As(err, &refused)).To(BeTrue())
				f.Expect(refused.RetryAfter).To(BeNumerically("~", 100*time.Millisecond, 10*time.Millisecond))
				_, err = f.reserve("a1", testBurst+1)
				var exceeds *quota.ExceedsBurstError
				f.Expect(errors.As(err, &exceeds)).To(BeTrue())
				use(r, testBurst)
				f.expectWithinBound()
			})
		})
	}
}

// fiveHosts returns two hosts in za and one in each other zone.
func fiveHosts() []host.ID {
	return []host.ID{id("za", "a1"), id("za", "a2"), id("zb", "b1"), id("zc", "c1"), id("zd", "d1")}
}

// load sends 2,000 tokens per second (twice the rate) from each of the given hosts, in requests of 100 tokens, and
// returns the number of admitted tokens. Each request uses all its tokens.
func (f *fleet) load(d time.Duration, names ...string) (admitted int64) {
	var calls sync.WaitGroup
	var mu sync.Mutex
	for range d / (50 * time.Millisecond) {
		time.Sleep(50 * time.Millisecond)
		for _, name := range names {
			calls.Go(func() {
				r, err := f.reserve(name, 100)
				if err != nil {
					return
				}
				time.Sleep(20 * time.Millisecond)
				mu.Lock()
				admitted += 100
				mu.Unlock()
				use(r, 100)
			})
		}
	}
	calls.Wait()
	return admitted
}

// Guards against faults after which a fleet admits more than burst + rate * time, or after which hosts that the fault
// does not affect stop admitting.
func TestServiceFaults(t *testing.T) {
	all := fiveHosts()
	home, _ := membership.Epoch{Hosts: all}.Home("za", "ws")
	other := "a1"
	if home.Name == "a1" {
		other = "a2"
	}
	cases := []struct {
		name  string
		fault func(f *fleet)
		from  []string
		// least is the fraction of rate * time that must still be admitted after the fault.
		least float64
	}{
		{"none", func(*fleet) {}, []string{"a1", "a2", "b1", "c1", "d1"}, 0.95},
		{"load on one host only", func(*fleet) {}, []string{other}, 0.95},
		{"home host crashes and is excluded", func(f *fleet) {
			f.stop(home.Name)
			time.Sleep(10 * time.Second)
			f.setEpoch(without(all, home.Name)...)
		}, []string{other, "b1"}, 0.8},
		{"share of a zone without hosts goes to the others", func(f *fleet) {
			f.stop("d1")
			time.Sleep(10 * time.Second)
			f.setEpoch(without(all, "d1")...)
		}, []string{"a1", "b1"}, 0.9},
		{"zone unreachable", func(f *fleet) { f.cutZone("d1") }, []string{"a1", "b1", "d1"}, 0.9},
		{"partition not yet detected", func(f *fleet) {
			for _, h := range all {
				if h.Name != "d1" {
					f.net.Partition(h.Addr, "d1")
				}
			}
		}, []string{other, "b1"}, 0.7},
		{"home host drains and leaves", func(f *fleet) {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			f.Expect(f.hosts[home.Name].svc.Drain(ctx)).To(Succeed())
			f.setEpoch(without(all, home.Name)...)
			time.Sleep(time.Second)
			f.stop(home.Name)
		}, []string{other, "b1"}, 0.8},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, all...)
				defer f.stopAll()
				time.Sleep(warmUp)
				f.load(5*time.Second, "a1", "a2", "b1", "c1", "d1")
				c.fault(f)
				// The bucket must be empty before the measurement, or its burst would hide a loss of rate.
				f.load(20*time.Second, c.from...)
				admitted := f.load(20*time.Second, c.from...)
				f.Expect(float64(admitted)).To(BeNumerically(">=", c.least*20*float64(testRate)))
				f.expectWithinBound()
			})
		})
	}
}

func without(hosts []host.ID, name string) []host.ID {
	var rest []host.ID
	for _, h := range hosts {
		if h.Name != name {
			rest = append(rest, h)
		}
	}
	return rest
}

// cutZone cuts the only host of a zone off from all others. Both sides see each other as unreachable.
func (f *fleet) cutZone(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for other, n := range f.hosts {
		if other != name {
			f.net.Partition(n.id.Addr, f.hosts[name].id.Addr)
			n.unreachable[name] = true
			f.hosts[name].unreachable[other] = true
		}
	}
}

// Guards against a handover to a joining host that loses the level of the bucket: the host would start with an
// empty bucket and refuse requests within the rate.
func TestHandOverOnJoin(t *testing.T) {
	all := fiveHosts()
	home, _ := membership.Epoch{Hosts: all}.Home("za", "ws")
	for _, used := range []int64{0, 15000} {
		t.Run(fmt.Sprint(used), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, without(all, home.Name)...)
				defer f.stopAll()
				time.Sleep(warmUp)
				if used > 0 {
					r, err := f.reserve("b1", used)
					f.Expect(err).NotTo(HaveOccurred())
					use(r, used)
				}
				f.start(home)
				f.setEpoch(all...)
				time.Sleep(time.Second)
				_, err := f.reserve(home.Name, min(testBurst, testBurst-used+500))
				f.Expect(err).NotTo(HaveOccurred())
				f.expectWithinBound()
			})
		})
	}
}

// Guards against rolling restarts that empty the buckets: a host that drains and leaves must hand its buckets over.
// Idle buckets are dropped from memory every 10 s, which must not happen between the drain and the handover.
func TestHandOverOnLeave(t *testing.T) {
	for _, leaving := range []time.Duration{0, 15 * time.Second} {
		t.Run(leaving.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all := fiveHosts()
				home, _ := membership.Epoch{Hosts: all}.Home("za", "ws")
				f := newFleet(t, all...)
				defer f.stopAll()
				time.Sleep(warmUp)
				f.Expect(f.hosts[home.Name].svc.Drain(context.Background())).To(Succeed())
				time.Sleep(leaving)
				f.setEpoch(without(all, home.Name)...)
				time.Sleep(time.Second)
				f.stop(home.Name)
				_, err := f.reserve("b1", testBurst)
				f.Expect(err).NotTo(HaveOccurred())
				_, err = f.reserve("b1", 100)
				f.Expect(err).To(HaveOccurred())
				f.expectWithinBound()
			})
		})
	}
}

// Guards against admissions without authority, both on the host itself and on behalf of a borrower.
func TestNoAuthority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, fiveHosts()...)
		defer f.stopAll()
		time.Sleep(warmUp)
		for _, n := range f.hosts {
			if n.id.Name != "b1" {
				n.authority = errNoAuthority
			}
		}
		_, err := f.reserve("c1", 10)
		var unavailable *quota.UnavailableError
		f.Expect(errors.As(err, &unavailable)).To(BeTrue())
		f.Expect(errors.Is(err, errNoAuthority)).To(BeTrue())
		_, err = f.reserve("b1", testBurst/4)
		f.Expect(err).NotTo(HaveOccurred())
		_, err = f.reserve("b1", 1000)
		var refused *quota.RefusedError
		f.Expect(errors.As(err, &refused)).To(BeTrue())
	})
}

// Guards against a canceled request that waits for the draw or takes tokens.
func TestReserveRespectsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, id("za", "a1"), id("zb", "b1"))
		defer f.stopAll()
		time.Sleep(warmUp)
		f.net.Partition("a1", "b1")
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		start := time.Now()
		_, err := f.hosts["a1"].svc.Reserve(ctx, "ws", testBurst)
		f.Expect(errors.Is(err, context.DeadlineExceeded)).To(BeTrue())
		f.Expect(time.Since(start)).To(Equal(10 * time.Millisecond))
		// The draw continues for other requests until its calls time out.
		time.Sleep(time.Second)
		_, err = f.reserve("a1", testBurst/2)
		f.Expect(err).NotTo(HaveOccurred())
	})
}

// Guards against memory growth: a host must drop the state of idle workspaces.
func TestIdleStateIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, fiveHosts()...)
		defer f.stopAll()
		time.Sleep(warmUp)
		r, err := f.reserve("b1", testBurst)
		f.Expect(err).NotTo(HaveOccurred())
		use(r, testBurst/2)
		time.Sleep(2 * warmUp)
		for _, n := range f.hosts {
			var text strings.Builder
			_, err := n.metrics.WriteTo(&text)
			f.Expect(err).NotTo(HaveOccurred())
			f.Expect(text.String()).To(ContainSubstring("quota_workspaces_in_memory 0"))
		}
		_, err = f.reserve("c1", testBurst)
		f.Expect(err).NotTo(HaveOccurred())
		f.expectWithinBound()
	})
}

// Guards against a slow start of a new fleet: its first hosts have no predecessors whose grants they must wait for,
// so they must admit as soon as the short term has ended and the bucket has refilled.
func TestFirstHostsStartSoon(t *testing.T) {
	for name, hosts := range map[string][]host.ID{"one": {id("za", "a1")}, "five": fiveHosts()} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, hosts...)
				defer f.stopAll()
				time.Sleep(quota.ShortTerm + time.Second)
				_, err := f.reserve("a1", testRate/2)
				f.Expect(err).NotTo(HaveOccurred())
				f.expectWithinBound()
			})
		})
	}
}
