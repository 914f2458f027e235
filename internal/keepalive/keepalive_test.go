package keepalive_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
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
	// before is called with each parsed request before the server passes it to the handler, if it is set.
	before func()
}

func start(t *testing.T) *fixture {
	t.Helper()
	return startOn(t, func(c *net.TCPConn) net.Conn { return c })
}

// startOn starts a server whose connections are replaced by those that wrap returns.
func startOn(t *testing.T, wrap func(*net.TCPConn) net.Conn) *fixture {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return startServer(t, &wrappingListener{Listener: tcp, wrap: wrap})
}

func startServer(t *testing.T, l net.Listener) *fixture {
	t.Helper()
	f := &fixture{address: l.Addr().String()}
	server := &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.requests.Add(1)
		time.Sleep(work)
		if pause := r.URL.Query().Get("pause"); pause != "" {
			d, _ := time.ParseDuration(pause)
			time.Sleep(d)
		}
		if r.Context().Err() != nil {
			f.cut.Add(1)
		}
		_, _ = io.Copy(w, r.Body)
	})}
	f.Server = keepalive.New(server, l)
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.before != nil {
			f.before()
		}
		handler.ServeHTTP(w, r)
	})
	go func() { _ = f.Serve() }()
	t.Cleanup(func() { _ = f.Close() })
	return f
}

type wrappingListener struct {
	net.Listener
	wrap func(*net.TCPConn) net.Conn
}

func (l *wrappingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(c.(*net.TCPConn)), nil
}

// gatedConn blocks reads before they begin (before) or after they have received something (after), once the gate is armed.
type gatedConn struct {
	*net.TCPConn
	armed         *atomic.Bool
	before, after chan struct{}
}

