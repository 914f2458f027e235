// Package connpool is an HTTP/1.1 client for backend servers that keeps connections open between requests. Unlike
// http.Transport it never sends a request again on its own, and it reports whether a request was sent at all. It is
// written for servers that deviate from HTTP: a connection is reused only after a complete response with nothing after
// it, and only while it is silent. The size of a response head is bounded.
package connpool

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/boragecourse/boragecourse/internal/metrics"
)

const (
	// maxIdle is the total number of idle connections. Each holds a read buffer of readBuffer bytes and a file
	// descriptor.
	maxIdle = 384
	// defaultIdleTime is how long a connection stays idle if the server does not announce its own idle time-out.
	defaultIdleTime = 4 * time.Second
	// maxIdleTime bounds the idle time in any case, so that connections that were lost without notice do not pile up.
	maxIdleTime = 15 * time.Second
	// announcedShare is the fraction of a server's announced idle time-out for which a connection is reused. Some
	// servers close earlier than they announce.
	announcedShare = 0.6
	// recentlyUsed is the idle time up to which a connection may carry a request that must not run twice. The shorter it
	// is, the less likely is it that the server has dropped the connection without notice.
	recentlyUsed = 700 * time.Millisecond
	// sweepInterval is how often expired idle connections are closed.
	sweepInterval = time.Second
)

// Reuse selects which connections a request may use.
type Reuse int

const (
	// NewConnection always opens a connection.
	NewConnection Reuse = iota
	// RecentConnection allows a connection that has carried a complete response within recentlyUsed. It is for requests
	// that must not be sent twice, which would be lost on a connection that the server has dropped.
	RecentConnection
	// AnyConnection allows every idle connection.
	AnyConnection
)

// Reasons for which a connection is not kept or not reused, as used in metrics.
const (
	reasonAnnounced  = "announced"
	reasonIncomplete = "incomplete"
	reasonSurplus    = "surplus-bytes"
	reasonLate       = "late-bytes"
	reasonClosed     = "closed-by-server"
	reasonExpired    = "expired"
	reasonReplaced   = "server-gone"
	reasonLimit      = "limit"
)

// Target is a backend server to which requests are sent.
type Target struct {
	// Key identifies one incarnation of the server at one address. Connections are never shared between keys.
	Key     string
	Address string
	Zone    string
}

// Options are the dependencies and limits of a Pool.
type Options struct {
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxHeaderBytes bounds the response head, including informational responses.
	MaxHeaderBytes int64
	// IdleLimit returns the number of idle connections that may be kept to a target; 0 keeps none. It must not call the pool.
	IdleLimit func(t Target) int
	// Check is called for each request directly before it is sent, when its connection is open. The request is not sent if
	// it returns an error. Nil allows all requests.
	Check   func(t Target) error
	Metrics *metrics.Registry
	// Clock returns the time since some fixed point, including the time in which the machine is suspended.
	Clock func() time.Duration
}

// Pool is an HTTP/1.1 client with idle connections. It is safe for concurrent use.
type Pool struct {
	o Options

	mu sync.Mutex
	// idle holds the idle connections by target, the most recently used one last.
	idle      map[Target][]*connection
	idleCount int
	sweeping  bool
}

// New returns a pool without connections.
func New(o Options) *Pool { return &Pool{o: o, idle: map[Target][]*connection{}} }

// Do sends a request to a target and returns the response as soon as its head is received. RequestURI is sent byte for byte as
// the target of the request line; if it is empty, the path and query of the URL are. The caller must read the body to its end
// or close it. Errors are *DialError, *NotSentError, *DroppedConnectionError, *HeadTooLargeError and *ExchangeError, or the
// cause of ctx when it ended first.
func (p *Pool) Do(ctx context.Context, t Target, req *http.Request, reuse Reuse) (*Response, error) {
	c, err := p.connection(ctx, t, reuse)
	if err != nil {
		return nil, err
	}
	if p.o.Check != nil {
		if err := p.o.Check(t); err != nil {
			p.discard(c, reasonReplaced)
			return nil, &NotSentError{Cause: err}
		}
	}
	resp, err := p.exchange(ctx, c, req)
	var dropped *DroppedConnectionError
	if errors.As(err, &dropped) {
		// The server has probably dropped its other idle connections as well.
		p.closeIdle(reasonClosed, func(other *connection) bool { return other.target == t })
	}
	return resp, err
}

