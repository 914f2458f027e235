package front

import (
	"cmp"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/boragecourse/boragecourse/internal/dispatch"
	"github.com/boragecourse/boragecourse/internal/explain"
	"github.com/boragecourse/boragecourse/internal/fleet"
	"github.com/boragecourse/boragecourse/internal/registry"
)

const (
	// explainBodyLimit bounds the body of a request for an explanation, in bytes.
	explainBodyLimit = 64 << 10
	// maxExplaining is the number of explanations at a time. A host has as little as 0.14 of a core, which is for callers.
	maxExplaining = 2
	// explainReadTime and explainWriteTime bound the time for which a client that sends or reads slowly keeps others from getting
	// an explanation.
	explainReadTime  = time.Second
	explainWriteTime = 3 * time.Second
)

// explainRoute answers where a request would go now, and why.
func (f *Front) explainRoute(w http.ResponseWriter, r *http.Request) {
	defer f.explaining.Add(-1)
	if f.explaining.Add(1) > maxExplaining {
		f.writeExplained(w, http.StatusTooManyRequests, &explain.RouteError{Code: "busy", Message: "too many explanations at a time"})
		return
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(explainReadTime))
	_ = control.SetWriteDeadline(time.Now().Add(explainReadTime + explainWriteTime))
	question := explain.RouteRequest{}
	in := json.NewDecoder(http.MaxBytesReader(w, r.Body, explainBodyLimit))
	in.DisallowUnknownFields()
	if err := in.Decode(&question); err != nil {
		f.writeExplained(w, http.StatusBadRequest, bodyError(err))
		return
	}
	x := &call{config: f.state.Configuration()}
	if err := f.refuseUnconfigured(x); err != nil {
		refusal := f.refusalOf(x, err)
		f.writeExplained(w, refusal.Status, &explain.RouteError{Code: refusal.Code, Message: refusal.Reason})
		return
	}
	if err := f.readQuestion(x, &question); err != nil {
		f.writeExplained(w, http.StatusBadRequest, err)
		return
	}
	f.writeExplained(w, http.StatusOK, f.explainCall(x))
}

func (f *Front) writeExplained(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An operator who has left gets no response, and needs none.
	_ = json.NewEncoder(w).Encode(body)
}

func badField(field, message string) *explain.RouteError {
	return &explain.RouteError{Code: "bad_request", Field: field, Message: message}
}

// bodyError names the field that cannot be decoded. It does not quote the body, which may contain a key.
func bodyError(err error) *explain.RouteError {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		return badField(wrongType.Field, "must be of type "+wrongType.Type.String())
	}
	if field, unknown := strings.CutPrefix(err.Error(), "json: unknown field "); unknown {
		return badField(strings.Trim(field, `"`), "unknown field")
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return badField("body", "longer than 64 KB")
	}
	return badField("body", "not a JSON object")
}

// readQuestion sets the request of x to the one that is asked about.
func (f *Front) readQuestion(x *call, q *explain.RouteRequest) error {
	switch {
	case q.Host == "":
		return badField("host", "is required")
	case !strings.HasPrefix(q.Path, "/"):
		return badField("path", "must begin with /")
	case q.Workspace != "" && q.Key != "":
		return badField("workspace", "excludes key")
	case q.LengthHint < 0:
		return badField("lengthHint", "must not be negative")
	case q.DeadlineMillis < 0 || q.DeadlineMillis > math.MaxInt64/int64(time.Millisecond):
		return badField("deadlineMillis", "out of range")
	case q.PromptTokens != nil && *q.PromptTokens < 0:
		return badField("promptTokens", "must not be negative")
	case q.OutputTokens != nil && *q.OutputTokens < 0:
		return badField("outputTokens", "must not be negative")
	}
	x.request = &fleet.Request{
		Host: q.Host, Target: q.Path, Key: q.Key, LengthHint: q.LengthHint, Arrived: f.now(),
		CallerTimeout: time.Duration(q.DeadlineMillis) * time.Millisecond,
		Tokens:        fleet.TokenCounts{Present: q.PromptTokens != nil || q.OutputTokens != nil},
	}
	if q.PromptTokens != nil {
		x.request.Tokens.Prompt = *q.PromptTokens
	}
	if q.OutputTokens != nil {
		x.request.Tokens.MaxOutput = *q.OutputTokens
	}
	return f.readWorkspace(x, q)
}

// readWorkspace sets the key of the request to one of the named workspace.
func (f *Front) readWorkspace(x *call, q *explain.RouteRequest) error {
	route := x.config.Route(q.Host, pathOf(q.Path))
	switch {
	case q.Key != "":
		return nil
	case q.Workspace == "" && route != nil && !route.Anonymous && x.config.HasWorkspaces():
		return badField("workspace", "workspace or key is required on this route")
	case q.Workspace == "":
		return nil
	}
	i := slices.IndexFunc(x.config.Workspaces, func(w *fleet.Workspace) bool { return w.Name == q.Workspace })
	switch {
	case i < 0:
		return badField("workspace", "is not configured")
	case len(x.config.Workspaces[i].Keys) == 0:
		return badField("workspace", "has no key")
	}
	x.request.Key = x.config.Workspaces[i].Keys[0]
	return nil
}

