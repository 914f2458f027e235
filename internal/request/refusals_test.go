package request

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/charge"
	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/outcome"
	"github.com/boragecourse/boragecourse/internal/placement"
	"github.com/boragecourse/boragecourse/internal/quota"
	standin "github.com/boragecourse/boragecourse/test/standin/engine"
)

// Guards against a refusal with the wrong code, and against outcome not-run although a backend server did work: verify
// compares the outcome with the work that the servers counted.
func TestRefusals(t *testing.T) {
	every := func(faults standin.Faults) func(*fixture, *Input) {
		return func(f *fixture, _ *Input) {
			for _, c := range f.engines {
				c.SetFaults(faults)
			}
		}
	}
	body := func(b string) func(*fixture, *Input) { return func(_ *fixture, in *Input) { in.Body = []byte(b) } }
	at := func(path string) func(*fixture, *Input) { return func(_ *fixture, in *Input) { in.URL.Path = path } }
	refuse := func(err error) func(*fixture, *Input) { return func(f *fixture, _ *Input) { f.quotaErr = err } }
	place := func(err error) func(*fixture, *Input) { return func(f *fixture, _ *Input) { f.placeErr = err } }
	cases := map[string]struct {
		prepare func(*fixture, *Input)
		code    outcome.Code
		status  int
		outcome outcome.Outcome
	}{
		"charges full":      {func(f *fixture, _ *Input) { f.chargesErr = &charge.OverflowError{} }, outcome.CodeChargesFull, 503, outcome.NotRun},
		"draining":          {func(f *fixture, _ *Input) { _ = f.Drain(context.Background()) }, outcome.CodeDraining, 503, outcome.NotRun},
		"too many open":     {func(f *fixture, _ *Input) { f.open = f.settings.MaxOpen }, outcome.CodeTooManyOpen, 503, outcome.NotRun},
		"no configuration":  {func(f *fixture, _ *Input) { f.snap = nil }, outcome.CodeNoConfiguration, 503, outcome.NotRun},
		"not JSON":          {body(`{"model":`), outcome.CodeMalformedRequest, 400, outcome.NotRun},
		"null":              {body(`null`), outcome.CodeMalformedRequest, 400, outcome.NotRun},
		"two values":        {body(`{"model":"m","prompt":"x"} {}`), outcome.CodeMalformedRequest, 400, outcome.NotRun},
		"model is a number": {body(`{"model":1,"prompt":"x"}`), outcome.CodeMalformedRequest, 400, outcome.NotRun},
		"no prompt":         {body(`{"model":"m"}`), outcome.CodeMalformedRequest, 400, outcome.NotRun},
		"two prompts":       {body(`{"model":"m","prompt":["a","b"]}`), outcome.CodeMalformedRequest, 400, outcome.NotRun},
		"two choices":       {body(`{"model":"m","prompt":"x","n":2}`), outcome.CodeMalformedRequest, 400, outcome.NotRun},
		"no output":         {body(`{"model":"m","prompt":"x","max_tokens":0}`), outcome.CodeMalformedRequest, 400, outcome.NotRun},
		"unknown model":     {body(`{"model":"x","prompt":"x"}`), outcome.CodeUnknownModel, 404, outcome.NotRun},
		"unknown path":      {at("/v1/other"), outcome.CodeUnknownRoute, 404, outcome.NotRun},
		"path with dots":    {at("/booking/status/../reserve"), outcome.CodeUnknownRoute, 404, outcome.NotRun},
		"key in the path":   {at("/booking/status/" + secret), outcome.CodeMalformedRequest, 400, outcome.NotRun},
		"missing key":       {func(_ *fixture, in *Input) { in.Key = "" }, outcome.CodeMissingKey, 401, outcome.NotRun},
		"wrong key":         {func(_ *fixture, in *Input) { in.Key = "x" }, outcome.CodeInvalidKey, 401, outcome.NotRun},
		"unconfirmed":       {func(f *fixture, _ *Input) { f.configErr = context.DeadlineExceeded }, outcome.CodeConfigUnconfirmed, 503, outcome.NotRun},
		"key in the body":   {body(`{"model":"m","prompt":"` + secret + `"}`), outcome.CodeMalformedRequest, 400, outcome.NotRun},
		"escaped key":       {body(`{"model":"m","prompt":"secret-key\/1"}`), outcome.CodeMalformedRequest, 400, outcome.NotRun},
		"key in a name":     {body(`{"model":"m","prompt":"x","\u0073ecret-key/1":1}`), outcome.CodeMalformedRequest, 400, outcome.NotRun},
		"key in the query":  {func(_ *fixture, in *Input) { in.URL.RawQuery = "k=secret-key%2f1" }, outcome.CodeMalformedRequest, 400, outcome.NotRun},
		"rate":              {refuse(&quota.RefusedError{}), outcome.CodeRateExceeded, 429, outcome.NotRun},
		"burst":             {refuse(&quota.ExceedsBurstError{}), outcome.CodeExceedsBurst, 400, outcome.NotRun},
		"quota unavailable": {refuse(&quota.UnavailableError{}), outcome.CodeQuotaUnavailable, 503, outcome.NotRun},
		"no server":         {place(&placement.NoServerError{}), outcome.CodeNoServer, 503, outcome.NotRun},
		"evacuated":         {place(&placement.NoServerError{Evacuated: true}), outcome.CodeZoneEvacuated, 503, outcome.NotRun},
		"too late":          {place(&placement.DeadlineError{RetryAfter: time.Second}), outcome.CodeDeadline, 503, outcome.NotRun},
		"queue full":        {place(&placement.QueueFullError{RetryAfter: time.Second}), outcome.CodeQueueFull, 503, outcome.NotRun},
		"all refuse":        {every(standin.Faults{Full: true}), outcome.CodeRetriesExhausted, 503, outcome.NotRun},
		"all are down":      {every(standin.Faults{RefuseConnections: true}), outcome.CodeRetriesExhausted, 503, outcome.NotRun},
		"all fail":          {every(standin.Faults{FailCalls: 99}), outcome.CodeRetriesExhausted, 503, outcome.Unknown},
		"all lose imports":  {every(standin.Faults{FailImports: 99}), outcome.CodeRetriesExhausted, 503, outcome.Ran},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				defer f.Close()
				in := f.input(pathCompletions, completion("m", true))
				c.prepare(f, in)
				r := f.run(t.Context(), in)
				f.Expect(r.err).NotTo(BeNil())
				f.Expect(r.err.Code).To(Equal(c.code))
				f.Expect(r.err.Status).To(Equal(c.status))
				f.Expect(r.err.Outcome).To(Equal(c.outcome))
				f.Expect(r.events.Len()).To(BeZero())
				if c.outcome == outcome.NotRun {
					f.Expect(f.charges).To(BeEmpty())
				}
				f.Expect(f.Metrics.Count("requests_finished", metrics.L("outcome", string(c.outcome)),
					metrics.L("code", string(c.code)))).To(BeEquivalentTo(1))
				f.verify(in, r)
			})
		})
	}
}

