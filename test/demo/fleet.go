package main

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/boragecourse/boragecourse/test/loopback"
)

const (
	model              = "keeper-llm"
	operatorCredential = "demo-operator-credential"
	peerSecret         = "demo-peer-secret-0123456789"
)

// backendServer describes one stand-in backend server of the demo.
type backendServer struct {
	name, zone, role, addr string
}

// daemonHost is one daemon and its addresses.
type daemonHost struct {
	name, zone, callers, peers, operators string
	process                               *loopback.Process
}

// workspace is a workspace of the demo: its limits, the person who asked for it, and its key.
type workspace struct {
	name, rule, who string
	key             string
}

// fleet holds the processes and rules of the demo, modeled on two zones of the lighthouse booking fleet.
type fleet struct {
	procs      *loopback.Processes
	storeAddr  string
	servers    []backendServer
	hosts      []*daemonHost
	workspaces []*workspace
}

var zones = []string{"piran-a", "koper-a"}

func newFleet(procs *loopback.Processes) (*fleet, error) {
	f := &fleet{procs: procs}
	for _, z := range zones {
		for _, s := range []struct{ kind, role string }{
			{"keeper", "prefill"}, {"keeper", "prefill"}, {"keeper", "decode"}, {"keeper", "decode"},
			{"booking", "service"}, {"booking", "service"},
		} {
			name := fmt.Sprintf("%s-%d", s.kind, len(f.servers)+1)
			f.servers = append(f.servers, backendServer{name: name, zone: z, role: s.role})
		}
		for range 2 {
			f.hosts = append(f.hosts, &daemonHost{name: fmt.Sprintf("entry-%d", len(f.hosts)+1), zone: z})
		}
	}
	f.workspaces = []*workspace{
		{name: "inspectors", rule: "rate=20000/s burst=200000", who: "ana"},
		{name: "guests", rule: "rate=8000/s burst=80000", who: "bojan"},
		{name: "owners", rule: "rate=4000/s burst=40000", who: "ana"},
		{name: "partners", rule: "rate=2000/s burst=20000", who: "cvetka"},
		{name: "trial", rule: "rate=100/s burst=600", who: "bojan"},
	}
	for _, w := range f.workspaces {
		secret := make([]byte, 18)
		if _, err := rand.Read(secret); err != nil {
			return nil, fmt.Errorf("generate key: %w", err)
		}
		w.key = "bc-" + base64.RawURLEncoding.EncodeToString(secret)
	}
	return f, f.assignAddresses()
}

func (f *fleet) assignAddresses() error {
	addrs, err := loopback.FreeAddresses(1 + len(f.servers) + 3*len(f.hosts))
	if err != nil {
		return err
	}
	next := func() string {
		a := addrs[0]
		addrs = addrs[1:]
		return a
	}
	f.storeAddr = next()
	for i := range f.servers {
		f.servers[i].addr = next()
	}
	for _, h := range f.hosts {
		h.callers, h.peers, h.operators = next(), next(), next()
	}
	return nil
}

// rulesText returns the operators' rules file. Each rule names the person who asked for it.
func (f *fleet) rulesText() string {
	var b strings.Builder
	b.WriteString("# Lighthouse booking fleet, demo\n")
	for _, z := range zones {
		fmt.Fprintf(&b, "zone %s region=primorska share=1 # ana: opening the fleet\n", z)
	}
	for _, w := range f.workspaces {
		fmt.Fprintf(&b, "workspace %s %s # %s: contract of %s\n", w.name, w.rule, w.who, w.name)
		sum := sha256.Sum256([]byte(w.key))
		fmt.Fprintf(&b, "key %s sha256=%s id=%s-1 # %s: first key\n", w.name, hex.EncodeToString(sum[:]), w.name, w.who)
	}
	for _, s := range f.servers {
		if s.role == "service" {
			fmt.Fprintf(&b, "server %s zone=%s addr=%s role=service pool=booking-app # bojan: booking rack\n", s.name, s.zone, s.addr)
			continue
		}
		fmt.Fprintf(&b, "server %s zone=%s addr=%s role=%s model=%s # bojan: keeper rack\n", s.name, s.zone, s.addr, s.role, model)
	}
	fmt.Fprintf(&b, "route /v1/chat/completions model=%s repeatable=yes class=latency # ana: answers to guests\n", model)
	b.WriteString("route /booking/rooms pool=booking-app repeatable=yes open=yes # cvetka: public room list\n")
	b.WriteString("route /booking/reserve pool=booking-app repeatable=no cost=50 # cvetka: reservations\n")
	return b.String()
}

func (f *fleet) start(ctx context.Context) error {
	if _, err := f.procs.Start("platform", "standin-platform", "--listen="+f.storeAddr); err != nil {
		return err
	}
	if err := loopback.Await(ctx, "platform stand-in", func() error { return loopback.CheckListening(f.storeAddr) }); err != nil {
		return err
	}
	if err := f.startServers(); err != nil {
		return err
	}
	for _, h := range f.hosts {
		if err := f.startDaemon(h); err != nil {
			return err
		}
	}
	for _, h := range f.hosts {
		if err := loopback.Await(ctx, h.name, func() error { return loopback.CheckListening(h.operators) }); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startServers() error {
	var secrets []string
	for _, w := range f.workspaces {
		secrets = append(secrets, "--secret="+w.key)
	}
	for _, s := range f.servers {
		args := append([]string{"--listen=" + s.addr, "--name=" + s.name}, secrets...)
		program := "standin-service"
		if s.role != "service" {
			program = "standin-engine"
			args = append(args, "--role="+s.role, "--model="+model, "--natural-tokens=40")
		} else {
			args = append(args, "--once=/booking/reserve")
		}
		if _, err := f.procs.Start(s.name, program, args...); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startDaemon(h *daemonHost) error {
	sum := sha256.Sum256([]byte(operatorCredential))
	pr, err := f.procs.Start(h.name, "boragecoursed",
		"--name="+h.name, "--zone="+h.zone, "--store="+f.storeAddr,
		"--listen-callers="+h.callers, "--listen-peers="+h.peers, "--listen-operators="+h.operators,
		"--peer-secret="+peerSecret, "--operator-credential-sha256="+hex.EncodeToString(sum[:]))
	h.process = pr
	return err
}

// standinReport is the part of a stand-in's report that the demo checks.
type standinReport struct {
	HeldPieces int64             `json:"held_pieces"`
	Violations []json.RawMessage `json:"violations"`
}

// checkStandins returns the number of memory pieces that engines still hold, and the calls that the stand-ins report as
// violations.
func (f *fleet) checkStandins() (held int64, violations []string, err error) {
	for _, s := range f.servers {
		resp, err := http.Get("http://" + s.addr + "/standin/report")
		if err != nil {
			return 0, nil, fmt.Errorf("get report of %s: %w", s.name, err)
		}
		var r standinReport
		err = json.NewDecoder(resp.Body).Decode(&r)
		resp.Body.Close()
		if err != nil {
			return 0, nil, fmt.Errorf("decode report of %s: %w", s.name, err)
		}
		held += r.HeldPieces
		for _, v := range r.Violations {
			violations = append(violations, s.name+": "+string(v))
		}
	}
	return held, violations, nil
}
