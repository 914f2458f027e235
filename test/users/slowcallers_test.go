package users_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/test/standin/rawserver"
	"github.com/boragecourse/boragecourse/test/standin/users"
)

const (
	// unreadLimit is how long a response of the stand-in engine may stay unread before the engine cuts it.
	unreadLimit = 2 * time.Second
	// freeTime is the time within which an engine must be freed when its caller has left.
	freeTime = 500 * time.Millisecond
	// eventBytes is the length of an event of the stand-in engine, wholeEvents the number of events of a stream of 16 MB, which
	// exceeds what sockets hold and is less than the share of one response on a host with largeMemory, in MB. socketBytes is the size of the buffers of the engine's and the caller's sockets.
	eventBytes  = 4 << 10
	wholeEvents = 4000
	largeMemory = 1024
	socketBytes = 32 << 10
)

// pressedEngine sends events as fast as they are read, and cuts responses that stay unread for unreadLimit.
type pressedEngine struct {
	// cuts counts the cut responses, whole those that were sent completely, open those that are being sent.
	cuts, whole, open atomic.Int64
}

func pressedEvent(i int) string {
	head := fmt.Sprintf("id: %d\ndata: ", i)
	return head + strings.Repeat("x", eventBytes-len(head)-2) + "\n\n"
}

func (e *pressedEngine) serve(c *rawserver.Conn) {
	r := c.Request()
	switch {
	case r == nil:
	case r.URL.Path == "/api/hold-take":
		c.Send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 12\r\n\r\n{\"hold\":\"1\"}")
	case r.Header.Get("Serving-Stage") != "":
		c.Respond(r, `{"handle":"1","tokens":1,"version":1}`)
	default:
		e.stream(c, r)
	}
}

// stream sends the number of events that the path /ROUTE/NUMBER names.
func (e *pressedEngine) stream(c *rawserver.Conn, r *http.Request) {
	count := 0
	_, _ = fmt.Sscanf(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:], "%d", &count)
	_ = c.Conn.(*net.TCPConn).SetWriteBuffer(socketBytes)
	e.open.Add(1)
	defer e.open.Add(-1)
	c.Send("%s", strings.ReplaceAll(streamHead, "ID", r.Header.Get("Request-Id")))
	for i := range count {
		_ = c.SetWriteDeadline(time.Now().Add(unreadLimit))
		if _, err := io.WriteString(c, pressedEvent(i+1)); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				e.cuts.Add(1)
			}
			return
		}
	}
	e.whole.Add(1)
}

// newPressedFleet returns a host that bounds its buffered bytes, with engines and a configuration that allows long requests.
func newPressedFleet(t *testing.T, memoryMB int) (*fleet, *pressedEngine) {
	f := newFleetWith(t, 1, func(s *users.HostSpec) { s.Contracts, s.MemoryMB = []string{"quiet", "pressure"}, memoryMB })
	engine := &pressedEngine{}
	server, err := rawserver.Start(engine.serve)
	f.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(server.Close)
	for i, stage := range []string{"prefill", "decode"} {
		value, _ := json.Marshal(map[string]any{
			"service": "llm", "address": server.Addr, "zone": "piran-a", "slots": 50, "state": "ready", "stage": stage, "version": "v1", "coldLeftMs": 0, "seq": 0, "born": 1,
		})
		f.store.Put(fmt.Sprintf("servers/llm-%d", i), value)
	}
	config := routes(100000)
	for _, r := range config["routes"].([]any) {
		r.(map[string]any)["timeoutMs"] = 12000
	}
	config["limits"].(map[string]any)["maxBodyBytes"] = 4 << 20
	f.configure(config)
	f.awaitReady(f.hosts[0])
	f.g.Eventually(func() string { return f.stream(f.hosts[0], "ask").body }).WithTimeout(waitTimeout).Should(Equal(pressedEvent(1)))
	return f, engine
}

