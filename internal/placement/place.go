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
	// maxTries bounds the number of pairs that one attempt tries to reserve.
	maxTries = 6
	// reservationSlack is how much longer than predicted a latency-class request waits at a home host. After that the home
	// host denies the reservation and reports its current load, and servers are chosen again with that load. The loads
	// that this host has of other home hosts can be seconds old, so the request could otherwise wait for one server while
	// another one is free.
	reservationSlack = 20 * time.Millisecond
	// reselectAfter is the wait for a decode slot after which the prefill server is chosen again.
	reselectAfter = 10 * time.Millisecond
	// maxRoundShift bounds the doubling of the wait at one server from round to round. The wait is doubled because a
	// long queue changes little in a second and each round costs two messages.
	maxRoundShift = 2
	// retryDelay is the delay between attempts of a wait-class request that could not be queued at a home host.
	retryDelay = 100 * time.Millisecond
	// waitClassPrefillWait is how long a wait-class request that holds a decode slot waits for a prefill server. It is
	// short because the slot is idle meanwhile.
	waitClassPrefillWait = 300 * time.Millisecond
)

// Place implements Placer. Wait-class requests wait until they are placed, no configured server can take them or the
// context ends; the context's error is wrapped.
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
			return nil, s.countRefusal(err)
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
			return nil, s.countRefusal(fmt.Errorf("place request %s: %w", r.ID, ctx.Err()))
		}
		if s.evacuated(snap, r.Model, fixed) {
			return nil, s.countRefusal(&NoServerError{Model: r.Model, Evacuated: true})
		}
		if !waitClass || !s.configured(snap, r) {
			return nil, s.countRefusal(err)
		}
		s.metrics.Inc(metricRetries, metrics.L("reason", reasonOf(err)))
		if err := wait.For(ctx, retryDelay); err != nil {
			return nil, s.countRefusal(fmt.Errorf("place request %s: %w", r.ID, err))
		}
	}
}

// configured reports whether the rules still have active servers for both stages that the request does not exclude.
// Without them a waiting request could never be placed.
func (s *Service) configured(snap *config.Snapshot, r Request) bool {
	engines := s.installed(snap).Engines(r.Model)
	return len(usable(engines, StagePrefill, r.Exclude)) > 0 && len(usable(engines, StageDecode, r.Exclude)) > 0
}

func (s *Service) enqueue() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting >= s.opt.QueueLimit {
		return &QueueFullError{Waiting: s.waiting, RetryAfter: s.opt.WaitPerAttempt}
	}
	s.waiting++
	return nil
}

func (s *Service) dequeue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
}

func (s *Service) countRefusal(err error) error {
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
	case errors.As(err, &none) && none.Evacuated:
		return reasonEvacuated
	case errors.As(err, &none):
		return reasonNoServer
	default:
		return reasonCanceled
	}
}

// attempt tries pairs of servers until both reservations are granted.
type attempt struct {
	s    *Service
	snap *config.Snapshot
	r    Request
	q    query
	// round counts the earlier attempts of a wait-class request.
	round   int
	decode  *reservation
	refusal error
	// deniedOnce are the servers that denied a reservation once and may be tried again.
	deniedOnce []*serverView
	// firstTokenDeadline is when the first token is due; zero means no deadline.
	firstTokenDeadline time.Time
}

