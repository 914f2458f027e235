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
	// HeadKey is the key of the head record, which each accepted change replaces.
	HeadKey = "/boragecourse/config/head"
	// BlobPrefix is the key prefix of chunks and indexes; the hash in hexadecimal follows.
	BlobPrefix = "/boragecourse/config/chunk/"
)

// Hash is the SHA-256 of a chunk or an index.
type Hash [sha256.Size]byte

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText implements encoding.TextMarshaler with hexadecimal digits.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It rejects text of any length but 64 hexadecimal digits.
func (h *Hash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(h) {
		return errHeadFormat
	}
	_, err := hex.Decode(h[:], text)
	return err
}

func hashOf(data string) Hash { return sha256.Sum256([]byte(data)) }

func blobKey(h Hash) string { return BlobPrefix + h.String() }

// Head identifies one accepted configuration.
type Head struct {
	// Generation increases by one with each accepted change.
	Generation uint64
	// Index is the hash of the index, the list of chunk hashes.
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
	// History lists the indexes of earlier generations whose chunks are still stored, oldest first. The last
	// entry belongs to the previous generation.
	History []Hash `json:"history,omitempty"`
	// Cursor is the number of chunks of the oldest index in History that were already considered for removal.
	Cursor int `json:"cursor,omitempty"`
}

func (r headRecord) head() Head { return Head{Generation: r.Generation, Index: r.Index} }

// indexAt returns the index of a generation, if the record still lists it.
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

// decodeHead decodes a head record. Empty data yields the zero record: the store has no configuration.
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

// indexHeader identifies the format of an index; it is followed by chunk hashes of 32 bytes each.
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
