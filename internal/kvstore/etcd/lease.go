package etcd

import (
	"context"
	"errors"
	"time"

	"github.com/boragecourse/boragecourse/internal/kvstore"
	pb "github.com/boragecourse/boragecourse/proto/etcd/etcdserverpb"
)

// GrantLease implements kvstore.Store. After an *OutcomeUnknownError the store may hold a lease that nobody uses; it
// expires after its time to live.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, time.Duration, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var resp *pb.LeaseGrantResponse
	err := s.call(ctx, "lease grant", true, func(ctx context.Context) (err error) {
		resp, err = s.lease.LeaseGrant(ctx, &pb.LeaseGrantRequest{TTL: seconds})
		return err
	})
	if err != nil {
		return 0, 0, err
	}
	return kvstore.LeaseID(resp.ID), time.Duration(resp.TTL) * time.Second, nil
}

// KeepAlive implements kvstore.Store.
func (s *Store) KeepAlive(ctx context.Context, id kvstore.LeaseID) (time.Duration, error) {
	var resp *pb.LeaseKeepAliveResponse
	err := s.call(ctx, "lease renewal", true, func(ctx context.Context) error {
		stream, err := s.lease.LeaseKeepAlive(ctx)
		if err != nil {
			return err
		}
		// A failed Send returns io.EOF; Recv returns the cause.
		_ = stream.Send(&pb.LeaseKeepAliveRequest{ID: int64(id)})
		if resp, err = stream.Recv(); err != nil {
			return err
		}
		return stream.CloseSend()
	})
	if err != nil {
		return 0, err
	}
	if resp.TTL <= 0 {
		return 0, &kvstore.LeaseExpiredError{ID: id}
	}
	return time.Duration(resp.TTL) * time.Second, nil
}

// RevokeLease implements kvstore.Store. It succeeds if the lease no longer exists.
func (s *Store) RevokeLease(ctx context.Context, id kvstore.LeaseID) error {
	err := s.call(ctx, "lease revoke", true, func(ctx context.Context) error {
		_, err := s.lease.LeaseRevoke(ctx, &pb.LeaseRevokeRequest{ID: int64(id)})
		return err
	})
	if isLeaseNotFound(errors.Unwrap(err)) {
		return nil
	}
	return err
}
