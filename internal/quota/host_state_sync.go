package quota

import (
	"time"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/membership"
)

// Sync applies the newest epoch and configuration. Every use of a bucket and every acknowledgement comes after a Sync,
// so an acknowledged epoch or division is the one in use. known reports whether a majority of the hosts of the epoch
// before the given one have the given epoch. Sync reports whether something changed.
func (h *HostState) Sync(now time.Time, epoch membership.Epoch, snapshot *config.Snapshot, known func(uint64) bool) bool {
	if snapshot == nil {
		return false
	}
	newEpoch := epoch.Number > h.epoch.Number
	if newEpoch {
		justLeft := h.leaving && epoch.Number == h.ownership.Number()+1 && !epoch.Contains(h.self)
		h.epoch = epoch
		if !h.ownership.AddEpoch(epoch) {
			if !justLeft {
				h.dropBuckets()
			}
			h.divisions.Reset(len(h.workspaces) == 0)
		}
	}
	changed := newEpoch || snapshot != h.snapshot || h.divisions.DueAt(now)
	if changed {
		h.changeShares(now, snapshot)
	}
	return h.ownership.Advance(now, known) || changed
}

// changeShares applies a new division or configuration. A bucket that is not in memory would later be recreated as
// if the new share had always been active, so buckets whose share changes are created first.
func (h *HostState) changeShares(now time.Time, snapshot *config.Snapshot) {
	old, version := h.snapshot, h.divisions.version
	division := NewDivision(snapshot, h.epoch)
	if hash, _ := h.divisions.Current(); hash != division.Hash() || h.divisions.DueAt(now) {
		h.createBuckets(now, func(string) bool { return true })
	} else if old != nil && old != snapshot {
		h.createBuckets(now, func(name string) bool {
			next, last := snapshot.Workspace(name), old.Workspace(name)
			return next == nil || next.Rate != last.Rate || next.Burst != last.Burst
		})
	}
	h.divisions.AddDivision(now, division, h.epoch, h.self.Name)
	h.snapshot = snapshot
	if old != nil && old != snapshot {
		h.createAddedBuckets(now, old)
	}
	if old != snapshot || version != h.divisions.version {
		h.applyShares(now)
	}
}

func (h *HostState) applyShares(now time.Time) {
	ready, _ := h.divisions.Ready()
	for name, w := range h.workspaces {
		if w.bucket == nil {
			continue
		}
		w.bucket.SetShare(now, h.share(name))
		if ready && !h.leaving {
			w.bucket.Resume(now)
		}
	}
}

// createBuckets creates the buckets of this host that are not in memory and that the filter selects, including
// those that are still to be handed over.
func (h *HostState) createBuckets(now time.Time, selected func(name string) bool) {
	if h.snapshot == nil {
		return
	}
	for name := range h.snapshot.Workspaces() {
		if selected(name) && h.bucket(now, name) == nil {
			h.outgoingBucket(name)
		}
	}
}

// createAddedBuckets starts the buckets of added workspaces empty, since a workspace that was removed and added
// again may have used its burst.
func (h *HostState) createAddedBuckets(now time.Time, old *config.Snapshot) {
	ready, _ := h.divisions.Ready()
	for name := range h.snapshot.Workspaces() {
		if old.Workspace(name) != nil || !ready {
			continue
		}
		if role, _ := h.ownership.StateOf(name); role == OwnershipHeld && h.workspace(name).bucket == nil {
			h.workspace(name).bucket = NewBucket(now, h.share(name))
		}
	}
}

func (h *HostState) dropBuckets() {
	for _, w := range h.workspaces {
		if w.bucket != nil {
			w.bucket.Stop()
			w.bucket = nil
		}
	}
}

// outgoingBucket returns the bucket that moves to another host in the current epoch and was not handed over yet.
func (h *HostState) outgoingBucket(name string) *Bucket {
	if w := h.workspaces[name]; w != nil && w.bucket != nil {
		return w.bucket
	}
	role, since := h.ownership.PreviousStateOf(name)
	ready, activeSince := h.divisions.Ready()
	if role != OwnershipHeld || h.ownership.isHandedOver(name) || !ready {
		return nil
	}
	w := h.workspace(name)
	w.bucket = NewBucket(laterOf(since, activeSince), h.share(name))
	return w.bucket
}
