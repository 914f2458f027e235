package faults

import (
	"context"
	"errors"
	"sort"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/outcome"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
	"github.com/boragecourse/boragecourse/test/fleet"
	standin "github.com/boragecourse/boragecourse/test/standin/engine"
)

// executions is the work that the simulated backend servers counted for a request: calls, prompt and generated tokens,
// and effects of services.
type executions struct {
	calls                      int
	prompt, generated, effects int64
}

func (t *trial) executionsOf(id string) executions {
	var r executions
	for _, c := range t.Engines {
		w := c.Report().Requests[id]
		r.calls += len(w.Attempts)
		r.prompt += w.PromptTokens
		r.generated += w.GeneratedTokens
	}
	for _, s := range t.Services {
		r.effects += int64(s.Report().RanByRequest[id])
	}
	r.calls += int(r.effects)
	return r
}

// checkAll checks every invariant after all faults have ended.
func (t *trial) checkAll() {
	for _, f := range t.Faults() {
		t.check("recovery", false, "%s", f)
	}
	t.checkBackends()
	charges := t.charges()
	for _, c := range t.Calls() {
		s, r := c.Result(), t.executionsOf(c.ID)
		t.checkResponse(c, s)
		t.checkOutcome(c, s, r)
		t.checkCharge(c, s, r, charges[c.ID])
	}
	for id := range charges {
		t.check("I13", t.call(id) != nil, "charge for unknown request %s", id)
	}
	t.checkBookings()
	t.checkLimit()
	t.checkConfiguration()
	if t.mustComplete {
		s := t.target.Result()
		t.check("recovery", s.Err == nil && !s.HostEnded, "the request did not complete in spite of the fault: %v, cut %t", s.Err, s.HostEnded)
	}
}

func (t *trial) call(id string) *fleet.Call {
	for _, c := range t.Calls() {
		if c.ID == id {
			return c
		}
	}
	return nil
}

func (t *trial) checkBackends() {
	for name, c := range t.Engines {
		r := c.Report()
		t.check("I1", len(r.Held) == 0 && r.HeldPieces == 0, "engine %s still holds %v", name, r.Held)
		for _, v := range r.Violations {
			which := "I9"
			if v.Kind == "caller's key seen" {
				which = "I4"
			}
			t.check(which, false, "engine %s: %v", name, v)
		}
		t.check("I4", true, "")
	}
	for name, s := range t.Services {
		for _, v := range s.Report().Violations {
			which := "I9"
			if strings.HasPrefix(v, "caller's key") {
				which = "I4"
			}
			t.check(which, false, "service %s: %s", name, v)
		}
		t.check("I4", true, "")
	}
	if t.leaving.IsZero() || t.cutOff {
		return
	}
	for _, w := range t.BackendCalls() {
		if len(t.rules.Leaving) > 0 && w.Server == t.rules.Leaving[0] {
			t.check("I10", w.At.Before(t.leaving.Add(3*time.Second)), "attempt %s began on leaving server %s after %v",
				w.Attempt, w.Server, w.At.Sub(t.leaving))
		}
	}
	t.check("I10", true, "")
}

// checkResponse checks what the caller received.
func (t *trial) checkResponse(c *fleet.Call, s fleet.CallResult) {
	t.check("I2", len(s.Faults) == 0, "request %s: %v", c.ID, s.Faults)
	ends := s.Dones + s.Answers
	if s.Err != nil && !s.HostEnded {
		ends++
	}
	t.check("I2", ends <= 1 && s.Finishes <= 1, "request %s ended %d times with %d finish reasons", c.ID, ends, s.Finishes)
	if !s.HostEnded {
		t.check("I14", ends == 1, "request %s ended %d times", c.ID, ends)
	}
	if c.Prompt != "" {
		want := standin.Answer(c.Prompt, c.Tokens)
		t.check("I7", strings.HasPrefix(want, s.Text), "request %s received %q instead of %q", c.ID, s.Text, want)
		if s.Dones > 0 {
			t.check("I14", s.Text == want && s.Finishes == 1, "request %s received an incomplete response that was reported as complete: %q", c.ID, s.Text)
		}
	} else if s.Answers > 0 && s.Status < 500 {
		t.check("I7", strings.Contains(s.Body, `"body":"`+c.Body+`"`), "request %s received %q", c.ID, s.Body)
	}
}

