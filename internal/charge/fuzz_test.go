package charge

import (
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/kvstore"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// Guards against corrupt batches and request ids that cause a panic or an untyped error, or that yield the record of
// another request.
func FuzzStoredBatch(f *testing.F) {
	valid, err := encode(&peerv1.ChargeBatch{Sequence: 1, Records: []*peerv1.ChargeRecord{toProto(record("h-0000000000000001-1-1"))}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid, "h-0000000000000001-1-1")
	f.Add(valid[:len(valid)-1], "h-1-1-1")
	f.Add([]byte{0x1a, 0xff, 0xff, 0xff, 0xff, 0x0f}, "")
	f.Add([]byte{}, "h-ffffffffffffffff-ffffffffffffffff-0")
	f.Fuzz(func(t *testing.T, value []byte, id string) {
		r, ok, err := findRecord(value, id)
		var corrupt *CorruptBatchError
		if err != nil && (ok || !errors.As(err, &corrupt)) {
			t.Fatalf("untyped error %v", err)
		}
		if ok && r.RequestID != id {
			t.Fatalf("got the record of request %q, want %q", r.RequestID, id)
		}
		var malformed *RequestIDError
		if _, _, err := parseRequestID(id); err != nil && !errors.As(err, &malformed) {
			t.Fatalf("untyped error %v", err)
		}
	})
}

// Guards against a corrupt batch that ends the search before the batches after it, and against *NotFoundError for a
// record that may be in the corrupt batch.
func TestTraceSkipsCorruptBatch(t *testing.T) {
	withFleet(t, Config{}, func(g Gomega, f *fleet) {
		incarnation := incarnationOf(f.hosts[0].id)
		id := incarnation.requestID(1, 1)
		value, err := encode(&peerv1.ChargeBatch{Sequence: 2, Records: []*peerv1.ChargeRecord{toProto(record(id))}})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = f.store.Client().Txn(f.ctx, nil, []kvstore.Write{
			{Key: incarnation.key(1), Value: []byte("damaged")}, {Key: incarnation.key(2), Value: value},
		})
		g.Expect(err).NotTo(HaveOccurred())
		r, err := f.hosts[1].ledger.Trace(f.ctx, id)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.RequestID).To(Equal(id))
		_, err = f.hosts[1].ledger.Trace(f.ctx, incarnation.requestID(1, 2))
		var corrupt *CorruptBatchError
		g.Expect(errors.As(err, &corrupt)).To(BeTrue(), "got %v", err)
	})
}
