package openai_test

import (
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/engine"
)

// Guards against a call that is sent to a server which must get none since the wait for a connection began, on a new
// connection or a kept one, and against calls that fail later because they follow a stopped one.
func TestCallsAreCheckedWhenTheirConnectionIsOpen(t *testing.T) {
	g := NewWithT(t)
	var served atomic.Int32
	addr := serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }))
	dir, _ := newDirectory(t)
	var refusal error
	checks := 0
	call := callOf("r.1", "/v1/completions", `{"prompt":"`+strings.Repeat("x", 1<<16)+`"}`)
	call.Attempt.MaySend = func() error { checks++; return refusal }
	calls := map[string]func() error{
		"decode": func() error { _, err := dir.Server("e", addr).Decode(t.Context(), call, nil); return err },
		"resume": func() error { _, err := dir.Server("e", addr).Resume(t.Context(), call.Attempt, 1); return err },
		"service": func() error {
			r, _ := http.NewRequest(http.MethodPost, "http://x/booking", strings.NewReader("x"))
			r.Header.Set("User-Agent", strings.Repeat("x", 1<<13))
			res, err := dir.Service("e", addr).Do(t.Context(), call.Attempt, r)
			if err == nil {
				_ = res.Body.Close()
			}
			return err
		},
	}
	for name, do := range calls {
		refusal = nil
		g.Expect(dir.Server("e", addr).Abort(t.Context(), "r.0")).To(Succeed(), "leaves an idle connection")
		before := served.Load()
		refusal, checks = errors.New("zone is evacuated"), 0
		for range 2 {
			err := do()
			var notSent *engine.NotSentError
			g.Expect(errors.As(err, &notSent) && errors.Is(err, refusal)).To(BeTrue(), "%s: %v", name, err)
		}
		g.Expect(checks).To(BeNumerically(">=", 2), name)
		g.Expect(served.Load()).To(Equal(before), name)
		refusal = nil
		g.Expect(do()).To(Succeed(), name)
		g.Expect(served.Load()).To(Equal(before+1), name)
	}
}
