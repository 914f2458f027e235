package membership

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"github.com/boragecourse/boragecourse/internal/host"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// costFleet returns the hosts of a fleet spread over zones, with names and addresses of realistic length.
func costFleet(hosts, zones int) []host.ID {
	ids := make([]host.ID, hosts)
	for i := range ids {
		ids[i] = host.ID{
			Name: fmt.Sprintf("host-%03d", i), Addr: fmt.Sprintf("10.20.%d.%d:7000", i/200, i%200),
			Zone: fmt.Sprintf("zone-%02d", i%zones), Incarnation: uint64(1)<<63 + uint64(i),
		}
	}
	return ids
}

// memberMachine returns the first host's machine in an epoch of all the hosts, with a valid lease.
func memberMachine(ids []host.ID, now time.Time) *Machine {
	m := NewMachine(ids[0], DefaultTiming(), now)
	record := Record{}.next(nil, ids, nil)
	m.adopt(now, record, 1)
	m.lease = leaseState{id: 1, ttl: DefaultLeaseTTL, session: 2, readSession: 2, validFrom: now, next: now.Add(time.Hour)}
	return m
}

func encodedSizes(from host.ID) (request, reply int) {
	return proto.Size(&peerv1.HeartbeatRequest{From: keyProto(from), Epoch: 1000, Generation: 100000, Session: 1 << 30}),
		proto.Size(&peerv1.HeartbeatResponse{
			From: keyProto(from), Epoch: 1000, Generation: 100000, CountsAsContact: true, FreshnessAgeNanos: 1e9,
		})
}

// BenchmarkFleetRound measures the heartbeats and bytes that one host sends per second, with and without a valid lease,
// and the CPU time of the machine for one round of heartbeats with their replies.
func BenchmarkFleetRound(b *testing.B) {
	for _, size := range []struct{ hosts, zones int }{{5, 3}, {20, 6}, {50, 10}, {350, 22}} {
		for _, held := range []bool{true, false} {
			b.Run(fmt.Sprintf("hosts=%d/zones=%d/lease=%v", size.hosts, size.zones, held), func(b *testing.B) {
				benchmarkRound(b, costFleet(size.hosts, size.zones), held)
			})
		}
	}
}

func benchmarkRound(b *testing.B, ids []host.ID, held bool) {
	now := time.Unix(1_000_000, 0)
	m := memberMachine(ids, now)
	sent := 0
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(DefaultHeartbeat)
		m.lease.validFrom = now
		if !held {
			m.lease.validFrom = now.Add(-DefaultLeaseTTL)
		}
		m.lease.next, m.nextCheck = now.Add(time.Hour), now.Add(time.Hour)
		for _, a := range m.Handle(now, Tick{}) {
			if hb, ok := a.(SendHeartbeat); ok {
				sent++
				m.Handle(now, HeartbeatReplied{To: hb.To, Sent: now, Reply: HeartbeatReply{From: hb.To, Epoch: 1, Counts: true}})
			}
		}
	}
	rounds := float64(time.Second / DefaultHeartbeat)
	perSecond := float64(sent) / float64(b.N) * rounds
	request, reply := encodedSizes(ids[0])
	b.ReportMetric(perSecond, "heartbeats/s")
	// A host sends its own requests and replies to as many requests of other hosts.
	b.ReportMetric(perSecond*float64(request+reply), "sent-B/s")
}

// BenchmarkCheckAuthority measures the check before each admission under the lease and under the majority condition.
func BenchmarkCheckAuthority(b *testing.B) {
	for _, held := range []bool{true, false} {
		b.Run(fmt.Sprintf("hosts=350/lease=%v", held), func(b *testing.B) {
			ids := costFleet(350, 22)
			now := time.Unix(1_000_000, 0)
			m := memberMachine(ids, now)
			for _, id := range ids[1:] {
				m.peer(id).lastContact = now
			}
			if !held {
				m.lease.validFrom = now.Add(-time.Hour)
			}
			for b.Loop() {
				if err := m.CheckAuthority(now.Add(time.Second)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// countingListener counts the bytes that its connections carry in both directions.
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

// BenchmarkHeartbeatOverGRPC measures one heartbeat with its reply over loopback: the CPU time of both sides and the
// TCP payload in both directions.
func BenchmarkHeartbeatOverGRPC(b *testing.B) {
	ids := costFleet(350, 22)
	svc, err := New(Options{Self: ids[0], Timing: DefaultTiming()})
	if err != nil {
		b.Fatal(err)
	}
	svc.machine = memberMachine(ids, time.Now())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	var bytes atomic.Int64
	srv := grpc.NewServer()
	svc.Register(srv)
	go func() { _ = srv.Serve(countingListener{l, &bytes}) }()
	defer srv.Stop()
	conn, err := grpc.NewClient(l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	client := peerv1.NewMembershipClient(conn)
	request := &peerv1.HeartbeatRequest{From: keyProto(ids[1]), Epoch: 1, Generation: 100000, Session: 1 << 30}
	call := func() {
		if _, err := client.Heartbeat(context.Background(), request); err != nil {
			b.Fatal(err)
		}
	}
	call() // Sets up the connection before the measurement.
	bytes.Store(0)
	before := cpuTime(b)
	for b.Loop() {
		call()
	}
	b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op")
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
