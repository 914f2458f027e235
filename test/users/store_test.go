package users_test

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/platform"
	"github.com/boragecourse/boragecourse/test/standin/users"
)

func openStore(t *testing.T) (*users.Store, *users.Endpoint, *platform.Store) {
	t.Helper()
	store := users.NewStore()
	endpoint, err := store.StartEndpoint()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(endpoint.Close)
	client := platform.NewStore(endpoint.Addr)
	t.Cleanup(client.Close)
	return store, endpoint, client
}

// Guards against a store client that reports a write whose reply was lost as not executed, ignores a condition, or does
// not report an expired lease.
func TestStoreClientReportsOutcomes(t *testing.T) {
	g := NewWithT(t)
	_, endpoint, client := openStore(t)
	ctx := t.Context()
	result, err := client.Txn(ctx, []kvstore.Condition{{Key: "a"}}, []kvstore.Write{{Key: "a", Value: []byte{0, 255}}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result.Succeeded).To(BeTrue())
	result, err = client.Txn(ctx, []kvstore.Condition{{Key: "a"}}, []kvstore.Write{{Key: "a", Value: []byte("2")}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result.Succeeded).To(BeFalse())
	g.Expect(result.Current[0].Value).To(Equal([]byte{0, 255}))

	endpoint.SetFault(users.LosingResponses)
	_, err = client.Txn(ctx, nil, []kvstore.Write{{Key: "a"}})
	var unknown *kvstore.OutcomeUnknownError
	g.Expect(errors.As(err, &unknown)).To(BeTrue())
	endpoint.SetFault(users.Healthy)
	_, exists, err := client.Get(ctx, "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(exists).To(BeFalse(), "the write whose reply was lost was executed")

	endpoint.SetFault(users.Refusing)
	_, err = client.Txn(ctx, nil, []kvstore.Write{{Key: "a", Value: []byte("3")}})
	var unavailable *kvstore.UnavailableError
	g.Expect(errors.As(err, &unavailable)).To(BeTrue())
	endpoint.SetFault(users.Healthy)

	lease, ttl, err := client.GrantLease(ctx, 50*time.Millisecond)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ttl).To(Equal(50 * time.Millisecond))
	_, err = client.KeepAlive(ctx, lease)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(client.RevokeLease(ctx, lease)).To(Succeed())
	_, err = client.KeepAlive(ctx, lease)
	var expired *kvstore.LeaseExpiredError
	g.Expect(errors.As(err, &expired)).To(BeTrue())
	_, err = client.Txn(ctx, nil, []kvstore.Write{{Key: "b", Value: []byte("1"), Lease: lease}})
	g.Expect(errors.As(err, &expired)).To(BeTrue())
}

// Guards against a change that is missed between the paged snapshot and the watch, and against a watch that continues
// after its revision was compacted.
func TestStoreClientFollowsChanges(t *testing.T) {
	g := NewWithT(t)
	store, endpoint, client := openStore(t)
	for _, key := range []string{"p/1", "p/2", "p/3", "p/4", "p/5", "q/1"} {
		store.Put(key, []byte(key))
	}
	items, at, err := client.Snapshot(t.Context(), "p/")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(items).To(HaveLen(5), "the snapshot spans several pages")
	store.Remove("p/2")
	events, next, err := client.Changes(t.Context(), "p/", at, time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(events).To(HaveLen(1))
	g.Expect(events[0].Deleted).To(BeTrue())
	events, _, err = client.Changes(t.Context(), "p/", next, 20*time.Millisecond)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(events).To(BeEmpty())
	store.Compact()
	_, _, err = client.Changes(t.Context(), "p/", next, 20*time.Millisecond)
	var compacted *platform.CompactedError
	g.Expect(errors.As(err, &compacted)).To(BeTrue())
	endpoint.SetFault(users.Unresponsive)
	started := time.Now()
	_, _, err = client.Changes(t.Context(), "p/", next, 20*time.Millisecond)
	var unavailable *kvstore.UnavailableError
	g.Expect(errors.As(err, &unavailable)).To(BeTrue())
	g.Expect(time.Since(started)).To(BeNumerically("<", 3*time.Second))
}

// Guards against a revision that repeats and a lease of somebody else that is renewed after the store was restored.
func TestStoreClientKeepsErasApart(t *testing.T) {
	g := NewWithT(t)
	store, _, client := openStore(t)
	backup := store.Backup()
	first, _, err := client.GrantLease(t.Context(), time.Minute)
	g.Expect(err).NotTo(HaveOccurred())
	written, err := client.Txn(t.Context(), nil, []kvstore.Write{{Key: "a", Value: []byte("1"), Lease: first}})
	g.Expect(err).NotTo(HaveOccurred())
	_, at, err := client.Snapshot(t.Context(), "a")
	g.Expect(err).NotTo(HaveOccurred())

	store.Restore(backup)
	second, _, err := client.GrantLease(t.Context(), time.Minute)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second).NotTo(Equal(first))
	_, err = client.KeepAlive(t.Context(), first)
	var expired *kvstore.LeaseExpiredError
	g.Expect(errors.As(err, &expired)).To(BeTrue(), "the lease belongs to an earlier era")
	again, err := client.Txn(t.Context(), nil, []kvstore.Write{{Key: "a", Value: []byte("2"), Lease: second}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again.Revision).To(BeNumerically(">", written.Revision))
	items, _, err := client.Snapshot(t.Context(), "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(items[0].ModRevision).To(Equal(again.Revision))
	g.Expect(items[0].Lease).To(Equal(second))
	_, _, err = client.Changes(t.Context(), "a", at, 20*time.Millisecond)
	g.Expect(err).To(HaveOccurred(), "the changes after a revision of an earlier era are not known")
}
