package users_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a caller that closes its sending direction after a whole request and waits for an answer that never comes, and
// against a refusal that says "not run" of a request that a server runs.
func TestCallersThatEndTheirInputGetAnAnswer(t *testing.T) {
	p := newDeployment(t, 1)
	for _, w := range p.workers() {
		w.SetEventPause(50 * time.Millisecond)
		w.Before(func(*http.Request) { time.Sleep(50 * time.Millisecond) })
	}
	notRun := map[string]string{}
	for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
		for _, request := range []string{"POST /reserve/1", "GET /view/1", "POST /ask/1", "POST /note/1"} {
			for range 5 {
				id := fmt.Sprintf("%s-%d", t.Name(), p.next.Add(1))
				name := fmt.Sprintf("%s, input ended after %v, id %s", request, pause, id)
				conn, err := net.Dial("tcp", p.hosts[0].front)
				p.g.Expect(err).NotTo(HaveOccurred())
				_, err = fmt.Fprintf(conn, "%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 3000\r\n"+
					"Token-Counts: 100,100\r\nModel: m\r\nLength-Hint: 50\r\nContent-Length: 0\r\n\r\n", request, hostName, id, key)
				p.g.Expect(err).NotTo(HaveOccurred())
				time.Sleep(pause)
				p.g.Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
				p.g.Expect(conn.SetReadDeadline(time.Now().Add(waitTimeout))).To(Succeed())
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				p.g.Expect(err).NotTo(HaveOccurred(), name)
				_, err = io.Copy(io.Discard, resp.Body)
				p.g.Expect(err).NotTo(HaveOccurred(), name)
				p.g.Expect(resp.Body.Close()).To(Succeed(), name)
				p.g.Expect(resp.Header.Get("Request-Id")).To(Equal(id), name)
				p.g.Expect(resp.StatusCode).To(BeElementOf(http.StatusBadGateway, http.StatusServiceUnavailable), name)
				if resp.StatusCode == http.StatusServiceUnavailable {
					notRun[id] = name
				}
				_ = conn.Close()
			}
		}
	}
	time.Sleep(200 * time.Millisecond)
	for id, name := range notRun {
		p.g.Expect(p.runs(id)).To(BeZero(), name)
	}
}