func (c *gatedConn) Read(b []byte) (int, error) {
	if c.armed.Load() && c.before != nil {
		<-c.before
	}
	n, err := c.TCPConn.Read(b)
	if n > 0 && c.armed.Load() && c.after != nil {
		<-c.after
	}
	return n, err
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

// response reads the next response, whose body must be that of request. last is set if it is the last one on the
// connection.
func (c *client) response() (last bool, err error) {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && string(body) != "body" {
		err = fmt.Errorf("unexpected body %q", body)
	}
	return resp.Close, err
}

func (c *client) exchange(text string) (last bool, err error) {
	if _, err := io.WriteString(c, text); err != nil {
		return false, err
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
		last, err := c.exchange(request)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(last).To(BeFalse())
	}
	f.AnnounceClose()
	last, err := later.exchange(request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(last).To(BeTrue())
	f.EndIdle()
	_, err = waiting.response()
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	last, err = f.dial(t).exchange(request)
	g.Expect(err).NotTo(HaveOccurred(), "new connections are served until the shutdown")
	g.Expect(last).To(BeTrue())
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
	stray := f.dial(t)
	_, err := stray.exchange(request + "\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	begun := time.Now()
	g.Expect(f.Shutdown(t.Context())).To(Succeed())
	g.Expect(time.Since(begun)).To(BeNumerically("<", 2*time.Second))
	f = start(t)
	_, err = io.WriteString(f.dial(t), request[:len(request)-1])
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(f.requests.Load).Should(Equal(int64(1)))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	var unfinished *keepalive.UnfinishedError
	g.Expect(f.Shutdown(ctx)).To(BeAssignableToTypeOf(unfinished))
}

// Guards against a request that is dropped or cut because it arrived just before its connection was to end: still unread
// in the kernel, or read by the goroutine of the connection but not seen by net/http yet.
func TestRequestsThatArriveBeforeTheEndAreServed(t *testing.T) {
	for _, read := range []bool{false, true} {
		t.Run(fmt.Sprintf("read: %t", read), func(t *testing.T) {
			g := NewWithT(t)
			var armed atomic.Bool
			gate := make(chan struct{})
			f := startOn(t, func(c *net.TCPConn) net.Conn {
				if read {
					return &gatedConn{TCPConn: c, armed: &armed, after: gate}
				}
				return &gatedConn{TCPConn: c, armed: &armed, before: gate}
			})
			armed.Store(!read)
			c := f.dial(t)
			// The gate opens for the read of the first request and for the one that net/http makes while it is served. The next one,
			// which waits for another request, is held.
			go func() {
				if !read {
					gate <- struct{}{}
					gate <- struct{}{}
				}
			}()
			_, err := c.exchange(request)
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(4 * work)
			armed.Store(true)
			_, err = io.WriteString(c, request[:20])
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(4 * work)
			f.EndIdle()
			close(gate)
			time.Sleep(4 * work)
			_, err = io.WriteString(c, request[20:])
			g.Expect(err).NotTo(HaveOccurred())
			_, err = c.response()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(f.cut.Load()).To(BeZero())
		})
	}
}

// Guards against a connection that becomes idle after the end of idle connections and stays open.
func TestConnectionsThatBecomeIdleLaterEnd(t *testing.T) {
	g := NewWithT(t)
	f := start(t)
	c := f.dial(t)
	_, err := io.WriteString(c, request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(f.requests.Load).Should(Equal(int64(1)))
	f.EndIdle()
	last, err := c.response()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(last).To(BeFalse())
	g.Expect(c.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
	_, err = c.response()
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
}

// Guards against a request that is cut by a shutdown because it was received completely with the previous one.
func TestPipelinedRequestOutlastsTheReceiveTime(t *testing.T) {
	g := NewWithT(t)
	f := start(t)
	c := f.dial(t)
	_, err := io.WriteString(c, request+strings.Replace(request, "/", "/?pause=800ms", 1))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.response()
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(f.requests.Load).Should(Equal(int64(2)))
	g.Expect(f.Shutdown(t.Context())).To(Succeed())
	_, err = c.response()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(f.cut.Load()).To(BeZero())
}

// Guards against a request that is refused for good, as malformed, because its head has not arrived completely as the time to receive ends.
func TestRequestsCutInTheHeadAreRefusedAsNotRun(t *testing.T) {
	for _, kept := range []bool{false, true} {
		for _, part := range []string{"POST ", "POST / HTTP/1.1\r\nHo", "POST / HTTP/1.1\r\nHost: a\r\n", request[:strings.Index(request, "body")-1]} {
			t.Run(fmt.Sprintf("kept: %t, %q", kept, part), func(t *testing.T) {
				g := NewWithT(t)
				l, err := net.Listen("tcp", "127.0.0.1:0")
				g.Expect(err).NotTo(HaveOccurred())
				f := startServer(t, l)
				c := f.dial(t)
				if kept {
					_, err := c.exchange(request)
					g.Expect(err).NotTo(HaveOccurred())
				}
				_, err = io.WriteString(c, part)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(f.Shutdown(t.Context())).To(Succeed())
				resp, err := http.ReadResponse(c.in, nil)
				g.Expect(err).NotTo(HaveOccurred())
				defer resp.Body.Close()
				g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
				g.Expect(resp.Header.Get("Retry-After")).To(Equal("0"))
				g.Expect(resp.Close).To(BeTrue())
				g.Expect(f.Refused()).To(Equal(int64(1)))
			})
		}
	}
}

// Guards against a response that is lost because the server closes the connection while bytes of the request are unread.
func TestEarlyResponsesAreNotReset(t *testing.T) {
	g := NewWithT(t)
	f := start(t)
	c := f.dial(t)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("x", 2<<20)+"\r\n\r\n")
	if err == nil {
		resp, err := http.ReadResponse(c.in, nil)
		g.Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		g.Expect(resp.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		_, err = io.ReadAll(resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
	}
}

// Guards against a second call of Serve, by a supervisor, that panics instead of reporting that the listener is closed.
func TestSecondServeReportsClosedListener(t *testing.T) {
	g := NewWithT(t)
	f := start(t)
	g.Expect(f.Shutdown(t.Context())).To(Succeed())
	g.Expect(f.Serve()).To(MatchError(http.ErrServerClosed))
}

// Guards against a record of a canceled request that does not tell who ended its connection, and how.
func TestEndsOfConnectionsAreTold(t *testing.T) {
	for want, end := range map[keepalive.End]func(s *keepalive.Server, caller *net.TCPConn) error{
		keepalive.ByHost:     func(s *keepalive.Server, _ *net.TCPConn) error { return s.Close() },
		keepalive.InputEnded: func(_ *keepalive.Server, caller *net.TCPConn) error { return caller.CloseWrite() },
		keepalive.Broken: func(_ *keepalive.Server, caller *net.TCPConn) error {
			return errors.Join(caller.SetLinger(0), caller.Close())
		},
	} {
		t.Run(want.String(), func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			started, ends := make(chan keepalive.End, 1), make(chan keepalive.End, 1)
			s := keepalive.New(&http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				started <- keepalive.EndOf(r.Context())
				<-r.Context().Done()
				ends <- keepalive.EndOf(r.Context())
			})}, l)
			go func() { _ = s.Serve() }()
			t.Cleanup(func() { _ = s.Close() })
			caller, err := net.Dial("tcp", l.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer caller.Close()
			_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			g.Expect(err).NotTo(HaveOccurred())
			g.Eventually(started).Should(Receive(Equal(keepalive.Open)))
			g.Expect(end(s, caller.(*net.TCPConn))).To(Succeed())
			g.Eventually(ends).Should(Receive(Equal(want)))
		})
	}
}

// Guards against a request that is cut at the end of the receive time because it has been parsed, but not passed to the handler yet.
func TestRequestsParsedAtTheEndOfTheReceiveTimeAreServed(t *testing.T) {
	for _, kept := range []bool{false, true} {
		t.Run(fmt.Sprintf("kept connection: %t", kept), func(t *testing.T) {
			g := NewWithT(t)
			var armed atomic.Bool
			parsed, gate := make(chan struct{}), make(chan struct{})
			f := startOn(t, func(c *net.TCPConn) net.Conn { return c })
			f.before = func() {
				if armed.Load() {
					close(parsed)
					<-gate
				}
			}
			c := f.dial(t)
			if kept {
				_, err := c.exchange(request)
				g.Expect(err).NotTo(HaveOccurred())
			}
			armed.Store(true)
			_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			g.Expect(err).NotTo(HaveOccurred())
			<-parsed
			done := make(chan error, 1)
			go func() { done <- f.Shutdown(t.Context()) }()
			time.Sleep(time.Second)
			close(gate)
			resp, err := http.ReadResponse(c.in, nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.Body.Close()).To(Succeed())
			g.Expect(<-done).To(Succeed())
			g.Expect(f.cut.Load()).To(BeZero())
		})
	}
}

// Guards against requests that are reset because the kernel has accepted their connections and the process has not when the
// listener closes.
func TestQueuedConnectionsAreServedByAShutdown(t *testing.T) {
	g := NewWithT(t)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	l := &heldListener{TCPListener: tcp.(*net.TCPListener), gate: make(chan struct{})}
	f := startServer(t, l)
	var callers []*client
	for range 20 {
		c := f.dial(t)
		_, err := io.WriteString(c, request)
		g.Expect(err).NotTo(HaveOccurred())
		callers = append(callers, c)
	}
	done := make(chan error, 1)
	go func() { done <- f.Shutdown(t.Context()) }()
	time.Sleep(4 * work)
	close(l.gate)
	for _, c := range callers {
		last, err := c.response()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(last).To(BeTrue())
	}
	g.Expect(<-done).To(Succeed())
	g.Expect(f.cut.Load()).To(BeZero())
	_, err = net.Dial("tcp", f.address)
	g.Expect(err).To(MatchError(syscall.ECONNREFUSED))
}

// heldListener holds back its first connection, and thereby all later ones, until the gate opens.
type heldListener struct {
	*net.TCPListener
	gate chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	<-l.gate
	return l.TCPListener.Accept()
}

// Guards against a shutdown that waits for the rest of a head because a part of it was unread as the receive time ended.
func TestShutdownEndsHeadsThatArriveAtTheEndOfTheReceiveTime(t *testing.T) {
	g := NewWithT(t)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	var armed atomic.Bool
	gate := make(chan struct{})
	armed.Store(true)
	l := &wrappingListener{Listener: tcp, wrap: func(c *net.TCPConn) net.Conn { return &gatedConn{TCPConn: c, armed: &armed, before: gate} }}
	s := keepalive.New(&http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: http.NotFoundHandler()}, l)
	go func() { _ = s.Serve() }()
	t.Cleanup(func() { _ = s.Close() })
	c, err := net.Dial("tcp", tcp.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_, err = io.WriteString(c, request[:20])
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(4 * work)
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(t.Context()) }()
	time.Sleep(time.Second)
	close(gate)
	g.Eventually(done).WithTimeout(2 * time.Second).Should(Receive(Succeed()))
}

// Guards against idle connections and slow heads whose number has no bound, and against requests that are cut to keep one.
func TestMaxWaitingEndsTheOldestConnections(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	release := make(chan struct{})
	server := keepalive.New(&http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-release
		}
	})}, l)
	server.SetMaxWaiting(4)
	go func() { _ = server.Serve() }()
	defer server.Close()
	open := func(head string) net.Conn {
		conn, err := net.Dial("tcp", l.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = conn.Close() })
		g.Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		_, err = io.WriteString(conn, head)
		g.Expect(err).NotTo(HaveOccurred())
		return conn
	}
	status := func(conn net.Conn) int {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		g.Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	const request = " HTTP/1.1\r\nHost: a\r\n\r\n"
	served := open("GET /wait" + request)
	slowHead := open("GET / HTTP/1.1\r\nHost")
	var idle []net.Conn
	for range 4 {
		idle = append(idle, open("GET /"+request))
		g.Expect(status(idle[len(idle)-1])).To(Equal(http.StatusOK))
		// The response arrives shortly before the connection is idle.
		time.Sleep(100 * time.Millisecond)
	}
	_, err = idle[0].Read(make([]byte, 1))
	g.Expect(err).To(MatchError(io.EOF))
	_, err = io.WriteString(idle[3], "GET /"+request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status(idle[3])).To(Equal(http.StatusOK))
	for _, c := range idle {
		_ = c.Close()
	}
	time.Sleep(1100 * time.Millisecond)
	for range 4 {
		open("")
	}
	g.Expect(status(slowHead)).To(Equal(http.StatusServiceUnavailable))
	close(release)
	g.Expect(status(served)).To(Equal(http.StatusOK))
}
