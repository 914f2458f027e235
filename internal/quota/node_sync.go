package quota

import (
	"time"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/membership"
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
		justLeft := n.leaving && epoch.Number == n.tenure.Number()+1 && !epoch.Contains(n.self)
		n.epoch = epoch
		if !n.tenure.Learn(epoch) {
			if !justLeft {
				n.dropHomes()
			}
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
		if ready && !n.leaving {
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
