package exchange_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/testr"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/test/bufconn"

	"github.com/boragecourse/boragecourse/internal/exchange"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/peer"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// served is the address of the only other host that can be reached.
const served = "10.1.0.001"

// connected is an exchange with the connections of a host, and another host at the address served. It implements exchange.Local.
type connected struct {
	peerv1.UnimplementedFrontsServer
	exchange *exchange.Exchange
	pool     *peer.Pool
	metrics  *metrics.Registry
	// report and fetch are the calls that the other host answers.
	report func(ctx context.Context, r *peerv1.ReportRequest) (*peerv1.ReportResponse, error)
	fetch  func(ctx context.Context) (*peerv1.FetchStateResponse, error)
	// dialing is called before a connection to the other host is opened.
	dialing func()
	// pruned is closed when the exchange has closed the connection to the other host.
	pruned  chan struct{}
	applied atomic.Int64
}

// run calls prepare and test in a bubble with fake time, the latter while the exchange runs.
func (c *connected) run(t *testing.T, prepare func(), seeds []string, test func(g *WithT, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		prepare()
		ctx, stop := context.WithCancel(t.Context())
		c.pruned, c.metrics = make(chan struct{}), metrics.New()
		listener := bufconn.Listen(1 << 20)
		server := peer.NewServer("", nil)
		peerv1.RegisterFrontsServer(server, c)
		go func() { _ = server.Serve(listener) }()
		c.pool = peer.NewPool("", nil, grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			if address != served {
				return nil, errors.New("no host at the address")
			}
			c.dialing()
			return listener.DialContext(ctx)
		}))
		c.exchange = exchange.New(exchange.Options{
			Name: "self", Address: "10.0.0.010", Zone: "z0", Incarnation: 1, Seeds: seeds, Local: c, Pool: c, Log: testr.New(t),
			Metrics: c.metrics, Now: time.Now,
		})
		ended := make(chan struct{})
		go func() { defer close(ended); _ = c.exchange.Serve(ctx) }()
		defer func() {
			stop()
			<-ended
			// Calls that are in progress end within their time limit.
			time.Sleep(time.Second)
			c.pool.Close()
			server.Stop()
		}()
		test(NewWithT(t), ctx)
	})
}

// awaitPruned waits until the connection to the other host has been closed, or for a time.
func (c *connected) awaitPruned(limit time.Duration) {
	select {
	case <-c.pruned:
	case <-time.After(limit):
	}
}

// Conn and Prune implement exchange.Pool.
func (c *connected) Conn(address string) grpc.ClientConnInterface { return c.pool.Conn(address) }

func (c *connected) Prune(keep func(address string) bool) {
	c.pool.Prune(keep)
	select {
	case <-c.pruned:
	default:
		if !keep(served) {
			close(c.pruned)
		}
	}
}

// Report and FetchState implement the service of the other host.
func (c *connected) Report(ctx context.Context, r *peerv1.ReportRequest) (*peerv1.ReportResponse, error) {
	return c.report(ctx, r)
}

func (c *connected) FetchState(ctx context.Context, _ *peerv1.FetchStateRequest) (*peerv1.FetchStateResponse, error) {
	return c.fetch(ctx)
}

// The other methods implement exchange.Local: each copy that a report offers is needed.
func (c *connected) Fill(*peerv1.FrontReport) {}

func (c *connected) DecodeRate() float64 { return 0 }

func (c *connected) ServerKey(uint64) string { return "" }

func (c *connected) ReportsReceived([]*peerv1.FrontReport) {}

func (c *connected) Changed(exchange.Transition) {}

func (c *connected) State(exchange.StateVersion) *peerv1.FetchStateResponse { return nil }

func (c *connected) StateVersion() exchange.StateVersion { return exchange.StateVersion{} }

func (c *connected) ApplyState(string, *peerv1.FetchStateResponse, time.Time, bool) { c.applied.Add(1) }

func (c *connected) ShouldFetch(v exchange.StateVersion, _ time.Duration) bool {
	return v.Configuration > 0
}

// Guards against a copy of the store that fails because two reports on the same connection have timed out.
func TestCopiesOutliveTheTimeoutsOfReports(t *testing.T) {
	c := &connected{dialing: func() {}}
	var arrived chan struct{}
	c.report = func(ctx context.Context, _ *peerv1.ReportRequest) (*peerv1.ReportResponse, error) {
		arrived <- struct{}{}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c.fetch = func(context.Context) (*peerv1.FetchStateResponse, error) {
		c.awaitPruned(900 * time.Millisecond)
		return &peerv1.FetchStateResponse{}, nil
	}
	c.run(t, func() { arrived = make(chan struct{}, 100) }, []string{served}, func(g *WithT, ctx context.Context) {
		<-arrived
		<-arrived
		_, err := c.exchange.Report(ctx, &peerv1.ReportRequest{Reports: []*peerv1.FrontReport{
			{Address: served, Zone: "z1", Incarnation: 2, Sequence: 1, ConfigurationVersion: 1},
		}})
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(990 * time.Millisecond)
		g.Expect(c.pruned).To(BeClosed(), "the connection was closed while the copy was in progress")
		g.Expect(c.metrics.Count("state_transfers_failed")).To(BeZero())
		g.Expect(c.applied.Load()).To(BeEquivalentTo(1))
	})
}

// Guards against a host whose leaving does not reach another zone, because the connection for it counts as idle.
func TestLeavingIsToldOnNewConnections(t *testing.T) {
	c := &connected{}
	c.dialing = func() {
		c.exchange.Notify()
		c.awaitPruned(100 * time.Millisecond)
	}
	var leaving chan bool
	c.report = func(_ context.Context, r *peerv1.ReportRequest) (*peerv1.ReportResponse, error) {
		leaving <- r.Reports[0].Leaving
		return &peerv1.ReportResponse{Incarnation: 2}, nil
	}
	c.run(t, func() { leaving = make(chan bool, 100) }, nil, func(g *WithT, ctx context.Context) {
		reports := []*peerv1.FrontReport{{Address: served, Zone: "z1", Incarnation: 2, Sequence: 1}}
		for i := range 9 {
			reports = append(reports, &peerv1.FrontReport{Address: fmt.Sprintf("10.0.0.%03d", i), Zone: "z0", Incarnation: 3 + uint64(i), Sequence: 1})
		}
		_, err := c.exchange.Report(ctx, &peerv1.ReportRequest{Reports: reports})
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		leave, cancel := context.WithTimeout(ctx, 150*time.Millisecond)
		defer cancel()
		c.exchange.Leave(leave)
		g.Expect(leaving).To(Receive(BeTrue()))
	})
}
