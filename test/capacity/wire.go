package capacity

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"time"

	"github.com/boragecourse/boragecourse/internal/engine/openai"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/peer"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
	standin "github.com/boragecourse/boragecourse/test/standin/engine"
)

const (
	wireCalls = 4000
	// connSettle lets the goroutines of new connections become idle before memory is measured.
	connSettle = 200 * time.Millisecond
	secret     = "0123456789abcdef0123456789abcdef"
)

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// heartbeatServer answers heartbeats with an empty reply.
type heartbeatServer struct {
	peerv1.UnimplementedMembershipServer
}

func (heartbeatServer) Heartbeat(context.Context, *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
	return &peerv1.HeartbeatResponse{}, nil
}

// servePeers starts a peer server as the daemon does, on a free loopback port. It counts the bytes of all connections.
func servePeers(bytes *atomic.Int64) (addr string, stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	s := peer.NewServer(secret, nil)
	peerv1.RegisterMembershipServer(s, heartbeatServer{})
	go func() { _ = s.Serve(countingListener{l, bytes}) }()
	return l.Addr().String(), s.Stop, nil
}

// MeasureCalls measures the CPU time of both sides and the bytes of a call between hosts over loopback TCP. The request
// contains a name of size bytes. Calls run one after the other, so their spacing is that of a host with low load.
func MeasureCalls(r *Report, size int) error {
	var bytes atomic.Int64
	addr, stop, err := servePeers(&bytes)
	if err != nil {
		return err
	}
	defer stop()
	pool := peer.NewPool(secret, nil)
	defer pool.Close()
	client := peerv1.NewMembershipClient(pool.Conn(addr))
	request := &peerv1.HeartbeatRequest{From: &peerv1.HostID{Name: strings.Repeat("x", size)}}
	call := func() error {
		_, err := client.Heartbeat(context.Background(), request)
		return err
	}
	if err := call(); err != nil {
		return err
	}
	bytes.Store(0)
	cpu := cpuTime()
	for range wireCalls {
		if err := call(); err != nil {
			return err
		}
	}
	r.Add("grpc call: CPU of both sides", "bytes of the name in the request", "us", float64(size), 1e6*(cpuTime()-cpu).Seconds()/wireCalls)
	r.Add("grpc call: bytes above TCP", "bytes of the name in the request", "bytes", float64(size), float64(bytes.Load())/wireCalls)
	return nil
}

// MeasureConnections measures the memory that connections between hosts take, both ends together.
func MeasureConnections(r *Report, count int) error {
	var bytes atomic.Int64
	before := residentBytes()
	pool := peer.NewPool(secret, nil)
	defer pool.Close()
	for range count {
		addr, stop, err := servePeers(&bytes)
		if err != nil {
			return err
		}
		defer stop()
		if _, err := peerv1.NewMembershipClient(pool.Conn(addr)).Heartbeat(context.Background(), &peerv1.HeartbeatRequest{}); err != nil {
			return err
		}
	}
	time.Sleep(connSettle)
	r.Add("grpc connections: memory of both ends", "connections", "MB", float64(count), (residentBytes()-before)/1e6)
	return nil
}

// residentBytes returns the size of the live heap and the goroutine stacks.
func residentBytes() float64 {
	heap := heapBytes()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return heap + float64(m.StackInuse)
}

// MeasurePolls measures the CPU time of both sides and the bytes of polls of an engine over loopback HTTP.
func MeasurePolls(r *Report, calls int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	var bytes atomic.Int64
	core := standin.New(standin.Config{Name: "s", Addr: l.Addr().String(), Model: model, Slots: slots}, standin.NewFleet())
	srv := &http.Server{Handler: standin.Handler(core), ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(countingListener{l, &bytes}) }()
	defer srv.Close()
	dir := openai.NewDirectory(openai.Settings{}, metrics.New())
	defer dir.Close()
	e := dir.Server("s", l.Addr().String())
	if _, err := e.Load(context.Background()); err != nil {
		return err
	}
	bytes.Store(0)
	cpu := cpuTime()
	for i := range calls {
		switch i % 2 {
		case 0:
			_, err = e.Load(context.Background())
		default:
			_, err = e.CacheEvents(context.Background(), 0)
		}
		if err != nil {
			return err
		}
	}
	r.Add("polls of an engine: CPU of both sides", "polls", "ms", float64(calls), thousand*(cpuTime()-cpu).Seconds())
	r.Add("polls of an engine: bytes above TCP", "polls", "KB", float64(calls), float64(bytes.Load())/thousand)
	return nil
}
