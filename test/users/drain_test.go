package users_test

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/test/standin/users"
)

var (
	drainSeeds = flag.Int("drain.seeds", 2, "number of seeds of TestDrainsLoseNoRequest; other tests of drains run half as many")
	drainFirst = flag.Uint64("drain.first", 0, "first seed of the tests of drains")
)

const (
	// drainGrace, lossSlack and lateInGrace equal the settings graceS and lossSlackMs, and the part of graceS after which work on early
	// requests excuses the host. Early requests are sent within earlyTime of the signal.
	drainGrace  = 8 * time.Second
	lossSlack   = 200 * time.Millisecond
	lateInGrace = drainGrace * 5 / 6
	earlyTime   = 3 * time.Second
	// drainCallers is the number of callers, each with one request at a time.
	drainCallers  = 30
	plainDeadline = 2500 * time.Millisecond
	// oneWrite is a value of drainCaller.bytewise.
	oneWrite       = -1
	streamDeadline = 12 * time.Second
)

// drainCall is one request of a caller with its own clock. whole is set when all of it was sent, at sent. ended is when the answer or
// the connection ended, answered whether with a complete answer.
type drainCall struct {
	id, kind    string
	whole       bool
	deadline    time.Duration
	sent, ended time.Time
	answered    bool
	status      int
	err         error
}

// drainCaller sends requests to a host, over one connection as long as the host keeps it.
type drainCaller struct {
	f    *fleet
	h    *host
	rng  *rand.Rand
	conn net.Conn
	in   *bufio.Reader
	// kinds are the requests to choose from. With bytewise a request arrives in pieces of one byte, over that time, and with oneWrite
	// in one piece.
	kinds    []string
	bytewise time.Duration
}

var (
	plainKinds = []string{"POST /reserve", "GET /view"}
	allKinds   = []string{"POST /reserve", "GET /view", "POST /reserve", "POST /ask", "POST /note"}
)

// call sends one request of a random kind, with a body of random size that arrives in pieces, and reads the answer.
func (c *drainCaller) call() drainCall {
	kind := c.kinds[c.rng.IntN(len(c.kinds))]
	method, path, _ := strings.Cut(kind, " ")
	d := drainCall{id: fmt.Sprintf("%s-%d", c.f.t.Name(), c.f.next.Add(1)), kind: kind, deadline: plainDeadline}
	if path == "/ask" || path == "/note" {
		d.deadline = streamDeadline
	}
	var body strings.Builder
	framing := "Content-Length: 0\r\n"
	if method == http.MethodPost && c.bytewise == 0 {
		text := strings.Repeat("x", c.rng.IntN(20<<10))
		framing = fmt.Sprintf("Content-Length: %d\r\n", len(text))
		body.WriteString(text)
		if c.rng.IntN(2) == 0 {
			framing = "Transfer-Encoding: chunked\r\n"
			body.Reset()
			for len(text) > 0 {
				n := min(1+c.rng.IntN(8<<10), len(text))
				fmt.Fprintf(&body, "%x\r\n%s\r\n", n, text[:n])
				text = text[n:]
			}
			body.WriteString("0\r\n\r\n")
		}
	}
	head := fmt.Sprintf("%s %s/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: %d\r\n"+
		"Token-Counts: 100,100\r\nModel: m\r\nLength-Hint: 50\r\n%s\r\n", method, path, hostName, d.id, key, d.deadline.Milliseconds(), framing)
	if d.err = c.connect(); d.err != nil {
		d.ended = time.Now()
		return d
	}
	_ = c.conn.SetDeadline(time.Now().Add(streamDeadline + drainGrace))
	if d.err = c.write(head + body.String()); d.err == nil {
		d.whole, d.sent = true, time.Now()
		c.read(&d, method)
	}
	d.ended = time.Now()
	if d.err != nil {
		c.close()
	}
	return d
}

func (c *drainCaller) connect() (err error) {
	if c.conn == nil {
		if c.conn, err = net.DialTimeout("tcp", c.h.front, time.Second); err != nil {
			c.conn = nil
			return err
		}
		c.in = bufio.NewReader(c.conn)
	}
	return nil
}

// write sends a text in up to four pieces, with short pauses between them, or byte by byte.
func (c *drainCaller) write(text string) error {
	if c.bytewise == oneWrite {
		_, err := io.WriteString(c.conn, text)
		return err
	}
	for start, i := time.Now(), 0; c.bytewise > 0 && i < len(text); i++ {
		if _, err := c.conn.Write([]byte{text[i]}); err != nil || i == len(text)-1 {
			return err
		}
		time.Sleep(time.Until(start.Add(c.bytewise * time.Duration(i) / time.Duration(len(text)))))
	}
	for pieces := 1 + c.rng.IntN(4); pieces > 0 && text != ""; pieces-- {
		n := len(text)
		if pieces > 1 {
			n = 1 + c.rng.IntN(len(text))
		}
		if _, err := c.conn.Write([]byte(text[:n])); err != nil {
			return err
		}
		if text = text[n:]; text != "" {
			time.Sleep(time.Duration(c.rng.IntN(60)) * time.Millisecond)
		}
	}
	return nil
}