func (s *Service) attempt(ctx context.Context, snap *config.Snapshot, r Request, fixed *rules.Server, round int) (*Placement, error) {
	a := &attempt{s: s, round: round, snap: snap, r: r, q: query{tokens: r.PromptTokens, blocks: r.PrefixBlocks, exclude: r.Exclude, waitClass: r.Class == rules.ClassWait && fixed == nil}}
	if r.Class != rules.ClassWait && fixed == nil {
		a.firstTokenDeadline = r.Arrived.Add(s.opt.FirstToken)
	}
	for range maxTries {
		best := a.pick(fixed)
		if !best.ok || a.missesDeadline(best) {
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

// pick chooses the best pair among the servers with a reachable home host.
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
		best.tokenTime, best.decodeTime = costs.Decode(1), best.transfer+costs.Decode(a.r.MaxOutputTokens)
		best.prefillTime = best.prefill.server.costs.Prefill(uncachedTokens(a.r.PromptTokens, best.prefill.cached))
	}
	return best
}

// missesDeadline reports whether the predicted first token is too late, and records the refusal.
func (a *attempt) missesDeadline(p pair) bool {
	if a.firstTokenDeadline.IsZero() || !a.q.now.Add(p.firstToken).After(a.firstTokenDeadline) {
		return false
	}
	over := a.q.now.Add(p.firstToken).Sub(a.firstTokenDeadline)
	stage := StagePrefill
	if p.decode.ready > p.prefill.ready {
		stage = StageDecode
	}
	a.s.metrics.Inc(metricLate, metrics.L("stage", string(stage)))
	a.refusal = &DeadlineError{Predicted: a.q.now.Sub(a.r.Arrived) + p.firstToken, RetryAfter: over}
	return true
}

// try reserves the decode slot, then the prefill. It reports whether another pair may be tried.
func (a *attempt) try(ctx context.Context, p pair) (*Placement, bool) {
	s, waitClass := a.s, a.q.waitClass
	now := a.q.now
	if a.decode == nil {
		deadline := now.Add(s.opt.WaitPerAttempt << min(a.round, maxRoundShift))
		if !a.firstTokenDeadline.IsZero() {
			deadline = earlier(a.firstTokenDeadline.Add(-p.transfer-p.tokenTime), now.Add(p.decode.ready+reservationSlack))
		} else if !waitClass {
			deadline = now.Add(s.opt.KVCacheTTL / 2)
		}
		res, rep := s.reserve(ctx, p.decode.server, ReservationRequest{
			Workspace: a.r.Workspace, Weight: a.r.Weight, Stage: StageDecode, Priority: a.r.Priority, WaitClass: waitClass,
			Tokens: a.r.MaxOutputTokens, Start: now.Add(p.prefill.ready), Deadline: deadline,
			Duration: p.decodeTime,
		}, nil)
		if res == nil {
			a.recordDenial(rep, StageDecode)
			if a.excludeAfterDenial(p.decode.server, rep.load.SlotWait > p.decode.ready) {
				a.q.deniedDecode = append(a.q.deniedDecode, p.decode.server)
			}
			return nil, !waitClass || !rep.received()
		}
		a.decode, a.q.reservedDecode = res, p.decode.server
		if a.q.fixed == nil && time.Since(now) > reselectAfter {
			return nil, true
		}
	}
	if a.q.fixed != nil {
		return a.placement(p, nil, 0), false
	}
	deadline := time.Now().Add(waitClassPrefillWait)
	if !a.firstTokenDeadline.IsZero() {
		deadline = earlier(a.firstTokenDeadline.Add(-p.transfer-p.tokenTime-p.prefillTime),
			time.Now().Add(p.prefill.ready-p.prefillTime+reservationSlack))
	}
	res, rep := s.reserve(ctx, p.prefill.server, ReservationRequest{
		Workspace: a.r.Workspace, Weight: a.r.Weight, Stage: StagePrefill, Priority: a.r.Priority, WaitClass: waitClass,
		Tokens: a.r.PromptTokens, Start: now, Deadline: deadline, Duration: p.prefillTime,
	}, a.r.PrefixBlocks)
	if res == nil {
		a.recordDenial(rep, StagePrefill)
		if a.excludeAfterDenial(p.prefill.server, rep.load.PrefillWait > p.prefill.ready-p.prefillTime) {
			a.q.deniedPrefill = append(a.q.deniedPrefill, p.prefill.server)
		}
		return nil, true
	}
	return a.placement(p, res, rep.cached), false
}

// excludeAfterDenial reports whether a server that denied a reservation must not be tried again in this attempt. One
// more try is allowed if the denial reported a longer wait than predicted, as the next choice accounts for that wait.
func (a *attempt) excludeAfterDenial(s *serverView, longer bool) bool {
	if longer && !slices.Contains(a.deniedOnce, s) {
		a.deniedOnce = append(a.deniedOnce, s)
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

// recordDenial counts a denied reservation and keeps its reason as the error of the attempt.
func (a *attempt) recordDenial(r reply, stage Stage) {
	a.s.metrics.Inc(metricDenied, metrics.L("stage", string(stage)), metrics.L("class", string(a.r.Class)))
	switch {
	case r.queueFull:
		a.refusal = &QueueFullError{Waiting: a.s.opt.ServerQueueLimit, RetryAfter: r.retryAfter}
	case r.received():
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
		removeTransfer := s.view.links.add(now, p.prefill.zone, p.decode.zone,
			plannedTransfer{start: ready, end: ready.Add(p.transfer), tokens: a.r.PromptTokens})
		release = func() {
			s.mu.Lock()
			removeTransfer()
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
		out.CachedTokens = a.r.PromptTokens - uncachedTokens(a.r.PromptTokens, cached)
		s.view.index.Hint(p.prefill.server.name, now, a.r.PrefixBlocks)
	}
	return out
}
