package front

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/fleet"
	"github.com/boragecourse/boragecourse/internal/registry"
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
			group.recordPrefill("a", doubtful)
			ledger := &prefillLedger{group: group, hosts: 1}
			for _, outcome := range outcomes {
				g.Expect(ledger.allow("a")).To(BeTrue())
				ledger.record(t.Context(), "a", prefillOutcomes[outcome])
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
	g.Expect(ledger.allow("a")).To(BeTrue())
	ctx, leave := context.WithCancel(t.Context())
	leave()
	ledger.record(ctx, "a", &platform.OutcomeUnknownError{Cause: ctx.Err()})
	ledger.refund()
	g.Expect(group.prefillDoubtful("a")).To(BeFalse())
	g.Expect(group.left()).To(Equal(5))
}

// Guards against refused prefills that exceed the budget, however many requests prefill at the same time.
func TestRefusedPrefillsKeepTheBudget(t *testing.T) {
	g := NewWithT(t)
	const budget, engines, parallel = 20, 3, 10
	group := newBudgetGroup(budget)
	group.recordPrefill("a", true)
	retries := 0
	for range 30 {
		var ledgers [parallel]*prefillLedger
		for i := range ledgers {
			ledgers[i] = &prefillLedger{group: group, hosts: 1}
		}
		for range engines {
			var sent [parallel]bool
			for i, l := range ledgers {
				sent[i] = l.allow("a")
			}
			for i, l := range ledgers {
				if sent[i] {
					l.record(t.Context(), "a", prefillOutcomes['r'])
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

// newPrefillGroup returns a group with prefill engines a, b, c and so on.
func newPrefillGroup(retries, engines int) *group {
	group := newBudgetGroup(retries)
	var usable []registry.State
	for i := range engines {
		usable = append(usable, registry.State{Server: fleet.Server{ID: string(rune('a' + i)), Service: "llm", Stage: fleet.Prefill}})
	}
	group.update(usable)
	return group
}

// prefillAt lets a new request send its first prompt to an engine, and reports whether it could.
func (g *group) prefillAt(t *testing.T, id string, outcome rune) bool {
	ledger := &prefillLedger{group: g, hosts: 1}
	defer ledger.refund()
	key := serverKey(fleet.Server{ID: id})
	if !ledger.allow(key) {
		return false
	}
	ledger.record(t.Context(), key, prefillOutcomes[outcome])
	return true
}

// Guards against one engine that refuses prompts keeping them from all engines once the budget is used up.
func TestOneRefusingEngineKeepsPromptsFromNoOther(t *testing.T) {
	g := NewWithT(t)
	group := newPrefillGroup(1, 4)
	g.Expect(group.prefillAt(t, "a", 'r')).To(BeTrue())
	g.Expect(group.left()).To(BeZero())
	for range 3 {
		g.Expect(group.prefillAt(t, "a", 'a')).To(BeFalse())
		for _, id := range []string{"b", "c", "d"} {
			g.Expect(group.prefillAt(t, id, 'a')).To(BeTrue())
		}
	}
}

// Guards against prompts to engines that have not refused any yet while many others do and the budget is used up.
func TestManyRefusingEnginesKeepPromptsFromAll(t *testing.T) {
	g := NewWithT(t)
	group := newPrefillGroup(0, 10)
	group.retryRatio = 0.2
	for _, id := range []string{"a", "b", "c"} {
		g.Expect(group.manyPrefillsRefused()).To(BeFalse())
		g.Expect(group.prefillAt(t, id, 'r')).To(BeTrue())
	}
	g.Expect(group.manyPrefillsRefused()).To(BeTrue())
	g.Expect(group.prefillAt(t, "d", 'a')).To(BeFalse())
}

// Guards against an engine that stays in doubt after it has accepted a prompt, or after it was replaced.
func TestDoubtOfAnEngineEnds(t *testing.T) {
	g := NewWithT(t)
	group := newPrefillGroup(2, 4)
	g.Expect(group.prefillAt(t, "a", 'r')).To(BeTrue())
	g.Expect(group.prefillDoubtful(serverKey(fleet.Server{ID: "a"}))).To(BeTrue())
	g.Expect(group.prefillAt(t, "a", 'a')).To(BeTrue())
	g.Expect(group.prefillDoubtful(serverKey(fleet.Server{ID: "a"}))).To(BeFalse())
	g.Expect(group.left()).To(Equal(1), "an accepted prompt costs nothing")
	g.Expect(group.prefillAt(t, "b", 'r')).To(BeTrue())
	group.update(nil)
	g.Expect(group.prefillDoubtful(serverKey(fleet.Server{ID: "b"}))).To(BeFalse())
}
