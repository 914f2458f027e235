package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/boragecourse/boragecourse/internal/rules"
)

const (
	// warmUp lets the buckets, which start empty, fill before the measurement.
	warmUp  = 30 * time.Second
	runTime = 50 * time.Second
	// faultAt and faultEnd are the start and the end of the fault, from the start of the measurement.
	faultAt  = 15 * time.Second
	faultEnd = 40 * time.Second
	// excludeAfter is the time from the failure of a host to the epoch without it while the store is available.
	excludeAfter = 10 * time.Second
	// balancerDelay is how long the load balancer keeps sending requests to a failed host.
	balancerDelay = time.Second
)

// load is one measured run.
type load struct {
	limiter  limiter
	r        *rand.Rand
	mu       sync.Mutex
	ideal    *tokenBucket
	result   *result
	admitted []admission
	down     map[int]bool
	calls    sync.WaitGroup
}

// admission is an admitted request with the number of tokens that it used in the end.
type admission struct {
	at     time.Time
	tokens int64
}

// run measures one seed and returns its counts.
func run(traffic, fault, design string, seed uint64) result {
	row := result{Traffic: traffic, Fault: fault, Design: design}
	f := newFleet(measuredHosts(), oneWorkspace())
	defer f.stop()
	time.Sleep(warmUp)
	l := &load{r: rand.New(rand.NewPCG(seed, 1)), ideal: newTokenBucket(burst, rate), result: &row, down: map[int]bool{}}
	hosts := len(f.nodes)
	switch design {
	case "quota":
		l.limiter = fleetLimiter{f}
	case "static":
		l.limiter = newLocalLimiter(hosts, burst/int64(hosts), rate/int64(hosts))
	case "full":
		l.limiter = newLocalLimiter(hosts, burst, rate)
	}
	l.inject(f, fault)
	l.send(traffic, hosts)
	l.calls.Wait()
	row.Overshoot = l.overshoot()
	return row
}

// inject schedules the fault. The host that fails is the first one, whose zone also has the last host; the
// partitioned zone is z1.
func (l *load) inject(f *fleet, fault string) {
	killFirst := func() {
		f.kill(f.nodes[0])
		time.AfterFunc(balancerDelay, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.down[0] = true
		})
	}
	switch fault {
	case "zone-cut":
		time.AfterFunc(faultAt, func() {
			heal := f.partition(f.nodes[1])
			time.AfterFunc(faultEnd-faultAt, heal)
		})
	case "host-death":
		time.AfterFunc(faultAt, killFirst)
		time.AfterFunc(faultAt+excludeAfter, func() { f.exclude(f.nodes[0]) })
	case "store-outage": // A host fails during the outage, so no epoch can exclude it before the store returns.
		time.AfterFunc(faultAt, killFirst)
		time.AfterFunc(faultEnd, func() { f.exclude(f.nodes[0]) })
	}
}

// send offers 0.8 times the rate to all hosts (balanced), three times the rate to all hosts (overload), or three times
// the rate to one host that stays up and outside the partitioned zone in every fault (skewed).
func (l *load) send(traffic string, hosts int) {
	const meanTokens = 1050
	offered := 0.8 * float64(rate)
	if traffic != "balanced" {
		offered = 3 * float64(rate)
	}
	for start := time.Now(); time.Since(start) < runTime; {
		time.Sleep(time.Duration(l.r.ExpFloat64() * meanTokens / offered * float64(time.Second)))
		to, tokens := 2, 100+l.r.Int64N(1901)
		if traffic != "skewed" {
			to = l.pickHost(hosts)
		}
		used := tokens * (20 + l.r.Int64N(81)) / 100
		length := 200*time.Millisecond + time.Duration(l.r.Int64N(int64(2*time.Second)))
		l.calls.Go(func() { l.request(to, tokens, used, length) })
	}
}

func (l *load) pickHost(hosts int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		if to := l.r.IntN(hosts); !l.down[to] {
			return to
		}
	}
}

// request sends one request to the measured design and to the ideal bucket, which decides independently.
func (l *load) request(to int, tokens, used int64, length time.Duration) {
	l.mu.Lock()
	wanted := l.ideal.covers(tokens)
	if wanted {
		l.ideal.take(tokens)
	}
	l.mu.Unlock()
	r := l.limiter.reserve(to, tokens)
	l.mu.Lock()
	l.result.Requests++
	switch {
	case r != nil:
		l.admitted = append(l.admitted, admission{time.Now(), used})
		if !wanted {
			l.result.Extra++
		}
	case wanted:
		l.result.Wrongful++
		fallthrough
	default:
		l.result.Refused++
	}
	l.mu.Unlock()
	time.Sleep(length)
	if r != nil {
		r.Use(used)
		r.Close()
	}
	if wanted {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.ideal.use(used)
		l.ideal.refund(tokens - used)
	}
}

// overshoot returns the largest amount, in tokens, by which the use in any time window exceeds burst + rate * window.
func (l *load) overshoot() int64 {
	sort.SliceStable(l.admitted, func(i, j int) bool { return l.admitted[i].at.Before(l.admitted[j].at) })
	level, worst := float64(burst), 0.0
	for i, a := range l.admitted {
		if i > 0 {
			level = min(float64(burst), level+a.at.Sub(l.admitted[i-1].at).Seconds()*float64(rate))
		}
		level -= float64(a.tokens)
		worst = min(worst, level)
	}
	return int64(-worst)
}

// measureTraffic measures the control traffic of fleets of several sizes at half of the rate of each workspace.
func measureTraffic(t *testing.T) []traffic {
	var rows []traffic
	for _, size := range [][2]int{{5, 10}, {5, 40}, {5, 160}, {10, 40}, {20, 40}} {
		row := traffic{Hosts: size[0], Workspaces: size[1]}
		synctest.Test(t, func(*testing.T) { row.measure() })
		rows = append(rows, row)
	}
	return rows
}

// measure sends two requests per second and workspace, each to a random host.
func (row *traffic) measure() {
	var workspaces []*rules.Workspace
	for i := range row.Workspaces {
		workspaces = append(workspaces, &rules.Workspace{Name: fmt.Sprintf("ws%d", i), Rate: 4200, Burst: 42000})
	}
	f := newFleet(hostsIn(row.Hosts, 4), workspaces)
	defer f.stop()
	time.Sleep(warmUp)
	r := rand.New(rand.NewPCG(1, 1))
	messages, bytes := f.net.Traffic()
	var calls sync.WaitGroup
	const seconds = 30
	for range seconds * row.Workspaces * 2 {
		time.Sleep(time.Second / time.Duration(2*row.Workspaces))
		n, ws, tokens := f.nodes[r.IntN(row.Hosts)], workspaces[r.IntN(row.Workspaces)].Name, 100+r.Int64N(1901)
		calls.Go(func() {
			if reserved, err := n.service.Reserve(context.Background(), ws, tokens); err == nil {
				time.Sleep(500 * time.Millisecond)
				reserved.Use(tokens / 2)
				reserved.Close()
			}
		})
	}
	calls.Wait()
	m, b := f.net.Traffic()
	row.Messages = float64(m-messages) / seconds / float64(row.Hosts)
	row.Bytes = float64(b-bytes) / seconds / float64(row.Hosts)
}