// explainCall makes the decisions of admit and of the first attempt of a request, without their effects.
func (f *Front) explainCall(x *call) *explain.RouteResponse {
	out := &explain.RouteResponse{Asked: f.settings.Name, At: x.request.Arrived, Configuration: x.config.Version, NewestReportMillis: f.newestReport()}
	if err := f.explainAdmission(x, out); err != nil {
		out.Refusal = f.refusalOf(x, err)
		return out
	}
	var err error
	if x.route.Kind == fleet.Generation {
		err = f.explainGeneration(x, out)
	} else {
		err = f.explainPlain(x, out)
	}
	if err != nil {
		out.Refusal = f.refusalOf(x, err)
	}
	return out
}

// explainAdmission runs the checks of admit in their order.
func (f *Front) explainAdmission(x *call, out *explain.RouteResponse) error {
	err := f.authorize(x)
	if x.route == nil {
		return err
	}
	service := f.explainRouteMatch(x, out)
	if err != nil {
		return err
	}
	x.group = f.existingGroup(service)
	out.Workspace = &explain.RouteWorkspace{Name: x.workspaceName()}
	out.Workspace.Rank, _ = f.rank(x)
	if x.route.Kind == fleet.Generation {
		if err := f.refuseStream(x); err != nil {
			return err
		}
	}
	f.setDeadline(x, x.request.Arrived)
	if err := f.refuseLate(x); err != nil {
		return err
	}
	if err := f.refuseQuarantined(x); err != nil {
		return err
	}
	return f.previewCharge(x, out.Workspace)
}

// explainRouteMatch sets the route of the response and returns the service, the most likely one if the route splits its requests.
func (f *Front) explainRouteMatch(x *call, out *explain.RouteResponse) (service string) {
	r := x.route
	match := &explain.RouteMatch{Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: string(r.Kind), Priority: r.Priority}
	total := 0
	for _, d := range r.Destinations {
		total += max(d.Weight, 0)
	}
	if total > 0 && len(r.Destinations) > 1 {
		for _, d := range r.Destinations {
			match.Destinations = append(match.Destinations, explain.RouteDestination{Service: d.Service, Share: float64(max(d.Weight, 0)) / float64(total)})
		}
		slices.SortStableFunc(match.Destinations, func(a, b explain.RouteDestination) int { return cmp.Compare(b.Share, a.Share) })
		service = match.Destinations[0].Service
	} else {
		service = f.destination(x)
	}
	match.Service, out.Route = service, match
	return service
}

// previewCharge is charge without taking the cost from the rate limit.
func (f *Front) previewCharge(x *call, out *explain.RouteWorkspace) error {
	if x.workspace == nil || x.workspace.Rate <= 0 {
		return nil
	}
	out.TokensNeeded = x.request.Cost(x.workspace)
	f.limiterMu.Lock()
	level, ok, until := f.limiter.Preview(x.workspace.Name, out.TokensNeeded, x.newStream(), f.now())
	f.limiterMu.Unlock()
	if !math.IsInf(level, 0) {
		out.TokensAvailable = &level
	}
	if !ok {
		return rateRefusal(x.workspace, out.TokensNeeded, level, until)
	}
	return nil
}

func (f *Front) explainPlain(x *call, out *explain.RouteResponse) error {
	probability, refusal := x.group.previewPlain(f.arrival(x), x.config.Objective(x.group.service))
	out.OverloadProbability = probability
	e := x.group.plain.Explain(f.plainJob(x, nil), nil)
	out.Stages = append(out.Stages, f.explainStage(x.group, "plain", plainIndex, &e))
	if probability >= 1 {
		return &OverloadedError{Refusal: *refusal}
	}
	if e.Refused != nil {
		return e.Refused
	}
	return nil
}

func (f *Front) explainGeneration(x *call, out *explain.RouteResponse) error {
	r, capacity := f.newRun(x), f.kvCapacity(x)
	e := x.group.decode.Explain(f.decodeJob(x, r.Output, nil, f.latestStart(x)), func(key string) dispatch.Reason {
		if f.runTable.fits(r.Run, key, capacity) {
			return ""
		}
		return reasonNoMemory
	})
	out.Stages = append(out.Stages, f.explainStage(x.group, "decode", decodeIndex, &e))
	decode := fleet.Server{Software: x.software}
	if len(e.Candidates) > 0 {
		decode.Zone, decode.Software = e.Candidates[0].Zone, e.Candidates[0].Software
	}
	prefill := x.group.prefill.Explain(f.prefillJob(x, nil, decode, f.isLate(x)), nil)
	stage := f.explainStage(x.group, "prefill", prefillIndex, &prefill)
	stage.Skipped = prefill.Refused != nil
	out.Stages = append(out.Stages, stage)
	if e.Refused != nil {
		return e.Refused
	}
	return nil
}

