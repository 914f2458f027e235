package connpool_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/connpool"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/test/standin/rawserver"
)

// settle is long enough for bytes that a stand-in has sent over loopback to arrive.
const settle = 30 * time.Millisecond

// env is a pool with one backend server on a clock that the test moves.
type env struct {
	t      *testing.T
	g      *WithT
	pool   *connpool.Pool
	server *rawserver.Server
	target connpool.Target
	limit  atomic.Int64
	clock  atomic.Int64
	reg    *metrics.Registry
}

func newEnv(t *testing.T, handle func(c *rawserver.Conn)) *env {
	t.Helper()
	e := &env{t: t, g: NewWithT(t), reg: metrics.New()}
	e.limit.Store(4)
	var err error
	e.server, err = rawserver.Start(handle)
	e.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(e.server.Close)
	e.target = connpool.Target{Key: "server-1", Address: e.server.Addr}
	e.pool = connpool.New(connpool.Options{
		Dial: (&net.Dialer{}).DialContext, MaxHeaderBytes: 16 << 10, Metrics: e.reg,
		IdleLimit: func(t connpool.Target) int { return int(e.limit.Load()) },
		Clock:     func() time.Duration { return time.Duration(e.clock.Load()) },
	})
	t.Cleanup(e.pool.Close)
	return e
}

// echo responds to every request with its id, so that a response of another request is noticed.
func echo(c *rawserver.Conn) {
	for r := c.Request(); r != nil; r = c.Request() {
		c.Respond(r, r.Header.Get("Request-Id"))
	}
}

func (e *env) do(id string, reuse connpool.Reuse) (string, error) {
	ctx, cancel := context.WithTimeout(e.t.Context(), 5*time.Second)
	defer cancel()
	return e.doContext(ctx, id, reuse, "")
}

func (e *env) doContext(ctx context.Context, id string, reuse connpool.Reuse, body string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.target.Address+"/x", strings.NewReader(body))
	e.g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Request-Id", id)
	resp, err := e.pool.Do(ctx, e.target, req, reuse)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	text, err := io.ReadAll(resp)
	return string(text), err
}

func (e *env) closed(reason string) int64 {
	return e.reg.Count("backend_connections_closed", metrics.L("reason", reason))
}

// expectServed checks that a request gets its own response on a connection with the given number.
func (e *env) expectServed(id string, reuse connpool.Reuse, connections int) {
	e.t.Helper()
	body, err := e.do(id, reuse)
	e.g.Expect(err).NotTo(HaveOccurred())
	e.g.Expect(body).To(Equal(id))
	e.g.Expect(e.server.Accepted()).To(Equal(connections))
}

// signaling returns a handler that calls respond for each request, and a channel that gets a value after each call.
func signaling(respond func(c *rawserver.Conn, r *http.Request)) (handle func(c *rawserver.Conn), done chan struct{}) {
	done = make(chan struct{}, 3)
	return func(c *rawserver.Conn) {
		for r := c.Request(); r != nil; r = c.Request() {
			respond(c, r)
			done <- struct{}{}
		}
	}, done
}

// expectNewConnections checks that each of three requests gets its own response on a new connection. The next request is
// sent only after done has received a value: the pool can't tell what the server sends or closes later from its reaction
// to that request.
func (e *env) expectNewConnections(done <-chan struct{}) {
	e.t.Helper()
	for i, id := range []string{"a", "b", "c"} {
		e.expectServed(id, connpool.AnyConnection, i+1)
		<-done
		time.Sleep(settle)
	}
}

// Guards against a connection for each request, and against reuse where the request asked for a new connection.
func TestConnectionsAreReused(t *testing.T) {
	e := newEnv(t, echo)
	for _, id := range []string{"a", "b", "c"} {
		e.expectServed(id, connpool.AnyConnection, 1)
	}
	e.expectServed("d", connpool.RecentConnection, 1)
	e.expectServed("e", connpool.NewConnection, 2)
	e.g.Expect(e.pool.Idle()).To(Equal(2))
}

