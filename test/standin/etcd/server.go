// Package etcd is a stand-in for an etcd server, the platform's key-value service. It serves the subset of the etcd v3
// wire protocol in proto/etcd over gRPC, from a memstore. Transactions support MOD comparisons for equality and puts,
// deletions and reads of single keys. Versions and create revisions are not tracked.
package etcd

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/boragecourse/boragecourse/internal/kvstore"
	pb "github.com/boragecourse/boragecourse/proto/etcd/etcdserverpb"
	"github.com/boragecourse/boragecourse/proto/etcd/mvccpb"
	"github.com/boragecourse/boragecourse/test/standin/memstore"
)

// maxRequest is the size limit of a request in bytes: 1.5 MB, the default of etcd.
const maxRequest = 3 << 19

// Server serves one memstore over gRPC. Tests inject faults through Store and Client.
type Server struct {
	pb.UnimplementedKVServer
	pb.UnimplementedLeaseServer
	pb.UnimplementedWatchServer

	// Store holds the data; Client is the connection through which the server accesses it.
	Store  *memstore.Store
	Client *memstore.Client

	grpc      *grpc.Server
	mu        sync.Mutex
	compacted int64
	hostLag   time.Duration
}

// New returns a server for a store. The store may outlive the server, as the platform's data outlives an outage.
func New(store *memstore.Store) *Server {
	s := &Server{Store: store, Client: store.Client(), grpc: grpc.NewServer(grpc.MaxRecvMsgSize(maxRequest))}
	pb.RegisterKVServer(s.grpc, s)
	pb.RegisterLeaseServer(s.grpc, s)
	pb.RegisterWatchServer(s.grpc, s)
	return s
}

// Serve serves calls on the listener until Stop.
func (s *Server) Serve(l net.Listener) error { return s.grpc.Serve(l) }

// Stop closes the listener and all connections at once, as an outage does.
func (s *Server) Stop() { s.grpc.Stop() }

// Compact makes watches that start before the given revision fail as compacted.
func (s *Server) Compact(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = revision
}

// SetHostLag sets the delay of later PublishHost calls.
func (s *Server) SetHostLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hostLag = lag
}

// PublishHost writes an entry of the host list after the delay set by SetHostLag.
func (s *Server) PublishHost(e kvstore.HostEntry) error {
	key, value, err := kvstore.EncodeHost(e)
	if err != nil {
		return err
	}
	s.mu.Lock()
	lag := s.hostLag
	s.mu.Unlock()
	write := func() {
		_, _ = s.Store.Client().Txn(context.Background(), nil, []kvstore.Write{{Key: key, Value: value}})
	}
	if lag == 0 {
		write()
		return nil
	}
	time.AfterFunc(lag, write)
	return nil
}

// failure converts a store error. UnavailableError and OutcomeUnknownError both become codes.Unavailable, the code that
// a client reports for a broken connection.
func failure(err error) error { return status.Error(codes.Unavailable, err.Error()) }

func (s *Server) header(ctx context.Context) (*pb.ResponseHeader, error) {
	res, err := s.Store.Client().Txn(ctx, nil, nil)
	if err != nil {
		return nil, failure(err)
	}
	return &pb.ResponseHeader{ClusterId: 1, MemberId: 1, Revision: res.Revision, RaftTerm: 1}, nil
}

// span is a range of keys in etcd's convention: an empty end means one key, a zero byte the end of the key space.
type span struct{ key, end string }

func (r span) has(key string) bool {
	switch r.end {
	case "":
		return key == r.key
	case "\x00":
		return key >= r.key
	default:
		return key >= r.key && key < r.end
	}
}

// prefix returns a prefix that all keys of the range share.
func (r span) prefix() string {
	if r.end == "" {
		return r.key
	}
	n := 0
	for n < len(r.key) && n < len(r.end) && r.key[n] == r.end[n] {
		n++
	}
	return r.key[:n]
}

