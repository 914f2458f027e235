// Package keepalive serves HTTP on connections that carry several requests, and records which side has ended one.
package keepalive

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Server is an HTTP server with its listener.
type Server struct {
	*http.Server
	listener *listener
}

// New returns a server for the connections of a listener. It sets ConnContext of the HTTP server.
func New(server *http.Server, l net.Listener) *Server {
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	return &Server{Server: server, listener: &listener{l}}
}

// Serve accepts connections until the server or the listener is closed.
func (s *Server) Serve() error { return s.Server.Serve(s.listener) }

type connKey struct{}

// ClosedByHost reports whether this host has closed the connection of a request. It returns false while the request is
// served on an open connection, and when the caller has closed it.
func ClosedByHost(request context.Context) bool {
	c, ok := request.Value(connKey{}).(*conn)
	return ok && c.closed.Load()
}

type listener struct{ net.Listener }

func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted}, nil
}

type conn struct {
	net.Conn
	closed atomic.Bool
}

func (c *conn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}
