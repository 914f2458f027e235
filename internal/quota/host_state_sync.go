package quota

import (
	"time"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/membership"
)

// Sync applies the newest epoch and configuration. Every use of a bucket and every acknowledgement comes after a
// Sync, so an acknowledged epoch or division is the one in use. known reports whether a majority of an epoch's
// hosts know it. Sync reports whether something changed.
func (n *Node) Sync(now time.Time, epoch membership.Epoch, snapshot *config.Snapshot, known func(uint64) bool) bool {
	if snapshot == nil {
		return false
	}
	newEpoch := epoch.Number > n.epoch.Number
	if newEpoch {
		justLeft := n.leaving && epoch.Number == n.ownership.Number()+1 && !epoch.Contains(n.self)
		n.epoch = epoch
		if !n.ownership.AddEpoch(epoch) {
			if !justLeft {
				n.dropBuckets()
			}
			n.divisions.Reset(len(n.workspaces) == 0)
		}
	}
	changed := newEpoch || snapshot != n.snapshot || n.divisions.DueAt(now)
	if changed {
		n.changeShares(now, snapshot)
	}
	return n.ownership.Advance(now, known) || changed
}

// changeShares applies a new division or configuration. A bucket that is not in memory would later be recreated as
// if the new share had always been active, so buckets whose share changes are created first.
func (n *Node) changeShares(now time.Time, snapshot *config.Snapshot) {
	old, version := n.snapshot, n.divisions.version
	division := NewDivision(snapshot, n.epoch)
	if hash, _ := n.divisions.Current(); hash != division.Hash() || n.divisions.DueAt(now) {
		n.createBuckets(now, func(string) bool { return true })
	} else if old != nil && old != snapshot {
		n.createBuckets(now, func(name string) bool {
			next, last := snapshot.Workspace(name), old.Workspace(name)
			return next == nil || next.Rate != last.Rate || next.Burst != last.Burst
		})
	}
	n.divisions.AddDivision(now, division, n.epoch, n.self.Name)
	n.snapshot = snapshot
	if old != nil && old != snapshot {
		n.createAddedBuckets(now, old)
	}
	if old != snapshot || version != n.divisions.version {
		n.applyShares(now)
	}
}

func (n *Node) applyShares(now time.Time) {
	ready, _ := n.divisions.Ready()
	for name, w := range n.workspaces {
		if w.bucket == nil {
			continue
		}
		w.bucket.SetShare(now, n.share(name))
		if ready && !n.leaving {
			w.bucket.Resume(now)
		}
	}
}

// createBuckets creates the buckets of this host that are not in memory and that the filter selects, including
// those that are still to be handed over.
func (n *Node) createBuckets(now time.Time, selected func(name string) bool) {
	if n.snapshot == nil {
		return
	}
	for name := range n.snapshot.Workspaces() {
		if selected(name) && n.bucket(now, name) == nil {
			n.outgoingBucket(name)
		}
	}
}

// createAddedBuckets starts the buckets of added workspaces empty, since a workspace that was removed and added
// again may have used its burst.
func (n *Node) createAddedBuckets(now time.Time, old *config.Snapshot) {
	ready, _ := n.divisions.Ready()
	for name := range n.snapshot.Workspaces() {
		if old.Workspace(name) != nil || !ready {
			continue
		}
		if role, _ := n.ownership.StateOf(name); role == OwnershipHeld && n.workspace(name).bucket == nil {
			n.workspace(name).bucket = NewBucket(now, n.share(name))
		}
	}
}

func (n *Node) dropBuckets() {
	for _, w := range n.workspaces {
		if w.bucket != nil {
			w.bucket.Stop()
			w.bucket = nil
		}
	}
}

// outgoingBucket returns the bucket that moves to another host in the current epoch and was not handed over yet.
func (n *Node) outgoingBucket(name string) *Bucket {
	if w := n.workspaces[name]; w != nil && w.bucket != nil {
		return w.bucket
	}
	role, since := n.ownership.PreviousStateOf(name)
	ready, activeSince := n.divisions.Ready()
	if role != OwnershipHeld || n.ownership.isHandedOver(name) || !ready {
		return nil
	}
	w := n.workspace(name)
	w.bucket = NewBucket(laterOf(since, activeSince), n.share(name))
	return w.bucket
}
