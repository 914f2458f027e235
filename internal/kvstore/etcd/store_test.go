package etcd_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/internal/kvstore/etcd"
	standin "github.com/boragecourse/boragecourse/test/standin/etcd"
	"github.com/boragecourse/boragecourse/test/standin/memstore"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// longTimeout is longer than any call takes on a loaded machine. No test waits for it to expire.
const longTimeout = time.Minute

type fixture struct {
	*WithT
	ctx    context.Context
	mem    *memstore.Store
	server *standin.Server
	addr   string
	store  *etcd.Store
}

func start(t *testing.T, timeout time.Duration) *fixture {
	f := &fixture{WithT: NewWithT(t), ctx: t.Context(), mem: memstore.New()}
	f.serve(t, "127.0.0.1:0")
	store, err := etcd.New(etcd.Options{Endpoints: []string{f.addr}, CallTimeout: timeout})
	f.Expect(err).NotTo(HaveOccurred())
	f.store = store
	t.Cleanup(func() { _ = store.Close() })
	return f
}

func (f *fixture) serve(t *testing.T, addr string) {
	l, err := net.Listen("tcp", addr)
	f.Expect(err).NotTo(HaveOccurred())
	f.addr, f.server = l.Addr().String(), standin.New(f.mem)
	go func(s *standin.Server) { _ = s.Serve(l) }(f.server)
	t.Cleanup(f.server.Stop)
}

func (f *fixture) put(key, value string) {
	res, err := f.store.Txn(f.ctx, nil, []kvstore.Write{{Key: key, Value: []byte(value)}})
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(res.Succeeded).To(BeTrue())
}

// Guards against reads, conditions and deletions that violate the contract of kvstore.Store.
func TestReadsAndTransactions(t *testing.T) {
	f := start(t, longTimeout)
	_, ok, err := f.store.Get(f.ctx, "/a")
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(ok).To(BeFalse())
	f.put("/a", "1")
	f.put("/a/b", "2")
	f.put("/b", "3")
	kv, ok, err := f.store.Get(f.ctx, "/a")
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(ok).To(BeTrue())
	f.Expect(string(kv.Value)).To(Equal("1"))

	stale := []kvstore.Condition{{Key: "/a", ModRevision: 0}, {Key: "/none", ModRevision: 0}}
	res, err := f.store.Txn(f.ctx, stale, []kvstore.Write{{Key: "/a", Value: []byte("x")}})
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(res.Succeeded).To(BeFalse())
	f.Expect(res.Current).To(Equal([]kvstore.KeyValue{kv}))

	res, err = f.store.Txn(f.ctx, []kvstore.Condition{{Key: "/a", ModRevision: kv.ModRevision}},
		[]kvstore.Write{{Key: "/a"}, {Key: "/c", Value: []byte("4")}})
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(res.Succeeded).To(BeTrue())
	all, err := f.store.List(f.ctx, "/")
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(all).To(HaveLen(3))
	f.Expect(all[0].Key).To(Equal("/a/b"))
	some, err := f.store.List(f.ctx, "/a")
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(some).To(HaveLen(1))
}

// Guards against a list that is truncated at the end of a page or fails on pages above the message size limit.
func TestListPages(t *testing.T) {
	f := start(t, longTimeout)
	large := bytes.Repeat([]byte("x"), 1<<20)
	c := f.mem.Client()
	for i := range 1100 {
		value := []byte("small")
		if i%100 == 0 {
			value = large
		}
		_, err := c.Txn(f.ctx, nil, []kvstore.Write{{Key: fmt.Sprintf("/p/%04d", i), Value: value}})
		f.Expect(err).NotTo(HaveOccurred())
	}
	all, err := f.store.List(f.ctx, "/p/")
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(all).To(HaveLen(1100))
	f.Expect(all[1099].Key).To(Equal("/p/1099"))
	f.Expect(all[1000].Value).To(HaveLen(1 << 20))
}

// Guards against an expired lease that can still be renewed or used for writes.
func TestLeases(t *testing.T) {
	f := start(t, longTimeout)
	id, ttl, err := f.store.GrantLease(f.ctx, 100500*time.Millisecond)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(ttl).To(Equal(101 * time.Second))
	write := []kvstore.Write{{Key: "/l", Value: []byte{}, Lease: id}}
	res, err := f.store.Txn(f.ctx, []kvstore.Condition{{Key: "/l"}}, write)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(res.Succeeded).To(BeTrue())
	ttl, err = f.store.KeepAlive(f.ctx, id)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(ttl).To(Equal(101 * time.Second))
	f.mem.ExpireLease(id)
	_, err = f.store.KeepAlive(f.ctx, id)
	f.Expect(err).To(Equal(&kvstore.LeaseExpiredError{ID: id}))
	_, ok, err := f.store.Get(f.ctx, "/l")
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(ok).To(BeFalse())
	res, err = f.store.Txn(f.ctx, nil, write)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(res.Succeeded).To(BeFalse())
	f.Expect(f.store.RevokeLease(f.ctx, id)).To(Succeed())
}

