package front

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/boragecourse/boragecourse/internal/fleet"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/stagesplit"
	"github.com/boragecourse/boragecourse/internal/wait"
	"github.com/boragecourse/boragecourse/platform"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

const (
	// stageTick is the time between two looks at the split of a service's engines.
	stageTick = time.Second
	// stageNotice is what the other hosts are given to stop using an engine before it is commanded: a few reports, with
	// a relay on the way.
	stageNotice = 300 * time.Millisecond
	// stageMargin is added to the time that an engine takes for the change.
	stageMargin = 500 * time.Millisecond
	// registrationLag is how long after the change the registration may still tell the old stage.
	registrationLag = 4 * time.Second
	// stageRetry is how long an engine that refused a command is not commanded again.
	stageRetry = 5 * time.Second
	// stageUnknown is how long a command without an answer may still be carried out.
	stageUnknown = 15 * time.Second
)

// stages has the engines' split between prefill and decode follow the load, while this host holds the duty.
type stages struct {
	mu       sync.Mutex
	services map[string]*serviceStages
	changes  map[string]stageChange
}

// stageChange is a command that may still be under way.
type stageChange struct {
	to fleet.Stage
	// idleUntil is the time until which the engine gets no work, openUntil the time until which it is not commanded again.
	idleUntil, openUntil time.Time
}

type serviceStages struct {
	meter    stagesplit.Meter
	splitter stagesplit.Splitter
}

func newStages() *stages {
	return &stages{services: map[string]*serviceStages{}, changes: map[string]stageChange{}}
}

// countArrival counts a generation for the measurement of the load.
func (f *Front) countArrival(x *call) {
	output := f.ledger.forecast(x.request.LengthHint, x.request.Tokens.MaxOutput)
	x.group.count(func(t *stagesplit.Totals) {
		t.Arrived++
		t.Prompt += x.request.Tokens.Prompt
		t.Output += int64(output.Median())
	})
}

// fill sets what a report tells of generations and of engines that change their stage.
func (s *stages) fill(r *peerv1.FrontReport, groups []*group) {
	r.Generations = map[string]*peerv1.GenerationTotals{}
	for _, g := range groups {
		if t := g.generations(); t.Arrived > 0 {
			r.Generations[g.service] = encodeTotals(t)
		}
	}
	r.ChangingStage = map[string]int64{}
	now := time.Now()
	for key, at := range s.commanded(now) {
		r.ChangingStage[key] = at.Sub(now).Milliseconds()
	}
}

func encodeTotals(t stagesplit.Totals) *peerv1.GenerationTotals {
	return &peerv1.GenerationTotals{
		Arrived: t.Arrived, Prompt: t.Prompt, Output: t.Output, PrefillMicros: t.PrefillTime.Microseconds(), PrefillTokens: t.PrefillTokens,
		SlotMicros: t.SlotTime.Microseconds(), SlotTokens: t.SlotTokens,
	}
}

func decodeTotals(t *peerv1.GenerationTotals) stagesplit.Totals {
	if t == nil {
		return stagesplit.Totals{}
	}
	return stagesplit.Totals{
		Arrived: t.Arrived, Prompt: t.Prompt, Output: t.Output, PrefillTime: time.Duration(t.PrefillMicros) * time.Microsecond,
		PrefillTokens: t.PrefillTokens, SlotTime: time.Duration(t.SlotMicros) * time.Microsecond, SlotTokens: t.SlotTokens,
	}
}

// commanded returns the engines that this host commanded and that get no work yet.
func (s *stages) commanded(now time.Time) map[string]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.changes, func(_ string, c stageChange) bool { return !now.Before(c.idleUntil) && !now.Before(c.openUntil) })
	idle := map[string]time.Time{}
	for key, c := range s.changes {
		if now.Before(c.idleUntil) {
			idle[key] = c.idleUntil
		}
	}
	return idle
}

// aimed gives the engines that are changing their stage the one that they change to.
func (s *stages) aimed(engines []stagesplit.Engine) []stagesplit.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range engines {
		if c, changing := s.changes[engines[i].Key]; changing {
			engines[i].Stage = c.to
		}
	}
	return engines
}

// stageService looks at the split of each service while this host holds the duty.
func (f *Front) stageService() suture.Service { return serviceFunc(f.followLoad) }

type serviceFunc func(ctx context.Context) error

