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

// A request at the target: 6.1 million tokens a second over 26,000 requests, 40 ms a token, and a prompt of a size
// that the prefill servers of the measured fleet can serve at the target's rate per host.
const (
	outputTokens = 235
	timePerToken = 40 * time.Millisecond
	promptTokens = 500
	prefillTime  = 25 * time.Millisecond
	seed         = 7
)

// Load is what each host does in a second.
type Load struct {
	// Requests are generations with quota, placement and charge; Quota are requests with quota alone; Claims are
	// calls with an idempotency key.
	Requests, Quota, Claims float64
}

// MeasureLoad runs one load on a fleet.
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
		f.repeat(ctx, load.Quota, func(h *Host, n int) { count(h.draw(n)) })
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

// request does what the control plane does for a generation.
func (h *Host) request(n int) error {
	arrived, id := time.Now(), h.Charges.NewRequestID()
	workspace := h.workspace(n)
	q, err := h.Quota.Reserve(h.ctx, workspace, promptTokens+outputTokens)
	if err != nil {
		return fmt.Errorf("quota: %w", err)
	}
	defer q.Close()
	p, err := h.Placement.Place(h.ctx, h.Config.Current(), placement.Request{
		ID: id, Workspace: workspace, Weight: 1, Model: model, Class: rules.ClassLatency,
		PromptTokens: promptTokens, MaxOutputTokens: outputTokens, Arrived: arrived,
		PrefixBlocks: []uint64{uint64(n), uint64(n) + 1, uint64(n) + 2}, //nolint:gosec // Small numbers.
	})
	if err != nil {
		return fmt.Errorf("placement: %w", err)
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

// draw takes and uses tokens of a workspace.
func (h *Host) draw(n int) error {
	q, err := h.Quota.Reserve(h.ctx, h.workspace(n), promptTokens+outputTokens)
	if err != nil {
		return fmt.Errorf("quota: %w", err)
	}
	time.Sleep(outputTokens * timePerToken)
	q.Use(promptTokens + outputTokens)
	q.Close()
	return nil
}

// workspace chooses a workspace by the number of the request, evenly and the same way in each run.
func (h *Host) workspace(n int) string {
	random := rand.New(rand.NewPCG(seed, uint64(n))) //nolint:gosec // Sampling needs no secret.
	return workspaceName(random.IntN(h.fleet.Workspaces))
}

// claim makes a call that may run at most once.
func (h *Host) claim(n int) error {
	key := fmt.Sprint("call ", n)
	t, _, err := h.Claims.Claim(h.ctx, claim.Call{Workspace: workspaceName(0), IdempotencyKey: key, Attempt: h.Self.Name + key})
	if err != nil {
		return fmt.Errorf("claim: %w", err)
	}
	if err := t.Dispatching(); err != nil {
		return fmt.Errorf("dispatch: %w", err)
	}
	time.Sleep(prefillTime)
	if err := t.Done(h.ctx, claim.Answer{Status: 200}); err != nil {
		return fmt.Errorf("record: %w", err)
	}
	return nil
}