// checkOutcome compares the outcome that the caller received with what ran at the backend servers.
func (t *trial) checkOutcome(c *fleet.Call, s fleet.CallResult, r executions) {
	if s.Err != nil && !s.HostEnded {
		switch s.Err.Outcome {
		case outcome.NotRun:
			t.check("I8", r.calls == 0, "request %s ran %d times and was reported as not-run: %v", c.ID, r.calls, s.Err)
		case outcome.Ran:
			t.check("I8", r.calls > 0, "request %s did not run and was reported as ran: %v", c.ID, s.Err)
		}
	}
	if c.Key != fleet.DefaultRules().Keys[c.Workspace] {
		t.check("I3", r.calls == 0 && s.Err != nil && s.Err.Outcome == outcome.NotRun, "request %s with an unknown key ran or was not refused as not-run", c.ID)
	}
	if !t.withdrawn.IsZero() && c.Workspace == "guests" && c.Sent.After(t.withdrawn.Add(5*time.Second)) {
		t.check("I5", r.calls == 0, "request %s ran %v after its key was withdrawn, on %s", c.ID, c.Sent.Sub(t.withdrawn), c.Host.Name)
	}
}

// charges reads all charge records from the store.
func (t *trial) charges() map[string][]*peerv1.ChargeRecord {
	found := map[string][]*peerv1.ChargeRecord{}
	kvs, err := t.Store.Client().List(context.Background(), "/boragecourse/charge/")
	t.check("I13", err == nil, "charges cannot be read: %v", err)
	for _, kv := range kvs {
		var b peerv1.ChargeBatch
		t.check("I13", proto.Unmarshal(kv.Value, &b) == nil, "charge batch %s cannot be read", kv.Key)
		for _, r := range b.Records {
			found[r.RequestId] = append(found[r.RequestId], r)
		}
	}
	return found
}

// lossWindow is how long before the kill of its host a request may have ended if its charge is lost: 200 ms for the
// open batch, plus one call to the peer that stores the copy.
const lossWindow = 1300 * time.Millisecond

func (t *trial) checkCharge(c *fleet.Call, s fleet.CallResult, r executions, charges []*peerv1.ChargeRecord) {
	if len(charges) == 0 {
		lost := !c.ProcessEnded().IsZero() && (s.HostEnded || t.cutOff || s.Ended.After(c.ProcessEnded().Add(-lossWindow)))
		t.check("I13", r.calls == 0 || lost, "request %s ran %d times and has no charge: %v", c.ID, r.calls, s.Err)
		return
	}
	t.check("I13", len(charges) == 1, "request %s has %d charges", c.ID, len(charges))
	p := charges[0]
	t.check("I3", p.Workspace == c.Workspace && p.KeyId == c.Workspace+"-1", "request %s of %s is charged to %s", c.ID, c.Workspace, p.Workspace)
	t.check("I13", p.PromptTokens <= r.prompt && p.OutputTokens <= r.generated, "request %s ran %+v and is charged %v", c.ID, r, p)
	t.check("I13", p.CostTokens == 0 || r.effects > 0, "request %s had no effect and is charged %d tokens", c.ID, p.CostTokens)
	t.check("I13", r.calls > 0 || p.Outcome == string(outcome.Unknown) && p.PromptTokens+p.OutputTokens+p.CostTokens == 0,
		"request %s did not run and is charged %v", c.ID, p)
	if c.Prompt != "" && s.Dones > 0 {
		t.check("I13", p.OutputTokens == c.Tokens && p.PromptTokens > 0, "request %s has a complete response and is charged %v", c.ID, p)
	}
	t.check("I13", p.Who == fleet.People[c.Workspace], "request %s is charged on behalf of %q", c.ID, p.Who)
	line := ""
	for _, text := range t.textsOf(p.Generation) {
		if lines := strings.Split(text, "\n"); int(p.RuleLine) <= len(lines) && strings.HasPrefix(lines[p.RuleLine-1], "workspace "+c.Workspace+" ") {
			line = lines[p.RuleLine-1]
		}
	}
	t.check("I13", line != "" && strings.HasPrefix(line, p.RuleText), "request %s: no rule at line %d of generation %d", c.ID, p.RuleLine, p.Generation)
	if c == t.target || c.ID[len(c.ID)-1] == '7' {
		traced, err := t.other.Charges.Trace(context.Background(), c.ID)
		t.check("I13", err == nil && traced.Rule.Who == p.Who && traced.Rule.Line == int(p.RuleLine), "request %s cannot be traced: %v", c.ID, err)
	}
}

