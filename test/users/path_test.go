package users_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/test/standin/users"
)

// deployment is a fleet with two plain backend servers, a prefill engine and two decode engines.
type deployment struct {
	*fleet
	plain, decode [2]*users.Worker
	prefill       *users.Worker
}

func newDeployment(t *testing.T, hosts int) *deployment {
	t.Helper()
	p := &deployment{fleet: newFleet(t, hosts)}
	for i, id := range []string{"app-1", "app-2"} {
		p.plain[i] = p.worker(users.WorkerOptions{ID: id, Service: "app"})
	}
	p.prefill = p.worker(users.WorkerOptions{ID: "prefill-1", Service: "llm", Stage: "prefill"})
	for i, id := range []string{"decode-1", "decode-2"} {
		p.decode[i] = p.worker(users.WorkerOptions{ID: id, Service: "llm", Stage: "decode", Events: 10, EventPause: 10 * time.Millisecond})
	}
	for _, h := range p.hosts {
		p.awaitServing(h)
	}
	return p
}

func (p *deployment) workers() []*users.Worker {
	return append(append([]*users.Worker{p.prefill}, p.plain[:]...), p.decode[:]...)
}

// runs returns how many times a request ran, over all backend servers.
func (p *deployment) runs(id string) (n int) {
	for _, w := range p.workers() {
		n += w.Runs()[id]
	}
	return n
}

// Guards against a request that reaches the backend server with a modified path, the caller's key, or caller-supplied
// values of headers that only hosts may set.
func TestRequestsArriveAsSent(t *testing.T) {
	p := newDeployment(t, 1)
	a := p.do(p.hosts[0], http.MethodGet, "/view/a%2Fb?x=1&y=%20", header("Tenant", "forged"), header("Kv-Hold", "forged"), header("X-Own", "kept"))
	p.g.Expect(a.err).NotTo(HaveOccurred())
	p.g.Expect(a.body).To(HavePrefix("answer to GET /view/a%2Fb?x=1&y=%20 by app-"))
	p.g.Expect(a.header.Get("Response-Stamp")).NotTo(BeEmpty())
	p.g.Expect(a.header.Get("Load-Report")).To(BeEmpty())
	got := p.plain[0].Header(a.id)
	if got == nil {
		got = p.plain[1].Header(a.id)
	}
	p.g.Expect(got.Get("Authorization")).To(BeEmpty())
	p.g.Expect(got.Get("Tenant")).To(Equal(workspace))
	p.g.Expect(got.Get("Kv-Hold")).To(BeEmpty())
	p.g.Expect(got.Get("X-Own")).To(Equal("kept"))
	p.g.Expect(got.Get("Expect-Instance")).To(HavePrefix("app-"))
	p.g.Expect(p.do(p.hosts[0], http.MethodGet, "/none/1").status).To(Equal(http.StatusNotFound))
	p.g.Expect(p.do(p.hosts[0], http.MethodGet, "/view/1", header("Authorization", "Bearer wrong")).status).To(Equal(http.StatusUnauthorized))
	p.g.Expect(p.do(p.hosts[0], http.MethodGet, "/open/1", header("Authorization", "")).status).To(Equal(http.StatusOK))
}

// Guards against a stream with a missing or duplicate event, and against engine memory that is not released after it.
func TestStreamsAreCompleteAndReleaseMemory(t *testing.T) {
	p := newDeployment(t, 1)
	for range 5 {
		a := p.stream(p.hosts[0], "note")
		p.g.Expect(a.err).NotTo(HaveOccurred())
		p.g.Expect(events(a.body)).To(Equal(sequence(10)))
		p.g.Expect(p.runs(a.id)).To(Equal(1))
	}
	for _, w := range p.decode {
		p.g.Eventually(func() int { working, holds, _ := w.Busy(); return working + holds }).WithTimeout(waitTimeout).Should(BeZero())
	}
}

// Guards against a stream that continues at the wrong event after its engine failed, or that runs again although its
// route does not permit it.
func TestInterruptedStreams(t *testing.T) {
	p := newDeployment(t, 1)
	p.decode[0].TruncateStreams(4)
	p.decode[1].TruncateStreams(4)
	a := p.stream(p.hosts[0], "note")
	p.g.Expect(a.err).To(HaveOccurred(), "an interrupted stream that may not be resumed must end with an error")
	p.g.Expect(events(a.body)).To(Equal(sequence(4)))
	p.g.Expect(p.runs(a.id)).To(Equal(1))
	a = p.stream(p.hosts[0], "ask")
	p.g.Expect(a.err).To(HaveOccurred(), "both attempts were interrupted after four events")
	p.g.Expect(events(a.body)).To(Equal(sequence(8)))
	p.g.Expect(p.runs(a.id)).To(Equal(2))
	p.decode[1].TruncateStreams(0)
	for range 4 {
		a = p.stream(p.hosts[0], "ask")
		p.g.Expect(a.err).NotTo(HaveOccurred())
		p.g.Expect(events(a.body)).To(Equal(sequence(10)))
	}
}

