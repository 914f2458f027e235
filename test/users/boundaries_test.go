package users_test

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/test/standin/users"
)

const (
	// boundarySpan is the time before and after a boundary in which boundaryCallers requests are sent.
	boundarySpan    = 100 * time.Millisecond
	boundaryCallers = 60
)

// Guards against a request that was received completely and gets no answer because it arrives, in any pieces, as a drain begins its next step.
func TestBoundariesOfADrainLoseNoRequest(t *testing.T) {
	eachSeed(t, (*drainSeeds+1)/2, boundariesUnderLoad)
}

func boundariesUnderLoad(t *testing.T, seed uint64) {
	p := newDeployment(t, 2)
	rng := rand.New(rand.NewPCG(seed, 2))
	p.configure(longStreams())
	time.Sleep(configApply)
	workers := p.workers()
	for _, id := range []string{"decode-3", "decode-4", "decode-5"} {
		workers = append(workers, p.worker(users.WorkerOptions{ID: id, Service: "llm", Stage: "decode", Slots: 16, Events: 10}))
	}
	for _, w := range workers {
		w.SetEventPause(740 * time.Millisecond)
		w.Before(func(r *http.Request) { time.Sleep(time.Duration(len(r.URL.Path)) * 5 * time.Millisecond) })
	}
	var group sync.WaitGroup
	calls := make([][]drainCall, len(p.hosts))
	var mu sync.Mutex
	begin := time.Now().Add(time.Second)
	// The first host has a stream open up to 7.4 s. The listener of the other one closes once no stream has been open for a moment.
	for at, boundaries := range [][]time.Duration{
		{2500 * time.Millisecond, 6600 * time.Millisecond, 7100 * time.Millisecond, 7300 * time.Millisecond, 7600 * time.Millisecond},
		{2500 * time.Millisecond, 2600 * time.Millisecond, 3100 * time.Millisecond},
	} {
		h := p.hosts[at]
		send := func(c *drainCaller, early bool, when time.Duration) {
			group.Go(func() {
				defer c.close()
				var ds []drainCall
				time.Sleep(time.Until(begin.Add(-500 * time.Millisecond)))
				if early && c.rng.IntN(2) == 0 {
					later := *c
					c.kinds, c.bytewise = plainKinds, 0
					ds = append(ds, c.call())
					c.kinds, c.bytewise = later.kinds, later.bytewise
				} else if early {
					time.Sleep(time.Until(begin.Add(max(when-2500*time.Millisecond, 0))))
					_ = c.connect()
				}
				time.Sleep(time.Until(begin.Add(when)))
				ds = append(ds, c.call())
				mu.Lock()
				defer mu.Unlock()
				calls[at] = append(calls[at], ds...)
			})
		}
		kinds := plainKinds
		if at == 0 {
			kinds = allKinds
			send(&drainCaller{f: p.fleet, h: h, rng: rand.New(rand.NewPCG(seed, 3)), kinds: []string{"POST /note"}}, false, -50*time.Millisecond)
		}
		for _, boundary := range boundaries {
			for i := range boundaryCallers {
				c := &drainCaller{f: p.fleet, h: h, rng: rand.New(rand.NewPCG(seed, rng.Uint64())), kinds: kinds}
				when := boundary + time.Duration(rng.Int64N(int64(2*boundarySpan))) - boundarySpan
				if i%3 == 0 {
					c.bytewise = 10*time.Millisecond + time.Duration(rng.Int64N(int64(2*boundarySpan)))
					when -= c.bytewise
				}
				send(c, i%2 == 0, when)
			}
		}
		group.Go(func() {
			for _, boundary := range slices.Insert(boundaries, 0, 0) {
				time.Sleep(time.Until(begin.Add(boundary)))
				h.process.Signal(syscall.SIGTERM)
				h.process.Signal(syscall.SIGHUP)
			}
		})
	}
	group.Wait()
	for at, h := range p.hosts {
		p.g.Eventually(h.process.Running).WithTimeout(time.Second).Should(BeFalse())
		checkDrain(t, workers, calls[at], begin)
		checkPromises(t, workers, calls[at])
	}
}
