// Package users provides HTTP stand-ins for the users' platform, with fault injection: its key-value store and its
// backend servers, according to the users' interface descriptions. Tests use them to cover the complete request path
// without the users' test bench.
package users

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault selects how the store handles the calls that arrive at one Endpoint.
type Fault int

// Faults of the store.
const (
	Healthy Fault = iota
	// Refusing responds with status 503 without effect.
	Refusing
	// Unresponsive accepts calls and never responds, without effect.
	Unresponsive
	// LosingResponses executes writes and closes the connection without a response. Reads are served.
	LosingResponses
)

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"createdAt"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// Store is a stand-in for the platform's key-value store. Clients access it through an Endpoint, so that faults can be
// limited to some of them.
type Store struct {
	mu        sync.Mutex
	items     map[string]item
	history   []item
	compacted int64
	revision  int64
	leases    map[int64]*lease
	changed   chan struct{}
	// era rises with each Restore.
	era int64
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{}), revision: 1, era: 1}
}

// Backup is the content of a store at an earlier time.
type Backup struct {
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	revision int64
}

// Backup copies the content of the store.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Backup{maps.Clone(s.items), slices.Clone(s.history), maps.Clone(s.leases), s.revision}
}

// Restore replaces the content of the store by an earlier one and begins a new era. Later writes get revisions that were
// given out before.
func (s *Store) Restore(b Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.items, s.history, s.leases, s.revision = maps.Clone(b.items), slices.Clone(b.history), maps.Clone(b.leases), b.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) setEra(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
}

// Endpoint is an HTTP endpoint of the store with its own injected fault.
type Endpoint struct {
	Addr string

	store  *Store
	server *http.Server

	mu    sync.Mutex
	fault Fault
	calls int
}

// Calls returns the number of calls that were made to the endpoint.
func (e *Endpoint) Calls() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls
}

// StartEndpoint serves the store at a new loopback address until the returned Endpoint is closed.
func (s *Store) StartEndpoint() (*Endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for store clients: %w", err)
	}
	e := &Endpoint{Addr: l.Addr().String(), store: s}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	return e, nil
}

// Close stops the endpoint and closes its connections; the store keeps its data.
func (e *Endpoint) Close() { _ = e.server.Close() }

// SetFault sets the fault for later calls; calls in progress are not affected.
func (e *Endpoint) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

func (e *Endpoint) currentFault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fault
}

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.calls++
	e.mu.Unlock()
	switch fault := e.currentFault(); {
	case fault == Refusing:
		e.store.setEra(w)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case fault == Unresponsive:
		<-r.Context().Done()
		return
	case fault == LosingResponses && r.Method != http.MethodGet:
		e.store.ServeHTTP(discardWriter{http.Header{}}, r)
		panic(http.ErrAbortHandler)
	}
	e.store.ServeHTTP(w, r)
}

type discardWriter struct{ h http.Header }

func (d discardWriter) Header() http.Header         { return d.h }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.expire()
	s.setEra(w)
	switch {
	case r.URL.Path == "/api/kv-key":
		s.serveKey(w, r)
	case r.URL.Path == "/api/kv-range":
		s.serveRange(w, r)
	case r.URL.Path == "/api/kv-watch":
		s.serveWatch(w, r)
	case r.URL.Path == "/api/kv-txn":
		s.serveTxn(w, r)
	case r.URL.Path == "/api/kv-lease":
		s.serveGrant(w, r)
	case strings.HasPrefix(r.URL.Path, "/api/kv-keep/"), strings.HasPrefix(r.URL.Path, "/api/kv-lease-end/"):
		s.serveLease(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, exists := s.items[r.URL.Query().Get("key")]
	if !exists {
		reply(w, http.StatusNotFound, map[string]any{"at": s.revision})
		return
	}
	reply(w, http.StatusOK, it)
}

// pageSize is the number of items per page of a range read; it is small so that tests cover paging.
const pageSize = 3

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "at": s.revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.compacted || after > s.revision {
			w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{})
			return
		}
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		at, changed := s.revision, s.changed
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

type txnRequest struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Deletes []string `json:"deletes"`
}

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var request txnRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []item{}
	holds := true
	for _, e := range request.Expected {
		it, exists := s.items[e.Key]
		holds = holds && it.Revision == e.Revision
		if exists {
			current = append(current, it)
		}
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range request.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, p := range request.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range request.Deletes {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *Store) put(key string, value []byte, lease int64) {
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, exists := s.items[key]; exists {
		it.Created = old.Created
	}
	s.items[key] = it
	s.recordEvent(it)
}

func (s *Store) remove(key string) {
	if _, exists := s.items[key]; !exists {
		return
	}
	s.revision++
	delete(s.items, key)
	s.recordEvent(item{Key: key, Revision: s.revision, Removed: true})
}

func (s *Store) recordEvent(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// firstLease is below all lease ids, which are far above the revisions.
const firstLease = 1 << 47

func (s *Store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(request.TTLMs) * time.Millisecond
	id := firstLease + s.revision
	s.leases[id] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": request.TTLMs})
}

func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:], 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	switch {
	case l == nil:
		reply(w, http.StatusNotFound, map[string]any{})
	case r.Method == http.MethodDelete:
		s.end(id)
		reply(w, http.StatusOK, map[string]any{})
	default:
		l.end = time.Now().Add(l.ttl)
		reply(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
	}
}

func (s *Store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.end(id)
		}
	}
}

// end removes a lease and deletes its keys. The caller holds the lock.
func (s *Store) end(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}

// Put writes a value without a lease, as an operator or a backend server does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

// Remove deletes a key. It does nothing if the key does not exist.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Compact discards the event history, so that every watch gets status 410 and must start with a new read.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.revision++
	s.compacted = s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}
