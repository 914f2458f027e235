package charge

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/metrics"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// suspectTime is how long a host that failed to take a copy is passed over. It is longer than the fence time of
// membership, so that a dead host has left the epoch by then.
const suspectTime = 5 * time.Second

// maxFailures ends a round of replication, so that a cut does not hold up the next round for one timeout per batch.
const maxFailures = 2

// holder is what this host knows of a host that keeps copies.
type holder struct {
	// sent is the highest sequence number that was sent, whether or not it was acknowledged.
	sent uint64
	// confirmed is the last written-through number that the host acknowledged.
	confirmed uint64
}

// replicate sends each unwritten batch without a live holder to one.
func (l *Ledger) replicate(ctx context.Context) {
	epoch := l.viewer.Epoch()
	failures := 0
	for _, b := range l.withoutHolder(epoch) {
		to, ok := l.chooseHolder(epoch)
		if !ok {
			l.metrics.Inc("charge_replication_failures_total", metrics.L("reason", "no_host"))
			return
		}
		if err := l.send(ctx, to, b); err != nil {
			l.metrics.Inc("charge_replication_failures_total", metrics.L("reason", "call_failed"))
			l.log.V(1).Info("charge batch not replicated", "to", to.String(), "sequence", b.sequence, "cause", err)
			l.mu.Lock()
			l.suspects[to] = time.Now().Add(suspectTime)
			l.mu.Unlock()
			failures++
		}
		if failures == maxFailures || ctx.Err() != nil {
			return
		}
	}
}

func (l *Ledger) send(ctx context.Context, to host.ID, b *batch) error {
	message, err := decode(b.value)
	if err != nil {
		return err
	}
	l.mu.Lock()
	if l.holders[to] == nil {
		l.holders[to] = &holder{}
	}
	// Recorded before the call: a copy may arrive although the call fails, and has to be confirmed too.
	l.holders[to].sent = max(l.holders[to].sent, b.sequence)
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, l.cfg.PeerTimeout)
	defer cancel()
	client := peerv1.NewChargesClient(l.dialer.Conn(to.Addr))
	// Records of a batch repeat workspace, rule and person, so compression pays.
	if _, err := client.Replicate(ctx, &peerv1.ReplicateRequest{Batch: message}, grpc.UseCompressor(gzip.Name)); err != nil {
		return err
	}
	l.metrics.Inc("charge_batches_replicated_total")
	l.mu.Lock()
	b.holder = to
	l.mu.Unlock()
	return nil
}

// withoutHolder returns the unwritten batches that no host of the epoch has a copy of.
func (l *Ledger) withoutHolder(epoch membership.Epoch) []*batch {
	members := make(map[run]bool, len(epoch.Hosts))
	for _, h := range epoch.Hosts {
		members[runOf(h)] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []*batch
	for _, b := range l.unwritten {
		if !members[runOf(b.holder)] {
			found = append(found, b)
		}
	}
	return found
}

// chooseHolder returns a host of the epoch in another zone, or in the own zone when there is no other. It prefers
// hosts in contact and passes over those that failed lately.
func (l *Ledger) chooseHolder(epoch membership.Epoch) (host.ID, bool) {
	self, now := l.viewer.Self(), time.Now()
	var choices [4][]host.ID
	l.mu.Lock()
	for _, h := range epoch.Hosts {
		if h.Name == self.Name || now.Before(l.suspects[h]) {
			continue
		}
		rank := 0
		if h.Zone == self.Zone {
			rank += 2
		}
		if !l.viewer.Reachable(h) {
			rank++
		}
		choices[rank] = append(choices[rank], h)
	}
	for h, until := range l.suspects {
		if now.After(until) {
			delete(l.suspects, h)
		}
	}
	l.mu.Unlock()
	for _, hosts := range choices {
		if h, ok := host.Home("charge/"+self.Name, hosts); ok {
			return h, true
		}
	}
	return host.ID{}, false
}

// confirm tells the hosts with copies up to which sequence number the store holds this host's batches. Each is
// told again until it acknowledges.
func (l *Ledger) confirm(ctx context.Context) {
	epoch := l.viewer.Epoch()
	l.mu.Lock()
	through := l.next - 1
	if len(l.unwritten) > 0 {
		through = l.unwritten[0].sequence - 1
	}
	var due []host.ID
	for h, state := range l.holders {
		switch {
		case !epoch.Contains(h):
			delete(l.holders, h)
		case state.confirmed < min(state.sent, through):
			due = append(due, h)
		}
	}
	l.mu.Unlock()
	for _, h := range due {
		if err := l.sendConfirm(ctx, h, through); err != nil {
			l.metrics.Inc("charge_confirm_failures_total")
			l.log.V(1).Info("charges not confirmed", "to", h.String(), "cause", err)
		}
	}
}

func (l *Ledger) sendConfirm(ctx context.Context, to host.ID, through uint64) error {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.PeerTimeout)
	defer cancel()
	client := peerv1.NewChargesClient(l.dialer.Conn(to.Addr))
	request := &peerv1.ConfirmRequest{Host: l.viewer.Self().Proto(), WrittenThrough: through}
	if _, err := client.Confirm(ctx, request); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if state := l.holders[to]; state != nil {
		state.confirmed = max(state.confirmed, through)
	}
	return nil
}