// Guards against a stream without length or chunks that counts as complete although it ended inside an event or before its
// first one, or as broken off although it is complete.
func TestStreamsThatEndWithTheirConnection(t *testing.T) {
	p := newDeployment(t, 1)
	for _, w := range p.decode {
		w.EndStreamsWithConnection(false)
	}
	a := p.stream(p.hosts[0], "note")
	p.g.Expect(a.err).NotTo(HaveOccurred())
	p.g.Expect(events(a.body)).To(Equal(sequence(10)))
	for _, w := range p.decode {
		w.TruncateStreams(4)
	}
	a = p.stream(p.hosts[0], "note")
	p.g.Expect(a.err).To(HaveOccurred())
	p.g.Expect(events(a.body)).To(Equal(sequence(4)))
	for _, w := range p.decode {
		w.EndStreamsWithConnection(true)
	}
	a = p.stream(p.hosts[0], "note")
	p.g.Expect(a.err).NotTo(HaveOccurred())
	p.g.Expect(a.status).To(Equal(http.StatusBadGateway), "a response without any event")
	p.g.Expect(a.header.Get("Response-Stamp")).To(BeEmpty())
}

// Guards against a non-idempotent request that runs twice, and against a "not run" refusal of a request that ran.
func TestNonIdempotentRequestsRunAtMostOnce(t *testing.T) {
	p := newDeployment(t, 1)
	for _, c := range []struct {
		name   string
		fault  users.WorkerFault
		status int
		runs   int
	}{
		{"response lost", users.DroppingResponses, http.StatusBadGateway, 1},
		{"response to another request", users.WrongRequestID, http.StatusBadGateway, 1},
		{"response truncated", users.Truncating, http.StatusBadGateway, 1},
		{"status 500 from the server", users.Failing, http.StatusInternalServerError, 1},
		{"status 503 from a server that ran it", users.Overloaded, http.StatusBadGateway, 1},
		{"rejected", users.Rejecting, http.StatusServiceUnavailable, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			for _, w := range p.plain {
				w.SetFault(c.fault)
			}
			a := p.do(p.hosts[0], http.MethodPost, "/reserve/1")
			g.Expect(a.err).NotTo(HaveOccurred())
			g.Expect(a.status).To(Equal(c.status))
			g.Expect(p.runs(a.id)).To(Equal(c.runs))
			if c.runs == 0 {
				g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
			}
		})
	}
	for _, w := range p.plain {
		w.SetFault(users.Hanging)
	}
	started := time.Now()
	a := p.do(p.hosts[0], http.MethodPost, "/reserve/1", header("Deadline-Ms", "500"))
	p.g.Expect(a.status).To(Equal(http.StatusGatewayTimeout))
	p.g.Expect(time.Since(started)).To(BeNumerically("<", time.Second))
}

// Guards against corrupted responses when a backend server sends bytes after the end of its response or responds before
// it has read the request body: neither may affect this response or the next one on the connection.
func TestExcessAndEarlyAnswers(t *testing.T) {
	p := newDeployment(t, 1)
	for _, fault := range []users.WorkerFault{users.ExtraResponse, users.EarlyResponse} {
		for _, w := range p.plain {
			w.SetFault(fault)
		}
		for i := range 8 {
			path := fmt.Sprintf("/view/%d", i)
			a := p.do(p.hosts[0], http.MethodPost, path, func(r *http.Request) {
				r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 60_000))), 60_000
			})
			p.g.Expect(a.err).NotTo(HaveOccurred())
			p.g.Expect(a.status).To(Equal(http.StatusOK))
			p.g.Expect(a.body).To(HavePrefix("answer to POST " + path + " by "))
			p.g.Expect(a.header.Get("Request-Id")).To(Equal(a.id))
		}
	}
}

// Guards against an idempotent request that fails although it could be retried at another backend server.
func TestIdempotentRequestsAreRetried(t *testing.T) {
	p := newDeployment(t, 1)
	for _, fault := range []users.WorkerFault{users.DroppingResponses, users.Failing, users.Rejecting, users.Truncating} {
		p.plain[0].SetFault(fault)
		for range 4 {
			p.g.Expect(p.do(p.hosts[0], http.MethodGet, "/view/1").status).To(Equal(http.StatusOK))
		}
	}
}

