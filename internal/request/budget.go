package request

import (
	"sync"

	"github.com/boragecourse/boragecourse/internal/metrics"
)

// retryBudget bounds the retries of a host as a share of its requests. It is safe for concurrent use.
type retryBudget struct {
	mu           sync.Mutex
	level        float64
	ratio, burst float64
}

func newRetryBudget(s Settings) *retryBudget {
	return &retryBudget{level: s.RetryBurst, ratio: s.RetryRatio, burst: s.RetryBurst}
}

func (b *retryBudget) accepted() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.level+b.ratio, b.burst)
}

func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// retry counts a retry, or returns a *BudgetError when the request or the host has no retries left.
func (x *run) retry(reason string, cause error) error {
	if x.retries >= x.settings.MaxRetries || !x.budget.take() {
		x.Metrics.Inc("retries_exhausted", metrics.L("reason", reason))
		return &BudgetError{Reason: reason, Cause: cause}
	}
	x.retries++
	x.Metrics.Inc("retries", metrics.L("reason", reason))
	return nil
}
