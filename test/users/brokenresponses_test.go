package users_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
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

// maxUpload is the largest body of a request, in bytes. It does not fit into the buffers of a connection.
const maxUpload = 3 << 20

// startBroken starts a host whose only server passes requests for /KIND/NAME to respond, except for the name 1, and gives valid
// responses to all others. respond reads as much of the body as it likes and returns whether the connection goes on.
func startBroken(t *testing.T, respond func(c *rawserver.Conn, r *http.Request, name string) bool) *fleet {
	f := newFleet(t, 1)
	configuration := routes(10_000_000)
	configuration["limits"].(map[string]any)["maxBodyBytes"] = maxUpload
	f.configure(configuration)
	server, err := rawserver.Start(func(c *rawserver.Conn) {
		for r := c.RequestHead(); r != nil; r = c.RequestHead() {
			_, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
			ordinary := name == "1" || r.Header.Get("Serving-Stage") != "" || strings.HasPrefix(r.URL.Path, "/api/")
			if !ordinary && !respond(c, r, name) {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			switch {
			case !ordinary:
			case r.URL.Path == "/api/hold-take":
				c.Send("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"hold\":\"1\"}")
			case strings.HasPrefix(r.URL.Path, "/api/"):
				c.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			case r.Header.Get("Serving-Stage") != "":
				c.Respond(r, `{"handle":"1","tokens":1,"version":1}`)
			default:
				sendRaw(c, r, rawResponse("200 OK", fmt.Sprintf("Content-Length: %d", len(event)), event))
			}
		}
	})
	f.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(server.Close)
	f.registerRaw(server)
	return f
}

// sendRaw sends a response of rawResponse.
func sendRaw(c *rawserver.Conn, r *http.Request, response string) {
	_, _ = io.WriteString(c, strings.ReplaceAll(response, "ID", r.Header.Get("Request-Id")))
}

// registerRaw registers a server as several backend servers of both services, so that some are left when others are paused, and waits
// until the host serves.
func (f *fleet) registerRaw(server *rawserver.Server) {
	for i := range 8 {
		for _, spec := range [][2]string{{"app", ""}, {"llm", "prefill"}, {"llm", "decode"}} {
			value, _ := json.Marshal(map[string]any{
				"service": spec[0], "address": server.Addr, "zone": "piran-a", "slots": 50, "state": "ready", "stage": spec[1], "version": "v1", "coldLeftMs": 0, "seq": 0, "born": 1,
			})
			f.store.Put(fmt.Sprintf("servers/%s%s-%d", spec[0], spec[1], i), value)
		}
	}
	f.awaitReady(f.hosts[0])
	f.g.Eventually(func() int { return f.do(f.hosts[0], http.MethodGet, "/view/1").status }).WithTimeout(waitTimeout).Should(Equal(http.StatusOK))
}

// expectServed sends a plain request and a stream that the server serves. It would be paused if it only failed.
func (f *fleet) expectServed() {
	f.t.Helper()
	f.g.Expect(f.do(f.hosts[0], http.MethodGet, "/view/1").status).To(Equal(http.StatusOK))
	f.g.Expect(f.stream(f.hosts[0], "note").status).To(Equal(http.StatusOK))
}

// expectFailures sends a request of each kind for each of the responses, and expects a failure of the host's own in time. The
// server closes the connection after a response with "Connection: close".
func expectFailures(t *testing.T, responses map[string]string) {
	t.Helper()
	f := startBroken(t, func(c *rawserver.Conn, r *http.Request, name string) bool {
		sendRaw(c, r, responses[name])
		return !strings.Contains(responses[name], "Connection: close")
	})
	for name := range responses {
		for _, kind := range []string{"GET /view/", "POST /reserve/", "POST /ask/", "POST /note/"} {
			method, route, _ := strings.Cut(kind, " ")
			f.expectServed()
			a := f.do(f.hosts[0], method, route+name, header("Token-Counts", "100,100"), header("Model", "m"))
			// The host waits for nothing more from the server, so that it does not respond with 504.
			if a.err != nil || a.status != http.StatusBadGateway || a.header.Get("Response-Stamp") != "" {
				t.Errorf("%s: status %d, stamp %q, body %q, error %v", kind+name, a.status, a.header.Get("Response-Stamp"), a.body, a.err)
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
	expectFailures(t, responses)
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
	expectFailures(t, responses)
}

// Guards against a body that is relayed with other bounds than the server's, or with the bytes of its chunks, because the fields that
// delimit it contradict each other or its version.
func TestResponsesWithFaultyFraming(t *testing.T) {
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(event), event)
	chunked := rawResponse("200 OK", "Transfer-Encoding: chunked", chunks)
	expectFailures(t, map[string]string{
		"old-version":        strings.Replace(chunked, "HTTP/1.1", "HTTP/1.0", 1),
		"old-version-close":  strings.Replace(rawResponse("200 OK", "Connection: close\r\nTransfer-Encoding: chunked", chunks), "HTTP/1.1", "HTTP/1.0", 1),
		"old-version-length": strings.Replace(rawResponse("200 OK", "content-length: 22\r\ntransfer-encoding: chunked", event), "HTTP/1.1", "HTTP/1.0", 1),
		"lengths":            rawResponse("200 OK", "Content-Length: 22\r\nContent-Length: 21", event),
		"signed-length":      rawResponse("200 OK", "Content-Length: +22", event),
		"two-chunked":        strings.Replace(chunked, "chunked", "chunked\r\nTransfer-Encoding: chunked", 1),
		"gzip":               strings.Replace(chunked, "chunked", "gzip, chunked", 1),
		"identity":           rawResponse("200 OK", "Connection: close\r\nTransfer-Encoding: identity", event),
	})
}

// Guards against a part of a response that is relayed as a whole one because its server reset the connection while the request was
// still being written: the write gets the error of the connection, after which a read finds its end.
func TestResponsesResetDuringTheUpload(t *testing.T) {
	const repeats = 10
	long := strings.Repeat("part", 100_000)
	var sent atomic.Int64
	f := startBroken(t, func(c *rawserver.Conn, r *http.Request, name string) bool {
		sent.Add(1)
		part := event
		if name == "long" {
			part = long
		}
		sendRaw(c, r, rawResponse("200 OK", "Connection: close", part))
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
		return false
	})
	upload := func(r *http.Request) {
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, maxUpload))), maxUpload
	}
	complete := 0
	paths := []string{"/view/short", "/reserve/short", "/reserve/long", "/ask/short", "/note/short"}
	for _, path := range paths {
		for range repeats {
			f.expectServed()
			before := sent.Load()
			a := f.do(f.hosts[0], http.MethodPost, path, header("Token-Counts", "100,100"), header("Model", "m"), upload)
			f.g.Expect(sent.Load()).To(BeNumerically(">", before), "%s: status %d", path, a.status)
			if a.status >= 200 && a.status < 300 && a.err == nil {
				complete++
				t.Errorf("%s: complete response with status %d and %d bytes", path, a.status, len(a.body))
			}
		}
	}
	t.Logf("%d of %d parts were relayed as complete responses", complete, repeats*len(paths))
}