// Guards against work and reserved engine memory that remain after the caller has canceled the request.
func TestCanceledRequestsAreAborted(t *testing.T) {
	p := newDeployment(t, 1)
	for _, w := range p.decode {
		w.TruncateStreams(0)
		w.SetEventPause(time.Second)
	}
	ctx, cancel := context.WithCancel(t.Context())
	req := p.request(ctx, p.hosts[0], http.MethodPost, "/ask/1", header("Token-Counts", "100,100"))
	resp, err := p.client.Do(req)
	p.g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	cancel()
	for _, w := range p.decode {
		p.g.Eventually(func() int { working, holds, _ := w.Busy(); return working + holds }).
			WithTimeout(500 * time.Millisecond).WithPolling(10 * time.Millisecond).Should(BeZero())
	}
}

// Guards against joined logs in which a line does not say which host wrote it, and against an outage of the store since
// the zero time in the first lines.
func TestLogLinesNameTheirHost(t *testing.T) {
	p := newDeployment(t, 1)
	lines := strings.Split(strings.TrimSpace(p.firstLog(p.hosts[0])), "\n")
	p.g.Expect(len(lines)).To(BeNumerically(">", 5))
	for _, line := range lines {
		p.g.Expect(line).To(MatchRegexp(` host=host-0\.toml( |$)`))
		p.g.Expect(line).NotTo(ContainSubstring("away="))
	}
}

// Guards against a workspace that exceeds its rate through one host or the other, and against a refusal without
// Retry-After.
func TestWorkspaceRateLimits(t *testing.T) {
	p := newDeployment(t, 2)
	// At this rate a request's cost takes 10 s to refill, so that a second request right after a refusal is refused too.
	p.configure(routes(1))
	p.g.Eventually(func() int { return p.do(p.hosts[0], http.MethodGet, "/view/1").status }).
		WithTimeout(waitTimeout).WithPolling(time.Millisecond).Should(Equal(http.StatusTooManyRequests))
	a := p.do(p.hosts[0], http.MethodGet, "/view/1")
	p.g.Expect(a.status).To(Equal(http.StatusTooManyRequests))
	p.g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
	p.g.Expect(p.runs(a.id)).To(BeZero())
	p.g.Eventually(func() int { return p.do(p.hosts[1], http.MethodGet, "/view/1").status }).
		WithTimeout(waitTimeout).WithPolling(time.Millisecond).Should(Equal(http.StatusTooManyRequests))
}

// Guards against a shutdown that interrupts a stream, and against a host that reports ready during its shutdown.
func TestShutdownFinishesStreams(t *testing.T) {
	p := newDeployment(t, 1)
	for _, w := range p.decode {
		w.EventPause = 270 * time.Millisecond
	}
	done := make(chan response, 1)
	go func() { done <- p.stream(p.hosts[0], "note") }()
	p.g.Eventually(func() int {
		a, _, _ := p.decode[0].Busy()
		b, _, _ := p.decode[1].Busy()
		return a + b
	}).WithTimeout(waitTimeout).Should(Equal(1))
	stopped := make(chan bool, 1)
	go func() { stopped <- p.hosts[0].process.Terminate(8 * time.Second) }()
	p.g.Eventually(func() int {
		resp, err := p.client.Get("http://" + p.hosts[0].ready + "/api/readyz")
		if err != nil {
			return 0
		}
		resp.Body.Close()
		return resp.StatusCode
	}).WithTimeout(time.Second).Should(Equal(http.StatusServiceUnavailable))
	a := <-done
	p.g.Expect(a.err).NotTo(HaveOccurred())
	p.g.Expect(events(a.body)).To(Equal(sequence(10)))
	p.g.Expect(<-stopped).To(BeTrue())
	p.g.Expect(p.firstLog(p.hosts[0])).NotTo(ContainSubstring("store lost"), "its own end is no outage of the store")
}

// firstLog returns what the first process of a host has logged.
func (f *fleet) firstLog(h *host) string {
	text, err := os.ReadFile(filepath.Join(f.procs.Logs, filepath.Base(h.settings)+"-1.log"))
	f.g.Expect(err).NotTo(HaveOccurred())
	return string(text)
}

