package users_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/test/standin/users"
)

const (
	changePause   = 200 * time.Millisecond
	changeCallers = 12
)

// Guards against a request that was received completely and gets no answer beside configuration changes, and beside backend
// servers that join and leave.
func TestChangesLoseNoRequest(t *testing.T) {
	eachSeed(t, (*drainSeeds+1)/2, func(t *testing.T, seed uint64) { changeUnderLoad(t, seed, false) })
}

// Guards against the same while the hosts are stopped and started again.
func TestChangesBesideStopsLoseNoRequest(t *testing.T) {
	eachSeed(t, (*drainSeeds+1)/2, func(t *testing.T, seed uint64) { changeUnderLoad(t, seed, true) })
}

func changeUnderLoad(t *testing.T, seed uint64, stops bool) {
	p := newDeployment(t, 2)
	rng := rand.New(rand.NewPCG(seed, 1))
	p.configure(changed(rng, 0))
	workers := append(p.workers(), p.worker(users.WorkerOptions{ID: "other-1", Service: "other", Work: 30 * time.Millisecond}))
	for _, w := range workers {
		w.SetEventPause(80 * time.Millisecond)
	}
	time.Sleep(configApply)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var background sync.WaitGroup
	var mu sync.Mutex
	add := func(w *users.Worker) {
		mu.Lock()
		defer mu.Unlock()
		workers = append(workers, w)
	}
	background.Go(func() {
		for ctx.Err() == nil {
			p.configure(changed(rng, 1+rng.IntN(2)))
			time.Sleep(changePause)
		}
	})
	for i, service := range []string{"app", "llm", "app", "llm"} {
		rng := rand.New(rand.NewPCG(seed, 100+uint64(i)))
		background.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				p.joinAndLeave(add, users.WorkerOptions{ID: fmt.Sprintf("%s-%d-%d", service, i, n), Service: service}, rng)
			}
		})
	}
	begun := time.Now()
	signaled := []time.Time{begun.Add(-earlyTime), begun.Add(-earlyTime)}
	calls := make([][]drainCall, len(p.hosts))
	for i := range changeCallers * len(p.hosts) {
		at := i % len(p.hosts)
		c := &drainCaller{f: p.fleet, h: p.hosts[at], kinds: allKinds, rng: rand.New(rand.NewPCG(seed, 1000+uint64(i)))}
		background.Go(func() {
			defer c.close()
			for ctx.Err() == nil {
				d := c.call()
				mu.Lock()
				calls[at] = append(calls[at], d)
				mu.Unlock()
				if c.rng.IntN(3) == 0 {
					c.close()
				}
				time.Sleep(time.Duration(c.rng.IntN(60)) * time.Millisecond)
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	for i, h := range p.hosts {
		if stops {
			signaled[i] = time.Now()
			h.process.Signal(syscall.SIGTERM)
			p.g.Eventually(h.process.Running).WithTimeout(drainGrace).Should(BeFalse())
			p.start(h)
			p.awaitReady(h)
		}
		time.Sleep(1500 * time.Millisecond)
	}
	cancel()
	background.Wait()
	for i := range p.hosts {
		checkDrain(t, workers, calls[i], signaled[i])
		checkPromises(t, workers, calls[i])
	}
}

// joinAndLeave starts a backend server, lets it leave, with or without a notice, and stops it once it is not needed any more.
func (p *deployment) joinAndLeave(add func(*users.Worker), o users.WorkerOptions, rng *rand.Rand) {
	o.Slots, o.Zone, o.Work = 4, "piran-a", time.Duration(rng.IntN(100))*time.Millisecond
	if o.Service == "llm" {
		o.Stage, o.Events, o.EventPause = []string{"prefill", "decode"}[rng.IntN(2)], 10, 80*time.Millisecond
	}
	w, err := users.StartWorker(o, "")
	if err != nil {
		p.t.Error(err)
		return
	}
	add(w)
	w.Register(p.store, "ready")
	time.Sleep(time.Duration(500+rng.IntN(1500)) * time.Millisecond)
	if rng.IntN(2) == 0 {
		w.Register(p.store, "draining")
	} else {
		p.store.Remove("servers/" + w.ID)
	}
	time.Sleep(drainNotice + time.Second)
	p.store.Remove("servers/" + w.ID)
	for busy := 1; busy > 0; time.Sleep(10 * time.Millisecond) {
		busy, _, _ = w.Busy()
	}
	w.Close()
}

// changed returns a configuration that n random changes have made from one with the service other.
func changed(rng *rand.Rand, n int) map[string]any {
	c := longStreams()
	c["services"] = append(c["services"].([]any), map[string]any{"name": "other", "healthPath": "/healthz", "maxConns": 100})
	left := ""
	for range n {
		all := c["routes"].([]any)
		i := rng.IntN(len(all))
		r := all[i].(map[string]any)
		plain := r["kind"] != "stream"
		switch rng.IntN(7) {
		case 0:
			c["routes"] = slices.Delete(all, i, i+1)
		case 1:
			c["routes"] = append(all, users.Route("added", hostName, "safe", "app", 2, nil))
		case 2:
			if plain {
				r["service"] = "other"
			}
		case 3:
			r["timeoutMs"] = map[bool]int{true: 2000, false: 30_000}[plain]
		case 4:
			if r["name"] == "view" || r["name"] == "open" {
				r["kind"], r["attempts"] = "unsafe", 1
			}
		case 5:
			left = []string{"app", "llm", "other"}[rng.IntN(3)]
		case 6:
			c["tenants"] = []any{users.Tenant(workspace, [][]string{{key, "second"}, {"second"}}[rng.IntN(2)], []int{200, 1_000_000}[rng.IntN(2)])}
		}
	}
	c["routes"] = slices.DeleteFunc(c["routes"].([]any), func(r any) bool { return r.(map[string]any)["service"] == left })
	c["services"] = slices.DeleteFunc(c["services"].([]any), func(s any) bool { return s.(map[string]any)["name"] == left })
	return c
}

// checkPromises fails the test for each request that was refused as malformed, and for each one of an unsafe route that ran twice, or
// ran although it was refused as not run.
func checkPromises(t *testing.T, workers []*users.Worker, calls []drainCall) {
	for _, d := range calls {
		ran := 0
		for _, w := range workers {
			ran += w.Runs()[d.id]
		}
		refused := d.status == http.StatusServiceUnavailable || d.status == http.StatusTooManyRequests
		if d.status == http.StatusBadRequest || strings.HasSuffix(d.kind, "/reserve") && (ran > 1 || refused && ran > 0) {
			t.Errorf("%s %s ran %d times and was answered with status %d", d.kind, d.id, ran, d.status)
		}
	}
}
