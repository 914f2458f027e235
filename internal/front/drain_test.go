package front

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/fleet"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/outcome"
	"github.com/boragecourse/boragecourse/platform"
	"github.com/boragecourse/boragecourse/test/standin/users"
)

// drainFixture is a host with a plain backend server and an engine.
type drainFixture struct {
	*Front
	g             *WithT
	plain, engine *users.Worker
	signals       chan os.Signal
	stopped       chan error
	store         *users.Store
}

// newDrainFixture runs a host. prepare is called before it starts.
func newDrainFixture(t *testing.T, grace time.Duration, prepare func(f *Front)) *drainFixture {
	t.Helper()
	d := &drainFixture{g: NewWithT(t), signals: make(chan os.Signal, 1), stopped: make(chan error, 1)}
	store := users.NewStore()
	d.store = store
	endpoint, err := store.StartEndpoint()
	d.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(endpoint.Close)
	config := users.Configuration("stays.example", users.Tenant("guests", []string{"key"}, 100000))
	config["version"] = 1
	text, err := json.Marshal(config)
	d.g.Expect(err).NotTo(HaveOccurred())
	store.Put("op/config", text)
	d.plain = d.worker(t, store, users.WorkerOptions{ID: "app-1", Service: "app", Slots: 4, Work: 100 * time.Millisecond})
	d.engine = d.worker(t, store, users.WorkerOptions{ID: "decode-1", Service: "llm", Stage: "decode", Slots: 4, Events: 10, EventPause: 370 * time.Millisecond})

	settings := fleet.HostSettings{
		Name: "front-1", Zone: "piran-a", FirstStart: true,
		Callers: "127.0.0.1:0", Readiness: "127.0.0.1:0", Peers: "127.0.0.1:0", Metrics: "127.0.0.1:0",
	}
	settings.Limits.ShutdownGrace = grace
	d.Front, err = New(settings, platform.NewStore(endpoint.Addr), logr.Discard(), metrics.New())
	d.g.Expect(err).NotTo(HaveOccurred())
	prepare(d.Front)
	go func() { d.stopped <- d.Run(context.Background(), d.signals) }()
	d.g.Eventually(func() int { return len(d.allGroups()) }).WithTimeout(5 * time.Second).Should(Equal(2))
	return d
}

func (d *drainFixture) worker(t *testing.T, store *users.Store, o users.WorkerOptions) *users.Worker {
	t.Helper()
	o.Zone = "piran-a"
	w, err := users.StartWorker(o, "")
	d.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(w.Close)
	w.Register(store, "ready")
	return w
}

// send sends a request and returns its id, and an error unless its response is complete and successful.
func (d *drainFixture) send(ctx context.Context, client *http.Client, path string) (string, error) {
	id := strconv.FormatInt(requestNumber.Add(1), 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callers.Addr().String()+path, http.NoBody)
	if err != nil {
		return id, err
	}
	req.Host = "stays.example"
	for name, value := range map[string]string{
		"Request-Id": id, "Authorization": "Bearer key", "Model": "m", "Token-Counts": "100,100", "Length-Hint": "50",
	} {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return id, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return id, err
	}
	if resp.StatusCode != http.StatusOK {
		return id, &outcome.Error{Status: resp.StatusCode, Message: "unexpected status"}
	}
	return id, nil
}

var requestNumber atomic.Int64

// heldListener accepts connections whose reads hold back what they have received while hold is open.
type heldListener struct {
	net.Listener
	hold chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{Conn: c, hold: l.hold}, nil
}

type heldConn struct {
	net.Conn
	hold  chan struct{}
	reads int
}

func (c *heldConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 1 {
		if c.reads++; c.reads > 1 {
			<-c.hold
		}
	}
	return n, err
}

// Guards against a request that is cut because the host, while it drains, closes a connection whose next request it has just
// read.
func TestDrainServesRequestsThatItHasRead(t *testing.T) {
	hold := make(chan struct{})
	d := newDrainFixture(t, 8*time.Second, func(f *Front) { f.callers = &heldListener{Listener: f.callers, hold: hold} })
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	_, err := d.send(t.Context(), client, "/reserve/1")
	d.g.Expect(err).NotTo(HaveOccurred())
	d.signals <- syscall.SIGTERM
	time.Sleep(loadBalancerDelay - 200*time.Millisecond)
	second := make(chan error, 1)
	go func() {
		_, err := d.send(t.Context(), client, "/reserve/1")
		second <- err
	}()
	d.g.Eventually(d.refusingStreams.Load).WithTimeout(time.Second).Should(BeTrue())
	time.Sleep(50 * time.Millisecond)
	close(hold)
	d.g.Expect(<-second).To(Succeed())
	d.g.Expect(<-d.stopped).To(Succeed())
}

