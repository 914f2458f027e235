package users_test

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// connectPause is the time between new connections, freezeAt the time from SIGTERM to a freeze across the end of the listener.
	connectPause = 5 * time.Millisecond
	freezeAt     = 2550 * time.Millisecond
	freezeTime   = 200 * time.Millisecond
	// maxResets are the connections that may arrive between the last look at the queue and the end of the listener.
	maxResets = 1
)

// Guards against connections that are reset when the listener of a stopping host closes, although they bear a whole request.
func TestStopsResetNoQueuedConnection(t *testing.T) {
	for name, freeze := range map[string]time.Duration{"running": 0, "frozen": freezeTime} {
		t.Run(name, func(t *testing.T) {
			eachSeed(t, (*drainSeeds+1)/2, func(t *testing.T, seed uint64) { stopUnderConnections(t, seed, freeze) })
		})
	}
}

func stopUnderConnections(t *testing.T, seed uint64, freeze time.Duration) {
	p := newDeployment(t, 1)
	p.configure(longStreams())
	time.Sleep(configApply)
	h := p.hosts[0]
	var group sync.WaitGroup
	var mu sync.Mutex
	var calls []drainCall
	signaled := time.Now().Add(time.Second)
	group.Go(func() {
		time.Sleep(time.Until(signaled))
		h.process.Signal(syscall.SIGTERM)
		time.Sleep(time.Until(signaled.Add(freezeAt)))
		if freeze > 0 {
			h.process.Signal(syscall.SIGSTOP)
			time.Sleep(freeze)
			h.process.Signal(syscall.SIGCONT)
		}
	})
	for i := 0; h.process.Running(); i++ {
		c := &drainCaller{f: p.fleet, h: h, rng: rand.New(rand.NewPCG(seed, uint64(i))), kinds: plainKinds, bytewise: oneWrite}
		group.Go(func() {
			defer c.close()
			d := c.call()
			mu.Lock()
			defer mu.Unlock()
			calls = append(calls, d)
		})
		time.Sleep(connectPause)
	}
	group.Wait()
	whole, resets := 0, 0
	for _, d := range calls {
		if d.whole {
			whole++
		}
		if d.whole && !d.answered {
			resets++
		}
	}
	t.Logf("whole requests: %d, without an answer: %d", whole, resets)
	if freeze == 0 {
		checkDrain(t, p.workers(), calls, signaled)
	}
	checkPromises(t, p.workers(), calls)
	p.g.Expect(resets).To(BeNumerically("<=", maxResets))
}
