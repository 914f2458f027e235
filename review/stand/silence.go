package main

import (
	"bufio"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	silenceTime = 90 * time.Second
	silenceRate = 24.0
	graceTime   = 8 * time.Second
	// rollGap is the time between the start of a host and the stop of the next one, rotationTime how long the platform takes to
	// notice that a host is not ready.
	rollGap      = 1200 * time.Millisecond
	rotationTime = 2 * time.Second
	// gapPatience is the gap after which clients abandon a stream: four times the objective of the route.
	gapPatience = 3600 * time.Millisecond
)

// ended is how a stream has ended.
type ended struct {
	id       string
	host     int
	sent, at time.Time
	what     string
	events   int
}

func init() { scenarios["silence"] = playSilence }

// playSilence sends streams of which some are preempted for a while, because the engines' memory does not suffice for all. The
// trouble is that the hosts are stopped and started in turn.
func playSilence(r *rig, trouble bool) (bool, error) {
	if err := r.configure(
		route("ask", "/note/", "stream", "writers", map[string]any{"timeoutMs": 14000, "targetLatencyMs": 900, "targetGapMs": 300, "canResume": true, "attempts": 1}),
	); err != nil {
		return false, err
	}
	f := newEngines()
	f.grows = true
	for i := range 10 {
		stage := "decode"
		if i < 4 {
			stage = "prefill"
		}
		if _, err := f.start(r, stage); err != nil {
			return false, err
		}
	}
	hosts, err := r.startHosts(2)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), silenceTime)
	defer cancel()
	c := &rollingClient{r: r, hosts: hosts, away: make([]bool, len(hosts)), stops: make([][]time.Time, len(hosts))}
	var sending sync.WaitGroup
	sending.Go(func() { c.send(ctx) })
	for i := 0; trouble && pause(ctx, rollGap); i++ {
		if err := c.roll(i % len(hosts)); err != nil {
			return false, err
		}
	}
	sending.Wait()
	return c.judge(), nil
}

// rollingClient sends streams to the hosts that the platform has in rotation.
type rollingClient struct {
	r     *rig
	hosts []*host

	mu  sync.Mutex
	all []ended
	// away is set for the hosts that get no new connections, stops are the times of the SIGTERMs of each host.
	away  []bool
	stops [][]time.Time
}

// send sends streams until ctx ends, and returns when all have ended.
func (c *rollingClient) send(ctx context.Context) {
	var open sync.WaitGroup
	for pause(ctx, time.Duration(rand.ExpFloat64()/silenceRate*float64(time.Second))) {
		open.Go(func() {
			e := c.r.impatient(c.hosts, c.choose())
			c.mu.Lock()
			defer c.mu.Unlock()
			c.all = append(c.all, e)
		})
	}
	open.Wait()
}

func (c *rollingClient) choose() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		if n := rand.IntN(len(c.hosts)); !c.away[n] {
			return n
		}
	}
}

func (c *rollingClient) setAway(n int, away bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.away[n] = away
}

// roll stops a host and starts it again. It is out of rotation once two questions for its readiness have got no 200.
func (c *rollingClient) roll(n int) error {
	p := c.r.processes[n]
	c.r.note("host %d gets SIGTERM", n)
	c.mu.Lock()
	c.stops[n] = append(c.stops[n], time.Now())
	c.mu.Unlock()
	_ = p.Process.Signal(syscall.SIGTERM)
	out := time.AfterFunc(rotationTime, func() { c.setAway(n, true) })
	kill := time.AfterFunc(graceTime, func() { _ = p.Process.Kill() })
	_ = p.Wait()
	out.Stop()
	kill.Stop()
	c.setAway(n, true)
	c.r.note("host %d has ended", n)
	if err := c.r.restart(n, c.hosts[n]); err != nil {
		return err
	}
	c.setAway(n, false)
	return nil
}

// judge counts the streams that a host has broken off while it was stopped. Those that were still at work in the last sixth of the
// grace period, on a request of the first 3 s, are excused.
func (c *rollingClient) judge() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	lost, kinds := 0, map[string]int{}
	for _, e := range c.all {
		kinds[e.what]++
		if e.what != "cut" {
			continue
		}
		for _, at := range c.stops[e.host] {
			after, sent := e.at.Sub(at), e.sent.Sub(at)
			if excused := after > graceTime*5/6 && sent <= 3*time.Second; after > 0 && after < graceTime+time.Second && !excused {
				lost++
				c.r.note("lost: %s, sent %.3f s and ended %.3f s after the SIGTERM of its host, after %d events", e.id, sent.Seconds(), after.Seconds(), e.events)
			}
		}
	}
	c.r.note("streams by their end: %v; %d lost around a SIGTERM", kinds, lost)
	return lost > 0
}

// impatient sends a stream and leaves it after a gap of gapPatience.
func (r *rig) impatient(hosts []*host, n int) ended {
	events := int(math.Min(math.Max(70*math.Exp(0.5*rand.NormFloat64()), 5), 130))
	hint := math.Max(float64(events*tokensPerEvent)*math.Exp(1.2*rand.NormFloat64()), 70)
	prompt := int(math.Min(math.Max(8000*math.Exp(0.5*rand.NormFloat64()), 500), 11000))
	e := ended{id: r.newID(), host: n, sent: time.Now()}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	q, err := r.streamRequest(ctx, hosts[n], "/note/1", e.id, prompt, 130*tokensPerEvent)
	if err != nil {
		return e
	}
	q.Header.Set("Length-Hint", fmt.Sprint(int(hint)))
	q.Header.Set("Events", fmt.Sprint(events))
	r.note("client sends %s to host %d: %d prompt tokens, %d events, hint %d", e.id, n, prompt, events, int(hint))
	patience := time.AfterFunc(gapPatience, cancel)
	defer patience.Stop()
	e.what, e.events = follow(q, patience, events)
	if ctx.Err() != nil {
		e.what = "left by the client"
	}
	e.at = time.Now()
	r.note("client gets  %s: %s, %d of %d events", e.id, e.what, e.events, events)
	return e
}

func follow(q *http.Request, patience *time.Timer, events int) (what string, got int) {
	resp, err := newClient().Do(q)
	if err != nil {
		return "no answer", 0
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Sprintf("status %d", resp.StatusCode), 0
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			got++
			patience.Reset(gapPatience)
		}
	}
	if lines.Err() != nil || got < events {
		return "cut", got
	}
	return "whole", got
}
