package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"time"

	"github.com/boragecourse/boragecourse/test/loopback"
	"github.com/boragecourse/boragecourse/test/standin/users"
)

const (
	usersHost = "stays.example"
	usersKey  = "demo-key"
	// usersEvents is the number of events of each stream.
	usersEvents = 20
	// keyApply is the time within which all hosts must refuse a withdrawn key. It equals configApplyMs in the settings of
	// the hosts.
	keyApply = 2 * time.Second
	// stopTime bounds the exit of a host after SIGTERM. It exceeds graceS in the settings of the hosts.
	stopTime = 9 * time.Second
)

// usersFleet holds two front hosts that run on stand-ins of the users' platform.
type usersFleet struct {
	store  *users.Store
	hosts  []users.HostSpec
	procs  []*loopback.Process
	client *http.Client
	sent   int
}

// runUsersPlatform sends requests of every kind to hosts on stand-ins of the users' platform, stops a host while a
// stream is open on it, and withdraws a key.
func (d *demo) runUsersPlatform() error {
	f := &usersFleet{store: users.NewStore(), client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	if err := f.configure(1, usersKey); err != nil {
		return err
	}
	if err := f.startWorkers(); err != nil {
		return err
	}
	if err := f.startHosts(d.procs); err != nil {
		return err
	}
	if err := loopback.Await(d.ctx, "the front hosts", func() error { return f.checkHosts(d.ctx, http.StatusOK) }); err != nil {
		return err
	}
	fmt.Println("lookups, bookings and streams served by both hosts")
	if err := f.stopDuringStream(d.ctx); err != nil {
		return err
	}
	fmt.Println("a host was stopped; its open stream was complete")
	if err := f.configure(2, "another-key"); err != nil {
		return err
	}
	time.Sleep(keyApply)
	if status, _, err := f.send(d.ctx, 1, http.MethodGet, "view"); err != nil || status != http.StatusUnauthorized {
		return errors.Join(failf("withdrawn key: status %d, want 401", status), err)
	}
	fmt.Println("a withdrawn key is refused")
	return nil
}

func (f *usersFleet) configure(version int, key string) error {
	c := users.Configuration(usersHost, users.Tenant("guests", []string{key}, 1_000_000))
	c["version"] = version
	text, err := json.Marshal(c)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	f.store.Put("op/config", text)
	return nil
}

func (f *usersFleet) startWorkers() error {
	for _, o := range []users.WorkerOptions{
		{ID: "app-1", Service: "app"}, {ID: "app-2", Service: "app"}, {ID: "prefill-1", Service: "llm", Stage: "prefill"},
		{ID: "decode-1", Service: "llm", Stage: "decode"}, {ID: "decode-2", Service: "llm", Stage: "decode"},
	} {
		o.Zone, o.Slots, o.Events, o.EventPause = "piran-a", 4, usersEvents, 50*time.Millisecond
		w, err := users.StartWorker(o, "")
		if err != nil {
			return err
		}
		w.Register(f.store, "ready")
	}
	return nil
}

func (f *usersFleet) startHosts(procs *loopback.Processes) error {
	addresses, err := loopback.FreeAddresses(6)
	if err != nil {
		return err
	}
	for i := range 2 {
		endpoint, err := f.store.StartEndpoint()
		if err != nil {
			return err
		}
		f.hosts = append(f.hosts, users.HostSpec{
			Name: fmt.Sprintf("front-%d", i+1), Zone: "piran-a", IP: fmt.Sprintf("127.0.0.%d", i+2), Store: endpoint.Addr, Bootstrap: true,
			Front: addresses[3*i], Ready: addresses[3*i+1], Control: addresses[3*i+2], Seeds: []string{addresses[2], addresses[5]},
		})
		settings := filepath.Join(procs.Logs, f.hosts[i].Name+".toml")
		if err := f.hosts[i].Write(settings); err != nil {
			return err
		}
		process, err := procs.Start(f.hosts[i].Name, "boragecoursed", "front", "--settings", settings)
		if err != nil {
			return err
		}
		f.procs = append(f.procs, process)
	}
	return nil
}

// checkHosts sends a request of each kind to each host and checks the status.
func (f *usersFleet) checkHosts(ctx context.Context, want int) error {
	for i := range f.hosts {
		for _, r := range []struct{ method, route string }{{http.MethodGet, "view"}, {http.MethodPost, "reserve"}, {http.MethodPost, "ask"}} {
			status, _, err := f.send(ctx, i, r.method, r.route)
			if err != nil || status != want {
				return errors.Join(failf("%s on %s: status %d", r.route, f.hosts[i].Name, status), err)
			}
		}
	}
	return nil
}

func (f *usersFleet) send(ctx context.Context, host int, method, route string) (status, events int, err error) {
	f.sent++
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.hosts[host].Front+"/"+route+"/1", nil)
	if err != nil {
		return 0, 0, fmt.Errorf("build request: %w", err)
	}
	req.Host = usersHost
	req.Header.Set("Request-Id", fmt.Sprintf("demo-%d", f.sent))
	req.Header.Set("Deadline-Ms", "3000")
	req.Header.Set("Authorization", "Bearer "+usersKey)
	if route == "ask" {
		req.Header.Set("Token-Counts", "100,200")
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return 0, 0, fmt.Errorf("send request: %w", err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			events++
		}
	}
	if err := lines.Err(); err != nil && !errors.Is(err, io.EOF) {
		return resp.StatusCode, events, fmt.Errorf("read response: %w", err)
	}
	return resp.StatusCode, events, nil
}

// stopDuringStream stops the first host while a stream is open on it. The stream must be complete.
func (f *usersFleet) stopDuringStream(ctx context.Context) error {
	result := make(chan error, 1)
	go func() {
		status, events, err := f.send(ctx, 0, http.MethodPost, "ask")
		if err == nil && (status != http.StatusOK || events != usersEvents) {
			err = failf("stream of the stopped host: status %d, %d events", status, events)
		}
		result <- err
	}()
	time.Sleep(300 * time.Millisecond)
	if !f.procs[0].Terminate(stopTime) {
		return failf("the host did not stop before the timeout")
	}
	return <-result
}
