package quota

import (
	"iter"
	"maps"
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/membership"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// AskHandOver returns the hosts to ask for buckets that moved here and for missing acknowledgements.
func (n *Node) AskHandOver() []host.ID {
	hosts := n.tenure.Waiting()
	missing := map[string]bool{}
	for _, name := range n.divisions.Waiting() {
		missing[name] = true
	}
	for _, h := range n.epoch.Hosts {
		if missing[h.Name] && (h.Zone != n.self.Zone || n.tenure.isAcked(h.Name)) {
			hosts = append(hosts, h)
		}
	}
	return append(hosts, n.tenure.askLeft()...)
}

// Leave stops this host as a home host before it leaves the epoch. Its buckets no longer refill, because the
// refill of their successors starts before the buckets are handed over.
func (n *Node) Leave(now time.Time) {
	if n.leaving {
		return
	}
	n.materialize(now, func(string) bool { return true })
	n.leaving = true
	for _, w := range n.workspaces {
		if w.home != nil {
			w.home.Advance(now)
			w.home.Pause(now)
		}
	}
}

// Epoch returns the epoch that Sync took in last.
func (n *Node) Epoch() membership.Epoch { return n.epoch }

// HandOver answers a host that asks for its buckets and for an acknowledgement.
func (n *Node) HandOver(now time.Time, from host.ID, epoch uint64) *peerv1.HandOverResponse {
	answer := &peerv1.HandOverResponse{Epoch: n.epoch.Number}
	answer.DivisionHash, answer.DivisionEstablished = n.divisions.Current()
	answer.DivisionUnused = n.divisions.Unused()
	if n.leaving && epoch == answer.Epoch && !n.epoch.Contains(n.self) {
		n.handLeft(now, from, answer)
		return answer
	}
	if epoch != answer.Epoch || from.Zone != n.self.Zone || n.snapshot == nil || n.tenure.isHandedTo(from.Name) {
		return answer
	}
	defer n.tenure.Hand(from.Name)
	for name := range n.mayMove(from) {
		if to, ok := n.tenure.Successor(name); ok && to == from {
			n.handBucket(now, name, answer)
		}
	}
	return answer
}

// handLeft hands over what this host kept when it left the epoch.
func (n *Node) handLeft(now time.Time, from host.ID, answer *peerv1.HandOverResponse) {
	for name, w := range n.workspaces {
		if to, ok := n.epoch.Home(n.self.Zone, name); w.home != nil && ok && to == from {
			n.handBucket(now, name, answer)
		}
	}
}

// mayMove returns the workspaces whose bucket may move to a host. Rendezvous hashing moves none between two hosts
// that stay, so there only a bucket from an earlier epoch that was never asked for can be left.
func (n *Node) mayMove(to host.ID) iter.Seq[string] {
	if n.tenure.isNew(to) {
		return maps.Keys(n.snapshot.Workspaces())
	}
	return func(yield func(string) bool) {
		for name, w := range n.workspaces {
			if w.home != nil && !yield(name) {
				return
			}
		}
	}
}

func (n *Node) handBucket(now time.Time, name string, answer *peerv1.HandOverResponse) {
	home := n.retired(name)
	if home == nil {
		return
	}
	n.workspace(name).home = nil
	handed := home.HandOver(now)
	answer.Buckets = append(answer.Buckets, &peerv1.HandedOverBucket{
		Workspace: name, Level: handed.Level, Outstanding: handed.Outstanding,
		RemainingTermNanos: int64(handed.Remaining),
	})
}

// TakeHandOver uses an answer to a request of the given epoch. Answers of another epoch do not count: their
// buckets may have moved on. It returns the number of buckets that were taken over.
func (n *Node) TakeHandOver(now time.Time, from host.ID, asked uint64, answer *peerv1.HandOverResponse) int {
	if answer.GetEpoch() != asked || asked != n.epoch.Number {
		return 0
	}
	taken := 0
	if !n.epoch.Contains(from) {
		if n.tenure.answeredLeft(from) {
			for _, b := range answer.GetBuckets() {
				taken += n.merge(now, b)
			}
		}
		return taken
	}
	if from.Zone == n.self.Zone && !n.tenure.isAcked(from.Name) {
		for _, b := range answer.GetBuckets() {
			taken += n.install(now, b)
		}
		n.tenure.Acked(from.Name, answer.GetEpoch())
	}
	before := n.divisions.version
	n.divisions.Acked(now, from.Name, answer.GetEpoch(), answer.GetDivisionHash(), answer.GetDivisionEstablished(),
		answer.GetDivisionUnused())
	if n.divisions.version != before {
		n.applyShares(now)
	}
	return taken
}

func (n *Node) install(now time.Time, b *peerv1.HandedOverBucket) int {
	name := b.GetWorkspace()
	if standing, _ := n.tenure.Of(name); standing != StandingWaiting {
		return 0
	}
	w := n.workspace(name)
	if w.home != nil {
		// Two hosts claim the bucket; only an empty one is safe.
		w.home.Stop()
		w.home = NewHome(now, n.share(name))
		return 0
	}
	n.divisions.fresh = n.divisions.fresh && b.GetOutstanding() == 0
	w.home = NewHomeFrom(now, n.share(name), Handed{
		Level: b.GetLevel(), Outstanding: b.GetOutstanding(), Remaining: time.Duration(b.GetRemainingTermNanos()),
	})
	if ready, _ := n.divisions.Ready(); !ready {
		w.home.Pause(now)
	}
	return 1
}

// merge adds the bucket of a host that has left to the one that this host may already have started. Both together
// hold no more than the old bucket with its refill, since the old one stopped first.
func (n *Node) merge(now time.Time, b *peerv1.HandedOverBucket) int {
	home := n.home(now, b.GetWorkspace())
	if home == nil {
		return n.install(now, b)
	}
	n.divisions.fresh = n.divisions.fresh && b.GetOutstanding() == 0
	home.Merge(now, Handed{
		Level: b.GetLevel(), Outstanding: b.GetOutstanding(), Remaining: time.Duration(b.GetRemainingTermNanos()),
	})
	return 1
}
