package charge

import (
	"context"
	"sort"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/metrics"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// copyIdleTimeout is how long a host of the epoch may send no batch or confirmation before this host writes the copies
// of its batches to the store. A sender stops tracking a replica host that leaves the epoch, so the copies on a replica
// host that returns to the epoch may never be confirmed.
const copyIdleTimeout = time.Minute

// copySet holds copies of the batches of one incarnation of another host.
type copySet struct {
	id host.ID
	// writtenThrough is the highest confirmed sequence number. Copies of batches up to this number that arrive
	// afterwards are not stored.
	writtenThrough uint64
	batches        map[uint64][]byte
	// lastReceived is when the last batch or confirmation of the host was received.
	lastReceived time.Time
}

// Replicate implements the Charges gRPC service: it stores a copy of another host's batch. It returns
// codes.ResourceExhausted if the memory for copies is full; the sender then selects another host.
func (l *Ledger) Replicate(_ context.Context, r *peerv1.ReplicateRequest) (*peerv1.ReplicateResponse, error) {
	id, sequence := host.FromProto(r.GetBatch().GetHost()), r.GetBatch().GetSequence()
	value, err := encode(r.GetBatch())
	if err != nil || id.Name == "" || sequence == 0 {
		return nil, status.Error(codes.InvalidArgument, "batch without host or sequence number")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	set := l.copySet(id)
	if _, held := set.batches[sequence]; held || sequence <= set.writtenThrough {
		return &peerv1.ReplicateResponse{}, nil
	}
	if l.copyBytes+len(value) > l.cfg.MaxCopyBytes {
		l.metrics.Inc("charge_copies_refused_total", metrics.L("reason", "memory_full"))
		return nil, status.Error(codes.ResourceExhausted, "memory for charge copies is full")
	}
	set.batches[sequence] = value
	l.copyBytes += len(value)
	return &peerv1.ReplicateResponse{}, nil
}

// Confirm implements the Charges gRPC service: it drops the copies of batches that the store holds.
func (l *Ledger) Confirm(_ context.Context, r *peerv1.ConfirmRequest) (*peerv1.ConfirmResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	set := l.copySet(host.FromProto(r.GetHost()))
	set.writtenThrough = max(set.writtenThrough, r.GetWrittenThrough())
	for sequence := range set.batches {
		if sequence <= set.writtenThrough {
			l.dropCopy(set, sequence)
		}
	}
	return &peerv1.ConfirmResponse{}, nil
}

// copySet returns the copy set of a host that sent a message and updates its lastReceived time. It creates the set on
// first use. The caller holds l.mu.
func (l *Ledger) copySet(id host.ID) *copySet {
	set := l.copies[incarnationOf(id)]
	if set == nil {
		set = &copySet{id: id, batches: map[uint64][]byte{}}
		l.copies[incarnationOf(id)] = set
	}
	set.lastReceived = time.Now()
	return set
}

func (l *Ledger) dropCopy(set *copySet, sequence uint64) {
	l.copyBytes -= len(set.batches[sequence])
	delete(set.batches, sequence)
}

// writeOrphanedCopies writes the copies of hosts that are not in the epoch or have sent nothing for copyIdleTimeout.
// Such a host may still be running; writing its copies is safe, since both hosts write the same values under the same
// keys.
func (l *Ledger) writeOrphanedCopies(ctx context.Context) {
	epoch := l.viewer.Epoch()
	now := time.Now()
	l.writeCopies(ctx, func(s *copySet) bool { return !epoch.Contains(s.id) || now.Sub(s.lastReceived) > copyIdleTimeout })
	l.mu.Lock()
	defer l.mu.Unlock()
	for r, set := range l.copies {
		if len(set.batches) == 0 && !epoch.Contains(set.id) {
			delete(l.copies, r)
		}
	}
}

// writeCopies writes the copies of the selected hosts to the store, in at most maxRoundTransactions transactions, and
// drops the written ones.
func (l *Ledger) writeCopies(ctx context.Context, selected func(*copySet) bool) {
	for range maxRoundTransactions {
		set, sequences, items := l.nextCopies(selected)
		if len(items) == 0 {
			return
		}
		if err := l.createAbsent(ctx, items); err != nil {
			l.log.V(1).Info("failed to write copied charge batches", "host", set.id.String(), "batches", len(items), "cause", err)
			return
		}
		l.metrics.Add("charge_copies_written_total", int64(len(items)))
		l.mu.Lock()
		for _, sequence := range sequences {
			l.dropCopy(set, sequence)
		}
		l.mu.Unlock()
	}
}

// nextCopies returns the batches for the next transaction, all of one incarnation, in sequence.
func (l *Ledger) nextCopies(selected func(*copySet) bool) (*copySet, []uint64, []encodedBatch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for r, set := range l.copies {
		if len(set.batches) == 0 || !selected(set) {
			continue
		}
		var sequences []uint64
		for sequence := range set.batches {
			sequences = append(sequences, sequence)
		}
		sort.Slice(sequences, func(i, j int) bool { return sequences[i] < sequences[j] })
		var items []encodedBatch
		for _, sequence := range sequences {
			items = append(items, encodedBatch{r.key(sequence), set.batches[sequence]})
		}
		n := transactionLen(items)
		return set, sequences[:n], items[:n]
	}
	return nil, nil, nil
}
