package bench

import (
	"container/list"
	"time"

	"github.com/boragecourse/boragecourse/internal/engine"
)

// eventLog is how many cache events an engine keeps; older ones are lost to late readers.
const eventLog = 400

// lru is the prefix cache of an engine.
type lru struct {
	order list.List
	items map[uint64]*list.Element
	log   []logged
	next  uint64
}

type logged struct {
	at    time.Time
	event engine.CacheEvent
}

// touch returns how many leading blocks were held and then holds all of them.
func (c *lru) touch(now time.Time, blocks []uint64) int {
	if c.items == nil {
		c.items = map[uint64]*list.Element{}
	}
	held := 0
	for held < len(blocks) && c.items[blocks[held]] != nil {
		held++
	}
	// The start of a prefix must outlive its end, so it is touched last.
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
	c.log = append(c.log, logged{now, e})
	if len(c.log) > eventLog {
		c.log = c.log[len(c.log)-eventLog:]
	}
}

// events returns the events after a number that are older than the lag.
func (c *lru) events(now time.Time, after uint64) []engine.CacheEvent {
	var out []engine.CacheEvent
	for _, l := range c.log {
		if l.event.Sequence > after && now.Sub(l.at) >= reportLag {
			out = append(out, l.event)
		}
	}
	return out
}

func (c *lru) content() ([]uint64, uint64, error) {
	var out []uint64
	for e := c.order.Back(); e != nil; e = e.Prev() {
		out = append(out, e.Value.(uint64))
	}
	return out, c.next, nil
}
