package config

import (
	"strings"

	"github.com/boragecourse/boragecourse/internal/rules"
)

// rulesName is the file name in errors about the stored configuration.
const rulesName = "rules"

// chunk is a parsed chunk. Its rules are shared by all snapshots that contain it at the same place.
type chunk struct {
	data  string
	lines int
	// base is the number of lines before the chunk at its last place.
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

// place returns the chunk's rules with line numbers for the given base. Earlier results stay unchanged.
func (c *chunk) place(base int) []rules.Rule {
	if c.base != base {
		moved := make([]rules.Rule, len(c.rules))
		for i, r := range c.rules {
			moved[i] = rules.WithLine(r, r.Source().Line-c.base+base)
		}
		c.base, c.rules = base, moved
	}
	return c.rules
}

// blobs caches parsed chunks and raw indexes by hash. It is not safe for concurrent use.
type blobs struct {
	chunks  map[Hash]*chunk
	indexes map[Hash]string
	// recent lists the indexes that are kept, oldest first.
	recent []Hash
}

// recentIndexes is how many generations a daemon keeps for peers that are behind and for the removal of chunks.
// Chunks are kept for the newest two only.
const recentIndexes = keepGenerations + 2

func newBlobs() *blobs {
	return &blobs{chunks: map[Hash]*chunk{}, indexes: map[Hash]string{}}
}

// raw returns a cached blob.
func (b *blobs) raw(h Hash) (string, bool) {
	if c := b.chunks[h]; c != nil {
		return c.data, true
	}
	data, ok := b.indexes[h]
	return data, ok
}

// add verifies, parses and caches a chunk.
func (b *blobs) add(h Hash, data string) error {
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

// addIndex verifies and caches an index.
func (b *blobs) addIndex(h Hash, data string) error {
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

// missing returns the chunks of an index that are not cached, without repetitions.
func (b *blobs) missing(chunks []Hash) []Hash {
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

// compile returns the rules of an index whose chunks are all cached, with line numbers of the whole file. Only the
// last chunk may end within a line; otherwise the rules would not be those of the text, and the error is
// *CorruptError.
func (b *blobs) compile(index []Hash) ([]rules.Rule, error) {
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
		all = append(all, c.place(base)...)
		base += c.lines
	}
	return all, nil
}

// text returns the whole file of an index whose chunks are all cached.
func (b *blobs) text(index []Hash) string {
	var out strings.Builder
	for _, h := range index {
		out.WriteString(b.chunks[h].data)
	}
	return out.String()
}

// installed drops what is no longer needed once the index is in use: chunks that neither it nor the index before
// it contains, and old indexes.
func (b *blobs) installed(index Hash) {
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

// copyOf returns a copy of a cached chunk, or nil. The copy can be placed elsewhere without moving the cached one.
func (b *blobs) copyOf(h Hash) *chunk {
	if c := b.chunks[h]; c != nil {
		dup := *c
		return &dup
	}
	return nil
}

// adopt caches the index and the chunks of a candidate.
func (b *blobs) adopt(c *candidate) {
	b.indexes[c.index] = c.indexData
	for h, parsed := range c.parsed {
		if b.chunks[h] == nil {
			b.chunks[h] = parsed
		}
	}
}

// candidate is a new configuration before it is stored.
type candidate struct {
	index     Hash
	indexData string
	chunks    []Hash
	parsed    map[Hash]*chunk
}

// prepare splits, parses and checks a file. Chunks that cached returns are not parsed again; it must return copies.
// The error is a *rules.FileError with every fault of the file, or a *CorruptError when the file is too large.
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
				// One pass over the whole file gives all faults with their lines.
				_, err = rules.Read(rulesName, []byte(text))
				return nil, err
			}
			c.parsed[h] = fresh
		}
		all = append(all, c.parsed[h].place(base)...)
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

// maxBlob is the platform's limit for a value, in bytes.
const maxBlob = 1 << 20