// openStream sends a request for a stream on a connection whose receive buffer is small, and reads nothing of the response.
func (f *fleet) openStream(path string) *net.TCPConn {
	conn, err := net.Dial("tcp", f.hosts[0].front)
	f.g.Expect(err).NotTo(HaveOccurred())
	tcp := conn.(*net.TCPConn)
	f.t.Cleanup(func() { _ = tcp.Close() })
	f.g.Expect(tcp.SetReadBuffer(socketBytes)).To(Succeed())
	_, err = fmt.Fprintf(tcp, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s-%d\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 12000\r\n"+
		"Token-Counts: 100,100\r\nModel: m\r\nContent-Length: 0\r\n\r\n", path, hostName, f.t.Name(), f.next.Add(1), key)
	f.g.Expect(err).NotTo(HaveOccurred())
	return tcp
}

func (f *fleet) metric(name string) string {
	resp, err := f.client.Get("http://" + f.hosts[0].ip + ":9464/metrics")
	f.g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if value, found := strings.CutPrefix(lines.Text(), "boragecourse_"+name+" "); found {
			return value
		}
	}
	return ""
}

// awaitShareUsed waits until one slow caller has used up its share, a twelfth of a quarter of 134 MB, so that the host waits for it.
func (f *fleet) awaitShareUsed() {
	f.g.Eventually(func() int {
		held, _ := strconv.Atoi(f.metric("held_bytes"))
		return held
	}).WithTimeout(waitTimeout).Should(BeNumerically(">", 2_700_000))
	time.Sleep(100 * time.Millisecond)
}

// Guards against an engine that cuts a stream because its caller pauses: the host has to read and keep what the caller has not
// read, and pass it on whole and in order.
func TestCallersThatReadSlowlyGetWholeStreams(t *testing.T) {
	f, engine := newPressedFleet(t, largeMemory)
	for _, path := range []string{"/ask/", "/note/"} {
		before := engine.whole.Load()
		conn := f.openStream(path + fmt.Sprint(wholeEvents))
		f.g.Eventually(engine.whole.Load).WithTimeout(waitTimeout).Should(Equal(before+1), "the host has to read at the engine's pace")
		time.Sleep(unreadLimit + time.Second)
		// The rest is read faster.
		f.g.Expect(conn.SetReadBuffer(1 << 20)).To(Succeed())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		f.g.Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		f.g.Expect(err).NotTo(HaveOccurred())
		f.g.Expect(events(string(body))).To(Equal(sequence(wholeEvents)))
		f.g.Expect(body).To(HaveLen(wholeEvents * eventBytes))
		_ = conn.Close()
	}
	f.g.Expect(engine.cuts.Load()).To(BeZero())
	f.g.Eventually(func() string { return f.metric("held_bytes") }).WithTimeout(waitTimeout).Should(Equal("0"))
}

// Guards against a caller that reads nothing and so blocks an engine until that cuts the response, and makes the host's memory
// grow meanwhile.
func TestCallersThatReadNothingAreGivenUp(t *testing.T) {
	f, engine := newPressedFleet(t, 0)
	conn := f.openStream("/ask/1000000")
	f.awaitShareUsed()
	f.g.Expect(f.stream(f.hosts[0], "ask").body).To(Equal(pressedEvent(1)), "others must be served meanwhile")
	f.g.Eventually(engine.open.Load).WithTimeout(unreadLimit).Should(BeZero())
	f.g.Expect(engine.cuts.Load()).To(BeZero())
	f.g.Expect(f.metric("slow_callers_given_up_total")).To(Equal("1"))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
	}
	f.g.Expect(err).To(HaveOccurred(), "the response must not look complete")
	f.g.Expect(f.peakMemory(f.hosts[0])).To(BeNumerically("<", endlessMemory))
}

// Guards against an engine that goes on with a stream because the host waits for room in a buffer and does not notice that the
// caller has left.
func TestCallersThatLeaveFreeTheirEngineWhileTheHostWaits(t *testing.T) {
	f, engine := newPressedFleet(t, 0)
	for range 3 {
		conn := f.openStream("/ask/1000000")
		f.awaitShareUsed()
		f.g.Expect(conn.Close()).To(Succeed())
		f.g.Eventually(engine.open.Load).WithTimeout(freeTime).WithPolling(10 * time.Millisecond).Should(BeZero())
	}
	f.g.Expect(f.metric("slow_callers_given_up_total")).To(BeEmpty())
}

