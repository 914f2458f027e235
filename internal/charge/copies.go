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

// silentTime after which the holder writes the copies of a host that is in the epoch but sends nothing. The host may
// have forgotten this holder, because it was out of the epoch for a while.
const silentTime = time.Minute

// copySet holds the copies of one incarnation of another host.
type copySet struct {
	id host.ID
	// through is the highest confirmed sequence number; copies up to it are not taken any more.
	through uint64
	batches map[uint64][]byte
	// heard is when the host last sent a batch or a confirmation.
	heard time.Time
}

// Replicate implements the Charges grpc service. It answers codes.ResourceExhausted when the memory for copies is
// full; the sender then turns to another host.
func (l *Ledger) Replicate(_ context.Context, r *peerv1.ReplicateRequest) (*peerv1.ReplicateResponse, error) {
	id, sequence := host.FromProto(r.GetBatch().GetHost()), r.GetBatch().GetSequence()
	value, err := encode(r.GetBatch())
	if err != nil || id.Name == "" || sequence == 0 {
		return nil, status.Error(codes.InvalidArgument, "batch without host or sequence number")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	set := l.copySet(id)
	if _, held := set.batches[sequence]; held || sequence <= set.through {
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

// Confirm implements the Charges grpc service.
func (l *Ledger) Confirm(_ context.Context, r *peerv1.ConfirmRequest) (*peerv1.ConfirmResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	set := l.copySet(host.FromProto(r.GetHost()))
	set.through = max(set.through, r.GetWrittenThrough())
	for sequence := range set.batches {
		if sequence <= set.through {
			l.dropCopy(set, sequence)
		}
	}
	return &peerv1.ConfirmResponse{}, nil
}

// copySet returns the set of a host that has just sent a message, made on first use; the lock is held.
func (l *Ledger) copySet(id host.ID) *copySet {
	set := l.copies[runOf(id)]
	if set == nil {
		set = &copySet{id: id, batches: map[uint64][]byte{}}
		l.copies[runOf(id)] = set
	}
	set.heard = time.Now()
	return set
}

func (l *Ledger) dropCopy(set *copySet, sequence uint64) {
	l.copyBytes -= len(set.batches[sequence])
	delete(set.batches, sequence)
}

// writeOrphans writes the copies of hosts that are not in the epoch or have been silent. Writing the copies of a host that is still
// running is harmless: it would write the same values under the same keys.
func (l *Ledger) writeOrphans(ctx context.Context) {
	epoch := l.viewer.Epoch()
	now := time.Now()
	l.writeCopies(ctx, func(s *copySet) bool { return !epoch.Contains(s.id) || now.Sub(s.heard) > silentTime })
	l.mu.Lock()
	defer l.mu.Unlock()
	for r, set := range l.copies {
		if len(set.batches) == 0 && !epoch.Contains(set.id) {
			delete(l.copies, r)
		}
	}
}

// writeCopies writes and drops the copies of the selected hosts.
func (l *Ledger) writeCopies(ctx context.Context, selected func(*copySet) bool) {
	for range roundTransactions {
		set, sequences, items := l.nextCopies(selected)
		if len(items) == 0 {
			return
		}
		if err := l.writeOnce(ctx, items); err != nil {
			l.log.V(1).Info("copied charges not written", "host", set.id.String(), "batches", len(items), "cause", err)
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

// nextCopies returns the batches of one transaction, all of one host.
func (l *Ledger) nextCopies(selected func(*copySet) bool) (*copySet, []uint64, []item) {
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
		var items []item
		for _, sequence := range sequences {
			items = append(items, item{r.key(sequence), set.batches[sequence]})
		}
		n := cut(items)
		return set, sequences[:n], items[:n]
	}
	return nil, nil, nil
}
