package front

import (
	"context"
	"errors"
	"maps"
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
	// prefillEstimate is the time from the grant of a slot to the first event if the prompt does not wait for a prefill
	// engine. A stream that gets its slot later than its latency objective minus this time misses the objective.
	prefillEstimate = 300 * time.Millisecond
	// lateWait is how long a stream that can no longer meet its objective waits for a slot.
	lateWait = 3 * time.Second
	// reservationTTL is how long a decode engine keeps a reservation while the prefill runs.
	reservationTTL = 1500 * time.Millisecond
	// A prefill times out after prefillLimit plus prefillLimitPerToken for each prompt token. prefillLimitPerToken is
	// ten times the usual time per token.
	prefillLimit         = 700 * time.Millisecond
	prefillLimitPerToken = 180 * time.Microsecond
	// prefillWait is how long a prompt waits for a prefill engine. It is about the time that a decode engine takes to
	// process the prompt itself, so a longer wait gains nothing.
	prefillWait = 400 * time.Millisecond
	// replacementWait is how long a stream whose prompt has been processed waits at least for a slot at another decode
	// engine.
	replacementWait = time.Second
	// releaseTimeout bounds the calls that free memory at engines after a request has ended.
	releaseTimeout = 2 * time.Second
)

// reservation is a reserved slot and reserved KV memory at a decode engine.
type reservation struct {
	grant         *dispatch.Grant
	server        fleet.Server
	reservationID string
	run           *run
	madeAt        time.Time
	// record is the record of the stream's software version if that must be in the store before the first event, or nil. recorded is
	// set once it is.
	record   *awaitedRecord
	recorded bool
}

// free releases the slot and the memory in this host's accounting. The engine itself is not called; see
// releaseReservation.
func (p *reservation) free(f *Front) {
	f.runTable.end(p.run)
	p.grant.Release()
	f.exchange.Notify()
}

// forwardGeneration reserves a slot at a decode engine, has a prefill engine process the prompt, and streams the events
// from the decode engine. After a failure it resumes at another decode engine if the route, the attempts and the retry
// budget allow it.
func (f *Front) forwardGeneration(ctx context.Context, x *call) error {
	if err := f.resumeVersion(ctx, x); err != nil {
		return err
	}
	s := &stream{front: f, x: x, lastEvent: x.request.LastEventID}
	complete := false
	defer func() {
		if s.ended != nil {
			s.ended(complete)
		}
	}()
	f.countArrival(x)
	excluded := map[string]bool{}
	runs := 0
	for {
		before := s.events
		key, err := f.runGeneration(ctx, x, s, excluded, runs)
		if err == nil {
			complete = true
			return nil
		}
		if key == "" || ctx.Err() != nil {
			return err
		}
		if !notExecuted(err) {
			runs++
		}
		if s.unnumbered {
			return &RetriesExhaustedError{Reason: "no event id", Cause: err}
		}
		if reason := f.retryRefused(x, err, runs); reason != "" {
			return &RetriesExhaustedError{Reason: reason, Cause: err}
		}
		excluded[key] = true
		f.metrics.Inc("repeats", metrics.L("service", x.group.service), metrics.L("reason", retryReason(err)))
		// Logged before the next attempt, which may still fail.
		f.log.Info("stream goes on at another backend server", "request", x.request.ID, "from", key, "events", s.events,
			"sinceLast", s.events-before, "cause", err)
	}
}

// runReplaceable reports whether a run that sends nothing may be canceled, after earlier runs, because another one can go on
// with the stream. An engine that is silent may still be at work, so without another run the stream would be lost for nothing. After
// the last token there is nothing that another run could send.
func (f *Front) runReplaceable(x *call, r *run, earlier int) bool {
	if declared := x.request.Tokens.MaxOutput; declared > 0 && f.runTable.generated(r) >= declared {
		return false
	}
	return x.route.Repeatable() && earlier+1 < x.route.Attempts && !f.draining.Load() &&
		f.now().Add(responseMargin).Before(x.deadline) && x.group.retryAvailable(f.hosts())
}

