package connpool_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/connpool"
	"github.com/boragecourse/boragecourse/test/standin/rawserver"
)

// gate holds back the first goroutine that passes it after it was closed, until it is opened.
type gate struct {
	closed         atomic.Bool
	reached, opens chan struct{}
	open           func()
}

func newGate() *gate {
	g := &gate{reached: make(chan struct{}), opens: make(chan struct{})}
	g.open = sync.OnceFunc(func() { close(g.opens) })
	return g
}

func (g *gate) pass() {
	if g.closed.CompareAndSwap(true, false) {
		close(g.reached)
		<-g.opens
	}
}

// heldConn has a gate before its end.
type heldConn struct {
	*net.TCPConn
	end *gate
}

func (c heldConn) Close() error { c.end.pass(); return c.TCPConn.Close() }

// gates are the places at which a test holds back one side.
type gates struct{ end, clock, limit *gate }

func newHeldEnv(t *testing.T, handle func(c *rawserver.Conn)) (*env, gates) {
	e, held := newEnv(t, handle), gates{newGate(), newGate(), newGate()}
	e.pool = connpool.New(connpool.Options{
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return heldConn{conn.(*net.TCPConn), held.end}, nil
		},
		MaxHeaderBytes: 16 << 10, Metrics: e.reg,
		IdleLimit: func(connpool.Target) int {
			limit := int(e.limit.Load())
			held.limit.pass()
			return limit
		},
		Clock: func() time.Duration {
			now := time.Duration(e.clock.Load())
			held.clock.pass()
			return now
		},
	})
	t.Cleanup(e.pool.Close)
	t.Cleanup(func() { held.end.open(); held.clock.open(); held.limit.open() })
	return e, held
}

// Guards against a connection that is reused although the end of its request is about to close it.
func TestConnectionOfCanceledRequestIsNotReused(t *testing.T) {
	rest := make(chan struct{})
	e, held := newHeldEnv(t, func(c *rawserver.Conn) {
		if c.Number > 1 {
			echo(c)
			return
		}
		c.Request()
		c.Send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab")
		<-rest
		c.Send("cd")
		c.Request()
	})
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.target.Address+"/x", nil)
	e.g.Expect(err).NotTo(HaveOccurred())
	resp, err := e.pool.Do(ctx, e.target, req, connpool.AnyConnection)
	e.g.Expect(err).NotTo(HaveOccurred())
	held.end.closed.Store(true)
	cancel()
	<-held.end.reached
	close(rest)
	body, err := io.ReadAll(resp)
	e.g.Expect(err).NotTo(HaveOccurred())
	e.g.Expect(string(body)).To(Equal("abcd"))
	e.g.Expect(e.pool.Idle()).To(BeZero())
	e.expectServed("b", connpool.AnyConnection, 2)
	held.end.open()
	e.expectServed("c", connpool.AnyConnection, 2)
}

// Guards against a request on a connection that has been selected for closing.
func TestConnectionThatIsBeingClosedIsNotTaken(t *testing.T) {
	e, held := newHeldEnv(t, echo)
	e.expectServed("a", connpool.AnyConnection, 1)
	held.end.closed.Store(true)
	e.limit.Store(0)
	retained := make(chan struct{})
	go func() { defer close(retained); e.pool.Retain() }()
	<-held.end.reached
	e.limit.Store(4)
	e.expectServed("b", connpool.AnyConnection, 2)
	held.end.open()
	<-retained
	e.expectServed("c", connpool.AnyConnection, 2)
}

// Guards against a sweep that closes a connection which was used while the sweep stood still.
func TestSweepKeepsConnectionsUsedMeanwhile(t *testing.T) {
	e, held := newHeldEnv(t, echo)
	e.expectServed("a", connpool.AnyConnection, 1)
	e.clock.Add(int64(3 * time.Second))
	held.clock.closed.Store(true)
	<-held.clock.reached
	e.expectServed("b", connpool.AnyConnection, 1)
	e.clock.Add(int64(3 * time.Second))
	held.clock.open()
	time.Sleep(settle)
	e.g.Expect(e.pool.Idle()).To(Equal(1))
	e.expectServed("c", connpool.AnyConnection, 1)
}

// Guards against an idle connection to a server that is removed while the connection is returned.
func TestConnectionReturnedDuringRetainEnds(t *testing.T) {
	e, held := newHeldEnv(t, echo)
	held.limit.closed.Store(true)
	served := make(chan error, 1)
	go func() {
		_, err := e.do("a", connpool.AnyConnection)
		served <- err
	}()
	<-held.limit.reached
	e.limit.Store(0)
	retained := make(chan struct{})
	go func() { defer close(retained); e.pool.Retain() }()
	select {
	case <-retained:
	case <-time.After(10 * settle):
	}
	held.limit.open()
	e.g.Expect(<-served).To(Succeed())
	<-retained
	e.g.Expect(e.pool.Idle()).To(BeZero())
}
