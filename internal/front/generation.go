package front

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/boragecourse/boragecourse/internal/dispatch"
	"github.com/boragecourse/boragecourse/internal/fleet"
	"github.com/boragecourse/boragecourse/internal/kvmemory"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/outlier"
	"github.com/boragecourse/boragecourse/internal/stagesplit"
	"github.com/boragecourse/boragecourse/platform"
)

const (
	// prefillEstimate is what the stages before the first event take without a queue; a stream that waits longer than
	// its objective less this for a slot is late anyway.
	prefillEstimate = 300 * time.Millisecond
	// lateWait is how long a stream waits for a slot that is late already.
	lateWait = 3 * time.Second
	// holdTTL is how long a reservation at a decode engine waits for its prefill.
	holdTTL = 1500 * time.Millisecond
	// prefillLimit and slowPrefill bound a prefill: a fixed time, and a time per token of ten times the usual.
	prefillLimit = 700 * time.Millisecond
	slowPrefill  = 180 * time.Microsecond
	// prefillWait is how long a prompt waits for a prefill engine; about what a decode engine needs for it.
	prefillWait = 400 * time.Millisecond
	// releaseTimeout bounds calls that free memory at engines after the request is over.
	releaseTimeout = 2 * time.Second
)

// place is a reserved slot at a decode engine.
type place struct {
	grant  *dispatch.Grant
	server fleet.Server
	hold   string
	run    *run
}

// free gives the slot and the memory back on this host.
func (p *place) free(f *Front) {
	f.ledger.end(p.run)
	p.grant.Release()
	f.exchange.Notify()
}

// forwardGeneration reserves a slot at a decode engine, has the prompt processed at a prefill engine, and streams
// the events from the decode engine.
func (f *Front) forwardGeneration(ctx context.Context, x *call) error {
	s := &stream{front: f, x: x, lastEvent: x.request.LastEventID}
	f.countArrival(x)
	avoid := map[string]bool{}
	runs := 0
	for {
		before := s.events
		key, err := f.runGeneration(ctx, x, s, avoid)
		if err == nil {
			return nil
		}
		if key == "" || ctx.Err() != nil {
			return err
		}
		var notRun *platform.NotRunError
		unrun := errors.As(err, &notRun)
		if !unrun {
			runs++
		}
		if reason := f.repeatRefused(x, unrun, runs); reason != "" {
			return &RetriesExhaustedError{Reason: reason, Cause: err}
		}
		avoid[key] = true
		f.metrics.Inc("repeats", metrics.L("service", x.group.service), metrics.L("reason", repeatReason(err)))
		f.log.Info("stream goes on at another backend server", "request", x.request.ID, "from", key, "events", s.events,
			"sinceLast", s.events-before, "cause", err)
	}
}

// runGeneration makes one run, from the reservation to the end of the stream. The key of the decode engine is empty
// when none was reserved.
func (f *Front) runGeneration(ctx context.Context, x *call, s *stream, avoid map[string]bool) (string, error) {
	p, err := f.reserve(ctx, x, avoid)
	if err != nil {
		return "", err
	}
	taken := f.now()
	defer p.free(f)
	result := f.prefill(ctx, x, s.lastEvent)
	if ctx.Err() != nil {
		f.dropHold(p)
		f.dropResult(result)
		return "", context.Cause(ctx)
	}
	settle := x.sending()
	x.trace.server = p.server.ID
	// A run that may not be repeated has nothing to gain from being given up.
	ctx, watch := watchStall(ctx, x.route.Repeatable(), f.stallLimit(x))
	defer watch.stop()
	answer, err := f.backends.Run(ctx, platform.Send{
		Request: x.request, Server: p.server, TimeLeft: x.deadline.Sub(f.now()), Workspace: x.workspaceName(),
		LastEventID: s.lastEvent, Hold: p.hold, Result: result,
	})
	if err != nil {
		settle(err)
		f.noteFailure(ctx, x, p.grant.Key, err)
		f.dropHold(p)
		f.dropResult(result)
		return p.grant.Key, err
	}
	if answer.Status != http.StatusOK {
		return p.grant.Key, f.passFailure(x, answer, p.grant.Key)
	}
	s.run, s.firstOfRun, s.watch = p.run, f.now(), watch
	before := s.events
	err = s.relay(ctx, answer)
	if err != nil {
		var undelivered *DeliveryError
		if !errors.As(err, &undelivered) {
			f.noteFailure(ctx, x, p.grant.Key, err)
		}
		return p.grant.Key, err
	}
	x.group.observe(p.grant.Key, outlier.Answered)
	perEvent := f.tokensPerEvent(x)
	x.group.count(func(t *stagesplit.Totals) {
		t.SlotTime += f.now().Sub(taken)
		t.SlotTokens += int64(s.events-before) * perEvent
	})
	f.ledger.finished(int64(s.events)*perEvent, int64(s.events-before)*perEvent, f.now().Sub(s.firstOfRun))
	return p.grant.Key, nil
}

