package keepalive_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/keepalive"
)

const work = 5 * time.Millisecond

// fixture is a server whose handler takes some time for each request, and counts those whose context ended meanwhile.
type fixture struct {
	*keepalive.Server
	address       string
	requests, cut atomic.Int64
}

func start(t *testing.T) *fixture {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{address: l.Addr().String()}
	f.Server = keepalive.New(&http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.requests.Add(1)
		time.Sleep(work)
		if r.Context().Err() != nil {
			f.cut.Add(1)
		}
		_, _ = io.Copy(w, r.Body)
	})}, l)
	go func() { _ = f.Serve() }()
	t.Cleanup(func() { _ = f.Close() })
	return f
}

// client is a connection of a caller.
type client struct {
	net.Conn
	in *bufio.Reader
}

func (f *fixture) dial(t *testing.T) *client {
	t.Helper()
	c, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &client{c, bufio.NewReader(c)}
}

const request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"

// response returns the next response, whose body must be that of request.
func (c *client) response() (*http.Response, error) {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && string(body) != "body" {
		err = fmt.Errorf("unexpected body %q", body)
	}
	return resp, err
}

func (c *client) exchange(text string) (*http.Response, error) {
	if _, err := io.WriteString(c, text); err != nil {
		return nil, err
	}
	return c.response()
}

// Guards against a request that is cut because its connection is ended just after it was read, while the listener is open
// or at the end of the process.
func TestRequestsThatCrossTheEndAreServedOrNotRead(t *testing.T) {
	for name, end := range map[string]func(f *fixture) error{
		"end of idle connections": func(f *fixture) error { f.EndIdle(); return nil },
		"shutdown":                func(f *fixture) error { return f.Shutdown(context.Background()) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var served, requests, cut int64
			for range 10 {
				f := start(t)
				var group sync.WaitGroup
				var responses atomic.Int64
				begin := make(chan struct{})
				for range 40 {
					c := f.dial(t)
					pause := rand.N(2 * time.Millisecond)
					group.Go(func() {
						if _, err := c.exchange(request); err != nil {
							return
						}
						<-begin
						time.Sleep(pause)
						if _, err := c.exchange(request); err == nil {
							responses.Add(1)
						}
					})
				}
				g.Eventually(f.requests.Load).Should(Equal(int64(40)))
				time.Sleep(4 * work)
				close(begin)
				time.Sleep(time.Millisecond)
				g.Expect(end(f)).To(Succeed())
				group.Wait()
				served, requests, cut = served+responses.Load(), requests+f.requests.Load()-40, cut+f.cut.Load()
			}
			g.Expect(cut).To(BeZero())
			g.Expect(served).To(Equal(requests))
			g.Expect(served).To(BeNumerically(">", 0))
		})
	}
}

// Guards against an idle connection that outlives its end, and against responses that do not announce it.
func TestIdleConnectionsEnd(t *testing.T) {
	g := NewWithT(t)
	f := start(t)
	waiting, later := f.dial(t), f.dial(t)
	for _, c := range []*client{waiting, later} {
		resp, err := c.exchange(request)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.Close).To(BeFalse())
	}
	f.AnnounceClose()
	resp, err := later.exchange(request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Close).To(BeTrue())
	f.EndIdle()
	_, err = waiting.response()
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	resp, err = f.dial(t).exchange(request)
	g.Expect(err).NotTo(HaveOccurred(), "new connections are served until the shutdown")
	g.Expect(resp.Close).To(BeTrue())
}

// Guards against a request that is cut when idle connections end while it is only partly received, arrived together with
// the previous one, or is the first one of its connection.
func TestStartedRequestsAreServedAfterTheEndOfIdleConnections(t *testing.T) {
	for name, c := range map[string]struct {
		before, after string
		earlier       int
	}{
		"part of the head received": {request + request[:10], request[10:], 1},
		"part of the body received": {request + request[:len(request)-2], request[len(request)-2:], 1},
		"pipelined":                 {request + request, "", 0},
		"first request, no byte":    {"", request, 0},
		"first request, one byte":   {request[:1], request[1:], 0},
	} {
		for _, end := range []string{"idle", "shutdown"} {
			t.Run(name+", "+end, func(t *testing.T) {
				g := NewWithT(t)
				f := start(t)
				conn := f.dial(t)
				_, err := io.WriteString(conn, c.before)
				g.Expect(err).NotTo(HaveOccurred())
				for range c.earlier {
					_, err := conn.response()
					g.Expect(err).NotTo(HaveOccurred())
				}
				time.Sleep(2 * work / 5)
				done := make(chan error, 1)
				if end == "idle" {
					f.EndIdle()
					done <- nil
				} else {
					go func() { done <- f.Shutdown(t.Context()) }()
				}
				time.Sleep(4 * work)
				_, err = io.WriteString(conn, c.after)
				g.Expect(err).NotTo(HaveOccurred())
				if want := strings.Count(c.before+c.after, "POST") - c.earlier; end == "idle" || want == 1 {
					for range want {
						_, err := conn.response()
						g.Expect(err).NotTo(HaveOccurred())
					}
				}
				g.Expect(<-done).To(Succeed())
				g.Expect(f.cut.Load()).To(BeZero())
			})
		}
	}
}

// Guards against a shutdown that never ends because of a connection without a request, and against one that reports
// success although it cut a request.
func TestShutdownIsBounded(t *testing.T) {
	g := NewWithT(t)
	f := start(t)
	f.dial(t)
	begun := time.Now()
	g.Expect(f.Shutdown(t.Context())).To(Succeed())
	g.Expect(time.Since(begun)).To(BeNumerically("<", 2*time.Second))
	f = start(t)
	_, err := io.WriteString(f.dial(t), request[:len(request)-1])
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(f.requests.Load).Should(Equal(int64(1)))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	var unfinished *keepalive.UnfinishedError
	g.Expect(f.Shutdown(ctx)).To(BeAssignableToTypeOf(unfinished))
}
