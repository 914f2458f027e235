package cacheindex

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/boragecourse/boragecourse/internal/engine"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against prompts with a common prefix getting different hashes for it, and against matches across models.
func TestBlocksShareExactlyTheCommonPrefix(t *testing.T) {
	g := NewWithT(t)
	common := strings.Repeat("a", 3*BlockBytes)
	one, two := Blocks("m", common+strings.Repeat("b", BlockBytes)), Blocks("m", common+strings.Repeat("c", BlockBytes+1))
	g.Expect(one).To(HaveLen(4))
	g.Expect(one[:3]).To(Equal(two[:3]))
	g.Expect(one[3]).NotTo(Equal(two[3]))
	g.Expect(Blocks("n", common)[0]).NotTo(Equal(one[0]))
	g.Expect(Blocks("m", common[:BlockBytes-1])).To(BeEmpty())
	g.Expect(Blocks("m", strings.Repeat("a", 2*MaxBlocks*BlockBytes))).To(HaveLen(MaxBlocks))
}

// Guards against an index that differs from the cache after a gap, a repeated event or a late event.
func TestIndexFollowsTheCacheThroughGaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		x, cache, log := New(0, 0), map[uint64]bool{}, []engine.CacheEvent{}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			e := engine.CacheEvent{Sequence: uint64(len(log) + 1), Block: rapid.Uint64Range(1, 8).Draw(t, "block")}
			e.Removed = rapid.Bool().Draw(t, "removed")
			e.All = e.Removed && rapid.IntRange(0, 9).Draw(t, "all") == 0
			if e.All {
				clear(cache)
			}
			cache[e.Block] = !e.Removed
			log = append(log, e)
			from := rapid.IntRange(0, len(log)-1).Draw(t, "lost or repeated up to")
			if rapid.Bool().Draw(t, "deliver") && !x.Apply("s", start, log[from:]) {
				var held []uint64
				for b, ok := range cache {
					if ok {
						held = append(held, b)
					}
				}
				x.Resync("s", start, held, uint64(len(log)))
			}
			if x.Sequence("s") == uint64(len(log)) {
				for b := uint64(1); b <= 8; b++ {
					g.Expect(x.Match("s", start, []uint64{b}) == 1).To(Equal(cache[b]))
				}
			}
		}
	})
}

// Guards against unbounded memory and against unconfirmed entries that never expire.
func TestIndexIsBoundedAndDecays(t *testing.T) {
	g := NewWithT(t)
	x := New(100, time.Minute)
	for b := range uint64(10000) {
		x.Hint("s", start, []uint64{b})
		g.Expect(x.Len("s")).To(BeNumerically("<=", 100))
	}
	g.Expect(x.Match("s", start, []uint64{9998, 9999})).To(Equal(2))
	g.Expect(x.Match("s", start, []uint64{1})).To(BeZero())
	g.Expect(x.Match("s", start.Add(3*time.Minute), []uint64{9999})).To(BeZero())
	g.Expect(x.Match("other", start, []uint64{9999})).To(BeZero())
}
