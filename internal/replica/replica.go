// Package replica maintains a host's copy of the part of the store that it uses: the configuration, the backend
// servers' registrations and the record of the leader election. The copy is read from the store, or from another host
// while the store does not respond to this one. The package does no I/O.
package replica

import (
	"slices"
	"strings"
	"time"

	"github.com/boragecourse/boragecourse/internal/kvstore"
)

// Copy is the content of some key prefixes of the store at a revision, which includes the era (kvstore.InEra). The zero
// value is an empty copy. It is not safe for concurrent use.
type Copy struct {
	items    map[string]kvstore.KeyValue
	revision int64
	// confirmed is when the copy was last known to match the store.
	confirmed time.Time
	// removed holds the revisions at which keys were removed after the revision removalsFrom.
	removed      map[string]int64
	removalsFrom int64
}

// maxRemovals is the number of removed keys that a copy remembers.
const maxRemovals = 1000

// Revision returns the store revision of the copy, 0 before the first Replace or Apply.
func (c *Copy) Revision() int64 { return c.revision }

// ConfirmedAt returns when the copy was last known to match the store.
func (c *Copy) ConfirmedAt() time.Time { return c.confirmed }

// Items returns all items, in key order.
func (c *Copy) Items() []kvstore.KeyValue {
	items := make([]kvstore.KeyValue, 0, len(c.items))
	for _, item := range c.items {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b kvstore.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return items
}

// Replace replaces the content of the copy with a complete state that was read at the given revision. It returns false
// and changes nothing if the revision is older than that of the copy.
func (c *Copy) Replace(items []kvstore.KeyValue, revision int64, confirmed time.Time) bool {
	if revision < c.revision {
		return false
	}
	old := c.items
	c.items = make(map[string]kvstore.KeyValue, len(items))
	for _, item := range items {
		c.items[item.Key] = item
		delete(c.removed, item.Key)
	}
	if old == nil || c.fromOtherEra(revision) {
		c.removed, c.removalsFrom = map[string]int64{}, revision
	}
	for key := range old {
		// What a restored store lacks was not removed. Changes are passed on within an era only.
		if _, kept := c.items[key]; !kept && !c.fromOtherEra(revision) {
			c.remember(key, revision)
		}
	}
	c.revision = revision
	c.confirm(confirmed)
	return true
}

// Apply applies events up to a revision and skips those that the copy already includes. It reports whether an item
// changed. Events of another era than that of the copy are not applied.
func (c *Copy) Apply(events []kvstore.Event, revision int64, confirmed time.Time) bool {
	if c.fromOtherEra(revision) {
		return false
	}
	changed := false
	for _, e := range events {
		if old, exists := c.items[e.Key]; exists && old.ModRevision >= e.ModRevision {
			continue
		}
		if e.Deleted {
			delete(c.items, e.Key)
			c.remember(e.Key, e.ModRevision)
		} else {
			if c.items == nil {
				c.items = map[string]kvstore.KeyValue{}
			}
			c.items[e.Key] = e.KeyValue
			delete(c.removed, e.Key)
		}
		changed = true
	}
	c.revision = max(c.revision, revision)
	c.confirm(confirmed)
	return changed
}

func (c *Copy) fromOtherEra(revision int64) bool {
	return c.revision != 0 && kvstore.Era(revision) != kvstore.Era(c.revision)
}

// remember records the removal of a key. When too many are recorded, it forgets all of them.
func (c *Copy) remember(key string, revision int64) {
	if c.removed == nil || len(c.removed) >= maxRemovals {
		c.removed, c.removalsFrom = map[string]int64{}, revision
		return
	}
	c.removed[key] = revision
}

// RemovedAt returns the revision at which a key was removed from the store in the era of the copy, if that is known.
func (c *Copy) RemovedAt(key string) (int64, bool) {
	at, known := c.removed[key]
	return at, known
}

// Removal is a key that was removed from the store at a revision.
type Removal struct {
	Key      string
	Revision int64
}

// Since returns what has changed after a revision. It reports false when that is not known; the items are then all items
// of the copy.
func (c *Copy) Since(revision int64) ([]kvstore.KeyValue, []Removal, bool) {
	if revision < c.removalsFrom || revision == 0 {
		return c.Items(), nil, false
	}
	var items []kvstore.KeyValue
	for _, item := range c.items {
		if item.ModRevision > revision {
			items = append(items, item)
		}
	}
	var removals []Removal
	for key, at := range c.removed {
		if at > revision {
			removals = append(removals, Removal{key, at})
		}
	}
	return items, removals, true
}

// confirm advances the confirmation time; an earlier time has no effect.
func (c *Copy) confirm(at time.Time) {
	if at.After(c.confirmed) {
		c.confirmed = at
	}
}
