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

// drainNotice equals the setting drainMs.
const drainNotice = 2 * time.Second

// Guards against requests and prompts for a backend server that has announced in a response that it leaves, whatever the store
// says: that it is ready, or at first nothing and then that it is ready.
func TestHostsHeedServersThatAnnounceTheirLeaving(t *testing.T) {
	p := newDeployment(t, 1)
	p.worker(users.WorkerOptions{ID: "prefill-2", Service: "llm", Stage: "prefill"})
	leaving := []*users.Worker{p.plain[0], p.prefill, p.decode[0]}
	for _, w := range leaving {
		w.AnnounceLeaving()
	}
	p.load(time.Second, func(h *host) response { return p.do(h, http.MethodGet, "/view/1") })
	p.load(time.Second, func(h *host) response { return p.stream(h, "ask") })
	for _, w := range leaving {
		p.store.Remove("servers/" + w.ID)
	}
	time.Sleep(noticeTime)
	for _, w := range leaving {
		w.Register(p.store, "ready")
	}
	time.Sleep(drainNotice)
	from := time.Now()
	all := p.load(time.Second, func(h *host) response { return p.do(h, http.MethodGet, "/view/1") })
	all = append(all, p.load(time.Second, func(h *host) response { return p.stream(h, "ask") })...)
	for _, w := range leaving {
		p.g.Expect(w.MostArrivals(from, waitTimeout)).To(BeZero(), w.ID)
	}
	for _, a := range all {
		p.g.Expect(a.status).To(Equal(http.StatusOK))
	}
	// An incarnation that starts under the id of one that has left is another server.
	p.plain[0].Close()
	restarted := p.worker(users.WorkerOptions{ID: "app-1", Service: "app"})
	p.g.Eventually(func() int { _ = p.do(p.hosts[0], http.MethodGet, "/view/1"); return len(restarted.Runs()) }).
		WithTimeout(waitTimeout).ShouldNot(BeZero())
}
