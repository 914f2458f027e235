package users_test

import (
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/test/standin/rawserver"
	"github.com/boragecourse/boragecourse/test/standin/users"
)

const refusal = "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// register writes the entry of an engine at an address.
func (f *fleet) register(id, stage, address string) {
	value, _ := json.Marshal(map[string]any{
		"service": "llm", "address": address, "zone": "piran-a", "slots": 4, "state": "ready", "stage": stage, "version": "v1", "coldLeftMs": 0, "seq": 0, "born": 1,
	})
	f.store.Put("servers/"+id, value)
}

// repeatingEngine refuses the prefill of each request, and later writes that refusal once more on the same connection before
// it runs the request.
type repeatingEngine struct {
	mu   sync.Mutex
	runs map[string]int
}

func (e *repeatingEngine) serve(c *rawserver.Conn) {
	refused := map[string]bool{}
	for r := c.Request(); r != nil; r = c.Request() {
		id := r.Header.Get("Request-Id")
		switch {
		case r.URL.Path == "/api/hold-take":
			c.Send("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"hold\":\"1\"}")
		case strings.HasPrefix(r.URL.Path, "/api/"):
			c.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		case r.Header.Get("Serving-Stage") != "":
			refused[id] = true
			c.Send(refusal, id)
		default:
			if refused[id] {
				c.Send(refusal, id)
			}
			e.mu.Lock()
			e.runs[id]++
			e.mu.Unlock()
			after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			c.Send("%s\r\n%s", strings.ReplaceAll(eventStream, "ID", id), eventList(after+1, 10))
			return
		}
	}
}

// Guards against a refusal that an engine has sent before, when it served another stage, and that is taken for its response to
// the same request: the engine runs the request while the host believes that it did not.
func TestRefusalRepeatedForTheSameRequest(t *testing.T) {
	f := newFleet(t, 1)
	engine := &repeatingEngine{runs: map[string]int{}}
	repeating, err := rawserver.Start(engine.serve)
	f.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(repeating.Close)
	first := f.worker(users.WorkerOptions{ID: "decode-1", Service: "llm", Stage: "decode", Events: 10, EventPause: 200 * time.Millisecond})
	first.TruncateStreams(4)
	f.awaitReady(f.hosts[0])
	f.register("engine-1", "prefill", repeating.Addr)
	time.Sleep(time.Second)
	go func() {
		time.Sleep(600 * time.Millisecond)
		f.register("engine-1", "decode", repeating.Addr)
	}()
	a := f.stream(f.hosts[0], "ask")
	f.g.Expect(engine.runs).To(Equal(map[string]int{a.id: 1}))
	f.g.Expect(a.err).NotTo(HaveOccurred())
	f.g.Expect(events(a.body)).To(Equal(sequence(10)))
}
