package users_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/test/standin/rawserver"
)

// longEvents returns the events after the given one, of three, whose data lines have a length without their end.
func longEvents(after, length int, end string) string {
	var b strings.Builder
	for i := after + 1; i <= 3; i++ {
		b.WriteString(fmt.Sprintf("id: %d", i) + end + "data: " + strings.Repeat(strconv.Itoa(i), length-len("data: ")) + end + end)
	}
	return b.String()
}

// serveLongEvents streams events as the path /ask/LENGTH/KIND/CUT says. It breaks the first run off CUT bytes before the end of
// the second event, and goes on correctly when the stream is resumed.
func serveLongEvents(c *rawserver.Conn) {
	r := c.Request()
	if r == nil {
		return
	}
	switch {
	case r.URL.Path == "/api/hold-take":
		c.Send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 12\r\n\r\n{\"hold\":\"1\"}")
		return
	case r.Header.Get("Serving-Stage") != "":
		c.Respond(r, `{"handle":"1","tokens":1,"version":1}`)
		return
	}
	var length, crlf, cut int
	if n, _ := fmt.Sscanf(r.URL.Path, "/ask/%d/%d/%d", &length, &crlf, &cut); n != 3 {
		c.Send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		return
	}
	end := []string{"\n", "\r\n"}[crlf]
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	text := longEvents(after, length, end)
	if after == 0 {
		text = text[:len(text)-len(longEvents(2, length, end))-cut]
	}
	c.Send("%s", strings.ReplaceAll(streamHead, "ID", r.Header.Get("Request-Id"))+text)
}

// Guards against an event that is relayed as complete, and joined with the next one, because its engine stopped right after a
// line that fills the buffer: the cut event has to come whole from the next engine.
func TestStreamsCutAfterALongLine(t *testing.T) {
	f := newFleet(t, 1)
	server, err := rawserver.Start(serveLongEvents)
	f.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(server.Close)
	for i, stage := range []string{"prefill", "decode", "decode", "decode"} {
		value, _ := json.Marshal(map[string]any{
			"service": "llm", "address": server.Addr, "zone": "piran-a", "slots": 50, "state": "ready", "stage": stage, "version": "v1", "coldLeftMs": 0, "seq": 0, "born": 1,
		})
		f.store.Put(fmt.Sprintf("servers/llm-%d", i), value)
	}
	f.awaitReady(f.hosts[0])
	f.g.Eventually(func() int { return f.stream(f.hosts[0], "ask/100/0/0").status }).WithTimeout(waitTimeout).Should(Equal(http.StatusOK))
	for crlf, end := range []string{"\n", "\r\n"} {
		for _, length := range []int{4095, 4096, 4097, 8192} {
			for cut := 1; cut <= 2*len(end); cut++ {
				a := f.stream(f.hosts[0], fmt.Sprintf("ask/%d/%d/%d", length, crlf, cut))
				f.g.Expect(a.err).NotTo(HaveOccurred())
				f.g.Expect(a.body == longEvents(0, length, end)).To(BeTrue(), "line end %q, length %d, cut %d", end, length, cut)
			}
		}
	}
}
