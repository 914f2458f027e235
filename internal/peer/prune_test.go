package peer_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/test/bufconn"

	"github.com/boragecourse/boragecourse/internal/peer"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// heldServer holds back the responses to calls until release is closed, while it is not nil.
type heldServer struct {
	peerv1.UnimplementedConfigServer
	arrived, release chan struct{}
	opened, closed   atomic.Int64
	pool             *peer.Pool
	server           *grpc.Server
}

func (s *heldServer) GetHead(ctx context.Context, _ *peerv1.GetHeadRequest) (*peerv1.GetHeadResponse, error) {
	if release := s.release; release != nil {
		s.arrived <- struct{}{}
		select {
		case <-release:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return &peerv1.GetHeadResponse{}, nil
}

type countedConn struct {
	net.Conn
	closed func()
}

func (c countedConn) Close() error { c.closed(); return c.Conn.Close() }

// call begins a call and returns the channel of its result.
func (s *heldServer) call() <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := peerv1.NewConfigClient(s.pool.Conn("10.0.0.1:1")).GetHead(context.Background(), &peerv1.GetHeadRequest{})
		done <- err
	}()
	return done
}

// held runs test in a bubble with fake time, while one call is in progress and its response is held back.
func held(t *testing.T, test func(g *WithT, s *heldServer, done <-chan error)) {
	synctest.Test(t, func(t *testing.T) {
		listener := bufconn.Listen(1 << 20)
		s := &heldServer{arrived: make(chan struct{}, 1), release: make(chan struct{})}
		s.server = peer.NewServer("", nil)
		peerv1.RegisterConfigServer(s.server, s)
		go func() { _ = s.server.Serve(listener) }()
		s.pool = peer.NewPool("", nil, grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) {
			conn, err := listener.DialContext(ctx)
			s.opened.Add(1)
			return countedConn{conn, sync.OnceFunc(func() { s.closed.Add(1) })}, err
		}))
		defer func() { s.pool.Close(); s.server.Stop() }()
		done := s.call()
		<-s.arrived
		test(NewWithT(t), s, done)
	})
}

func pruneAll(p *peer.Pool) { p.Prune(func(string) bool { return false }) }

// Guards against calls that fail because another goroutine takes their connection out of use.
func TestPruneLetsCallsEnd(t *testing.T) {
	held(t, func(g *WithT, s *heldServer, done <-chan error) {
		pruneAll(s.pool)
		release := s.release
		s.release = nil
		g.Expect(<-s.call()).To(Succeed())
		g.Expect(s.opened.Load()).To(BeEquivalentTo(2), "later calls use a new connection")
		g.Expect(s.closed.Load()).To(BeZero())
		close(release)
		g.Expect(<-done).To(Succeed())
		synctest.Wait()
		g.Expect(s.closed.Load()).To(BeEquivalentTo(1), "the retired connection is closed after its last call")
		g.Expect(<-s.call()).To(Succeed())
		g.Expect(s.opened.Load()).To(BeEquivalentTo(2))
	})
}

// Guards against connections that stay open for calls that never end.
func TestPrunedConnectionsEndAfterATime(t *testing.T) {
	held(t, func(g *WithT, s *heldServer, done <-chan error) {
		begun := time.Now()
		pruneAll(s.pool)
		g.Expect(status.Code(<-done)).To(Equal(codes.Canceled))
		g.Expect(time.Since(begun)).To(Equal(10 * time.Second))
		synctest.Wait()
		g.Expect(s.closed.Load()).To(BeEquivalentTo(1))
	})
}

// Guards against calls on pruned connections that outlive the pool.
func TestCloseEndsCallsOnPrunedConnections(t *testing.T) {
	held(t, func(g *WithT, s *heldServer, done <-chan error) {
		begun := time.Now()
		pruneAll(s.pool)
		s.pool.Close()
		g.Expect(status.Code(<-done)).To(Equal(codes.Canceled))
		g.Expect(time.Since(begun)).To(BeZero())
	})
}

// Guards against calls that fail because the host that serves them stops, and against a stop that waits for them without bound.
func TestStopLetsCallsEnd(t *testing.T) {
	const limit = 100 * time.Millisecond
	for name, ends := range map[string]bool{"call ends": true, "call never ends": false} {
		t.Run(name, func(t *testing.T) {
			held(t, func(g *WithT, s *heldServer, done <-chan error) {
				begun, stopped := time.Now(), make(chan struct{})
				go func() { defer close(stopped); peer.Stop(s.server) }()
				time.Sleep(limit / 2)
				if ends {
					close(s.release)
					g.Expect(<-done).To(Succeed())
				} else {
					g.Expect(status.Code(<-done)).To(Equal(codes.Unavailable))
				}
				<-stopped
				g.Expect(time.Since(begun)).To(BeNumerically("<=", limit))
			})
		})
	}
}
