package config_test

import (
	"errors"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/kvstore"
)

var sixHosts = []string{"a1", "a2", "b1", "b2", "c1", "c2"}

func activeHosts(r *config.Report) (names []string) {
	for _, h := range r.Hosts {
		if h.HasGeneration {
			names = append(names, h.Host.Name)
		}
	}
	return names
}

// Guards against a withdrawn key that a host still accepts after 5 s: without a fault, without the push, with all
// watches broken, and on hosts that receive the change only from peers.
func TestWithdrawnKeyStopsOnEveryHost(t *testing.T) {
	tests := []struct {
		name  string
		fault func(c *cluster)
		// apart lists hosts that reach neither the store nor a host that does. They may continue as a majority; the
		// change must then not be acknowledged.
		apart []string
	}{
		{"no fault", func(*cluster) {}, nil},
		{"the applier cannot push", func(c *cluster) { c.partition([]string{"a1"}, sixHosts[1:]) }, nil},
		{"watches are broken and the applier cannot push", func(c *cluster) {
			c.partition([]string{"a1"}, sixHosts[1:])
			c.store.BreakWatches()
		}, nil},
		{"a zone is cut off from the store", func(c *cluster) { c.setStoreDown(true, "b1", "b2") }, nil},
		{"a zone is cut off from the store and from the applier", func(c *cluster) {
			c.setStoreDown(true, "b1", "b2")
			c.partition([]string{"a1"}, []string{"b1", "b2"})
		}, nil},
		{"a zone is cut off from the store and from the other zones", func(c *cluster) {
			c.setStoreDown(true, "b1", "b2")
			c.partition([]string{"b1", "b2"}, []string{"a1", "a2", "c1", "c2"})
		}, nil},
		{"two zones are cut off from the store and from the applier's zone", func(c *cluster) {
			c.setStoreDown(true, "b1", "b2", "c1", "c2")
			c.partition([]string{"a1", "a2"}, []string{"b1", "b2", "c1", "c2"})
		}, sixHosts[2:]},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			bubble(t, sixHosts, func(c *cluster) {
				c.apply("a1", 0, "k1", "k2")
				time.Sleep(2 * time.Second)
				tt.fault(c)
				time.Sleep(10 * time.Second)
				start := time.Now()
				done := make(chan *config.Report, 1)
				go func() {
					r, _ := c.nodes["a1"].svc.Apply(c.t.Context(), 1, rulesFile("k1"))
					done <- r
				}()
				time.Sleep(5*time.Second - time.Since(start))
				for _, name := range sixHosts {
					c.Expect(c.acceptsKey(name, "k2")).To(Equal(slices.Contains(tt.apart, name)), name)
				}
				c.Expect(c.acceptsKey("a1", "k1")).To(BeTrue())
				report := <-done
				c.Expect(report.Acknowledged && len(tt.apart) > 0).To(BeFalse())
			})
		})
	}
}

// Guards against acknowledging a change that a reachable host or a majority of the hosts has not installed.
func TestApplyReport(t *testing.T) {
	bubble(t, sixHosts, func(c *cluster) {
		start := time.Now()
		r := c.apply("a1", 0, "k1")
		c.Expect(r.Acknowledged).To(BeTrue())
		c.Expect(activeHosts(r)).To(Equal(sixHosts))
		c.Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))

		c.nodes["c2"].kill()
		r = c.apply("a1", 1, "k2")
		c.Expect(r.Acknowledged).To(BeTrue())
		c.Expect(activeHosts(r)).To(Equal(sixHosts[:5]))
		c.Expect(r.Hosts[5].Reachable).To(BeFalse())

		// The other hosts can confirm each other without the change, so it is not acknowledged.
		c.partition(sixHosts[:2], sixHosts[2:])
		c.setStoreDown(true, sixHosts[2:]...)
		r = c.apply("a1", 2, "k3")
		c.Expect(r.Acknowledged).To(BeFalse())
		c.Expect(activeHosts(r)).To(Equal(sixHosts[:2]))

		c.heal()
		r = c.nodes["a1"].svc.PushInstalled(c.t.Context())
		c.Expect(r.Acknowledged).To(BeTrue())
		c.setStoreDown(false, sixHosts...)
		c.Expect(c.nodes["b1"].svc.Generation()).To(Equal(uint64(3)))
		// Applying a file equal to the installed one creates no new generation.
		c.Expect(c.apply("b1", 3, "k3").Head.Generation).To(Equal(uint64(3)))
	})
}

