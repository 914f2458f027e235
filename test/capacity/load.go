package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/boragecourse/boragecourse/internal/charge"
	"github.com/boragecourse/boragecourse/internal/claim"
	"github.com/boragecourse/boragecourse/internal/placement"
	"github.com/boragecourse/boragecourse/internal/rules"
)

// A request at the target load: 6.1 million tokens per second in 26,000 requests per second, 40 ms per token, and a
// prompt size that the prefill servers of the measured fleet can serve at the target rate per host.
const (
	outputTokens = 235
	timePerToken = 40 * time.Millisecond
	promptTokens = 500
	prefillTime  = 25 * time.Millisecond
	seed         = 7
)

// Load is the load on each host, in calls per second.
type Load struct {
	// Requests are generations with quota, placement and charge. Quota are requests that only reserve and use quota.
	// Claims are calls with an idempotency key.
	Requests, Quota, Claims float64
}

// MeasureLoad measures a fleet under one load and adds the points at x to series whose names start with the given one.
func MeasureLoad(r *Report, series, unit string, x float64, size Size, load Load) error {
	f, err := NewFleet(size)
	if err != nil {
		f.Close()
		return err
	}
	defer f.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var refused, done atomic.Int64
	count := func(err error) {
		if err != nil {
			refused.Add(1)
		}
		done.Add(1)
	}
	if load.Requests > 0 {
		f.repeat(ctx, load.Requests, func(h *Host, n int) { count(h.request(n)) })
	}
	if load.Quota > 0 {
		f.repeat(ctx, load.Quota, func(h *Host, n int) { count(h.useQuota(n)) })
	}
	if load.Claims > 0 {
		f.repeat(ctx, load.Claims, func(h *Host, n int) { count(h.claim(n)) })
	}
	time.Sleep(settle)
	refused.Store(0)
	done.Store(0)
	m := f.Measure(func() { time.Sleep(span) })
	r.addPerHost(series, unit, x, m, size.Hosts)
	r.addStore(series, unit, x, m, size.Hosts)
	r.Add(series+": polls of engines", unit, "1/s per host", x, m.Polls/m.Span/float64(size.Hosts))
	if n := done.Load(); n > 0 {
		r.Add(series+": refused", unit, "share", x, float64(refused.Load())/float64(n))
	}
	return nil
}

// request runs the control-plane steps of one generation: quota, placement and charge.
func (h *Host) request(n int) error {
	arrived, id := time.Now(), h.Charges.NewRequestID()
	workspace := h.workspace(n)
	q, err := h.Quota.Reserve(h.ctx, workspace, promptTokens+outputTokens)
	if err != nil {
		return fmt.Errorf("reserve quota: %w", err)
	}
	defer q.Close()
	p, err := h.Placement.Place(h.ctx, h.Config.Current(), placement.Request{
		ID: id, Workspace: workspace, Weight: 1, Model: model, Class: rules.ClassLatency,
		PromptTokens: promptTokens, MaxOutputTokens: outputTokens, Arrived: arrived,
		PrefixBlocks: []uint64{uint64(n), uint64(n) + 1, uint64(n) + 2}, //nolint:gosec // Small numbers.
	})
	if err != nil {
		return fmt.Errorf("place request: %w", err)
	}
	time.Sleep(prefillTime)
	p.ReleasePrefill()
	time.Sleep(outputTokens * timePerToken)
	p.ReleaseDecode()
	q.Use(promptTokens + outputTokens)
	h.Charges.Add(charge.Record{
		RequestID: id, Workspace: workspace, KeyID: "k1", Generation: 1, Route: "/v1/chat/completions",
		Rule:         rules.Origin{Line: n, Who: "ana", Why: "contract 17", Text: "workspace " + workspace + " " + workspaceLimits},
		PromptTokens: promptTokens, OutputTokens: outputTokens, Outcome: "ran", Finished: time.Now(),
	})
	return nil
}

// useQuota runs only the quota steps of a request: it reserves and uses tokens of a workspace.
func (h *Host) useQuota(n int) error {
	q, err := h.Quota.Reserve(h.ctx, h.workspace(n), promptTokens+outputTokens)
	if err != nil {
		return fmt.Errorf("reserve quota: %w", err)
	}
	time.Sleep(outputTokens * timePerToken)
	q.Use(promptTokens + outputTokens)
	q.Close()
	return nil
}

// workspace returns the workspace of request n: uniformly distributed, and the same in each run.
func (h *Host) workspace(n int) string {
	random := rand.New(rand.NewPCG(seed, uint64(n))) //nolint:gosec // Sampling needs no secret.
	return workspaceName(random.IntN(h.fleet.Workspaces))
}

// claim runs the control-plane steps of a call that must run at most once: claim, dispatch and recording of the
// response.
func (h *Host) claim(n int) error {
	key := fmt.Sprint("call ", n)
	t, _, err := h.Claims.Claim(h.ctx, claim.Call{Workspace: workspaceName(0), IdempotencyKey: key, Attempt: h.Self.Name + key})
	if err != nil {
		return fmt.Errorf("claim idempotency key: %w", err)
	}
	if err := t.Dispatching(); err != nil {
		return fmt.Errorf("mark call as dispatching: %w", err)
	}
	time.Sleep(prefillTime)
	if err := t.Done(h.ctx, claim.Response{Status: 200}); err != nil {
		return fmt.Errorf("record response: %w", err)
	}
	return nil
}