// Guards against surplus bytes of one response that are read as the start of the next: whole responses, parts of
// one, and bytes that are no response, sent with the response or shortly after it.
func TestSurplusBytesCloseTheConnection(t *testing.T) {
	second := "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Stamp: s\r\nContent-Length: 5\r\n\r\nother"
	for name, surplus := range map[string]string{"second response": second, "part of a response": second[:20], "other bytes": "\x00\x01garbage", "line end": "\r\n"} {
		for when, pause := range map[string]time.Duration{"at once": 0, "late": settle / 3} {
			t.Run(name+" "+when, func(t *testing.T) {
				handle, done := signaling(func(c *rawserver.Conn, r *http.Request) {
					id := r.Header.Get("Request-Id")
					if pause == 0 {
						c.Send("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s%s", id, len(id), id, surplus)
						return
					}
					c.Respond(r, id)
					time.Sleep(pause)
					c.Send("%s", surplus)
				})
				e := newEnv(t, handle)
				e.expectNewConnections(done)
				e.g.Expect(e.closed("surplus-bytes") + e.closed("late-bytes")).To(BeNumerically(">=", 2))
			})
		}
	}
}

// Guards against a reused connection whose server has closed it, announced the end, or closed one direction only.
func TestClosedConnectionsAreNotReused(t *testing.T) {
	for name, end := range map[string]func(c *rawserver.Conn, r *http.Request){
		"closed": func(c *rawserver.Conn, r *http.Request) { c.Respond(r, r.Header.Get("Request-Id")); c.Close() },
		"half-closed": func(c *rawserver.Conn, r *http.Request) {
			c.Respond(r, r.Header.Get("Request-Id"))
			_ = c.Conn.(*net.TCPConn).CloseWrite()
		},
		"reset": func(c *rawserver.Conn, r *http.Request) {
			c.Respond(r, r.Header.Get("Request-Id"))
			time.Sleep(settle / 3)
			_ = c.Conn.(*net.TCPConn).SetLinger(0)
			c.Close()
		},
		"announced": func(c *rawserver.Conn, r *http.Request) {
			id := r.Header.Get("Request-Id")
			c.Send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
		},
		"without length": func(c *rawserver.Conn, r *http.Request) {
			c.Send("HTTP/1.1 200 OK\r\n\r\n%s", r.Header.Get("Request-Id"))
			c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			handle, done := signaling(end)
			newEnv(t, handle).expectNewConnections(done)
		})
	}
}

// Guards against a client that sends a request again on its own after the server has dropped the connection between the
// check and the send: the request may have arrived, and the retry would escape the retry budget.
func TestDroppedConnectionIsReportedAndNotRetried(t *testing.T) {
	var arrived atomic.Int64
	e := newEnv(t, func(c *rawserver.Conn) {
		c.Respond(c.Request(), "a")
		if c.Request() != nil {
			arrived.Add(1)
		}
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
	})
	e.expectServed("a", connpool.AnyConnection, 1)
	_, err := e.do("b", connpool.AnyConnection)
	var dropped *connpool.DroppedConnectionError
	e.g.Expect(errors.As(err, &dropped)).To(BeTrue(), "%v", err)
	e.g.Expect(arrived.Load()).To(BeEquivalentTo(1))
	e.g.Expect(e.server.Accepted()).To(Equal(1))
	e.g.Expect(e.pool.Idle()).To(BeZero())
}

// Guards against a failure of a new connection that is taken for a dropped idle one.
func TestFailureOnNewConnectionIsNoDrop(t *testing.T) {
	e := newEnv(t, func(c *rawserver.Conn) { c.Request() })
	_, err := e.do("a", connpool.AnyConnection)
	var failed *connpool.ExchangeError
	e.g.Expect(errors.As(err, &failed)).To(BeTrue(), "%v", err)
}

// Guards against a server that fails while it works on a request and counts as healthy, because the request came on a
// reused connection.
func TestFailureDuringWorkIsNoDrop(t *testing.T) {
	var e *env
	e = newEnv(t, func(c *rawserver.Conn) {
		c.Respond(c.Request(), "a")
		c.Request()
		e.clock.Add(int64(60 * time.Millisecond))
	})
	e.expectServed("a", connpool.AnyConnection, 1)
	_, err := e.do("b", connpool.AnyConnection)
	var failed *connpool.ExchangeError
	e.g.Expect(errors.As(err, &failed)).To(BeTrue(), "%v", err)
}