// connection takes an idle connection or opens one.
func (p *Pool) connection(ctx context.Context, t Target, reuse Reuse) (*connection, error) {
	if reuse != NewConnection {
		if c := p.take(t, reuse); c != nil {
			p.o.Metrics.Inc("backend_connections_reused")
			return c, nil
		}
	}
	conn, err := p.o.Dial(ctx, "tcp", t.Address)
	if err != nil {
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &DialError{Cause: err}
	}
	p.o.Metrics.Inc("backend_connections_opened")
	return newConnection(t, conn, p.o.MaxHeaderBytes), nil
}

// take returns the most recently used idle connection to a target that is still silent, or nil. It closes those that
// have received bytes or were closed by the server.
func (p *Pool) take(t Target, reuse Reuse) *connection {
	for {
		c := p.pop(t, reuse)
		if c == nil {
			return nil
		}
		if reason := c.disturbance(); reason != "" {
			p.discard(c, reason)
			continue
		}
		c.reused = true
		return c
	}
}

func (p *Pool) pop(t Target, reuse Reuse) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[t]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	idle := p.o.Clock() - c.idleSince
	if idle > c.idleTime || reuse == RecentConnection && idle > recentlyUsed {
		return nil
	}
	p.remove(t, len(list)-1)
	return c
}

// remove removes the connection at an index of a target's list. p.mu must be held.
func (p *Pool) remove(t Target, i int) {
	list := p.idle[t]
	list = append(list[:i], list[i+1:]...)
	p.idleCount--
	if len(list) == 0 {
		delete(p.idle, t)
		return
	}
	p.idle[t] = list
}

// put makes a connection available for further requests, or closes it when the limits do not allow it.
func (p *Pool) put(c *connection) {
	p.mu.Lock()
	// Retain, which follows a change of the limit, sees the connection, or the limit is the changed one.
	limit := p.o.IdleLimit(c.target)
	list := p.idle[c.target]
	if len(list) >= limit || p.idleCount >= maxIdle {
		p.mu.Unlock()
		reason := reasonLimit
		if limit == 0 {
			reason = reasonReplaced
		}
		p.discard(c, reason)
		return
	}
	c.idleSince = p.o.Clock()
	p.idle[c.target] = append(list, c)
	p.idleCount++
	if !p.sweeping {
		p.sweeping = true
		time.AfterFunc(sweepInterval, p.sweep)
	}
	p.mu.Unlock()
}

// sweep closes expired idle connections, and runs again while there are others.
func (p *Pool) sweep() {
	now := p.o.Clock()
	p.closeIdle(reasonExpired, func(c *connection) bool { return now-c.idleSince > c.idleTime })
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweeping = p.idleCount > 0
	if p.sweeping {
		time.AfterFunc(sweepInterval, p.sweep)
	}
}

// Retain closes the idle connections to targets that IdleLimit no longer allows. It is called when servers have been
// removed or replaced, so that no connection outlives the incarnation that it was opened to.
func (p *Pool) Retain() {
	p.closeIdle(reasonReplaced, func(c *connection) bool { return p.o.IdleLimit(c.target) == 0 })
}

// Close closes all idle connections. Requests in progress are not interrupted.
func (p *Pool) Close() { p.closeIdle(reasonExpired, func(*connection) bool { return true }) }

func (p *Pool) closeIdle(reason string, expired func(*connection) bool) {
	var closing []*connection
	p.mu.Lock()
	for t, list := range p.idle {
		for i := len(list) - 1; i >= 0; i-- {
			if expired(list[i]) {
				closing = append(closing, list[i])
				p.remove(t, i)
			}
		}
	}
	p.mu.Unlock()
	for _, c := range closing {
		p.discard(c, reason)
	}
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idleCount
}

func (p *Pool) discard(c *connection, reason string) {
	p.o.Metrics.Inc("backend_connections_closed", metrics.L("reason", reason))
	c.close()
}
