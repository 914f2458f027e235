package request

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/outcome"
	"github.com/boragecourse/boragecourse/internal/rules"
	standin "github.com/boragecourse/boragecourse/test/standin/engine"
)

// zonedRules returns the rules of the fixture with the servers named "1" and "2" at the end in zones z and y, of which the
// given ones are evacuated.
func zonedRules(evacuated ...string) []rules.Rule {
	all := rulesOf(secret)
	for _, r := range all {
		if s, ok := r.(*rules.Server); ok {
			s.Zone = map[byte]string{'1': "z", '2': "y"}[s.Name[1]]
		}
	}
	for _, zone := range evacuated {
		all = append(all, &rules.Evacuation{Zone: zone})
	}
	return all
}

// evacuateAfter evacuates zones after a time, and lets placements go on that wait with the configuration before.
func (f *fixture) evacuateAfter(d time.Duration, zones ...string) {
	f.install(config.NewSnapshot(4, zonedRules()))
	f.block = make(chan struct{})
	if d > 0 {
		close(f.block)
	}
	time.AfterFunc(max(d, time.Millisecond), func() {
		f.install(config.NewSnapshot(5, zonedRules(zones...)))
		if d == 0 {
			close(f.block)
		}
	})
}

// Guards against a request that is sent to a server whose zone was evacuated after the request was placed there, against one
// that is refused or repeats work although another zone can run it, and against servers that count as failing for that.
func TestRequestsPlacedBeforeAnEvacuationAreNotSent(t *testing.T) {
	const inPrefill, inDecode = 150 * time.Millisecond, 100 * time.Millisecond
	cases := map[string]struct {
		path, model       string
		after             time.Duration
		faults            map[string]standin.Faults
		prefills, decodes int
	}{
		"run on a service":       {path: "/booking/reserve", decodes: 1},
		"prefill":                {model: "m", prefills: 1, decodes: 1},
		"prefill, not repeated":  {model: "once", prefills: 1, decodes: 1},
		"run with both roles":    {model: "both", decodes: 1},
		"decode after a prefill": {model: "once", after: inPrefill, faults: map[string]standin.Faults{"p1": {LateAnswers: 2 * inPrefill}}, prefills: 1, decodes: 1},
		"retry on a lost stream": {model: "m", after: inDecode, faults: map[string]standin.Faults{"d1": {LoseStreams: 1, LoseAfter: 11}}, prefills: 2, decodes: 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				defer f.Close()
				f.settings.MaxRetries = 1
				f.evacuateAfter(c.after, "z")
				for server, faults := range c.faults {
					f.engines[server].SetFaults(faults)
				}
				in := f.input(pathCompletions, completion(c.model, true))
				if c.path != "" {
					in = f.input(c.path, "seat 1")
				}
				r := f.run(t.Context(), in)
				f.Expect(r.err).To(BeNil())
				if c.path == "" {
					f.expectComplete(r, true)
				}
				f.verify(in, r)
				work := f.serverWork(in.ID)
				f.Expect([]int{work.Prefills, work.Decodes}).To(Equal([]int{c.prefills, c.decodes}))
				f.Expect(f.Metrics.Count("retries", metrics.L("reason", "zone_evacuated"))).To(BeEquivalentTo(1))
				f.Expect(f.failed).To(BeEmpty())
				f.Expect(f.services["s1"].Report().RanByRequest).To(BeEmpty())
			})
		})
	}
}

// Guards against a request that waits, or is reported as failed or with a fixed Retry-After, when its call was stopped and no zone
// is left for it.
func TestRequestsWithoutAZoneAreRefusedAtOnce(t *testing.T) {
	for _, path := range []string{pathCompletions, "/booking/reserve"} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			defer f.Close()
			delays := map[time.Duration]bool{}
			for range 20 {
				f.evacuateAfter(0, "z", "y")
				in := f.input(path, completion("once", true))
				r := f.run(t.Context(), in)
				f.Expect(r.err).NotTo(BeNil())
				f.Expect([]any{r.err.Code, r.err.Status, r.err.Outcome}).To(Equal([]any{outcome.CodeZoneEvacuated, 503, outcome.NotRun}))
				f.Expect(r.err.RetryAfter).To(And(BeNumerically(">=", time.Second), BeNumerically("<=", 4*time.Second)))
				f.Expect(time.Since(in.Arrived)).To(BeNumerically("<", retryWait))
				f.verify(in, r)
				delays[r.err.RetryAfter] = true
			}
			f.Expect(len(delays)).To(BeNumerically(">", 10))
			f.Expect(f.charges).To(BeEmpty())
		})
	}
}
