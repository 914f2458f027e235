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
			"service": spec[0], "address": server.Addr, "zone": "piran-a", "slots": 20, "state": "ready", "stage": spec[1], "born": 1,
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
