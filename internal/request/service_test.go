package request

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/outcome"
	standin "github.com/boragecourse/boragecourse/test/standin/engine"
	"github.com/boragecourse/boragecourse/test/standin/service"
)

// step is one call in a sequence of identical bookings.
type step struct {
	faults  service.Faults
	others  service.Faults
	down    bool
	storeUp *bool
	body    string
	// code is empty if the caller receives the service's response.
	code     outcome.Code
	outcome  outcome.Outcome
	status   int
	replayed bool
}

// Guards against running a non-repeatable call twice, and against reporting a wrong outcome of the first run.
func TestServiceCalls(t *testing.T) {
	const ok = 200
	no, yes := false, true
	cases := map[string]struct {
		path, key string
		steps     []step
		ran       int
		cost      int64
	}{
		"reserve":             {path: "/booking/reserve", steps: []step{{status: ok}}, ran: 1, cost: 50},
		"refused, then runs":  {path: "/booking/reserve", steps: []step{{faults: service.Faults{FailBefore: 1}, status: ok}}, ran: 1, cost: 50},
		"cut before running":  {path: "/booking/reserve", steps: []step{{faults: service.Faults{CutBefore: 1}, code: outcome.CodeServerFailed, outcome: outcome.Unknown}}},
		"response lost":       {path: "/booking/reserve", steps: []step{{faults: service.Faults{CutAfter: 1}, code: outcome.CodeServerFailed, outcome: outcome.Unknown}}, ran: 1},
		"failed after acting": {path: "/booking/reserve", steps: []step{{faults: service.Faults{FailAfter: 1}, status: 500}}, ran: 1},
		"all down":            {path: "/booking/reserve", steps: []step{{down: true, code: outcome.CodeRetriesExhausted, outcome: outcome.NotRun}}},
		"keyed twice":         {path: "/booking/reserve", key: "k", steps: []step{{status: ok}, {status: ok, replayed: true}}, ran: 1, cost: 50},
		"keyed, other body":   {path: "/booking/reserve", key: "k", steps: []step{{status: ok}, {body: "x", code: outcome.CodeKeyReused, outcome: outcome.NotRun}}, ran: 1, cost: 50},
		"keyed, all refuse": {path: "/booking/reserve", key: "k", steps: []step{
			{faults: service.Faults{FailBefore: 99}, others: service.Faults{FailBefore: 99}, code: outcome.CodeRetriesExhausted, outcome: outcome.NotRun}, {status: ok},
		}, ran: 1, cost: 50},
		"keyed, all down": {path: "/booking/reserve", key: "k", steps: []step{
			{down: true, code: outcome.CodeRetriesExhausted, outcome: outcome.NotRun},
			{down: true, code: outcome.CodeRetriesExhausted, outcome: outcome.NotRun}, {status: ok}, {status: ok, replayed: true},
		}, ran: 1, cost: 50},
		"keyed, refused, then cut": {path: "/booking/reserve", key: "k", steps: []step{
			{faults: service.Faults{FailBefore: 99}, others: service.Faults{CutBefore: 1}, code: outcome.CodeServerFailed, outcome: outcome.Unknown},
			{code: outcome.CodeClaimUnknown, outcome: outcome.Unknown},
		}},
		"keyed, response lost": {path: "/booking/reserve", key: "k", steps: []step{
			{faults: service.Faults{CutAfter: 1}, code: outcome.CodeServerFailed, outcome: outcome.Unknown},
			{code: outcome.CodeClaimUnknown, outcome: outcome.Unknown},
		}, ran: 1},
		"keyed, store down": {path: "/booking/reserve", key: "k", steps: []step{
			{storeUp: &no, code: outcome.CodeClaimUnavailable, outcome: outcome.NotRun}, {storeUp: &yes, status: ok},
		}, ran: 1, cost: 50},
		"status":        {path: "/booking/status", steps: []step{{status: ok}}, ran: 1, cost: 5},
		"status, cut":   {path: "/booking/status", steps: []step{{faults: service.Faults{CutBefore: 1}, status: ok}}, ran: 1, cost: 5},
		"status, lost":  {path: "/booking/status", steps: []step{{faults: service.Faults{CutAfter: 1}, status: ok}}, ran: 2, cost: 5},
		"open":          {path: "/open", steps: []step{{status: ok}}, ran: 1},
		"no server":     {path: "/nowhere", steps: []step{{code: outcome.CodeNoServer, outcome: outcome.NotRun}}},
		"key in a form": {path: "/booking/reserve", steps: []step{{body: "k=secret-key%2F1", code: outcome.CodeMalformedRequest, outcome: outcome.NotRun}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				defer f.Close()
				for _, s := range c.steps {
					f.services["s1"].SetFaults(s.faults)
					f.services["s2"].SetFaults(s.others)
					f.down["s1"], f.down["s2"] = s.down, s.down
					if s.storeUp != nil {
						f.store.SetDown(!*s.storeUp)
					}
					if s.body == "" {
						s.body = "room 7"
					}
					in := f.input(c.path, s.body)
					in.IdempotencyKey = c.key
					r := f.run(t.Context(), in)
					if s.code != "" {
						f.Expect(r.err).NotTo(BeNil())
						f.Expect(r.err.Code).To(Equal(s.code))
						f.Expect(r.err.Outcome).To(Equal(s.outcome))
					} else {
						f.Expect(r.err).To(BeNil())
						f.Expect(r.status).To(Equal(s.status))
						f.Expect(r.header.Get(headerReplayed) == "true").To(Equal(s.replayed))
						if s.status == ok {
							f.Expect(r.body).To(ContainSubstring("room 7"))
						}
					}
					f.verify(in, r)
				}
				ran, cost := 0, int64(0)
				for _, s := range f.services {
					ran += s.Report().RanByBody["room 7"]
				}
				for _, r := range f.charges {
					cost += r.CostTokens
				}
				f.Expect(ran).To(Equal(c.ran))
				f.Expect(cost).To(Equal(c.cost))
			})
		})
	}
}

