package users_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/test/standin/users"
)

const (
	// retryRatio, retryMinimum and retryWindow equal the settings retryBudgetRatio, budgetMinRetries and budgetWindowS.
	retryRatio   = 0.2
	retryMinimum = 56
	retryWindow  = 10 * time.Second
)

// Guards against streams that load the engines more than the retry budget allows while engines refuse their prompts or close the
// connection: each stream then reaches two engines, a prefill engine in vain and a decode engine.
func TestRefusedPromptsKeepTheRetryBudget(t *testing.T) {
	for name, refuse := range map[string]func(){"refused": nil, "connection closed": func() { panic(http.ErrAbortHandler) }} {
		t.Run(name, func(t *testing.T) {
			p := newDeployment(t, 1)
			prefill := []*users.Worker{p.prefill}
			for _, id := range []string{"prefill-2", "prefill-3"} {
				prefill = append(prefill, p.worker(users.WorkerOptions{ID: id, Service: "llm", Stage: "prefill"}))
			}
			var refusals atomic.Int64
			for _, w := range prefill {
				w.SetFault(users.Rejecting)
				w.Before(func(r *http.Request) {
					if r.Header.Get("Serving-Stage") != "prefill" {
						return
					}
					refusals.Add(1)
					if refuse != nil {
						refuse()
					}
				})
			}
			// The streams that awaited the host are requests of the same window.
			requests := len(p.decode[0].Runs()) + len(p.decode[1].Runs())
			var group sync.WaitGroup
			var all [4][]response
			for i := range all {
				group.Go(func() {
					all[i] = p.load(retryWindow-time.Second, func(h *host) response { return p.stream(h, "ask") })
				})
			}
			group.Wait()
			for _, responses := range all {
				requests += len(responses)
				for _, a := range responses {
					p.g.Expect(a.status).To(Equal(http.StatusOK))
					p.g.Expect(p.runs(a.id)).To(Equal(1))
				}
			}
			// Each request has one decode, so each refusal is an arrival beyond the first.
			allowed := retryRatio*float64(requests) + retryMinimum
			p.g.Expect(float64(refusals.Load())).To(BeNumerically("<=", allowed), "of %d requests", requests)
			p.g.Expect(refusals.Load()).NotTo(BeZero())
			t.Logf("%d requests, %d refused prompts, %.0f allowed", requests, refusals.Load(), allowed)
		})
	}
}