// runGeneration makes one attempt after earlier ones, from the reservation to the end of the stream. It returns the key of the decode
// engine, which is empty when the request must not be retried: no slot was reserved, or ctx ended before decode began.
func (f *Front) runGeneration(ctx context.Context, x *call, s *stream, excluded map[string]bool, runs int) (string, error) {
	p, result, err := f.prepare(ctx, x, excluded, s.lastEvent)
	if err != nil {
		return "", err
	}
	defer p.free(f)
	x.trace.server = p.server.ID
	// The watch may still read its copy when excluded changes.
	tried := maps.Clone(excluded)
	tried[p.grant.Key] = true
	ctx, watch := watchStall(ctx, stallLimit(x.route), func() bool {
		return f.runReplaceable(x, p.run, runs) && x.group.decode.HasFree(p.server.Software, tried)
	})
	defer watch.stop()
	s.firstEventAt = time.Time{}
	response, err := f.run(ctx, x, platform.BackendCall{
		Request: x.request, Server: p.server, TimeLeft: x.deadline.Sub(f.now()), Workspace: x.workspaceName(),
		LastEventID: s.lastEvent, ReservationID: p.reservationID, Result: result, Repeatable: x.route.Repeatable(), Urgency: f.urgency(x),
	})
	if err != nil {
		f.recordFailure(ctx, x, p.grant.Key, err)
		f.recordBrokenRun(ctx, x, s, p.grant.Key, err)
		f.recordLostResult(x, p.server, result, err)
		f.releaseReservation(p)
		f.dropResult(result)
		return p.grant.Key, err
	}
	if response.Status != http.StatusOK {
		f.recordResponse(x, p.grant.Key, response.Status)
		return p.grant.Key, f.relayEngineError(ctx, x, response, &platform.StatusError{Status: response.Status})
	}
	if err := checkEventStream(response); err != nil {
		f.recordFailure(ctx, x, p.grant.Key, err)
		return p.grant.Key, f.relayEngineError(ctx, x, response, err)
	}
	f.recordRunStarted(x, p.grant.Key, result)
	s.software, s.recorded = p.server.Software, p.recorded
	s.run, s.runStartedAt, s.watch, s.sample = p.run, f.now(), watch, decodeSampler{reservation: p}
	before := s.events
	err = s.relay(ctx, response)
	if err != nil {
		var undelivered *DeliveryError
		if !errors.As(err, &undelivered) {
			f.recordFailure(ctx, x, p.grant.Key, err)
			f.recordBrokenRun(ctx, x, s, p.grant.Key, err)
		}
		return p.grant.Key, err
	}
	x.group.observe(p.grant.Key, outlier.Succeeded)
	if s.events > before {
		f.quarantine.recordSurvival(x.request.SharedParts)
	}
	perEvent := f.tokensPerEvent(x)
	x.group.count(func(t *stagesplit.Totals) {
		t.SlotTime += f.now().Sub(p.madeAt)
		t.SlotTokens += int64(s.events-before) * perEvent
	})
	f.runTable.recordFinished(p.grant.Key, int64(s.events)*perEvent, int64(s.events-before)*perEvent, f.now().Sub(s.runStartedAt))
	return p.grant.Key, nil
}

// prepare reserves a slot at a decode engine and has the prompt processed. A prefill can take longer than a leaving engine
// serves new requests, so the reservation is replaced if its engine is not usable any more, or the version of the stream could not be
// recorded meanwhile.
func (f *Front) prepare(ctx context.Context, x *call, excluded map[string]bool, lastEvent string) (*reservation, *platform.PrefillResult, error) {
	p, err := f.reserve(ctx, x, f.versionToBegin(x, excluded), excluded, f.latestStart(x))
	if err != nil {
		return nil, nil, err
	}
	f.recordFirst(x, p)
	result, err := f.prefillUnlessQuarantined(ctx, x, lastEvent, p.server)
	for err == nil {
		var recorded bool
		if recorded, err = f.awaitRecord(ctx, x, p, excluded); err != nil {
			break
		}
		usable := x.group.usable(p.server)
		if recorded && usable {
			return p, result, nil
		}
		f.metrics.Inc("reservations_replaced", metrics.L("service", x.group.service))
		f.log.Info("reservation replaced", "request", x.request.ID, "server", p.server.ID, "usable", usable, "recorded", recorded,
			"age", ms(f.now().Sub(p.madeAt)))
		f.cancelReservation(p)
		software := f.versionToBegin(x, excluded)
		if software == "" && result != nil && x.group.decode.HasOther(result.Server.Software, excluded) {
			software = result.Server.Software
		}
		p, err = f.reserve(ctx, x, software, excluded, f.latestReplacement(x))
		if err == nil && result != nil && result.Server.Software != p.server.Software {
			f.dropResult(result)
			result = nil
		}
		if err == nil {
			f.recordFirst(x, p)
			err = f.refuseQuarantined(x)
		}
	}
	if p != nil {
		f.cancelReservation(p)
	}
	f.dropResult(result)
	return nil, nil, err
}