// explainStage describes the decision of a pool, with the servers that the pool does not get.
func (f *Front) explainStage(g *group, name string, stage int, e *dispatch.Explanation) explain.RouteStage {
	out := explain.RouteStage{
		Stage: name, Candidates: []explain.RouteCandidate{}, LeftOut: []explain.RouteLeftOut{}, Sample: e.Sample, RecheckProbability: e.RecheckProbability,
		Waiting: e.Waiting, Waits: len(e.Candidates) == 0 && e.Refused == nil,
	}
	inPool := map[string]bool{}
	for i := range e.Candidates {
		c := &e.Candidates[i]
		inPool[c.Key] = true
		out.Candidates = append(out.Candidates, explain.RouteCandidate{
			Server: c.Key, Zone: c.Zone, Slots: c.Slots, Used: c.Used, Occupancy: c.Occupancy, RelativeTime: c.Relative, LearnedLimit: c.Limit,
			Score: c.Score, Doubtful: c.Doubtful,
		})
	}
	for _, c := range e.LeftOut {
		inPool[c.Key] = true
		out.LeftOut = append(out.LeftOut, explain.RouteLeftOut{Server: c.Key, Zone: c.Zone, Reason: string(c.Reason)})
	}
	out.LeftOut = append(out.LeftOut, g.withheldServers(stage, inPool)...)
	for _, s := range f.state.unusable(g.service) {
		if at, _ := candidate(serverKey(s.Server), s.Server); at == stage {
			out.LeftOut = append(out.LeftOut, explain.RouteLeftOut{Server: serverKey(s.Server), Zone: s.Zone, Reason: string(s.reason)})
		}
	}
	slices.SortFunc(out.LeftOut, func(a, b explain.RouteLeftOut) int { return cmp.Compare(a.Server, b.Server) })
	return out
}

// withheldServers returns the usable servers of a stage that its pool does not have.
func (g *group) withheldServers(stage int, inPool map[string]bool) (out []explain.RouteLeftOut) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for key, s := range g.servers {
		if at, _ := candidate(key, s); at != stage || inPool[key] {
			continue
		}
		// The pool gets a server whose pause has just ended with the next check, at most pauseRecheck later.
		reason := cmp.Or(g.withheld(key, now), reasonPaused)
		out = append(out, explain.RouteLeftOut{Server: key, Zone: s.Zone, Reason: string(reason)})
	}
	return out
}

// unusableServer is a registered server that no group has, with the reason.
type unusableServer struct {
	registry.State
	reason dispatch.Reason
}

// unusable returns the registered servers of a service that are not usable.
func (s *State) unusable(service string) (out []unusableServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	add := func(servers []registry.State, reason func(registry.State) dispatch.Reason) {
		for _, server := range servers {
			if server.Service == service {
				out = append(out, unusableServer{server, reason(server)})
			}
		}
	}
	add(s.servers.Evacuated(now), func(registry.State) dispatch.Reason { return reasonEvacuated })
	add(s.servers.Unusable(now), func(server registry.State) dispatch.Reason {
		if server.Draining {
			return reasonLeaving
		}
		return reasonMisdirected
	})
	return out
}

// existingGroup returns the group of a service, or an empty one that is not kept if there is none.
func (f *Front) existingGroup(service string) *group {
	f.groupsMu.Lock()
	defer f.groupsMu.Unlock()
	if g := f.groups[service]; g != nil {
		return g
	}
	return newGroup(service, f.settings.Zone, f.settings.Limits.Retry, f.previousProcessEnd(), f.now)
}

// newestReport returns the age of the newest report from another host, in milliseconds, or nil if there is none.
func (f *Front) newestReport() *int64 {
	f.reportsMu.Lock()
	defer f.reportsMu.Unlock()
	newest := time.Time{}
	for _, r := range f.reports {
		if r.at.After(newest) {
			newest = r.at
		}
	}
	if newest.IsZero() {
		return nil
	}
	age := f.now().Sub(newest).Milliseconds()
	return &age
}

// refusalOf returns the response that an error of the request would lead to.
func (f *Front) refusalOf(x *call, err error) *explain.RouteRefusal {
	failure := f.failureOf(x, err)
	reason := failure.Message
	if failure.Cause != nil {
		reason += ": " + failure.Cause.Error()
	}
	return &explain.RouteRefusal{Status: failure.Status, Code: string(failure.Code), Reason: reason, RetryAfterMillis: failure.RetryAfter.Milliseconds()}
}
