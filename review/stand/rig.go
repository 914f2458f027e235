package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/boragecourse/boragecourse/test/standin/users"
)

const (
	clientKey = "key-of-guests"
	tenant    = "guests"
	zone      = "porto-pa"
	drainTime = 2 * time.Second
	// heartbeat is the time between two entries of a worker, expiry that after which the entry of a silent one is removed.
	heartbeat = 1200 * time.Millisecond
	expiry    = 3 * heartbeat
	// longest is the longest time that a case may take.
	longest = 116 * time.Second
)

// rig is a small deployment: the store and the record of the case, and the processes that the case has started.
type rig struct {
	store     *users.Store
	storeAddr string
	folder    string
	started   time.Time
	version   int
	lastID    atomic.Int64
	processes []*exec.Cmd
	// seeds are the quoted control addresses of the hosts.
	seeds []string

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
}

func newRig(record string) (*rig, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r := &rig{store: users.NewStore(), folder: folder, started: time.Now(), file: file, record: bufio.NewWriter(file)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.storeAddr = l.Addr().String()
	go func() { _ = http.Serve(l, r.store) }()
	return r, nil
}

// close ends all processes that the case has started and closes the record.
func (r *rig) close() {
	for _, p := range r.processes {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.record.Flush()
	_ = r.file.Close()
	_ = os.RemoveAll(r.folder)
}

// abandon ends the case as one that could not run when it takes too long or is told to stop.
func (r *rig) abandon() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case s := <-signals:
		r.note("the case was stopped by a signal: %v", s)
	case <-time.After(longest):
		r.note("the case has taken longer than %v", longest)
	}
	r.close()
	os.Exit(2)
}

// note writes a line to the record, with the time since the start.
func (r *rig) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

func (r *rig) newID() string { return fmt.Sprintf("%016x", 0x5eed000000000000+r.lastID.Add(1)) }

// configure writes the next version of the configuration, as the operator does.
func (r *rig) configure(routes ...any) error {
	r.version += 3
	text, err := json.Marshal(map[string]any{
		"version": r.version, "routes": routes,
		"services": []any{
			map[string]any{"name": "desk", "healthPath": "/healthz", "maxConns": 110},
			map[string]any{"name": "archive", "healthPath": "/healthz", "maxConns": 110},
			map[string]any{"name": "writers", "healthPath": "/healthz", "maxConns": 156, "engine": map[string]any{
				"slots": engineSlots, "kvCapacity": engineMemory, "stride": tokensPerEvent, "handleTtlS": 0.5, "roleSwitchS": 6.0, "holdMs": 2000.0,
			}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": tenant, "apiKeys": []string{clientKey}, "plainTokens": 200}},
	})
	if err != nil {
		return err
	}
	r.store.Put("op/config", text)
	return nil
}

func route(name, prefix, kind, service string, extra map[string]any) map[string]any {
	v := map[string]any{
		"name": name, "host": "desk.example", "prefix": prefix, "kind": kind, "timeoutMs": 800, "targetLatencyMs": 100, "priority": 1,
		"service": service, "attempts": 1, "allowAnonymous": false,
	}
	for k, e := range extra {
		v[k] = e
	}
	return v
}

// host is one entry host.
type host struct{ front, ready, settings string }

const settingsText = `nodeName = %q
role = "front"
machineClass = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "sicilia-occ"
portRange = [7500,7515]
seeds = [%s]
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","tenants","quota","platform"]
[zones]
porto-pa = "sicilia-occ"
[listen]
front = %q
ready = %q
control = %q
[limits]
cpuShare = 0.608
cpuCores = 1
memoryMb = 414
maxFds = 6150
linkMbps = 1500.0
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

// startHosts starts n entry hosts.
func (r *rig) startHosts(n int) ([]*host, error) {
	var hosts []*host
	for i := range n {
		h, err := r.startHost(fmt.Sprintf("front-porto-pa-%d", i+1))
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, h)
	}
	return hosts, nil
}

// startHost starts an entry host with the command of the deploy file and waits until it is ready.
func (r *rig) startHost(name string) (*host, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, 1+os.Getpid()/200%200, len(r.processes)+2)
	var addresses [3]string
	for i := range addresses {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		addresses[i] = l.Addr().String()
		_ = l.Close()
	}
	settings := filepath.Join(r.folder, name+".toml")
	r.seeds = append(r.seeds, strconv.Quote(addresses[2]))
	text := fmt.Sprintf(settingsText, name, ip, zone, strings.Join(r.seeds, ","), addresses[0], addresses[1], addresses[2], r.storeAddr)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	h := &host{front: addresses[0], ready: addresses[1], settings: settings}
	p, err := h.process()
	if err != nil {
		return nil, err
	}
	r.processes = append(r.processes, p)
	return h, r.awaitReady(h)
}

// process starts the process of a host.
func (h *host) process() (*exec.Cmd, error) {
	log, err := os.OpenFile(strings.TrimSuffix(h.settings, ".toml")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	p := exec.Command("target/boragecoursed", "front")
	p.Stdout, p.Stderr = log, log
	p.Env = append(os.Environ(), "BORAGECOURSE_NODE_FILE="+h.settings)
	return p, p.Start()
}

// restart starts the process of host n again after it has ended. bootstrap is set for the first start only.
func (r *rig) restart(n int, h *host) error {
	text, err := os.ReadFile(h.settings)
	if err != nil {
		return err
	}
	again := strings.Replace(string(text), "bootstrap = true", "bootstrap = false", 1)
	if err := os.WriteFile(h.settings, []byte(again), 0o600); err != nil {
		return err
	}
	if r.processes[n], err = h.process(); err != nil {
		return err
	}
	return r.awaitReady(h)
}

func (r *rig) awaitReady(h *host) error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + h.ready + "/api/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			r.note("entry host %s is ready", h.front)
			return nil
		}
	}
	return fmt.Errorf("entry host %s is not ready after 10 s", h.front)
}

// newClient returns an HTTP client that opens a connection for each request.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
}

// streamRequest returns a request of a stream with the given number of prompt and output tokens.
func (r *rig) streamRequest(ctx context.Context, h *host, path, id string, prompt, output int) (*http.Request, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.front+path, nil)
	if err != nil {
		return nil, err
	}
	q.Host = "desk.example"
	for name, value := range map[string]string{
		"Request-Id": id, "Model": "m", "Token-Counts": fmt.Sprintf("%d,%d", prompt, output), "Deadline-Ms": "14000",
		"Prompt-Prefix": fmt.Sprintf("%x:200,%s:%d", 0xa000+r.lastID.Load()%2000, id, prompt-200), "Authorization": "Bearer " + clientKey,
		"Length-Hint": fmt.Sprint(output),
	} {
		q.Header.Set(name, value)
	}
	return q, nil
}