// prefillUnlessQuarantined returns the result of prefill, or an error when ctx has ended or a part of the prompt has been
// quarantined while the request waited.
func (f *Front) prefillUnlessQuarantined(ctx context.Context, x *call, lastEvent string, decode fleet.Server) (*platform.PrefillResult, error) {
	if err := f.refuseQuarantined(x); err != nil {
		return nil, err
	}
	result := f.prefill(ctx, x, lastEvent, decode)
	err := context.Cause(ctx)
	if err == nil {
		err = f.refuseQuarantined(x)
	}
	if err != nil {
		f.dropResult(result)
		return nil, err
	}
	return result, nil
}

// tokensPerEvent returns the number of output tokens in one event of the stream, 1 when it is not configured.
func (f *Front) tokensPerEvent(x *call) int64 {
	if e := f.engineOf(x); e != nil {
		return e.TokensPerEvent
	}
	return 1
}

// engineOf returns the configured description of the engines that serve the request, or nil.
func (f *Front) engineOf(x *call) *fleet.Engine {
	if s := x.config.Services[x.group.service]; s != nil {
		return s.Engine
	}
	return nil
}

// reserve waits until startBy for a slot at a decode engine of a software version, or of any if it is empty, and reserves KV memory for
// the prompt there. It tries the next engine when one refuses the reservation.
func (f *Front) reserve(ctx context.Context, x *call, software string, excluded map[string]bool, startBy time.Time) (*reservation, error) {
	r, capacity := f.newRun(x), f.kvCapacity(x)
	job := f.decodeJob(x, r.Output, excluded, startBy)
	job.Software = software
	job.Reserve = func(key string) bool { return f.runTable.add(r, key, capacity) }
	job.Unreserve = func(string) { f.runTable.end(r) }
	job = f.withinServerBytes(x, job)
	for {
		grant, err := x.group.decode.Acquire(ctx, job)
		if err != nil {
			return nil, err
		}
		f.exchange.Notify()
		x.trace.waited = f.now().Sub(x.request.Arrived)
		server, known := x.group.server(grant.Key)
		if !known || !x.group.usable(server) {
			f.runTable.end(r)
			grant.ReleaseRejected()
			continue
		}
		// Only the prompt is reserved: a larger reservation makes the engine preempt running streams. The memory that the
		// output will need is accounted for by the forecast in runTable.add.
		reservationID, err := f.backends.TakeReservation(ctx, server, x.request.Tokens.Prompt, reservationTTL)
		if err == nil {
			return &reservation{grant: grant, server: server, reservationID: reservationID, run: r, madeAt: f.now()}, nil
		}
		f.runTable.end(r)
		if ctx.Err() != nil {
			grant.Release()
			return nil, context.Cause(ctx)
		}
		grant.ReleaseRejected()
		f.metrics.Inc("holds_refused", metrics.L("reason", reservationReason(err)))
		f.log.Info("reservation refused", "request", x.request.ID, "server", server.ID, "occupied", grant.Occupied,
			"slots", grant.Slots, "cause", err)
		var full *platform.NoCapacityError
		if !errors.As(err, &full) {
			f.recordFailure(ctx, x, grant.Key, err)
		}
	}
}

// newRun returns the run of a generation, which is not placed yet.
func (f *Front) newRun(x *call) *run {
	return &run{Run: kvmemory.Run{Prompt: x.request.Tokens.Prompt, Output: f.runTable.forecast(x.request.LengthHint, x.request.Tokens.MaxOutput)}}
}

// kvCapacity returns the KV memory of the engines that serve the request, in tokens; 0 if it is not known.
func (f *Front) kvCapacity(x *call) int64 {
	if e := f.engineOf(x); e != nil {
		return e.KVCapacity
	}
	return 0
}

// decodeJob returns the job of a generation at a decode engine, without the reservation of KV memory.
func (f *Front) decodeJob(x *call, output kvmemory.Output, excluded map[string]bool, startBy time.Time) dispatch.Job {
	rank, _ := f.rank(x)
	job := dispatch.Job{ID: x.request.ID, Begun: x.accepted, Rank: rank, Value: f.value(x, output), StartBy: startBy, Exclude: excluded, Software: x.software}
	if capacity := f.kvCapacity(x); capacity > 0 {
		job.Occupancy = func(key string) float64 { return f.runTable.occupancy(key, capacity) }
	}
	return job
}

