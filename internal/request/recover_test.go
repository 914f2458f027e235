package request

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/outcome"
	standin "github.com/boragecourse/boragecourse/test/standin/engine"
)

const outputTokens = 12

func completion(model string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":%t,"stream_options":{"include_usage":true}}`,
		model, promptText, outputTokens, stream)
}

// expectComplete checks that the caller received the complete response exactly once.
func (f *fixture) expectComplete(r result, stream bool) {
	f.t.Helper()
	f.Expect(r.err).To(BeNil())
	want := standin.Answer(promptText, outputTokens)
	usage := fmt.Sprintf(`"completion_tokens":%d`, outputTokens)
	if !stream {
		f.Expect(r.body).To(ContainSubstring(`"text":"` + want + `"`))
		f.Expect(r.body).To(ContainSubstring(usage))
		return
	}
	f.Expect(r.text.String()).To(Equal(want))
	f.Expect(r.finishes).To(Equal(1))
	f.Expect(r.done).To(BeTrue())
	f.Expect(r.events.String()).To(ContainSubstring(usage))
}

// Guards against lost or repeated output, unnecessary prefills and leaked engine memory in the recovery of each stage.
func TestRecoveryByStage(t *testing.T) {
	type faults = map[string]standin.Faults
	cases := map[string]struct {
		model             string
		faults            faults
		crash             string
		prefills, decodes int
		retried           string
		// failed is the stage and the server of the failure that must be reported to the placement, for example
		// "prefill p1". It is empty if no failure must be reported.
		failed string
	}{
		"no fault":           {prefills: 1, decodes: 1},
		"prefill connect":    {faults: faults{"p1": {RefuseConnections: true}}, prefills: 1, decodes: 1, retried: "prefill_connect", failed: "prefill p1"},
		"prefill refused":    {faults: faults{"p1": {Full: true}}, prefills: 1, decodes: 1, retried: "prefill_refused"},
		"prefill failed":     {faults: faults{"p1": {FailCalls: 1}}, prefills: 2, decodes: 1, retried: "prefill_failed", failed: "prefill p1"},
		"late response":      {faults: faults{"p1": {LateAnswers: time.Hour}}, prefills: 2, decodes: 1, retried: "prefill_failed", failed: "prefill p1"},
		"KV cache expired":   {faults: faults{"p1": {LateAnswers: time.Second}}, prefills: 2, decodes: 2, retried: "kv_gone", failed: "transfer d1"},
		"decode connect":     {faults: faults{"d1": {RefuseConnections: true}}, prefills: 1, decodes: 1, retried: "transfer_connect", failed: "decode d1"},
		"decode refused":     {faults: faults{"d1": {Full: true}}, prefills: 1, decodes: 1, retried: "transfer_refused"},
		"import failed":      {faults: faults{"d1": {FailImports: 1}}, prefills: 1, decodes: 2, retried: "import_failed", failed: "transfer d1"},
		"transfer stalled":   {faults: faults{"d1": {StallTransfers: 1}}, prefills: 1, decodes: 2, retried: "import_stalled", failed: "transfer d1"},
		"stream lost":        {faults: faults{"d1": {LoseStreams: 1, LoseAfter: 5}}, prefills: 1, decodes: 1, retried: "resume"},
		"lost before tokens": {faults: faults{"d1": {LoseStreams: 1}}, prefills: 1, decodes: 1, retried: "resume"},
		"lost at the end":    {faults: faults{"d1": {LoseStreams: 1, LoseAfter: outputTokens}}, prefills: 1, decodes: 1},
		"resume failed":      {faults: faults{"d1": {LoseStreams: 1, LoseAfter: 5, FailResumes: 1}}, prefills: 2, decodes: 2, retried: "engine_lost", failed: "decode d1"},
		"events repeated":    {faults: faults{"d1": {LoseStreams: 1, LoseAfter: 5, RepeatTokens: 3}}, prefills: 1, decodes: 1, retried: "resume"},
		"event left out":     {faults: faults{"d1": {SkipEvents: 1, SkipAt: 4}}, prefills: 1, decodes: 1, retried: "resume"},
		"idle stream":        {faults: faults{"d1": {SlowFactor: 1e6}}, prefills: 2, decodes: 2, retried: "engine_lost", failed: "decode d1"},
		"abort lost":         {faults: faults{"d1": {StallTransfers: 1, FailAborts: 7}}, prefills: 1, decodes: 2, retried: "import_stalled", failed: "transfer d1"},
		"engine crash":       {crash: "d1", prefills: 2, decodes: 2, retried: "engine_lost", failed: "decode d1"},
		"both roles":         {model: "both", decodes: 1},
		"both roles crash":   {model: "both", crash: "b1", decodes: 2, retried: "engine_lost", failed: "decode b1"},
	}
	for name, c := range cases {
		for _, stream := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/stream=%t", name, stream), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFixture(t)
					defer f.Close()
					for server, faults := range c.faults {
						f.engines[server].SetFaults(faults)
					}
					if c.crash != "" {
						time.AfterFunc(100*time.Millisecond, f.engines[c.crash].Crash)
					}
					if c.model == "" {
						c.model = "m"
					}
					in := f.input(pathCompletions, completion(c.model, stream))
					r := f.run(t.Context(), in)
					f.expectComplete(r, stream)
					f.verify(in, r)
					work := f.serverWork(in.ID)
					f.Expect(work.Prefills).To(Equal(c.prefills))
					f.Expect(work.Decodes).To(Equal(c.decodes))
					f.Expect(f.charges).To(HaveLen(1))
					f.Expect(f.charges[0].OutputTokens).To(BeEquivalentTo(outputTokens))
					if c.failed == "" {
						f.Expect(f.failed).To(BeEmpty())
					} else {
						f.Expect(f.failed).To(Equal([]string{c.failed}))
					}
					if c.retried != "" {
						f.Expect(f.Metrics.Count("retries", metrics.L("reason", c.retried))).To(BeEquivalentTo(1))
					}
				})
			})
		}
	}
}

