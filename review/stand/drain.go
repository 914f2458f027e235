package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// streamRate is the number of streams a second; streamOutput is their output in tokens, in events of tokensPerEvent.
	streamRate   = 18
	streamOutput = 2800
	// greyTime is how long a prefill engine is faulty, greyShare how many of its requests it then leaves unanswered.
	greyTime  = 6500 * time.Millisecond
	greyShare = 0.4
	// releaseSize is the number of engines that one release replaces.
	releaseSize = 3
	// releaseGap is the time between two releases.
	releaseGap = time.Second
	// exitAfter is how much longer than drainTime a leaving engine serves.
	exitAfter = 600 * time.Millisecond
)

// late is a request that reached an engine later than drainTime after its leaving was confirmed.
type late struct {
	id, engine string
	after      time.Duration
}

func init() { scenarios["drain"] = playDrain }

// playDrain sends streams with long prompts while the decode engines are replaced one after the other. The trouble is that
// one of the prefill engines leaves a part of its requests unanswered.
func playDrain(r *rig, trouble bool) (bool, error) {
	if err := r.configure(
		route("note", "/note/", "stream", "writers", map[string]any{"timeoutMs": 14000, "targetLatencyMs": 900, "targetGapMs": 300, "canResume": false}),
	); err != nil {
		return false, err
	}
	f := newEngines()
	watch := &lateWatch{r: r}
	f.onDecode = watch.observe
	var prefills, decodes []*engine
	for i := range 7 {
		stage, list := "decode", &decodes
		if i < 2 {
			stage, list = "prefill", &prefills
		}
		e, err := f.start(r, stage)
		if err != nil {
			return false, err
		}
		*list = append(*list, e)
	}
	hosts, err := r.startHosts(4)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	c := &streamClient{r: r, hosts: hosts, results: map[string]string{}}
	go c.send(ctx)
	if !pause(ctx, 3*time.Second) {
		return false, ctx.Err()
	}
	if trouble {
		go failInTurn(ctx, r, prefills)
	}
	if err := replaceInTurn(ctx, r, f, decodes); err != nil {
		return false, err
	}
	cancel()
	time.Sleep(time.Second)
	return watch.judge(c)
}

// lateWatch collects the requests that reach an engine too late.
type lateWatch struct {
	r  *rig
	mu sync.Mutex
	// lates are in the order of arrival.
	lates []late
}

func (v *lateWatch) observe(e *engine, id string) {
	e.mu.Lock()
	left := e.leftAt
	e.mu.Unlock()
	if after := time.Since(left); !left.IsZero() && after > drainTime {
		v.mu.Lock()
		v.lates = append(v.lates, late{id, e.id, after})
		v.mu.Unlock()
		v.r.note("request %s reaches engine %s %.3f s after its leaving was confirmed", id, e.id, after.Seconds())
	}
}

func (v *lateWatch) judge(c *streamClient) (bool, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	lost := 0
	for _, l := range v.lates {
		result := c.result(l.id)
		v.r.note("late: request %s at engine %s, %.3f s after the confirmation: %s", l.id, l.engine, l.after.Seconds(), result)
		if strings.HasPrefix(result, "cut") || result == "status 502" {
			lost++
		}
	}
	sent, whole := c.totals()
	v.r.note("%d streams ended, %d served whole, %d reached a leaving engine later than drainMs, %d of these were lost with its exit",
		sent, whole, len(v.lates), lost)
	if whole < sent/4 {
		return false, fmt.Errorf("only %d of %d streams were served", whole, sent)
	}
	return len(v.lates) > 0, nil
}

// replaceInTurn replaces decode engines as a release does, one a second and three of seven in a row, again and again until ctx ends.
func replaceInTurn(ctx context.Context, r *rig, f *engines, decodes []*engine) error {
	for pause(ctx, releaseGap) {
		for range releaseSize {
			if !pause(ctx, time.Second) {
				return nil
			}
			fresh, err := f.start(r, "decode")
			if err != nil {
				return err
			}
			i := max(slices.IndexFunc(decodes, (*engine).decodes), 0)
			decodes[i].leave(exitAfter)
			decodes = append(slices.Delete(decodes, i, i+1), fresh)
		}
	}
	return nil
}

// failInTurn makes one prefill engine at a time leave a part of its requests unanswered.
func failInTurn(ctx context.Context, r *rig, prefills []*engine) {
	for round := 0; pause(ctx, 200*time.Millisecond); round++ {
		grey := prefills[round%len(prefills)]
		r.note("engine %s leaves some of its requests unanswered", grey.id)
		grey.setSilent(func() bool { return rand.Float64() < greyShare })
		pause(ctx, greyTime)
		grey.setSilent(nil)
	}
}

// decodes reports whether an engine serves the decode stage now.
func (e *engine) decodes() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stage == "decode" && !e.changing
}

func (e *engine) setSilent(silent func() bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = silent
}

// streamClient sends streams and notes how they end.
type streamClient struct {
	r     *rig
	hosts []*host

	mu      sync.Mutex
	results map[string]string
	sent    int
	whole   int
}

func (c *streamClient) send(ctx context.Context) {
	client := newClient()
	for pause(ctx, time.Second/streamRate) {
		go c.one(client, c.r.newID(), 9500+rand.IntN(1500))
	}
}

func (c *streamClient) one(client *http.Client, id string, prompt int) {
	ctx, cancel := context.WithTimeout(context.Background(), 14*time.Second)
	defer cancel()
	q, err := c.r.streamRequest(ctx, c.hosts[rand.IntN(len(c.hosts))], "/note/1", id, prompt, streamOutput)
	if err != nil {
		return
	}
	c.r.note("client sends %s, %d prompt tokens", id, prompt)
	result := receive(client, q, streamOutput/tokensPerEvent)
	c.r.note("client gets  %s: %s", id, result)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	if result == "whole" {
		c.whole++
	}
	c.results[id] = result
}

// receive sends a request and returns how its stream ended.
func receive(client *http.Client, q *http.Request, events int) string {
	resp, err := client.Do(q)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Sprintf("status %d", resp.StatusCode)
	}
	got := 0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			got++
		}
	}
	if lines.Err() != nil || got < events {
		return fmt.Sprintf("cut after %d of %d events", got, events)
	}
	return "whole"
}

func (c *streamClient) result(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if result, ended := c.results[id]; ended {
		return result
	}
	return "not ended"
}

func (c *streamClient) totals() (sent, whole int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent, c.whole
}