// prefillJob returns the job of a prompt at a prefill engine for a decode engine. The KV cache of another software version does not
// fit the decode engine.
func (f *Front) prefillJob(x *call, excluded map[string]bool, decode fleet.Server, repeated bool) dispatch.Job {
	rank, _ := f.rank(x)
	return dispatch.Job{
		ID: x.request.ID, Begun: x.accepted, Rank: rank, StartBy: f.latestPrefill(x), Exclude: excluded, Zone: decode.Zone,
		Software: decode.Software, Affinity: uint64(x.request.OwnPart), Repeated: repeated,
	}
}

func reservationReason(err error) string {
	var full *platform.NoCapacityError
	if errors.As(err, &full) {
		return "full"
	}
	return retryReason(err)
}

// latestStart returns the time until which a stream may wait for its slot. A stream that can still meet its latency
// objective waits no longer than the objective allows.
func (f *Front) latestStart(x *call) time.Time {
	if x.accepted || x.route.LatencyObjective <= 0 {
		return x.deadline
	}
	if f.isLate(x) {
		return x.request.Arrived.Add(lateWait)
	}
	return x.request.Arrived.Add(max(x.route.LatencyObjective-prefillEstimate, x.route.LatencyObjective/3))
}

// latestReplacement returns the time until which a stream whose prompt has been processed may wait for another slot.
func (f *Front) latestReplacement(x *call) time.Time {
	latest := f.latestStart(x)
	if t := f.now().Add(replacementWait); t.After(latest) {
		latest = t
	}
	if latest.After(x.deadline) {
		return x.deadline
	}
	return latest
}

// value returns the priority of a stream in the queue for slots: its benefit per unit of decode time. The benefit
// depends only on whether the stream can still meet its objective, since the declared sizes hardly differ between
// requests. The decode time is estimated from the forecast output length.
func (f *Front) value(x *call, output kvmemory.Output) float64 {
	if x.accepted {
		// A stream that has begun takes precedence over those that have not.
		return maxValue
	}
	benefit := 1.0
	// A stream that its caller resumes is late, too, but without it what the caller has got before is lost as well.
	if f.isLate(x) && !x.request.Resumed() {
		benefit = lateBenefit
	}
	return benefit / (output.Median() + slotSetupTokens)
}

// isLate reports whether a request can no longer meet its latency objective because it is the caller's retry after a
// refusal. Such a retry has a shorter deadline than the route allows.
func (f *Front) isLate(x *call) bool {
	return x.request.CallerTimeout > 0 && float64(x.request.CallerTimeout) < firstAttemptShare*float64(x.route.Timeout)
}

const (
	// lateBenefit is the benefit of a late response relative to that of a response on time. It includes the benefit of
	// not refusing the caller a second time.
	lateBenefit = 0.5
	// slotSetupTokens is the time for which a stream holds its slot before the first token, expressed as the number of
	// output tokens that the slot could generate in that time.
	slotSetupTokens = 300
	maxValue        = 1e12
	// firstAttemptShare is the smallest fraction of the route's time-out for which callers wait on their first attempt.
	firstAttemptShare = 0.85
)

// prefill sends the prompt to a prefill engine of the software version of the decode engine, preferably in its zone, and returns the location of
// the result. It returns nil when no prefill engine processes the prompt in time or the retry budget is used up. The decode
// engine then processes the prompt itself, which is slower.
func (f *Front) prefill(ctx context.Context, x *call, lastEvent string, decode fleet.Server) *platform.PrefillResult {
	excluded := map[string]bool{}
	ledger := &prefillLedger{group: x.group, hosts: f.hosts(), repeated: x.prefilled}
	defer ledger.refund()
	for {
		repeated := x.prefilled || lastEvent != "" || f.isLate(x)
		if repeated {
			f.metrics.Inc("prompts_repeated", metrics.L("service", x.group.service))
		}
		grant, err := x.group.prefill.Acquire(ctx, f.withinServerBytes(x, f.prefillJob(x, excluded, decode, repeated)))
		if err != nil {
			return f.prefillSkipped(x, "no-engine", err)
		}
		if !ledger.allow(grant.Key) {
			grant.Release()
			excluded[grant.Key] = true
			if ledger.first() && !x.group.manyPrefillsRefused() && x.group.prefill.HasOther(decode.Software, excluded) {
				continue
			}
			f.metrics.Inc("repeats_refused", metrics.L("service", x.group.service))
			return f.prefillSkipped(x, "budget", nil)
		}
		result, err := f.prefillAt(ctx, x, grant, lastEvent)
		ledger.record(ctx, grant.Key, err)
		var notRun *platform.NotRunError
		x.prefilled = x.prefilled || !errors.As(err, &notRun)
		if err == nil {
			return result
		}
		if ctx.Err() != nil {
			return nil
		}
		excluded[grant.Key] = true
		f.metrics.Inc("prefill_repeats", metrics.L("service", x.group.service), metrics.L("reason", retryReason(err)))
		f.log.Info("prefill failed", "request", x.request.ID, "server", grant.Key, "cause", err)
		if !x.group.prefill.HasOther(decode.Software, excluded) {
			return f.prefillSkipped(x, "no-engine", nil)
		}
	}
}

