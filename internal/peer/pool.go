package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"
)

const (
	// secretHeader is the metadata key of the shared secret.
	secretHeader = "boragecourse-peer-secret"
	// maxMessageBytes is large enough for a reply with several configuration chunks.
	maxMessageBytes = 16 << 20
	// windowBytes is the flow-control window. With a fixed window, gRPC does not send pings to estimate the bandwidth.
	// These pings would outnumber the small messages between hosts.
	windowBytes = 1 << 20
	// connectTimeout bounds a connection attempt. It is shorter than the time for which a host counts as reachable after
	// its last message, so that an unreachable host does not delay messages to the others.
	connectTimeout = time.Second
	// maxReconnectDelay bounds the time until a connection is re-established after a network partition.
	maxReconnectDelay = time.Second
	keepaliveInterval = 20 * time.Second
	keepaliveTimeout  = 5 * time.Second
	// retiredTimeout bounds the calls that are in progress on a connection when Prune takes it out of use. The connection may be dead.
	retiredTimeout = 10 * time.Second
	// stopTime bounds the wait for calls in progress when a server stops. It is a part of the time that a process has to exit.
	stopTime = 100 * time.Millisecond
)

// Pool implements Dialer over TCP with one connection per address. It is safe for concurrent use.
type Pool struct {
	options []grpc.DialOption

	mu sync.Mutex
	// conns holds the connection that new calls to an address use, retired those that carry only calls begun before Prune.
	conns   map[string]*connection
	retired map[*connection]bool
}

// connection is the connection to an address. Its fields are guarded by the mutex of the pool.
type connection struct {
	*grpc.ClientConn
	// calls is the number of calls in progress.
	calls int
	// expiry closes a retired connection on which calls go on for too long.
	expiry *time.Timer
}

var _ Dialer = (*Pool)(nil)

// NewPool returns a pool that sends the shared secret with every call. A nil tlsConfig means plain TCP. Further options
// apply to each connection.
func NewPool(secret string, tlsConfig *tls.Config, further ...grpc.DialOption) *Pool {
	transport := insecure.NewCredentials()
	if tlsConfig != nil {
		transport = credentials.NewTLS(tlsConfig)
	}
	b := backoff.DefaultConfig
	b.BaseDelay = 100 * time.Millisecond
	b.MaxDelay = maxReconnectDelay
	return &Pool{
		conns: map[string]*connection{}, retired: map[*connection]bool{},
		options: append([]grpc.DialOption{
			grpc.WithTransportCredentials(transport),
			grpc.WithPerRPCCredentials(sharedSecret(secret)),
			grpc.WithConnectParams(grpc.ConnectParams{Backoff: b, MinConnectTimeout: connectTimeout}),
			grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
			grpc.WithInitialWindowSize(windowBytes),
			grpc.WithInitialConnWindowSize(windowBytes),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		}, further...),
	}
}

// Conn implements Dialer. Each call uses the connection that is open when it begins. Every call to a malformed address fails.
func (p *Pool) Conn(addr string) grpc.ClientConnInterface { return caller{p, addr} }

// Prune takes the connections to all addresses for which keep returns false out of use. Later calls use new ones. A
// connection is closed when the calls in progress on it have ended, or after 10 s.
func (p *Pool) Prune(keep func(addr string) bool) {
	p.mu.Lock()
	var unused []*connection
	for addr, c := range p.conns {
		if keep(addr) {
			continue
		}
		delete(p.conns, addr)
		if c.calls == 0 {
			unused = append(unused, c)
			continue
		}
		p.retired[c] = true
		c.expiry = time.AfterFunc(retiredTimeout, func() { _ = c.Close() })
	}
	p.mu.Unlock()
	for _, c := range unused {
		_ = c.Close()
	}
}

// Close closes all connections and ends the calls in progress. A later call opens a new connection.
func (p *Pool) Close() {
	p.Prune(func(string) bool { return false })
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.retired {
		c.expiry.Stop()
		_ = c.Close()
	}
}

// acquire returns the connection to an address and counts a call on it, which release ends.
func (p *Pool) acquire(addr string) (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns[addr]
	if c == nil {
		opened, err := grpc.NewClient("passthrough:///"+addr, p.options...)
		if err != nil {
			return nil, status.Error(codes.Unavailable, fmt.Sprintf("dial %s: %v", addr, err))
		}
		c = &connection{ClientConn: opened}
		p.conns[addr] = c
	}
	c.calls++
	return c, nil
}

func (p *Pool) release(c *connection) {
	p.mu.Lock()
	c.calls--
	last := c.calls == 0 && p.retired[c]
	if last {
		delete(p.retired, c)
		c.expiry.Stop()
	}
	p.mu.Unlock()
	if last {
		_ = c.Close()
	}
}

// caller makes the calls to one address.
type caller struct {
	pool *Pool
	addr string
}

// Invoke implements grpc.ClientConnInterface.
func (c caller) Invoke(ctx context.Context, method string, args, reply any, options ...grpc.CallOption) error {
	conn, err := c.pool.acquire(c.addr)
	if err != nil {
		return err
	}
	defer c.pool.release(conn)
	return conn.Invoke(ctx, method, args, reply, options...) //nolint:wrapcheck // The status is that of the call.
}

// NewStream implements grpc.ClientConnInterface. Hosts have no streaming calls.
func (caller) NewStream(context.Context, *grpc.StreamDesc, string, ...grpc.CallOption) (grpc.ClientStream, error) {
	return nil, status.Error(codes.Unimplemented, "no streaming calls between hosts")
}

// NewServer returns a gRPC server that refuses calls without the shared secret. A nil tlsConfig means plain TCP.
func NewServer(secret string, tlsConfig *tls.Config) *grpc.Server {
	options := []grpc.ServerOption{
		grpc.InTapHandle(requireSecret(secret)),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveInterval / 2, PermitWithoutStream: true}),
	}
	if tlsConfig != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(tlsConfig)))
	}
	return grpc.NewServer(options...)
}

// Stop stops a server. Calls in progress end first, but no later than after 100 ms.
func Stop(s *grpc.Server) {
	expiry := time.AfterFunc(stopTime, s.Stop)
	defer expiry.Stop()
	s.GracefulStop()
}

// requireSecret compares hashes in constant time, so that the response time reveals nothing about the secret. It runs
// before the message is read, so that a caller without the secret cannot make the host decode up to maxMessageBytes.
func requireSecret(secret string) tap.ServerInHandle {
	want := sha256.Sum256([]byte(secret))
	return func(ctx context.Context, info *tap.Info) (context.Context, error) {
		for _, v := range info.Header.Get(secretHeader) {
			got := sha256.Sum256([]byte(v))
			if subtle.ConstantTimeCompare(got[:], want[:]) == 1 {
				return ctx, nil
			}
		}
		return nil, status.Error(codes.Unauthenticated, "peer secret is missing or wrong")
	}
}

type sharedSecret string

// GetRequestMetadata implements credentials.PerRPCCredentials.
func (s sharedSecret) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	return map[string]string{secretHeader: string(s)}, nil
}

// RequireTransportSecurity implements credentials.PerRPCCredentials. Plain TCP is allowed, since hosts may
// share a private network.
func (s sharedSecret) RequireTransportSecurity() bool { return false }
