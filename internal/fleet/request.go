package fleet

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Request is one request as received from a caller. A caller's retry is a separate Request.
type Request struct {
	// ID is unique to this request; a caller's retry has a different one.
	ID     string
	Method string
	// Target is the path and query, unmodified.
	Target string
	Host   string
	// Header holds the end-to-end headers to forward. It contains neither the API key nor headers that only hosts may set.
	Header http.Header
	Body   []byte
	Key    string
	// CallerTimeout is how long the caller waits for the response, from Arrived; zero if the caller does not specify
	// it.
	CallerTimeout time.Duration
	Arrived       time.Time
	Tokens        TokenCounts
	// LastEventID is set when the caller resumes a stream.
	LastEventID string
	// Resumes is the ID of the caller's attempt that got the first event of the stream that this one resumes.
	Resumes string
	// LengthHint is the caller's estimate of the output tokens, zero when absent.
	LengthHint int64
	// SharedParts are those parts of the prompt that other requests may contain as well, at most MaxSharedParts.
	SharedParts []PromptPart
	// OwnPart is the last part of the prompt, which belongs to this request or its session and is the same in a caller's
	// retry; 0 if the caller names no parts.
	OwnPart PromptPart
}

// Resumed reports whether the caller resumes a stream.
func (r *Request) Resumed() bool { return r.LastEventID != "" || r.Resumes != "" }

// StreamID returns the id of the attempt that began the request's stream, empty if the caller resumes one and does not name it.
func (r *Request) StreamID() string {
	if r.Resumed() {
		return r.Resumes
	}
	return r.ID
}

// MaxSharedParts is the number of parts of one prompt that are tracked at most, whatever the caller sends.
const MaxSharedParts = 32

// PromptPart identifies a part of a prompt by a hash of its id and of the model, so that its size does not depend on what
// callers send. Parts of prompts for different models are different parts.
type PromptPart uint64

// NewPromptPart returns the identity of a part for a model.
func NewPromptPart(model, id string) PromptPart {
	sum := sha256.Sum256([]byte(model + "\x00" + strings.ToLower(id)))
	return PromptPart(binary.BigEndian.Uint64(sum[:]))
}

// String implements fmt.Stringer.
func (p PromptPart) String() string { return fmt.Sprintf("%016x", uint64(p)) }

// TokenCounts are the declared sizes of a generation. Present is false if the caller declared none.
type TokenCounts struct {
	Present bool
	// Prompt is the number of prompt tokens, MaxOutput the limit on output tokens.
	Prompt, MaxOutput int64
}

// Cost returns the cost of the request against the workspace's rate limit, in tokens.
func (r *Request) Cost(w *Workspace) int64 {
	if r.Tokens.Present {
		return r.Tokens.Prompt + r.Tokens.MaxOutput
	}
	return w.PlainCost
}