// Guards against forwarding engine control fields from a caller to an engine, and against forwarding a header that
// contains the key.
func TestCallerCannotSteerEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		defer f.Close()
		in := f.input(pathChat, `{"model":"m","messages":[{"role":"user","content":"hello lighthouse"}],"stream":true,
			"max_completion_tokens":12,"kv_transfer_params":{"do_remote_prefill":true},"priority":-9}`)
		in.Header.Set("User-Agent", "x "+secret)
		x := &run{Router: f.Router, in: &Input{URL: in.URL, Body: in.Body}}
		r := f.run(t.Context(), in)
		f.Expect(r.err).To(BeNil())
		f.Expect(r.text.String()).To(Equal(standin.Answer(promptText, 12)))
		f.Expect(in.Header).To(BeEmpty())
		f.Expect(x.parse()).To(Succeed())
		f.Expect(string(x.call(x.newAttempt(nil), 12, "").Body)).NotTo(MatchRegexp("kv_transfer|priority|completion_tokens"))
		f.verify(in, r)
	})
}

// Guards against consuming more quota than was reserved when the prompt has more tokens than estimated.
func TestPromptLongerThanEstimated(t *testing.T) {
	// The estimate is 20 tokens and the engine counts 80, so 60 are missing.
	cases := map[string]struct {
		left          int64
		limit, output int
	}{
		"rest is reserved":        {left: 20 + 70 + 60, limit: 70, output: 70},
		"output limit is lowered": {left: 20 + 70 + 59, limit: 70, output: 70 - 60},
		"prompt and one token":    {left: 20 + 10 + 51, limit: 10, output: 1},
		"prompt is refused":       {left: 20 + 10 + 50, limit: 10},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				defer f.Close()
				for _, name := range []string{"p1", "d1"} {
					f.engines[name] = standin.New(standin.Config{Name: name, Addr: name + ":1", BytesPerToken: 1}, f.fleet)
				}
				f.quotaLeft = c.left
				in := f.input(pathCompletions, fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d,"stream":true}`,
					strings.Repeat("x", 80), c.limit))
				r := f.run(t.Context(), in)
				used := 80 + c.output
				if c.output == 0 {
					used = 20 + c.limit
					f.Expect(r.err.Code).To(Equal(outcome.CodeRateExceeded))
					f.Expect(r.err.Outcome).To(Equal(outcome.Ran))
				} else {
					f.Expect(r.err).To(BeNil())
				}
				f.Expect(strings.Fields(r.text.String())).To(HaveLen(c.output))
				f.verify(in, r)
				f.Expect(f.quotaUsed).To(BeEquivalentTo(used))
			})
		})
	}
}

// Guards against running a queued request after its key was withdrawn, and against canceling a request that is already
// running.
func TestKeyWithdrawn(t *testing.T) {
	for _, path := range []string{pathCompletions, "/booking/reserve"} {
		for _, hook := range []bool{true, false} {
			t.Run(fmt.Sprintf("queued%s/hook=%t", path, hook), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFixture(t)
					defer f.Close()
					f.block = make(chan struct{})
					without := config.NewSnapshot(4, rulesOf())
					time.AfterFunc(time.Second, func() {
						if hook {
							// The placement stays blocked, so only ConfigChanged can end the wait.
							f.install(without)
							return
						}
						f.mu.Lock()
						f.snap = without
						f.mu.Unlock()
						close(f.block)
					})
					in := f.input(path, completion("m", true))
					r := f.run(t.Context(), in)
					f.Expect(r.err.Code).To(Equal(outcome.CodeKeyWithdrawn))
					f.Expect(r.err.Status).To(Equal(http.StatusUnauthorized))
					f.Expect(r.err.Outcome).To(Equal(outcome.NotRun))
					f.verify(in, r)
				})
			})
		}
	}
	t.Run("running", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			defer f.Close()
			f.engines["d1"].SetFaults(standin.Faults{LoseStreams: 1, LoseAfter: 6, FailResumes: 1})
			time.AfterFunc(100*time.Millisecond, func() { f.install(config.NewSnapshot(4, rulesOf())) })
			in := f.input(pathCompletions, completion("m", true))
			r := f.run(t.Context(), in)
			f.expectComplete(r, true)
			f.verify(in, r)
			f.Expect(f.Check(in)).To(HaveOccurred(), "the next request on the same connection")
		})
	})
}

// Guards against exceeding the limit of open requests when several requests pass Check before any of them is counted,
// and against a request that is still counted after it has ended.
func TestOpenRequestsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		defer f.Close()
		f.settings.MaxOpen = 2
		f.block = make(chan struct{})
		sent := make([]*Input, 5)
		results := make([]result, len(sent))
		var wg sync.WaitGroup
		for i := range sent {
			sent[i] = f.input(pathCompletions, completion("m", true))
			f.Expect(f.Check(sent[i])).To(Succeed())
		}
		for i, in := range sent {
			wg.Go(func() {
				results[i].sink = &sink{}
				errors.As(f.Do(t.Context(), in, results[i].sink), &results[i].err)
			})
		}
		synctest.Wait()
		f.Expect(f.Open()).To(Equal(2))
		f.Expect(f.Check(f.input(pathCompletions, ""))).To(HaveOccurred(), "Check must refuse before the body is read")
		close(f.block)
		wg.Wait()
		refused := 0
		for i, in := range sent {
			f.verify(in, results[i])
			if results[i].err == nil {
				f.expectComplete(results[i], true)
				continue
			}
			refused++
			f.Expect(results[i].err.Code).To(Equal(outcome.CodeTooManyOpen))
			f.Expect(results[i].err.RetryAfter).To(BeNumerically(">", 0))
		}
		f.Expect(refused).To(Equal(3))
		f.block = nil
		f.expectComplete(f.run(t.Context(), f.input(pathCompletions, completion("m", true))), true)
	})
}

// Guards against a drain that cancels an open request or accepts a new one.
func TestDrainFinishesOpenRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		defer f.Close()
		in := f.input(pathCompletions, completion("m", true))
		drained := false
		time.AfterFunc(50*time.Millisecond, func() { _ = f.Drain(context.Background()); drained = true })
		r := f.run(t.Context(), in)
		f.expectComplete(r, true)
		synctest.Wait()
		f.Expect(drained).To(BeTrue())
		f.Expect(f.run(t.Context(), f.input(pathCompletions, "{}")).err.Code).To(Equal(outcome.CodeDraining))
		f.verify(in, r)
	})
}

// Guards against an attempt that continues to run after writing to the caller has failed.
func TestCallerThatCannotBeWrittenTo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		defer f.Close()
		in := f.input(pathCompletions, completion("m", true))
		r := result{sink: &sink{fail: context.Canceled}}
		r.err = outcome.From(f.Do(t.Context(), in, r.sink))
		f.Expect(r.err.Code).To(Equal(outcome.CodeCanceled))
		f.Expect(r.err.Outcome).To(Equal(outcome.Ran))
		f.verify(in, r)
		f.Expect(f.engines["d1"].Report().Aborts).To(Equal(1))
	})
}
