package etcd

import (
	"context"

	"github.com/boragecourse/boragecourse/internal/kvstore"
	pb "github.com/boragecourse/boragecourse/proto/etcd/etcdserverpb"
	"github.com/boragecourse/boragecourse/proto/etcd/mvccpb"
)

// Watch implements kvstore.Store. When the watch ends for another reason than the context, the channel delivers one
// batch with Err. The channel is never closed. The client does not reopen a watch automatically, because the caller
// has to read the keys first.
//
// The store compacts old revisions. A watch from a compacted revision ends with a *WatchCanceledError; later watches
// on the same prefix start at the store's oldest revision or later. The read that the caller makes after the error is
// newer than that revision, so no change is missed.
func (s *Store) Watch(ctx context.Context, prefix string, fromRevision int64) <-chan kvstore.WatchBatch {
	out := make(chan kvstore.WatchBatch)
	s.mu.Lock()
	fromRevision = max(fromRevision, s.compacted[prefix])
	s.mu.Unlock()
	go func() {
		err := s.runWatch(ctx, prefix, fromRevision, out)
		deliver(ctx, out, kvstore.WatchBatch{Err: &kvstore.UnavailableError{Op: "watch", Cause: err}})
	}()
	return out
}

func deliver(ctx context.Context, out chan<- kvstore.WatchBatch, b kvstore.WatchBatch) bool {
	select {
	case out <- b:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Store) runWatch(ctx context.Context, prefix string, from int64, out chan<- kvstore.WatchBatch) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := s.watch.Watch(ctx)
	if err != nil {
		return err
	}
	create := &pb.WatchCreateRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), StartRevision: from}
	// A failed Send returns io.EOF; Recv returns the cause.
	_ = stream.Send(&pb.WatchRequest{RequestUnion: &pb.WatchRequest_CreateRequest{CreateRequest: create}})
	for {
		resp, err := stream.Recv()
		if err != nil {
			return err
		}
		if resp.Canceled {
			if resp.CompactRevision > 0 {
				s.mu.Lock()
				s.compacted[prefix] = resp.CompactRevision
				s.mu.Unlock()
			}
			return &WatchCanceledError{Reason: resp.CancelReason, CompactRevision: resp.CompactRevision}
		}
		if len(resp.Events) == 0 {
			continue
		}
		batch := kvstore.WatchBatch{Revision: resp.Header.GetRevision()}
		for _, e := range resp.Events {
			event := kvstore.Event{KeyValue: keyValue(e.Kv), Deleted: e.Type == mvccpb.Event_DELETE}
			if event.Deleted {
				event.Value = nil
			}
			batch.Events = append(batch.Events, event)
		}
		if !deliver(ctx, out, batch) {
			return ctx.Err()
		}
	}
}
