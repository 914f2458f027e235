package request

import (
	"sync"

	"github.com/boragecourse/boragecourse/internal/metrics"
)

// retryBudget is a token bucket that bounds the retries of a host to a ratio of its accepted requests. It is safe for
// concurrent use.
type retryBudget struct {
	mu           sync.Mutex
	tokens       float64
	ratio, burst float64
}

func newRetryBudget(s Settings) *retryBudget {
	return &retryBudget{tokens: s.RetryBurst, ratio: s.RetryRatio, burst: s.RetryBurst}
}

// deposit credits the budget for one accepted request.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.burst)
}

// withdraw takes one retry from the budget and reports whether one was left.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// retry takes one retry from the limit of the request and the budget of the host. It returns a *BudgetError if either
// has none left.
func (x *run) retry(reason string, cause error) error {
	if x.retries >= x.settings.MaxRetries || !x.budget.withdraw() {
		x.Metrics.Inc("retries_exhausted", metrics.L("reason", reason))
		return &BudgetError{Reason: reason, Cause: cause}
	}
	x.retries++
	x.Metrics.Inc("retries", metrics.L("reason", reason))
	return nil
}
