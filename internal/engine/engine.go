// Package engine is the interface to backend servers: inference engines and plain HTTP services.
package engine

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Attempt identifies one try of a request at a backend server. An answer that carries another attempt is dropped.
type Attempt struct {
	// ID is unique: request id, dot, number of the try.
	ID string
	// Host and Incarnation name the daemon, so that memory held for a dead daemon can be released.
	Host        string
	Incarnation uint64
	// Priority is the workspace's; higher is served first.
	Priority int
}

// KVHandle names an exported KV cache. It lives for less than a second on the exporting engine.
type KVHandle struct {
	// Server is the name and Addr the address of the exporting engine.
	Server, Addr string
	// ID is the engine's name for the export.
	ID string
	// Tokens is the length of the prompt; Cached is how much of it the prefix cache held.
	Tokens, Cached int64
}

// Call is one request to an engine. Body is the caller's JSON request, already checked.
type Call struct {
	Attempt Attempt
	// Path is the OpenAI API path.
	Path string
	Body []byte
	// Stream is true when the caller asked for server-sent events.
	Stream bool
	// Continue is text already sent to the caller, which the engine takes as the start of its answer.
	Continue string
}

// Chunk is one part of a decode stream.
type Chunk struct {
	// Offset counts output tokens from the start of the attempt's answer, before this chunk.
	Offset int64
	// Tokens is how many output tokens the chunk holds.
	Tokens int64
	// Data is the payload of one server-sent event, as JSON.
	Data []byte
	// Text is the output text in Data.
	Text string
	// FinishReason is set on the chunk that ends the answer.
	FinishReason string
}

// Stream delivers a decode attempt. Next returns io.EOF only after the engine marked the answer as complete;
// a stream that ends early gives a *StreamLostError.
type Stream interface {
	Next() (Chunk, error)
	io.Closer
}

// LoadReport is an engine's report of its own load. It lags.
type LoadReport struct {
	// Incarnation changes when the engine restarts and has lost all memory.
	Incarnation string
	Running     int
	Waiting     int
	Slots       int
	// PiecesUsed and PiecesTotal count engine memory in pieces of PieceTokens.
	PiecesUsed, PiecesTotal int64
	// Age is how old the report was when it was received.
	Age time.Duration
}

// PieceTokens is the size of a piece of engine memory, in tokens.
const PieceTokens = 2048

// CacheEvent says that the engine's prefix cache gained or lost a block, or everything when All is set.
type CacheEvent struct {
	Sequence uint64
	// Block is the hash of the prefix that ends with this block.
	Block   uint64
	Removed bool
	All     bool
}

// Command changes what an engine serves. Empty fields stay as they are.
type Command struct {
	// Fence is the store's fencing number of the commanding host's lease.
	Fence   int64
	Role    string
	Model   string
	Adapter string
	Version string
}

// State is what an engine serves.
type State struct {
	Incarnation string
	Role        string
	Model       string
	Adapter     string
	Version     string
	Fence       int64
}

// Holding is memory or a stream that an engine holds for an attempt.
type Holding struct {
	AttemptID   string
	Host        string
	Incarnation uint64
	Pieces      int64
}

// Server is an inference engine. Errors are *ConnectError (no byte was sent), *RefusedError (the engine says
// that it did not run the call), *StreamLostError, *ImportError, *FenceError, or *FailedError.
type Server interface {
	// Name is the backend server's name in the rules.
	Name() string
	// Prefill runs the prompt and leaves its KV cache ready for import.
	Prefill(ctx context.Context, c Call) (KVHandle, error)
	// Decode imports kv and starts the answer. With a nil kv the engine prefills itself.
	Decode(ctx context.Context, c Call, kv *KVHandle) (Stream, error)
	// Resume continues the attempt's stream at an output-token offset.
	Resume(ctx context.Context, a Attempt, offset int64) (Stream, error)
	// Abort ends the attempt and frees its memory. It succeeds for attempts that are unknown or finished.
	Abort(ctx context.Context, attemptID string) error
	// Load returns the engine's load report.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns events with a sequence number above after. A gap in the numbers means lost events.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	// CacheBlocks returns the whole content of the prefix cache and the sequence number it is valid for.
	CacheBlocks(ctx context.Context) ([]uint64, uint64, error)
	// Holdings lists what the engine holds.
	Holdings(ctx context.Context) ([]Holding, error)
	// Apply changes what the engine serves, State reads it back.
	Apply(ctx context.Context, c Command) error
	State(ctx context.Context) (State, error)
}

// Service is a plain HTTP service. The request's headers never hold the caller's key.
type Service interface {
	Name() string
	// Do sends the request once. The error is *ConnectError when no byte was sent.
	Do(ctx context.Context, a Attempt, r *http.Request) (*http.Response, error)
}

// Directory returns clients for backend servers by their rules. Clients are cached by name and address.
type Directory interface {
	Server(name, addr string) Server
	Service(name, addr string) Service
}
