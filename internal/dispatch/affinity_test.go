package dispatch_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/dispatch"
)

// Guards against hosts that send a caller's retry to another backend server than the one that still keeps its prompt, and
// against affinity that overrides a busy server or the zone.
func TestJobsWithTheSameAffinityPreferTheSameServer(t *testing.T) {
	g := NewWithT(t)
	var candidates []dispatch.Candidate
	for i := range 40 {
		candidates = append(candidates, dispatch.Candidate{Key: fmt.Sprint("s", i), Zone: []string{"a", "b"}[i%2], Slots: 4})
	}
	pools := make([]*dispatch.Pool, 3)
	for i := range pools {
		pools[i] = dispatch.NewPool("a", time.Now)
		pools[i].SetHosts(60)
		pools[i].SetCandidates(candidates)
	}
	chosen, ownZone := map[string]int{}, 0
	for affinity := uint64(1); affinity <= 400; affinity++ {
		var first string
		for i, p := range pools {
			grant, err := p.Acquire(context.Background(), dispatch.Job{Affinity: affinity, StartBy: time.Now().Add(time.Second)})
			g.Expect(err).NotTo(HaveOccurred())
			if grant.Zone == "a" {
				ownZone++
			}
			if i == 0 {
				first = grant.Key
				chosen[first]++
			}
			g.Expect(grant.Key).To(Equal(first))
			grant.Release()
		}
	}
	g.Expect(ownZone).To(BeNumerically(">", 3*400*95/100))
	g.Expect(len(chosen)).To(BeNumerically(">=", 20))
	for key, n := range chosen {
		g.Expect(n).To(BeNumerically("<", 50), key)
	}

	job := dispatch.Job{Affinity: 1, Repeated: true, StartBy: time.Now().Add(time.Second)}
	grants := map[string]int{}
	for range 4 {
		grant, err := pools[0].Acquire(context.Background(), job)
		g.Expect(err).NotTo(HaveOccurred())
		grants[grant.Key]++
	}
	g.Expect(grants).To(HaveLen(3), "one job waits behind another, the next ones go to other servers")
}
