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

// Copy is the content of some key prefixes of the store at a revision. The zero value is an empty copy. It is not safe
// for concurrent use.
type Copy struct {
	items    map[string]kvstore.KeyValue
	revision int64
	// confirmed is when the copy was last known to match the store.
	confirmed time.Time
}

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
	c.items = make(map[string]kvstore.KeyValue, len(items))
	for _, item := range items {
		c.items[item.Key] = item
	}
	c.revision = revision
	c.confirm(confirmed)
	return true
}

// Apply applies events up to a revision and skips those that the copy already includes. It reports whether an item
// changed.
func (c *Copy) Apply(events []kvstore.Event, revision int64, confirmed time.Time) bool {
	changed := false
	for _, e := range events {
		if old, exists := c.items[e.Key]; exists && old.ModRevision >= e.ModRevision {
			continue
		}
		if e.Deleted {
			delete(c.items, e.Key)
		} else {
			if c.items == nil {
				c.items = map[string]kvstore.KeyValue{}
			}
			c.items[e.Key] = e.KeyValue
		}
		changed = true
	}
	c.revision = max(c.revision, revision)
	c.confirm(confirmed)
	return changed
}

// confirm advances the confirmation time; an earlier time has no effect.
func (c *Copy) confirm(at time.Time) {
	if at.After(c.confirmed) {
		c.confirmed = at
	}
}