// prefillSkipped counts and logs that the decode engine processes the prompt itself. It returns nil.
func (f *Front) prefillSkipped(x *call, reason string, err error) *platform.PrefillResult {
	f.metrics.Inc("prefills_left_out", metrics.L("service", x.group.service), metrics.L("reason", reason))
	f.log.Info("decode engine processes the prompt", "request", x.request.ID, "reason", reason, "cause", err)
	return nil
}

// latestPrefill returns the time until which a prompt may wait for a prefill engine. prefillWait is shorter than
// reservationTTL, so the reservation at the decode engine outlasts the wait.
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
	if !known || !x.group.usable(server) {
		return nil, &platform.NotRunError{Cause: &StaleServerError{Key: grant.Key}}
	}
	x.trace.prefill = server.ID
	requestedAt := f.now()
	defer f.queuePrompt(x, grant.Key)()
	ctx, watch := watchStall(ctx, prefillLimit+time.Duration(x.request.Tokens.Prompt)*prefillLimitPerToken, func() bool { return true })
	defer watch.stop()
	call := platform.BackendCall{
		Request: x.request, Server: server, TimeLeft: x.deadline.Sub(f.now()), Workspace: x.workspaceName(), LastEventID: lastEvent,
		Repeatable: true, NewConnection: x.sentBefore(server), Urgency: f.urgency(x),
	}
	result, err := f.backends.Prefill(ctx, call)
	if platform.IsDroppedConnection(err) && ctx.Err() == nil && x.group.usable(server) && f.mayRetry(x) {
		call.NewConnection = true
		result, err = f.backends.Prefill(ctx, call)
	}
	if err != nil {
		f.recordFailure(ctx, x, grant.Key, err)
		return nil, err
	}
	x.group.observe(grant.Key, outlier.Succeeded)
	f.observePrefill(x, grant, f.now().Sub(requestedAt))
	if grant.Occupied == 1 {
		x.group.count(func(t *stagesplit.Totals) {
			t.PrefillTime += f.now().Sub(requestedAt)
			t.PrefillTokens += x.request.Tokens.Prompt
		})
	}
	return result, nil
}

// relayEngineError relays an engine's response that is not a stream of events, for the given reason, to the caller. It
// returns *platform.OutcomeUnknownError instead when the stream has begun or the request may be retried.
func (f *Front) relayEngineError(ctx context.Context, x *call, a *platform.Response, reason error) error {
	read, err := readResponse(x, a)
	if err != nil {
		return err
	}
	if x.started || x.route.Repeatable() {
		read.drop(x)
		return &platform.OutcomeUnknownError{Cause: reason}
	}
	return f.writeResponse(ctx, x, read)
}

// releaseReservation frees an unused reservation at the engine. A decode call that did not run does not free it.
func (f *Front) releaseReservation(p *reservation) {
	f.release(func(ctx context.Context) error { return f.backends.ReleaseReservation(ctx, p.server, p.reservationID) }, "hold", p.server)
}

// cancelReservation releases an unused reservation at the engine and in this host's accounting.
func (f *Front) cancelReservation(p *reservation) {
	f.releaseReservation(p)
	p.free(f)
}

// dropResult frees a prefill result that was not used. r is nil when the prefill was skipped.
func (f *Front) dropResult(r *platform.PrefillResult) {
	if r == nil {
		return
	}
	f.release(func(ctx context.Context) error { return f.backends.ReleasePrefillResult(ctx, r) }, "prefill result", r.Server)
}

// release frees memory at an engine in the background. If the call fails, or the engine is held off or evacuated, the engine frees
// the memory when it expires.
func (f *Front) release(call func(context.Context) error, what string, server fleet.Server) {
	if f.group(server.Service).heldFor(server) > 0 || f.state.ZoneEvacuated(server.Zone) {
		f.metrics.Inc("releases_left_out")
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if err := call(ctx); neverSent(err) {
			f.metrics.Inc("releases_left_out")
		} else if err != nil {
			f.metrics.Inc("releases_failed")
			f.log.Error(err, "failed to release memory at engine", "what", what, "server", server.ID)
		}
	}()
}
