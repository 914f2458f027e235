package front

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/fleet"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/platform"
	"github.com/boragecourse/boragecourse/test/standin/users"
)

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
	g := NewWithT(t)
	store := users.NewStore()
	endpoint, err := store.StartEndpoint()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(endpoint.Close)
	config := users.Configuration("stays.example", users.Tenant("guests", []string{"key"}, 100000))
	config["version"] = 1
	text, err := json.Marshal(config)
	g.Expect(err).NotTo(HaveOccurred())
	store.Put("op/config", text)
	worker, err := users.StartWorker(users.WorkerOptions{ID: "app-1", Service: "app", Slots: 4, Zone: "piran-a"}, "")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(worker.Close)
	worker.Register(store, "ready")

	settings := fleet.HostSettings{Name: "front-1", Zone: "piran-a", Callers: "127.0.0.1:0", Readiness: "127.0.0.1:0", Peers: "127.0.0.1:0", Metrics: "127.0.0.1:0", FirstStart: true}
	settings.Limits.ShutdownGrace = 8 * time.Second
	f, err := New(settings, platform.NewStore(endpoint.Addr), logr.Discard(), metrics.New())
	g.Expect(err).NotTo(HaveOccurred())
	hold := make(chan struct{})
	f.callers = &heldListener{Listener: f.callers, hold: hold}
	signals, stopped := make(chan os.Signal, 1), make(chan error, 1)
	go func() { stopped <- f.Run(context.Background(), signals) }()

	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	reserve := func() error {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+f.callers.Addr().String()+"/reserve/1", http.NoBody)
		if err != nil {
			return err
		}
		req.Host = "stays.example"
		req.Header.Set("Request-Id", fmt.Sprint(time.Now().UnixNano()))
		req.Header.Set("Authorization", "Bearer key")
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d", resp.StatusCode)
		}
		return nil
	}
	g.Eventually(func() int { return len(f.allGroups()) }).Should(BeNumerically(">", 0))
	g.Expect(reserve()).To(Succeed())
	signals <- syscall.SIGTERM
	time.Sleep(loadBalancerDelay - 200*time.Millisecond)
	second := make(chan error, 1)
	go func() { second <- reserve() }()
	g.Eventually(f.refusingStreams.Load).WithTimeout(time.Second).Should(BeTrue())
	time.Sleep(50 * time.Millisecond)
	close(hold)
	g.Expect(<-second).To(Succeed())
	g.Expect(<-stopped).To(Succeed())
}
