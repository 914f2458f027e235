package soak_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// kind is a type of request in the load.
type kind struct {
	name, method, path, key string
	stream                  bool
	// repeatable requests may run more than once.
	repeatable bool
}

var kinds = []kind{
	{name: "view", method: http.MethodGet, path: "/view/1", key: "key-guests", repeatable: true},
	{name: "spare", method: http.MethodGet, path: "/view/2", key: "key-spare", repeatable: true},
	{name: "limited", method: http.MethodGet, path: "/view/3", key: "key-limited", repeatable: true},
	{name: "reserve", method: http.MethodPost, path: "/reserve/1", key: "key-guests"},
	{name: "ask", method: http.MethodPost, path: "/ask/1", key: "key-guests", stream: true, repeatable: true},
	{name: "note", method: http.MethodPost, path: "/note/1", key: "key-guests", stream: true},
}

// outcome is what a caller received for one request.
type outcome struct {
	id     string
	kind   kind
	host   int
	sent   time.Time
	status int
	header http.Header
	body   string
	// broken is set when the response ended before it was complete.
	broken bool
	// starts counts the processes of the host up to the one that was running when the request was sent. headAt is when the head of
	// the response arrived.
	starts int
	headAt time.Time
	// ended is when the response, or the attempt to get it, ended.
	ended time.Time
	// sends is how often the HTTP client has sent the request: it repeats a GET whose kept connection was reset.
	sends int
	// canceled is set when the caller meant to leave before the response.
	canceled bool
	err      error
}

// callers generate the load: requests to all hosts, over persistent connections and over a connection per request.
type callers struct {
	f       *fleet
	seed    uint64
	clients []*http.Client
	mu      sync.Mutex
	done    []outcome
	group   sync.WaitGroup
	next    int
}

func newCallers(f *fleet, seed uint64) *callers {
	return &callers{f: f, seed: seed, clients: []*http.Client{
		{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 20}},
		{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}},
	}}
}

// run sends requests for the given time and waits until all have ended.
func (c *callers) run(length time.Duration) {
	rng := rand.New(rand.NewPCG(c.seed, 2))
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		k := kinds[rng.IntN(len(kinds))]
		if k.name == "limited" || rng.IntN(3) == 0 {
			c.spawn(kinds[2], rng.IntN(hostCount), rng.IntN(2), 0)
		}
		cancelAfter := time.Duration(0)
		if rng.IntN(15) == 0 {
			cancelAfter = time.Duration(rng.IntN(300)) * time.Millisecond
		}
		c.spawn(k, rng.IntN(hostCount), rng.IntN(2), cancelAfter)
		time.Sleep(time.Duration(rng.IntN(24)) * time.Millisecond)
	}
	c.group.Wait()
}

func (c *callers) spawn(k kind, host, client int, cancelAfter time.Duration) {
	c.next++
	id := fmt.Sprintf("%x-%d", c.seed, c.next)
	c.group.Go(func() {
		o := c.call(id, k, host, client, cancelAfter)
		c.mu.Lock()
		c.done = append(c.done, o)
		c.mu.Unlock()
	})
}

// callerTimeout is the deadline that callers send with their requests.
const callerTimeout = 3 * time.Second

func (c *callers) call(id string, k kind, host, client int, cancelAfter time.Duration) (o outcome) {
	wait := callerTimeout + time.Second
	if cancelAfter > 0 {
		wait = cancelAfter
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	o = outcome{id: id, kind: k, host: host, canceled: cancelAfter > 0, starts: c.f.hosts[host].startCount(), sent: time.Now()}
	req, err := http.NewRequestWithContext(ctx, k.method, "http://"+c.f.hosts[host].front.addr+k.path, nil)
	if err != nil {
		o.err = err
		return o
	}
	// The client writes the attempts of a request one after the other.
	var sends atomic.Int32
	defer func() { o.sends, o.ended = int(sends.Load()), time.Now() }()
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { sends.Add(1) }}))
	req.Host = hostName
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", strconv.Itoa(int(callerTimeout.Milliseconds())))
	req.Header.Set("Authorization", "Bearer "+k.key)
	if k.stream {
		req.Header.Set("Token-Counts", "100,120")
		req.Header.Set("Model", "m")
	}
	resp, err := c.clients[client].Do(req)
	if err != nil {
		o.err = err
		return o
	}
	defer resp.Body.Close()
	o.headAt = time.Now()
	body, err := io.ReadAll(resp.Body)
	o.status, o.header, o.body, o.broken = resp.StatusCode, resp.Header, string(body), err != nil
	return o
}

// check returns an error if a successful response does not belong to its request or is malformed.
func (o *outcome) check() error {
	switch {
	case o.err != nil || o.status != http.StatusOK:
		return nil
	case o.header.Get("Request-Id") != o.id:
		return fmt.Errorf("response carries request id %q", o.header.Get("Request-Id"))
	case !strings.HasSuffix(o.header.Get("Response-Stamp"), "."+o.id):
		return errors.New("status 200 without the Response-Stamp of this request")
	case o.kind.stream:
		return o.checkStream()
	case !o.broken && !strings.HasPrefix(o.body, "answer to "+o.kind.method+" "+o.kind.path+" by "):
		return fmt.Errorf("unexpected response body %q", o.body)
	}
	return nil
}

func (o *outcome) checkStream() error {
	last := 0
	lines := bufio.NewScanner(strings.NewReader(o.body))
	for lines.Scan() {
		text, isID := strings.CutPrefix(lines.Text(), "id: ")
		if !isID {
			continue
		}
		id, err := strconv.Atoi(text)
		if err != nil || id != last+1 {
			return fmt.Errorf("event id %q follows event %d", text, last)
		}
		last = id
	}
	if !o.broken && last != eventCount {
		return fmt.Errorf("stream ended as complete after %d of %d events", last, eventCount)
	}
	return nil
}

// reportsNotRun reports whether the response guarantees that the request has not run.
func (o *outcome) reportsNotRun() bool {
	switch o.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return o.err == nil
	}
	return false
}
