// Package engine declares the interfaces of clients for the two kinds of backend servers: inference engines and plain
// HTTP services.
package engine

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Attempt identifies one attempt of a request at a backend server. A response that carries the id of another attempt is
// dropped.
type Attempt struct {
	// ID is unique. It consists of the request id, a dot and the number of the attempt.
	ID string
	// Host and Incarnation (one run of the daemon's process) identify the sender, so that engine memory held for a
	// daemon that has stopped can be released.
	Host        string
	Incarnation uint64
	// Priority is the priority of the workspace; higher values are served first.
	Priority int
	// MaySend is called when the connection is open, directly before the call is written, also when the call is repeated
	// on another connection. An error stops the call with *NotSentError. Nil allows every call.
	MaySend func() error
}

// KVCacheHandle identifies an exported KV cache. The exporting engine keeps it for less than a second.
type KVCacheHandle struct {
	// Server is the name and Addr the address of the exporting engine.
	Server, Addr string
	// ID is the id of the export on that engine.
	ID string
	// Tokens is the length of the prompt; Cached is the number of its tokens that the prefix cache held.
	Tokens, Cached int64
}

// Call is one request to an engine. Body is the caller's JSON request, already validated.
type Call struct {
	Attempt Attempt
	// Path is the OpenAI API path.
	Path string
	Body []byte
	// Stream is set when the caller requested server-sent events.
	Stream bool
	// Continue is output text that was already sent to the caller. The engine generates the text that follows it.
	Continue string
}

// Chunk is one event of a decode stream.
type Chunk struct {
	// Offset is the number of output tokens of the attempt before this chunk.
	Offset int64
	// Tokens is the number of output tokens in the chunk.
	Tokens int64
	// Data is the JSON payload of the server-sent event.
	Data []byte
	// Text is the output text in Data.
	Text string
	// FinishReason is set on the chunk that ends the output.
	FinishReason string
}

// Stream reads the output of a decode attempt. Next returns io.EOF only after the engine marked the response as
// complete, and *StreamLostError for a stream that ends before.
type Stream interface {
	Next() (Chunk, error)
	io.Closer
}

// LoadReport is an engine's report of its own load. It lags behind the actual load; see Age.
type LoadReport struct {
	// Incarnation changes when the engine restarts, which clears its KV memory and prefix cache.
	Incarnation string
	Running     int
	Waiting     int
	Slots       int
	// PiecesUsed and PiecesTotal are amounts of KV memory, in pieces of PieceTokens tokens.
	PiecesUsed, PiecesTotal int64
	// Age is the age of the report when it was received.
	Age time.Duration
}

// PieceTokens is the number of tokens in a piece, the unit in which engine memory is counted.
const PieceTokens = 2048

// CacheEvent reports that the engine's prefix cache added or removed a block, or removed all blocks when All is set.
type CacheEvent struct {
	Sequence uint64
	// Block is the hash of the prefix that ends with this block.
	Block   uint64
	Removed bool
	All     bool
}

// Command changes the role or the model of an engine. Empty fields leave the engine's value unchanged.
type Command struct {
	// Fence is the fencing token of the leader lease. Engines that check it refuse a command with a lower token than
	// they have received.
	Fence   int64
	Role    string
	Model   string
	Adapter string
	Version string
}

// State is the role and the model that an engine serves, with the fencing token of the last accepted command.
type State struct {
	Incarnation string
	Role        string
	Model       string
	Adapter     string
	Version     string
	Fence       int64
}

// Holding is KV memory or a stream that an engine keeps for an attempt.
type Holding struct {
	AttemptID   string
	Host        string
	Incarnation uint64
	Pieces      int64
}

// Server is a client of one inference engine. Errors are *ConnectError and *NotSentError (no byte was sent), *RefusedError (the engine
// responded that it did not run the call), *StreamLostError, *ImportError, *StaleFencingTokenError, or *FailedError.
type Server interface {
	// Name is the backend server's name in the rules.
	Name() string
	// Prefill processes the prompt and exports its KV cache for import by another engine.
	Prefill(ctx context.Context, c Call) (KVCacheHandle, error)
	// Decode imports kv and starts generating. With a nil kv the engine processes the prompt itself.
	Decode(ctx context.Context, c Call, kv *KVCacheHandle) (Stream, error)
	// Resume continues the stream of an attempt after the first offset output tokens.
	Resume(ctx context.Context, a Attempt, offset int64) (Stream, error)
	// Abort ends the attempt and frees its memory. It succeeds for unknown and finished attempts.
	Abort(ctx context.Context, attemptID string) error
	// Load returns the engine's load report.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns events with a sequence number above after. A gap in the sequence means that events were lost
	// and CacheBlocks has to be read.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	// CacheBlocks returns the hashes of all blocks in the prefix cache and the sequence number they are valid for.
	CacheBlocks(ctx context.Context) ([]uint64, uint64, error)
	// Holdings lists the attempts for which the engine keeps memory or a stream.
	Holdings(ctx context.Context) ([]Holding, error)
	// Apply sends a command that changes the engine's role or model. State returns the current ones.
	Apply(ctx context.Context, c Command) error
	State(ctx context.Context) (State, error)
}

// Service is a client of one plain HTTP service. The headers that it sends never contain the caller's key.
type Service interface {
	Name() string
	// Do sends the request exactly once, without retries. The error is *ConnectError or *NotSentError when no byte was sent.
	Do(ctx context.Context, a Attempt, r *http.Request) (*http.Response, error)
}

// Directory returns clients for the backend servers in the rules. It caches them by name and address.
type Directory interface {
	Server(name, addr string) Server
	Service(name, addr string) Service
}