// textsOf returns the rules files that may have become the given generation. Several changes can be based on the same
// generation.
func (t *trial) textsOf(generation uint64) []string {
	var texts []string
	for _, a := range t.ConfigChanges() {
		if a.Base+1 == generation {
			texts = append(texts, a.Text)
		}
	}
	return texts
}

func (t *trial) checkBookings() {
	ranByKey := 0
	for _, s := range t.Services {
		ranByKey += s.Report().RanByKey["booking"]
	}
	t.check("I9", ranByKey <= 1, "the booking ran %d times", ranByKey)
	if t.target == nil || t.target.IdempotencyKey == "" {
		return
	}
	answers := map[string]bool{}
	for _, c := range append([]*fleet.Call{t.target}, t.repeats...) {
		if s := c.Result(); s.Answers > 0 && s.Status < 500 {
			answers[s.Body] = true
		}
	}
	t.check("I9", len(answers) <= 1, "the booking has different responses: %v", answers)
	t.check("I8", len(answers) == 0 || ranByKey == 1, "the booking has a response and ran %d times", ranByKey)
}

// checkLimit checks that the tightly limited workspace stays within burst and rate in every window between two calls.
func (t *trial) checkLimit() {
	type use struct{ from, to time.Time }
	var uses []use
	for _, c := range t.Calls() {
		if c.Workspace == "tight" && t.executionsOf(c.ID).effects > 0 {
			uses = append(uses, use{c.Sent, c.Result().Ended})
		}
	}
	sort.Slice(uses, func(i, j int) bool { return uses[i].from.Before(uses[j].from) })
	for i := range uses {
		for j := i; j < len(uses); j++ {
			tokens := 0.0
			for _, u := range uses[i:] {
				if !u.to.After(uses[j].to) {
					tokens += fleet.StatusCost
				}
			}
			window := uses[j].to.Sub(uses[i].from)
			limit := fleet.TightBurst + fleet.TightRate*window.Seconds()
			t.check("I6", tokens <= limit, "%v tokens in %v, where %v are allowed", tokens, window, limit)
		}
	}
	t.check("I6", len(uses) > 0, "no request of the tightly limited workspace was served")
}

func (t *trial) checkConfiguration() {
	generation, text := t.other.Config.RulesFile()
	for _, h := range t.All() {
		g, other := h.Config.RulesFile()
		t.check("I12", g == generation && string(other) == string(text), "hosts %s and %s have generations %d and %d", t.other.Name, h.Name, generation, g)
	}
	accepted := map[uint64]string{}
	for _, a := range t.ConfigChanges() {
		var conflict *config.ConflictError
		var notStored *config.NotStoredError
		switch {
		case a.HostEnded:
		case a.Err == nil:
			t.check("I12", accepted[a.Base+1] == "" || accepted[a.Base+1] == a.Text, "two changes were accepted as generation %d", a.Base+1)
			accepted[a.Base+1] = a.Text
			t.check("I12", generation > a.Base+1 || generation == a.Base+1 && string(text) == a.Text, "accepted generation %d is not active, but generation %d is", a.Base+1, generation)
		case errors.As(a.Err, &conflict), errors.As(a.Err, &notStored):
			t.check("I12", generation != a.Base+1 || string(text) != a.Text, "a refused change is active: %v", a.Err)
		default:
			var unknown *config.UnknownOutcomeError
			t.check("I12", errors.As(a.Err, &unknown) || errors.Is(a.Err, context.Canceled), "change failed: %v", a.Err)
		}
	}
}

// unrelatedToDrain reports whether a request failed for a reason other than the drain of its host.
func unrelatedToDrain(c *fleet.Call) bool {
	e := c.Result().Err
	return e.Outcome == outcome.NotRun && (e.Code == outcome.CodeRateExceeded || e.Code == outcome.CodeKeyWithdrawn || e.Code == outcome.CodeInvalidKey) ||
		c.Result().Canceled
}