// Guards against canceling a non-repeatable call because its caller disconnects, which would leave its outcome unknown.
func TestBookingOutlivesItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		defer f.Close()
		f.services["s1"].SetFaults(service.Faults{Slow: 2 * time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		in := f.input("/booking/reserve", "room 7")
		in.IdempotencyKey = "k"
		first := f.run(ctx, in)
		f.verify(in, first)
		again := f.input("/booking/reserve", "room 7")
		again.IdempotencyKey = "k"
		r := f.run(t.Context(), again)
		f.Expect(r.err).To(BeNil())
		f.Expect(r.header.Get(headerReplayed)).To(Equal("true"))
		f.verify(again, r)
	})
}

// Guards against a generation with an idempotency key that runs twice, or whose recorded response differs from the one
// that was sent first.
func TestKeyedGeneration(t *testing.T) {
	for _, stream := range []bool{true, false} {
		for _, crash := range []bool{true, false} {
			t.Run(fmt.Sprintf("stream=%t/crash=%t", stream, crash), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFixture(t)
					defer f.Close()
					for _, c := range f.engines {
						c.SetOnce(func(string) bool { return true })
					}
					send := func(body string) result {
						in := f.input(pathCompletions, body)
						in.IdempotencyKey = "k"
						r := f.run(t.Context(), in)
						f.verify(in, r)
						return r
					}
					if crash {
						time.AfterFunc(100*time.Millisecond, f.engines["d1"].Crash)
						f.Expect(send(completion("once", stream)).err.Code).To(Equal(outcome.CodeStreamLost))
						f.Expect(send(completion("once", stream)).err.Code).To(Equal(outcome.CodeClaimUnknown))
						return
					}
					first := send(completion("once", stream))
					f.expectComplete(first, stream)
					again := send(completion("once", stream))
					f.Expect(again.err).To(BeNil())
					if stream {
						f.Expect(again.header.Get("Content-Type")).To(Equal("text/event-stream"))
						f.Expect(strings.NewReplacer("data: ", "", "\n\n", "", "[DONE]", "").Replace(again.body)).To(Equal(first.events.String()))
					} else {
						f.Expect(again.body).To(Equal(first.body))
					}
					f.Expect(send(completion("once", !stream)).err.Code).To(Equal(outcome.CodeKeyReused))
					f.Expect(f.charges).To(HaveLen(1))
				})
			})
		}
	}
}

// Guards against an idempotency key that stays claimed although no engine accepted the generation, and against one that
// is released although an engine may have run the prompt.
func TestKeyOfRefusedGeneration(t *testing.T) {
	cases := map[string]struct {
		p1, p2  standin.Faults
		outcome outcome.Outcome
		again   outcome.Code
	}{
		"all down":             {p1: standin.Faults{RefuseConnections: true}, p2: standin.Faults{RefuseConnections: true}, outcome: outcome.NotRun},
		"down and full":        {p1: standin.Faults{RefuseConnections: true}, p2: standin.Faults{Full: true}, outcome: outcome.NotRun},
		"refused, then failed": {p1: standin.Faults{Full: true}, p2: standin.Faults{FailCalls: 1}, outcome: outcome.Unknown, again: outcome.CodeClaimUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				defer f.Close()
				send := func(p1, p2 standin.Faults) result {
					f.engines["p1"].SetFaults(p1)
					f.engines["p2"].SetFaults(p2)
					in := f.input(pathCompletions, completion("once", true))
					in.IdempotencyKey = "k"
					r := f.run(t.Context(), in)
					f.verify(in, r)
					return r
				}
				f.Expect(send(c.p1, c.p2).err.Outcome).To(Equal(c.outcome))
				again := send(standin.Faults{}, standin.Faults{})
				if c.again == "" {
					f.expectComplete(again, true)
					return
				}
				f.Expect(again.err).NotTo(BeNil())
				f.Expect(again.err.Code).To(Equal(c.again))
			})
		})
	}
}
