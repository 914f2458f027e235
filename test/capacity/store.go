package capacity

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/boragecourse/boragecourse/internal/kvstore"
)

// keyPrefix is the common prefix of all store keys.
const keyPrefix = "/boragecourse/"

// storeCalls counts the store calls of all hosts by kind, with the bytes of keys and values in both directions.
type storeCalls struct {
	mu    sync.Mutex
	calls map[string]Traffic
}

// count adds a call. Its kind is the operation and the first segment of the key after keyPrefix.
func (c *storeCalls) count(op, key string, bytes int) {
	kind := op + " " + strings.SplitN(strings.TrimPrefix(key, keyPrefix), "/", 2)[0]
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.calls[kind]
	t.Messages++
	t.Bytes += int64(bytes)
	c.calls[kind] = t
}

func (c *storeCalls) copy() map[string]Traffic {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]Traffic{}
	for k, t := range c.calls {
		out[k] = t
	}
	return out
}

// countedStore is one host's store connection, with counted calls.
type countedStore struct {
	kvstore.Store
	calls *storeCalls
}

func (s *countedStore) Get(ctx context.Context, key string) (kvstore.KeyValue, bool, error) {
	kv, ok, err := s.Store.Get(ctx, key)
	s.calls.count("read", key, len(key)+len(kv.Value))
	return kv, ok, err
}

func (s *countedStore) List(ctx context.Context, prefix string) ([]kvstore.KeyValue, error) {
	kvs, err := s.Store.List(ctx, prefix)
	bytes := len(prefix)
	for _, kv := range kvs {
		bytes += len(kv.Key) + len(kv.Value)
	}
	s.calls.count("list", prefix, bytes)
	return kvs, err
}

func (s *countedStore) Txn(ctx context.Context, conditions []kvstore.Condition, writes []kvstore.Write) (kvstore.TxnResult, error) {
	key, bytes := "", 0
	for _, c := range conditions {
		key, bytes = c.Key, bytes+len(c.Key)
	}
	for _, w := range writes {
		key, bytes = w.Key, bytes+len(w.Key)+len(w.Value)
	}
	s.calls.count("write", key, bytes)
	return s.Store.Txn(ctx, conditions, writes)
}

func (s *countedStore) Watch(ctx context.Context, prefix string, from int64) <-chan kvstore.WatchBatch {
	s.calls.count("watch", prefix, len(prefix))
	return s.Store.Watch(ctx, prefix, from)
}

func (s *countedStore) GrantLease(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, time.Duration, error) {
	s.calls.count("write", "lease", 0)
	return s.Store.GrantLease(ctx, ttl)
}

func (s *countedStore) KeepAlive(ctx context.Context, id kvstore.LeaseID) (time.Duration, error) {
	s.calls.count("write", "lease", 0)
	return s.Store.KeepAlive(ctx, id)
}
