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
func (n *Node) HandOverTargets() []host.ID {
	hosts := n.ownership.Unacknowledged()
	missing := map[string]bool{}
	for _, name := range n.divisions.Unacknowledged() {
		missing[name] = true
	}
	for _, h := range n.epoch.Hosts {
		if missing[h.Name] && (h.Zone != n.self.Zone || n.ownership.isAcked(h.Name)) {
			hosts = append(hosts, h)
		}
	}
	return append(hosts, n.ownership.departedToQuery()...)
}

// Leave stops this host as a home host before it leaves the epoch. Its buckets no longer refill, because the refill
// of their successors starts before the buckets are handed over.
func (n *Node) Leave(now time.Time) {
	if n.leaving {
		return
	}
	n.createBuckets(now, func(string) bool { return true })
	n.leaving = true
	for _, w := range n.workspaces {
		if w.bucket != nil {
			w.bucket.Advance(now)
			w.bucket.Pause(now)
		}
	}
}

// Epoch returns the epoch of the last Sync.
func (n *Node) Epoch() membership.Epoch { return n.epoch }

// HandOver handles a handover request: it returns the buckets that move to the sender, and acknowledges the epoch
// and the division.
func (n *Node) HandOver(now time.Time, from host.ID, epoch uint64) *peerv1.HandOverResponse {
	reply := &peerv1.HandOverResponse{Epoch: n.epoch.Number}
	reply.DivisionHash, reply.DivisionEstablished = n.divisions.Current()
	reply.DivisionUnused = n.divisions.NoGrantsGiven()
	if n.leaving && epoch == reply.Epoch && !n.epoch.Contains(n.self) {
		n.handOverAfterLeave(now, from, reply)
		return reply
	}
	if epoch != reply.Epoch || from.Zone != n.self.Zone || n.snapshot == nil || n.ownership.isHandedOverTo(from.Name) {
		return reply
	}
	defer n.ownership.MarkHandedOver(from.Name)
	for name := range n.movableWorkspaces(from) {
		if to, ok := n.ownership.Successor(name); ok && to == from {
			n.handOverBucket(now, name, reply)
		}
	}
	return reply
}

// handOverAfterLeave hands over the buckets that this host kept when it left the epoch.
func (n *Node) handOverAfterLeave(now time.Time, from host.ID, reply *peerv1.HandOverResponse) {
	for name, w := range n.workspaces {
		if to, ok := n.epoch.Home(n.self.Zone, name); w.bucket != nil && ok && to == from {
			n.handOverBucket(now, name, reply)
		}
	}
}

// movableWorkspaces returns the workspaces whose bucket may move to a host. Rendezvous hashing moves none between
// two hosts that stay. For a host that stays, only buckets from an earlier epoch that were never requested can be
// left.
func (n *Node) movableWorkspaces(to host.ID) iter.Seq[string] {
	if n.ownership.isNew(to) {
		return maps.Keys(n.snapshot.Workspaces())
	}
	return func(yield func(string) bool) {
		for name, w := range n.workspaces {
			if w.bucket != nil && !yield(name) {
				return
			}
		}
	}
}

func (n *Node) handOverBucket(now time.Time, name string, reply *peerv1.HandOverResponse) {
	bucket := n.outgoingBucket(name)
	if bucket == nil {
		return
	}
	n.workspace(name).bucket = nil
	state := bucket.HandOver(now)
	reply.Buckets = append(reply.Buckets, &peerv1.HandedOverBucket{
		Workspace: name, Level: state.Level, Outstanding: state.Outstanding,
		RemainingTermNanos: int64(state.Remaining),
	})
}

// ApplyHandOver applies the reply to a handover request of the given epoch and returns the number of buckets that
// were taken over. Replies of another epoch are ignored, since their buckets may have moved on.
func (n *Node) ApplyHandOver(now time.Time, from host.ID, requested uint64, reply *peerv1.HandOverResponse) int {
	if reply.GetEpoch() != requested || requested != n.epoch.Number {
		return 0
	}
	taken := 0
	if !n.epoch.Contains(from) {
		if n.ownership.firstDepartedReply(from) {
			for _, b := range reply.GetBuckets() {
				taken += n.mergeBucket(now, b)
			}
		}
		return taken
	}
	if from.Zone == n.self.Zone && !n.ownership.isAcked(from.Name) {
		for _, b := range reply.GetBuckets() {
			taken += n.installBucket(now, b)
		}
		n.ownership.RecordAck(from.Name, reply.GetEpoch())
	}
	versionBefore := n.divisions.version
	n.divisions.RecordAck(now, from.Name, reply.GetEpoch(), reply.GetDivisionHash(), reply.GetDivisionEstablished(),
		reply.GetDivisionUnused())
	if n.divisions.version != versionBefore {
		n.applyShares(now)
	}
	return taken
}

func (n *Node) installBucket(now time.Time, b *peerv1.HandedOverBucket) int {
	name := b.GetWorkspace()
	if role, _ := n.ownership.StateOf(name); role != OwnershipPending {
		return 0
	}
	w := n.workspace(name)
	if w.bucket != nil {
		// Two hosts handed over the bucket. An empty bucket is the only safe state.
		w.bucket.Stop()
		w.bucket = NewBucket(now, n.share(name))
		return 0
	}
	n.divisions.noGrants = n.divisions.noGrants && b.GetOutstanding() == 0
	w.bucket = NewBucketFromHandover(now, n.share(name), BucketState{
		Level: b.GetLevel(), Outstanding: b.GetOutstanding(), Remaining: time.Duration(b.GetRemainingTermNanos()),
	})
	if ready, _ := n.divisions.Ready(); !ready {
		w.bucket.Pause(now)
	}
	return 1
}

// mergeBucket adds the bucket of a departed host to the one that this host may already have started. Together they
// hold no more than the old bucket with its refill, since the old one stopped first.
func (n *Node) mergeBucket(now time.Time, b *peerv1.HandedOverBucket) int {
	bucket := n.bucket(now, b.GetWorkspace())
	if bucket == nil {
		return n.installBucket(now, b)
	}
	n.divisions.noGrants = n.divisions.noGrants && b.GetOutstanding() == 0
	bucket.Merge(now, BucketState{
		Level: b.GetLevel(), Outstanding: b.GetOutstanding(), Remaining: time.Duration(b.GetRemainingTermNanos()),
	})
	return 1
}