// Guards against refusing keyed requests on hosts whose configuration is confirmed, and serving them on other hosts.
func TestFreshnessWhenCutOff(t *testing.T) {
	tests := []struct {
		name  string
		fault func(c *cluster)
		// serving lists the hosts that serve keyed requests of workspaces without isolated=serve.
		serving []string
	}{
		{"no fault", func(*cluster) {}, sixHosts},
		{"case 1: one zone is cut off from the store", func(c *cluster) { c.setStoreDown(true, "b1", "b2") }, sixHosts},
		{"case 1: a zone without the store reaches one host of another zone", func(c *cluster) {
			c.setStoreDown(true, "b1", "b2")
			c.partition([]string{"b1", "b2"}, []string{"a1", "a2", "c1"})
		}, sixHosts},
		{"case 2: the store is unavailable to all hosts", func(c *cluster) { c.setStoreDown(true, sixHosts...) }, sixHosts},
		{"case 2: a minority is cut off during an outage", func(c *cluster) {
			c.setStoreDown(true, sixHosts...)
			c.partition([]string{"b1", "b2"}, []string{"a1", "a2", "c1", "c2"})
		}, []string{"a1", "a2", "c1", "c2"}},
		{"case 2: half of the hosts are not a majority", func(c *cluster) {
			c.setStoreDown(true, sixHosts...)
			c.partition([]string{"a1", "b1", "c1"}, []string{"a2", "b2", "c2"})
		}, nil},
		{"case 3: a zone is cut off from the store and from the other zones", func(c *cluster) {
			c.setStoreDown(true, "b1", "b2")
			c.partition([]string{"b1", "b2"}, []string{"a1", "a2", "c1", "c2"})
		}, []string{"a1", "a2", "c1", "c2"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			bubble(t, sixHosts, func(c *cluster) {
				c.apply("a1", 0, "k1")
				time.Sleep(2 * time.Second)
				tt.fault(c)
				time.Sleep(config.DefaultTrustPeriod + time.Second)
				serving := map[string]bool{}
				for _, name := range tt.serving {
					serving[name] = true
				}
				// Samples for 58 s, since intermittent confirmations would leave gaps.
				for range 600 {
					time.Sleep(97 * time.Millisecond)
					for _, name := range sixHosts {
						err := c.nodes[name].svc.KeyedRequestsAllowed("w")
						c.Expect(err == nil).To(Equal(serving[name]), "%s: %v", name, err)
						c.Expect(c.nodes[name].svc.KeyedRequestsAllowed("s")).To(Succeed())
					}
				}
				c.heal()
				c.setStoreDown(false, sixHosts...)
				time.Sleep(2 * time.Second)
				for _, name := range sixHosts {
					c.Expect(c.nodes[name].svc.KeyedRequestsAllowed("w")).To(Succeed())
				}
			})
		})
	}
}

// Guards against a generation that decreases after a daemon restarts, and against serving keyed requests on the
// confirmation of restarted hosts, which have lost their configuration.
func TestRestartDuringAnOutage(t *testing.T) {
	bubble(t, []string{"a1", "b1", "c1"}, func(c *cluster) {
		c.apply("a1", 0, "k1")
		time.Sleep(2 * time.Second)
		// c1 misses the second generation.
		c.setStoreDown(true, "c1")
		c.partition([]string{"c1"}, []string{"a1", "b1"})
		r := c.apply("a1", 1, "k1", "k2")
		c.Expect(r.Acknowledged).To(BeTrue())
		c.setStoreDown(true, "a1", "b1")
		b := c.nodes["b1"]
		b.kill()
		b = c.start("b1")
		c.Expect(b.svc.Ready()).To(BeFalse())
		time.Sleep(5 * time.Second)
		c.Expect(b.svc.Generation()).To(Equal(uint64(2)), "taken from a peer")
		c.Expect(b.svc.KeyedRequestsAllowed("w")).NotTo(Succeed())

		// The restarted b1 reaches only c1, which has generation 1. By name the two are a majority, but b1 is a new
		// incarnation, so there is no confirmation.
		b.kill()
		c.heal()
		c.partition([]string{"a1"}, []string{"b1", "c1"})
		b = c.start("b1")
		for range 100 {
			time.Sleep(97 * time.Millisecond)
			c.Expect(c.acceptsKey("b1", "k1")).To(BeFalse())
			c.Expect(c.acceptsKey("c1", "k1")).To(BeFalse())
		}
		c.Expect(b.svc.Generation()).To(Equal(uint64(1)))
		c.heal()
		time.Sleep(2 * time.Second)
		c.Expect(b.svc.Generation()).To(Equal(uint64(2)))
		c.setStoreDown(false, "a1", "b1", "c1")
		time.Sleep(2 * time.Second)
		c.Expect(c.acceptsKey("b1", "k2")).To(BeTrue())
		c.Expect(b.installed()).To(Equal([]uint64{1, 2}))
	})
}

// Guards against a confirmation by a majority of stale hosts, some of which joined after an acknowledged change was
// committed and do not know it.
func TestNewEpochConfirmsOnlyAfterAStoreRead(t *testing.T) {
	bubble(t, []string{"a1", "b1", "c1"}, func(c *cluster) {
		c.apply("a1", 0, "k1")
		time.Sleep(2 * time.Second)
		c.setStoreDown(true, "c1")
		c.partition([]string{"c1"}, []string{"a1", "b1"})
		c.Expect(c.apply("a1", 1).Acknowledged).To(BeTrue())
		time.Sleep(config.DefaultTrustPeriod)
		// d1 and e1 join without reading the store's head and reach only c1.
		for _, name := range []string{"d1", "e1"} {
			c.start(name, func(n *node) {
				n.store.SetDown(true)
				c.partition([]string{name}, []string{"a1", "b1"})
			})
		}
		c.newEpoch("a1", "b1", "c1", "d1", "e1")
		for range 100 {
			time.Sleep(97 * time.Millisecond)
			for _, name := range []string{"c1", "d1", "e1"} {
				c.Expect(c.acceptsKey(name, "k1")).To(BeFalse(), name)
			}
		}
		c.Expect(c.nodes["d1"].svc.Generation()).To(Equal(uint64(1)))
	})
}