// tokensPerEvent is how many output tokens one event of the stream holds.
func (f *Front) tokensPerEvent(x *call) int64 {
	if e := f.engineOf(x); e != nil {
		return e.TokensPerEvent
	}
	return 1
}

// engineOf describes the engines that serve the request, nil when the configuration does not.
func (f *Front) engineOf(x *call) *fleet.Engine {
	if s := x.config.Services[x.group.service]; s != nil {
		return s.Engine
	}
	return nil
}

// reserve waits for a slot at a decode engine and has it reserved there.
func (f *Front) reserve(ctx context.Context, x *call, avoid map[string]bool) (*place, error) {
	r := &run{Run: kvmemory.Run{Prompt: x.request.Tokens.Prompt, Output: f.ledger.forecast(x.request.LengthHint, x.request.Tokens.MaxOutput)}}
	capacity := int64(0)
	if e := f.engineOf(x); e != nil {
		capacity = e.KVCapacity
	}
	job := dispatch.Job{
		ID: x.request.ID, Value: f.value(x, r.Output), Latest: f.latestStart(x), Avoid: avoid,
		Take: func(key string) bool { return f.ledger.take(r, key, capacity) },
	}
	for {
		grant, err := x.group.decode.Acquire(ctx, job)
		if err != nil {
			return nil, err
		}
		f.exchange.Notify()
		x.trace.waited = f.now().Sub(x.request.Arrived)
		server, known := x.group.server(grant.Key)
		if !known {
			f.ledger.end(r)
			grant.Rejected()
			continue
		}
		// Reserving more than the prompt makes the engine preempt streams that are under way; how far it is filled is
		// decided by the forecast.
		hold, err := f.backends.TakeHold(ctx, server, x.request.Tokens.Prompt, holdTTL)
		if err == nil {
			return &place{grant: grant, server: server, hold: hold, run: r}, nil
		}
		f.ledger.end(r)
		if ctx.Err() != nil {
			grant.Release()
			return nil, context.Cause(ctx)
		}
		grant.Rejected()
		f.metrics.Inc("holds_refused", metrics.L("reason", holdReason(err)))
		f.log.Info("reservation refused", "request", x.request.ID, "server", server.ID, "occupied", grant.Occupied,
			"slots", grant.Slots, "cause", err)
		var full *platform.FullError
		if !errors.As(err, &full) {
			f.noteFailure(ctx, x, grant.Key, err)
		}
	}
}

func holdReason(err error) string {
	var full *platform.FullError
	if errors.As(err, &full) {
		return "full"
	}
	return repeatReason(err)
}

// latestStart is when a stream must have its slot so that its first event is on time.
func (f *Front) latestStart(x *call) time.Time {
	if x.started || x.route.LatencyObjective <= 0 {
		return x.deadline
	}
	if f.isLate(x) {
		return x.request.Arrived.Add(lateWait)
	}
	return x.request.Arrived.Add(max(x.route.LatencyObjective-prefillEstimate, x.route.LatencyObjective/3))
}

// value is what a caller gains from a stream for each unit of decode time. The declared sizes hardly differ, so that
// the worth of a stream depends on whether it is still on time, and its cost on its length.
func (f *Front) value(x *call, output kvmemory.Output) float64 {
	if x.started {
		// A stream that is under way goes before those that have not begun.
		return maxValue
	}
	worth := 1.0
	if f.isLate(x) {
		worth = lateWorth
	}
	return worth / (output.Median() + fixedDecode)
}

// isLate tells whether a request comes too late for its objective: a caller that returns after a refusal has less time
// left than the route allows.
func (f *Front) isLate(x *call) bool {
	return x.request.Patience > 0 && float64(x.request.Patience) < firstPatience*float64(x.route.Timeout)
}

const (
	// lateWorth is what a late answer and the caller's second refusal together weigh against an answer on time.
	lateWorth = 0.5
	// fixedDecode is the time in a slot before the first token, in output tokens.
	fixedDecode = 300
	maxValue    = 1e12
	// firstPatience is the least part of the route's time that callers wait at their first attempt.
	firstPatience = 0.85
)

