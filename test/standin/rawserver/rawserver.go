// Package rawserver is a stand-in for a backend server that writes any bytes it likes, at any time, to its connections.
package rawserver

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
)

// Conn is one connection that a client has opened.
type Conn struct {
	net.Conn
	// Number counts the connections of the server from 1.
	Number int
	in     *bufio.Reader
}

// RequestHead reads the head of the next request, or returns nil when the client has closed the connection.
func (c *Conn) RequestHead() *http.Request {
	r, err := http.ReadRequest(c.in)
	if err != nil {
		return nil
	}
	return r
}

// Request reads the next request with its body, or returns nil when the client has closed the connection.
func (c *Conn) Request() *http.Request {
	r := c.RequestHead()
	if r == nil {
		return nil
	}
	buffer := make([]byte, 4<<10)
	for {
		if _, err := r.Body.Read(buffer); err != nil {
			return r
		}
	}
}

// Send writes text and ignores errors, since the client may have closed the connection.
func (c *Conn) Send(format string, args ...any) {
	_, _ = fmt.Fprintf(c, format, args...)
}

// Respond sends a complete response with a receipt to the request.
func (c *Conn) Respond(r *http.Request, body string) {
	c.Send("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Request-Id"), len(body), body)
}

// SendForever repeats text until the client closes the connection, and returns the number of bytes sent.
func (c *Conn) SendForever(text string) int64 {
	total := int64(0)
	for {
		n, err := c.Write([]byte(text))
		total += int64(n)
		if err != nil {
			return total
		}
	}
}

// Server is a listener whose connections are passed to a handler.
type Server struct {
	Addr     string
	listener net.Listener

	mu    sync.Mutex
	conns []net.Conn
}

// Start starts a server on a new loopback address. The handler runs once for each connection, which is closed when it
// returns.
func Start(handle func(c *Conn)) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for raw server: %w", err)
	}
	s := &Server{Addr: l.Addr().String(), listener: l}
	go s.accept(handle)
	return s, nil
}

func (s *Server) accept(handle func(c *Conn)) {
	for n := 1; ; n++ {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, conn)
		s.mu.Unlock()
		go func() {
			defer conn.Close()
			handle(&Conn{Conn: conn, Number: n, in: bufio.NewReader(conn)})
		}()
	}
}

// Accepted returns the number of connections that clients have opened.
func (s *Server) Accepted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close stops the server and closes its connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}
