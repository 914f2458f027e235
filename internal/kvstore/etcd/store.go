// Package etcd implements kvstore.Store over a subset of the published etcd v3 wire protocol: Range, Txn,
// Lease and Watch.
package etcd

import (
	"context"
	"crypto/tls"
	"errors"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/resolver"
	"google.golang.org/grpc/resolver/manual"
	"google.golang.org/grpc/status"

	"github.com/boragecourse/boragecourse/internal/kvstore"
	pb "github.com/boragecourse/boragecourse/proto/etcd/etcdserverpb"
	"github.com/boragecourse/boragecourse/proto/etcd/mvccpb"
)

const (
	// DefaultCallTimeout bounds one call. A store in operation responds within milliseconds.
	DefaultCallTimeout = 2 * time.Second
	// MaxValue is the platform's limit for one value, in bytes.
	MaxValue = 1 << 20
	// maxSend is the gRPC message limit for requests, in bytes: one value of the largest size, a few small ones, keys
	// and framing.
	maxSend = 2 << 20
	// maxReceive is the gRPC message limit for responses, in bytes. List requests smaller pages when one exceeds it.
	maxReceive = 8 << 20
	// initialPageSize is the number of values that List requests per page at first.
	initialPageSize = 512
	// pageDivisor is the factor by which List reduces the page size after a page above maxReceive.
	pageDivisor = 8
	// reconnectBase and reconnectMax bound the backoff between connection attempts, so that hosts reconnect within
	// seconds after an outage, but hundreds of them not all at the same time.
	reconnectBase = 100 * time.Millisecond
	reconnectMax  = 2 * time.Second
	// pingInterval is the idle time after which the connection is probed. It is above 5 s, because the etcd server
	// refuses more frequent probes.
	pingInterval = 10 * time.Second
	pingTimeout  = 2 * time.Second
)

var errNoEndpoint = errors.New("no address given")

// Options configure the client.
type Options struct {
	// Endpoints are the store's addresses, ip:port. The client uses one at a time.
	Endpoints []string
	// CallTimeout bounds one call. Default 2 s.
	CallTimeout time.Duration
	// TLS configures transport security; nil means plain text.
	TLS *tls.Config
}

// Store is a kvstore.Store over gRPC. It connects on first use and reconnects automatically.
type Store struct {
	conn    *grpc.ClientConn
	kv      pb.KVClient
	lease   pb.LeaseClient
	watch   pb.WatchClient
	timeout time.Duration

	mu sync.Mutex
	// compacted holds, by prefix, the compact revision reported for the last watch that started before it.
	compacted map[string]int64
}

var _ kvstore.Store = (*Store)(nil)