// Guards against a caller that stops sending in the middle of its body and holds a part of the budget without end.
func TestCallersThatStopSendingAreRefused(t *testing.T) {
	f, _ := newPressedFleet(t, 0)
	f.worker(users.WorkerOptions{ID: "app-1", Service: "app"})
	conn, err := net.Dial("tcp", f.hosts[0].front)
	f.g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /view/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: stops\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 1000\r\n"+
		"Content-Length: 1000000\r\n\r\n%s", hostName, key, strings.Repeat("b", 500000))
	f.g.Expect(err).NotTo(HaveOccurred())
	f.g.Expect(conn.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	f.g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	f.g.Expect(resp.StatusCode).To(Equal(http.StatusRequestTimeout))
	f.g.Eventually(func() string { return f.metric("held_bytes") }).WithTimeout(waitTimeout).Should(Equal("0"))
}

const (
	// bodyBytes is the size of a request body. The host's budget, a quarter of 134 MB, holds fewer than 80 of them; the bound on
	// one server, serverBytes, less than half of these.
	bodyBytes   = 512 << 10
	serverBytes = 16 << 20
	manyBodies  = 80
)

// Guards against a backend server that crashes because the host sends it more than the bound at a time while it reads slowly,
// and against a host that reads more request bodies than its budget has room for.
func TestServersThatReadSlowlyAreNotSentMoreThanTheBound(t *testing.T) {
	f, _ := newPressedFleet(t, 0)
	w := f.worker(users.WorkerOptions{ID: "app-1", Service: "app", Slots: 100})
	var held, most atomic.Int64
	w.Before(func(r *http.Request) {
		size := r.ContentLength
		for now := held.Add(max(size, 0)); ; {
			if m := most.Load(); now <= m || most.CompareAndSwap(m, now) {
				break
			}
		}
		context.AfterFunc(r.Context(), func() { held.Add(-max(size, 0)) })
		if size > 0 {
			readSlowly(r.Body)
		}
	})
	h := f.hosts[0]
	f.g.Eventually(func() int { return f.do(h, http.MethodGet, "/view/1").status }).WithTimeout(waitTimeout).Should(Equal(http.StatusOK))
	statuses := map[string]int{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for range manyBodies {
		group.Go(func() {
			body := bytes.Repeat([]byte("b"), bodyBytes)
			a := f.do(h, http.MethodPost, "/view/1", header("Deadline-Ms", "5000"), func(r *http.Request) {
				r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), bodyBytes
			})
			mu.Lock()
			defer mu.Unlock()
			statuses[fmt.Sprint(a.status)]++
			if strings.Contains(a.body, "host_memory") {
				statuses["host_memory"]++
			}
			if a.status == http.StatusServiceUnavailable {
				f.g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
				f.g.Expect(w.Runs()[a.id]).To(BeZero())
			}
		})
	}
	group.Wait()
	t.Logf("most at the server %d KB, statuses %v", most.Load()>>10, statuses)
	f.g.Expect(most.Load()).To(BeNumerically("<=", serverBytes))
	f.g.Expect(most.Load()).To(BeNumerically(">", serverBytes/2))
	f.g.Expect(statuses["200"]).To(BeNumerically(">=", 50))
	f.g.Expect(statuses["host_memory"]).To(BeNumerically(">", 0))
	f.g.Expect(statuses["200"] + statuses["503"]).To(Equal(manyBodies))
	f.g.Expect(f.metric("held_bytes_refused_total")).To(Equal(fmt.Sprint(statuses["host_memory"])))
	f.g.Expect(f.peakMemory(h)).To(BeNumerically("<", endlessMemory))
}

// readSlowly reads a body in about 0.6 s.
func readSlowly(body io.Reader) {
	buffer := make([]byte, bodyBytes/20)
	for {
		if _, err := io.ReadFull(body, buffer); err != nil {
			return
		}
		time.Sleep(30 * time.Millisecond)
	}
}
