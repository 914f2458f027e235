// Package charge records the usage of each request that ran or may have run. It keeps a record in memory, with a copy
// on another host, until the store holds it.
package charge

import (
	"time"

	"github.com/boragecourse/boragecourse/internal/rules"
)

// Record is the charge for one request. It counts only tokens that were processed or generated.
type Record struct {
	RequestID  string
	Workspace  string
	KeyID      string
	Generation uint64
	// Rule is the workspace rule under which the request was charged.
	Rule  rules.Origin
	Route string
	// PromptTokens includes CachedTokens.
	PromptTokens, CachedTokens, OutputTokens int64
	// CostTokens is the charge of a call to a plain service.
	CostTokens int64
	// Outcome is "ran" or "unknown".
	Outcome  string
	Finished time.Time
}

// Writer accepts records. It is safe for concurrent use and does not wait for the store.
type Writer interface {
	// Accepting returns an error while unwritten records leave too little memory for another request. It must be
	// called before a request runs, so that a request that runs can be recorded.
	Accepting() error
	// Add records one finished request.
	Add(r Record)
}
