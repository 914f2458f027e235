package users_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/test/standin/rawserver"
)

// rawResponse returns a response to any request, with a status and an additional line in its head. ID stands for the id of the request.
func rawResponse(status, line, body string) string {
	return "HTTP/1.1 " + status + "\r\nRequest-Id: ID\r\nResponse-Stamp: s\r\nContent-Type: text/event-stream\r\n" + line + "\r\n\r\n" + body
}

// event is a complete stream, and a body of a plain response.
const event = "id: 1\ndata: complete\n\n"

// startBroken starts a host whose only server responds to requests for /KIND/NAME with the response of that name, and to all others
// as it should.
func startBroken(t *testing.T, responses map[string]string) *fleet {
	f := newFleet(t, 1)
	f.configure(routes(10_000_000))
	server, err := rawserver.Start(func(c *rawserver.Conn) {
		for r := c.Request(); r != nil; r = c.Request() {
			_, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
			switch text := responses[name]; {
			case r.URL.Path == "/api/hold-take":
				c.Send("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"hold\":\"1\"}")
			case strings.HasPrefix(r.URL.Path, "/api/"):
				c.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			case r.Header.Get("Serving-Stage") != "":
				c.Respond(r, `{"handle":"1","tokens":1,"version":1}`)
			default:
				if text == "" {
					text = rawResponse("200 OK", fmt.Sprintf("Content-Length: %d", len(event)), event)
				}
				_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get("Request-Id")))
				if strings.Contains(text, "Connection: close") {
					return
				}
			}
		}
	})
	f.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(server.Close)
	f.registerRaw(server)
	return f
}

// registerRaw registers a server as several backend servers of both services, so that some are left when others are paused, and waits
// until the host serves.
func (f *fleet) registerRaw(server *rawserver.Server) {
	for i, spec := range [][2]string{{"app", ""}, {"app", ""}, {"app", ""}, {"llm", "prefill"}, {"llm", "decode"}, {"llm", "decode"}} {
		value, _ := json.Marshal(map[string]any{
			"service": spec[0], "address": server.Addr, "zone": "piran-a", "slots": 50, "state": "ready", "stage": spec[1], "version": "v1", "coldLeftMs": 0, "seq": 0, "born": 1,
		})
		f.store.Put(fmt.Sprintf("servers/s-%d", i), value)
	}
	f.awaitReady(f.hosts[0])
	f.g.Eventually(func() int { return f.do(f.hosts[0], http.MethodGet, "/view/1").status }).WithTimeout(waitTimeout).Should(Equal(http.StatusOK))
}

// expectFailures sends a request of each kind for each of the responses, and expects a failure of the host's own in time.
func (f *fleet) expectFailures(responses map[string]string) {
	for name := range responses {
		for _, kind := range []string{"GET /view/", "POST /reserve/", "POST /ask/", "POST /note/"} {
			method, route, _ := strings.Cut(kind, " ")
			// Servers that only fail would be paused.
			f.g.Expect(f.do(f.hosts[0], http.MethodGet, "/view/1").status).To(Equal(http.StatusOK))
			f.g.Expect(f.stream(f.hosts[0], "note").status).To(Equal(http.StatusOK))
			a := f.do(f.hosts[0], method, route+name, header("Token-Counts", "100,100"), header("Model", "m"))
			// The host waits for nothing more from the server, so that it does not respond with 504.
			if a.err != nil || a.status != http.StatusBadGateway || a.header.Get("Response-Stamp") != "" {
				f.t.Errorf("%s: status %d, stamp %q, body %q, error %v", kind+name, a.status, a.header.Get("Response-Stamp"), a.body, a.err)
			}
		}
	}
}

// Guards against a response with a status outside of HTTP, such as 000, that is relayed or skipped like an informational response, so that
// its body is read as the response.
func TestResponsesWithoutAValidStatus(t *testing.T) {
	responses := map[string]string{}
	for name, status := range map[string]string{"000": "000", "000-text": "000 OK", "099": "099 OK", "signed": "+20 OK", "101": "101 Switching Protocols"} {
		length := fmt.Sprintf("Content-Length: %d", len(event))
		responses[name] = rawResponse(status, length, event)
		responses[name+"-close"] = rawResponse(status, "Connection: close", event)
		responses[name+"-response"] = rawResponse(status, "Connection: close", rawResponse("200 OK", length, event))
	}
	startBroken(t, responses).expectFailures(responses)
}

// Guards against a response whose head has an invalid field name and that is relayed, without that field or with a body that has other
// bounds than the server's.
func TestResponsesWithInvalidFieldNames(t *testing.T) {
	responses := map[string]string{}
	for name, line := range map[string]string{
		"blank-before-colon": "Content-Length : 22", "blank-inside": "Content Length: 22", "chunked": "Transfer-Encoding : chunked",
		"blank-in-other": "X Y: z", "blank-first": " X: y", "tab-first": "\tContent-Length: 22", "tab": "X\tY: z", "control": "X\x01Y: z", "nul": "X\x00: z",
		"delete": "X\x7f: z", "return": "X\rY: z", "empty": ": z", "no-colon": "X", "latin-1": "X\xe9: z",
	} {
		responses[name] = rawResponse("200 OK", "Content-Length: 22\r\n"+line, event)
		responses[name+"-close"] = rawResponse("200 OK", "Connection: close\r\n"+line, event)
	}
	responses["informational"] = "HTTP/1.1 103 Early Hints\r\nLink : x\r\n\r\n" + rawResponse("200 OK", "Content-Length: 22", event)
	startBroken(t, responses).expectFailures(responses)
}
