package request

import (
	"errors"
	"sync"

	"github.com/boragecourse/boragecourse/internal/engine"
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

// reasonStopped is the reason label of calls that were stopped before they were sent because of an evacuation.
const reasonStopped = "zone_evacuated"

// stopped reports whether a call was stopped directly before it was sent.
func stopped(err error) bool {
	var notSent *engine.NotSentError
	return errors.As(err, &notSent)
}

// retry takes one retry from the limit of the request and the budget of the host. It returns a *BudgetError if either
// has none left. Calls that were stopped before they were sent have cost no server anything and an evacuation stops many
// at once, so up to MaxRetries of them for each request are not taken from the limit and the budget.
func (x *run) retry(reason string, cause error) error {
	if stopped(cause) && x.stops < x.settings.MaxRetries {
		x.stops++
		x.Metrics.Inc("retries", metrics.L("reason", reason))
		return nil
	}
	if x.retries >= x.settings.MaxRetries || !x.budget.withdraw() {
		x.Metrics.Inc("retries_exhausted", metrics.L("reason", reason))
		return &BudgetError{Reason: reason, Cause: cause}
	}
	x.retries++
	x.Metrics.Inc("retries", metrics.L("reason", reason))
	return nil
}
