package charge

import (
	"bytes"
	"compress/gzip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/membership"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// Guards against store writes that grow with the number of charges, and against copies that are never confirmed or that
// exceed the budget for traffic between hosts. Logs the figures of docs/notes/charges.md, among them that traffic.
func TestFiguresOfBatching(t *testing.T) {
	const seconds = 10
	for _, perSecond := range []int{1, 10, 75, 1000} {
		withFleet(t, Config{}, func(g Gomega, f *fleet) {
			for range seconds * perSecond {
				f.add(0, 1)
				time.Sleep(time.Second / time.Duration(perSecond))
			}
			time.Sleep(3 * time.Second)
			_, writes := f.store.Calls()
			messages, sent := f.net.Traffic()
			g.Expect(f.stored(g)).To(Equal(f.expected))
			for _, h := range f.hosts {
				_, copies := h.ledger.Pending()
				g.Expect(copies).To(BeZero(), "copies that were never confirmed on %s", h.id.Name)
			}
			g.Expect(writes).To(BeNumerically("<=", seconds+3))
			t.Logf("%4d records/s: %.2f store writes/s, %.1f peer messages/s, %.0f peer bytes/s before compression",
				perSecond, float64(writes)/seconds, float64(messages)/seconds, float64(sent)/seconds)
		})
	}
}

// Guards against records so large that MaxPendingBytes does not cover a store outage of 30 minutes at the target load
// of 75 records per second, and logs the bytes per record.
func TestFiguresOfRecordSize(t *testing.T) {
	g := NewWithT(t)
	r := incarnationID{"host-0", 1 << 62}
	b := &peerv1.ChargeBatch{Host: host.ID{Name: "host-0", Addr: "10.0.0.1:7000", Zone: "piran-a", Incarnation: 1 << 62}.Proto(), Sequence: 4711}
	for i := range 15 {
		rec := record(r.requestID(4711, uint64(1000+i)))
		rec.PromptTokens, rec.OutputTokens = int64(1000+i*977), int64(i*37)
		rec.Finished = rec.Finished.Add(time.Duration(i) * 13 * time.Millisecond)
		b.Records = append(b.Records, toProto(rec))
	}
	value, err := encode(b)
	g.Expect(err).NotTo(HaveOccurred())
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	_, _ = w.Write(value)
	g.Expect(w.Close()).To(Succeed())
	t.Logf("batch of 15: %d bytes a record, %d after gzip; key %d bytes", len(value)/15, packed.Len()/15, len(r.key(4711)))
	g.Expect(Config{}.withDefaults().MaxPendingBytes * 15 / len(value)).To(BeNumerically(">", 30*60*75))
}

type singleHostViewer struct{ id host.ID }

func (v singleHostViewer) Self() host.ID                  { return v.id }
func (v singleHostViewer) Epoch() membership.Epoch        { return membership.Epoch{Hosts: []host.ID{v.id}} }
func (v singleHostViewer) CheckAuthority(time.Time) error { return nil }
func (v singleHostViewer) Reachable(host.ID) bool         { return true }

func BenchmarkAdd(b *testing.B) {
	l := New(Config{MaxPendingBytes: 1 << 40}, nil, nil, singleHostViewer{host.ID{Name: "h"}}, nil, logr.Discard())
	r := record("h-0000000000000001-1-1")
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.Add(r)
		if i%1000 == 0 {
			l.mu.Lock()
			l.unwritten, l.unwrittenBytes = nil, 0
			l.mu.Unlock()
		}
	}
}

func BenchmarkNewRequestID(b *testing.B) {
	l := New(Config{}, nil, nil, singleHostViewer{host.ID{Name: "h"}}, nil, logr.Discard())
	for b.Loop() {
		_ = l.NewRequestID()
	}
}
