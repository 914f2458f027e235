// Package main runs the scripted cases of the second review: each starts the daemon as separate processes on loopback
// addresses, with stand-ins for the store, the backend servers and the callers.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/boragecourse/boragecourse/test/loopback"
	"github.com/boragecourse/boragecourse/test/standin/users"
)

const (
	routeHost = "stays.example"
	apiKey    = "key-of-guests"
	tenant    = "guests"
	// heartbeat is the interval at which backend servers renew their entries.
	heartbeat = 1200 * time.Millisecond
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	begun time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// host is one process of the daemon with its way to the store.
type host struct {
	name, ip, front, ready, control string
	link                            *link
	settings                        string
	process                         *loopback.Process
}

// fleet is a small deployment.
type fleet struct {
	*record
	dir     string
	store   *users.Store
	api     *http.Server
	apiAddr string
	hosts   []*host
	procs   *loopback.Processes
	client  *http.Client
	next    atomic.Int64
	starts  atomic.Int64
	// lost counts requests that may not be repeated and got no answer of a worker.
	lost    atomic.Int64
	version int
	ctx     context.Context //nolint:containedctx // The fleet lives as long as its run.
	// workspaceRate is the rate and burst of the tenant in tokens a second.
	workspaceRate int
	memoryMB      int
}

func newFleet(ctx context.Context, r *record, dir string) (*fleet, error) {
	f := &fleet{
		record: r, dir: dir, store: users.NewStore(), ctx: ctx, workspaceRate: 1_000_000, memoryMB: 134,
		procs:  &loopback.Processes{Bin: "target", Logs: dir},
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
	}
	addresses, err := loopback.FreeAddresses(1)
	if err != nil {
		return nil, err
	}
	f.apiAddr = addresses[0]
	f.api = &http.Server{Addr: f.apiAddr, Handler: withoutEra(f.store), ReadHeaderTimeout: time.Minute}
	go func() { _ = f.api.ListenAndServe() }()
	return f, loopback.Await(ctx, "store", func() error { return loopback.CheckListening(f.apiAddr) })
}

// withoutEra serves the store without the header that its stand-in adds and the users' pages do not name.
func withoutEra(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h.ServeHTTP(&plainWriter{ResponseWriter: w}, r) })
}

type plainWriter struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *plainWriter) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

func (f *fleet) close() {
	f.procs.StopAll()
	_ = f.api.Close()
	for _, h := range f.hosts {
		h.link.close()
	}
}

// configure writes the next version of the configuration.
func (f *fleet) configure(change func(c map[string]any)) error {
	f.version += 3
	c := users.Configuration(routeHost, users.Tenant(tenant, []string{apiKey}, f.workspaceRate))
	c["version"] = f.version
	if change != nil {
		change(c)
	}
	text, err := json.Marshal(c)
	if err != nil {
		return err
	}
	f.store.Put("op/config", text)
	f.line("operator: the store has confirmed version %d", f.version)
	return nil
}

// addHosts starts daemons, in as many zones.
func (f *fleet) addHosts(n int) error {
	base := os.Getpid()%200 + 20
	for i := range n {
		ip := fmt.Sprintf("127.77.%d.%d", base, i+2)
		a, err := loopback.FreeAddressesAt(ip, 3)
		if err != nil {
			return err
		}
		l, err := newLink(f.apiAddr)
		if err != nil {
			return err
		}
		name := "front-" + strconv.Itoa(i+1)
		f.hosts = append(f.hosts, &host{name: name, ip: ip, front: a[0], ready: a[1], control: a[2], link: l, settings: filepath.Join(f.dir, name+".toml")})
	}
	for _, h := range f.hosts {
		if err := f.start(h, true); err != nil {
			return err
		}
	}
	for _, h := range f.hosts {
		if err := loopback.Await(f.ctx, h.name, func() error { return loopback.CheckOK("http://" + h.ready + "/api/readyz") }); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) start(h *host, bootstrap bool) error {
	err := os.WriteFile(h.settings, []byte(f.settingsOf(h, bootstrap)), 0o600)
	if err != nil {
		return err
	}
	h.process, err = f.procs.Start(fmt.Sprintf("%s-%d", h.name, f.starts.Add(1)), "boragecoursed", "front", "--settings", h.settings)
	f.line("%s started", h.name)
	return err
}

// settingsOf returns the settings file of a host, with the fields and bounds of the users' page.
func (f *fleet) settingsOf(h *host, bootstrap bool) string {
	seeds := make([]string, 0, len(f.hosts))
	for _, other := range f.hosts {
		seeds = append(seeds, strconv.Quote(other.control))
	}
	return fmt.Sprintf(settingsText, h.name, h.ip, zoneOf(h), strings.Join(seeds, ","), bootstrap, h.front, h.ready, h.control, f.memoryMB, h.link.addr)
}

func zoneOf(h *host) string { return "zone-of-" + h.name }

const settingsText = `nodeName = %q
role = "front"
machineClass = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "primorska"
portRange = [7500,7515]
seeds = [%s]
bootstrap = %t
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","tenants","quota","platform"]
[listen]
front = %q
ready = %q
control = %q
[limits]
cpuShare = 0.4
cpuCores = 1
memoryMb = %d
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
downgradeSlackMs = 250
skewBoundMs = 5000
strictRevoke = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetMinRetries = 56
quotaWindowS = 8
quotaOver = 0.1
quotaSlack = 120000
recoveryS = 12
transitMs = 120
reuseWindowS = 3
requireFence = false
leaseMs = 3000
thawMs = 300
[platform]
address = %q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`

func (f *fleet) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-f.ctx.Done():
	}
}

// answer is what a caller received.
type answer struct {
	id, body string
	status   int
	err      error
}

// send sends one request of the tenant to a host.
func (f *fleet) send(h *host, method, path string, body io.Reader, length int64) answer {
	ctx, cancel := context.WithTimeout(f.ctx, 4*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+path, body)
	a := answer{id: "r" + strconv.FormatInt(f.next.Add(1), 10)}
	if err != nil {
		a.err = err
		return a
	}
	req.Host = routeHost
	req.Header.Set("Request-Id", a.id)
	req.Header.Set("Deadline-Ms", "3000")
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.ContentLength = length
	resp, err := f.client.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	a.status, a.body, a.err = resp.StatusCode, string(text), err
	return a
}

var errBroken = errors.New("rule broken")