// Guards against plain requests that are accepted just before the drain time ends, because streams are still open, and cut
// at its end.
func TestDrainServesRequestsThatItAcceptsLast(t *testing.T) {
	d := newDrainFixture(t, 4500*time.Millisecond, func(*Front) {})
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for range 20 {
		_, err := d.send(t.Context(), client, "/reserve/1")
		d.g.Expect(err).NotTo(HaveOccurred())
	}
	d.signals <- syscall.SIGTERM
	time.Sleep(loadBalancerDelay - 500*time.Millisecond)
	go func() { _, _ = d.send(t.Context(), client, "/note/1") }()
	type result struct {
		id  string
		err error
	}
	results := make(chan result)
	for range 3 {
		go func() {
			for {
				id, err := d.send(t.Context(), client, "/reserve/1")
				results <- result{id, err}
				if errors.Is(err, syscall.ECONNREFUSED) {
					return
				}
			}
		}()
	}
	served := 0
	for refused := 0; refused < 3; {
		r := <-results
		switch {
		case r.err == nil:
			served++
		case errors.Is(r.err, syscall.ECONNREFUSED):
			refused++
		default:
			d.g.Expect(d.plain.Runs()[r.id]).To(BeZero(), "request %s ran and ended with %v", r.id, r.err)
		}
	}
	d.g.Expect(served).To(BeNumerically(">", 0))
	<-d.stopped
}

// Guards against requests that are accepted late in the drain and cut at its end: one whose server does not respond in time must be
// answered, and one that can't be expected to end in time must be refused at once as not run.
func TestDrainAnswersAllRequests(t *testing.T) {
	const grace = 4500 * time.Millisecond
	answersAt := grace - exitMargin - answerReserve
	d := newDrainFixture(t, grace, func(*Front) {})
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	_, err := d.send(t.Context(), client, "/reserve/1")
	d.g.Expect(err).NotTo(HaveOccurred())
	start := time.Now()
	d.signals <- syscall.SIGTERM
	time.Sleep(loadBalancerDelay - 500*time.Millisecond)
	go func() { _, _ = d.send(t.Context(), client, "/note/1") }()
	time.Sleep(time.Until(start.Add(answersAt - 1200*time.Millisecond)))
	d.plain.FallSilent(grace)
	accepted := make(chan error, 1)
	go func() { _, err := d.send(t.Context(), client, "/reserve/1"); accepted <- err }()
	time.Sleep(time.Until(start.Add(answersAt - 800*time.Millisecond)))
	_, err = d.send(t.Context(), client, "/reserve/2")
	var refused *outcome.Error
	d.g.Expect(errors.As(err, &refused)).To(BeTrue(), "%v", err)
	d.g.Expect(refused.Status).To(Equal(http.StatusServiceUnavailable))
	d.g.Expect(time.Since(start)).To(BeNumerically("<", answersAt-600*time.Millisecond), "refused at once")
	err = <-accepted
	d.g.Expect(errors.As(err, &refused)).To(BeTrue(), "%v", err)
	d.g.Expect(refused.Status).To(Equal(http.StatusBadGateway))
	d.g.Expect(<-d.stopped).To(Succeed())
}

// Guards against a request that gets no answer because its handler panics.
func TestRequestsWhoseHandlerPanicsAreAnswered(t *testing.T) {
	d := newDrainFixture(t, 4500*time.Millisecond, func(f *Front) {
		f.backends.OnRateLimit = func(fleet.Server, float64) { panic("injected") }
	})
	for range 6 {
		_, err := d.send(t.Context(), &http.Client{}, "/reserve/1")
		var failed *outcome.Error
		d.g.Expect(errors.As(err, &failed)).To(BeTrue(), "%v", err)
		d.g.Expect(failed.Status).To(Equal(http.StatusInternalServerError))
	}
	d.g.Eventually(d.open.Load).Should(BeZero())
	d.signals <- syscall.SIGTERM
	d.g.Expect(<-d.stopped).To(Succeed())
}
