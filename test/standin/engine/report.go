package engine

import (
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"

	"github.com/boragecourse/boragecourse/internal/engine"
)

// Work counts what one engine ran for a request.
type Work struct {
	// Attempts are the ids of the accepted calls in order; Prefills and Decodes count these calls by stage.
	Attempts []string `json:"attempts"`
	Prefills int      `json:"prefills"`
	Decodes  int      `json:"decodes"`
	// PromptTokens counts prefilled tokens including the cached ones, CachedTokens only the cached ones.
	PromptTokens    int64 `json:"prompt_tokens"`
	CachedTokens    int64 `json:"cached_tokens"`
	GeneratedTokens int64 `json:"generated_tokens"`
}

// Violation is a received call that a correct router never sends.
type Violation struct {
	Kind      string `json:"kind"`
	AttemptID string `json:"attempt_id"`
	Detail    string `json:"detail"`
}

// Report lists an engine's completed work, the memory it holds and the violations it recorded.
type Report struct {
	Requests   map[string]Work  `json:"requests"`
	Held       []engine.Holding `json:"held"`
	HeldPieces int64            `json:"held_pieces"`
	Aborts     int              `json:"aborts"`
	Commands   []engine.Command `json:"commands"`
	Violations []Violation      `json:"violations"`
}

type recorder struct {
	mu         sync.Mutex
	work       map[string]*Work
	violations []Violation
	secrets    []string
	once       func(requestID string) bool
	aborts     int
	commands   []engine.Command
}

func newRecorder() *recorder {
	return &recorder{work: map[string]*Work{}, once: func(string) bool { return false }}
}

// Report returns a snapshot of the engine's report.
func (c *Core) Report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := Report{
		Requests: map[string]Work{}, Held: c.holdingsLocked(), HeldPieces: c.heldLocked(),
		Aborts: c.report.aborts, Commands: slices.Clone(c.report.commands),
	}
	c.report.mu.Lock()
	defer c.report.mu.Unlock()
	for id, w := range c.report.work {
		r.Requests[id] = *w
	}
	r.Violations = slices.Clone(c.report.violations)
	return r
}

// RegisterSecret makes every later call that contains the secret a violation.
func (c *Core) RegisterSecret(secret string) {
	c.report.mu.Lock()
	defer c.report.mu.Unlock()
	c.report.secrets = append(c.report.secrets, secret)
}

// SetOnce sets the predicate for requests whose second prefill or decode is a violation.
func (c *Core) SetOnce(once func(requestID string) bool) {
	c.report.mu.Lock()
	defer c.report.mu.Unlock()
	c.report.once = once
}

func (r *recorder) addViolation(kind, attemptID, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, Violation{kind, attemptID, detail})
}

func (r *recorder) workOf(attemptID string) *Work {
	id := requestID(attemptID)
	if r.work[id] == nil {
		r.work[id] = &Work{}
	}
	return r.work[id]
}

// recordCall counts a call of one stage, Prefill or Decode, and checks it for violations.
func (r *recorder) recordCall(call engine.Call, kv *engine.KVCacheHandle, stage, role Role) {
	r.scan(call.Attempt.ID, "body", string(call.Body))
	r.scan(call.Attempt.ID, "continued text", call.Continue)
	r.mu.Lock()
	w := r.workOf(call.Attempt.ID)
	w.Attempts = append(w.Attempts, call.Attempt.ID)
	repeated := false
	if stage == Prefill {
		w.Prefills++
		repeated = w.Prefills > 1
	} else {
		w.Decodes++
		repeated = w.Decodes > 1
	}
	repeated = repeated && r.once(requestID(call.Attempt.ID))
	r.mu.Unlock()
	if repeated {
		r.addViolation("second run of a call that may not be repeated", call.Attempt.ID, "")
	}
	if stage == Decode && role == Decode && kv == nil {
		r.addViolation("decode without import", call.Attempt.ID, "")
	}
}

func (r *recorder) recordPrefill(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.workOf(a.id.ID)
	w.PromptTokens += a.prompted
	w.CachedTokens += a.cached
}

func (r *recorder) recordOutput(a *attempt, tokens int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workOf(a.id.ID).GeneratedTokens += tokens
}

// scan records a violation if the text contains a registered secret.
func (r *recorder) scan(attemptID, where, text string) {
	r.mu.Lock()
	found := slices.ContainsFunc(r.secrets, func(s string) bool { return strings.Contains(text, s) })
	r.mu.Unlock()
	if found {
		r.addViolation("caller's key seen", attemptID, where)
	}
}

// scanHTTP scans the URL, the decoded query and the headers for secrets.
func (r *recorder) scanHTTP(attemptID string, req *http.Request) {
	r.scan(attemptID, "url", req.URL.String())
	if q, err := url.QueryUnescape(req.URL.RawQuery); err == nil {
		r.scan(attemptID, "query", q)
	}
	for _, name := range slices.Sorted(maps.Keys(req.Header)) {
		r.scan(attemptID, "header "+name, strings.Join(req.Header[name], "\n"))
	}
}
