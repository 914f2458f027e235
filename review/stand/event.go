package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// dataBytes is the length of the data of an event. With its name and the line's end, its line has 4,097 bytes.
	dataBytes  = 4090
	eventRate  = 8
	eventTime  = 40 * time.Second
	crashEvery = 6 * time.Second
	crashAway  = 4 * time.Second
)

func longData(event int, id string) string {
	head := fmt.Sprintf("part %d of %s ", event, id)
	return head + strings.Repeat("x", dataBytes-len(head))
}

func init() { scenarios["event"] = playEvent }

// playEvent sends streams that may be resumed. The trouble is that a decode engine crashes now and then and stops in the middle
// of an event: after a line of it, before the empty line that ends it.
func playEvent(r *rig, trouble bool) (bool, error) {
	if err := r.configure(
		route("ask", "/note/", "stream", "writers", map[string]any{"timeoutMs": 14000, "targetLatencyMs": 900, "targetGapMs": 300, "canResume": true, "attempts": 2}),
	); err != nil {
		return false, err
	}
	f := newEngines()
	f.data = longData
	for i := range 7 {
		stage := "decode"
		if i < 2 {
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
	ctx, cancel := context.WithTimeout(context.Background(), eventTime)
	defer cancel()
	if trouble {
		go crashInTurn(ctx, f)
	}
	var sending sync.WaitGroup
	var mu sync.Mutex
	ends := map[string]int{}
	for i := 0; pause(ctx, time.Second/eventRate); i++ {
		id := r.newID()
		sending.Go(func() {
			q, err := r.streamRequest(context.Background(), hosts[i%len(hosts)], "/note/1", id, 2000+rand.IntN(4000), streamOutput)
			if err != nil {
				return
			}
			r.note("client sends %s", id)
			end, what := checkEvents(newClient(), q, id, streamOutput/tokensPerEvent)
			r.note("client gets  %s: %s %s", id, end, what)
			mu.Lock()
			defer mu.Unlock()
			ends[end]++
		})
	}
	sending.Wait()
	r.note("streams by their end: %v", ends)
	if ends["whole"] == 0 {
		return false, fmt.Errorf("no stream was whole")
	}
	return ends["wrong"] > 0, nil
}

func crashInTurn(ctx context.Context, f *engines) {
	for pause(ctx, crashEvery) {
		var busiest *engine
		f.mu.Lock()
		for _, e := range f.byAddress {
			e.mu.Lock()
			if e.stage == "decode" && !e.crashing && !e.changing && (busiest == nil || e.running > busiest.running) {
				busiest = e
			}
			e.mu.Unlock()
		}
		f.mu.Unlock()
		if busiest != nil {
			busiest.crash(crashAway)
		}
	}
}

// checkEvents receives a stream as a client of server-sent events does, and compares the events with those that the engines
// make. The end is "whole", "wrong", "cut" or "none".
func checkEvents(client *http.Client, q *http.Request, id string, events int) (end, what string) {
	resp, err := client.Do(q)
	if err != nil {
		return "none", ""
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return "none", fmt.Sprint(resp.StatusCode)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 1<<20)
	number, data, next := "", []string(nil), 1
	for lines.Scan() {
		field, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case lines.Text() != "" && field == "id":
			number = value
		case lines.Text() != "" && field == "data":
			data = append(data, value)
		case lines.Text() == "" && len(data) > 0:
			if number != fmt.Sprint(next) || strings.Join(data, "\n") != longData(next, id) {
				return "wrong", fmt.Sprintf("event %d expected, got id %s with %d lines of data", next, number, len(data))
			}
			next, data = next+1, nil
		}
	}
	if lines.Err() != nil || next <= events {
		return "cut", fmt.Sprintf("after %d events", next-1)
	}
	return "whole", ""
}
