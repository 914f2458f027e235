package users_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/test/standin/users"
)

// noticeTime is the time within which a host has learned from the store that a backend server leaves.
const noticeTime = 800 * time.Millisecond

// Guards against a stream that is sent to a decode engine which began to leave after the slot was reserved, while the host
// waited for the reservation, for the prefill or for a prefill engine that never responds.
func TestStreamsAvoidEnginesThatLeaveInThePreparation(t *testing.T) {
	// The prefill of this prompt times out after 2.05 s.
	prompt := []option{header("Token-Counts", "7500,100"), header("Deadline-Ms", "4000")}
	isReservation := func(r *http.Request) bool { return r.URL.Path == "/api/hold-take" }
	isPrefill := func(r *http.Request) bool { return r.Header.Get("Serving-Stage") == "prefill" }
	for name, wait := range map[string]struct {
		matches      func(*http.Request) bool
		prefillFault users.WorkerFault
	}{
		"reservation":                 {isReservation, users.NoFault},
		"prefill":                     {isPrefill, users.NoFault},
		"prefill that never responds": {isPrefill, users.Hanging},
	} {
		t.Run(name, func(t *testing.T) {
			p := newDeployment(t, 1)
			p.prefill.SetFault(wait.prefillFault)
			var once sync.Once
			var left *users.Worker
			for _, w := range p.workers() {
				w.Before(func(r *http.Request) {
					if wait.matches(r) {
						once.Do(func() { left = p.leaveReserved(r); time.Sleep(noticeTime) })
					}
				})
			}
			a := p.stream(p.hosts[0], "note", prompt...)
			p.g.Expect(left).NotTo(BeNil())
			p.g.Expect(left.Runs()[a.id]).To(BeZero(), "the stream reached the leaving engine")
			p.g.Expect(a.err).NotTo(HaveOccurred())
			p.g.Expect(events(a.body)).To(Equal(sequence(10)))
		})
	}
}

// leaveReserved makes the decode engine leave that holds a reservation, or that receives the call for one.
func (p *deployment) leaveReserved(r *http.Request) *users.Worker {
	for _, w := range p.decode {
		if _, holds, _ := w.Busy(); holds > 0 || r.Host == w.Addr {
			w.Register(p.store, "draining")
			return w
		}
	}
	return nil
}
