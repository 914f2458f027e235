package front

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/boragecourse/boragecourse/internal/dispatch"
	"github.com/boragecourse/boragecourse/internal/fleet"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/serverload"
	"github.com/boragecourse/boragecourse/internal/wait"
	"github.com/boragecourse/boragecourse/platform"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// Classes of samples other than the routes of plain requests.
const (
	prefillClass = "/prefill"
	decodeClass  = "/decode"
)

const (
	// decodeSample is the part of a stream whose mean event gap is one sample.
	decodeSample = 250 * time.Millisecond
	// occupancyKnown is how long after the reservation the occupancy of an engine at that time describes it.
	occupancyKnown = time.Second
	// loadInterval is the interval at which metrics of learned servers are set and changed limits are logged.
	loadInterval = time.Second
	// maxObservationAge bounds the age of an observation that another host states.
	maxObservationAge = time.Minute
)

// serverLoad makes a serverload.Model safe for concurrent use. It implements dispatch.Model. It is called with the locks of
// pools held and takes no other lock.
type serverLoad struct {
	mu    sync.Mutex
	model *serverload.Model
}

func newServerLoad() *serverLoad { return &serverLoad{model: serverload.New()} }

// with calls use with the model, which must not be kept.
func (l *serverLoad) with(use func(*serverload.Model)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	use(l.model)
}

// Expected implements dispatch.Model.
func (l *serverLoad) Expected(key string, occupied int, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.model.Expected(key, occupied, now)
}

// Occupied implements dispatch.Model.
func (l *serverLoad) Occupied(key string, counted int, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.model.Occupied(key, counted, now)
}

// Limit implements dispatch.Model.
func (l *serverLoad) Limit(key string, slots int, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.model.Limit(key, slots, now)
}

// Doubtful implements dispatch.Model.
func (l *serverLoad) Doubtful(key string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.model.Doubtful(key, now)
}

// observeLoad is called with the load that a server states in a response.
func (f *Front) observeLoad(server fleet.Server, load platform.LoadReport) {
	f.group(server.Service).load.with(func(m *serverload.Model) {
		m.State(serverKey(server), serverload.Load{
			Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, TimePercent: load.TimePercent, Brief: server.Stage == fleet.NoStage,
		}, f.now())
	})
	f.observeQueue(server, load)
}

// observePlain records the duration of a plain request, from the send to the end of the response. Only complete successful
// responses count: errors are often faster than work, and responses that are relayed while they arrive are as fast as the caller.
func (f *Front) observePlain(x *call, server fleet.Server, occupied int, response *response, took time.Duration) {
	key := serverKey(server)
	x.group.load.with(func(m *serverload.Model) {
		if response.Status >= http.StatusInternalServerError {
			return
		}
		m.RecordSuccess(key, false, f.now())
		if response.Status < http.StatusMultipleChoices && response.rest == nil {
			m.Observe(key, serverload.Sample{Class: x.route.Name, Took: took, Occupied: occupied, Slots: max(server.Slots, 1)}, f.now())
		}
	})
}

// recordDoubt records that a server was not reached, did not respond, or failed a generation, and tells the other hosts at once.
func (f *Front) recordDoubt(x *call, key string) {
	x.group.load.with(func(m *serverload.Model) { m.RecordUnreachable(key, f.now()) })
	f.exchange.Notify()
}

// recordLostResult records that a prefill result was gone, if that is why an engine refused to decode from it.
func (f *Front) recordLostResult(x *call, decode fleet.Server, result *platform.PrefillResult, err error) {
	if result == nil || !resultLost(err) || x.group.heldFor(decode) > 0 {
		return
	}
	f.metrics.Inc("prefill_results_lost", metrics.L("service", x.group.service))
	x.group.load.with(func(m *serverload.Model) { m.RecordLostResult(serverKey(result.Server), f.now()) })
	f.exchange.Notify()
}

// resultLost reports whether an engine has refused a run with a prefill result without being held off.
func resultLost(err error) bool {
	var refused *platform.NotRunError
	return errors.As(err, &refused) && refused.Status == http.StatusServiceUnavailable
}

// recordRunStarted ends the doubts about the engines of a run that has started.
func (f *Front) recordRunStarted(x *call, decodeKey string, result *platform.PrefillResult) {
	x.group.load.with(func(m *serverload.Model) {
		m.RecordSuccess(decodeKey, false, f.now())
		if result != nil {
			m.RecordSuccess(serverKey(result.Server), true, f.now())
		}
	})
}

// steadyTime returns the time that work takes at a server over some seconds, relative to an ordinary one.
func (f *Front) steadyTime(key string) float64 {
	now := f.now()
	for _, g := range f.allGroups() {
		relative := 1.0
		g.load.with(func(m *serverload.Model) { relative = m.Steady(key, now) })
		if relative != 1 {
			return relative
		}
	}
	return 1
}

// fillObservations sets what this host has learned of servers in a report to other hosts.
func (f *Front) fillObservations(r *peerv1.FrontReport) {
	now := f.now()
	r.Observations = &peerv1.ServerObservations{}
	var all []serverload.Observation
	for _, g := range f.allGroups() {
		g.load.with(func(m *serverload.Model) { all = append(all, m.Observations(now)...) })
	}
	for _, o := range serverload.MostImportant(all) {
		r.Observations.Servers = append(r.Observations.Servers, &peerv1.ServerObservation{
			Server: o.Server, AtMillis: o.At.Sub(f.startedAt).Milliseconds(), TimePercent: int32(o.TimePercent), Limit: int32(o.Limit),
			Unreachable: o.Unreachable, LosesResults: o.LosesResults,
		})
	}
}