func (c *drainCaller) read(d *drainCall, method string) {
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		d.err = err
		return
	}
	defer resp.Body.Close()
	d.status = resp.StatusCode
	if _, d.err = io.Copy(io.Discard, resp.Body); d.err != nil {
		return
	}
	d.answered = true
	if resp.Close || resp.StatusCode != http.StatusOK {
		c.close()
	}
}

func (c *drainCaller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Guards against a request that was received completely and gets no answer around a SIGTERM of its host: sent at any moment of the
// drain, in any pieces, on kept and new connections, while servers fall silent for a while, as sound ones may, and other signals follow.
func TestDrainsLoseNoRequest(t *testing.T) {
	eachSeed(t, *drainSeeds, drainUnderLoad)
}

func eachSeed(t *testing.T, n int, run func(t *testing.T, seed uint64)) {
	for i := range uint64(n) {
		t.Run(fmt.Sprint("seed ", *drainFirst+i), func(t *testing.T) { run(t, *drainFirst+i) })
	}
}

func drainUnderLoad(t *testing.T, seed uint64) {
	p := newDeployment(t, 1)
	rng := rand.New(rand.NewPCG(seed, 0))
	p.configure(longStreams())
	time.Sleep(configApply)
	workers := p.workers()
	for _, id := range []string{"decode-3", "decode-4"} {
		workers = append(workers, p.worker(users.WorkerOptions{ID: id, Service: "llm", Stage: "decode", Slots: 8, Events: 10}))
	}
	for _, w := range workers {
		w.SetEventPause(200 * time.Millisecond)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, w := range workers {
		go fallSilent(ctx, w, rand.New(rand.NewPCG(seed, rng.Uint64())))
	}
	var mu sync.Mutex
	var calls []drainCall
	var group sync.WaitGroup
	for range drainCallers {
		c := &drainCaller{f: p.fleet, h: p.hosts[0], kinds: allKinds, rng: rand.New(rand.NewPCG(seed, rng.Uint64()))}
		group.Go(func() {
			defer c.close()
			for {
				d := c.call()
				mu.Lock()
				calls = append(calls, d)
				mu.Unlock()
				if errors.Is(d.err, syscall.ECONNREFUSED) {
					return
				}
				time.Sleep(time.Duration(c.rng.IntN(60)) * time.Millisecond)
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	signaled := time.Now()
	p.hosts[0].process.Signal(syscall.SIGTERM)
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		p.hosts[0].process.Signal(s)
	}
	group.Wait()
	p.g.Eventually(p.hosts[0].process.Running).WithTimeout(drainGrace).Should(BeFalse())
	checkDrain(t, workers, calls, signaled)
}

// longStreams returns a configuration with rates and time-outs that callers do not reach.
func longStreams() map[string]any {
	config := routes(1_000_000)
	for _, r := range config["routes"].([]any) {
		if r := r.(map[string]any); r["kind"] == "stream" {
			r["timeoutMs"] = 2 * streamDeadline.Milliseconds()
		}
	}
	return config
}

// fallSilent lets a server fall silent again and again for about a second.
func fallSilent(ctx context.Context, w *users.Worker, rng *rand.Rand) {
	for ctx.Err() == nil {
		w.FallSilent(time.Duration(800+rng.IntN(700)) * time.Millisecond)
		time.Sleep(time.Duration(1500+rng.IntN(3500)) * time.Millisecond)
	}
}

// checkDrain fails the test for each request that was lost, and logs the numbers by half second of the drain.
func checkDrain(t *testing.T, workers []*users.Worker, calls []drainCall, signaled time.Time) {
	ran := map[string]int{}
	for _, w := range workers {
		for id, n := range w.Runs() {
			ran[id] += n
		}
	}
	steps := map[int]map[string]int{}
	for _, d := range calls {
		result := "not whole"
		switch {
		case d.answered:
			result = fmt.Sprint(d.status)
		case d.whole:
			result = "no answer"
		}
		at := int(d.ended.Sub(signaled) / (500 * time.Millisecond))
		if d.whole {
			at = int(d.sent.Sub(signaled) / (500 * time.Millisecond))
		}
		if steps[at] == nil {
			steps[at] = map[string]int{}
		}
		steps[at][result]++
		sentAt, endedAt := d.sent.Sub(signaled), d.ended.Sub(signaled)
		lost := d.whole && !d.answered && (ran[d.id] > 0 || d.ended.Sub(d.sent) > lossSlack)
		if d.whole && !d.answered {
			t.Logf("%s %s sent %v after the signal ended %v after it without a complete answer (ran %d times, status %d): %v",
				d.kind, d.id, sentAt, endedAt, ran[d.id], d.status, d.err)
		}
		excused := ran[d.id] > 0 && sentAt <= earlyTime && endedAt >= lateInGrace || endedAt-sentAt >= d.deadline-lossSlack
		if lost && !excused {
			t.Errorf("%s %s is lost", d.kind, d.id)
		}
	}
	for at := -4; at < 20; at++ {
		if steps[at] != nil {
			t.Logf("%5.1f s: %v", float64(at)/2, steps[at])
		}
	}
}
