package etcd_test

import (
	"net"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	pb "github.com/boragecourse/boragecourse/proto/etcd/etcdserverpb"
	"github.com/boragecourse/boragecourse/test/standin/etcd"
	"github.com/boragecourse/boragecourse/test/standin/memstore"
)

// Guards against deviations from the etcd protocol in the calls that the daemon's adapter does not make and its
// tests therefore do not cover: Put, ranges by end key, DeleteRange, a watch without a start revision, and
// unsupported comparisons.
func TestProtocolSubset(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := etcd.New(memstore.New())
	go func() { _ = server.Serve(l) }()
	defer server.Stop()
	conn, err := grpc.NewClient(l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	kv, ctx := pb.NewKVClient(conn), t.Context()
	for _, key := range []string{"a", "b1", "b2", "b3", "c"} {
		_, err := kv.Put(ctx, &pb.PutRequest{Key: []byte(key), Value: []byte("v")})
		g.Expect(err).NotTo(HaveOccurred())
	}
	keys := func(req *pb.RangeRequest) (out []string) {
		resp, err := kv.Range(ctx, req)
		g.Expect(err).NotTo(HaveOccurred())
		for _, e := range resp.Kvs {
			out = append(out, string(e.Key))
		}
		return out
	}
	g.Expect(keys(&pb.RangeRequest{Key: []byte("b"), RangeEnd: []byte("c")})).To(Equal([]string{"b1", "b2", "b3"}))
	g.Expect(keys(&pb.RangeRequest{Key: []byte("b2"), RangeEnd: []byte{0}})).To(Equal([]string{"b2", "b3", "c"}))
	g.Expect(keys(&pb.RangeRequest{Key: []byte("b")})).To(BeEmpty())
	page, err := kv.Range(ctx, &pb.RangeRequest{Key: []byte("b"), RangeEnd: []byte("c"), Limit: 2})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(page.More).To(BeTrue())
	g.Expect(page.Count).To(Equal(int64(3)))

	watch, err := pb.NewWatchClient(conn).Watch(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	create := &pb.WatchCreateRequest{Key: []byte("b"), RangeEnd: []byte("c")}
	g.Expect(watch.Send(&pb.WatchRequest{RequestUnion: &pb.WatchRequest_CreateRequest{CreateRequest: create}})).To(Succeed())
	created, err := watch.Recv()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(created.Created).To(BeTrue())

	gone, err := kv.DeleteRange(ctx, &pb.DeleteRangeRequest{Key: []byte("b"), RangeEnd: []byte("b3")})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(gone.Deleted).To(Equal(int64(2)))
	event, err := watch.Recv()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(event.Events).To(HaveLen(2), "only the deletions, since the watch starts now")

	_, err = kv.Txn(ctx, &pb.TxnRequest{Compare: []*pb.Compare{{Key: []byte("a"), Target: pb.Compare_VALUE}}})
	g.Expect(status.Code(err)).To(Equal(codes.Unimplemented))
}
