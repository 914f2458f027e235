package engine

import (
	"container/list"
	"context"
	"slices"
	"time"

	"github.com/boragecourse/boragecourse/internal/cacheindex"
	"github.com/boragecourse/boragecourse/internal/engine"
)

// prefixCache is an LRU cache of prefix blocks. It is guarded by the Core's lock.
type prefixCache struct {
	cfg Config
	// recent lists the blocks, most recently used first.
	recent *list.List
	blocks map[uint64]*list.Element
	last   uint64
	events []timedEvent
}

type timedEvent struct {
	engine.CacheEvent
	visible time.Time
}

func newPrefixCache(cfg Config) *prefixCache {
	return &prefixCache{cfg: cfg, recent: list.New(), blocks: map[uint64]*list.Element{}}
}

// match returns the length in tokens of the longest cached prefix of text.
func (p *prefixCache) match(text string) int64 {
	var tokens int64
	for i, block := range cacheindex.Blocks(p.cfg.Model, text) {
		if p.blocks[block] == nil {
			break
		}
		tokens = int64((i + 1) * cacheindex.BlockBytes / p.cfg.BytesPerToken)
	}
	return tokens
}

func (p *prefixCache) insert(text string) {
	blocks := cacheindex.Blocks(p.cfg.Model, text)
	// Longer prefixes are touched first, so that they are evicted before the shorter prefixes they depend on.
	blocks = blocks[:min(len(blocks), p.cfg.CacheBlocks)]
	for _, block := range slices.Backward(blocks) {
		if e := p.blocks[block]; e != nil {
			p.recent.MoveToFront(e)
			continue
		}
		p.blocks[block] = p.recent.PushFront(block)
		p.publish(engine.CacheEvent{Block: block})
	}
	for p.recent.Len() > p.cfg.CacheBlocks {
		block := p.recent.Remove(p.recent.Back()).(uint64)
		delete(p.blocks, block)
		p.publish(engine.CacheEvent{Block: block, Removed: true})
	}
}

func (p *prefixCache) publish(e engine.CacheEvent) {
	p.last++
	if p.cfg.EventGapEvery > 0 && p.last%p.cfg.EventGapEvery == 0 {
		return
	}
	e.Sequence = p.last
	p.events = append(p.events, timedEvent{e, time.Now().Add(p.cfg.EventLag)})
	if len(p.events) > keptCacheEvents {
		p.events = p.events[len(p.events)-keptCacheEvents:]
	}
}

// CacheEvents implements engine.Server.
func (c *Core) CacheEvents(ctx context.Context, after uint64) ([]engine.CacheEvent, error) {
	if err := c.connect(ctx); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var events []engine.CacheEvent
	now := time.Now()
	for _, e := range c.cache.events {
		if e.Sequence > after && !e.visible.After(now) {
			events = append(events, e.CacheEvent)
		}
	}
	return events, nil
}

// CacheBlocks implements engine.Server.
func (c *Core) CacheBlocks(ctx context.Context) ([]uint64, uint64, error) {
	if err := c.connect(ctx); err != nil {
		return nil, 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	blocks := make([]uint64, 0, len(c.cache.blocks))
	for b := range c.cache.blocks {
		blocks = append(blocks, b)
	}
	return blocks, c.cache.last, nil
}