// Guards against a response that was cut, canceled or left unread and whose connection carries another request.
func TestIncompleteResponsesCloseTheConnection(t *testing.T) {
	e := newEnv(t, func(c *rawserver.Conn) {
		for r := c.Request(); r != nil; r = c.Request() {
			id := r.Header.Get("Request-Id")
			if id == "cut" || id == "canceled" {
				c.Send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart")
				if id == "cut" {
					return
				}
				continue
			}
			c.Respond(r, id)
		}
	})
	_, err := e.do("cut", connpool.AnyConnection)
	e.g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	e.expectServed("a", connpool.AnyConnection, 2)
	ctx, cancel := context.WithTimeout(t.Context(), settle)
	defer cancel()
	_, err = e.doContext(ctx, "canceled", connpool.AnyConnection, "")
	e.g.Expect(err).To(HaveOccurred())
	e.expectServed("b", connpool.AnyConnection, 3)
}

// Guards against the rest of a long body that the server reads as the next request: it responds before it has read the
// body and keeps the connection.
func TestEarlyResponseClosesTheConnection(t *testing.T) {
	e := newEnv(t, func(c *rawserver.Conn) {
		if c.Number == 1 {
			buffer := make([]byte, 512)
			_, _ = c.Read(buffer)
			c.Send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly")
			time.Sleep(settle)
			_, _ = io.Copy(io.Discard, c.Conn)
			return
		}
		echo(c)
	})
	body, err := e.doContext(t.Context(), "a", connpool.AnyConnection, strings.Repeat("x", 8<<20))
	e.g.Expect(err).NotTo(HaveOccurred())
	e.g.Expect(body).To(Equal("early"))
	e.expectServed("b", connpool.AnyConnection, 2)
}

// Guards against connections to an incarnation that is gone: its address may belong to another service by now.
func TestConnectionsEndWithTheirServer(t *testing.T) {
	e := newEnv(t, echo)
	e.expectServed("a", connpool.AnyConnection, 1)
	reborn := e.target
	reborn.Key = "server-2"
	e.target = reborn
	e.expectServed("b", connpool.AnyConnection, 2)
	e.limit.Store(0)
	e.pool.Retain()
	e.g.Expect(e.pool.Idle()).To(BeZero())
	e.expectServed("c", connpool.AnyConnection, 3)
	e.g.Expect(e.pool.Idle()).To(BeZero())
	e.g.Expect(e.closed("server-gone")).To(BeEquivalentTo(3))
}

// Guards against connections that stay idle longer than the server announced, against requests that must not be sent
// twice on a connection that may have been dropped, and against idle connections without bound.
func TestIdleLimits(t *testing.T) {
	e := newEnv(t, func(c *rawserver.Conn) {
		for r := c.Request(); r != nil; r = c.Request() {
			id := r.Header.Get("Request-Id")
			c.Send("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
		}
	})
	e.expectServed("a", connpool.RecentConnection, 1)
	e.clock.Add(int64(2 * time.Second))
	e.expectServed("b", connpool.RecentConnection, 2)
	e.clock.Add(int64(4 * time.Second))
	e.expectServed("c", connpool.AnyConnection, 3)
	e.limit.Store(1)
	e.expectServed("d", connpool.NewConnection, 4)
	e.g.Expect(e.closed("limit")).To(BeEquivalentTo(1))
	e.clock.Add(int64(time.Minute))
	e.g.Eventually(e.pool.Idle).WithTimeout(3 * time.Second).Should(BeZero())
}

// Guards against a head that never ends: the memory for it must be bounded, and the connection closed.
func TestEndlessHeads(t *testing.T) {
	for name, part := range map[string]string{
		"status line": "x", "one header line": "HTTP/1.1 200 OK\r\nA: ", "header lines": "HTTP/1.1 200 OK\r\n", "informational": "",
	} {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int64, 1)
			e := newEnv(t, func(c *rawserver.Conn) {
				c.Request()
				c.Send("%s", part)
				switch name {
				case "header lines":
					sent <- c.SendForever("B: value\r\n")
				case "informational":
					sent <- c.SendForever("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
				default:
					sent <- c.SendForever(strings.Repeat("x", 512))
				}
			})
			_, err := e.do("a", connpool.AnyConnection)
			e.g.Expect(err).To(HaveOccurred())
			e.g.Eventually(sent).WithTimeout(2 * time.Second).Should(Receive(BeNumerically("<", 32<<20)))
			e.g.Expect(e.pool.Idle()).To(BeZero())
		})
	}
}
