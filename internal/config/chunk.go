package config

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// boundaryMask ends a chunk after one line in 128 on average. With lines of about 130 bytes a chunk has about
	// 16 KB. For 12 MB of rules this is close to the minimum of chunk size plus index size, the amount that every
	// daemon fetches for one change.
	boundaryMask = 1<<7 - 1
	// minChunk prevents runs of identical lines, such as blank ones, from becoming one chunk per line.
	minChunk = 2 << 10
	// maxChunk bounds a chunk whose lines contain no boundary. Forced boundaries shift when an earlier line changes;
	// at 16 times the usual size they are rare. It is well under the platform's limit of 1 MB per value.
	maxChunk = 256 << 10
)

// split divides text into chunks of complete lines (content-defined chunking). Boundaries depend on the content of
// the lines, so a change to one line alters only its own chunk and, rarely, a neighbor.
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
