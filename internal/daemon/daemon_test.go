package daemon_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/boragecourse/boragecourse/internal/daemon"
	"github.com/boragecourse/boragecourse/internal/operatorapi"
	"github.com/boragecourse/boragecourse/internal/settings"
	standin "github.com/boragecourse/boragecourse/test/standin/engine"
	"github.com/boragecourse/boragecourse/test/standin/etcd"
	"github.com/boragecourse/boragecourse/test/standin/memstore"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	callerKey  = "bc-caller"
	credential = "operator-credential-1"
	peerSecret = "0123456789abcdef"
	// testTimeout bounds waits for events that normally occur without delay. It is long only to allow for a loaded
	// machine.
	testTimeout = time.Minute
)

func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// host is a running daemon with a store and an engine.
type host struct {
	settings settings.Daemon
	signals  chan os.Signal
	ended    chan error
	client   *operatorapi.Client
	core     *standin.Core
}

func start(t *testing.T) *host {
	t.Helper()
	return startLogged(t, logr.Discard())
}

func startLogged(t *testing.T, log logr.Logger) *host {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	store := etcd.New(memstore.New())
	served := make(chan struct{})
	go func() { defer close(served); _ = store.Serve(listener) }()
	t.Cleanup(func() { store.Stop(); <-served })
	sum := sha256.Sum256([]byte(credential))
	h := &host{signals: make(chan os.Signal, 2), ended: make(chan error, 1), settings: settings.Daemon{
		Name: "h1", Zone: "piran-a", ListenCallers: freeAddr(t), ListenPeers: freeAddr(t), ListenOperators: freeAddr(t),
		Store: []string{listener.Addr().String()}, PeerSecret: peerSecret,
		OperatorCredentialSHA256: hex.EncodeToString(sum[:]), DrainTimeout: testTimeout, TrustPeriod: 3 * time.Second,
		IsolationLimit: 5 * time.Minute, LeaseTTL: 5 * time.Second, FirstTokenTarget: testTimeout, MaxBodyBytes: 1 << 20,
		MaxHeaderBytes: 64 << 10, BodyTimeout: testTimeout, IdleTimeout: testTimeout, StreamTimeout: testTimeout,
		DefaultMaxOutput: 16, MaxOpenRequests: 1000, HeartbeatInterval: 500 * time.Millisecond,
	}}
	d, err := daemon.New(h.settings, log)
	if err != nil {
		t.Fatal(err)
	}
	go func() { h.ended <- d.Run(context.Background(), h.signals) }()
	h.client = operatorapi.NewClient([]string{h.settings.ListenOperators}, credential)
	h.startEngine(t)
	return h
}

func (h *host) startEngine(t *testing.T) {
	t.Helper()
	h.core = standin.New(standin.Config{Name: "keeper-1", Model: "keeper-llm"}, standin.NewFleet())
	server := httptest.NewServer(standin.Handler(h.core))
	t.Cleanup(server.Close)
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	t.Cleanup(h.client.HTTP.CloseIdleConnections)
	sum := sha256.Sum256([]byte(callerKey))
	text := fmt.Sprintf(`zone piran-a region=primorska # ana: first zone
workspace guests rate=100000/s burst=1000000 # bojan: contract 3
key guests sha256=%s id=k1 # bojan: first key
server keeper-1 zone=piran-a addr=%s role=both model=keeper-llm # ana: rack 1
route /v1/completions model=keeper-llm repeatable=yes class=wait # ana: answers
`, hex.EncodeToString(sum[:]), strings.TrimPrefix(server.URL, "http://"))
	g := NewWithT(t)
	g.Eventually(func() (uint64, error) {
		status, err := h.client.StatusOf(t.Context(), h.settings.ListenOperators)
		return status.Epoch, err
	}).WithTimeout(testTimeout).ShouldNot(BeZero())
	g.Eventually(func() error {
		f, err := h.client.File(t.Context())
		if err != nil {
			return err
		}
		_, err = h.client.Apply(t.Context(), operatorapi.ApplyRequest{BaseGeneration: f.Generation, Text: text})
		return err
	}).WithTimeout(testTimeout).Should(Succeed())
	g.Eventually(func() (int, error) { status, _, err := h.complete(1); return status, err }).WithTimeout(testTimeout).Should(Equal(http.StatusOK))
}

// complete requests a completion of n tokens and reads the response to its end.
func (h *host) complete(n int) (status int, requestID string, err error) {
	body := fmt.Sprintf(`{"model":"keeper-llm","prompt":"hello","max_tokens":%d}`, n)
	req, err := http.NewRequest(http.MethodPost, "http://"+h.settings.ListenCallers+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get("X-Request-Id"), err
}

func (h *host) awaitOpen(g *WithT, ctx context.Context, n int) {
	g.Eventually(func() (int, error) {
		s, err := h.client.StatusOf(ctx, h.settings.ListenOperators)
		return s.OpenRequests, err
	}).WithTimeout(testTimeout).Should(Equal(n))
}

// Guards against a drain that aborts a request, accepts new ones, loses a charge, or does not end without a second
// signal.
func TestDrainFinishesOpenRequests(t *testing.T) {
	g := NewWithT(t)
	h := start(t)
	status, id, err := h.complete(4)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(http.StatusOK))
	g.Eventually(func() (string, error) {
		ch, err := h.client.Charge(t.Context(), id)
		return fmt.Sprintf("%s %d %s", ch.Who, ch.RuleLine, ch.Workspace), err
	}).WithTimeout(testTimeout).Should(Equal("bojan 2 guests"))

	open := make(chan int, 1)
	go func() { status, _, _ := h.complete(100); open <- status }()
	h.awaitOpen(g, t.Context(), 1)
	h.signals <- syscall.SIGTERM
	g.Eventually(func() int { status, _, _ := h.complete(1); return status }).WithTimeout(testTimeout).
		Should(Equal(http.StatusServiceUnavailable))
	g.Expect(<-open).To(Equal(http.StatusOK))
	g.Expect(<-h.ended).To(Succeed())
	g.Expect(h.core.Report().HeldPieces).To(BeZero())
}

// Guards against a second signal that does not abort the drain, and against aborted requests that are not reported.
func TestSecondSignalEndsTheDrain(t *testing.T) {
	g := NewWithT(t)
	h := start(t)
	done := make(chan struct{})
	go func() { defer close(done); _, _, _ = h.complete(1000) }()
	h.awaitOpen(g, t.Context(), 1)
	h.signals <- syscall.SIGTERM
	h.signals <- syscall.SIGTERM
	var cut *daemon.DrainError
	g.Expect(errors.As(<-h.ended, &cut)).To(BeTrue())
	g.Expect(cut.Open).To(Equal(1))
	<-done
}

// Guards against a start with invalid settings or an address in use, and against start errors without a type.
func TestStartFailures(t *testing.T) {
	g := NewWithT(t)
	h := start(t)
	var faults *settings.Error
	_, err := daemon.New(settings.Daemon{}, logr.Discard())
	g.Expect(errors.As(err, &faults)).To(BeTrue())
	var listen *daemon.ListenError
	_, err = daemon.New(h.settings, logr.Discard())
	g.Expect(errors.As(err, &listen)).To(BeTrue())
	g.Expect(listen.Addr).To(Equal(h.settings.ListenCallers))

	resp, err := http.Get("http://" + h.settings.ListenOperators + "/metrics")
	g.Expect(err).NotTo(HaveOccurred())
	text, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	g.Expect(string(text)).To(ContainSubstring("boragecourse_config_generation 1"))
	h.signals <- syscall.SIGTERM
	g.Expect(<-h.ended).To(Succeed())
}
