package cacheindex

import (
	"time"

	"github.com/boragecourse/boragecourse/internal/engine"
)

const (
	// DefaultBlocksPerServer bounds the entries of one server: 32 million tokens.
	DefaultBlocksPerServer = 65536
	// DefaultDecay is the age after which an entry that nothing confirmed is dropped, at the latest after twice
	// this time. Engines evict within minutes at peak load.
	DefaultDecay = 5 * time.Minute
	// BytesPerEntry is the upper estimate of memory per entry: a hash in a Go map at its lowest load factor.
	BytesPerEntry = 24
)

// Index holds the blocks of several servers. It is a state machine without locks: the caller serializes calls.
type Index struct {
	limit   int
	decay   time.Duration
	servers map[string]*content
}

// content keeps two generations. New and confirmed entries go into young; when young is full or old enough it
// becomes old, and the previous old generation is dropped. This bounds memory and ages entries without a stamp
// per entry.
type content struct {
	young, old map[uint64]struct{}
	since      time.Time
	sequence   uint64
}

// New returns an index that keeps at most limit entries per server and drops unconfirmed ones after decay to
// twice decay. Zero values take the defaults.
func New(limit int, decay time.Duration) *Index {
	if limit == 0 {
		limit = DefaultBlocksPerServer
	}
	if decay == 0 {
		decay = DefaultDecay
	}
	return &Index{limit: limit, decay: decay, servers: map[string]*content{}}
}

// Sequence is the number of the last event that was applied for the server.
func (x *Index) Sequence(server string) uint64 {
	if c := x.servers[server]; c != nil {
		return c.sequence
	}
	return 0
}

// Apply applies events in order. Events that were applied before are skipped. It reports false when the numbers
// have a gap: the caller then reads CacheBlocks and calls Resync. Events after the gap are not applied.
func (x *Index) Apply(server string, now time.Time, events []engine.CacheEvent) bool {
	c := x.get(server, now)
	for _, e := range events {
		if e.Sequence <= c.sequence {
			continue
		}
		if e.Sequence != c.sequence+1 {
			return false
		}
		c.sequence = e.Sequence
		switch {
		case e.All && e.Removed:
			clear(c.young)
			clear(c.old)
		case e.Removed:
			delete(c.young, e.Block)
			delete(c.old, e.Block)
		default:
			x.put(c, now, e.Block)
		}
	}
	return true
}

// Resync replaces the server's entries by the whole content of its cache, valid for the sequence number.
func (x *Index) Resync(server string, now time.Time, blocks []uint64, sequence uint64) {
	x.Drop(server)
	c := x.get(server, now)
	c.sequence = sequence
	for _, b := range blocks {
		x.put(c, now, b)
	}
}

// Hint records that the server is about to hold the blocks, because a prompt with them was sent there.
func (x *Index) Hint(server string, now time.Time, blocks []uint64) {
	if len(blocks) == 0 {
		return
	}
	c := x.get(server, now)
	for _, b := range blocks {
		x.put(c, now, b)
	}
}

// Match returns how many leading blocks the server is believed to hold. It changes nothing.
func (x *Index) Match(server string, now time.Time, blocks []uint64) int {
	c := x.servers[server]
	if c == nil || now.Sub(c.since) > 2*x.decay {
		return 0
	}
	useOld := now.Sub(c.since) <= x.decay
	for i, b := range blocks {
		if _, ok := c.young[b]; ok {
			continue
		}
		if _, ok := c.old[b]; ok && useOld {
			continue
		}
		return i
	}
	return len(blocks)
}

// Drop forgets a server.
func (x *Index) Drop(server string) { delete(x.servers, server) }

// Len is the number of entries of a server.
func (x *Index) Len(server string) int {
	if c := x.servers[server]; c != nil {
		return len(c.young) + len(c.old)
	}
	return 0
}

func (x *Index) get(server string, now time.Time) *content {
	c := x.servers[server]
	if c == nil {
		c = &content{young: map[uint64]struct{}{}, since: now}
		x.servers[server] = c
	}
	return c
}

func (x *Index) put(c *content, now time.Time, block uint64) {
	if len(c.young) >= x.limit/2 || now.Sub(c.since) > x.decay {
		c.old, c.young, c.since = c.young, map[uint64]struct{}{}, now
	}
	c.young[block] = struct{}{}
	delete(c.old, block)
}
