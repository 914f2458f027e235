package assembly

import (
	"context"
	"errors"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/metrics"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
	standin "github.com/boragecourse/boragecourse/test/standin/engine"
	"github.com/boragecourse/boragecourse/test/standin/memnet"
	"github.com/boragecourse/boragecourse/test/standin/memstore"
)

var errNoReply = errors.New("no reply within 1 minute")

// methods collects the gRPC methods of a host's services. It implements grpc.ServiceRegistrar.
type methods struct {
	calls []call
}

type call struct {
	name string
	impl any
	desc grpc.MethodDesc
}

// RegisterService implements grpc.ServiceRegistrar.
func (m *methods) RegisterService(desc *grpc.ServiceDesc, impl any) {
	for _, d := range desc.Methods {
		m.calls = append(m.calls, call{desc.ServiceName + "/" + d.MethodName, impl, d})
	}
	sort.Slice(m.calls, func(i, j int) bool { return m.calls[i].name < m.calls[j].name })
}

// newPeer starts a host with a configuration and returns it with the gRPC methods that it serves.
func newPeer(f *testing.F) (*Components, []call) {
	f.Helper()
	p, err := New(Dependencies{
		Self:  host.ID{Name: "h1", Addr: "10.0.0.1:1", Zone: "a", Incarnation: 1},
		Store: memstore.New().Client(), Hosts: &countingHosts{}, Dialer: memnet.New().Node("10.0.0.1:1"),
		Engines: standin.NewFleet(), Log: logr.Discard(), Metrics: metrics.New(), Timing: membership.DefaultTiming(),
	})
	if err != nil {
		f.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, s := range append(p.Control(), p.Work()...) {
		running.Go(func() { _ = s.Serve(ctx) })
	}
	f.Cleanup(func() { cancel(); running.Wait(); p.Close() })
	text := "zone a region=r # ana: b\nworkspace w rate=10/s burst=100 # ana: b\n" +
		"server s zone=a addr=127.0.0.1:1 role=both model=m # ana: b\n"
	if _, err := p.Config.Apply(ctx, 0, []byte(text)); err != nil {
		f.Fatal(err)
	}
	p.Members.SetReady()
	for end := time.Now().Add(time.Minute); p.Ready() != nil; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.Fatal(p.Ready())
		}
	}
	m := &methods{}
	p.Register(m)
	return p, m.calls
}

