// Package keepalive serves HTTP on connections that carry several requests, and ends them without cutting a request.
//
// Server.Shutdown and Server.SetKeepAlivesEnabled of net/http close the connections that they take for idle. They take a
// connection for idle until its next request has been parsed, so that they can cut a request that was read meanwhile.
// Here the goroutine that reads from a connection decides: when it is told to end the connection, it does so only if it
// still waits for the beginning of a request. Connections are plain TCP, without TLS, and may not be hijacked.
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
	// receiveTime is how long Shutdown waits for requests that have not been received completely, or not at all on a new
	// connection.
	receiveTime = 500 * time.Millisecond
)

// Server is an HTTP server with its listener.
type Server struct {
	http     *http.Server
	listener net.Listener
	// served is closed when Serve has returned, after which no connection is added.
	served     chan struct{}
	servedOnce sync.Once
	// stopping is set when the listener is to close as soon as no connection is queued.
	stopping atomic.Bool
	// closing is set when responses announce the end of their connections.
	closing atomic.Bool
	// socketBuffer is the size of the connections' socket buffers, 0 for that of the system.
	socketBuffer int
	// maxWaiting is the number of connections without a request that the server keeps, 0 for any number. ended counts those that
	// were ended for it.
	maxWaiting int
	ended      atomic.Int64
	// refused counts the requests whose heads were cut.
	refused atomic.Int64

	mu    sync.Mutex
	conns map[*conn]bool
	// endIdle is set when idle connections are to end, endUnread when those are on which no complete request has arrived.
	endIdle, endUnread bool
}

// New returns a server for the connections of a listener. It sets ConnContext and ConnState of the HTTP server and wraps
// its handler. The HTTP server must have a ReadHeaderTimeout.
func New(server *http.Server, l net.Listener) *Server {
	s := &Server{http: server, listener: l, served: make(chan struct{}), conns: map[*conn]bool{}}
	server.Handler = s.wrap(server.Handler)
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*conn); ok && state == http.StateIdle {
			c.setPhase(idle)
		}
	}
	return s
}

// SetSocketBuffers sets the size of the send and receive buffers of connections, in bytes. It must be called before Serve.
func (s *Server) SetSocketBuffers(bytes int) { s.socketBuffer = bytes }

// SetMaxWaiting sets the number of connections without a request above which the oldest of them is ended when another one is
// accepted. It must be called before Serve.
func (s *Server) SetMaxWaiting(n int) { s.maxWaiting = n }

// Ended returns the number of connections that were ended because of SetMaxWaiting.
func (s *Server) Ended() int64 { return s.ended.Load() }

// headWeight is the number of connections without a request for which one counts whose request head is arriving. A head may
// have 64 KB.
const headWeight = 3

// minWait is how long a new connection may take to send its first request before SetMaxWaiting applies to it.
const minWait = time.Second

// endOldest ends the oldest connection that waits for another request if too many connections have no request, or else the oldest
// one whose request head has been arriving for minWait. s.mu must be held.
func (s *Server) endOldest() {
	waiting := 0
	var oldestIdle, oldestUnread *conn
	var idleSince, unreadSince time.Time
	for c := range s.conns {
		p, since, ending := c.state()
		if p == serving || ending {
			continue
		}
		waiting++
		if p == receiving {
			waiting += headWeight - 1
		}
		switch {
		case p == idle && (oldestIdle == nil || since.Before(idleSince)):
			oldestIdle, idleSince = c, since
		case (p == fresh || p == receiving) && (oldestUnread == nil || since.Before(unreadSince)):
			oldestUnread, unreadSince = c, since
		}
	}
	switch {
	case waiting <= s.maxWaiting:
	case oldestIdle != nil:
		s.ended.Add(1)
		oldestIdle.endWhen(true, s.endUnread)
	case time.Since(unreadSince) >= minWait:
		s.ended.Add(1)
		oldestUnread.endWhen(true, true)
	}
}

// Serve accepts connections until the server is shut down or closed. It returns the error that ended it.
func (s *Server) Serve() error {
	defer s.servedOnce.Do(func() { close(s.served) })
	return s.http.Serve((*listener)(s))
}

// AnnounceClose makes the responses to all later requests the last ones on their connections.
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
		c.endWhen(s.endIdle, s.endUnread)
	}
}

// UnfinishedError reports the number of requests that were cut at the end of a shutdown.
type UnfinishedError struct {
	Requests int
	Cause    error
}

func (e *UnfinishedError) Error() string {
	return fmt.Sprintf("%d requests unfinished at the end of the shutdown: %v", e.Requests, e.Cause)
}

func (e *UnfinishedError) Unwrap() error { return e.Cause }

// Shutdown accepts the connections that are queued, closes the listener, ends idle connections and waits until the requests
// on the others have ended. It closes what is left when ctx ends and returns an *UnfinishedError if that cuts requests. Serve
// must have been called.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopAccepting()
	s.AnnounceClose()
	s.EndIdle()
	select {
	case <-s.served:
	case <-ctx.Done():
	}
	receive := time.NewTimer(receiveTime)
	defer receive.Stop()
	poll := time.NewTicker(shutdownPoll)
	defer poll.Stop()
	for {
		if open, _ := s.count(); open == 0 {
			return s.http.Close()
		}
		select {
		case <-poll.C:
		case <-receive.C:
			s.mu.Lock()
			s.endUnread = true
			s.interrupt()
			s.mu.Unlock()
		case <-ctx.Done():
			_, requests := s.count()
			_ = s.http.Close()
			if requests == 0 {
				return nil
			}
			return &UnfinishedError{Requests: requests, Cause: context.Cause(ctx)}
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

// count returns the number of open connections and of requests being served.
func (s *Server) count() (open, requests int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.isServing() {
			requests++
		}
	}
	return len(s.conns), requests
}

// Refused returns the number of requests that were refused because their heads had not arrived when Shutdown stopped waiting for them.
func (s *Server) Refused() int64 { return s.refused.Load() }

// wrap marks the connection of a request as serving, and announces the end of the connection if the server does so.
func (s *Server) wrap(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.setPhase(serving)
		}
		if s.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

type connKey struct{}

// End tells what ended a connection.
type End int32

const (
	// Open connections have not ended.
	Open End = iota
	// ByHost is the end of a connection that this host has closed.
	ByHost
	// InputEnded is the end of a connection whose caller sends nothing more. The caller may have closed it, or only its sending
	// direction and still wait for the response: TCP does not tell the two apart.
	InputEnded
	// Broken is the end of a connection that was reset or lost.
	Broken
)

// String implements fmt.Stringer.
func (e End) String() string {
	switch e {
	case Open:
		return "open"
	case ByHost:
		return "closed-by-host"
	case InputEnded:
		return "input-ended"
	case Broken:
		return "broken"
	}
	return fmt.Sprintf("End(%d)", int32(e))
}

// DropUnsent makes the end of the connection on which a request was received drop what it has not sent, which the kernel
// would otherwise keep for a caller that does not read.
func DropUnsent(request context.Context) {
	if c, ok := request.Value(connKey{}).(*conn); ok {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
}

// EndOf returns what ended the connection on which a request was received.
func EndOf(request context.Context) End {
	if c, ok := request.Value(connKey{}).(*conn); ok {
		return End(c.end.Load())
	}
	return Open
}
