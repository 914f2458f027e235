package placement

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/rules"
	"github.com/boragecourse/boragecourse/internal/wait"
)

const (
	// maxTries bounds the pairs that one attempt asks for.
	maxTries = 6
	// askSlack is how much longer than predicted a latency-class request waits at a home host. Beyond it the home
	// host refuses with its present load, and the request chooses again with it: loads of other home hosts are up
	// to seconds old, and a queue at one server is no use while another is free.
	askSlack = 20 * time.Millisecond
	// staleChoice is the wait for a decode slot after which the prefill server is chosen again.
	staleChoice = 10 * time.Millisecond
	// maxRoundShift bounds the doubling of the wait at one server from round to round. A long queue changes little in
	// a second, and each round costs two messages.
	maxRoundShift = 2
	// retryPause is how long a wait-class request pauses after an attempt that could not wait at a home host.
	retryPause = 100 * time.Millisecond
	// waitClassPrefill is how long a wait-class request with a decode slot waits for a prefill server. The slot is
	// idle meanwhile, so it is short.
	waitClassPrefill = 300 * time.Millisecond
)

// Place implements Placer. Wait-class requests wait until they are placed or the context ends; its error is then
// wrapped.
func (s *Service) Place(ctx context.Context, snap *config.Snapshot, r Request) (*Placement, error) {
	return s.place(ctx, snap, r, nil)
}

// PlaceDecode implements Placer.
func (s *Service) PlaceDecode(ctx context.Context, snap *config.Snapshot, r Request, prefill *rules.Server) (*Placement, error) {
	return s.place(ctx, snap, r, prefill)
}

func (s *Service) place(ctx context.Context, snap *config.Snapshot, r Request, fixed *rules.Server) (*Placement, error) {
	waitClass := r.Class == rules.ClassWait && fixed == nil
	if waitClass {
		if err := s.enqueue(); err != nil {
			return nil, s.refused(err)
		}
		defer s.dequeue()
	}
	for round := 0; ; round++ {
		p, err := s.attempt(ctx, snap, r, fixed, round)
		if err == nil {
			s.metrics.Inc(metricPlaced)
			return p, nil
		}
		if ctx.Err() != nil {
			return nil, s.refused(fmt.Errorf("place request %s: %w", r.ID, ctx.Err()))
		}
		if !waitClass || !s.configured(snap, r) {
			return nil, s.refused(err)
		}
		s.metrics.Inc(metricRetries, metrics.L("reason", reasonOf(err)))
		if err := wait.For(ctx, retryPause); err != nil {
			return nil, s.refused(fmt.Errorf("place request %s: %w", r.ID, err))
		}
	}
}

// configured reports whether the rules have active servers for both stages that the request does not exclude, so
// that waiting makes sense.
func (s *Service) configured(snap *config.Snapshot, r Request) bool {
	if installed := s.snapshot(); installed != nil {
		snap = installed
	}
	engines := snap.Engines(r.Model)
	return len(usable(engines, StagePrefill, r.Exclude)) > 0 && len(usable(engines, StageDecode, r.Exclude)) > 0
}

func (s *Service) enqueue() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting >= s.opt.QueueLimit {
		return &QueueFullError{Waiting: s.waiting, RetryAfter: s.opt.WaitRound}
	}
	s.waiting++
	return nil
}

func (s *Service) dequeue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
}

func (s *Service) refused(err error) error {
	s.metrics.Inc(metricRefusals, metrics.L("reason", reasonOf(err)))
	return err
}

func reasonOf(err error) string {
	var deadline *DeadlineError
	var full *QueueFullError
	var none *NoServerError
	switch {
	case errors.As(err, &deadline):
		return reasonDeadline
	case errors.As(err, &full):
		return reasonQueueFull
	case errors.As(err, &none):
		return reasonNoServer
	default:
		return reasonCanceled
	}
}

// attempt tries pairs until both reservations are granted.
type attempt struct {
	s    *Service
	snap *config.Snapshot
	r    Request
	q    query
	// round counts the earlier attempts of a wait-class request.
	round   int
	decode  *reservation
	refusal error
	// refused are the servers that refused once and may be asked again.
	refused []*serverView
	// last is when the first token must come; the zero time means no deadline.
	last time.Time
}

func (s *Service) attempt(ctx context.Context, snap *config.Snapshot, r Request, fixed *rules.Server, round int) (*Placement, error) {
	a := &attempt{s: s, round: round, snap: snap, r: r, q: query{tokens: r.PromptTokens, blocks: r.PrefixBlocks, exclude: r.Exclude, waitClass: r.Class == rules.ClassWait && fixed == nil}}
	if r.Class != rules.ClassWait && fixed == nil {
		a.last = r.Arrived.Add(s.opt.FirstToken)
	}
	for range maxTries {
		best := a.pick(fixed)
		if !best.ok || a.late(best) {
			break
		}
		p, again := a.try(ctx, best)
		if p != nil {
			return p, nil
		}
		if !again || ctx.Err() != nil {
			break
		}
	}
	if a.decode != nil {
		a.decode.release()
	}
	if p := a.fallback(fixed); p != nil {
		return p, nil
	}
	if a.refusal == nil {
		a.refusal = &NoServerError{Model: r.Model}
	}
	return nil, a.refusal
}

