package config

import (
	"strings"

	"github.com/boragecourse/boragecourse/internal/rules"
)

// rulesName is the file name that errors about the stored configuration report.
const rulesName = "rules"

// chunk is a parsed chunk. All snapshots that contain it at the same line offset share its rules.
type chunk struct {
	data  string
	lines int
	// base is the number of lines before the chunk in its file; the line numbers in rules include it.
	base  int
	rules []rules.Rule
}

func parseChunk(data string) (*chunk, error) {
	f, err := rules.Parse(rulesName, []byte(data))
	if err != nil {
		return nil, err
	}
	return &chunk{data: data, lines: f.Lines(), rules: f.Rules()}, nil
}

// rulesAt returns the chunk's rules with line numbers for the given base. Rules returned earlier stay unchanged,
// since snapshots refer to them.
func (c *chunk) rulesAt(base int) []rules.Rule {
	if c.base != base {
		moved := make([]rules.Rule, len(c.rules))
		for i, r := range c.rules {
			moved[i] = rules.WithLine(r, r.Source().Line-c.base+base)
		}
		c.base, c.rules = base, moved
	}
	return c.rules
}

// blobCache caches parsed chunks and encoded indexes by hash. It is not safe for concurrent use.
type blobCache struct {
	chunks  map[Hash]*chunk
	indexes map[Hash]string
	// recent lists the retained indexes, oldest first.
	recent []Hash
}

// recentIndexes is the number of generations whose indexes a daemon retains, for peers that are behind and for
// planRemoval. Chunks are retained for the newest two generations only.
const recentIndexes = keepGenerations + 2

func newBlobCache() *blobCache {
	return &blobCache{chunks: map[Hash]*chunk{}, indexes: map[Hash]string{}}
}

// raw returns the bytes of a cached chunk or index.
func (b *blobCache) raw(h Hash) (string, bool) {
	if c := b.chunks[h]; c != nil {
		return c.data, true
	}
	data, ok := b.indexes[h]
	return data, ok
}

// add verifies, parses and caches a chunk.
func (b *blobCache) add(h Hash, data string) error {
	if b.chunks[h] != nil {
		return nil
	}
	if hashOf(data) != h {
		return &CorruptError{What: "chunk " + h.String(), Cause: errHashMismatch}
	}
	c, err := parseChunk(data)
	if err != nil {
		return &CorruptError{What: "chunk " + h.String(), Cause: err}
	}
	b.chunks[h] = c
	return nil
}

// addIndex caches an index if its hash is h and it can be decoded; otherwise it returns an error.
func (b *blobCache) addIndex(h Hash, data string) error {
	if _, ok := b.indexes[h]; ok {
		return nil
	}
	if hashOf(data) != h {
		return &CorruptError{What: "index " + h.String(), Cause: errHashMismatch}
	}
	if _, err := decodeIndex(data); err != nil {
		return err
	}
	b.indexes[h] = data
	return nil
}

// missing returns the chunks of an index that are not cached, without duplicates.
func (b *blobCache) missing(chunks []Hash) []Hash {
	var out []Hash
	seen := map[Hash]bool{}
	for _, h := range chunks {
		if b.chunks[h] == nil && !seen[h] {
			seen[h] = true
			out = append(out, h)
		}
	}
	return out
}

// compile returns the rules of an index whose chunks are all cached, with line numbers counted from the start of
// the file. Only the last chunk may end without a newline: any other chunk that does so would be parsed differently
// from the file's text, so compile returns a *CorruptError.
func (b *blobCache) compile(index []Hash) ([]rules.Rule, error) {
	total := 0
	for i, h := range index {
		c := b.chunks[h]
		if i < len(index)-1 && !strings.HasSuffix(c.data, "\n") {
			return nil, &CorruptError{What: "chunk " + h.String(), Cause: errChunkEnd}
		}
		total += len(c.rules)
	}
	all, base := make([]rules.Rule, 0, total), 0
	for _, h := range index {
		c := b.chunks[h]
		all = append(all, c.rulesAt(base)...)
		base += c.lines
	}
	return all, nil
}

// text returns the file of an index whose chunks are all cached.
func (b *blobCache) text(index []Hash) string {
	var out strings.Builder
	for _, h := range index {
		out.WriteString(b.chunks[h].data)
	}
	return out.String()
}

// installed records the index as installed and evicts what is no longer needed: chunks that neither it nor the
// previously installed index contains, and all indexes but the newest recentIndexes.
func (b *blobCache) installed(index Hash) {
	b.recent = append(b.recent, index)
	if len(b.recent) > recentIndexes {
		b.recent = b.recent[len(b.recent)-recentIndexes:]
	}
	keepIndex, keepChunk := map[Hash]bool{}, map[Hash]bool{}
	for i, h := range b.recent {
		keepIndex[h] = true
		if i < len(b.recent)-2 {
			continue
		}
		list, _ := decodeIndex(b.indexes[h])
		for _, c := range list {
			keepChunk[c] = true
		}
	}
	for h := range b.indexes {
		if !keepIndex[h] {
			delete(b.indexes, h)
		}
	}
	for h := range b.chunks {
		if !keepChunk[h] {
			delete(b.chunks, h)
		}
	}
}

// copyChunk returns a copy of a cached chunk, or nil. Calling rulesAt on the copy does not change the cached chunk.
func (b *blobCache) copyChunk(h Hash) *chunk {
	if c := b.chunks[h]; c != nil {
		dup := *c
		return &dup
	}
	return nil
}

// addCandidate caches the index and the chunks of a candidate that was stored.
func (b *blobCache) addCandidate(c *candidate) {
	b.indexes[c.index] = c.indexData
	for h, parsed := range c.parsed {
		if b.chunks[h] == nil {
			b.chunks[h] = parsed
		}
	}
}

// candidate is a checked configuration that is not stored yet.
type candidate struct {
	index     Hash
	indexData string
	chunks    []Hash
	parsed    map[Hash]*chunk
}

// prepare splits, parses and checks a file. Chunks that cached returns are not parsed again; cached must return
// copies, because prepare renumbers their rules. The error is a *rules.FileError with every fault of the file, or a
// *CorruptError if the index exceeds maxBlob.
func prepare(text string, cached func(Hash) *chunk) (*candidate, error) {
	c := &candidate{parsed: map[Hash]*chunk{}}
	var all []rules.Rule
	base := 0
	for _, data := range split(text) {
		h := hashOf(data)
		c.chunks = append(c.chunks, h)
		if c.parsed[h] == nil {
			c.parsed[h] = cached(h)
		}
		if c.parsed[h] == nil {
			fresh, err := parseChunk(data)
			if err != nil {
				// Reading the complete file reports all faults with their line numbers in the file.
				_, err = rules.ParseAndCheck(rulesName, []byte(text))
				return nil, err
			}
			c.parsed[h] = fresh
		}
		all = append(all, c.parsed[h].rulesAt(base)...)
		base += c.parsed[h].lines
	}
	if err := rules.Check(rulesName, all); err != nil {
		return nil, err
	}
	c.indexData = encodeIndex(c.chunks)
	if len(c.indexData) > maxBlob {
		return nil, &CorruptError{What: "index", Cause: errTooLarge}
	}
	c.index = hashOf(c.indexData)
	return c, nil
}

// maxBlob is the platform's limit for one value, in bytes.
const maxBlob = 1 << 20
