package exchange

import (
	"sync/atomic"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/boragecourse/boragecourse/internal/metrics"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// kind is a part of the messages between hosts that is counted on its own.
type kind int

const (
	kindUses kind = iota
	kindRuns
	kindAdmitted
	kindTotals
	kindEvidence
	kindLimits
	kindObservations
	kindStoreCopy
	// kindLife is the rest: who reports, sequences, positions and contacts.
	kindLife
	kinds
)

var kindNames = [kinds]string{"uses", "runs", "admitted", "totals", "evidence", "limits", "observations", "store_copy", "life"}

// traffic counts the bytes of messages, and the messages that contain a kind, until they are added to the metrics. Adding
// to the metrics formats the name of a series, which would cost a relay more than the counting.
type traffic struct {
	bytes, messages [kinds]atomic.Int64
}

// count adds a message that contains reports and a copy of the store; message is nil for a copy on its own.
func (t *traffic) count(message proto.Message, reports []*peerv1.FrontReport, state *peerv1.FetchStateResponse) {
	var sizes [kinds]int
	for _, r := range reports {
		addReport(&sizes, r)
	}
	if state != nil {
		sizes[kindStoreCopy] = fieldSize(proto.Size(state))
	}
	if message != nil {
		sizes[kindLife] = proto.Size(message)
		for k := range kindLife {
			sizes[kindLife] -= sizes[k]
		}
	}
	for k, n := range sizes {
		if n > 0 {
			t.bytes[k].Add(int64(n))
			t.messages[k].Add(1)
		}
	}
}

// flush adds what was counted to the metrics.
func (t *traffic) flush(m *metrics.Registry, direction string) {
	for k := range kinds {
		if n := t.messages[k].Swap(0); n > 0 {
			labels := []metrics.Label{metrics.L("direction", direction), metrics.L("kind", kindNames[k])}
			m.Add("peer_messages", n, labels...)
			m.Add("peer_bytes", t.bytes[k].Swap(0), labels...)
		}
	}
}

// fieldSize returns the bytes of a field with one byte of tag and a length.
func fieldSize(length int) int { return 1 + protowire.SizeBytes(length) }

func addReport(sizes *[kinds]int, r *peerv1.FrontReport) {
	for _, u := range r.Uses {
		runs := 0
		for _, run := range u.Runs {
			runs += fieldSize(proto.Size(run))
		}
		sizes[kindRuns] += runs
		sizes[kindUses] += fieldSize(proto.Size(u)) - runs
	}
	for key, v := range r.ChangingStage {
		sizes[kindUses] += fieldSize(fieldSize(len(key)) + 1 + protowire.SizeVarint(uint64(v)))
	}
	for name, v := range r.Admitted {
		sizes[kindAdmitted] += fieldSize(fieldSize(len(name)) + 1 + protowire.SizeVarint(uint64(v)))
	}
	sizes[kindAdmitted] += admittedByIndexSize(r.AdmittedByIndex)
	for name, v := range r.Generations {
		sizes[kindTotals] += fieldSize(fieldSize(len(name)) + fieldSize(proto.Size(v)))
	}
	if r.Evidence != nil {
		sizes[kindEvidence] += 1 + fieldSize(proto.Size(r.Evidence))
	}
	if r.Limits != nil {
		sizes[kindLimits] += 1 + fieldSize(proto.Size(r.Limits))
	}
	if r.Observations != nil {
		sizes[kindObservations] += 1 + fieldSize(proto.Size(r.Observations))
	}
}

// admittedByIndexSize returns the bytes of a packed field with two bytes of tag.
func admittedByIndexSize(pairs []int64) int {
	if len(pairs) == 0 {
		return 0
	}
	n := 0
	for _, v := range pairs {
		n += protowire.SizeVarint(uint64(v))
	}
	return 1 + fieldSize(n)
}
