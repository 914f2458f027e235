package fleet

import (
	"net/http"
	"time"
)

// Request is one attempt of a caller.
type Request struct {
	// ID is unique to this attempt; a caller's retry has another one.
	ID     string
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	// Header holds the end-to-end headers to forward. It has no key and nothing that only hosts may set.
	Header http.Header
	Body   []byte
	Key    string
	// Patience is how long the caller waits, from Arrived; zero when the caller does not say.
	Patience time.Duration
	Arrived  time.Time
	Tokens   TokenCounts
	// LastEventID is set when the caller resumes a stream.
	LastEventID string
	// LengthHint is the caller's estimate of the output tokens, zero when absent.
	LengthHint int64
}

// TokenCounts are the sizes of a generation.
type TokenCounts struct {
	Present bool
	// Prompt is the number of prompt tokens, MaxOutput the most that may be generated.
	Prompt, MaxOutput int64
}

// Cost is what the request counts as in the workspace's rate.
func (r *Request) Cost(w *Workspace) int64 {
	if r.Tokens.Present {
		return r.Tokens.Prompt + r.Tokens.MaxOutput
	}
	return w.PlainCost
}
