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

// phase is what a connection is waiting for.
type phase int

const (
	// fresh connections have carried no request yet.
	fresh phase = iota
	// busy connections have received at least a part of a request that has not been responded to.
	busy
	// idle connections wait for another request.
	idle
)

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// conn is a connection that one goroutine reads from. Other goroutines can ask it to end.
type conn struct {
	net.Conn
	server *Server
	closed atomic.Bool

	mu    sync.Mutex
	phase phase
	// idleDeadlines counts the read deadlines that were set since the connection became idle.
	idleDeadlines int
	// endIdle and endNew are those of the server.
	endIdle, endNew bool
	// deadline is the read deadline that the HTTP server has set. interrupted is set while past replaces it.
	deadline    time.Time
	interrupted bool
}

// Read implements net.Conn. It returns io.EOF if the connection is to end and no part of a request has arrived.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n > 0 {
			c.setPhase(busy)
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.restoreDeadline() {
			return n, err
		}
		if c.isBusy() {
			continue
		}
		if n := available(c.Conn, b); n > 0 {
			c.setPhase(busy)
			return n, nil
		}
		return 0, io.EOF
	}
}

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
	err = fd.Read(func(fd uintptr) bool {
		n, err = syscall.Read(int(fd), b)
		return true
	})
	if err != nil {
		return 0
	}
	return max(n, 0)
}

// end asks the connection to end as soon as it is in one of the selected phases.
func (c *conn) end(idle, fresh bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endIdle, c.endNew = idle, fresh
	c.interruptIfEnding()
}

// interruptIfEnding interrupts the read of a connection that is to end. c.mu must be held.
func (c *conn) interruptIfEnding() {
	if c.ending() && !c.interrupted {
		c.interrupted = true
		_ = c.Conn.SetReadDeadline(past)
	}
}

func (c *conn) ending() bool { return c.phase == idle && c.endIdle || c.phase == fresh && c.endNew }

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
	c.deadline = t
	if c.phase == idle {
		// The HTTP server sets the first deadline before it waits for the next request and the second one when the request has
		// begun, which may be without a read: its beginning can arrive together with the previous request.
		if c.idleDeadlines++; c.idleDeadlines == 2 {
			c.phase = busy
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

func (c *conn) setPhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.idleDeadlines = p, 0
	c.interruptIfEnding()
}

func (c *conn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == busy
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closed.Store(true)
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}
