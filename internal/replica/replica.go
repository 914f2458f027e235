// Package replica keeps a host's copy of the configuration and of the backend servers' registrations. The copy comes
// from the store, or from another host while the store refuses this one. The package does no I/O.
package replica

import (
	"slices"
	"strings"
	"time"

	kv "github.com/boragecourse/boragecourse/internal/platform"
)

// Copy is the state of some prefixes of the store at a revision. The zero value is an empty copy.
type Copy struct {
	items    map[string]kv.KeyValue
	revision int64
	// confirmed is when the copy was last known to be the store's newest state.
	confirmed time.Time
}

// Revision is the store's revision that the copy holds, 0 before the first.
func (c *Copy) Revision() int64 { return c.revision }

// Confirmed is when the copy was last known to be current.
func (c *Copy) Confirmed() time.Time { return c.confirmed }

// Items returns all items, in key order.
func (c *Copy) Items() []kv.KeyValue {
	items := make([]kv.KeyValue, 0, len(c.items))
	for _, item := range c.items {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b kv.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return items
}

// Replace takes over a whole state that was read at a revision. It reports whether the state was taken: an older one
// than the present copy is not.
func (c *Copy) Replace(items []kv.KeyValue, revision int64, confirmed time.Time) bool {
	if revision < c.revision {
		return false
	}
	c.items = make(map[string]kv.KeyValue, len(items))
	for _, item := range items {
		c.items[item.Key] = item
	}
	c.revision = revision
	c.confirm(confirmed)
	return true
}

// Apply takes over changes that follow the present revision. It reports whether an item changed.
func (c *Copy) Apply(events []kv.Event, revision int64, confirmed time.Time) bool {
	changed := false
	for _, e := range events {
		if old, exists := c.items[e.Key]; exists && old.ModRevision >= e.ModRevision {
			continue
		}
		if e.Deleted {
			delete(c.items, e.Key)
		} else {
			if c.items == nil {
				c.items = map[string]kv.KeyValue{}
			}
			c.items[e.Key] = e.KeyValue
		}
		changed = true
	}
	c.revision = max(c.revision, revision)
	c.confirm(confirmed)
	return changed
}

func (c *Copy) confirm(at time.Time) {
	if at.After(c.confirmed) {
		c.confirmed = at
	}
}
