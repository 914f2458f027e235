package quota

import (
	"iter"
	"maps"
	"time"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/membership"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// Sync takes in the newest epoch and configuration. Every use of a bucket and every acknowledgement comes after
// it, so an acknowledged epoch or division is the one in use. known tells whether a majority of an epoch's
// hosts know it. Sync reports whether something changed.
func (n *Node) Sync(now time.Time, epoch membership.Epoch, snapshot *config.Snapshot, known func(uint64) bool) bool {
	if snapshot == nil {
		return false
	}
	newEpoch := epoch.Number > n.epoch.Number
	if newEpoch {
		n.epoch = epoch
		if !n.tenure.Learn(epoch) {
			n.dropHomes()
			n.divisions.Reset(len(n.workspaces) == 0)
		}
	}
	changed := newEpoch || snapshot != n.snapshot || n.divisions.DueAt(now)
	if changed {
		n.changeShares(now, snapshot)
	}
	return n.tenure.Advance(now, known) || changed
}

// changeShares installs a new division or configuration. Buckets that are not in memory would later be
// recreated under the new share as if it had always held, so those whose share changes are created first.
func (n *Node) changeShares(now time.Time, snapshot *config.Snapshot) {
	old, version := n.snapshot, n.divisions.version
	division := NewDivision(snapshot, n.epoch)
	if hash, _ := n.divisions.Current(); hash != division.Hash() || n.divisions.DueAt(now) {
		n.materialize(now, func(string) bool { return true })
	} else if old != nil && old != snapshot {
		n.materialize(now, func(name string) bool {
			next, last := snapshot.Workspace(name), old.Workspace(name)
			return next == nil || next.Rate != last.Rate || next.Burst != last.Burst
		})
	}
	n.divisions.Learn(now, division, n.epoch, n.self.Name)
	n.snapshot = snapshot
	if old != nil && old != snapshot {
		n.createAdded(now, old)
	}
	if old != snapshot || version != n.divisions.version {
		n.applyShares(now)
	}
}

func (n *Node) applyShares(now time.Time) {
	ready, _ := n.divisions.Ready()
	for name, w := range n.workspaces {
		if w.home == nil {
			continue
		}
		w.home.SetShare(now, n.share(name))
		if ready {
			w.home.Resume(now)
		}
	}
}

// materialize creates the buckets of this host that are not in memory and that the filter selects.
func (n *Node) materialize(now time.Time, selected func(name string) bool) {
	if n.snapshot == nil {
		return
	}
	for name := range n.snapshot.Workspaces() {
		if selected(name) && n.home(now, name) == nil {
			n.retired(name)
		}
	}
}

// createAdded starts the buckets of added workspaces empty. One that was removed before may have been used.
func (n *Node) createAdded(now time.Time, old *config.Snapshot) {
	ready, _ := n.divisions.Ready()
	for name := range n.snapshot.Workspaces() {
		if old.Workspace(name) != nil || !ready {
			continue
		}
		if standing, _ := n.tenure.Of(name); standing == StandingHome && n.workspace(name).home == nil {
			n.workspace(name).home = NewHome(now, n.share(name))
		}
	}
}

func (n *Node) dropHomes() {
	for _, w := range n.workspaces {
		if w.home != nil {
			w.home.Stop()
			w.home = nil
		}
	}
}

// retired returns the bucket that moves to another host in the current epoch and was not handed over yet.
func (n *Node) retired(name string) *Home {
	if w := n.workspaces[name]; w != nil && w.home != nil {
		return w.home
	}
	standing, since := n.tenure.Before(name)
	ready, inForce := n.divisions.Ready()
	if standing != StandingHome || n.tenure.isHanded(name) || !ready {
		return nil
	}
	w := n.workspace(name)
	w.home = NewHome(later(since, inForce), n.share(name))
	return w.home
}

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
	return hosts
}

// Epoch returns the epoch that Sync took in last.
func (n *Node) Epoch() membership.Epoch { return n.epoch }

// HandOver answers a host that asks for its buckets and for an acknowledgement.
func (n *Node) HandOver(now time.Time, from host.ID, epoch uint64) *peerv1.HandOverResponse {
	answer := &peerv1.HandOverResponse{Epoch: n.epoch.Number}
	answer.DivisionHash, answer.DivisionEstablished = n.divisions.Current()
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
	if from.Zone == n.self.Zone && !n.tenure.isAcked(from.Name) {
		for _, b := range answer.GetBuckets() {
			taken += n.install(now, b)
		}
		n.tenure.Acked(from.Name, answer.GetEpoch())
	}
	before := n.divisions.version
	n.divisions.Acked(now, from.Name, answer.GetEpoch(), answer.GetDivisionHash(), answer.GetDivisionEstablished())
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
	w.home = NewHomeFrom(now, n.share(name), Handed{
		Level: b.GetLevel(), Outstanding: b.GetOutstanding(), Remaining: time.Duration(b.GetRemainingTermNanos()),
	})
	if ready, _ := n.divisions.Ready(); !ready {
		w.home.Pause(now)
	}
	return 1
}
