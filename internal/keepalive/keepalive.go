// Package keepalive serves HTTP on connections that carry several requests, and ends them without cutting a request.
//
// Server.Shutdown and Server.SetKeepAlivesEnabled of net/http close the connections that they take for idle. They take a
// connection for idle until its next request has been parsed, so that they can cut a request that was read meanwhile.
// Here the goroutine that reads from a connection decides: when it is told to end the connection, it does so only if no
// part of a request has arrived.
package keepalive

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// shutdownPoll is the interval at which Shutdown counts the open connections.
	shutdownPoll = 5 * time.Millisecond
	// firstRequestTime is how long Shutdown waits for the first request on a new connection.
	firstRequestTime = 500 * time.Millisecond
)

// Server is an HTTP server with its listener.
type Server struct {
	http     *http.Server
	listener net.Listener
	// served is closed when Serve has returned, after which no connection is added.
	served chan struct{}
	// closing is set when responses announce the end of their connections.
	closing atomic.Bool

	mu    sync.Mutex
	conns map[*conn]bool
	// endIdle and endNew are set when connections in these phases are to end.
	endIdle, endNew bool
}

// New returns a server for the connections of a listener. It sets ConnContext and ConnState of the HTTP server and wraps
// its handler.
func New(server *http.Server, l net.Listener) *Server {
	s := &Server{http: server, listener: l, served: make(chan struct{}), conns: map[*conn]bool{}}
	server.Handler = s.wrap(server.Handler)
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	server.ConnState = func(c net.Conn, state http.ConnState) {
		switch c, ok := c.(*conn); {
		case !ok:
		case state == http.StateActive:
			c.setPhase(busy)
		case state == http.StateIdle:
			c.setPhase(idle)
		}
	}
	return s
}

// Serve accepts connections until the server is shut down or closed. It returns the error that ended it.
func (s *Server) Serve() error {
	defer close(s.served)
	return s.http.Serve((*listener)(s))
}

// AnnounceClose makes the responses whose header has not been sent yet, and all later ones, the last ones on their
// connections.
func (s *Server) AnnounceClose() { s.closing.Store(true) }

// EndIdle ends the connections that wait for another request, now and whenever a connection becomes idle later.
func (s *Server) EndIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endIdle = true
	s.interrupt()
}

// interrupt wakes the readers of all connections that are to end. s.mu must be held.
func (s *Server) interrupt() {
	for c := range s.conns {
		c.end(s.endIdle, s.endNew)
	}
}

// UnfinishedError reports connections that were cut at the end of a shutdown.
type UnfinishedError struct {
	// Busy is the number of connections on which at least a part of a request had arrived.
	Busy  int
	Cause error
}

func (e *UnfinishedError) Error() string {
	return fmt.Sprintf("%d requests unfinished at the end of the shutdown: %v", e.Busy, e.Cause)
}

func (e *UnfinishedError) Unwrap() error { return e.Cause }

// Shutdown closes the listener, ends idle connections and waits until the requests on the others have ended. It closes
// what is left when ctx ends and returns an *UnfinishedError if that cuts requests. Serve must have been called.
func (s *Server) Shutdown(ctx context.Context) error {
	_ = s.listener.Close()
	s.AnnounceClose()
	s.EndIdle()
	select {
	case <-s.served:
	case <-ctx.Done():
	}
	firstRequest := time.NewTimer(firstRequestTime)
	defer firstRequest.Stop()
	poll := time.NewTicker(shutdownPoll)
	defer poll.Stop()
	for {
		open, working := s.count()
		if open == 0 {
			return s.http.Close()
		}
		select {
		case <-poll.C:
		case <-firstRequest.C:
			s.mu.Lock()
			s.endNew = true
			s.interrupt()
			s.mu.Unlock()
		case <-ctx.Done():
			_ = s.http.Close()
			if working == 0 {
				return nil
			}
			return &UnfinishedError{Busy: working, Cause: context.Cause(ctx)}
		}
	}
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	return errors.Join(ignoreClosed(s.listener.Close()), s.http.Close())
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// count returns the number of open connections and of those that are busy.
func (s *Server) count() (open, working int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.isBusy() {
			working++
		}
	}
	return len(s.conns), working
}

// wrap marks the connection of each request as busy. Without that, a request that arrived together with the previous one
// would leave its connection idle, since nothing more is read from it.
func (s *Server) wrap(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.setPhase(busy)
		}
		handler.ServeHTTP(&responseWriter{ResponseWriter: w, server: s}, r)
	})
}

// responseWriter announces the end of the connection in the response header if the server does so.
type responseWriter struct {
	http.ResponseWriter
	server  *Server
	started bool
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if !w.started && w.server.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	w.started = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(b []byte) (int, error) {
	if !w.started {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap supports http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

type connKey struct{}

// ClosedByHost reports whether this host has closed the connection of a request. It returns false while the request is
// served on an open connection, and when the caller has closed it.
func ClosedByHost(request context.Context) bool {
	c, ok := request.Value(connKey{}).(*conn)
	return ok && c.closed.Load()
}

// listener makes the connections that a Server accepts.
type listener Server

func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, server: (*Server)(l)}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	c.end(l.endIdle, l.endNew)
	return c, nil
}

func (l *listener) Close() error { return l.listener.Close() }

func (l *listener) Addr() net.Addr { return l.listener.Addr() }
