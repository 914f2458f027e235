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

// failurePause is how long a host is not selected as replica host after a failed Replicate call. It is longer than
// the fence time of membership, so that a host that crashed has left the epoch by then.
const failurePause = 5 * time.Second

// maxRoundFailures is the number of failed calls that ends a round of replication. Without it, a network partition
// would prolong the round by one timeout per batch.
const maxRoundFailures = 2

// replica is the replication state of one replica host, which holds copies of this host's batches.
type replica struct {
	// highestSent is the highest sequence number sent to the host, whether or not it was acknowledged.
	highestSent uint64
	// confirmed is the highest sequence number whose confirmation the host acknowledged.
	confirmed uint64
}

// replicate sends each unwritten batch whose replica host is unset or has left the epoch to a host of the epoch.
func (l *Ledger) replicate(ctx context.Context) {
	epoch := l.viewer.Epoch()
	failures := 0
	for _, b := range l.unreplicated(epoch) {
		to, ok := l.chooseReplicaHost(epoch)
		if !ok {
			l.metrics.Inc("charge_replication_failures_total", metrics.L("reason", "no_host"))
			return
		}
		if err := l.send(ctx, to, b); err != nil {
			l.metrics.Inc("charge_replication_failures_total", metrics.L("reason", "call_failed"))
			l.log.V(1).Info("failed to replicate charge batch", "to", to.String(), "sequence", b.sequence, "cause", err)
			l.mu.Lock()
			l.failedUntil[to] = time.Now().Add(failurePause)
			l.mu.Unlock()
			failures++
		}
		if failures == maxRoundFailures || ctx.Err() != nil {
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
	if l.replicas[to] == nil {
		l.replicas[to] = &replica{}
	}
	// Recorded before the call, since the host may have stored the copy even if the call fails, and that copy must be
	// confirmed too.
	l.replicas[to].highestSent = max(l.replicas[to].highestSent, b.sequence)
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, l.cfg.PeerTimeout)
	defer cancel()
	client := peerv1.NewChargesClient(l.dialer.Conn(to.Addr))
	// Records of a batch repeat workspace, rule and author, so they compress well.
	if _, err := client.Replicate(ctx, &peerv1.ReplicateRequest{Batch: message}, grpc.UseCompressor(gzip.Name)); err != nil {
		return err
	}
	l.metrics.Inc("charge_batches_replicated_total")
	l.mu.Lock()
	b.replica = to
	l.mu.Unlock()
	return nil
}

// unreplicated returns the unwritten batches whose replica host is unset or not in the epoch.
func (l *Ledger) unreplicated(epoch membership.Epoch) []*batch {
	members := make(map[incarnationID]bool, len(epoch.Hosts))
	for _, h := range epoch.Hosts {
		members[incarnationOf(h)] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []*batch
	for _, b := range l.unwritten {
		if !members[incarnationOf(b.replica)] {
			found = append(found, b)
		}
	}
	return found
}

// chooseReplicaHost returns a host of the epoch in another zone or, failing that, in this host's zone. Within the zones
// it prefers reachable hosts. It skips hosts to which a Replicate call failed within failurePause. Rendezvous hashing
// on this host's name selects among equal hosts.
func (l *Ledger) chooseReplicaHost(epoch membership.Epoch) (host.ID, bool) {
	self, now := l.viewer.Self(), time.Now()
	var choices [4][]host.ID
	l.mu.Lock()
	for _, h := range epoch.Hosts {
		if h.Name == self.Name || now.Before(l.failedUntil[h]) {
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
	for h, until := range l.failedUntil {
		if now.After(until) {
			delete(l.failedUntil, h)
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

// confirm sends the replica hosts the sequence number up to which the store holds this host's batches. It sends again
// at each write interval until the host acknowledges.
func (l *Ledger) confirm(ctx context.Context) {
	epoch := l.viewer.Epoch()
	l.mu.Lock()
	through := l.nextSequence - 1
	if len(l.unwritten) > 0 {
		through = l.unwritten[0].sequence - 1
	}
	var due []host.ID
	for h, state := range l.replicas {
		switch {
		case !epoch.Contains(h):
			delete(l.replicas, h)
		case state.confirmed < min(state.highestSent, through):
			due = append(due, h)
		}
	}
	l.mu.Unlock()
	for _, h := range due {
		if err := l.sendConfirm(ctx, h, through); err != nil {
			l.metrics.Inc("charge_confirm_failures_total")
			l.log.V(1).Info("failed to confirm written charge batches to replica host", "to", h.String(), "cause", err)
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
	if state := l.replicas[to]; state != nil {
		state.confirmed = max(state.confirmed, through)
	}
	return nil
}
