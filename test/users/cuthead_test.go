package users_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/test/standin/rawserver"
)

// cutResponses are complete responses by framing. ID stands for the id of the request.
var cutResponses = map[string]string{
	"length": "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Stamp: s\r\nContent-Length: 8\r\n\r\ncomplete",
	"chunks": "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n8\r\ncomplete\r\n0\r\n\r\n",
	"close":  "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Stamp: s\r\nConnection: close\r\n\r\ncomplete",
	"early":  "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Stamp: s\r\nContent-Length: 8\r\n\r\ncomplete",
	"events": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: ID\r\nResponse-Stamp: s\r\n\r\nid: 1\ndata: complete\n\n",
	"empty":  "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Stamp: s\r\nContent-Length: 0\r\n\r\n",
}

// serveCut serves requests for /KIND/FRAMING/CUT: the response ends, with its connection, after CUT bytes. Every other connection
// has served a complete response before.
func serveCut(c *rawserver.Conn) {
	for r := c.Request(); r != nil; r = c.Request() {
		parts := strings.Split(r.URL.Path, "/")
		cut := 0
		if len(parts) == 4 {
			_, _ = fmt.Sscanf(parts[3], "%d", &cut)
		}
		switch {
		case r.URL.Path == "/api/hold-take":
			c.Send("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"hold\":\"1\"}")
		case strings.HasPrefix(r.URL.Path, "/api/"):
			c.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		case r.Header.Get("Serving-Stage") != "":
			c.Respond(r, `{"handle":"1","tokens":1,"version":1}`)
		case len(parts) == 4 && cutResponses[parts[2]] != "":
			text := strings.ReplaceAll(cutResponses[parts[2]], "ID", r.Header.Get("Request-Id"))
			c.Send("%s", text[:min(cut, len(text))])
			return
		default:
			c.Respond(r, "complete")
		}
	}
}

// Guards against a response whose head, or body with a length or chunks, ends early and that reaches the caller as a complete success:
// cut after each byte, on new connections and on kept ones, for requests that may be repeated and for others, plain and streams.
func TestResponsesCutAfterEachByte(t *testing.T) {
	f := newFleet(t, 1)
	// 2,300 requests of 200 tokens follow as fast as the host serves them. None may be refused for the rate of the workspace, since
	// it would not reach a server whose response is cut.
	f.configure(routes(10_000_000))
	server, err := rawserver.Start(serveCut)
	f.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(server.Close)
	for i, spec := range [][2]string{{"app", ""}, {"app", ""}, {"app", ""}, {"llm", "prefill"}, {"llm", "decode"}, {"llm", "decode"}} {
		value, _ := json.Marshal(map[string]any{
			"service": spec[0], "address": server.Addr, "zone": "piran-a", "slots": 50, "state": "ready", "stage": spec[1], "version": "v1", "coldLeftMs": 0, "seq": 0, "born": 1,
		})
		f.store.Put(fmt.Sprintf("servers/s-%d", i), value)
	}
	f.awaitReady(f.hosts[0])
	f.g.Eventually(func() int { return f.do(f.hosts[0], http.MethodGet, "/view/1").status }).WithTimeout(waitTimeout).Should(Equal(http.StatusOK))
	for framing, text := range cutResponses {
		head := strings.LastIndex(text, "\r\n\r\n")
		if framing == "chunks" {
			head = strings.Index(text, "\r\n\r\n")
		}
		for cut := range len(text) {
			// A body without a length that ends with its connection is complete for all that a host can know.
			if framing == "close" && cut >= head+4 {
				continue
			}
			f.expectNoSuccess(framing, cut)
		}
	}
	f.g.Expect(f.do(f.hosts[0], http.MethodGet, "/view/1").status).To(Equal(http.StatusOK))
}

// expectNoSuccess sends requests whose responses are cut. Before each of them a request opens a connection that is kept.
func (f *fleet) expectNoSuccess(framing string, cut int) {
	path := fmt.Sprintf("/%s/%d", framing, cut)
	kinds := []string{"GET /view", "POST /reserve"}
	if framing == "events" {
		kinds = []string{"POST /ask", "POST /note"}
	}
	for _, kind := range kinds {
		method, route, _ := strings.Cut(kind, " ")
		_ = f.do(f.hosts[0], http.MethodGet, "/view/1")
		a := f.do(f.hosts[0], method, route+path, header("Token-Counts", "100,100"), header("Model", "m"))
		if a.status >= 200 && a.status < 300 && a.err == nil {
			f.t.Errorf("%s cut after %d bytes: complete response with status %d and body %q", kind+path, cut, a.status, a.body)
		}
		promised := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
		if promised && route == "/reserve" {
			f.t.Errorf("%s cut after %d bytes: status %d says not run, which is not known", kind+path, cut, a.status)
		}
	}
}
