package quota

import (
	"iter"
	"maps"
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/membership"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// HandOverTargets returns the hosts to which a handover request must be sent, for buckets that moved to this host and
// for missing acknowledgements.
func (h *HostState) HandOverTargets() []host.ID {
	hosts := h.ownership.Unacknowledged()
	missing := map[string]bool{}
	for _, name := range h.divisions.Unacknowledged() {
		missing[name] = true
	}
	for _, id := range h.epoch.Hosts {
		if missing[id.Name] && (id.Zone != h.self.Zone || h.ownership.isAcked(id.Name)) {
			hosts = append(hosts, id)
		}
	}
	return append(hosts, h.ownership.departedToQuery()...)
}

// Leave stops this host as a home host before it leaves the epoch. Its buckets no longer refill, because the refill
// of their successors starts before the buckets are handed over.
func (h *HostState) Leave(now time.Time) {
	if h.leaving {
		return
	}
	h.createBuckets(now, func(string) bool { return true })
	h.leaving = true
	for _, w := range h.workspaces {
		if w.bucket != nil {
			w.bucket.Advance(now)
			w.bucket.Pause(now)
		}
	}
}

// Epoch returns the epoch of the last Sync.
func (h *HostState) Epoch() membership.Epoch { return h.epoch }

// HandOver handles a handover request: it returns the buckets that move to the sender, and acknowledges the epoch
// and the division.
func (h *HostState) HandOver(now time.Time, from host.ID, epoch uint64) *peerv1.HandOverResponse {
	reply := &peerv1.HandOverResponse{Epoch: h.epoch.Number}
	reply.DivisionHash, reply.DivisionEstablished = h.divisions.Current()
	reply.DivisionUnused = h.divisions.NoGrantsGiven()
	if h.leaving && epoch == reply.Epoch && !h.epoch.Contains(h.self) {
		h.handOverAfterLeave(now, from, reply)
		return reply
	}
	if epoch != reply.Epoch || from.Zone != h.self.Zone || h.snapshot == nil || h.ownership.isHandedOverTo(from.Name) {
		return reply
	}
	defer h.ownership.MarkHandedOver(from.Name)
	for name := range h.movableWorkspaces(from) {
		if to, ok := h.ownership.Successor(name); ok && to == from {
			h.handOverBucket(now, name, reply)
		}
	}
	return reply
}

// handOverAfterLeave hands over the buckets that this host kept when it left the epoch.
func (h *HostState) handOverAfterLeave(now time.Time, from host.ID, reply *peerv1.HandOverResponse) {
	for name, w := range h.workspaces {
		if to, ok := h.epoch.Home(h.self.Zone, name); w.bucket != nil && ok && to == from {
			h.handOverBucket(now, name, reply)
		}
	}
}

// movableWorkspaces returns the workspaces whose bucket may move to a host. Any bucket may move to a host that is new
// in the epoch. Rendezvous hashing moves no bucket between two hosts that were also in the previous epoch, so the other
// host can only receive a bucket that it did not request in an earlier epoch and that is still in memory here.
func (h *HostState) movableWorkspaces(to host.ID) iter.Seq[string] {
	if h.ownership.isNew(to) {
		return maps.Keys(h.snapshot.Workspaces())
	}
	return func(yield func(string) bool) {
		for name, w := range h.workspaces {
			if w.bucket != nil && !yield(name) {
				return
			}
		}
	}
}

func (h *HostState) handOverBucket(now time.Time, name string, reply *peerv1.HandOverResponse) {
	bucket := h.outgoingBucket(name)
	if bucket == nil {
		return
	}
	h.workspace(name).bucket = nil
	state := bucket.HandOver(now)
	reply.Buckets = append(reply.Buckets, &peerv1.HandedOverBucket{
		Workspace: name, Level: state.Level, Outstanding: state.Outstanding,
		RemainingTermNanos: int64(state.Remaining),
	})
}

// ApplyHandOver applies the reply to a handover request of the given epoch and returns the number of buckets that were
// taken over. Replies of another epoch are ignored, since the buckets in them may have moved to another host.
func (h *HostState) ApplyHandOver(now time.Time, from host.ID, requested uint64, reply *peerv1.HandOverResponse) int {
	if reply.GetEpoch() != requested || requested != h.epoch.Number {
		return 0
	}
	taken := 0
	if !h.epoch.Contains(from) {
		if h.ownership.firstDepartedReply(from) {
			for _, b := range reply.GetBuckets() {
				taken += h.mergeBucket(now, b)
			}
		}
		return taken
	}
	if from.Zone == h.self.Zone && !h.ownership.isAcked(from.Name) {
		for _, b := range reply.GetBuckets() {
			taken += h.installBucket(now, b)
		}
		h.ownership.RecordAck(from.Name, reply.GetEpoch())
	}
	versionBefore := h.divisions.version
	h.divisions.RecordAck(now, from.Name, reply.GetEpoch(), reply.GetDivisionHash(), reply.GetDivisionEstablished(),
		reply.GetDivisionUnused())
	if h.divisions.version != versionBefore {
		h.applyShares(now)
	}
	return taken
}

func (h *HostState) installBucket(now time.Time, b *peerv1.HandedOverBucket) int {
	name := b.GetWorkspace()
	if role, _ := h.ownership.StateOf(name); role != OwnershipPending {
		return 0
	}
	w := h.workspace(name)
	if w.bucket != nil {
		// Two hosts handed over the bucket. An empty bucket is the only safe state.
		w.bucket.Stop()
		w.bucket = NewBucket(now, h.share(name))
		return 0
	}
	h.divisions.noGrants = h.divisions.noGrants && b.GetOutstanding() == 0
	w.bucket = NewBucketFromHandover(now, h.share(name), BucketState{
		Level: b.GetLevel(), Outstanding: b.GetOutstanding(), Remaining: time.Duration(b.GetRemainingTermNanos()),
	})
	if ready, _ := h.divisions.Ready(); !ready {
		w.bucket.Pause(now)
	}
	return 1
}

// mergeBucket adds the bucket of a departed host to the one that this host may already have started. Together they hold
// at most what the old bucket with its refill would hold, since the old one was stopped before the new one was started.
func (h *HostState) mergeBucket(now time.Time, b *peerv1.HandedOverBucket) int {
	bucket := h.bucket(now, b.GetWorkspace())
	if bucket == nil {
		return h.installBucket(now, b)
	}
	h.divisions.noGrants = h.divisions.noGrants && b.GetOutstanding() == 0
	bucket.Merge(now, BucketState{
		Level: b.GetLevel(), Outstanding: b.GetOutstanding(), Remaining: time.Duration(b.GetRemainingTermNanos()),
	})
	return 1
}
