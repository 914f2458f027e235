package front

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/explain"
	"github.com/boragecourse/boragecourse/internal/fleet"
	"github.com/boragecourse/boragecourse/platform"
)

func (f *Front) ask(body string) (int, explain.RouteResponse) {
	w := httptest.NewRecorder()
	f.explainRoute(w, httptest.NewRequest(http.MethodPost, explain.RoutePath, strings.NewReader(body)))
	answer := explain.RouteResponse{}
	_ = json.Unmarshal(w.Body.Bytes(), &answer)
	return w.Code, answer
}

// decisionState describes what an explanation must not change: counters, use, queues, limiters and controllers.
func (f *Front) decisionState() string {
	var counters bytes.Buffer
	_, _ = f.metrics.WriteTo(&counters)
	f.limiterMu.Lock()
	state := fmt.Sprint(f.limiter.Admitted())
	f.limiterMu.Unlock()
	groups := f.allGroups()
	for _, name := range []string{"app", "llm"} {
		g := f.group(name)
		g.overload.mu.Lock()
		state += fmt.Sprintf("%+v", *g.overload.controller)
		g.overload.mu.Unlock()
		for _, p := range g.pools() {
			state += fmt.Sprint(p.Stats(), p.LocalUse())
		}
	}
	return fmt.Sprint(len(groups), len(f.runTable.report()), state) + counters.String()
}

const (
	plainQuestion  = `{"host":"stays.example","path":"/view/1","key":"key","deadlineMillis":3000}`
	streamQuestion = `{"host":"stays.example","path":"/ask/1","key":"key","promptTokens":100,"outputTokens":100}`
)

// Guards against explanations that change what the next request meets.
func TestExplanationChangesNothing(t *testing.T) {
	d := newDrainFixture(t, time.Minute, func(*Front) {})
	d.awaitCandidates()
	// Counters of the host's own work, which goes on: it reads the store and exchanges reports.
	background := []string{"store_", "peer_", "exchange_", "registration_"}
	counted := func() string {
		var kept []string
		for _, line := range strings.Split(d.decisionState(), "\n") {
			if !slices.ContainsFunc(background, func(name string) bool { return strings.Contains(line, name) }) {
				kept = append(kept, line)
			}
		}
		return strings.Join(kept, "\n")
	}
	before := counted()
	for range 20 {
		for _, question := range []string{plainQuestion, streamQuestion} {
			status, answer := d.ask(question)
			d.g.Expect(status).To(Equal(http.StatusOK))
			d.g.Expect(answer.Refusal).To(BeNil())
			d.g.Expect(answer.Stages[0].Candidates).To(HaveLen(1))
		}
	}
	d.g.Expect(counted()).To(Equal(before))
}

// awaitCandidates waits until the pools have the servers of the fixture.
func (d *drainFixture) awaitCandidates() {
	for _, question := range []string{plainQuestion, streamQuestion} {
		d.g.Eventually(func() int {
			_, answer := d.ask(question)
			if len(answer.Stages) == 0 {
				return 0
			}
			return len(answer.Stages[0].Candidates)
		}).WithTimeout(5 * time.Second).Should(Equal(1))
	}
}

// Guards against servers that are missing in an explanation because they never reach a pool.
func TestExplanationNamesWithheldServers(t *testing.T) {
	d := newDrainFixture(t, time.Minute, func(*Front) {})
	d.awaitCandidates()
	reasons := func(question string) (out []string) {
		_, answer := d.ask(question)
		for _, s := range answer.Stages {
			for _, l := range s.LeftOut {
				out = append(out, l.Reason)
			}
		}
		return out
	}
	d.g.Expect(reasons(plainQuestion)).To(BeEmpty())
	d.group("app").holdOff(fleet.Server{ID: "app-1", StartMillis: d.plain.StartMillis}, time.Minute)
	d.g.Expect(reasons(plainQuestion)).To(Equal([]string{"held_off"}))
	_, answer := d.ask(plainQuestion)
	d.g.Expect(answer.Refusal.Code).To(Equal("no_backend_server"))
	d.plain.Register(d.store, "draining")
	d.g.Eventually(func() []string { return reasons(plainQuestion) }).WithTimeout(5 * time.Second).Should(Equal([]string{"leaving"}))
	d.store.Put(platform.EvacuationPrefix+"piran-a", []byte("{}"))
	d.g.Eventually(func() []string { return reasons(streamQuestion) }).WithTimeout(5 * time.Second).Should(Equal([]string{"zone_evacuated"}))
	_, answer = d.ask(streamQuestion)
	d.g.Expect(answer.Refusal.Code).To(Equal("zone_evacuated"))
}

// Guards against explanations that take the processor time of callers, and against bad input that is not named.
func TestExplanationsAreBounded(t *testing.T) {
	d := newDrainFixture(t, time.Minute, func(*Front) {})
	d.explaining.Store(maxExplaining)
	status, _ := d.ask(plainQuestion)
	d.g.Expect(status).To(Equal(http.StatusTooManyRequests))
	d.explaining.Store(0)
	for _, body := range []string{"", `{"host":1}`, `{"host":"a","path":"/","other":1}`, `{"host":"` + strings.Repeat("a", explainBodyLimit) + `"}`} {
		status, _ = d.ask(body)
		d.g.Expect(status).To(Equal(http.StatusBadRequest))
	}
	d.state.configuration.Store(nil)
	status, _ = d.ask(plainQuestion)
	d.g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	d.g.Expect(d.explaining.Load()).To(BeZero())
}