// Guards against accepting both of two concurrent changes to the same generation.
func TestConcurrentAppliesConflict(t *testing.T) {
	bubble(t, sixHosts, func(c *cluster) {
		c.apply("a1", 0, "k1")
		results := make(chan error, 2)
		for _, name := range []string{"a1", "b1"} {
			c.nodes[name].store.SetDelay(10 * time.Millisecond)
			go func() {
				_, err := c.nodes[name].svc.Apply(c.t.Context(), 1, rulesFile("k1", name))
				results <- err
			}()
		}
		first, second := <-results, <-results
		if first == nil {
			first, second = second, first
		}
		c.Expect(second).To(Succeed())
		var conflict *config.ConflictError
		c.Expect(errors.As(first, &conflict)).To(BeTrue())
		c.Expect(conflict.Accepted.Generation).To(Equal(uint64(2)))
	})
}

// Guards against reporting an accepted change as refused, or a refused one as accepted, after the store's response
// was lost.
func TestLostStoreResponses(t *testing.T) {
	bubble(t, []string{"a1", "b1"}, func(c *cluster) {
		c.apply("a1", 0, "k1")
		a := c.nodes["a1"]

		a.store.LoseResponses(1)
		c.Expect(c.apply("a1", 1, "k2").Head.Generation).To(Equal(uint64(2)))

		// Another operator's change is committed before the outcome of this one is resolved.
		a.store.LoseResponses(1)
		go func() {
			time.Sleep(50 * time.Millisecond)
			_, err := c.nodes["b1"].svc.Apply(c.t.Context(), 3, rulesFile("k4"))
			c.Expect(err).NotTo(HaveOccurred())
		}()
		c.Expect(c.apply("a1", 2, "k3").Head.Generation).To(Equal(uint64(3)))
		time.Sleep(time.Second)
		c.Expect(a.svc.Generation()).To(Equal(uint64(4)))

		// The store becomes unavailable right after the commit took effect.
		a.store.LoseResponses(1)
		go func() {
			time.Sleep(50 * time.Millisecond)
			a.store.SetDown(true)
		}()
		_, err := a.svc.Apply(c.t.Context(), 4, rulesFile("k5"))
		var unknown *config.UnknownOutcomeError
		c.Expect(errors.As(err, &unknown)).To(BeTrue(), "%v", err)
		c.Expect(unknown.Head.Generation).To(Equal(uint64(5)))

		// If the store never received the commit, the outcome is certain.
		_, err = a.svc.Apply(c.t.Context(), 4, rulesFile("k6"))
		var not *config.NotStoredError
		c.Expect(errors.As(err, &not)).To(BeTrue(), "%v", err)
	})
}

// Guards against missing a head that was written while the watch was interrupted, and against going back to an older
// generation after the store lost its head.
func TestWatchGapAndStoreLoss(t *testing.T) {
	bubble(t, []string{"a1", "b1"}, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.Expect(c.nodes["a1"].svc.KeyedRequestsAllowed("s")).NotTo(Succeed(), "there is no configuration")
		c.partition([]string{"a1"}, []string{"b1"})
		time.Sleep(2100 * time.Millisecond)
		go func() { c.apply("a1", 0, "k1") }()
		time.Sleep(20 * time.Millisecond)
		c.Expect(c.nodes["b1"].svc.Generation()).To(Equal(uint64(1)), "by the watch alone")
		time.Sleep(10 * time.Second)
		c.store.BreakWatches()
		c.apply("a1", 1, "k2")
		time.Sleep(time.Second)
		c.Expect(c.nodes["b1"].svc.Generation()).To(Equal(uint64(2)), "after a gap in the watch")

		kv, _, err := c.admin.Get(c.t.Context(), config.HeadKey)
		c.Expect(err).NotTo(HaveOccurred())
		_, err = c.admin.Txn(c.t.Context(), nil, []kvstore.Write{{Key: config.HeadKey}})
		c.Expect(err).NotTo(HaveOccurred())
		time.Sleep(5 * time.Second)
		c.Expect(c.nodes["b1"].svc.Generation()).To(Equal(uint64(2)))
		_, err = c.nodes["b1"].svc.Apply(c.t.Context(), 0, rulesFile("k3"))
		var behind *config.StoreBehindError
		c.Expect(errors.As(err, &behind)).To(BeTrue())
		_, err = c.admin.Txn(c.t.Context(), nil, []kvstore.Write{{Key: config.HeadKey, Value: kv.Value}})
		c.Expect(err).NotTo(HaveOccurred())
		c.Expect(c.apply("b1", 2, "k3").Head.Generation).To(Equal(uint64(3)))
	})
}
