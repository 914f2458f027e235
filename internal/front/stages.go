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
	// stageInterval is the interval at which the split of a service's engines is evaluated.
	stageInterval = time.Second
	// stageNotice is how long the other hosts have to stop using an engine before the command is sent to it. It covers
	// a few reports that pass through a relay.
	stageNotice = 300 * time.Millisecond
	// stageMargin is added to the configured duration of a stage change.
	stageMargin = 500 * time.Millisecond
	// registrationLag is how long after a change the engine's registration may still show the old stage.
	registrationLag = 4 * time.Second
	// stageRetry is the back-off after an engine refused a command.
	stageRetry = 5 * time.Second
	// stageUnknown is how long a command without a response may still take effect.
	stageUnknown = 15 * time.Second
)

// stages holds the state for rebalancing engines between prefill and decode. Only the leader, the one host that may send
// commands to engines, changes the split.
type stages struct {
	mu       sync.Mutex
	services map[string]*serviceStages
	changes  map[string]stageChange
}

// stageChange is a command that may still be in progress.
type stageChange struct {
	to fleet.Stage
	// The engine gets no work before idleUntil and no further command before commandAfter.
	idleUntil, commandAfter time.Time
}

type serviceStages struct {
	meter    stagesplit.Meter
	splitter stagesplit.Splitter
}

func newStages() *stages {
	return &stages{services: map[string]*serviceStages{}, changes: map[string]stageChange{}}
}

// countArrival adds a generation and its forecast size to the load counters.
func (f *Front) countArrival(x *call) {
	output := f.runTable.forecast(x.request.LengthHint, x.request.Tokens.MaxOutput)
	x.group.count(func(t *stagesplit.Totals) {
		t.Arrived++
		t.Prompt += x.request.Tokens.Prompt
		t.Output += int64(output.Median())
	})
}

// fill sets the load counters and the engines in a stage change in a report to other hosts.
func (s *stages) fill(r *peerv1.FrontReport, groups []*group) {
	r.Generations = map[string]*peerv1.GenerationTotals{}
	for _, g := range groups {
		if t := g.loadTotals(); t.Arrived > 0 {
			r.Generations[g.service] = encodeTotals(t)
		}
	}
	r.ChangingStage = map[string]int64{}
	now := time.Now()
	for key, at := range s.idleEngines(now) {
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

// idleEngines returns the engines that get no work because this host has commanded them to change their stage, with the
// time until which they get none. It also removes changes that have ended.
func (s *stages) idleEngines(now time.Time) map[string]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.changes, func(_ string, c stageChange) bool { return !now.Before(c.idleUntil) && !now.Before(c.commandAfter) })
	idle := map[string]time.Time{}
	for key, c := range s.changes {
		if now.Before(c.idleUntil) {
			idle[key] = c.idleUntil
		}
	}
	return idle
}

// withTargetStages sets the stage of each engine with a change in progress to the stage that it changes to.
func (s *stages) withTargetStages(engines []stagesplit.Engine) []stagesplit.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range engines {
		if c, changing := s.changes[engines[i].Key]; changing {
			engines[i].Stage = c.to
		}
	}
	return engines
}

// stageService returns the supervised service that rebalances the engines' stages.
func (f *Front) stageService() suture.Service { return serviceFunc(f.rebalanceStages) }

type serviceFunc func(ctx context.Context) error

// Serve implements suture.Service.
func (s serviceFunc) Serve(ctx context.Context) error { return s(ctx) }

func (f *Front) rebalanceStages(ctx context.Context) error {
	for wait.For(ctx, stageInterval) == nil {
		config := f.state.Configuration()
		if config == nil || f.draining.Load() {
			continue
		}
		for _, g := range f.allGroups() {
			if s := config.Services[g.service]; s != nil && s.Engine != nil && s.Engine.StageChange > 0 {
				f.rebalance(ctx, g, s.Engine)
			}
		}
	}
	return ctx.Err()
}

// rebalance measures the load of a service and, on the leader, moves at most one engine to the other stage. Every host
// measures, so that a new leader already has samples.
func (f *Front) rebalance(ctx context.Context, g *group, e *fleet.Engine) {
	now := f.now()
	s := f.stages.service(g.service)
	s.meter.Record(f.generationTotals(g), now)
	if !f.leader.IsLeader() {
		return
	}
	engines := f.stages.withTargetStages(g.engines())
	load := s.meter.Load(e.Slots, e.KVCapacity)
	var group sync.WaitGroup
	for range stagesplit.MaxMoves(len(engines)) {
		move, ok := s.splitter.Next(engines, load, now)
		if !ok {
			break
		}
		f.decideMove(g, s, move, load, now)
		for i := range engines {
			if engines[i].Key == move.Key {
				engines[i].Stage = move.To
			}
		}
		group.Go(func() { f.moveEngine(ctx, g, move, e.StageChange) })
	}
	group.Wait()
}

