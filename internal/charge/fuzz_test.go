package charge

import (
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/platform"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// Guards against damaged batches and request ids that panic, or that give a record which the batch does not hold.
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
		r, ok, err := find(value, id)
		var corrupt *CorruptBatchError
		if err != nil && (ok || !errors.As(err, &corrupt)) {
			t.Fatalf("untyped error %v", err)
		}
		if ok && r.RequestID != id {
			t.Fatalf("record of %q for %q", r.RequestID, id)
		}
		var malformed *RequestIDError
		if _, _, err := parseRequestID(id); err != nil && !errors.As(err, &malformed) {
			t.Fatalf("untyped error %v", err)
		}
	})
}

// Guards against one damaged batch that hides the records of the batches after it, and against a record that is
// reported as not there although it may be in the damaged batch.
func TestTracePassesOverADamagedBatch(t *testing.T) {
	bubble(t, Config{}, func(g Gomega, f *fleet) {
		of := runOf(f.hosts[0].id)
		id := of.requestID(1, 1)
		value, err := encode(&peerv1.ChargeBatch{Sequence: 2, Records: []*peerv1.ChargeRecord{toProto(record(id))}})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = f.store.Client().Txn(f.ctx, nil, []platform.Write{
			{Key: of.key(1), Value: []byte("damaged")}, {Key: of.key(2), Value: value},
		})
		g.Expect(err).NotTo(HaveOccurred())
		r, err := f.hosts[1].ledger.Trace(f.ctx, id)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.RequestID).To(Equal(id))
		_, err = f.hosts[1].ledger.Trace(f.ctx, of.requestID(1, 2))
		var corrupt *CorruptBatchError
		g.Expect(errors.As(err, &corrupt)).To(BeTrue(), "got %v", err)
	})
}
