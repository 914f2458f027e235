package users_test

import (
	"net/http"
	"strconv"
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
	// A plain server announces in responses to requests only, and one of several that are equally free may get none for a while.
	begun := time.Now()
	p.g.Eventually(func() int {
		p.load(time.Second, func(h *host) response { return p.do(h, http.MethodGet, "/view/1") })
		return p.plain[0].MostArrivals(begun, time.Minute)
	}).WithTimeout(waitTimeout).ShouldNot(BeZero())
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
	p.g.Eventually(func() int {
		// Requests at the same time, since one at a time goes to any of the servers that are equally free.
		p.load(100*time.Millisecond, func(h *host) response { return p.do(h, http.MethodGet, "/view/1") })
		return len(restarted.Runs())
	}).WithTimeout(waitTimeout).ShouldNot(BeZero())
}

const (
	// refusalTime is the wait that a backend server names, refusalNotice the time after which hosts must heed it, and
	// refusalSlack the number of requests that may reach it even so.
	refusalTime   = 3 * time.Second
	refusalNotice = 500 * time.Millisecond
	refusalSlack  = 2
)

// Guards against requests for a backend server that has refused one and named the time for which it wants no others, also when
// all servers have: callers are then told at once when to come back.
func TestHostsHeedTheWaitThatARefusalNames(t *testing.T) {
	p := newDeployment(t, 1)
	for name, refusing := range map[string][]*users.Worker{
		"some": {p.plain[0], p.decode[0]}, "all": {p.plain[0], p.plain[1], p.decode[0], p.decode[1]}, "prefill": {p.prefill},
	} {
		for _, w := range refusing {
			w.RefuseFor(refusalTime)
		}
		plain := p.load(refusalTime/2, func(h *host) response { return p.do(h, http.MethodGet, "/view/1") })
		streams := p.load(refusalTime/3, func(h *host) response { return p.stream(h, "ask") })
		for _, w := range refusing {
			p.g.Expect(w.Refusals()).NotTo(BeEmpty(), "%s: %s", name, w.ID)
			p.g.Expect(arrivalsInWait(w)).To(BeNumerically("<=", refusalSlack), "%s: %s", name, w.ID)
		}
		for _, a := range append(plain[5:], streams[5:]...) {
			if name != "all" {
				p.g.Expect(a.status).To(Equal(http.StatusOK), name)
				continue
			}
			p.g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
			p.g.Expect(strconv.ParseFloat(a.header.Get("Retry-After"), 64)).To(BeNumerically(">=", 0.1))
		}
		time.Sleep(refusalTime)
		p.g.Expect(p.do(p.hosts[0], http.MethodGet, "/view/1").status).To(Equal(http.StatusOK))
		p.g.Expect(p.stream(p.hosts[0], "ask").status).To(Equal(http.StatusOK))
	}
}

// arrivalsInWait returns the largest number of requests that arrived from refusalNotice after a refusal to the end of its wait.
func arrivalsInWait(w *users.Worker) (most int) {
	for _, r := range w.Refusals() {
		n := 0
		for _, a := range w.ArrivalTimes() {
			if a.At.After(r.At.Add(refusalNotice)) && a.At.Before(r.Until) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
