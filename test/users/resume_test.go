package users_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/test/standin/rawserver"
	"github.com/boragecourse/boragecourse/test/standin/users"
)

const eventStream = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Stamp: s\r\nContent-Type: text/event-stream\r\n"

// resumedResponses holds what an engine sends when a stream is resumed after its fourth event, and how many events of it
// belong to the stream. ID stands for the id of the request.
var resumedResponses = map[string]struct {
	text  string
	valid int
}{
	"error":                   {"HTTP/1.1 500 Internal Server Error\r\nRequest-Id: ID\r\nContent-Length: 15\r\n\r\nout of memory\n\n", 0},
	"error-with-event":        {"HTTP/1.1 500 Internal Server Error\r\nRequest-Id: ID\r\nContent-Type: text/event-stream\r\n\r\n" + eventList(5, 10), 0},
	"unavailable":             {"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: ID\r\nContent-Length: 6\r\n\r\nbusy\n\n", 0},
	"not-run":                 {"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: ID\r\nNot-Executed: 1\r\nContent-Length: 6\r\n\r\nbusy\n\n", 0},
	"no-content":              {"HTTP/1.1 204 No Content\r\nRequest-Id: ID\r\nResponse-Stamp: s\r\n\r\n", 0},
	"partial":                 {strings.Replace(eventStream, "200 OK", "206 Partial Content", 1) + "\r\n" + eventList(5, 10), 0},
	"redirect":                {"HTTP/1.1 302 Found\r\nRequest-Id: ID\r\nLocation: /\r\nContent-Length: 7\r\n\r\nthere\n\n", 0},
	"json":                    {"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Stamp: s\r\nContent-Type: application/json\r\n\r\n{\"error\":\"out of memory\"}\n\n", 0},
	"text-without-type":       {"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Stamp: s\r\nContent-Length: 15\r\n\r\nout of memory\n\n", 0},
	"error-event":             {eventStream + "\r\nevent: error\ndata: out of memory\n\n", 0},
	"head-in-stream":          {eventStream + "\r\nHTTP/1.1 500 Internal Server Error\r\n\r\n", 0},
	"from-first-event":        {eventStream + "\r\n" + eventList(1, 10), 0},
	"from-last-event":         {eventStream + "\r\n" + eventList(4, 10), 0},
	"duplicate-event":         {eventStream + "\r\n" + eventList(5, 6) + eventList(6, 10), 2},
	"lower-event":             {eventStream + "\r\n" + eventList(5, 7) + eventList(2, 10), 3},
	"rest-of-event":           {eventStream + "\r\nnt 5\n\n" + eventList(6, 10), 0},
	"empty":                   {eventStream + "Content-Length: 0\r\n\r\n", 0},
	"empty-chunks":            {eventStream + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 0},
	"empty-until-closed":      {eventStream + "\r\n", 0},
	"comments-only":           {eventStream + "Content-Length: 12\r\n\r\n: waiting\n\n\n", 0},
	"ends-inside-event":       {eventStream + "\r\n" + eventList(5, 6) + "id: 7\ndata: ev", 2},
	"shorter-than-its-length": {eventStream + "Content-Length: 1000\r\n\r\n" + eventList(5, 6), 2},
}

func eventList(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", i, i)
	}
	return b.String()
}

// faultyEngine serves both stages. It breaks a stream off inside its fifth event, responds to the first attempt to resume
// it with one of resumedResponses, and resumes it correctly at the next one.
type faultyEngine struct {
	mu      sync.Mutex
	resumed map[string]bool
}

