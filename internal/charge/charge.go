// Package charge keeps one record for each request that ran, from its end until the store holds it.
package charge

import (
	"time"

	"github.com/boragecourse/boragecourse/internal/rules"
)

// Record is the charge for one request. Tokens count only what ran.
type Record struct {
	RequestID  string
	Workspace  string
	KeyID      string
	Generation uint64
	// Rule is the workspace rule that the charge traces to.
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

// Writer accepts records. It is safe for concurrent use and does not block on the store.
type Writer interface {
	// Accepting returns an error while unwritten records leave too little room for another request. It is
	// asked before a request runs, so that what runs can be recorded.
	Accepting() error
	Add(r Record)
}
