package claim

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/wait"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// maxSweepDeletes bounds the deletions per shard and pass; the remaining claims are deleted in the next pass.
const maxSweepDeletes = 200

// Serve retries unrecorded final states and sweeps expired claims until ctx ends. It implements suture.Service.
func (c *Coordinator) Serve(ctx context.Context) error {
	nextSweep := time.Now().Add(c.sweepInterval())
	ticker := time.NewTicker(c.cfg.RetryInterval)
	defer ticker.Stop()
	sweep := time.NewTimer(time.Until(nextSweep))
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			c.recordAll()
		case <-sweep.C:
			c.sweepNext(ctx)
			sweep.Reset(c.sweepInterval())
		}
	}
}

// Flush retries unrecorded final states until the store holds all of them. It is part of a drain and returns an
// *UnavailableError if ctx ends first.
func (c *Coordinator) Flush(ctx context.Context) error {
	for {
		c.recordAll()
		_, unrecorded := c.Open()
		if unrecorded == 0 {
			return nil
		}
		if wait.For(ctx, c.cfg.RetryInterval) != nil {
			return &UnavailableError{Op: "flush", Cause: ctx.Err()}
		}
	}
}

func (c *Coordinator) sweepInterval() time.Duration {
	return perHostInterval(c.viewer, c.cfg.SweepReadsPerSecond)
}

// sweepNext sweeps the next shard whose home host is this host. The home host of a shard is the one to which rendezvous
// hashing assigns it among the hosts of the epoch.
func (c *Coordinator) sweepNext(ctx context.Context) {
	epoch, self := c.viewer.Epoch(), c.viewer.Self()
	if !epoch.Contains(self) {
		return
	}
	for range shards {
		c.mu.Lock()
		shard := c.shard
		c.shard = (c.shard + 1) % shards
		c.mu.Unlock()
		if owner, ok := host.Home(shardPrefix(shard), epoch.Hosts); ok && owner.Name == self.Name {
			c.sweepShard(ctx, epoch, shard)
			return
		}
	}
}

// sweepShard deletes the shard's expired claims by compare-and-swap, so two hosts may sweep the same shard
// concurrently.
func (c *Coordinator) sweepShard(ctx context.Context, epoch membership.Epoch, shard int) {
	kvs, err := c.store.List(ctx, shardPrefix(shard))
	if err != nil {
		c.log.V(1).Info("failed to list the claims of a shard, skipping its sweep", "shard", shard, "cause", err)
		return
	}
	var results []<-chan writeResult
	for _, kv := range kvs {
		if len(results) == maxSweepDeletes {
			break
		}
		if c.isExpired(kv, epoch, time.Now()) {
			results = append(results, c.writes.submit(kv.Key, kv.ModRevision, nil))
		}
	}
	for _, result := range results {
		if r := <-result; r.ok {
			c.metrics.Inc("claim_swept_total")
		}
	}
}

// isExpired reports whether a claim is older than the retention time and may be deleted. A claim in progress is kept
// while its host's incarnation is in the epoch; after that no host can run its call.
func (c *Coordinator) isExpired(kv kvstore.KeyValue, epoch membership.Epoch, now time.Time) bool {
	r := &peerv1.ClaimRecord{}
	if err := proto.Unmarshal(kv.Value, r); err != nil {
		return false
	}
	if now.Sub(time.Unix(0, r.GetUpdatedUnixNanos())) <= c.cfg.Retention {
		return false
	}
	return r.GetState() != peerv1.ClaimRecord_STATE_IN_PROGRESS || !epoch.Contains(host.FromProto(r.GetHost()))
}
