package cacheindex

import (
	"time"

	"github.com/boragecourse/boragecourse/internal/engine"
)

const (
	// DefaultBlocksPerServer bounds the entries of one server. It corresponds to 32 million tokens.
	DefaultBlocksPerServer = 65536
	// DefaultDecay is the age up to which an unconfirmed entry is kept; it is dropped after at most twice this time.
	// Engines evict within minutes at peak load.
	DefaultDecay = 5 * time.Minute
	// BytesPerEntry is the upper estimate of memory per entry: a hash in a Go map at its lowest load factor.
	BytesPerEntry = 24
)

// Index holds the cached blocks of several servers. It has no locks: the caller serializes calls.
type Index struct {
	limit   int
	decay   time.Duration
	servers map[string]*serverEntries
}

// serverEntries holds the entries of one server in two generations. New and confirmed entries go into young. When young
// is full or older than the decay time it becomes old, and the previous old generation is dropped. This bounds memory
// and expires entries without a timestamp per entry.
type serverEntries struct {
	young, old map[uint64]struct{}
	youngSince time.Time
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
	return &Index{limit: limit, decay: decay, servers: map[string]*serverEntries{}}
}

// Sequence returns the number of the last event that was applied for the server, or zero.
func (x *Index) Sequence(server string) uint64 {
	if c := x.servers[server]; c != nil {
		return c.sequence
	}
	return 0
}

// Apply applies events in order and skips those that were applied before. It returns false when the sequence numbers
// have a gap: events after the gap are not applied, and the caller must read CacheBlocks and call Resync.
func (x *Index) Apply(server string, now time.Time, events []engine.CacheEvent) bool {
	c := x.getOrCreate(server, now)
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
			x.insert(c, now, e.Block)
		}
	}
	return true
}

// Resync replaces the server's entries by the complete content of its cache as of the sequence number.
func (x *Index) Resync(server string, now time.Time, blocks []uint64, sequence uint64) {
	x.Drop(server)
	c := x.getOrCreate(server, now)
	c.sequence = sequence
	for _, b := range blocks {
		x.insert(c, now, b)
	}
}

// Hint records that the server will soon hold the blocks, because a prompt with them was sent there.
func (x *Index) Hint(server string, now time.Time, blocks []uint64) {
	if len(blocks) == 0 {
		return
	}
	c := x.getOrCreate(server, now)
	for _, b := range blocks {
		x.insert(c, now, b)
	}
}

// Match returns how many leading blocks the server is expected to hold. It does not confirm entries.
func (x *Index) Match(server string, now time.Time, blocks []uint64) int {
	c := x.servers[server]
	if c == nil || now.Sub(c.youngSince) > 2*x.decay {
		return 0
	}
	useOld := now.Sub(c.youngSince) <= x.decay
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

// Drop removes the server's entries and its sequence number. Unless the next events start with the first one, Apply
// then reports a gap.
func (x *Index) Drop(server string) { delete(x.servers, server) }

// Len returns the number of entries of a server in both generations.
func (x *Index) Len(server string) int {
	if c := x.servers[server]; c != nil {
		return len(c.young) + len(c.old)
	}
	return 0
}

func (x *Index) getOrCreate(server string, now time.Time) *serverEntries {
	c := x.servers[server]
	if c == nil {
		c = &serverEntries{young: map[uint64]struct{}{}, youngSince: now}
		x.servers[server] = c
	}
	return c
}

func (x *Index) insert(c *serverEntries, now time.Time, block uint64) {
	if len(c.young) >= x.limit/2 || now.Sub(c.youngSince) > x.decay {
		c.old, c.young, c.youngSince = c.young, map[uint64]struct{}{}, now
	}
	c.young[block] = struct{}{}
	delete(c.old, block)
}
