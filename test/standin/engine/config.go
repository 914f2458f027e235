// Package engine is a stand-in inference engine for tests, demos and benchmarks. Core implements the router's
// engine interface in memory and runs on the fake clock of testing/synctest; Handler serves a Core over HTTP.
//
// The stand-in does not free memory when the calling connection ends: work continues until it finishes or is
// aborted. Report.Held therefore lists every attempt that a router failed to release.
package engine

import (
	"time"

	"github.com/boragecourse/boragecourse/internal/defaults"
)

// Defaults of a Config. The times correspond to a mid-size model on one accelerator.
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

// Role selects the stages that an engine runs.
type Role string

// Roles of an engine.
const (
	Prefill Role = "prefill"
	Decode  Role = "decode"
	Both    Role = "both"
)

// Config describes an engine. A zero field takes its documented default.
type Config struct {
	Name, Addr string
	// Role defaults to Both.
	Role  Role
	Model string
	// Slots is the maximum number of admitted requests (default 20), Queue the number of further requests that
	// may wait (default 16; a negative value means none).
	Slots, Queue int
	// Pieces is the KV memory in pieces of 2,048 tokens. Default 4096.
	Pieces int64
	// PrefillPerToken is the compute time of one uncached prompt token. Default 50 us. Prefills run one at a
	// time.
	PrefillPerToken time.Duration
	// TimePerToken is the time between output tokens when only one stream runs. Default 20 ms.
	TimePerToken time.Duration
	// BatchSlowdown is the fraction of TimePerToken that each further running stream adds. Default 0.
	BatchSlowdown float64
	// LinkRate is the transfer rate of each link in KV tokens per second. Default 400,000.
	LinkRate int64
	// ExportLifetime is the time after which an exported KV cache that was not imported is freed. Default 800 ms.
	ExportLifetime time.Duration
	// LoadLag is the age of the load samples that Load returns. Default 250 ms.
	LoadLag time.Duration
	// BytesPerToken is the size of a token in prompt text; the stand-in has no real tokenizer. Default 4.
	BytesPerToken int
	// CacheBlocks is the size of the prefix cache in blocks. Default 4096; a negative value means no cache.
	CacheBlocks int
	// EventLag delays the visibility of cache events. Default 100 ms. When EventGapEvery is n > 0, every n-th
	// event is dropped.
	EventLag      time.Duration
	EventGapEvery uint64
	// ChecksFencingToken makes the engine refuse commands whose fencing token is lower than that of the last
	// accepted command.
	ChecksFencingToken bool
	// ChunkTokens is the number of output tokens per stream event. Default 1.
	ChunkTokens int64
	// StopAfterTokens, when above 0, is the number of output tokens after which generation ends with finish reason "stop".
	StopAfterTokens int64
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

// Faults selects the faults to inject. The zero value injects none. Counters are decremented by each use.
type Faults struct {
	// RefuseConnections makes every call fail before any byte is sent.
	RefuseConnections bool
	// Full makes the engine refuse new work with the header that marks a request as not run.
	Full bool
	// StallTransfers is the number of imports that block until they are aborted.
	StallTransfers int
	// FailImports is the number of imports that fail without freeing the export.
	FailImports int
	// FailCalls is the number of prefill and decode calls that fail with status 500 after being accepted.
	FailCalls int
	// LoseStreams is the number of streams that break after LoseAfter tokens each. Generation continues.
	LoseStreams int
	LoseAfter   int64
	// FailResumes is the number of resume calls that fail.
	FailResumes int
	// RepeatTokens is the number of tokens by which resumed streams start before the requested offset.
	RepeatTokens int64
	// SkipEvents is the number of streams that omit the event at token SkipAt.
	SkipEvents int
	SkipAt     int64
	// FailAborts is the number of abort calls that fail with status 500 and have no effect.
	FailAborts int
	// LateAnswers delays the response to each prefill and decode call after its work is done.
	LateAnswers time.Duration
	// CrossAnswers is the number of HTTP responses that carry the id of another attempt.
	CrossAnswers int
	// SlowFactor multiplies compute times when above 1.
	SlowFactor float64
}
