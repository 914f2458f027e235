package front

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/fleet"
	"github.com/boragecourse/boragecourse/platform"
)

// prefillOutcomes are the results of a prefill: accepted, refused, unreachable, lost with its connection and without a response in time.
var prefillOutcomes = map[rune]error{
	'a': nil, 'r': &platform.NotRunError{Status: 503}, 'u': &platform.NotRunError{Cause: errors.New("refused")},
	'l': &platform.OutcomeUnknownError{Cause: errors.New("reset")}, 's': &platform.OutcomeUnknownError{Cause: &StalledError{Timeout: time.Second}},
}

func newBudgetGroup(retries int) *group {
	now := time.Unix(1000, 0)
	return newGroup("llm", "z", fleet.RetryLimits{Window: 10 * time.Second, Minimum: retries}, now.Add(-time.Hour), func() time.Time { return now })
}

// left returns how many retries the budget of a group still allows, and uses them up.
func (g *group) left() (n int) {
	for g.mayRetry(1) {
		n++
	}
	return n
}

// Guards against prefills that are charged less than the engines count, and against charges for what is no retry.
func TestPrefillsAreChargedAsEnginesCountThem(t *testing.T) {
	const budget = 50
	for outcomes, want := range map[string]int{
		"": 0, "a": 0, "r": 1, "ra": 1, "rr": 2, "rra": 2, "rrr": 3, "u": 0, "ua": 0, "ur": 1, "ru": 1, "l": 1, "la": 1, "lr": 2, "rl": 2,
		"s": 0, "sa": 1, "sr": 1, "rs": 1, "rsa": 2,
	} {
		for _, doubtful := range []bool{false, true} {
			g := NewWithT(t)
			group := newBudgetGroup(budget)
			group.recordPrefill(doubtful)
			ledger := &prefillLedger{group: group, hosts: 1}
			for _, outcome := range outcomes {
				g.Expect(ledger.allow()).To(BeTrue())
				ledger.record(t.Context(), prefillOutcomes[outcome])
			}
			ledger.refund()
			g.Expect(budget-group.left()).To(Equal(want), "%s, engines refused before: %t", outcomes, doubtful)
		}
	}
}

// Guards against a caller who leaves during the prefill being taken for an engine that closes the connection.
func TestPrefillsOfCallersWhoLeaveAreNoRefusals(t *testing.T) {
	g := NewWithT(t)
	group := newBudgetGroup(5)
	ledger := &prefillLedger{group: group, hosts: 1}
	g.Expect(ledger.allow()).To(BeTrue())
	ctx, leave := context.WithCancel(t.Context())
	leave()
	ledger.record(ctx, &platform.OutcomeUnknownError{Cause: ctx.Err()})
	ledger.refund()
	g.Expect(group.prefillRefused()).To(BeFalse())
	g.Expect(group.left()).To(Equal(5))
}

// Guards against refused prefills that exceed the budget, however many requests prefill at the same time.
func TestRefusedPrefillsKeepTheBudget(t *testing.T) {
	g := NewWithT(t)
	const budget, engines, parallel = 20, 3, 10
	group := newBudgetGroup(budget)
	group.recordPrefill(true)
	retries := 0
	for range 30 {
		var ledgers [parallel]*prefillLedger
		for i := range ledgers {
			ledgers[i] = &prefillLedger{group: group, hosts: 1}
		}
		for range engines {
			var sent [parallel]bool
			for i, l := range ledgers {
				sent[i] = l.allow()
			}
			for i, l := range ledgers {
				if sent[i] {
					l.record(t.Context(), prefillOutcomes['r'])
					retries++
				}
			}
		}
		for _, l := range ledgers {
			l.refund()
		}
	}
	g.Expect(retries).To(BeNumerically("<=", budget))
	g.Expect(retries).To(BeNumerically(">", budget/2))
	g.Expect(group.left()).To(BeNumerically("<=", budget-retries))
}
