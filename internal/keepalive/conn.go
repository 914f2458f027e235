package keepalive

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// phase is the state of a connection with regard to its next request.
type phase int

const (
	// fresh connections have received nothing yet.
	fresh phase = iota
	// receiving connections have received a part of a request head.
	receiving
	// serving connections have a request whose head has been parsed and that the handler has not finished.
	serving
	// idle connections wait for another request.
	idle
)

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// conn is a connection that one goroutine reads from. Other goroutines can ask it to end.
type conn struct {
	net.Conn
	server *Server
	// end is the End of the connection; the first event that ends it counts.
	end atomic.Int32

	mu    sync.Mutex
	phase phase
	// since is when the connection was accepted, or became idle or serving.
	since time.Time
	// idleDeadlines counts the read deadlines that were set since the connection became idle.
	idleDeadlines int
	// endIdle and endUnread are those of the server.
	endIdle, endUnread bool
	// headCut is set when the host has ended the connection in the middle of a request head.
	headCut bool
	// deadline is the read deadline that the HTTP server has set. interrupted is set while past replaces it.
	deadline    time.Time
	interrupted bool
}

// Read implements net.Conn. It returns io.EOF if the connection is to end and nothing more has arrived on it.
func (c *conn) Read(b []byte) (int, error) {
	for {
		if c.isCut() {
			// net/http may overlook one end of input between two lines of a head, and then read the rest as other lines.
			return 0, io.EOF
		}
		n, err := c.Conn.Read(b)
		if n > 0 {
			c.received()
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.restoreDeadline() {
			c.failed(err)
			return n, err
		}
		if !c.ending() {
			continue
		}
		if n := available(c.Conn, b); n > 0 {
			c.received()
			return n, nil
		}
		c.ended(ByHost)
		c.cutHead()
		return 0, io.EOF
	}
}

func (c *conn) cutHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headCut = c.phase == receiving
}

func (c *conn) isCut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.headCut
}

// headRefusal is the response to a request whose head has not arrived completely when the host ends. The listener is closed, so that
// no retry can reach this host.
const headRefusal = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 0\r\nContent-Length: 0\r\n\r\n"

// Write implements net.Conn. net/http takes a head that the host has cut for a malformed one and responds with status 400, which
// callers do not retry; headRefusal is sent in its place.
func (c *conn) Write(b []byte) (int, error) {
	if !c.isCut() {
		return c.Conn.Write(b)
	}
	c.server.refused.Add(1)
	if _, err := io.WriteString(c.Conn, headRefusal); err != nil {
		return 0, err
	}
	return len(b), nil
}

// failed records why no more can be read. A read that timed out says nothing about the connection.
func (c *conn) failed(err error) {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
	case errors.Is(err, io.EOF):
		c.ended(InputEnded)
	default:
		c.ended(Broken)
	}
}

func (c *conn) ended(by End) { c.end.CompareAndSwap(int32(Open), int32(by)) }

// available reads what has arrived on a connection without blocking. It returns 0 if nothing has.
func available(conn net.Conn, b []byte) (n int) {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	fd, err := raw.SyscallConn()
	if err != nil {
		return 0
	}
	// Unlike Read, Control does not depend on the read deadline, which another goroutine may have moved to the past again.
	var readErr error
	err = fd.Control(func(fd uintptr) { n, readErr = syscall.Read(int(fd), b) })
	if err != nil || readErr != nil {
		return 0
	}
	return n
}

// endWhen asks the connection to end as soon as it is in one of the selected phases.
func (c *conn) endWhen(endIdle, endUnread bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endIdle, c.endUnread = endIdle, endUnread
	c.interruptIfEnding()
}

// interruptIfEnding interrupts the read of a connection that is to end. c.mu must be held.
func (c *conn) interruptIfEnding() {
	if c.endsNow() && !c.interrupted {
		c.interrupted = true
		_ = c.Conn.SetReadDeadline(past)
	}
}

// endsNow reports whether the connection is to end in its present phase. c.mu must be held.
func (c *conn) endsNow() bool {
	switch c.phase {
	case idle:
		return c.endIdle
	case fresh, receiving:
		return c.endUnread
	default:
		return false
	}
}

func (c *conn) ending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endsNow()
}

// restoreDeadline ends an interruption. It returns false if there was none.
func (c *conn) restoreDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		return false
	}
	c.interrupted = false
	_ = c.Conn.SetReadDeadline(c.deadline)
	return true
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == receiving && t.IsZero() && !c.deadline.IsZero() {
		// net/http lifts the deadline of the head once it has parsed it. From then on it reads to notice that the caller has gone, and
		// takes the end of input for that, although the handler has not begun yet.
		c.phase = serving
	}
	c.deadline = t
	if c.phase == idle {
		// net/http sets the first deadline before it waits for the next request and the second one when the request has begun.
		// That may be without a read, since its beginning can arrive together with the previous request.
		if c.idleDeadlines++; c.idleDeadlines == 2 {
			c.phase = receiving
		}
	}
	if c.interrupted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// received records that bytes have arrived.
func (c *conn) received() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == fresh || c.phase == idle {
		c.phase = receiving
	}
	// Restoring the deadline has ended the interruption, but the connection may still have to end before the rest arrives.
	c.interruptIfEnding()
}

func (c *conn) setPhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.idleDeadlines, c.since = p, 0, time.Now()
	c.interruptIfEnding()
}

// state returns the phase, since when it lasts, and whether the connection has been asked to end in it.
func (c *conn) state() (p phase, since time.Time, ending bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase, c.since, c.endsNow()
}

func (c *conn) isServing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == serving
}

// CloseWrite ends the sending direction. net/http uses it to end a connection without losing its last response.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.ended(ByHost)
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}
