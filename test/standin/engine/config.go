// Package engine is a fake inference engine for tests, demos and benchmarks. Core implements the router's
// engine interface in memory and runs on the fake clock of testing/synctest; Handler serves a Core over HTTP.
//
// The fake holds its memory strictly: work goes on after the calling connection ends, until it is finished or
// aborted. A router that forgets to release an attempt is therefore seen in Held.
package engine

import (
	"time"

	"github.com/boragecourse/boragecourse/internal/defaults"
)

// Defaults of a Config. The times are those of a mid-size model on one accelerator.
const (
	defaultSlots            = 20
	defaultPieces           = 4096
	defaultQueue            = 16
	defaultPrefillPerToken  = 50 * time.Microsecond
	defaultTimePerToken     = 20 * time.Millisecond
	defaultLinkRate         = 400_000
	defaultExportLifetime   = 800 * time.Millisecond
	defaultLoadLag          = 250 * time.Millisecond
	defaultBytesPerToken    = 4
	defaultCacheBlocks      = 4096
	defaultEventLag         = 100 * time.Millisecond
	defaultChunkTokens      = 1
	defaultOutputTokens     = 16
	keptFinishedAttempts    = 256
	keptCacheEvents         = 4096
	maxHTTPBody             = 64 << 20
	incarnationDigits       = 8
	promptTagLetters        = 4
	alphabet                = 26
	slowFactorWithoutFaults = 1
)

// Role says which stages an engine runs.
type Role string

// Roles of an engine.
const (
	Prefill Role = "prefill"
	Decode  Role = "decode"
	Both    Role = "both"
)

// Config describes an engine. Zero fields take the defaults given with each field.
type Config struct {
	Name, Addr string
	// Role defaults to Both.
	Role  Role
	Model string
	// Slots is how many requests are held at once (default 20), Queue how many more wait (default 16; a
	// negative value means none).
	Slots, Queue int
	// Pieces is the KV memory in pieces of 2,048 tokens. Default 4096.
	Pieces int64
	// PrefillPerToken is the compute time of one uncached prompt token. Default 50 us. Prefills run one after
	// the other.
	PrefillPerToken time.Duration
	// TimePerToken is the time between output tokens of a stream that runs alone. Default 20 ms.
	TimePerToken time.Duration
	// BatchSlowdown is the share of TimePerToken that each further running stream adds. Default 0.
	BatchSlowdown float64
	// LinkRate is the transfer rate of each link in KV tokens per second. Default 400,000.
	LinkRate int64
	// ExportLifetime is how long an exported KV cache lives. Default 800 ms.
	ExportLifetime time.Duration
	// LoadLag is how old load reports are. Default 250 ms.
	LoadLag time.Duration
	// BytesPerToken sets the tokenizer. Default 4.
	BytesPerToken int
	// CacheBlocks is the size of the prefix cache in blocks. Default 4096; a negative value means no cache.
	CacheBlocks int
	// EventLag is how late cache events come. Default 100 ms. EventGapEvery drops each n-th event when above 0.
	EventLag      time.Duration
	EventGapEvery uint64
	// ChecksFence makes the engine refuse commands with an old fencing number.
	ChecksFence bool
	// ChunkTokens is how many output tokens a stream event holds. Default 1.
	ChunkTokens int64
	// NaturalTokens ends answers with finish reason "stop" at this length when above 0.
	NaturalTokens int64
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.Role, Both)
	defaults.Set(&c.Slots, defaultSlots)
	defaults.Set(&c.Queue, defaultQueue)
	defaults.Set(&c.Pieces, defaultPieces)
	defaults.Set(&c.PrefillPerToken, defaultPrefillPerToken)
	defaults.Set(&c.TimePerToken, defaultTimePerToken)
	defaults.Set(&c.LinkRate, defaultLinkRate)
	defaults.Set(&c.ExportLifetime, defaultExportLifetime)
	defaults.Set(&c.LoadLag, defaultLoadLag)
	defaults.Set(&c.BytesPerToken, defaultBytesPerToken)
	defaults.Set(&c.CacheBlocks, defaultCacheBlocks)
	defaults.Set(&c.EventLag, defaultEventLag)
	defaults.Set(&c.ChunkTokens, defaultChunkTokens)
	c.Queue = max(c.Queue, 0)
	c.CacheBlocks = max(c.CacheBlocks, 0)
	return c
}

// Faults are switched on by tests. Zero means no fault. Counters fall by one with each use.
type Faults struct {
	// RefuseConnections makes every call fail before a byte is sent.
	RefuseConnections bool
	// Full refuses new work with the not-run marker.
	Full bool
	// StallTransfers is how many imports hang until they are aborted.
	StallTransfers int
	// FailImports is how many imports fail while the export stays alive.
	FailImports int
	// FailCalls is how many prefill and decode calls fail with status 500 after they were accepted.
	FailCalls int
	// LoseStreams is how many streams break; each breaks after LoseAfter tokens. The engine goes on generating.
	LoseStreams int
	LoseAfter   int64
	// FailResumes is how many resume calls fail.
	FailResumes int
	// RepeatTokens makes resumed streams begin that many tokens before the offset that was asked for.
	RepeatTokens int64
	// SkipEvents is how many streams leave out the event at token SkipAt.
	SkipEvents int
	SkipAt     int64
	// FailAborts is how many abort calls fail with status 500 and have no effect.
	FailAborts int
	// LateAnswers delays the answer of each prefill and decode call after its work is done.
	LateAnswers time.Duration
	// CrossAnswers is how many HTTP answers carry another attempt's id.
	CrossAnswers int
	// SlowFactor multiplies compute times when above 1.
	SlowFactor float64
}
