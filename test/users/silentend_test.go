package users_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/test/standin/rawserver"
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
			"service": "llm", "address": server.Addr, "zone": "piran-a", "slots": 50, "state": "ready", "stage": stage, "born": 1,
		})
		f.store.Put(fmt.Sprintf("servers/llm-%d", i), value)
	}
	f.awaitReady(f.hosts[0])
	f.g.Eventually(func() int { return f.stream(f.hosts[0], "note").status }).WithTimeout(waitTimeout).Should(Equal(http.StatusOK))
	// Ten events of ten tokens are all that these requests declare.
	a := f.stream(f.hosts[0], "ask")
	f.g.Expect(a.err).NotTo(HaveOccurred())
	f.g.Expect(a.body).To(Equal(eventList(1, 10)))
}
