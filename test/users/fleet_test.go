// Package users_test runs the daemon as separate processes against a simulation of the users' platform: its store and
// its backend servers.
package users_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	// The tests build the daemon; importing it makes cached test results depend on its sources.
	_ "github.com/boragecourse/boragecourse/internal/front"
	"github.com/boragecourse/boragecourse/test/loopback"
	"github.com/boragecourse/boragecourse/test/standin/users"
)

var bin string

func TestMain(m *testing.M) {
	os.Exit(loopback.RunWithBinary("cmd/boragecoursed", func(dir string) int {
		bin = dir
		return m.Run()
	}))
}

const (
	hostName       = "stays.example"
	key            = "key-of-guests"
	workspace      = "guests"
	waitTimeout    = 10 * time.Second
	requestTimeout = 5 * time.Second
)

// host is one daemon and its endpoint of the store.
type host struct {
	ip, front, ready, control string
	storeEndpoint             *users.Endpoint
	process                   *loopback.Process
	settings                  string
}

// fleet is a group of hosts with a store, backend servers and a client that sends requests to the hosts.
type fleet struct {
	t       *testing.T
	g       *WithT
	store   *users.Store
	hosts   []*host
	procs   *loopback.Processes
	config  map[string]any
	version int
	client  *http.Client
	next    atomic.Int64
	// adjust changes the settings of the hosts.
	adjust func(*users.HostSpec)
}

func newFleet(t *testing.T, hosts int) *fleet {
	t.Helper()
	return newFleetWith(t, hosts, func(*users.HostSpec) {})
}

func newFleetWith(t *testing.T, hosts int, adjust func(*users.HostSpec)) *fleet {
	t.Helper()
	f := &fleet{
		adjust: adjust,
		t:      t, g: NewWithT(t), store: users.NewStore(), procs: &loopback.Processes{Bin: bin, Logs: t.TempDir()},
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
	}
	t.Cleanup(f.procs.StopAll)
	t.Cleanup(func() {
		if t.Failed() {
			f.printLogs()
		}
	})
	for i := range hosts {
		f.hosts = append(f.hosts, f.newHost(i))
	}
	f.configure(routes(100000))
	for _, h := range f.hosts {
		f.start(h)
	}
	return f
}

func (f *fleet) printLogs() {
	logs, _ := filepath.Glob(filepath.Join(f.procs.Logs, "*.log"))
	for _, l := range logs {
		text, _ := os.ReadFile(l)
		f.t.Logf("%s:\n%s", filepath.Base(l), text)
	}
}

func (f *fleet) newHost(i int) *host {
	// Each host has an IP address of its own, because all hosts serve metrics on the same port.
	ip := fmt.Sprintf("127.0.%d.%d", 1+os.Getpid()%200, i+2)
	addresses, err := loopback.FreeAddressesAt(ip, 3)
	f.g.Expect(err).NotTo(HaveOccurred())
	storeEndpoint, err := f.store.StartEndpoint()
	f.g.Expect(err).NotTo(HaveOccurred())
	f.t.Cleanup(storeEndpoint.Close)
	return &host{
		ip: ip, front: addresses[0], ready: addresses[1], control: addresses[2], storeEndpoint: storeEndpoint,
		settings: filepath.Join(f.procs.Logs, fmt.Sprintf("host-%d.toml", i)),
	}
}

func (f *fleet) start(h *host) {
	spec := users.HostSpec{
		Name: filepath.Base(h.settings), Zone: "piran-a", IP: h.ip, Front: h.front, Ready: h.ready, Control: h.control, Store: h.storeEndpoint.Addr,
		Bootstrap: true,
	}
	f.adjust(&spec)
	for _, other := range f.hosts {
		spec.Seeds = append(spec.Seeds, other.control)
	}
	f.g.Expect(spec.Write(h.settings)).To(Succeed())
	var err error
	h.process, err = f.procs.Start(filepath.Base(h.settings)+"-"+strconv.Itoa(int(f.next.Add(1))), "boragecoursed", "front", "--settings", h.settings)
	f.g.Expect(err).NotTo(HaveOccurred())
}

func (f *fleet) awaitReady(h *host) {
	f.g.Eventually(func() int {
		resp, err := f.client.Get("http://" + h.ready + "/api/readyz")
		if err != nil {
			return 0
		}
		resp.Body.Close()
		return resp.StatusCode
	}).WithTimeout(waitTimeout).Should(Equal(http.StatusOK))
}

func routes(rate int) map[string]any {
	return users.Configuration(hostName, users.Tenant(workspace, []string{key}, rate))
}

// configure writes a configuration with the next version.
func (f *fleet) configure(c map[string]any) {
	f.version += 2
	c["version"] = f.version
	f.config = c
	text, err := json.Marshal(c)
	f.g.Expect(err).NotTo(HaveOccurred())
	f.store.Put("op/config", text)
}

func (f *fleet) worker(o users.WorkerOptions) *users.Worker {
	if o.Slots == 0 {
		o.Slots = 4
	}
	if o.Zone == "" {
		o.Zone = "piran-a"
	}
	w, err := users.StartWorker(o, "")
	f.g.Expect(err).NotTo(HaveOccurred())
	f.t.Cleanup(w.Close)
	w.Register(f.store, "ready")
	return w
}

// response is what a caller received for one request.
type response struct {
	id, body string
	status   int
	header   http.Header
	err      error
}

type option func(*http.Request)

func header(name, value string) option { return func(r *http.Request) { r.Header.Set(name, value) } }

func (f *fleet) request(ctx context.Context, h *host, method, path string, options ...option) *http.Request {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+path, nil)
	f.g.Expect(err).NotTo(HaveOccurred())
	req.Host = hostName
	req.Header.Set("Request-Id", fmt.Sprintf("%s-%d", f.t.Name(), f.next.Add(1)))
	req.Header.Set("Deadline-Ms", "3000")
	req.Header.Set("Authorization", "Bearer "+key)
	for _, o := range options {
		o(req)
	}
	return req
}

func (f *fleet) do(h *host, method, path string, options ...option) response {
	ctx, cancel := context.WithTimeout(f.t.Context(), requestTimeout)
	defer cancel()
	req := f.request(ctx, h, method, path, options...)
	a := response{id: req.Header.Get("Request-Id")}
	resp, err := f.client.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	a.status, a.header, a.body, a.err = resp.StatusCode, resp.Header, string(body), err
	return a
}

func (f *fleet) stream(h *host, name string, options ...option) response {
	options = append([]option{header("Token-Counts", "100,100"), header("Model", "m"), header("Length-Hint", "50")}, options...)
	return f.do(h, http.MethodPost, "/"+name+"/1", options...)
}

// events returns the event ids of a stream in the order of arrival.
func events(body string) []int {
	var ids []int
	scanner := bufio.NewScanner(strings.NewReader(body))
	for scanner.Scan() {
		if id, found := strings.CutPrefix(scanner.Text(), "id: "); found {
			n, _ := strconv.Atoi(id)
			ids = append(ids, n)
		}
	}
	return ids
}

func sequence(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i + 1
	}
	return out
}

// awaitServing waits until a host is ready and serves plain requests and streams.
func (f *fleet) awaitServing(h *host) {
	f.awaitReady(h)
	f.g.Eventually(func() []int {
		return []int{f.do(h, http.MethodGet, "/view/1").status, f.stream(h, "ask").status}
	}).WithTimeout(waitTimeout).Should(Equal([]int{200, 200}))
}
