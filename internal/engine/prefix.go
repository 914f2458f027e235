package engine

import "github.com/cespare/xxhash/v2"

// PrefixBlockBytes is the length of text that one prefix block covers. It is about 256 tokens of text, a
// compromise between the precision of the cache index and its size.
const PrefixBlockBytes = 1024

// PrefixBlocks returns the hashes of the text's prefixes at whole multiples of PrefixBlockBytes, shortest first.
func PrefixBlocks(text string) []uint64 {
	if len(text) < PrefixBlockBytes {
		return nil
	}
	blocks := make([]uint64, 0, len(text)/PrefixBlockBytes)
	d := xxhash.New()
	for len(text) >= PrefixBlockBytes {
		_, _ = d.WriteString(text[:PrefixBlockBytes])
		blocks = append(blocks, d.Sum64())
		text = text[PrefixBlockBytes:]
	}
	return blocks
}