// Guards against a lost response reported as "no effect", and a call that certainly had no effect reported as unknown.
func TestErrorsReportWhetherCallHadEffect(t *testing.T) {
	write := []kvstore.Write{{Key: "/k", Value: []byte("v")}}
	unknown, unavailable := &kvstore.OutcomeUnknownError{}, &kvstore.UnavailableError{}
	tests := []struct {
		name    string
		timeout time.Duration
		fault   func(f *fixture)
		write   []kvstore.Write
		want    any
		effect  bool
	}{
		{"response lost after the write was applied", longTimeout, func(f *fixture) { f.server.Client.LoseResponses(1) }, write, unknown, true},
		{"store stopped before the call", longTimeout, func(f *fixture) { f.server.Stop() }, write, unavailable, false},
		{"response later than the timeout", 100 * time.Millisecond, func(f *fixture) { f.server.Client.SetDelay(time.Hour) }, write, unknown, false},
		{"value above the limit", longTimeout, func(*fixture) {}, []kvstore.Write{{Key: "/k", Value: make([]byte, etcd.MaxValue+1)}}, unavailable, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := start(t, tt.timeout)
			tt.fault(f)
			_, err := f.store.Txn(f.ctx, nil, tt.write)
			f.Expect(err).To(HaveOccurred())
			f.Expect(err).To(BeAssignableToTypeOf(tt.want), err.Error())
			_, stored, err := f.mem.Client().Get(f.ctx, "/k")
			f.Expect(err).NotTo(HaveOccurred())
			f.Expect(stored).To(Equal(tt.effect))
		})
	}
	t.Run("a failed read is never reported as unknown", func(t *testing.T) {
		f := start(t, 100*time.Millisecond)
		f.server.Client.SetDelay(time.Hour)
		_, _, err := f.store.Get(f.ctx, "/k")
		f.Expect(err).To(BeAssignableToTypeOf(unavailable))
	})
}

// Guards against events lost between a read and the watch that follows it, and deletions reported as values.
func TestWatch(t *testing.T) {
	f := start(t, longTimeout)
	f.put("/w/a", "1")
	kv, _, err := f.store.Get(f.ctx, "/w/a")
	f.Expect(err).NotTo(HaveOccurred())
	f.put("/w/a", "2")
	f.put("/x", "not watched")
	batches := f.store.Watch(f.ctx, "/w/", kv.ModRevision+1)
	b := <-batches
	f.Expect(b.Err).NotTo(HaveOccurred())
	f.Expect(string(b.Events[0].Value)).To(Equal("2"))
	_, err = f.store.Txn(f.ctx, nil, []kvstore.Write{{Key: "/w/a"}})
	f.Expect(err).NotTo(HaveOccurred())
	b = <-batches
	f.Expect(b.Events[0].Deleted).To(BeTrue())
	f.Expect(b.Events[0].Value).To(BeNil())
	f.Expect(b.Revision).To(Equal(b.Events[0].ModRevision))
}

// Guards against a watch that blocks forever when the store stops, and a client that does not reconnect.
func TestWatchEndsWithAnErrorAndReopens(t *testing.T) {
	f := start(t, longTimeout)
	f.put("/w", "1")
	batches := f.store.Watch(f.ctx, "/w", 1)
	f.Expect((<-batches).Err).NotTo(HaveOccurred())
	f.server.Stop()
	f.Expect((<-batches).Err).To(BeAssignableToTypeOf(&kvstore.UnavailableError{}))
	f.serve(t, f.addr)
	f.Eventually(func() error { _, _, err := f.store.Get(f.ctx, "/w"); return err }, longTimeout).Should(Succeed())
	batches = f.store.Watch(f.ctx, "/w", 1)
	f.Expect((<-batches).Events).To(HaveLen(1))
}

// Guards against watches that fail forever because the revision after the last change has been compacted.
func TestWatchAfterCompaction(t *testing.T) {
	f := start(t, longTimeout)
	for i := range 5 {
		f.put("/w", fmt.Sprint(i))
	}
	f.server.Compact(5)
	var canceled *etcd.WatchCanceledError
	b := <-f.store.Watch(f.ctx, "/w", 2)
	f.Expect(b.Err).To(BeAssignableToTypeOf(&kvstore.UnavailableError{}))
	f.Expect(errors.As(b.Err, &canceled)).To(BeTrue())
	b = <-f.store.Watch(f.ctx, "/w", 2)
	f.Expect(b.Err).NotTo(HaveOccurred())
	f.Expect(b.Events[0].ModRevision).To(Equal(int64(5)))
}

// Guards against one invalid entry that makes the rest of the host list unavailable.
func TestHostList(t *testing.T) {
	f := start(t, longTimeout)
	entry := kvstore.HostEntry{Name: "h1", Addr: "10.0.0.1:7000", Zone: "z", State: kvstore.HostLeaving}
	f.Expect(f.server.PublishHost(entry)).To(Succeed())
	f.put(kvstore.HostPrefix+"h2", `{"name":"h2"}`)
	hosts, err := kvstore.NewHostList(f.store).ListHosts(f.ctx)
	f.Expect(hosts).To(Equal([]kvstore.HostEntry{entry}))
	var bad *kvstore.HostEntryError
	f.Expect(errors.As(err, &bad)).To(BeTrue())
	f.Expect(bad.Key).To(Equal(kvstore.HostPrefix + "h2"))
}