// receiveObservations records what another host has learned of servers.
func (f *Front) receiveObservations(r *peerv1.FrontReport, now time.Time) {
	observations := make([]serverload.Observation, 0, len(r.Observations.Servers))
	for _, o := range r.Observations.Servers {
		age := min(max(r.UptimeMillis-o.AtMillis, 0), maxObservationAge.Milliseconds())
		observations = append(observations, serverload.Observation{
			Server: o.Server, At: now.Add(-time.Duration(age) * time.Millisecond), TimePercent: int(o.TimePercent), Limit: int(o.Limit),
			Unreachable: o.Unreachable, LosesResults: o.LosesResults,
		})
	}
	for _, g := range f.allGroups() {
		g.load.with(func(m *serverload.Model) { m.Receive(r.Incarnation, observations, now) })
	}
}

// queuePrompt records that a prompt is sent to a prefill engine. The returned function records its end.
func (f *Front) queuePrompt(x *call, key string) (done func()) {
	tokens := x.request.Tokens.Prompt
	x.group.load.with(func(m *serverload.Model) { m.Queue(key, tokens) })
	return func() { x.group.load.with(func(m *serverload.Model) { m.Dequeue(key, tokens) }) }
}

// observePrefill records the duration of a prefill by the token, with the tokens of the other prompts at the engine. It must
// be called before the end of the prompt is recorded.
func (f *Front) observePrefill(x *call, grant *dispatch.Grant, took time.Duration) {
	x.group.load.with(func(m *serverload.Model) {
		now := f.now()
		m.RecordSuccess(grant.Key, false, now)
		prompts := m.Occupied(grant.Key, grant.Occupied, now)
		if prompts >= 1 && x.request.Tokens.Prompt > 0 {
			m.Observe(grant.Key, serverload.Sample{Class: prefillClass, Took: time.Duration(float64(took) / prompts)}, now)
		}
	})
}

// decodeSampler measures the time by the token of a run, from the time between its events.
type decodeSampler struct {
	reservation *reservation
	since       time.Time
	events      int
	// writing is the time that was spent on writing to the caller since then.
	writing time.Duration
}

// event records that an event of a run is received, the last of events.
func (d *decodeSampler) event(f *Front, x *call, events int) {
	now := f.now()
	took := now.Sub(d.since)
	switch {
	case d.since.IsZero():
	case took < decodeSample:
		return
	case d.writing > took/10:
		// The engine may have waited for the caller.
	default:
		sample := serverload.Sample{Class: decodeClass, Took: took / time.Duration(max(int64(events-d.events)*f.tokensPerEvent(x), 1))}
		if p := d.reservation; now.Sub(p.madeAt) < occupancyKnown {
			sample.Occupied, sample.Slots, sample.Certain = p.grant.Occupied, p.grant.Slots, true
		}
		x.group.load.with(func(m *serverload.Model) { m.Observe(d.reservation.grant.Key, sample, now) })
	}
	d.since, d.events, d.writing = now, events, 0
}

// write records that an event is written to the caller. The returned function records the end.
func (d *decodeSampler) write(f *Front) (done func()) {
	began := f.now()
	return func() { d.writing += f.now().Sub(began) }
}

// maxLoadSeries bounds the servers for which metrics of the learned load are kept. Servers that are replaced leave theirs
// behind.
const maxLoadSeries = 1024

// publishLoad sets the metrics of learned servers and logs limits that have moved by more than a factor of two.
func (f *Front) publishLoad(ctx context.Context) error {
	series, logged := map[string]bool{}, map[string]int{}
	for wait.For(ctx, loadInterval) == nil {
		now := f.now()
		limits := map[string]int{}
		for _, g := range f.allGroups() {
			var summaries []serverload.Summary
			g.load.with(func(m *serverload.Model) { summaries = m.Summaries(now) })
			for _, s := range summaries {
				if series[s.Server] || len(series) < maxLoadSeries {
					series[s.Server] = true
					f.setLoadMetrics(s)
				}
				limits[s.Server] = f.logLimit(g.service, s, logged[s.Server])
			}
		}
		logged = limits
	}
	return ctx.Err()
}

func (f *Front) setLoadMetrics(s serverload.Summary) {
	server := metrics.L("server", s.Server)
	f.metrics.Set("server_time_percent", int64(s.TimePercent), server)
	f.metrics.Set("server_limit", int64(s.Limit), server)
	f.metrics.Set("server_time_age_ms", s.Age.Milliseconds(), server)
	f.metrics.Set("server_time_cause", int64(s.Cause), server)
}

// logLimit logs the learned limit of a server if it differs by more than a factor of two from the one logged before, and
// returns the one logged last. A limit that is not known counts as all slots.
func (f *Front) logLimit(service string, s serverload.Summary, before int) int {
	limit := s.Limit
	if limit == 0 {
		limit = s.Slots
	}
	if before == 0 {
		before = s.Slots
	}
	if limit > 2*before || before > 2*limit {
		f.log.Info("concurrency limit of backend server changed", "server", s.Server, "service", service, "limit", limit, "before", before,
			"slots", s.Slots, "timePercent", s.TimePercent)
		return limit
	}
	return before
}
