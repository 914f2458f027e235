package bench

import (
	"container/list"
	"time"

	"github.com/boragecourse/boragecourse/internal/engine"
)

// eventLogSize is the number of cache events that an engine keeps. A reader that falls further behind misses events.
const eventLogSize = 400

// lru is the prefix cache of an engine, with least-recently-used eviction at cacheBlocks blocks.
type lru struct {
	order list.List
	items map[uint64]*list.Element
	log   []loggedEvent
	next  uint64
}

type loggedEvent struct {
	at    time.Time
	event engine.CacheEvent
}

// touch inserts all blocks as most recently used and returns how many leading blocks were cached before.
func (c *lru) touch(now time.Time, blocks []uint64) int {
	if c.items == nil {
		c.items = map[uint64]*list.Element{}
	}
	held := 0
	for held < len(blocks) && c.items[blocks[held]] != nil {
		held++
	}
	// A block is useful only together with the blocks before it. The blocks are therefore touched from the last to the
	// first, so that the first one is evicted last.
	for i := len(blocks) - 1; i >= 0; i-- {
		if e := c.items[blocks[i]]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.items[blocks[i]] = c.order.PushFront(blocks[i])
		c.record(now, engine.CacheEvent{Block: blocks[i]})
	}
	for c.order.Len() > cacheBlocks {
		b := c.order.Remove(c.order.Back()).(uint64)
		delete(c.items, b)
		c.record(now, engine.CacheEvent{Block: b, Removed: true})
	}
	return held
}

func (c *lru) record(now time.Time, e engine.CacheEvent) {
	c.next++
	e.Sequence = c.next
	c.log = append(c.log, loggedEvent{now, e})
	if len(c.log) > eventLogSize {
		c.log = c.log[len(c.log)-eventLogSize:]
	}
}

// events returns the events after a sequence number that are at least reportLag old.
func (c *lru) events(now time.Time, after uint64) []engine.CacheEvent {
	var out []engine.CacheEvent
	for _, l := range c.log {
		if l.event.Sequence > after && now.Sub(l.at) >= reportLag {
			out = append(out, l.event)
		}
	}
	return out
}

// blocks returns the cached blocks, least recently used first, and the sequence number of the last event.
func (c *lru) blocks() ([]uint64, uint64, error) {
	var out []uint64
	for e := c.order.Back(); e != nil; e = e.Prev() {
		out = append(out, e.Value.(uint64))
	}
	return out, c.next, nil
}
