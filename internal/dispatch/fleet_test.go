package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/dispatch"
)

const (
	fleetHosts   = 119
	fleetServers = 10
	fleetSlots   = 6
	fleetWork    = 60 * time.Millisecond
	// reportAge is the time between two reports in a fleet of this size.
	reportAge = 90 * time.Millisecond
	// plainObjective is the latency objective of plain requests on the users' largest site.
	plainObjective = 300 * time.Millisecond
)

// callersWait simulates a fleet whose hosts send plain requests to the same backend servers, each with fleetSlots slots
// and a queue, and know of the other hosts only from reports. It returns the sorted times that callers waited.
func callersWait(hosts int, perSecond float64) []time.Duration {
	keys := make([]string, fleetServers)
	slots := map[string]chan struct{}{}
	for i := range keys {
		keys[i] = fmt.Sprintf("s%02d", i)
		slots[keys[i]] = make(chan struct{}, fleetSlots)
	}
	pools := make([]*dispatch.Pool, fleetHosts)
	for i := range pools {
		// Each host may have two requests for each slot at a server, as in the front.
		pools[i] = newPool(2*fleetSlots, keys...)
		pools[i].SetHosts(hosts)
	}
	const length = 5 * time.Second
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for ctx.Err() == nil {
			time.Sleep(reportAge)
			uses := make([]map[string]int, fleetHosts)
			total := map[string]int{}
			for i, p := range pools {
				uses[i] = p.LocalUse()
				for key, n := range uses[i] {
					total[key] += n
				}
			}
			for i, p := range pools {
				others := map[string]int{}
				for key, n := range total {
					others[key] = n - uses[i][key]
				}
				p.SetRemoteUse(others)
			}
		}
	}()
	rng := rand.New(rand.NewPCG(5, 5))
	var mu sync.Mutex
	var waits []time.Duration
	var group sync.WaitGroup
	for range int(length.Seconds() * perSecond) {
		time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		p := pools[rng.IntN(fleetHosts)]
		group.Go(func() {
			arrived := time.Now()
			grant, err := p.Acquire(context.Background(), dispatch.Job{StartBy: arrived.Add(1500 * time.Millisecond)})
			if err == nil {
				slots[grant.Key] <- struct{}{}
				time.Sleep(fleetWork)
				<-slots[grant.Key]
				grant.Release()
			}
			mu.Lock()
			defer mu.Unlock()
			waits = append(waits, time.Since(arrived))
		})
	}
	group.Wait()
	cancel()
	time.Sleep(2 * reportAge)
	slices.Sort(waits)
	return waits
}

// Load: 119 hosts send 750 plain requests a second, three quarters of what ten backend servers with six slots can do, by
// reports that are up to 90 ms old. Guards against hosts that all choose the backend server that was least occupied in
// the last report, so that callers wait behind a queue there while other slots are free.
func TestHostsOfLargeFleetSpreadTheirRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		waits := callersWait(fleetHosts, 750)
		g.Expect(waits[len(waits)*99/100]).To(BeNumerically("<", plainObjective), "99 in 100 requests are on time")
		together := callersWait(1, 750)
		g.Expect(waits[len(waits)/2]).To(BeNumerically("<", together[len(together)/2]), "median against choosing the least occupied")
		t.Logf("median %v, 99th %v; least occupied: %v, %v", waits[len(waits)/2], waits[len(waits)*99/100],
			together[len(together)/2], together[len(together)*99/100])
	})
}
