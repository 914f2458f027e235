// Package resetconn makes the reader of a connection see a reset of which a concurrent write has learned.
package resetconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// WriteError is returned by a read at the end of a connection on which a write has failed, so that the other side may not have
// ended what it was sending.
type WriteError struct{ Cause error }

// Error implements error.
func (e *WriteError) Error() string { return fmt.Sprintf("connection failed in a write: %v", e.Cause) }

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.Cause }

// Conn is a connection on which a read returns io.EOF only if the other side has ended it. The kernel reports the error of a socket
// to one call; if that is a write, reads return io.EOF from then on, as if a response without a length were complete.
type Conn struct {
	net.Conn
	// mu is held during writes. failure is the error of the first one that failed.
	mu      sync.Mutex
	failure error
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil && c.failure == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.failure = err
	}
	return n, err
}

// Read implements net.Conn. At the end of the connection it also ends writing, since nothing can be received for what is still sent.
// It returns *WriteError in place of io.EOF if a write has failed.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if failure := c.endWriting(); failure != nil {
		return n, &WriteError{Cause: failure}
	}
	return n, err
}

// endWriting interrupts a write in progress and returns the error of the first write that failed for another reason.
func (c *Conn) endWriting() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}
