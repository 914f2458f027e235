// Command demo runs the main functions of the router on loopback: stand-ins, four daemons in two availability zones, a
// rules file, requests of every kind, a withdrawn key and a drain under load. It exits with an error if a check fails.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/boragecourse/boragecourse/internal/operatorapi"
	"github.com/boragecourse/boragecourse/test/loopback"
)

// runTimeout bounds the duration of the demo.
const runTimeout = 58 * time.Second

func main() {
	bin := flag.String("bin", "bin", "folder with the built programs")
	logs := flag.String("logs", filepath.Join("out", "demo"), "folder for the programs' logs")
	flag.Parse()
	if err := run(*bin, *logs); err != nil {
		fmt.Fprintf(os.Stderr, "demo: %v\n", err)
		os.Exit(1)
	}
}

func run(bin, logs string) error {
	if err := os.MkdirAll(logs, 0o755); err != nil {
		return fmt.Errorf("create log folder: %w", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	procs := &loopback.Processes{Bin: bin, Logs: logs}
	defer procs.StopAll()
	f, err := newFleet(procs)
	if err != nil {
		return err
	}
	d := &demo{fleet: f, ctx: ctx, started: time.Now()}
	for _, step := range []struct {
		title string
		run   func() error
	}{
		{"start stand-ins and four daemons in two zones", func() error { return f.start(ctx) }},
		{"apply the rules file", d.apply},
		{"send requests of every kind", d.requests},
		{"withdraw a key and check that all daemons refuse it", d.withdraw},
		{"drain a daemon under load", d.drain},
		{"trace every charge to its rule and person", d.trace},
		{"check the reports of the stand-ins", d.checkStandins},
		{"run the same program on stand-ins of the users' platform", d.runUsersPlatform},
	} {
		fmt.Printf("\n== %s (%.1f s)\n", step.title, time.Since(d.started).Seconds())
		if err := step.run(); err != nil {
			return fmt.Errorf("%s: %w", step.title, err)
		}
	}
	fmt.Printf("\ndemo finished in %.1f s\n", time.Since(d.started).Seconds())
	return nil
}

// demo is the state of one run.
type demo struct {
	*fleet
	ctx       context.Context
	started   time.Time
	responses []response
}

// checkError reports that the system did not behave as the demo requires.
type checkError struct{ text string }

// Error implements error.
func (e *checkError) Error() string { return "check failed: " + e.text }

func failf(format string, args ...any) error {
	return &checkError{fmt.Sprintf(format, args...)}
}

// tool runs the command-line tool against all hosts.
func (d *demo) tool(args ...string) (string, error) {
	var operators []string
	for _, h := range d.hosts {
		operators = append(operators, h.operators)
	}
	args = append([]string{"--hosts=" + strings.Join(operators, ","), "--credential=" + operatorCredential}, args...)
	cmd := exec.CommandContext(d.ctx, filepath.Join(d.procs.Bin, "boragecourse"), args...)
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	if err := cmd.Run(); err != nil {
		return out.String(), fmt.Errorf("%w: %s", err, strings.TrimSpace(errOut.String()))
	}
	return out.String(), nil
}

func (d *demo) apply() error {
	if err := loopback.Await(d.ctx, "an epoch with all hosts", d.epochHasAllHosts); err != nil {
		return err
	}
	path := filepath.Join(d.procs.Logs, "fleet.rules")
	if err := os.WriteFile(path, []byte(d.rulesText()), 0o600); err != nil {
		return fmt.Errorf("write rules: %w", err)
	}
	if err := loopback.Await(d.ctx, "an accepted apply", func() error {
		out, err := d.tool("apply", "--yes", path)
		if err == nil {
			fmt.Print(out)
		}
		return err
	}); err != nil {
		return err
	}
	for _, h := range d.hosts {
		if err := loopback.Await(d.ctx, h.name, func() error { return loopback.CheckOK("http://" + h.callers + "/readyz") }); err != nil {
			return err
		}
	}
	out, err := d.tool("status")
	if err != nil {
		return err
	}
	fmt.Print(out)
	return d.awaitTokens()
}

// epochHasAllHosts returns an error unless every daemon has an epoch with all daemons.
func (d *demo) epochHasAllHosts() error {
	out, err := d.tool("--output=json", "status")
	if err != nil {
		return err
	}
	var statuses []struct{ Status *operatorapi.Status }
	if err := json.Unmarshal([]byte(out), &statuses); err != nil {
		return fmt.Errorf("decode status: %w", err)
	}
	for _, s := range statuses {
		if s.Status == nil || len(s.Status.Hosts) != len(d.hosts) {
			return failf("the epoch of a host does not contain all hosts")
		}
	}
	return nil
}

// awaitTokens waits until each daemon admits requests. The token buckets of a new fleet start empty and stay empty until
// no grant from before the start can be in use.
func (d *demo) awaitTokens() error {
	for _, h := range d.hosts {
		if err := loopback.Await(d.ctx, "tokens on "+h.name, func() error {
			r := chat(d.ctx, h, "first request on "+h.name, d.key("inspectors"), "Ready?", 4, false)
			if !r.complete {
				return failf("%s: %s", r.label, r.code)
			}
			return nil
		}); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) key(name string) string {
	for _, w := range d.workspaces {
		if w.name == name {
			return w.key
		}
	}
	return ""
}

// expect records a response and checks how it ended: completely if code is empty, otherwise as a refusal with that code.
func (d *demo) expect(r response, code string) error {
	d.responses = append(d.responses, r)
	fmt.Printf("%-46s status=%d outcome=%s code=%s id=%s\n", r.label, r.status, r.outcome, r.code, r.requestID)
	switch {
	case code == "" && !r.complete:
		return failf("%s: no complete response: %s", r.label, r.code)
	case code != "" && r.code != code:
		return failf("%s ended with code %q, want %s", r.label, r.code, code)
	case code != "" && r.outcome != "not-run":
		return failf("refusal of %s has outcome %q, want not-run", r.label, r.outcome)
	}
	return nil
}

func (d *demo) requests() error {
	ctx := d.ctx
	logbook := strings.Repeat("Day 12. Wind from the north-east, lamp cleaned, glass cracked on the west side. ", 120)
	booking := `{"room":"keeper-2","night":"2027-05-01"}`
	reserve := func(h int, label, body string) response {
		return call(ctx, d.hosts[h], label, d.key("guests"), "POST", "/booking/reserve", "night-2027-05-01", body)
	}
	first := reserve(0, "reserve a night", booking)
	repeat := reserve(2, "reserve the same night on another daemon", booking)
	checks := []error{
		d.expect(chat(ctx, d.hosts[0], "chat, streamed", d.key("guests"), "Is the room free in May?", 64, true), ""),
		d.expect(chat(ctx, d.hosts[1], "chat, not streamed", d.key("owners"), "Summarize last week.", 64, false), ""),
		d.expect(chat(ctx, d.hosts[2], "long logbook, streamed", d.key("inspectors"), logbook, 128, true), ""),
		d.expect(chat(ctx, d.hosts[3], "long logbook again (cached prefix)", d.key("inspectors"), logbook, 128, false), ""),
		d.expect(call(ctx, d.hosts[1], "room list, open route", "", "GET", "/booking/rooms", "", ""), ""),
		d.expect(first, ""),
		d.expect(repeat, ""),
		d.expect(reserve(3, "same idempotency key, other body", `{"room":"keeper-9"}`), "idempotency_key_reused"),
		d.expect(chat(ctx, d.hosts[0], "wrong key", "bc-wrong", "hello", 8, false), "invalid_key"),
		d.expect(call(ctx, d.hosts[0], "malformed JSON", d.key("guests"), "POST", "/v1/chat/completions", "", "{"), "malformed_request"),
		d.expect(chat(ctx, d.hosts[1], "over the burst of its workspace", d.key("trial"), "hello", 4000, false), "exceeds_burst"),
	}
	if first.text != repeat.text {
		checks = append(checks, failf("the repeated reservation got a different response: %q and %q", first.text, repeat.text))
	}
	return errors.Join(checks...)
}

func (d *demo) withdraw() error {
	out, err := d.tool("keys", "withdraw", "partners", "partners-1")
	fmt.Print(out)
	if err != nil {
		return err
	}
	var checks []error
	for _, h := range d.hosts {
		r := chat(d.ctx, h, "withdrawn key on "+h.name, d.key("partners"), "hello", 8, false)
		checks = append(checks, d.expect(r, "invalid_key"))
	}
	return errors.Join(checks...)
}

const (
	drainStreams = 24
	drainTimeout = 15 * time.Second
)

// drain stops a daemon while streams are open on it. Each stream must be completed or refused as not-run.
func (d *demo) drain() error {
	h := d.hosts[3]
	results := make(chan response, drainStreams)
	for i := range drainStreams {
		label := fmt.Sprintf("stream %d through %s", i+1, h.name)
		go func() {
			results <- chat(d.ctx, h, label, d.key("inspectors"), "Describe the stairs of tower "+label, 64, true)
		}()
	}
	time.Sleep(300 * time.Millisecond)
	drained := make(chan bool, 1)
	go func() { drained <- h.process.Terminate(drainTimeout) }()
	complete, refused := 0, 0
	for range drainStreams {
		r := <-results
		d.responses = append(d.responses, r)
		switch {
		case r.complete:
			complete++
		case r.outcome == "not-run":
			refused++
		default:
			return failf("%s was interrupted: status=%d outcome=%s code=%s", r.label, r.status, r.outcome, r.code)
		}
	}
	if !<-drained {
		return failf("%s did not stop within %v after the start of the drain", h.name, drainTimeout)
	}
	fmt.Printf("%d streams were complete, %d were refused as not-run, none was interrupted; %s exited after its drain\n", complete, refused, h.name)
	if complete == 0 {
		return failf("no stream was open during the drain")
	}
	return nil
}

// trace looks up the charge of every request with a key. A request that ran must have a charge that names its rule and
// a person; one that was refused or replayed must have none.
func (d *demo) trace() error {
	var checks []error
	for _, r := range d.responses {
		if r.label == "room list, open route" {
			continue
		}
		var ch operatorapi.Charge
		lookup := func() error {
			out, err := d.tool("--output=json", "charges", "trace", r.requestID)
			if err != nil {
				return err
			}
			return json.Unmarshal([]byte(out), &ch)
		}
		if !r.complete || strings.HasPrefix(r.label, "reserve the same") {
			if err := lookup(); err == nil {
				checks = append(checks, failf("%s did not run but has a charge", r.label))
			}
			continue
		}
		if err := loopback.Await(d.ctx, "charge of "+r.label, lookup); err != nil {
			checks = append(checks, err)
			continue
		}
		if ch.RuleLine == 0 || ch.Who == "" {
			checks = append(checks, failf("charge of %s names no rule or person", r.label))
		}
		fmt.Printf("%-46s %5d prompt %4d output %3d call tokens, line %d (%s), asked by %s: %s\n", r.label,
			ch.PromptTokens, ch.OutputTokens, ch.CostTokens, ch.RuleLine, ch.Workspace, ch.Who, ch.Why)
	}
	return errors.Join(checks...)
}

func (d *demo) checkStandins() error {
	var held int64
	var violations []string
	err := loopback.Await(d.ctx, "engines to hold no memory", func() error {
		var err error
		held, violations, err = d.fleet.checkStandins()
		if err == nil && held > 0 {
			err = failf("engines still hold %d pieces", held)
		}
		return err
	})
	if err != nil {
		return err
	}
	if len(violations) > 0 {
		return failf("backend servers received forbidden calls: %s", strings.Join(violations, "; "))
	}
	fmt.Println("engines hold 0 pieces; no key reached a backend server; no reservation ran twice")
	return nil
}
