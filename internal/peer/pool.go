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
)

// Pool implements Dialer over TCP with one connection per address. It is safe for concurrent use.
type Pool struct {
	options []grpc.DialOption

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

var _ Dialer = (*Pool)(nil)

// NewPool returns a pool that sends the shared secret with every call. A nil tlsConfig means plain TCP.
func NewPool(secret string, tlsConfig *tls.Config) *Pool {
	transport := insecure.NewCredentials()
	if tlsConfig != nil {
		transport = credentials.NewTLS(tlsConfig)
	}
	b := backoff.DefaultConfig
	b.BaseDelay = 100 * time.Millisecond
	b.MaxDelay = maxReconnectDelay
	return &Pool{
		conns: map[string]*grpc.ClientConn{},
		options: []grpc.DialOption{
			grpc.WithTransportCredentials(transport),
			grpc.WithPerRPCCredentials(sharedSecret(secret)),
			grpc.WithConnectParams(grpc.ConnectParams{Backoff: b, MinConnectTimeout: connectTimeout}),
			grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
			grpc.WithInitialWindowSize(windowBytes),
			grpc.WithInitialConnWindowSize(windowBytes),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		},
	}
}

// Conn implements Dialer. For a malformed address it returns a connection on which every call fails.
func (p *Pool) Conn(addr string) grpc.ClientConnInterface {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[addr]; c != nil {
		return c
	}
	c, err := grpc.NewClient("passthrough:///"+addr, p.options...)
	if err != nil {
		return brokenConn{fmt.Errorf("dial %s: %w", addr, err)}
	}
	p.conns[addr] = c
	return c
}

// Prune closes the connections to all addresses for which keep returns false.
func (p *Pool) Prune(keep func(addr string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.conns {
		if !keep(addr) {
			_ = c.Close()
			delete(p.conns, addr)
		}
	}
}

// Close closes all connections. A later call of Conn opens a new one.
func (p *Pool) Close() {
	p.Prune(func(string) bool { return false })
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

// brokenConn is a connection on which every call fails with the error of the dial.
type brokenConn struct{ err error }

// Invoke implements grpc.ClientConnInterface.
func (b brokenConn) Invoke(context.Context, string, any, any, ...grpc.CallOption) error {
	return status.Error(codes.Unavailable, b.err.Error())
}

// NewStream implements grpc.ClientConnInterface.
func (b brokenConn) NewStream(context.Context, *grpc.StreamDesc, string, ...grpc.CallOption) (grpc.ClientStream, error) {
	return nil, status.Error(codes.Unavailable, b.err.Error())
}
