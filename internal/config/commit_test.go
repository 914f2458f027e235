package config_test

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/config"
)

// Guards against unused chunks accumulating in the store, and against removing chunks that are in use.
func TestOldChunksAreRemoved(t *testing.T) {
	bubble(t, []string{"a1", "b1"}, func(c *cluster) {
		for i := range 30 {
			c.apply([]string{"a1", "b1"}[i%2], uint64(i), "k", string(rune('a'+i%26))+"x")
		}
		kvs, err := c.admin.List(c.t.Context(), config.BlobPrefix)
		c.Expect(err).NotTo(HaveOccurred())
		// The current generation, four earlier ones, and the one that the next commit removes, with one index and
		// one chunk each.
		c.Expect(len(kvs)).To(BeNumerically("<=", 12))
		n := c.start("c1")
		time.Sleep(2 * time.Second)
		c.Expect(n.svc.Generation()).To(Equal(uint64(30)))
		generation, text := n.svc.RulesFile()
		c.Expect(generation).To(Equal(uint64(30)))
		c.Expect(text).To(Equal(rulesFile("k", "dx")))
	})
}

// Guards against an acknowledgement that counts the hosts of an old epoch. It occurs if the applier has not observed
// the epoch that was committed just before its change.
func TestCommitUnderANewerEpoch(t *testing.T) {
	bubble(t, []string{"a1", "b1", "c1"}, func(c *cluster) {
		c.apply("a1", 0, "k1")
		a := c.nodes["a1"]
		stale := a.Epoch()
		a.overrideEpoch(&stale)
		a.store.SetDelay(10 * time.Millisecond)
		go func() {
			// This is after the applier has read the epoch and before its commit.
			time.Sleep(25 * time.Millisecond)
			c.newEpoch("a1", "b1", "c1")
		}()
		r := c.apply("a1", 1, "k2")
		c.Expect(r.Acknowledged).To(BeFalse())
		a.overrideEpoch(nil)
		c.Expect(a.svc.PushInstalled(c.t.Context()).Acknowledged).To(BeTrue())
		// Another daemon cannot determine the current epoch while the store is unavailable.
		c.Expect(c.nodes["b1"].svc.PushInstalled(c.t.Context()).Acknowledged).To(BeTrue())
		c.setStoreDown(true, "b1")
		c.Expect(c.nodes["b1"].svc.PushInstalled(c.t.Context()).Acknowledged).To(BeFalse())
	})
}

// Guards against acknowledging a change while a host that membership considers reachable does not reply to the push.
func TestReachableHostMustInstall(t *testing.T) {
	bubble(t, []string{"a1", "b1", "c1"}, func(c *cluster) {
		c.net.Node(c.nodes["c1"].id.Addr).SetDown(true)
		r := c.apply("a1", 0, "k1")
		c.Expect(r.Acknowledged).To(BeFalse())
		c.Expect(r.Hosts[2].Reachable).To(BeTrue())
		c.Expect(activeHosts(r)).To(Equal([]string{"a1", "b1"}))

		// Membership considers c1 unreachable, but its reply to the push arrives, after a delay.
		c.start("c1")
		c.newEpoch("a1", "b1", "c1")
		time.Sleep(2 * time.Second)
		c.partition([]string{"a1"}, []string{"c1"})
		c.net.HealAll()
		c.net.SetDelay(func(_, to string) time.Duration {
			if to == c.nodes["c1"].id.Addr {
				return 100 * time.Millisecond
			}
			return time.Millisecond
		})
		r = c.apply("a1", 1, "k2")
		c.Expect(r.Acknowledged).To(BeTrue())
		c.Expect(activeHosts(r)).To(Equal([]string{"a1", "b1", "c1"}))
	})
}

// Guards against losing the snapshot, or no longer following the head, when the supervisor restarts the service.
func TestServeRestartKeepsSnapshot(t *testing.T) {
	bubble(t, []string{"a1", "b1"}, func(c *cluster) {
		c.apply("a1", 0, "k1")
		b := c.nodes["b1"]
		b.stop()
		<-b.done
		c.Expect(b.svc.Generation()).To(Equal(uint64(1)))
		b.run()
		c.apply("a1", 1, "k2")
		c.Expect(b.installed()).To(Equal([]uint64{1, 2}))
	})
}

// Guards against delaying the query that a hint of a newer generation causes until the next poll.
func TestHintQueriesPeerAtOnce(t *testing.T) {
	bubble(t, []string{"a1", "b1", "c1"}, func(c *cluster) {
		c.apply("a1", 0, "k1")
		time.Sleep(2100 * time.Millisecond)
		c.setStoreDown(true, "b1")
		c.partition([]string{"a1"}, []string{"b1"})
		go func() { _, _ = c.nodes["a1"].svc.Apply(c.t.Context(), 1, rulesFile("k2")) }()
		time.Sleep(20 * time.Millisecond)
		b := c.nodes["b1"].svc
		b.HintGeneration(c.nodes["c1"].id, 1)
		time.Sleep(20 * time.Millisecond)
		c.Expect(b.Generation()).To(Equal(uint64(1)))
		b.HintGeneration(c.nodes["c1"].id, 2)
		time.Sleep(20 * time.Millisecond)
		c.Expect(b.Generation()).To(Equal(uint64(2)))
	})
}

// Guards against a number of store calls that grows with the number of hosts, in the steady state and for one change.
// It also bounds the service's traffic per host to 1 KB/s in the steady state, of the 5 KB/s that a daemon may use for
// all control traffic.
func TestStoreCallsAndTraffic(t *testing.T) {
	var hosts []string
	for _, zone := range []string{"a", "b", "c"} {
		for i := range 10 {
			hosts = append(hosts, zone+strconv.Itoa(i))
		}
	}
	bubble(t, hosts, func(c *cluster) {
		c.apply("a1", 0, "k1")
		time.Sleep(5 * time.Second)
		reads, writes := c.store.Calls()
		_, bytes := c.net.Traffic()
		time.Sleep(time.Minute)
		moreReads, moreWrites := c.store.Calls()
		_, moreBytes := c.net.Traffic()
		t.Logf("steady state: %d reads and %d writes in 60 s, %d bytes for each host and second",
			moreReads-reads, moreWrites-writes, (moreBytes-bytes)/60/int64(len(hosts)))
		c.Expect(moreReads - reads).To(BeNumerically("<=", 3*2*60+3))
		c.Expect(moreWrites).To(Equal(writes))
		c.Expect((moreBytes - bytes) / 60 / int64(len(hosts))).To(BeNumerically("<", 1000))

		reads = moreReads
		c.apply("a1", 1, "k2")
		time.Sleep(time.Second)
		for _, name := range hosts {
			c.Expect(c.nodes[name].svc.Generation()).To(Equal(uint64(2)))
		}
		moreReads, _ = c.store.Calls()
		t.Logf("one change: %d reads", moreReads-reads)
		// Reads: head and epoch, index and chunk for each zone, and up to two seconds of steady-state polls.
		c.Expect(moreReads - reads).To(BeNumerically("<=", 2+3*2+3*2*2))
	})
}
