// Package memstore is an in-memory stand-in for the platform's key-value service. It implements kvstore.Store, runs on
// the fake clock of testing/synctest and injects faults of the service.
package memstore

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/boragecourse/boragecourse/internal/kvstore"
)

// Causes of injected failures.
var (
	errOutage       = errors.New("injected outage")
	errResponseLost = errors.New("injected loss of the response")
)

// Store holds the data. Each daemon accesses it through its own Client, so that faults can be set per host.
type Store struct {
	mu       sync.Mutex
	revision int64
	values   map[string]kvstore.KeyValue
	leases   map[kvstore.LeaseID]*lease
	nextID   kvstore.LeaseID
	watches  map[*watch]bool
	history  []kvstore.Event
	reads    int64
	writes   int64
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

type watch struct {
	prefix string
	queue  []kvstore.WatchBatch
	wake   chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{
		values: map[string]kvstore.KeyValue{}, leases: map[kvstore.LeaseID]*lease{},
		watches: map[*watch]bool{},
	}
}

// Calls returns how many reads and writes reached the store; a watch counts as one read, a lease renewal as a write.
func (s *Store) Calls() (reads, writes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

// ExpireLease expires a lease immediately and deletes its keys, as the service does when the lease's owner is
// paused for longer than the TTL.
func (s *Store) ExpireLease(id kvstore.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropLease(id)
}

// BreakWatches ends all open watches with an error, so that their clients miss events until they watch again.
func (s *Store) BreakWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.watches {
		w.push(kvstore.WatchBatch{Err: &kvstore.UnavailableError{Op: "watch", Cause: errOutage}})
		delete(s.watches, w)
	}
}

// Client is one host's connection to the store.
type Client struct {
	store *Store

	mu            sync.Mutex
	down          bool
	delay         time.Duration
	loseResponses int
}

var _ kvstore.Store = (*Client)(nil)

// Client returns a new connection without injected faults.
func (s *Store) Client() *Client { return &Client{store: s} }

// SetDown sets whether every call fails without effect. Open watches stay open. The next event of such a watch is lost
// and ends the watch with an error.
func (c *Client) SetDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// SetDelay delays every call before it takes effect.
func (c *Client) SetDelay(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay = d
}

// LoseResponses makes the next n transactions take effect but return an OutcomeUnknownError, as if the response was
// lost.
func (c *Client) LoseResponses(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loseResponses = n
}

func (c *Client) isDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.down
}

// beginCall applies the injected outage and delay. If it returns an error, the call must have no effect.
func (c *Client) beginCall(ctx context.Context, op string) error {
	c.mu.Lock()
	down, delay := c.down, c.delay
	c.mu.Unlock()
	if down {
		return &kvstore.UnavailableError{Op: op, Cause: errOutage}
	}
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return &kvstore.UnavailableError{Op: op, Cause: ctx.Err()}
		}
	}
	if err := ctx.Err(); err != nil {
		return &kvstore.UnavailableError{Op: op, Cause: err}
	}
	return nil
}

// endCall returns an OutcomeUnknownError if the response of a transaction must be lost.
func (c *Client) endCall(op string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loseResponses > 0 {
		c.loseResponses--
		return &kvstore.OutcomeUnknownError{Op: op, Cause: errResponseLost}
	}
	return nil
}

// Get implements kvstore.Store.
func (c *Client) Get(ctx context.Context, key string) (kvstore.KeyValue, bool, error) {
	if err := c.beginCall(ctx, "get"); err != nil {
		return kvstore.KeyValue{}, false, err
	}
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	kv, ok := s.values[key]
	return kv, ok, nil
}

// List implements kvstore.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]kvstore.KeyValue, error) {
	if err := c.beginCall(ctx, "list"); err != nil {
		return nil, err
	}
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	var found []kvstore.KeyValue
	for k, kv := range s.values {
		if strings.HasPrefix(k, prefix) {
			found = append(found, kv)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, nil
}

// Txn implements kvstore.Store.
func (c *Client) Txn(ctx context.Context, conditions []kvstore.Condition, writes []kvstore.Write) (kvstore.TxnResult, error) {
	if err := c.beginCall(ctx, "txn"); err != nil {
		return kvstore.TxnResult{}, err
	}
	result := c.store.txn(conditions, writes)
	if err := c.endCall("txn"); err != nil {
		return kvstore.TxnResult{}, err
	}
	return result, nil
}

func (s *Store) txn(conditions []kvstore.Condition, writes []kvstore.Write) kvstore.TxnResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	result := kvstore.TxnResult{Succeeded: true}
	for _, cond := range conditions {
		if s.values[cond.Key].ModRevision != cond.ModRevision {
			result.Succeeded = false
		}
	}
	for _, w := range writes {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			result.Succeeded = false
		}
	}
	if result.Succeeded {
		s.apply(writes)
	} else {
		for _, cond := range conditions {
			if kv, ok := s.values[cond.Key]; ok {
				result.Current = append(result.Current, kv)
			}
		}
	}
	result.Revision = s.revision
	return result
}