func (e *faultyEngine) serve(c *rawserver.Conn) {
	r := c.Request()
	if r == nil {
		return
	}
	id, after := r.Header.Get("Request-Id"), r.Header.Get("Last-Event-Id")
	e.mu.Lock()
	resumedBefore := e.resumed[id]
	e.resumed[id] = e.resumed[id] || after != "" && r.Header.Get("Serving-Stage") == ""
	e.mu.Unlock()
	// Paths are /two-NAME/1 and /three-NAME/1.
	_, name, _ := strings.Cut(strings.TrimSuffix(r.URL.Path, "/1"), "-")
	send := func(text string) { c.Send("%s", strings.ReplaceAll(text, "ID", id)) }
	switch {
	case r.URL.Path == "/api/hold-take":
		c.Send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 12\r\n\r\n{\"hold\":\"1\"}")
	case strings.HasPrefix(r.URL.Path, "/api/"):
		c.Send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	case r.Header.Get("Serving-Stage") != "":
		c.Respond(r, `{"handle":"1","tokens":1,"version":1}`)
	case strings.HasSuffix(r.URL.Path, "/first-error/1"):
		send("HTTP/1.1 500 Internal Server Error\r\nRequest-Id: ID\r\nContent-Type: text/plain\r\nContent-Length: 15\r\n\r\nout of memory\n\n")
	case after == "":
		send(eventStream + "\r\n" + eventList(1, 4) + "id: 5\ndata: eve")
	case !resumedBefore:
		send(resumedResponses[name].text)
	default:
		last, _ := strconv.Atoi(after)
		send(eventStream + "\r\n" + eventList(last+1, 10))
	}
}

// newFaultyEngines returns a fleet of one host whose engines are all faulty. Each of the named services has a retry budget
// of its own and two routes, whose streams are attempted twice and three times.
func newFaultyEngines(t *testing.T, services ...string) *fleet {
	f := newFleet(t, 1)
	engine := &faultyEngine{resumed: map[string]bool{}}
	server, err := rawserver.Start(engine.serve)
	f.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(server.Close)
	config := routes(100000)
	for _, service := range services {
		config["services"] = append(config["services"].([]any), map[string]any{"name": service, "maxConns": 100})
		for name, attempts := range map[string]int{"two-": 2, "three-": 3} {
			config["routes"] = append(config["routes"].([]any),
				users.Route(name+service, hostName, "stream", service, attempts, map[string]any{"canResume": true, "targetGapMs": 300}))
		}
	}
	f.configure(config)
	for _, service := range append(services, "llm") {
		for i := range 5 {
			for _, stage := range []string{"prefill", "decode"} {
				value, _ := json.Marshal(map[string]any{
					"service": service, "address": server.Addr, "zone": "piran-a", "slots": 50, "state": "ready", "stage": stage, "version": "v1", "coldLeftMs": 0, "seq": 0, "born": 1,
				})
				f.store.Put(fmt.Sprintf("servers/%s-%s-%d", service, stage, i), value)
			}
		}
	}
	f.awaitReady(f.hosts[0])
	f.g.Eventually(func() int { return f.stream(f.hosts[0], "note").status }).WithTimeout(waitTimeout).Should(Equal(http.StatusOK))
	return f
}

// Guards against bytes of a failed attempt to resume a stream in the caller's response, events that the caller gets twice,
// and a stream that ends as complete before its last event.
func TestFaultyResponsesToResumedStreams(t *testing.T) {
	f := newFaultyEngines(t, slices.Collect(maps.Keys(resumedResponses))...)
	for name, response := range resumedResponses {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a := f.stream(f.hosts[0], "three-"+name)
			g.Expect(a.err).NotTo(HaveOccurred())
			g.Expect(a.body).To(Equal(eventList(1, 10)))
			a = f.stream(f.hosts[0], "two-"+name)
			if name == "not-run" {
				g.Expect(a.err).NotTo(HaveOccurred(), "a refusal is no attempt")
				g.Expect(a.body).To(Equal(eventList(1, 10)))
				return
			}
			g.Expect(a.err).To(HaveOccurred(), "the last attempt has failed")
			g.Expect(a.body).To(Equal(eventList(1, 4+response.valid)))
		})
	}
}

// Guards against an engine's error before the first event that is not relayed as it is although the stream must not be
// repeated.
func TestEngineErrorsBeforeTheFirstEvent(t *testing.T) {
	f := newFaultyEngines(t)
	a := f.stream(f.hosts[0], "note/first-error")
	f.g.Expect(a.err).NotTo(HaveOccurred())
	f.g.Expect(a.status).To(Equal(http.StatusInternalServerError))
	f.g.Expect(a.body).To(Equal("out of memory\n\n"))
	a = f.stream(f.hosts[0], "ask/first-error")
	f.g.Expect(a.err).NotTo(HaveOccurred())
	f.g.Expect(a.status).To(Equal(http.StatusBadGateway))
}
