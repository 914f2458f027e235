package connpool

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/boragecourse/boragecourse/internal/resetconn"
	"github.com/boragecourse/boragecourse/internal/responsehead"
)

const (
	// readBuffer is the size of a connection's read buffer, in bytes.
	readBuffer = 4 << 10
	// directWrite is the size of a request body up to which the request is written before the response is read, in
	// bytes. It fits into the send buffer of a socket. Larger bodies are written while the response is read, since a
	// server may respond early and leave the rest of the body unread.
	directWrite = 4 << 10
	// dropTime is the time after a request was sent within which the reset of a dropped connection arrives: a round trip
	// between zones takes a few milliseconds. A connection that ends later was most likely in use by the server.
	dropTime = 20 * time.Millisecond
	// maxInformational is the number of informational responses (1xx) that may precede a response.
	maxInformational = 5
)

// connection is a connection to a backend server. It carries one request at a time.
type connection struct {
	target Target
	conn   *resetconn.Conn
	in     *bufio.Reader
	// headLeft is the number of bytes that may still be received as part of a response head.
	headLeft, headLimit int64
	// head holds the bytes that were received while readingHead is set. The last ones may belong to the body; these are still in
	// the read buffer.
	head        []byte
	readingHead bool
	// received and sent count the bytes of the current exchange.
	received, sent int64
	// sentAt is when the current exchange began, on the pool's clock.
	sentAt time.Duration
	reused bool
	// idleSince is when the connection became idle, on the pool's clock; idleTime is how long it may stay so.
	idleSince, idleTime time.Duration
}

func newConnection(t Target, conn net.Conn, headLimit int64) *connection {
	c := &connection{target: t, conn: &resetconn.Conn{Conn: conn}, headLimit: headLimit}
	c.in = bufio.NewReaderSize((*connectionReader)(c), readBuffer)
	return c
}

func (c *connection) close() { _ = c.conn.Close() }

// connectionReader reads from a connection and enforces the limit on the size of a response head.
type connectionReader connection

func (r *connectionReader) Read(b []byte) (int, error) {
	if r.headLeft <= 0 {
		return 0, &HeadTooLargeError{Limit: r.headLimit}
	}
	n, err := r.conn.Read(b[:min(int64(len(b)), r.headLeft)])
	if r.readingHead {
		r.head = append(r.head, b[:n]...)
	}
	r.received += int64(n)
	r.headLeft -= int64(n)
	return n, err
}

// connectionWriter writes to a connection and counts the bytes that were handed to the kernel.
type connectionWriter connection

func (w *connectionWriter) Write(b []byte) (int, error) {
	n, err := w.conn.Write(b)
	w.sent += int64(n)
	return n, err
}

// requestLine returns the request line with the target as it is, or *TargetError.
func requestLine(req *http.Request) (string, error) {
	target := cmp.Or(req.RequestURI, req.URL.RequestURI())
	if strings.IndexFunc(target, func(r rune) bool { return r <= ' ' || r == 0x7f }) >= 0 {
		return "", &TargetError{Target: target}
	}
	return cmp.Or(req.Method, http.MethodGet) + " " + target + " HTTP/1.1\r\n", nil
}

// headWriter replaces the request line of http.Request.Write, which has no form for every target: net/url puts a scheme before
// one that begins with two slashes, and encodes some bytes of the others.
type headWriter struct {
	out  io.Writer
	line string
	// begun is set when the replaced request line has passed.
	begun bool
}

func (w *headWriter) Write(b []byte) (int, error) {
	if w.begun {
		return w.out.Write(b)
	}
	end := bytes.IndexByte(b, '\n') + 1
	if end == 0 {
		return len(b), nil
	}
	w.begun = true
	if _, err := w.out.Write(append([]byte(w.line), b[end:]...)); err != nil {
		return 0, err
	}
	return len(b), nil
}

// disturbance returns why an idle connection must not be reused, or "" if the server has neither closed it nor sent
// anything on it. It does not block.
func (c *connection) disturbance() string {
	raw, ok := c.conn.Conn.(syscall.Conn)
	if !ok {
		return reasonClosed
	}
	fd, err := raw.SyscallConn()
	if err != nil {
		return reasonClosed
	}
	reason := ""
	err = fd.Read(func(fd uintptr) bool {
		var b [1]byte
		n, err := syscall.Read(int(fd), b[:])
		switch {
		case n > 0:
			reason = reasonLate
		case !errors.Is(err, syscall.EAGAIN):
			reason = reasonClosed
		}
		return true
	})
	if err != nil {
		return reasonClosed
	}
	return reason
}

