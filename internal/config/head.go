package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// Keys of the configuration in the store.
const (
	// HeadKey holds the head record.
	HeadKey = "/boragecourse/config/head"
	// BlobPrefix precedes the hash of a chunk or an index.
	BlobPrefix = "/boragecourse/config/chunk/"
)

// Hash is the SHA-256 of a chunk or an index.
type Hash [sha256.Size]byte

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText implements encoding.TextMarshaler.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(h) {
		return errHeadFormat
	}
	_, err := hex.Decode(h[:], text)
	return err
}

func hashOf(data string) Hash { return sha256.Sum256([]byte(data)) }

func blobKey(h Hash) string { return BlobPrefix + h.String() }

// Head names one accepted configuration.
type Head struct {
	// Generation rises by one with each accepted change.
	Generation uint64
	// Index is the hash of the list of chunks.
	Index Hash
}

func (h Head) proto() *peerv1.Head {
	if h.Generation == 0 {
		return nil
	}
	return &peerv1.Head{Generation: h.Generation, IndexHash: h.Index[:]}
}

// headFromProto returns the zero head for a missing or malformed message.
func headFromProto(p *peerv1.Head) Head {
	if len(p.GetIndexHash()) != sha256.Size {
		return Head{}
	}
	return Head{Generation: p.GetGeneration(), Index: Hash(p.GetIndexHash())}
}

// headRecord is the stored form of the head.
type headRecord struct {
	Generation uint64 `json:"generation"`
	Index      Hash   `json:"index"`
	// History lists the indexes of earlier generations whose chunks are still stored, oldest first; the last
	// one is that of the generation before.
	History []Hash `json:"history,omitempty"`
	// Cursor counts the chunks of the oldest index in History that were already considered for removal.
	Cursor int `json:"cursor,omitempty"`
}

func (r headRecord) head() Head { return Head{Generation: r.Generation, Index: r.Index} }

// indexAt returns the index of a generation, if the record still names it.
func (r headRecord) indexAt(generation uint64) (Hash, bool) {
	if generation == r.Generation {
		return r.Index, true
	}
	if generation > r.Generation || r.Generation-generation > uint64(len(r.History)) {
		return Hash{}, false
	}
	return r.History[uint64(len(r.History))-(r.Generation-generation)], true
}

func (r headRecord) encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode head: %w", err)
	}
	return data, nil
}

// decodeHead reads a head record; no data gives the zero record of a store without configuration.
func decodeHead(data []byte) (headRecord, error) {
	var r headRecord
	if len(data) == 0 {
		return r, nil
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return r, &CorruptError{What: "head", Cause: err}
	}
	if r.Generation == 0 || r.Index == (Hash{}) {
		return r, &CorruptError{What: "head", Cause: errHeadFormat}
	}
	return r, nil
}

// indexHeader marks the format of an index: hashes of 32 bytes follow.
const indexHeader = "boragecourse-index-1\n"

func encodeIndex(chunks []Hash) string {
	data := make([]byte, 0, len(indexHeader)+len(chunks)*sha256.Size)
	data = append(data, indexHeader...)
	for _, h := range chunks {
		data = append(data, h[:]...)
	}
	return string(data)
}

func decodeIndex(data string) ([]Hash, error) {
	if len(data) < len(indexHeader) || data[:len(indexHeader)] != indexHeader ||
		(len(data)-len(indexHeader))%sha256.Size != 0 {
		return nil, &CorruptError{What: "index", Cause: errIndexFormat}
	}
	data = data[len(indexHeader):]
	chunks := make([]Hash, 0, len(data)/sha256.Size)
	for ; data != ""; data = data[sha256.Size:] {
		chunks = append(chunks, Hash([]byte(data[:sha256.Size])))
	}
	return chunks, nil
}
