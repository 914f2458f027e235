package users_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/test/standin/rawserver"
	"github.com/boragecourse/boragecourse/test/standin/users"
)

const (
	// endlessDeadline is the deadline of the requests; their outcome must be known endlessSlack after it.
	endlessDeadline = 2500 * time.Millisecond
	endlessSlack    = time.Second
	// endlessMemory is the memory of the host according to its settings, in KB.
	endlessMemory = 134 << 10
)

// endlessResponses holds, by path, the start of a response and the part that repeats until the host closes the
// connection.
var endlessResponses = map[string]struct{ start, repeat string }{
	"/view/status-line":     {"", "x"},
	"/view/header-line":     {"HTTP/1.1 200 OK\r\nA: ", "x"},
	"/view/header-lines":    {"HTTP/1.1 200 OK\r\n", "B: value\r\n"},
	"/view/informational":   {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	"/view/body":            {"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Stamp: s\r\n\r\n", "x"},
	"/view/chunks":          {"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	"/view/chunk-extension": {"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	"/view/trailers":        {"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "T: x\r\n"},
	"/ask/event-line":       {streamHead, "x"},
	// Streams of this route are not repeatable, so that no stall time-out ends them.
	"/note/event-lines": {streamHead, "data: x\n"},
	"/ask/events":       {streamHead, "id: 1\ndata: x\n\n"},
	"/ask/comments":     {streamHead, ":\n"},
	"/ask/status-line":  {"", "x"},
}

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: ID\r\nResponse-Stamp: s\r\n\r\n"

// serveEndless serves reservations and most prefills normally, and every other request with the endless response for its
// path.
func serveEndless(c *rawserver.Conn) {
	r := c.Request()
	if r == nil {
		return
	}
	switch response, known := endlessResponses[r.URL.Path]; {
	case r.URL.Path == "/api/hold-take":
		c.Send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 12\r\n\r\n{\"hold\":\"1\"}")
	case r.Header.Get("Serving-Stage") != "" && r.URL.Path != "/ask/prefill":
		c.Respond(r, `{"handle":"1","tokens":1,"version":1}`)
	case r.Header.Get("Serving-Stage") != "":
		c.Send("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n\r\n{", r.Header.Get("Request-Id"))
		c.SendForever(strings.Repeat(" ", 1024))
	case known:
		c.Send("%s", strings.ReplaceAll(response.start, "ID", r.Header.Get("Request-Id")))
		c.SendForever(strings.Repeat(response.repeat, 1024/len(response.repeat)+1))
	default:
		c.Respond(r, "served")
	}
}

// Guards against backend servers that send bytes without end, in a head or a body, until the host closes the connection:
// the host's memory must stay bounded, each request must end by its deadline without a false success, the connections
// must be closed, and the host must serve on.
func TestEndlessBytesFromBackendServers(t *testing.T) {
	f := newFleet(t, 1)
	ended := make(chan struct{}, 100)
	started := 0
	var mu sync.Mutex
	server, err := rawserver.Start(func(c *rawserver.Conn) {
		mu.Lock()
		started++
		mu.Unlock()
		serveEndless(c)
		ended <- struct{}{}
	})
	f.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(server.Close)
	for id, spec := range map[string][2]string{"app-1": {"app", ""}, "prefill-1": {"llm", "prefill"}, "decode-1": {"llm", "decode"}} {
		value, _ := json.Marshal(map[string]any{
			"service": spec[0], "address": server.Addr, "zone": "piran-a", "slots": 20, "state": "ready", "stage": spec[1], "version": "v1", "coldLeftMs": 0, "seq": 0, "born": 1,
		})
		f.store.Put("servers/"+id, value)
	}
	h := f.hosts[0]
	f.awaitReady(h)
	f.g.Eventually(func() int { return f.do(h, http.MethodGet, "/view/1").status }).WithTimeout(waitTimeout).Should(Equal(http.StatusOK))

	var group sync.WaitGroup
	for path := range endlessResponses {
		group.Go(func() { f.expectEndlessEnds(h, path) })
	}
	group.Wait()
	// One event of many short lines grows only as fast as it arrives, so it gets the connection to itself.
	f.expectEndlessEnds(h, "/note/event-lines")
	f.g.Expect(f.peakMemory(h)).To(BeNumerically("<", endlessMemory))
	f.g.Expect(f.do(h, http.MethodGet, "/view/1").status).To(Equal(http.StatusOK))
	// The kept connection of the served requests may still be open.
	f.g.Eventually(func() int { mu.Lock(); defer mu.Unlock(); return started - len(ended) }).WithTimeout(5 * time.Second).Should(BeNumerically("<=", 1))
}

// expectEndlessEnds sends a request whose response never ends and checks how it ends for the caller.
func (f *fleet) expectEndlessEnds(h *host, path string) {
	ctx, cancel := context.WithTimeout(f.t.Context(), endlessDeadline+endlessSlack)
	defer cancel()
	req := f.request(ctx, h, http.MethodGet, path, header("Token-Counts", "100,100"), header("Model", "m"),
		header("Deadline-Ms", strconv.FormatInt(endlessDeadline.Milliseconds(), 10)))
	resp, err := f.client.Do(req)
	if err == nil {
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != http.StatusOK && err == nil {
			err = fmt.Errorf("status %d", resp.StatusCode)
		}
	}
	if err == nil {
		f.t.Errorf("%s: complete success", path)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		f.t.Errorf("%s: not ended %v after the deadline: %v", path, endlessSlack, err)
	}
	if resp != nil && (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests) && strings.HasPrefix(path, "/view") {
		f.t.Errorf("%s: status %d says not run, which is not known", path, resp.StatusCode)
	}
}

// peakMemory returns the largest resident size that the host's process has had, in KB.
func (f *fleet) peakMemory(h *host) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.process.PID()))
	f.g.Expect(err).NotTo(HaveOccurred())
	match := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(text)
	f.g.Expect(match).NotTo(BeNil())
	kb, err := strconv.Atoi(string(match[1]))
	f.g.Expect(err).NotTo(HaveOccurred())
	return kb
}

