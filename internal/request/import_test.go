package request

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/rules"
	standin "github.com/boragecourse/boragecourse/test/standin/engine"
)

// Guards against aborting a transfer that is as slow as predicted, and against waiting for a stalled transfer until the
// KV cache has expired and the prompt must be prefilled again.
func TestImportLimitFollowsThePrediction(t *testing.T) {
	// In tokens per second: the prompt of four tokens takes 500 ms on the link to d1.
	const slowLink = 8
	cases := map[string]struct {
		predicted time.Duration
		link      int64
		stalled   int
		decodes   int
		givenUpAt time.Duration
	}{
		"slow as predicted":             {predicted: 500 * time.Millisecond, link: slowLink, decodes: 1},
		"slower than predicted":         {predicted: 150 * time.Millisecond, link: slowLink, decodes: 1},
		"slow without prediction":       {predicted: 10 * time.Millisecond, link: slowLink, decodes: 2, givenUpAt: 410 * time.Millisecond},
		"stalled":                       {predicted: 10 * time.Millisecond, stalled: 1, decodes: 2, givenUpAt: 410 * time.Millisecond},
		"stalled, slow prediction":      {predicted: 500 * time.Millisecond, stalled: 1, decodes: 2, givenUpAt: 650 * time.Millisecond},
		"prediction beyond KV lifetime": {predicted: time.Hour, link: slowLink, decodes: 1},
		"stalled, very long prediction": {predicted: time.Hour, stalled: 1, decodes: 2, givenUpAt: 700 * time.Millisecond},
		"slow, prediction just in time": {predicted: 640 * time.Millisecond, link: slowLink, decodes: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				defer f.Close()
				f.transfer = c.predicted
				f.engines["d1"] = standin.New(standin.Config{Name: "d1", Addr: "d1:1", Role: standin.Role(rules.RoleDecode), LinkRate: c.link}, f.fleet)
				f.engines["d1"].SetFaults(standin.Faults{StallTransfers: c.stalled})
				in := f.input(pathCompletions, completion("m", true))
				start := time.Now()
				r := f.run(t.Context(), in)
				f.expectComplete(r, true)
				work := f.serverWork(in.ID)
				f.Expect(work.Decodes).To(Equal(c.decodes))
				wantPrefills := 1
				if c.givenUpAt >= f.settings.KVLifetime {
					// The import times out when the KV cache expires, so no other decode server can import it.
					wantPrefills = 2
				}
				f.Expect(work.Prefills).To(Equal(wantPrefills))
				if c.givenUpAt > 0 {
					decoding := outputTokens * 20 * time.Millisecond
					f.Expect(time.Since(start)).To(BeNumerically("~", c.givenUpAt+decoding, 5*time.Millisecond))
				}
				f.verify(in, r)
			})
		})
	}
}
