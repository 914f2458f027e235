package config

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// boundaryMask makes one line in 128 the last of its chunk. With lines of about 130 bytes, chunks have
	// about 16 KB; for 12 MB of rules that is near the minimum of chunk plus index, which is what one change
	// costs every daemon.
	boundaryMask = 1<<7 - 1
	// minChunk keeps runs of equal lines, such as blank ones, from becoming a chunk each.
	minChunk = 2 << 10
	// maxChunk bounds a chunk whose lines have no boundary. At 16 times the usual size it is rarely reached, so
	// that a change does not shift later boundaries. It stays well under the platform's limit of 1 MB.
	maxChunk = 256 << 10
)

// split cuts text into chunks of whole lines. Boundaries depend on the lines' content, so a change of one line
// leaves all chunks but its own, and rarely a neighbor, as they were.
func split(text string) []string {
	var chunks []string
	start, at := 0, 0
	for at < len(text) {
		end := len(text)
		if i := strings.IndexByte(text[at:], '\n'); i >= 0 {
			end = at + i + 1
		}
		if end-start > maxChunk && at > start {
			chunks = append(chunks, text[start:at])
			start = at
		}
		if end-start >= minChunk && xxhash.Sum64String(text[at:end])&boundaryMask == 0 {
			chunks = append(chunks, text[start:end])
			start = end
		}
		at = end
	}
	if start < len(text) {
		chunks = append(chunks, text[start:])
	}
	return chunks
}