// Serve implements suture.Service.
func (s serviceFunc) Serve(ctx context.Context) error { return s(ctx) }

func (f *Front) followLoad(ctx context.Context) error {
	for wait.For(ctx, stageTick) == nil {
		config := f.state.Configuration()
		if config == nil || f.draining.Load() {
			continue
		}
		for _, g := range f.allGroups() {
			if s := config.Services[g.service]; s != nil && s.Engine != nil && s.Engine.StageChange > 0 {
				f.lookAtStages(ctx, g, s.Engine)
			}
		}
	}
	return ctx.Err()
}

// lookAtStages measures the load of a service, and moves at most one engine.
func (f *Front) lookAtStages(ctx context.Context, g *group, e *fleet.Engine) {
	now := f.now()
	s := f.stages.service(g.service)
	s.meter.Record(f.generationTotals(g), now)
	if !f.duty.Held() {
		return
	}
	engines := f.stages.aimed(g.engines())
	load := s.meter.Load(e.Slots, e.KVCapacity)
	move, ok := s.splitter.Next(engines, load, now)
	if !ok {
		return
	}
	f.log.Info("stage change decided", "service", g.service, "server", move.Key, "to", move.To, "before", move.Before, "after", move.After,
		"perSecond", load.PerSecond, "prefillTime", ms(load.Prefill), "decodeTime", ms(load.Decode), "concurrency", load.Concurrency, "samples", load.Samples)
	s.splitter.Moved(move, now)
	f.moveEngine(ctx, g, move, e.StageChange)
}

func (s *stages) service(name string) *serviceStages {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.services[name] == nil {
		s.services[name] = &serviceStages{}
	}
	return s.services[name]
}

// generationTotals returns what each process counted of a service.
func (f *Front) generationTotals(g *group) map[uint64]stagesplit.Totals {
	totals := map[uint64]stagesplit.Totals{f.incarnation: g.generations()}
	f.heardMu.Lock()
	defer f.heardMu.Unlock()
	for incarnation, h := range f.heard {
		// A host that has not counted any counts from zero.
		totals[incarnation] = decodeTotals(h.generations[g.service])
	}
	return totals
}

// moveEngine has the other hosts leave an engine alone, and then commands it.
func (f *Front) moveEngine(ctx context.Context, g *group, move stagesplit.Move, takes time.Duration) {
	server, known := g.server(move.Key)
	if !known {
		return
	}
	f.noteChange(move, stageNotice+takes+stageMargin, stageNotice+takes+stageMargin)
	err := f.commandStage(ctx, server, move.To)
	var lost *platform.LostError
	outcome := "accepted"
	switch {
	case err == nil:
		f.noteChange(move, takes+stageMargin, takes+registrationLag)
	case errors.As(err, &lost):
		// The engine works on until it carries the command out.
		outcome = "unknown"
		f.noteChange(move, 0, stageUnknown)
	default:
		outcome = "refused"
		f.noteChange(move, 0, stageRetry)
	}
	f.metrics.Inc("stage_changes", metrics.L("to", string(move.To)), metrics.L("outcome", outcome))
	f.log.Info("stage change "+outcome, "service", g.service, "server", server.ID, "to", move.To, "cause", err)
}

// noteChange records how long an engine gets no work and no other command, and tells the other hosts.
func (f *Front) noteChange(move stagesplit.Move, idle, open time.Duration) {
	now := f.now()
	f.stages.mu.Lock()
	f.stages.changes[move.Key] = stageChange{to: move.To, idleUntil: now.Add(idle), openUntil: now.Add(open)}
	f.stages.mu.Unlock()
	f.applyUse(now)
	f.exchange.Notify()
}

// commandStage sends the command, if the duty is still held right before it.
func (f *Front) commandStage(ctx context.Context, server fleet.Server, to fleet.Stage) error {
	if err := wait.For(ctx, stageNotice); err != nil {
		return err
	}
	state, err := f.backends.EngineState(ctx, server)
	if err != nil {
		return &platform.NotRunError{Cause: err}
	}
	if state.Commanded || state.Stage == to {
		return &EngineBusyError{State: state}
	}
	fence, held := f.duty.Confirm(ctx)
	if !held {
		return &NotHolderError{}
	}
	return f.backends.ChangeStage(ctx, server, platform.StageCommand{
		Stage: to, Holder: f.settings.Name, Fence: fence, Accepted: state.Accepted,
	})
}
