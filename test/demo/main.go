// Command demo runs the main job on loopback: stand-ins, four daemons in two availability zones, a rules file, real
// requests, a withdrawn key and a drain under load. It exits with an error when a promise does not hold.
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

// runTimeout bounds the whole demo.
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
		return fmt.Errorf("folder for logs: %w", err)
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
		{"requests of every kind", d.requests},
		{"withdraw a key; it is refused on all daemons", d.withdraw},
		{"drain a daemon under load", d.drain},
		{"trace every charge to its rule and person", d.trace},
		{"check the stand-ins' own counts", d.checkStandins},
		{"the same program on stand-ins of the users' platform", d.playUsersPlatform},
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
	ctx     context.Context
	started time.Time
	answers []answer
}

// promiseError reports that the system did not do what it promises.
type promiseError struct{ text string }

// Error implements error.
func (e *promiseError) Error() string { return "promise does not hold: " + e.text }

func broken(format string, args ...any) error {
	return &promiseError{fmt.Sprintf(format, args...)}
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
		if err := loopback.Await(d.ctx, h.name, func() error { return loopback.AnswersOK("http://" + h.callers + "/readyz") }); err != nil {
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

// epochHasAllHosts reports whether every daemon is in the epoch of every other.
func (d *demo) epochHasAllHosts() error {
	out, err := d.tool("--output=json", "status")
	if err != nil {
		return err
	}
	var answers []struct{ Status *operatorapi.Status }
	if err := json.Unmarshal([]byte(out), &answers); err != nil {
		return fmt.Errorf("read status: %w", err)
	}
	for _, a := range answers {
		if a.Status == nil || len(a.Status.Hosts) != len(d.hosts) {
			return broken("a host does not see all hosts in the epoch")
		}
	}
	return nil
}

// awaitTokens waits until each daemon admits requests. The buckets of a new fleet start empty and stay so until
// no earlier grant can be in use.
func (d *demo) awaitTokens() error {
	for _, h := range d.hosts {
		if err := loopback.Await(d.ctx, "tokens on "+h.name, func() error {
			a := chat(d.ctx, h, "first request on "+h.name, d.key("inspectors"), "Ready?", 4, false)
			if !a.whole {
				return broken("%s: %s", a.label, a.code)
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

// expect records an answer and checks how it ended; an empty code means a whole answer.
func (d *demo) expect(a answer, code string) error {
	d.answers = append(d.answers, a)
	fmt.Printf("%-46s status=%d outcome=%s code=%s id=%s\n", a.label, a.status, a.outcome, a.code, a.requestID)
	switch {
	case code == "" && !a.whole:
		return broken("%s was not answered whole: %s", a.label, a.code)
	case code != "" && a.code != code:
		return broken("%s ended with %q instead of %s", a.label, a.code, code)
	case code != "" && a.outcome != "not-run":
		return broken("refusal of %s has outcome %q", a.label, a.outcome)
	}
	return nil
}

func (d *demo) requests() error {
	ctx := d.ctx
	logbook := strings.Repeat("Day 12. Wind from the north-east, lamp cleaned, glass cracked on the west side. ", 120)
	booking := `{"room":"keeper-2","night":"2027-05-01"}`
	reserve := func(h int, label, body string) answer {
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
		checks = append(checks, broken("the repeated reservation got another answer: %q and %q", first.text, repeat.text))
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
		a := chat(d.ctx, h, "withdrawn key on "+h.name, d.key("partners"), "hello", 8, false)
		checks = append(checks, d.expect(a, "invalid_key"))
	}
	return errors.Join(checks...)
}

const (
	drainStreams = 24
	drainTimeout = 15 * time.Second
)

// drain stops a daemon while streams run through it; all of them must end whole.
func (d *demo) drain() error {
	h := d.hosts[3]
	results := make(chan answer, drainStreams)
	for i := range drainStreams {
		label := fmt.Sprintf("stream %d through %s", i+1, h.name)
		go func() {
			results <- chat(d.ctx, h, label, d.key("inspectors"), "Describe the stairs of tower "+label, 64, true)
		}()
	}
	time.Sleep(300 * time.Millisecond)
	drained := make(chan bool, 1)
	go func() { drained <- h.process.Terminate(drainTimeout) }()
	whole, refused := 0, 0
	for range drainStreams {
		a := <-results
		d.answers = append(d.answers, a)
		switch {
		case a.whole:
			whole++
		case a.outcome == "not-run":
			refused++
		default:
			return broken("%s was cut: status=%d outcome=%s code=%s", a.label, a.status, a.outcome, a.code)
		}
	}
	if !<-drained {
		return broken("%s did not stop within %v of the drain", h.name, drainTimeout)
	}
	fmt.Printf("%d streams ended whole, %d were refused as not-run, none was cut; %s stopped by itself\n", whole, refused, h.name)
	if whole == 0 {
		return broken("no stream was open during the drain")
	}
	return nil
}

// trace looks up the charge of every request that ran with a key.
func (d *demo) trace() error {
	var checks []error
	for _, a := range d.answers {
		if a.label == "room list, open route" {
			continue
		}
		var ch operatorapi.Charge
		lookup := func() error {
			out, err := d.tool("--output=json", "charges", "trace", a.requestID)
			if err != nil {
				return err
			}
			return json.Unmarshal([]byte(out), &ch)
		}
		if !a.whole || strings.HasPrefix(a.label, "reserve the same") {
			if err := lookup(); err == nil {
				checks = append(checks, broken("%s did not run and was charged", a.label))
			}
			continue
		}
		if err := loopback.Await(d.ctx, "charge of "+a.label, lookup); err != nil {
			checks = append(checks, err)
			continue
		}
		if ch.RuleLine == 0 || ch.Who == "" {
			checks = append(checks, broken("charge of %s names no rule or person", a.label))
		}
		fmt.Printf("%-46s %5d prompt %4d output %3d call tokens, line %d (%s), asked by %s: %s\n", a.label,
			ch.PromptTokens, ch.OutputTokens, ch.CostTokens, ch.RuleLine, ch.Workspace, ch.Who, ch.Why)
	}
	return errors.Join(checks...)
}

func (d *demo) checkStandins() error {
	var held int64
	var violations []string
	err := loopback.Await(d.ctx, "engines to hold nothing", func() error {
		var err error
		held, violations, err = d.fleet.checkStandins()
		if err == nil && held > 0 {
			err = broken("engines still hold %d pieces", held)
		}
		return err
	})
	if err != nil {
		return err
	}
	if len(violations) > 0 {
		return broken("backend servers saw forbidden calls: %s", strings.Join(violations, "; "))
	}
	fmt.Println("engines hold 0 pieces; no key reached a backend server; no reservation ran twice")
	return nil
}