// Guards against a host that, during its shutdown, refuses connections while streams are open, accepts streams that it
// would have to interrupt, or does not exit after its last stream has ended.
func TestHostServesDuringShutdown(t *testing.T) {
	p := newDeployment(t, 1)
	config := routes(100000)
	config["routes"].([]any)[2].(map[string]any)["timeoutMs"] = 9000
	p.configure(config)
	time.Sleep(time.Second)
	for _, w := range p.decode {
		w.SetEventPause(460 * time.Millisecond)
	}
	done := make(chan response, 1)
	go func() { done <- p.stream(p.hosts[0], "ask", header("Deadline-Ms", "9000")) }()
	time.Sleep(200 * time.Millisecond)
	stopped := make(chan time.Duration, 1)
	go func() {
		begun := time.Now()
		if p.hosts[0].process.Terminate(8 * time.Second) {
			stopped <- time.Since(begun)
		}
		close(stopped)
	}()
	time.Sleep(300 * time.Millisecond)
	a := p.stream(p.hosts[0], "note", header("Token-Counts", "100,40000"), header("Length-Hint", "30000"))
	p.g.Expect(a.status).To(Equal(http.StatusServiceUnavailable), "a stream that cannot end before the shutdown")
	p.g.Expect(p.runs(a.id)).To(BeZero())
	time.Sleep(2700 * time.Millisecond)
	a = p.do(p.hosts[0], http.MethodGet, "/view/1")
	p.g.Expect(a.err).NotTo(HaveOccurred())
	p.g.Expect(a.status).To(Equal(http.StatusOK))
	a = p.stream(p.hosts[0], "ask")
	p.g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	p.g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
	p.g.Expect(p.runs(a.id)).To(BeZero())
	a = <-done
	p.g.Expect(a.err).NotTo(HaveOccurred())
	p.g.Expect(events(a.body)).To(Equal(sequence(10)))
	p.g.Expect(<-stopped).To(And(BeNumerically(">", 4*time.Second), BeNumerically("<", 6*time.Second)))
}

// Guards against a stream that fails because its engine stops sending without closing the connection, before the first
// event or later, and against one that keeps running at that engine after it continued at another one.
func TestStreamsFailOverFromUnresponsiveEngines(t *testing.T) {
	for name, inject := range map[string]func(w *users.Worker){
		"before the first event": func(w *users.Worker) { w.SetFault(users.Hanging) },
		"in the middle":          func(w *users.Worker) { w.StallStreams(3) },
	} {
		t.Run(name, func(t *testing.T) {
			p := newDeployment(t, 1)
			inject(p.decode[0])
			for range 6 {
				a := p.stream(p.hosts[0], "ask")
				p.g.Expect(a.err).NotTo(HaveOccurred())
				p.g.Expect(events(a.body)).To(Equal(sequence(10)))
			}
			p.g.Eventually(func() int { working, _, _ := p.decode[0].Busy(); return working }).WithTimeout(waitTimeout).Should(BeZero())
		})
	}
	t.Run("prefill", func(t *testing.T) {
		p := newDeployment(t, 1)
		p.worker(users.WorkerOptions{ID: "prefill-2", Service: "llm", Stage: "prefill"})
		p.prefill.SetFault(users.Hanging)
		for range 4 {
			p.g.Expect(p.stream(p.hosts[0], "note").status).To(Equal(http.StatusOK))
		}
	})
}

// Guards against retries beyond the retry budget: a stream that continues at another engine has its prompt processed
// again, which counts as a retry of its own.
func TestContinuedStreamsStayWithinRetryBudget(t *testing.T) {
	p := newDeployment(t, 1)
	before := p.extraSends()
	for _, w := range p.decode {
		w.TruncateStreams(4)
	}
	const streams = 60
	var group sync.WaitGroup
	for range streams {
		group.Go(func() { p.stream(p.hosts[0], "ask") })
		time.Sleep(60 * time.Millisecond)
	}
	group.Wait()
	p.g.Expect(p.extraSends()-before).To(BeNumerically("<=", 56+streams/5), "at most 56 retries plus one for every five requests")
	p.g.Expect(p.extraSends()-before).To(BeNumerically(">=", 40), "the retry budget is not used up")
}

// extraSends counts the calls to backend servers beyond one prefill call and one other call for each request.
func (p *deployment) extraSends() (extra int) {
	sends := map[string]users.Arrivals{}
	for _, w := range p.workers() {
		for id, a := range w.Arrivals() {
			sum := sends[id]
			sends[id] = users.Arrivals{Prefills: sum.Prefills + a.Prefills, Others: sum.Others + a.Others}
		}
	}
	for _, a := range sends {
		extra += max(a.Prefills-1, 0) + max(a.Others-1, 0)
	}
	return extra
}