// exchange sends a request on a connection and reads the head of the response.
func (p *Pool) exchange(ctx context.Context, c *connection, req *http.Request) (*Response, error) {
	c.sent, c.received, c.headLeft, c.readingHead, c.sentAt = 0, 0, c.headLimit, true, p.o.Clock()
	// Closing the connection is what interrupts reads and writes, and makes the server abort the request.
	stop := context.AfterFunc(ctx, c.close)
	resp, written, err := c.roundTrip(req) //nolint:bodyclose // Response.Close ends the connection; closing the body would read it to its end.
	if err == nil {
		c.headLeft, c.readingHead, c.head = math.MaxInt64, false, nil
		c.idleTime = idleTime(resp.Header)
		return &Response{Response: resp, Reused: c.reused, body: &body{
			in: resp.Body, pool: p, connection: c, stop: stop, written: written, closing: resp.Close || req.Close,
		}}, nil
	}
	stop()
	p.discard(c, reasonIncomplete)
	if ctx.Err() != nil && c.sent > 0 {
		return nil, context.Cause(ctx)
	}
	return nil, c.failure(err, p.o.Clock()-c.sentAt)
}

// roundTrip writes a request and reads the head of its response. The returned channel is that of write.
func (c *connection) roundTrip(req *http.Request) (*http.Response, <-chan struct{}, error) {
	written, err := c.write(req)
	if err != nil {
		return nil, nil, err
	}
	resp, err := c.readHead(req)
	return resp, written, err
}

// failure classifies an exchange that ended without the head of a response after a time.
func (c *connection) failure(err error, after time.Duration) error {
	var tooLarge *HeadTooLargeError
	switch {
	case errors.As(err, &tooLarge):
		return tooLarge
	case c.sent == 0:
		return &NotSentError{Cause: err}
	case c.reused && c.received == 0 && after <= dropTime:
		return &DroppedConnectionError{Cause: err}
	}
	return &ExchangeError{Cause: err}
}

// write sends the request. A request with a large body is still being written when write returns; the returned channel
// is closed once it has been written completely.
func (c *connection) write(req *http.Request) (<-chan struct{}, error) {
	line, err := requestLine(req)
	if err != nil {
		return nil, err
	}
	written := make(chan struct{})
	if req.ContentLength >= 0 && req.ContentLength <= directWrite {
		err := req.Write(&headWriter{out: (*connectionWriter)(c), line: line})
		close(written)
		return written, err
	}
	// A request whose body is being written counts as sent: part of it may have reached the server.
	c.sent = 1
	go func() {
		// A failed write ends the connection for reading as well. resetconn.Conn reports its error there.
		if req.Write(&headWriter{out: c.conn, line: line}) == nil {
			close(written)
		}
	}()
	return written, nil
}

// readHead reads the head of the final response and skips informational ones.
func (c *connection) readHead(req *http.Request) (*http.Response, error) {
	for range maxInformational + 1 {
		resp, err := http.ReadResponse(c.in, req)
		if err != nil {
			return nil, err
		}
		received := c.head[:len(c.head)-c.in.Buffered()]
		if err := cmp.Or(responsehead.Check(resp), responsehead.CheckLines(resp, received)); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, &UnexpectedStatusError{Status: http.StatusContinue}
}

// idleTime returns how long a connection may stay idle after a response, from the server's Keep-Alive header.
func idleTime(h http.Header) time.Duration {
	for _, parameter := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(parameter), "timeout=")
		if !found {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s >= 0 {
			return min(time.Duration(float64(s)*announcedShare*float64(time.Second)), maxIdleTime)
		}
	}
	return defaultIdleTime
}

// Response is a response whose body has not been read yet.
type Response struct {
	*http.Response
	// Reused is set when the connection has carried other requests before.
	Reused bool
	body   *body
}

// Read reads from the body. The connection becomes available for other requests when the body has been read to its end.
func (r *Response) Read(b []byte) (int, error) { return r.body.Read(b) }

// Close ends the use of the response. The connection is closed unless the body has been read to its end.
func (r *Response) Close() error { return r.body.Close() }

// body is the body of a response. It is used by one goroutine at a time.
type body struct {
	in         io.Reader
	pool       *Pool
	connection *connection
	// stop ends the watch on the request's context. It returns false when the connection was closed by it.
	stop    func() bool
	written <-chan struct{}
	// closing is set when one of the sides closes the connection after this response.
	closing bool
	done    bool
}

func (b *body) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	n, err := b.in.Read(p)
	if errors.Is(err, io.EOF) {
		b.finish()
	}
	return n, err
}

func (b *body) Close() error {
	if b.done {
		return nil
	}
	b.done = true
	b.stop()
	b.pool.discard(b.connection, reasonIncomplete)
	return nil
}

// finish returns the connection to the pool after a complete response, unless anything casts doubt on where the next
// response will begin.
func (b *body) finish() {
	b.done = true
	interrupted := !b.stop()
	complete := false
	select {
	case <-b.written:
		complete = true
	default:
	}
	switch {
	case interrupted || !complete:
		b.pool.discard(b.connection, reasonIncomplete)
	case b.connection.in.Buffered() > 0:
		b.pool.discard(b.connection, reasonSurplus)
	case b.closing:
		b.pool.discard(b.connection, reasonAnnounced)
	default:
		b.pool.put(b.connection)
	}
}