// prefill has the prompt processed and returns where the result lies. It returns nil when no prefill engine does it in
// time or the budget allows no further call: the decode engine then processes the prompt itself, which is slower.
func (f *Front) prefill(ctx context.Context, x *call, lastEvent string) *platform.PrefillResult {
	avoid := map[string]bool{}
	for {
		grant, err := x.group.prefill.Acquire(ctx, dispatch.Job{ID: x.request.ID, Latest: f.latestPrefill(x), Avoid: avoid})
		if err != nil {
			return f.prefillLeftOut(x, "no-engine", err)
		}
		// The first call that an engine accepts is not a repeat.
		if (x.prefilled || len(avoid) > 0) && !f.mayRepeat(x) {
			grant.Release()
			return f.prefillLeftOut(x, "budget", nil)
		}
		result, err := f.prefillAt(ctx, x, grant, lastEvent)
		var notRun *platform.NotRunError
		x.prefilled = x.prefilled || !errors.As(err, &notRun)
		if err == nil {
			return result
		}
		if ctx.Err() != nil {
			return nil
		}
		avoid[grant.Key] = true
		f.metrics.Inc("prefill_repeats", metrics.L("service", x.group.service), metrics.L("reason", repeatReason(err)))
		f.log.Info("prefill failed", "request", x.request.ID, "server", grant.Key, "cause", err)
	}
}

// prefillLeftOut records that the decode engine processes the prompt itself.
func (f *Front) prefillLeftOut(x *call, reason string, err error) *platform.PrefillResult {
	f.metrics.Inc("prefills_left_out", metrics.L("service", x.group.service), metrics.L("reason", reason))
	f.log.Info("decode engine processes the prompt", "request", x.request.ID, "reason", reason, "cause", err)
	return nil
}

// latestPrefill is until when a prompt waits for a prefill engine: not longer than the reservation at the decode engine
// lasts.
func (f *Front) latestPrefill(x *call) time.Time {
	latest := f.now().Add(prefillWait)
	if latest.After(x.deadline) {
		return x.deadline
	}
	return latest
}

func (f *Front) prefillAt(ctx context.Context, x *call, grant *dispatch.Grant, lastEvent string) (*platform.PrefillResult, error) {
	defer grant.Release()
	server, known := x.group.server(grant.Key)
	if !known {
		return nil, &platform.NotRunError{Cause: &StaleServerError{Key: grant.Key}}
	}
	x.trace.prefill = server.ID
	asked := f.now()
	ctx, watch := watchStall(ctx, true, prefillLimit+time.Duration(x.request.Tokens.Prompt)*slowPrefill)
	defer watch.stop()
	result, err := f.backends.Prefill(ctx, platform.Send{
		Request: x.request, Server: server, TimeLeft: x.deadline.Sub(f.now()), Workspace: x.workspaceName(), LastEventID: lastEvent,
	})
	if err != nil {
		f.noteFailure(ctx, x, grant.Key, err)
		return nil, err
	}
	x.group.observe(grant.Key, outlier.Answered)
	if grant.Occupied == 1 {
		x.group.count(func(t *stagesplit.Totals) {
			t.PrefillTime += f.now().Sub(asked)
			t.PrefillTokens += x.request.Tokens.Prompt
		})
	}
	return result, nil
}

// passFailure passes an engine's failure on, unless the stream has begun.
func (f *Front) passFailure(x *call, a *platform.Answer, key string) error {
	read, err := readAnswer(a)
	if err != nil {
		return err
	}
	f.noteAnswer(x, key, a.Status)
	if x.started || x.route.Repeatable() {
		return &platform.LostError{Cause: &platform.StatusError{Status: a.Status}}
	}
	return f.writeAnswer(x, read)
}

// dropHold frees a reservation that was not used. A decode call that was not run leaves it.
func (f *Front) dropHold(p *place) {
	f.release(func(ctx context.Context) error { return f.backends.DropHold(ctx, p.server, p.hold) }, "hold", p.server.ID)
}

// dropResult frees a prefill result that was not taken. There is none when the decode engine processed the prompt.
func (f *Front) dropResult(r *platform.PrefillResult) {
	if r == nil {
		return
	}
	f.release(func(ctx context.Context) error { return f.backends.DropResult(ctx, r) }, "prefill result", r.Server.ID)
}

// release frees memory at an engine in the background; it lapses by itself if that fails.
func (f *Front) release(call func(context.Context) error, what, server string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if err := call(ctx); err != nil {
			f.metrics.Inc("releases_failed")
			f.log.Error(err, "release failed", "what", what, "server", server)
		}
	}()
}
