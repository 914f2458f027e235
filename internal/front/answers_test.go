package front

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/fleet"
	"github.com/boragecourse/boragecourse/internal/outcome"
	"github.com/boragecourse/boragecourse/internal/registry"
	"github.com/boragecourse/boragecourse/platform"
	"github.com/boragecourse/boragecourse/test/standin/users"
)

// endingContext ends between two looks at it: once armed, only the first call of Err returns nil.
type endingContext struct {
	context.Context
	armed atomic.Bool
	looks atomic.Int64
}

func (c *endingContext) Err() error {
	if c.armed.Load() && c.looks.Add(1) > 1 {
		return context.DeadlineExceeded
	}
	return nil
}

// newCall returns a non-idempotent request that has been admitted.
func (d *drainFixture) newCall(w http.ResponseWriter) *call {
	config := d.state.Configuration()
	x := &call{
		w: w, config: config, route: config.Route("stays.example", "/reserve/1"), deadline: time.Now().Add(3 * time.Second),
		request: &fleet.Request{ID: "1", Method: http.MethodPost, Target: "/reserve/1", Host: "stays.example", Arrived: time.Now(), Header: http.Header{}},
	}
	x.group, x.begin = d.group(d.destination(x)), func() error { x.started = true; return nil }
	return x
}

// Guards against an empty success in place of a server's failure because the request's time ends just after the failure was received.
func TestFailuresOfServersAreRelayedWhenTheTimeEnds(t *testing.T) {
	d := newDrainFixture(t, 4500*time.Millisecond, func(*Front) {})
	ctx := &endingContext{Context: context.Background()}
	d.plain.SetFault(users.Failing)
	d.plain.Before(func(*http.Request) { ctx.armed.Store(true) })
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := d.newCall(w)
		d.finish(r, x, d.forwardPlain(ctx, x))
	}))
	defer host.Close()
	resp, err := http.Get(host.URL)
	d.g.Expect(err).NotTo(HaveOccurred())
	d.g.Expect(resp.Body.Close()).To(Succeed())
	d.g.Expect(resp.StatusCode).To(Equal(http.StatusInternalServerError))
	d.g.Expect(resp.Header.Get("Response-Stamp")).NotTo(BeEmpty())
}

// Guards against a stream that gets no answer because its engine's run ends after the head of its response and before the first event.
func TestStreamsThatEndBeforeTheFirstEventAreAnswered(t *testing.T) {
	d := newDrainFixture(t, 4500*time.Millisecond, func(*Front) {})
	d.engine.EndStreamsWithConnection(true)
	_, err := d.send(t.Context(), &http.Client{}, "/note/1")
	var failure *outcome.Error
	d.g.Expect(errors.As(err, &failure)).To(BeTrue(), "%v", err)
	d.g.Expect(failure.Status).To(Equal(http.StatusBadGateway))
}

// Guards against a broken response in place of a failure, because the drain time ends between the head of a response and its relay.
func TestLongResponsesAreNotBegunAfterTheEndOfTheDrain(t *testing.T) {
	d := newDrainFixture(t, 4500*time.Millisecond, func(*Front) {})
	w := httptest.NewRecorder()
	x := d.newCall(w)
	ctx, cancel := d.requestContext(t.Context(), x)
	defer cancel()
	d.endAnswers(&DrainEndedError{})
	<-ctx.Done()
	rest, _ := io.Pipe()
	context.AfterFunc(ctx, func() { _ = rest.CloseWithError(ctx.Err()) })
	err := d.writeResponse(ctx, x, &response{Response: &platform.Response{Status: http.StatusOK, Header: http.Header{}, Length: -1}, body: []byte("a"), rest: rest})
	var ended *DrainEndedError
	d.g.Expect(errors.As(err, &ended)).To(BeTrue(), "%v", err)
	d.g.Expect(x.started).To(BeFalse())
}

// Guards against a request that never ends because its caller does not read a long response.
func TestCallersThatDoNotReadAreGivenUp(t *testing.T) {
	d := newDrainFixture(t, 4500*time.Millisecond, func(*Front) {})
	ended := make(chan struct{})
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		x := d.newCall(w)
		x.deadline = time.Now().Add(200 * time.Millisecond)
		ctx, cancel := d.requestContext(r.Context(), x)
		defer cancel()
		rest, server := io.Pipe()
		go func() {
			for ctx.Err() == nil {
				_, _ = server.Write(make([]byte, 64<<10))
			}
			_ = server.CloseWithError(ctx.Err())
		}()
		d.finish(r, x, d.writeResponse(ctx, x, &response{Response: &platform.Response{Status: http.StatusOK, Header: http.Header{}, Length: -1}, rest: rest}))
	}))
	caller, err := net.Dial("tcp", host.Listener.Addr().String())
	d.g.Expect(err).NotTo(HaveOccurred())
	defer caller.Close()
	_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	d.g.Expect(err).NotTo(HaveOccurred())
	d.g.Eventually(ended).WithTimeout(3 * time.Second).Should(BeClosed())
}

// Guards against a stream that gets no answer because its deadline passes, or its caller's input ends, between the head and the first event.
func TestStreamsThatHaveOnlyAHeadAreAnswered(t *testing.T) {
	for name, c := range map[string]struct {
		deadlineMs, status int
		endInput           bool
	}{"deadline": {500, http.StatusGatewayTimeout, false}, "input ended": {3000, http.StatusBadGateway, true}} {
		t.Run(name, func(t *testing.T) {
			d := newDrainFixture(t, 4500*time.Millisecond, func(*Front) {})
			begun := make(chan struct{}, 1)
			engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/api/hold-take" {
					_, _ = io.WriteString(w, `{"hold":"1"}`)
					return
				}
				w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
				w.Header().Set("Response-Stamp", "stamp")
				w.Header().Set("Content-Type", "text/event-stream")
				_ = http.NewResponseController(w).Flush()
				begun <- struct{}{}
				<-r.Context().Done()
			}))
			defer engine.Close()
			d.group("llm").update([]registry.State{{Server: fleet.Server{
				ID: "decode-2", Service: "llm", Address: engine.Listener.Addr().String(), Zone: "piran-a", Slots: 4, Stage: fleet.Decode,
			}}})
			caller, err := net.Dial("tcp", d.callers.Addr().String())
			d.g.Expect(err).NotTo(HaveOccurred())
			defer caller.Close()
			_, err = fmt.Fprintf(caller, "POST /note/1 HTTP/1.1\r\nHost: stays.example\r\nRequest-Id: 1\r\nAuthorization: Bearer key\r\nDeadline-Ms: %d\r\n"+
				"Model: m\r\nToken-Counts: 100,100\r\nContent-Length: 0\r\n\r\n", c.deadlineMs)
			d.g.Expect(err).NotTo(HaveOccurred())
			<-begun
			if c.endInput {
				time.Sleep(50 * time.Millisecond)
				d.g.Expect(caller.(*net.TCPConn).CloseWrite()).To(Succeed())
			}
			resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
			d.g.Expect(err).NotTo(HaveOccurred())
			d.g.Expect(resp.Body.Close()).To(Succeed())
			d.g.Expect(resp.StatusCode).To(Equal(c.status))
		})
	}
}