// pick chooses the best pair of servers whose home hosts answer.
func (a *attempt) pick(fixed *rules.Server) pair {
	a.s.mu.Lock()
	defer a.s.mu.Unlock()
	a.q.now = time.Now()
	a.s.syncLocked(a.q.now, a.snap)
	a.q.zone = a.s.view.zone(a.s.viewer.Self().Zone)
	if fixed != nil {
		if a.q.fixed = a.s.view.servers[fixed.Name]; a.q.fixed == nil {
			return pair{}
		}
	}
	m := a.s.view.models[a.r.Model]
	if m == nil {
		return pair{}
	}
	best := a.s.view.choose(m, &a.q)
	if best.ok {
		costs := &best.decode.server.costs
		best.step, best.hold = costs.Decode(1), best.transfer+costs.Decode(a.r.MaxOutputTokens)
		best.need = best.prefill.server.costs.Prefill(uncached(a.r.PromptTokens, best.prefill.cached))
	}
	return best
}

// late records a refusal when the predicted first token misses the deadline.
func (a *attempt) late(p pair) bool {
	if a.last.IsZero() || !a.q.now.Add(p.first).After(a.last) {
		return false
	}
	over := a.q.now.Add(p.first).Sub(a.last)
	stage := StagePrefill
	if p.decode.ready > p.prefill.ready {
		stage = StageDecode
	}
	a.s.metrics.Inc(metricLate, metrics.L("stage", string(stage)))
	a.refusal = &DeadlineError{Predicted: a.q.now.Sub(a.r.Arrived) + p.first, RetryAfter: over}
	return true
}

// try asks for the decode slot, then for the prefill. It reports whether another pair may be tried.
func (a *attempt) try(ctx context.Context, p pair) (*Placement, bool) {
	s, waitClass := a.s, a.q.waitClass
	now := a.q.now
	if a.decode == nil {
		deadline := now.Add(s.opt.WaitRound << min(a.round, maxRoundShift))
		if !a.last.IsZero() {
			deadline = earlier(a.last.Add(-p.transfer-p.step), now.Add(p.decode.ready+askSlack))
		} else if !waitClass {
			deadline = now.Add(s.opt.KVLife / 2)
		}
		res, rep := s.reserve(ctx, p.decode.server, Ask{
			Workspace: a.r.Workspace, Weight: a.r.Weight, Stage: StageDecode, Priority: a.r.Priority, WaitClass: waitClass,
			Tokens: a.r.MaxOutputTokens, Start: now.Add(p.prefill.ready), Deadline: deadline,
			Duration: p.hold,
		}, nil)
		if res == nil {
			a.note(rep, StageDecode)
			if a.seenBefore(p.decode.server, rep.load.SlotWait > p.decode.ready) {
				a.q.noDecode = append(a.q.noDecode, p.decode.server)
			}
			return nil, !waitClass || !rep.asked()
		}
		a.decode, a.q.keep = res, p.decode.server
		if a.q.fixed == nil && time.Since(now) > staleChoice {
			return nil, true
		}
	}
	if a.q.fixed != nil {
		return a.placement(p, nil, 0), false
	}
	deadline := time.Now().Add(waitClassPrefill)
	if !a.last.IsZero() {
		deadline = earlier(a.last.Add(-p.transfer-p.step-p.need), time.Now().Add(p.prefill.ready-p.need+askSlack))
	}
	res, rep := s.reserve(ctx, p.prefill.server, Ask{
		Workspace: a.r.Workspace, Weight: a.r.Weight, Stage: StagePrefill, Priority: a.r.Priority, WaitClass: waitClass,
		Tokens: a.r.PromptTokens, Start: now, Deadline: deadline, Duration: p.need,
	}, a.r.PrefixBlocks)
	if res == nil {
		a.note(rep, StagePrefill)
		if a.seenBefore(p.prefill.server, rep.load.PrefillWait > p.prefill.ready-p.need) {
			a.q.noPre = append(a.q.noPre, p.prefill.server)
		}
		return nil, true
	}
	return a.placement(p, res, rep.cached), false
}

// seenBefore reports whether a refused server should not be asked again: unless the refusal told of a longer wait than
// predicted, which the next choice takes into account, and it was the first one.
func (a *attempt) seenBefore(s *serverView, longer bool) bool {
	if longer && !slices.Contains(a.refused, s) {
		a.refused = append(a.refused, s)
		return false
	}
	return true
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// note keeps the reason of a refusal for the caller.
func (a *attempt) note(r reply, stage Stage) {
	a.s.metrics.Inc(metricDenied, metrics.L("stage", string(stage)), metrics.L("class", string(a.r.Class)))
	switch {
	case r.queueFull:
		a.refusal = &QueueFullError{Waiting: a.s.opt.ServerQueueLimit, RetryAfter: r.retryAfter}
	case r.asked():
		a.refusal = &DeadlineError{Predicted: time.Since(a.r.Arrived) + r.retryAfter, RetryAfter: r.retryAfter}
	}
}

func (a *attempt) placement(p pair, prefill *reservation, cached int) *Placement {
	s := a.s
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	ready := now.Add(p.prefill.ready)
	release := a.decode.release
	if p.prefill.server != p.decode.server {
		landed := s.view.links.add(now, p.prefill.zone, p.decode.zone,
			flight{start: ready, end: ready.Add(p.transfer), tokens: a.r.PromptTokens})
		release = func() {
			s.mu.Lock()
			landed()
			s.mu.Unlock()
			a.decode.release()
		}
	}
	out := &Placement{
		Prefill: p.prefill.server.rule, Decode: p.decode.server.rule, ReleasePrefill: func() {}, ReleaseDecode: release,
		Transfer: p.transfer,
	}
	if prefill != nil {
		out.ReleasePrefill = prefill.release
		out.CachedTokens = a.r.PromptTokens - uncached(a.r.PromptTokens, cached)
		s.view.index.Hint(p.prefill.server.name, now, a.r.PrefixBlocks)
	}
	return out
}