// Range implements the KV service. It always reads the current state; the revision of the request is ignored.
func (s *Server) Range(ctx context.Context, req *pb.RangeRequest) (*pb.RangeResponse, error) {
	header, err := s.header(ctx)
	if err != nil {
		return nil, err
	}
	r := span{string(req.Key), string(req.RangeEnd)}
	kvs, err := s.Client.List(ctx, r.prefix())
	if err != nil {
		return nil, failure(err)
	}
	resp := &pb.RangeResponse{Header: header}
	for _, kv := range kvs {
		if !r.has(kv.Key) {
			continue
		}
		resp.Count++
		if req.CountOnly {
			continue
		}
		if req.Limit > 0 && int64(len(resp.Kvs)) == req.Limit {
			resp.More = true
			continue
		}
		wire := wireKeyValue(kv)
		if req.KeysOnly {
			wire.Value = nil
		}
		resp.Kvs = append(resp.Kvs, wire)
	}
	return resp, nil
}

func wireKeyValue(kv kvstore.KeyValue) *mvccpb.KeyValue {
	return &mvccpb.KeyValue{Key: []byte(kv.Key), Value: kv.Value, ModRevision: kv.ModRevision, Lease: int64(kv.Lease)}
}

// Put implements the KV service.
func (s *Server) Put(ctx context.Context, req *pb.PutRequest) (*pb.PutResponse, error) {
	resp, err := s.Txn(ctx, &pb.TxnRequest{Success: []*pb.RequestOp{{Request: &pb.RequestOp_RequestPut{RequestPut: req}}}})
	if err != nil {
		return nil, err
	}
	return &pb.PutResponse{Header: resp.Header}, nil
}

// DeleteRange implements the KV service.
func (s *Server) DeleteRange(ctx context.Context, req *pb.DeleteRangeRequest) (*pb.DeleteRangeResponse, error) {
	r := span{string(req.Key), string(req.RangeEnd)}
	kvs, err := s.Client.List(ctx, r.prefix())
	if err != nil {
		return nil, failure(err)
	}
	var writes []kvstore.Write
	for _, kv := range kvs {
		if r.has(kv.Key) {
			writes = append(writes, kvstore.Write{Key: kv.Key})
		}
	}
	res, err := s.Client.Txn(ctx, nil, writes)
	if err != nil {
		return nil, failure(err)
	}
	return &pb.DeleteRangeResponse{Header: &pb.ResponseHeader{Revision: res.Revision}, Deleted: int64(len(writes))}, nil
}

// Watch implements the Watch service with one watch per stream, which is all that the daemon's client needs.
func (s *Server) Watch(stream grpc.BidiStreamingServer[pb.WatchRequest, pb.WatchResponse]) error {
	req, err := stream.Recv()
	if err != nil {
		return err
	}
	create := req.GetCreateRequest()
	if create == nil {
		return status.Error(codes.InvalidArgument, "first message on the stream must be a create request")
	}
	header, err := s.header(stream.Context())
	if err != nil {
		return err
	}
	from := create.StartRevision
	s.mu.Lock()
	compacted := s.compacted
	s.mu.Unlock()
	if from == 0 {
		from = header.Revision + 1
	}
	if err := stream.Send(&pb.WatchResponse{Header: header, Created: true}); err != nil {
		return err
	}
	if from < compacted {
		return stream.Send(&pb.WatchResponse{
			Header: header, Canceled: true, CompactRevision: compacted,
			CancelReason: "mvcc: required revision has been compacted",
		})
	}
	r := span{string(create.Key), string(create.RangeEnd)}
	batches := s.Client.Watch(stream.Context(), r.prefix(), from)
	for {
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case b := <-batches:
			if b.Err != nil {
				return failure(b.Err)
			}
			if err := stream.Send(watchResponse(b, r)); err != nil {
				return err
			}
		}
	}
}

func watchResponse(b kvstore.WatchBatch, r span) *pb.WatchResponse {
	resp := &pb.WatchResponse{Header: &pb.ResponseHeader{Revision: b.Revision}}
	for _, e := range b.Events {
		if !r.has(e.Key) {
			continue
		}
		event := &mvccpb.Event{Kv: wireKeyValue(e.KeyValue)}
		if e.Deleted {
			event.Type = mvccpb.Event_DELETE
		}
		resp.Events = append(resp.Events, event)
	}
	return resp
}

// isSingleKey reports whether the range end of a transaction's operation denotes one key.
func isSingleKey(end []byte) bool { return len(end) == 0 }