func (f *Front) decideMove(g *group, s *serviceStages, move stagesplit.Move, load stagesplit.Load, now time.Time) {
	f.log.Info("stage change decided", "service", g.service, "server", move.Key, "to", move.To, "before", move.Before, "after", move.After,
		"perSecond", load.ArrivalRate, "prefillTime", ms(load.Prefill), "decodeTime", ms(load.Decode), "concurrency", load.Concurrency, "samples", load.Samples)
	s.splitter.RecordMove(move, now)
}

func (s *stages) service(name string) *serviceStages {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.services[name] == nil {
		s.services[name] = &serviceStages{}
	}
	return s.services[name]
}

// generationTotals returns the load counters of a service by the incarnation of the host.
func (f *Front) generationTotals(g *group) map[uint64]stagesplit.Totals {
	totals := map[uint64]stagesplit.Totals{f.incarnation: g.loadTotals()}
	f.reportsMu.Lock()
	defer f.reportsMu.Unlock()
	now := f.now()
	for incarnation, report := range f.reports {
		if now.Sub(report.at) > useTTL {
			continue
		}
		// A host without counters for the service counts as zero.
		totals[incarnation] = decodeTotals(report.loadTotals[g.service])
	}
	return totals
}

// moveEngine announces the change, so that all hosts stop sending work to the engine, and then commands the engine.
func (f *Front) moveEngine(ctx context.Context, g *group, move stagesplit.Move, changeTime time.Duration) {
	server, known := g.server(move.Key)
	if !known || !g.usable(server) {
		return
	}
	f.recordChange(move, stageNotice+changeTime+stageMargin, stageNotice+changeTime+stageMargin)
	err := f.commandStage(ctx, g, server, move.To)
	var lost *platform.OutcomeUnknownError
	outcome := "accepted"
	switch {
	case err == nil:
		f.recordChange(move, changeTime+stageMargin, changeTime+registrationLag)
	case errors.As(err, &lost):
		// The engine keeps working until it executes the command, so it stays in use.
		outcome = "unknown"
		f.recordChange(move, 0, stageUnknown)
	default:
		outcome = "refused"
		f.recordChange(move, 0, stageRetry)
	}
	f.metrics.Inc("stage_changes", metrics.L("to", string(move.To)), metrics.L("outcome", outcome))
	f.log.Info("stage change "+outcome, "service", g.service, "server", server.ID, "to", move.To, "cause", err)
}

// recordChange records for how long an engine gets no work and for how long it gets no further command, and triggers a
// report to the other hosts.
func (f *Front) recordChange(move stagesplit.Move, noWork, noCommand time.Duration) {
	now := f.now()
	f.stages.mu.Lock()
	f.stages.changes[move.Key] = stageChange{to: move.To, idleUntil: now.Add(noWork), commandAfter: now.Add(noCommand)}
	f.stages.mu.Unlock()
	f.applyPeerUse(now)
	f.exchange.Notify()
}

// commandStage waits for stageNotice and sends the command if the engine is free and leadership is confirmed immediately
// before. The fencing token lets the engine reject the command of a former leader. After each wait the engine may have become
// unusable, for example because its zone was evacuated.
func (f *Front) commandStage(ctx context.Context, g *group, server fleet.Server, to fleet.Stage) error {
	if err := wait.For(ctx, stageNotice); err != nil {
		return err
	}
	stale := &platform.NotRunError{Cause: &StaleServerError{Key: serverKey(server)}}
	if !g.usable(server) {
		return stale
	}
	state, err := f.backends.EngineState(ctx, server)
	if err != nil {
		return &platform.NotRunError{Cause: err}
	}
	if state.Commanded || state.Stage == to {
		return &EngineBusyError{State: state}
	}
	fence, held := f.leader.ConfirmLeadership(ctx)
	if !held {
		return &NotLeaderError{}
	}
	if !g.usable(server) {
		return stale
	}
	return f.backends.ChangeStage(ctx, server, platform.StageCommand{
		Stage: to, Leader: f.settings.Name, FencingToken: fence, ExpectedAccepted: state.Accepted,
	})
}