// Guards against leaks and wrong outcomes when the caller disconnects, an engine crashes, or both happen at once, at any
// stage.
func TestCancelAndCrashAtEveryStage(t *testing.T) {
	for step := range 40 {
		for _, victim := range []string{"", "p1", "d1"} {
			for _, cancels := range []bool{true, false} {
				synctest.Test(t, func(t *testing.T) {
					f := newFixture(t)
					defer f.Close()
					at := time.Duration(step) * 7 * time.Millisecond
					f.engines["d1"].SetFaults(standin.Faults{StallTransfers: step % 2})
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					if cancels {
						time.AfterFunc(at, cancel)
					}
					if victim != "" {
						time.AfterFunc(at, f.engines[victim].Crash)
					}
					in := f.input(pathCompletions, completion("m", true))
					r := f.run(ctx, in)
					if !cancels {
						f.expectComplete(r, true)
					} else if r.err != nil {
						f.Expect(r.err.Code).To(Equal(outcome.CodeCanceled))
					}
					if cancels && victim == "" && step%2 == 0 {
						f.Expect(f.failed).To(BeEmpty(), "a disconnected caller is not a server failure")
					}
					f.verify(in, r)
				})
			}
		}
	}
}

// Guards against failures that only occur with combinations of faults. With any combination, the caller must receive a
// correct outcome and a prefix of the correct output, and nothing may be leaked.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(150) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			defer f.Close()
			rnd := rand.New(rand.NewPCG(seed, 1))
			for _, name := range []string{"p1", "p2", "d1", "d2"} {
				f.engines[name].SetFaults(standin.Faults{
					RefuseConnections: rnd.IntN(6) == 0, Full: rnd.IntN(6) == 0, StallTransfers: rnd.IntN(2),
					FailImports: rnd.IntN(2), FailCalls: rnd.IntN(2), LoseStreams: rnd.IntN(3),
					LoseAfter: rnd.Int64N(6), FailResumes: rnd.IntN(2), FailAborts: rnd.IntN(3),
					LateAnswers: time.Duration(rnd.IntN(3)) * 300 * time.Millisecond,
				})
				time.AfterFunc(time.Duration(rnd.IntN(3000))*time.Millisecond, func() {
					f.engines[name].Crash()
					f.engines[name].SetFaults(standin.Faults{})
				})
			}
			model := []string{"m", "once"}[rnd.IntN(2)]
			in := f.input(pathCompletions, completion(model, true))
			r := f.run(t.Context(), in)
			if r.err == nil {
				f.expectComplete(r, true)
			} else {
				f.Expect(standin.Answer(promptText, outputTokens)).To(HavePrefix(r.text.String()))
			}
			f.verify(in, r)
			if work := f.serverWork(in.ID); model == "once" {
				f.Expect(work.Prefills).To(BeNumerically("<=", 1), "second prefill of a non-repeatable call")
			}
		})
	}
}

// Guards against retries that multiply the load while every server fails.
func TestRetryBudgetOfTheHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		defer f.Close()
		f.budget = newRetryBudget(Settings{RetryBurst: 6, RetryRatio: 0.25})
		for _, c := range f.engines {
			c.SetFaults(standin.Faults{FailCalls: 1000})
		}
		const requests = 20
		for range requests {
			in := f.input(pathCompletions, completion("m", true))
			r := f.run(t.Context(), in)
			f.Expect(r.err.Code).To(Equal(outcome.CodeRetriesExhausted))
			f.Expect(r.err.Outcome).To(Equal(outcome.Unknown))
			f.verify(in, r)
		}
		f.Expect(f.Metrics.Count("retries", metrics.L("reason", "prefill_failed"))).To(BeNumerically("<=", 6+requests/4))
	})
}