// endlessPaths select, by name, the calls to engines that get an endless response.
var endlessPaths = map[string]func(r *http.Request) bool{
	"reservation": func(r *http.Request) bool { return r.URL.Path == "/api/hold-take" },
	"prefill":     func(r *http.Request) bool { return r.Header.Get("Serving-Stage") != "" },
	"release": func(r *http.Request) bool {
		return strings.HasPrefix(r.URL.Path, "/api/hold-drop/") || strings.HasPrefix(r.URL.Path, "/api/kv-handle/")
	},
	"response": func(r *http.Request) bool {
		return !strings.HasPrefix(r.URL.Path, "/api/") && r.Header.Get("Serving-Stage") == ""
	},
}

// endlessStarts are the starts of endless responses of many requests at a time, and the part that repeats.
var endlessStarts = map[string][2]string{
	"head":          {"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n", "A: value\r\n"},
	"informational": {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	"body":          {"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Stamp: s\r\n\r\n", " "},
	"chunks":        {"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\n \r\n"},
	"lines":         {"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Stamp: s\r\n\r\n", "data: x\n"},
}

// Guards against a host that keeps the bytes of many endless responses at a time, on any call to an engine, until its memory is used up,
// and so fails the requests of other callers.
func TestManyEndlessResponsesAtATime(t *testing.T) {
	f := newFleet(t, 1)
	var mu sync.Mutex
	var endless func(*http.Request) bool
	var text [2]string
	server, err := rawserver.Start(func(c *rawserver.Conn) {
		for r := c.Request(); r != nil; r = c.Request() {
			mu.Lock()
			matches, response := endless, text
			mu.Unlock()
			switch {
			case matches != nil && matches(r):
				c.Send("%s", strings.ReplaceAll(response[0], "ID", r.Header.Get("Request-Id")))
				c.SendForever(strings.Repeat(response[1], 1024/len(response[1])+1))
				return
			case r.URL.Path == "/api/hold-take":
				c.Send("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"hold\":\"1\"}")
			case r.Header.Get("Serving-Stage") != "":
				c.Respond(r, `{"handle":"1","tokens":1,"version":1}`)
			default:
				// Refused, so that the reservation and the result are released.
				c.Send("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
			}
		}
	})
	f.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(server.Close)
	for i, stage := range []string{"prefill", "prefill", "decode", "decode", "decode"} {
		value, _ := json.Marshal(map[string]any{
			"service": "llm", "address": server.Addr, "zone": "piran-a", "slots": 60, "state": "ready", "stage": stage, "version": "v1", "coldLeftMs": 0, "seq": 0, "born": 1,
		})
		f.store.Put(fmt.Sprintf("servers/llm-%d", i), value)
	}
	f.worker(users.WorkerOptions{ID: "app-1", Service: "app", Slots: 20})
	f.awaitReady(f.hosts[0])
	f.g.Eventually(func() int { return f.do(f.hosts[0], http.MethodGet, "/view/1").status }).WithTimeout(waitTimeout).Should(Equal(http.StatusOK))
	for path, matches := range endlessPaths {
		for name, start := range endlessStarts {
			mu.Lock()
			endless, text = matches, start
			mu.Unlock()
			var group sync.WaitGroup
			for range 100 {
				group.Go(func() { _ = f.stream(f.hosts[0], "note", header("Deadline-Ms", "700")) })
			}
			a := f.do(f.hosts[0], http.MethodGet, "/view/1")
			f.g.Expect(a.status).To(Equal(http.StatusOK), "beside %s, %s: %v", path, name, a.err)
			group.Wait()
			t.Logf("%s, %s: peak %d MB", path, name, f.peakMemory(f.hosts[0])>>10)
		}
	}
	f.g.Expect(f.peakMemory(f.hosts[0])).To(BeNumerically("<", endlessMemory))
	f.g.Expect(f.do(f.hosts[0], http.MethodGet, "/view/1").status).To(Equal(http.StatusOK))
}
