package outlier_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/outlier"
)

// simulate sends requests for 20 s to the backend servers that are not paused. It returns the number of sends to each
// and the number of failures.
func simulate(failures map[string]float64) (sends map[string]int, failed int) {
	d := outlier.New()
	rng := rand.New(rand.NewPCG(5, 5))
	sends = map[string]int{}
	now := time.Unix(0, 0)
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		var usable []string
		for _, key := range []string{"a", "b", "c", "d"} {
			if !d.Paused(key, now) {
				usable = append(usable, key)
			}
		}
		if len(usable) == 0 {
			continue
		}
		key := usable[rng.IntN(len(usable))]
		sends[key]++
		result := outlier.Succeeded
		if rng.Float64() < failures[key] {
			result = outlier.Failed
			failed++
		}
		d.Observe(key, result, now)
	}
	return sends, failed
}

// Guards against a backend server that keeps its full share of the requests while it fails more than four out of ten.
func TestFailingServerGetsLittleWork(t *testing.T) {
	g := NewWithT(t)
	sends, failed := simulate(map[string]float64{"a": 0.45, "b": 0.02, "c": 0.02, "d": 0.02})
	t.Logf("sends %v, failed %d", sends, failed)
	g.Expect(sends["a"]).To(BeNumerically("<", sends["b"]/2))
	g.Expect(sends["a"]).To(BeNumerically(">", 0), "it is tried again")
}

// Guards against pausing backend servers for a failure rate that all of them have.
func TestCommonFailureRatePausesNoServer(t *testing.T) {
	g := NewWithT(t)
	sends, _ := simulate(map[string]float64{"a": 0.15, "b": 0.15, "c": 0.15, "d": 0.15})
	for _, key := range []string{"a", "b", "c", "d"} {
		g.Expect(sends[key]).To(BeNumerically(">", 300))
	}
}

// Guards against sending to an unreachable backend server, and against excluding it permanently.
func TestUnreachableServerIsPausedForLongerEachTime(t *testing.T) {
	g := NewWithT(t)
	d := outlier.New()
	now := time.Unix(0, 0)
	var pauses []time.Duration
	for range 6 {
		g.Expect(d.Observe("a", outlier.Unreachable, now)).To(BeTrue())
		pause := time.Duration(0)
		for d.Paused("a", now.Add(pause)) {
			pause += 50 * time.Millisecond
		}
		pauses = append(pauses, pause)
		now = now.Add(pause)
	}
	g.Expect(pauses[1]).To(BeNumerically(">", pauses[0]))
	g.Expect(pauses[5]).To(BeNumerically("<=", 3*time.Second))
	d.Observe("a", outlier.Succeeded, now)
	g.Expect(d.Paused("a", now)).To(BeFalse())
}

// Guards against continued sends to a backend server that rejects all of them for seconds, and against a pause after a
// single rejection.
func TestRejectionsInARowPause(t *testing.T) {
	g := NewWithT(t)
	d := outlier.New()
	now := time.Unix(100, 0)
	g.Expect(d.Observe("a", outlier.Rejected, now)).To(BeFalse())
	g.Expect(d.Observe("a", outlier.Succeeded, now)).To(BeFalse())
	sends := 0
	for at := time.Duration(0); at < 6*time.Second; at += 10 * time.Millisecond {
		if !d.Paused("a", now.Add(at)) {
			d.Observe("a", outlier.Rejected, now.Add(at))
			sends++
		}
	}
	g.Expect(sends).To(BeNumerically("<=", 6))
	g.Expect(d.Paused("a", now.Add(10*time.Second))).To(BeFalse())
}
