// Package cacheindex tracks which blocks the prefix caches of engines hold, from their cache events.
//
// The index is approximate: events arrive late and with gaps. A gap leads to a resync, and entries that are not
// confirmed expire. The home host of a backend server, the host of its zone that rendezvous hashing assigns it to, is
// the only one that reads the server's events. Other hosts fill their index from their own placements and get the match
// length in the reply to a reservation request, so that no cache content is sent between hosts.
package cacheindex

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the length of a cache block in bytes of prompt text. The router has no tokenizer; at about four
	// bytes per token a block is 512 tokens, a quarter of the engine's memory allocation unit, so that rounding
	// down loses at most a quarter of a unit.
	BlockBytes = 2048
	// BlockTokens is the estimated number of tokens of a block.
	BlockTokens = BlockBytes / BytesPerToken
	// BytesPerToken is the estimated number of bytes of prompt text per token.
	BytesPerToken = 4
	// MaxBlocks bounds the hashes per prompt, so that a reserve message stays under 1 KB. Longer prompts match on
	// their first MaxBlocks blocks only.
	MaxBlocks = 64
)

// Blocks returns the hashes of the prompt's complete prefix blocks, shortest prefix first. Each hash covers the model
// and the text from the start of the prompt to the end of its block. A partial block at the end has no hash.
func Blocks(model, prompt string) []uint64 {
	n := min(len(prompt)/BlockBytes, MaxBlocks)
	if n == 0 {
		return nil
	}
	hashes := make([]uint64, 0, n)
	previous := xxhash.Sum64String(model)
	var d xxhash.Digest
	var word [8]byte
	for i := range n {
		d.Reset()
		binary.LittleEndian.PutUint64(word[:], previous)
		_, _ = d.Write(word[:])
		_, _ = d.WriteString(prompt[i*BlockBytes : (i+1)*BlockBytes])
		previous = d.Sum64()
		hashes = append(hashes, previous)
	}
	return hashes
}
