package openai

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/resetconn"
)

// stoppableConn is a connection to a backend server. After stop, every write fails without sending anything, which makes
// net/http close the connection.
type stoppableConn struct {
	resetconn.Conn
	stopped atomic.Pointer[error]
}

func (c *stoppableConn) stop(cause error) { c.stopped.Store(&cause) }

// Write implements net.Conn.
func (c *stoppableConn) Write(b []byte) (int, error) {
	if cause := c.stopped.Load(); cause != nil {
		return 0, *cause
	}
	return c.Conn.Write(b)
}

func dialStoppable(d *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &stoppableConn{Conn: resetconn.Conn{Conn: conn}}, nil
	}
}

// sendCheck calls Attempt.MaySend for each connection that net/http takes for one call, before the call is written to it.
type sendCheck struct {
	maySend func() error

	mu sync.Mutex
	// allowed is set once the call may have been written, refusal when it was stopped on the last connection.
	allowed bool
	refusal error
}

// gotConn implements httptrace.ClientTrace.GotConn.
func (s *sendCheck) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusal = nil
	if s.maySend != nil {
		s.refusal = s.maySend()
	}
	if s.refusal == nil {
		s.allowed = true
		return
	}
	conn, ok := info.Conn.(*stoppableConn)
	if !ok {
		// The call is written to a connection that cannot be stopped, so it may run.
		s.allowed = true
		return
	}
	conn.stop(s.refusal)
}

// failure returns the error of package engine for a call that ended without a response.
func (s *sendCheck) failure(server string, err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.allowed:
		return &engine.FailedError{Server: server, Cause: err}
	case s.refusal != nil:
		return &engine.NotSentError{Server: server, Cause: s.refusal}
	}
	return &engine.ConnectError{Server: server, Cause: err}
}
