package serverload_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/serverload"
)

var start = time.Unix(1000, 0)

func modelOf(keys ...string) *serverload.Model {
	m := serverload.New()
	set := map[string]bool{}
	for _, key := range keys {
		set[key] = true
	}
	m.SetServers(set)
	return m
}

// sample returns a sample of work with a known occupancy on 12 slots.
func sample(took time.Duration, occupied int) serverload.Sample {
	return serverload.Sample{Class: "c", Took: took, Occupied: occupied, Slots: 12, Certain: true}
}

// Guards against a model that orders servers of equal speed, or changes the choice when nothing is known.
func TestEqualServersAreOrdinary(t *testing.T) {
	g := NewWithT(t)
	m := modelOf("a", "b")
	g.Expect(m.Expected("unknown", 3, start)).To(Equal(1.0))
	now := start
	for i := range 200 {
		now = now.Add(50 * time.Millisecond)
		m.Observe([]string{"a", "b"}[i%2], sample(20*time.Millisecond, i%12+1), now)
	}
	for _, key := range []string{"a", "b", "unknown"} {
		g.Expect(m.Expected(key, 3, now)).To(Equal(1.0))
		g.Expect(m.Limit(key, 24, now)).To(Equal(24))
		g.Expect(m.Occupied(key, 3, now)).To(Equal(3.0))
		g.Expect(m.Doubtful(key, now)).To(BeFalse())
	}
	g.Expect(m.Observations(now)).To(BeEmpty())
}

// Guards against a stated time that counts long after it was stated, since it changes every few hundred milliseconds.
func TestStatedTimeIsForgottenQuickly(t *testing.T) {
	g := NewWithT(t)
	m := modelOf("a")
	for i := range 20 {
		m.State("a", serverload.Load{Slots: 6, TimePercent: 100}, start.Add(time.Duration(i)*100*time.Millisecond))
	}
	now := start.Add(2 * time.Second)
	m.State("a", serverload.Load{Slots: 6, TimePercent: 250}, now)
	g.Expect(m.Expected("a", 0, now)).To(BeNumerically(">", 2.3))
	g.Expect(m.Expected("a", 0, now.Add(2*time.Second))).To(BeNumerically("<", 1.3))
	g.Expect(m.Steady("a", now)).To(BeNumerically("<", 1.3))
}

// Load: an engine with 12 slots whose work takes longer from the fifth concurrent request on than the further ones gain.
// Guards against using all slots of such a server, and against a limit that is kept when the slowdown is over.
func TestLimitFollowsTheSlowdown(t *testing.T) {
	g := NewWithT(t)
	m := modelOf("a", "b")
	now := start
	// run offers one request at each occupancy that the limit allows.
	run := func(knee, rounds int) {
		for range rounds {
			for n := 1; n <= m.Limit("a", 12, now); n++ {
				took := 20 * time.Millisecond
				if n > knee {
					took = time.Duration(1+float64(n-knee)/2) * took
				}
				now = now.Add(20 * time.Millisecond)
				m.Observe("a", sample(took, n), now)
				m.Observe("b", sample(20*time.Millisecond, n), now)
			}
		}
	}
	run(4, 200)
	g.Expect(m.Limit("a", 12, now)).To(And(BeNumerically(">=", 3), BeNumerically("<=", 7)))
	g.Expect(m.Limit("b", 12, now)).To(Equal(12))
	run(12, 1000)
	g.Expect(m.Limit("a", 12, now)).To(Equal(12))
}

// Guards against a limit that is learned because a server is slow while it is full, although its occupancy is not the cause.
func TestSpeedChangesAreNoLimit(t *testing.T) {
	g := NewWithT(t)
	m := modelOf("a", "b")
	now := start
	for i := range 2000 {
		now = now.Add(20 * time.Millisecond)
		took, occupied := 20*time.Millisecond, i%8+1
		if i/200%2 == 1 {
			took, occupied = 80*time.Millisecond, i%4+9
		}
		m.Observe("a", sample(took, occupied), now)
		m.Observe("b", sample(20*time.Millisecond, occupied), now)
	}
	now = now.Add(6 * time.Second)
	for i := range 100 {
		m.Observe("a", sample(20*time.Millisecond, i%8+1), now.Add(time.Duration(i)*20*time.Millisecond))
	}
	g.Expect(m.Limit("a", 12, now)).To(BeNumerically(">=", 8))
}

// Guards against doubts that last after a success of this host or after their time, and against observations from the future
// that keep a doubt alive.
func TestDoubtsEnd(t *testing.T) {
	g := NewWithT(t)
	m := modelOf("a", "b")
	receive := func(at time.Time, o serverload.Observation, now time.Time) {
		o.Server, o.At = serverload.Hash("a"), at
		m.Receive(7, []serverload.Observation{o}, now)
	}
	receive(start, serverload.Observation{Unreachable: true}, start.Add(time.Second))
	g.Expect(m.Doubtful("a", start.Add(time.Second))).To(BeTrue())
	g.Expect(m.Doubtful("b", start.Add(time.Second))).To(BeFalse())
	g.Expect(m.Doubtful("a", start.Add(2*time.Second))).To(BeFalse())
	m.RecordSuccess("a", false, start.Add(1100*time.Millisecond))
	g.Expect(m.Doubtful("a", start.Add(1100*time.Millisecond))).To(BeFalse())
	receive(start.Add(time.Hour), serverload.Observation{LosesResults: true}, start.Add(2*time.Second))
	g.Expect(m.Doubtful("a", start.Add(3*time.Second))).To(BeTrue())
	g.Expect(m.Doubtful("a", start.Add(4*time.Second))).To(BeFalse())
	m.Receive(7, nil, start.Add(3*time.Second))
	g.Expect(m.Doubtful("a", start.Add(3*time.Second))).To(BeFalse(), "withdrawn")
}

// Guards against reports that grow with the servers or change with each sample, and against doubts that wait behind others.
func TestReportsAreBounded(t *testing.T) {
	g := NewWithT(t)
	var keys []string
	for i := range 40 {
		keys = append(keys, serverName(i))
	}
	m := modelOf(keys...)
	for i, key := range keys {
		took := 20 * time.Millisecond
		if i < 20 {
			took *= 3
		}
		m.Observe(key, sample(20*time.Millisecond, 1), start)
		m.Observe(key, sample(took, 1), start)
	}
	m.RecordUnreachable("s30", start)
	reported := m.Observations(start)
	g.Expect(reported).To(HaveLen(16))
	g.Expect(reported[0].Server).To(Equal(serverload.Hash("s30")))
	m.RecordSuccess("s30", false, start.Add(100*time.Millisecond))
	g.Expect(m.Observations(start.Add(400 * time.Millisecond))[0].Unreachable).To(BeTrue(), "at most every 500 ms")
	g.Expect(m.Observations(start.Add(500 * time.Millisecond))[0].Unreachable).To(BeFalse())
}

// Guards against counting a long prompt at a prefill engine as much as a short one.
func TestPromptsCountByTheirSize(t *testing.T) {
	g := NewWithT(t)
	m := modelOf("a", "b")
	m.Queue("a", 9000)
	m.Queue("b", 1000)
	g.Expect(m.Occupied("a", 1, start)).To(BeNumerically(">", 1.5))
	g.Expect(m.Occupied("b", 2, start)).To(BeNumerically("<", 1.5), "the prompt of another host counts as of mean size")
	m.Dequeue("a", 9000)
	g.Expect(m.Occupied("a", 0, start)).To(BeZero())
}