// peerSeeds returns requests for each method with values at the limits of their ranges.
func peerSeeds() map[string][]proto.Message {
	from := &peerv1.HostID{Name: "h2", Addr: "10.0.0.2:1", Zone: "b", Incarnation: 2}
	const most, least = 1<<63 - 1, -1 << 63
	head := &peerv1.Head{Generation: 1<<64 - 1, IndexHash: make([]byte, 32)}
	reserve := func(start, wait, duration, tokens int64) proto.Message {
		return &peerv1.ReserveRequest{
			From: from, Server: "s", ReservationId: "r", Workspace: "w", Weight: tokens, Stage: peerv1.Stage_STAGE_DECODE, Tokens: tokens,
			StartAfterNanos: start, MaxWaitNanos: wait, ExpectedDurationNanos: duration, Priority: -1 << 31, PrefixBlocks: []uint64{1, 1},
		}
	}
	return map[string][]proto.Message{
		"Heartbeat":     {&peerv1.HeartbeatRequest{From: from, Epoch: 1<<64 - 1, Generation: 1<<64 - 1, Session: least}},
		"ReportSilence": {&peerv1.ReportSilenceRequest{From: from, Suspects: []*peerv1.HostID{nil, from}, SilenceNanos: least, Sessions: []int64{1}}},
		"PushHead":      {&peerv1.PushHeadRequest{Head: head, WaitNanos: most}, &peerv1.PushHeadRequest{WaitNanos: least}},
		"FetchChunks":   {&peerv1.FetchChunksRequest{Hashes: [][]byte{nil, make([]byte, 32)}}},
		"Draw":          {&peerv1.DrawRequest{From: from, Workspace: "w", Need: most, Want: most}, &peerv1.DrawRequest{Workspace: "w", Need: least, Want: 1}},
		"Settle": {&peerv1.SettleRequest{From: from, Settlements: []*peerv1.GrantSettlement{
			{Workspace: "w", GrantId: 1, LenderIncarnation: 1, Used: most, Returned: most}, {Workspace: "w", GrantId: 2, LenderIncarnation: 1, Used: least},
		}}},
		"HandOver":  {&peerv1.HandOverRequest{From: from, Epoch: 1<<64 - 1}},
		"Reserve":   {reserve(0, 0, 0, 1), reserve(most, 1, most, most), reserve(least, least, least, least)},
		"Release":   {&peerv1.ReleaseRequest{From: from, Server: "s", ReservationId: "r"}},
		"Renew":     {&peerv1.RenewRequest{From: from, Full: true, Open: []*peerv1.OpenReservation{nil, {Server: "s", Weight: least, Tokens: most, StartAfterNanos: most, ExpectedDurationNanos: most}}}},
		"Ask":       {&peerv1.AskClaimRequest{From: from, ClaimingIncarnation: 1}},
		"Replicate": {&peerv1.ReplicateRequest{Batch: &peerv1.ChargeBatch{Host: from, Sequence: 1<<64 - 1, Records: []*peerv1.ChargeRecord{nil}}}},
		"Confirm":   {&peerv1.ConfirmRequest{Host: from, WrittenThrough: 1<<64 - 1}},
	}
}

// peerWait bounds each call, because a home host blocks a reservation request for as long as its caller waits.
const peerWait = 2 * time.Millisecond

// Guards against messages from other hosts that cause a panic, that obtain more tokens than a bucket contains, or after
// which the host no longer replies.
func FuzzPeerMessages(f *testing.F) {
	p, calls := newPeer(f)
	seeds := peerSeeds()
	for i, c := range calls {
		f.Add(uint8(i), []byte{})
		f.Add(uint8(i), []byte{0x0a, 0xff})
		for _, m := range seeds[c.desc.MethodName] {
			data, err := proto.Marshal(m)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(uint8(i), data)
		}
	}
	f.Fuzz(func(t *testing.T, method uint8, data []byte) {
		c := calls[int(method)%len(calls)]
		ctx, cancel := context.WithTimeout(t.Context(), peerWait)
		defer cancel()
		reply, err := c.desc.Handler(c.impl, ctx, func(into any) error { return proto.Unmarshal(data, into.(proto.Message)) }, nil)
		if m, ok := reply.(proto.Message); err == nil && ok && proto.Size(m) > 1<<20 {
			t.Fatalf("%s: reply of %d bytes to a request of %d bytes", c.name, proto.Size(m), len(data))
		}
		if d, ok := reply.(*peerv1.DrawResponse); ok && err == nil && (d.GetAmount() < 0 || d.GetAmount() > 100) {
			t.Fatalf("a bucket of 100 tokens granted %d tokens", d.GetAmount())
		}
		if err := checkReplies(p); err != nil {
			t.Fatalf("after %s: %v", c.name, err)
		}
	})
}

// checkReplies sends requests that a working host replies to without delay.
func checkReplies(p *Components) error {
	done := make(chan error, 1)
	go func() {
		_, err := p.Config.GetHead(context.Background(), &peerv1.GetHeadRequest{})
		if err == nil {
			_, err = p.Placement.Renew(context.Background(), &peerv1.RenewRequest{From: p.Self.Proto()})
		}
		if err == nil {
			_, err = p.Quota.Draw(context.Background(), &peerv1.DrawRequest{From: p.Self.Proto(), Workspace: "x"})
		}
		done <- err
	}()
	select {
	case err := <-done:
		return err
	case <-time.After(time.Minute):
		return errNoReply
	}
}
