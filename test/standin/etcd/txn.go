package etcd

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/boragecourse/boragecourse/internal/kvstore"
	pb "github.com/boragecourse/boragecourse/proto/etcd/etcdserverpb"
)

// errLeaseNotFound has the status code and the message of etcd's own error.
var errLeaseNotFound = status.Error(codes.NotFound, "etcdserver: requested lease not found")

// Txn implements the KV service.
func (s *Server) Txn(ctx context.Context, req *pb.TxnRequest) (*pb.TxnResponse, error) {
	conditions, err := conditionsOf(req.Compare)
	if err != nil {
		return nil, err
	}
	writes, err := writesOf(req.Success)
	if err != nil {
		return nil, err
	}
	res, err := s.Client.Txn(ctx, conditions, writes)
	if err != nil {
		return nil, failure(err)
	}
	resp := &pb.TxnResponse{Header: &pb.ResponseHeader{Revision: res.Revision}, Succeeded: res.Succeeded}
	if res.Succeeded {
		return resp, nil
	}
	current := map[string]kvstore.KeyValue{}
	for _, kv := range res.Current {
		current[kv.Key] = kv
	}
	hold := true
	for _, c := range conditions {
		hold = hold && current[c.Key].ModRevision == c.ModRevision
	}
	if hold {
		return nil, errLeaseNotFound
	}
	for _, op := range req.Failure {
		r := op.GetRequestRange()
		if r == nil || !isSingleKey(r.RangeEnd) {
			return nil, status.Error(codes.Unimplemented, "failure branch supports only reads of single keys")
		}
		found := &pb.RangeResponse{Header: resp.Header}
		if kv, ok := current[string(r.Key)]; ok {
			found.Kvs, found.Count = append(found.Kvs, wireKeyValue(kv)), 1
		}
		resp.Responses = append(resp.Responses, &pb.ResponseOp{Response: &pb.ResponseOp_ResponseRange{ResponseRange: found}})
	}
	return resp, nil
}

func conditionsOf(compares []*pb.Compare) ([]kvstore.Condition, error) {
	var conditions []kvstore.Condition
	for _, c := range compares {
		if c.Target != pb.Compare_MOD || c.Result != pb.Compare_EQUAL {
			return nil, status.Error(codes.Unimplemented, "transaction supports only MOD EQUAL comparisons")
		}
		conditions = append(conditions, kvstore.Condition{Key: string(c.Key), ModRevision: c.GetModRevision()})
	}
	return conditions, nil
}

func writesOf(ops []*pb.RequestOp) ([]kvstore.Write, error) {
	var writes []kvstore.Write
	for _, op := range ops {
		put, del := op.GetRequestPut(), op.GetRequestDeleteRange()
		switch {
		case put != nil:
			value := put.Value
			if value == nil {
				value = []byte{}
			}
			writes = append(writes, kvstore.Write{Key: string(put.Key), Value: value, Lease: kvstore.LeaseID(put.Lease)})
		case del != nil && isSingleKey(del.RangeEnd):
			writes = append(writes, kvstore.Write{Key: string(del.Key)})
		default:
			return nil, status.Error(codes.Unimplemented, "success branch supports only puts and deletions of single keys")
		}
	}
	return writes, nil
}

// LeaseGrant implements the Lease service.
func (s *Server) LeaseGrant(ctx context.Context, req *pb.LeaseGrantRequest) (*pb.LeaseGrantResponse, error) {
	if req.TTL <= 0 || req.ID != 0 {
		return nil, status.Error(codes.InvalidArgument, "lease TTL must be positive and ID must be 0")
	}
	id, ttl, err := s.Client.GrantLease(ctx, time.Duration(req.TTL)*time.Second)
	if err != nil {
		return nil, failure(err)
	}
	return &pb.LeaseGrantResponse{ID: int64(id), TTL: int64(ttl / time.Second)}, nil
}

// LeaseRevoke implements the Lease service.
func (s *Server) LeaseRevoke(ctx context.Context, req *pb.LeaseRevokeRequest) (*pb.LeaseRevokeResponse, error) {
	if err := s.Client.RevokeLease(ctx, kvstore.LeaseID(req.ID)); err != nil {
		return nil, failure(err)
	}
	return &pb.LeaseRevokeResponse{}, nil
}

// LeaseKeepAlive implements the Lease service. A TTL of zero in the response means that the lease has expired.
func (s *Server) LeaseKeepAlive(stream grpc.BidiStreamingServer[pb.LeaseKeepAliveRequest, pb.LeaseKeepAliveResponse]) error {
	for {
		req, err := stream.Recv()
		if err != nil {
			return nil //nolint:nilerr // The client closed the stream.
		}
		ttl, err := s.Client.KeepAlive(stream.Context(), kvstore.LeaseID(req.ID))
		var expired *kvstore.LeaseExpiredError
		if err != nil && !errors.As(err, &expired) {
			return failure(err)
		}
		if err := stream.Send(&pb.LeaseKeepAliveResponse{ID: req.ID, TTL: int64(ttl / time.Second)}); err != nil {
			return err
		}
	}
}