// New returns a client without waiting for a connection. The error is an *EndpointsError.
func New(o Options) (*Store, error) {
	if len(o.Endpoints) == 0 {
		return nil, &EndpointsError{Cause: errNoEndpoint}
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	addrs := manual.NewBuilderWithScheme("store")
	var state resolver.State
	for _, e := range o.Endpoints {
		state.Addresses = append(state.Addresses, resolver.Address{Addr: e})
	}
	addrs.InitialState(state)
	creds := insecure.NewCredentials()
	if o.TLS != nil {
		creds = credentials.NewTLS(o.TLS)
	}
	conn, err := grpc.NewClient("store:///platform",
		grpc.WithResolvers(addrs),
		grpc.WithTransportCredentials(creds),
		grpc.WithDefaultCallOptions(grpc.MaxCallSendMsgSize(maxSend), grpc.MaxCallRecvMsgSize(maxReceive)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectBase, Multiplier: 1.6, Jitter: 0.3, MaxDelay: reconnectMax},
			MinConnectTimeout: time.Second,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.WithStatsHandler(sendTracker{}),
	)
	if err != nil {
		return nil, &EndpointsError{Cause: err}
	}
	return &Store{
		conn: conn, kv: pb.NewKVClient(conn), lease: pb.NewLeaseClient(conn), watch: pb.NewWatchClient(conn),
		timeout: o.CallTimeout, compacted: map[string]int64{},
	}, nil
}

// Close closes the connection, which ends all watches.
func (s *Store) Close() error { return s.conn.Close() }

// call runs f with the call timeout and classifies its error.
func (s *Store) call(ctx context.Context, op string, writes bool, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	tracked, sent := trackSend(ctx)
	if err := f(tracked); err != nil {
		return classify(op, writes, sent, err)
	}
	return nil
}

// Get implements kvstore.Store.
func (s *Store) Get(ctx context.Context, key string) (kvstore.KeyValue, bool, error) {
	var resp *pb.RangeResponse
	err := s.call(ctx, "get", false, func(ctx context.Context) (err error) {
		resp, err = s.kv.Range(ctx, &pb.RangeRequest{Key: []byte(key)})
		return err
	})
	if err != nil || len(resp.Kvs) == 0 {
		return kvstore.KeyValue{}, false, err
	}
	return keyValue(resp.Kvs[0]), true, nil
}

// List implements kvstore.Store. Pages after the first are read at the revision of the first, so that the result is a
// consistent snapshot.
func (s *Store) List(ctx context.Context, prefix string) ([]kvstore.KeyValue, error) {
	var found []kvstore.KeyValue
	key, end, limit, revision := []byte(prefix), prefixEnd(prefix), int64(initialPageSize), int64(0)
	for {
		var resp *pb.RangeResponse
		err := s.call(ctx, "list", false, func(ctx context.Context) (err error) {
			resp, err = s.kv.Range(ctx, &pb.RangeRequest{Key: key, RangeEnd: end, Limit: limit, Revision: revision})
			return err
		})
		if status.Code(errors.Unwrap(err)) == codes.ResourceExhausted && limit > 1 {
			limit = max(1, limit/pageDivisor)
			continue
		}
		if err != nil {
			return nil, err
		}
		for _, kv := range resp.Kvs {
			found = append(found, keyValue(kv))
		}
		if !resp.More || len(resp.Kvs) == 0 {
			return found, nil
		}
		key, revision = append(resp.Kvs[len(resp.Kvs)-1].Key, 0), resp.Header.GetRevision()
	}
}

// Txn implements kvstore.Store. A write under an expired lease fails the transaction: Succeeded is false and Current
// is empty.
func (s *Store) Txn(ctx context.Context, conditions []kvstore.Condition, writes []kvstore.Write) (kvstore.TxnResult, error) {
	req := &pb.TxnRequest{}
	for _, c := range conditions {
		req.Compare = append(req.Compare, &pb.Compare{
			Key: []byte(c.Key), Target: pb.Compare_MOD, Result: pb.Compare_EQUAL,
			TargetUnion: &pb.Compare_ModRevision{ModRevision: c.ModRevision},
		})
		req.Failure = append(req.Failure, &pb.RequestOp{
			Request: &pb.RequestOp_RequestRange{RequestRange: &pb.RangeRequest{Key: []byte(c.Key)}},
		})
	}
	for _, w := range writes {
		if len(w.Value) > MaxValue {
			return kvstore.TxnResult{}, &kvstore.UnavailableError{
				Op: "txn", Cause: &ValueTooLargeError{Key: w.Key, Size: len(w.Value), Limit: MaxValue},
			}
		}
		req.Success = append(req.Success, writeOp(w))
	}
	var resp *pb.TxnResponse
	err := s.call(ctx, "txn", len(writes) > 0, func(ctx context.Context) (err error) {
		resp, err = s.kv.Txn(ctx, req)
		return err
	})
	if isLeaseNotFound(errors.Unwrap(err)) {
		return kvstore.TxnResult{}, nil
	}
	if err != nil {
		return kvstore.TxnResult{}, err
	}
	result := kvstore.TxnResult{Succeeded: resp.Succeeded, Revision: resp.Header.GetRevision()}
	if !resp.Succeeded {
		for _, r := range resp.Responses {
			for _, kv := range r.GetResponseRange().GetKvs() {
				result.Current = append(result.Current, keyValue(kv))
			}
		}
	}
	return result, nil
}

func writeOp(w kvstore.Write) *pb.RequestOp {
	if w.Value == nil {
		return &pb.RequestOp{Request: &pb.RequestOp_RequestDeleteRange{
			RequestDeleteRange: &pb.DeleteRangeRequest{Key: []byte(w.Key)},
		}}
	}
	return &pb.RequestOp{Request: &pb.RequestOp_RequestPut{
		RequestPut: &pb.PutRequest{Key: []byte(w.Key), Value: w.Value, Lease: int64(w.Lease)},
	}}
}

func keyValue(kv *mvccpb.KeyValue) kvstore.KeyValue {
	return kvstore.KeyValue{
		Key: string(kv.Key), Value: kv.Value, ModRevision: kv.ModRevision, Lease: kvstore.LeaseID(kv.Lease),
	}
}

// prefixEnd returns the range end for all keys with the prefix. A single zero byte stands for the end of the key space.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