func (s *Store) apply(writes []kvstore.Write) {
	if len(writes) == 0 {
		return
	}
	s.revision++
	var events []kvstore.Event
	for _, w := range writes {
		kv := kvstore.KeyValue{Key: w.Key, Value: append([]byte(nil), w.Value...), ModRevision: s.revision, Lease: w.Lease}
		if w.Value == nil {
			if _, ok := s.values[w.Key]; !ok {
				continue
			}
			delete(s.values, w.Key)
			events = append(events, kvstore.Event{KeyValue: kvstore.KeyValue{Key: w.Key, ModRevision: s.revision}, Deleted: true})
			continue
		}
		s.values[w.Key] = kv
		events = append(events, kvstore.Event{KeyValue: kv})
	}
	s.history = append(s.history, events...)
	for w := range s.watches {
		w.deliver(events, s.revision)
	}
}

func (w *watch) deliver(events []kvstore.Event, revision int64) {
	var matching []kvstore.Event
	for _, e := range events {
		if strings.HasPrefix(e.Key, w.prefix) {
			matching = append(matching, e)
		}
	}
	if len(matching) > 0 {
		w.push(kvstore.WatchBatch{Events: matching, Revision: revision})
	}
}

func (w *watch) push(b kvstore.WatchBatch) {
	w.queue = append(w.queue, b)
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Watch implements kvstore.Store.
func (c *Client) Watch(ctx context.Context, prefix string, fromRevision int64) <-chan kvstore.WatchBatch {
	out := make(chan kvstore.WatchBatch)
	if c.isDown() {
		go send(ctx, out, kvstore.WatchBatch{Err: &kvstore.UnavailableError{Op: "watch", Cause: errOutage}})
		return out
	}
	s := c.store
	w := &watch{prefix: prefix, wake: make(chan struct{}, 1)}
	s.mu.Lock()
	s.reads++
	s.watches[w] = true
	var missed []kvstore.Event
	for _, e := range s.history {
		if e.ModRevision >= fromRevision {
			missed = append(missed, e)
		}
	}
	w.deliver(missed, s.revision)
	s.mu.Unlock()
	go c.pump(ctx, w, out)
	return out
}

func send(ctx context.Context, out chan<- kvstore.WatchBatch, b kvstore.WatchBatch) bool {
	select {
	case out <- b:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *Client) pump(ctx context.Context, w *watch, out chan<- kvstore.WatchBatch) {
	s := c.store
	defer func() {
		s.mu.Lock()
		delete(s.watches, w)
		s.mu.Unlock()
	}()
	for {
		select {
		case <-w.wake:
		case <-ctx.Done():
			return
		}
		s.mu.Lock()
		queue := w.queue
		w.queue = nil
		s.mu.Unlock()
		for _, b := range queue {
			if c.isDown() {
				b = kvstore.WatchBatch{Err: &kvstore.UnavailableError{Op: "watch", Cause: errOutage}}
			}
			if !send(ctx, out, b) || b.Err != nil {
				return
			}
		}
	}
}

// GrantLease implements kvstore.Store.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, time.Duration, error) {
	if err := c.beginCall(ctx, "lease grant"); err != nil {
		return 0, 0, err
	}
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	ttl = (ttl + time.Second - 1).Truncate(time.Second)
	s.nextID++
	id := s.nextID
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.ExpireLease(id) })}
	return id, ttl, nil
}

// KeepAlive implements kvstore.Store.
func (c *Client) KeepAlive(ctx context.Context, id kvstore.LeaseID) (time.Duration, error) {
	if err := c.beginCall(ctx, "lease renewal"); err != nil {
		return 0, err
	}
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	l := s.leases[id]
	if l == nil {
		return 0, &kvstore.LeaseExpiredError{ID: id}
	}
	l.timer.Reset(l.ttl)
	return l.ttl, nil
}

// RevokeLease implements kvstore.Store.
func (c *Client) RevokeLease(ctx context.Context, id kvstore.LeaseID) error {
	if err := c.beginCall(ctx, "lease revoke"); err != nil {
		return err
	}
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	s.dropLease(id)
	return nil
}

func (s *Store) dropLease(id kvstore.LeaseID) {
	l := s.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	var deletions []kvstore.Write
	for k, kv := range s.values {
		if kv.Lease == id {
			deletions = append(deletions, kvstore.Write{Key: k})
		}
	}
	sort.Slice(deletions, func(i, j int) bool { return deletions[i].Key < deletions[j].Key })
	s.apply(deletions)
}
