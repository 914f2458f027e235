package users_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/test/standin/rawserver"
	"github.com/boragecourse/boragecourse/test/standin/users"
)

// serveSilentEnd streams ten events and is silent for a while before it ends the stream. A resumed run has no events.
func serveSilentEnd(c *rawserver.Conn) {
	r := c.Request()
	if r == nil {
		return
	}
	switch {
	case r.URL.Path == "/api/hold-take":
		c.Send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 12\r\n\r\n{\"hold\":\"1\"}")
	case strings.HasPrefix(r.URL.Path, "/api/"):
		c.Send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	case r.Header.Get("Serving-Stage") != "":
		c.Respond(r, `{"handle":"1","tokens":1,"version":1}`)
	case r.Header.Get("Last-Event-Id") != "":
		c.Send("%s", strings.ReplaceAll(streamHead, "ID", r.Header.Get("Request-Id")))
	default:
		c.Send("%s", strings.ReplaceAll(streamHead, "ID", r.Header.Get("Request-Id"))+eventList(1, 10))
		time.Sleep(1700 * time.Millisecond)
	}
}

// Guards against a complete stream that is broken off because its engine is silent before it ends it.
func TestStreamsWhoseEngineIsSilentBeforeTheEnd(t *testing.T) {
	f := newFleet(t, 1)
	server, err := rawserver.Start(serveSilentEnd)
	f.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(server.Close)
	for i, stage := range []string{"prefill", "decode", "decode"} {
		value, _ := json.Marshal(map[string]any{
			"service": "llm", "address": server.Addr, "zone": "piran-a", "slots": 50, "state": "ready", "stage": stage, "version": "v1", "coldLeftMs": 0, "seq": 0, "born": 1,
		})
		f.store.Put(fmt.Sprintf("servers/llm-%d", i), value)
	}
	f.awaitReady(f.hosts[0])
	f.g.Eventually(func() int { return f.stream(f.hosts[0], "note").status }).WithTimeout(waitTimeout).Should(Equal(http.StatusOK))
	// Ten events have ten tokens each.
	for name, declared := range map[string]string{"all declared tokens": "100,100", "fewer tokens than declared": "100,200"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a := f.stream(f.hosts[0], "ask", header("Token-Counts", declared))
			g.Expect(a.err).NotTo(HaveOccurred())
			g.Expect(a.body).To(Equal(eventList(1, 10)))
		})
	}
}

// Guards against an engine that is taken for broken because it is silent for a second or so: its stream would be processed anew
// at another engine.
func TestSilentEnginesKeepTheirStreams(t *testing.T) {
	for name, delay := range map[string]time.Duration{"before the first event": 0, "between events": 50 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			p := newDeployment(t, 1)
			var once sync.Once
			for _, w := range p.decode {
				w.Before(func(r *http.Request) {
					if strings.HasPrefix(r.URL.Path, "/ask/") {
						once.Do(func() { time.AfterFunc(delay, func() { w.FallSilent(1500 * time.Millisecond) }) })
					}
				})
			}
			from := time.Now()
			a := p.stream(p.hosts[0], "ask")
			p.g.Expect(a.err).NotTo(HaveOccurred())
			p.g.Expect(events(a.body)).To(Equal(sequence(10)))
			p.g.Expect(p.runs(a.id)).To(Equal(1))
			p.g.Expect(time.Since(from)).To(BeNumerically(">", 1500*time.Millisecond), "the engine was not silent")
		})
	}
}

// Guards against a stream that is broken off because its engine is silent, although no attempt is left that could go on with it.
func TestSilentEnginesKeepStreamsWithoutAttemptsLeft(t *testing.T) {
	for name, delay := range map[string]time.Duration{"before the first event": 0, "between events": 50 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			p := newDeployment(t, 1)
			config := routes(1_000_000)
			config["routes"] = append(config["routes"].([]any),
				users.Route("once", hostName, "stream", "llm", 1, map[string]any{"canResume": true, "targetGapMs": 300, "timeoutMs": 9000}))
			p.configure(config)
			time.Sleep(time.Second)
			var once sync.Once
			for _, w := range p.decode {
				w.Before(func(r *http.Request) {
					if strings.HasPrefix(r.URL.Path, "/once/") {
						once.Do(func() { time.AfterFunc(delay, func() { w.FallSilent(2300 * time.Millisecond) }) })
					}
				})
			}
			from := time.Now()
			a := p.stream(p.hosts[0], "once", header("Deadline-Ms", "9000"))
			p.g.Expect(a.err).NotTo(HaveOccurred())
			p.g.Expect(events(a.body)).To(Equal(sequence(10)))
			p.g.Expect(p.runs(a.id)).To(Equal(1))
			p.g.Expect(time.Since(from)).To(BeNumerically(">", 2300*time.Millisecond), "the engine was not silent")
		})
	}
}
