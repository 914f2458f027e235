package rules_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/boragecourse/boragecourse/internal/rules"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var hash = strings.Repeat("0a", 32)

var valid = strings.Join([]string{
	"# Svetilnik fleet",
	"",
	"zone piran-a region=primorska share=1   # ana: opening the fleet",
	"\tworkspace inspectors rate=2000/s burst=40000 isolated=refuse priority=0 # ana: contract 17\r",
	"key inspectors sha256=" + hash + " id=k1 # ana: first key",
	"server keeper-1 zone=piran-a addr=127.0.0.1:9001 role=prefill model=keeper-llm fencing=checked # bojan: rack 2",
	"server keeper-2 addr=[::1]:9001 zone=piran-a role=decode model=keeper-llm slots=8 # bojan: rack 2",
	"server booking-1 zone=piran-a addr=127.0.0.1:9101 role=service pool=booking-app # bojan: booking",
	"route /v1/chat/completions model=keeper-llm repeatable=yes open=no class=latency # ana: guests: all",
	"route /booking/* pool=booking-app repeatable=no open=no cost=50 # ana: reservations",
}, "\n")

// Guards against a formatter that normalizes the operators' text, and against wrong values and defaults.
func TestReadKeepsBytesAndValues(t *testing.T) {
	g := NewWithT(t)
	f, err := rules.ParseAndCheck("fleet.rules", []byte(valid))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(f.Format())).To(Equal(valid))
	all := f.Rules()
	g.Expect(all).To(HaveLen(8))
	ws := all[1].(*rules.Workspace)
	g.Expect(ws.Rate).To(Equal(int64(2000)))
	g.Expect(ws.Who + "|" + ws.Why).To(Equal("ana|contract 17"))
	g.Expect(ws.Text).To(HavePrefix("workspace inspectors"))
	g.Expect(all[3].(*rules.Server).Slots).To(Equal(rules.DefaultSlots))
	g.Expect(all[4].(*rules.Server).Slots).To(Equal(8))
	g.Expect(all[6].Source().Why).To(Equal("guests: all"))
	g.Expect(all[7].(*rules.Route).Cost).To(Equal(int64(50)))
	g.Expect(all[7].Source().Line).To(Equal(10))
}

const who = " # ana: test"

// Guards against faults that are accepted or are reported at the wrong position or with the wrong message.
func TestFaults(t *testing.T) {
	const base = "zone z region=r # a: b\nworkspace w rate=1/s burst=1 # a: b\n"
	key := func(ws, digits, id string) string { return "key " + ws + " sha256=" + digits + " id=" + id + who }
	srv := func(name, rest string) string { return "server " + name + " " + rest + who }
	tests := []struct {
		lines, position, message string
	}{
		{"zone y region=r", "3:16", "# WHO: why"},
		{"zone y region=r # ana", "3:17", "# WHO: why"},
		{"zone y region=r # : why", "3:17", "# WHO: why"},
		{"zone y region=r # ana: ", "3:17", "# WHO: why"},
		{"zoen y region=r" + who, "3:1", "one of zone, workspace, key, server, route"},
		{"  zone region=r" + who, "3:7", "after zone"},
		{"zone y" + who, "3:7", "region="},
		{"zone y region=r share=0" + who, "3:23", "from 1 to 1000000"},
		{"zone y region=r share=01" + who, "3:23", "from 1 to 1000000"},
		{"zone y region=r region=r" + who, "3:17", "once"},
		{"zone y region=r shore=1" + who, "3:17", "an attribute of zone (region, share)"},
		{"zone y region=r share" + who, "3:17", "NAME=VALUE"},
		{"zone y\x00 region=r" + who, "3:7", "control characters"},
		{"zone y region=r # ana: \xff", "3:24", "UTF-8"},
		{"# " + strings.Repeat("x", rules.MaxLine), "3:8193", "at most 8192 bytes"},
		{"workspace v rate=1 burst=1" + who, "3:18", "tokens per second"},
		{"workspace v rate=1/s burst=0" + who, "3:28", "tokens from 1"},
		{"workspace v rate=1/s burst=9223372036854775808" + who, "3:28", "tokens from 1"},
		{"workspace v rate=1/s burst=1 isolated=maybe" + who, "3:39", "one of refuse, serve"},
		{key("w", hash[2:], "k"), "3:14", "64 lower-case hexadecimal digits"},
		{key("w", strings.ToUpper(hash), "k"), "3:14", "64 lower-case hexadecimal digits"},
		{key("v", hash, "k"), "3:5", "declared workspace, found \"v\""},
		{key("w", hash, "k") + "\n" + key("w", hash, "l"), "4:14", "sha256 again (first in line 3)"},
		{"zone z region=r" + who, "3:1", "zone z again (first in line 1)"},
		{srv("s", "zone=y addr=1.2.3.4:5 role=both model=m"), "3:15", "declared zone, found \"y\""},
		{srv("s", "zone=z addr=host:5 role=both model=m"), "3:22", "ip:port"},
		{srv("s", "zone=z addr=1.2.3.4:0 role=both model=m"), "3:22", "ip:port"},
		{srv("s", "zone=z addr=1.2.3.4:5 role=both"), "3:32", "model= on a server"},
		{srv("s", "zone=z addr=1.2.3.4:5 role=service model=m pool=p"), "3:45", "no model="},
		{srv("s", "zone=z addr=1.2.3.4:5 role=both model=m") + "\n" + srv("t", "zone=z addr=1.2.3.4:5 role=both model=m"),
			"4:22", "addr 1.2.3.4:5 again"},
		{"route v1 model=m" + who, "3:7", "a path that starts with /"},
		{"route /v1/*/x model=m" + who, "3:7", "a path that starts with /"},
		{"route /v1" + who, "3:10", "model= or pool="},
		{"route /v1 model=m pool=p" + who, "3:19", "either model= or pool="},
		{"route /v1 model=m cost=5" + who, "3:19", "cost= only on a route with pool="},
		{"route /v1 model=m" + who, "3:17", "declared model, found \"m\""},
		{"route /v1 pool=p" + who, "3:16", "declared pool, found \"p\""},
		{"route /v1 model=m" + who + "\n" + srv("s", "zone=z addr=1.2.3.4:5 role=prefill model=m"), "3:17", "active server that decodes"},
		{"route /v1 pool=p" + who + "\n" + srv("s", "zone=z addr=1.2.3.4:5 role=service pool=p state=leaving"), "3:16", "active server of the pool"},
		{"route /v1 pool=p" + who + "\nroute /v1 pool=q" + who + "\n" + srv("s", "zone=z addr=1.2.3.4:5 role=service pool=p") +
			"\n" + srv("t", "zone=z addr=1.2.3.4:6 role=service pool=q"), "4:1", "a route for /v1 again"},
	}
	for _, tt := range tests {
		t.Run(tt.message+" at "+tt.position, func(t *testing.T) {
			g := NewWithT(t)
			_, err := rules.ParseAndCheck("f", []byte(base+tt.lines+"\n"))
			var fe *rules.FileError
			g.Expect(errors.As(err, &fe)).To(BeTrue(), "expected a *rules.FileError")
			g.Expect(fe.Faults).To(HaveLen(1), err.Error())
			g.Expect(fe.Faults[0].Error()).To(HavePrefix("f:" + tt.position + ": "))
			g.Expect(fe.Faults[0].Error()).To(ContainSubstring(tt.message))
		})
	}
}

// Guards against reporting only the first fault, or only the faults of the first phase (parsing or checking) that
// finds any.
func TestAllFaultsAreReportedInFileOrder(t *testing.T) {
	g := NewWithT(t)
	text := "key w sha256=" + hash + " id=k # a: b\nzone z region=r\nserver s zone=y addr=x role=both model=m # a: b\nzone q region=r # a: b\nzone q region=r # a: b\n"
	_, err := rules.ParseAndCheck("f", []byte(text))
	var fe *rules.FileError
	g.Expect(errors.As(err, &fe)).To(BeTrue())
	var lines []int
	for _, f := range fe.Faults {
		lines = append(lines, f.Pos().Line)
	}
	g.Expect(lines).To(Equal([]int{1, 2, 3, 5}))
	var ref *rules.ReferenceError
	g.Expect(errors.As(err, &ref)).To(BeTrue())
	g.Expect(ref.Kind).To(Equal("workspace"))
	var dup *rules.DuplicateError
	g.Expect(errors.As(err, &dup)).To(BeTrue())
}

// Guards against a diff that omits changes or lists moved lines as changes.
func TestCompare(t *testing.T) {
	g := NewWithT(t)
	old, err := rules.ParseAndCheck("f", []byte(valid))
	g.Expect(err).NotTo(HaveOccurred())
	text := strings.Replace(valid, "share=1 ", "", 1)
	text = strings.Replace(text, "burst=40000", "burst=50000", 1)
	text = strings.Replace(text, "ana: first key", "bor: first key", 1)
	text = strings.Replace(text, "server booking-1", "server booking-2", 1)
	updated, err := rules.ParseAndCheck("f", []byte("# moved by one line\n"+text))
	g.Expect(err).NotTo(HaveOccurred())
	d := rules.Compare(old.Rules(), updated.Rules())
	ids := func(all []rules.Rule) (out []string) {
		for _, r := range all {
			out = append(out, r.ID())
		}
		return out
	}
	g.Expect(ids(d.Added)).To(Equal([]string{"server booking-2"}))
	g.Expect(ids(d.Removed)).To(Equal([]string{"server booking-1"}))
	g.Expect(d.Changed).To(HaveLen(2))
	g.Expect(d.Changed[0].New.ID()).To(Equal("workspace inspectors"))
	g.Expect(d.Changed[1].New.Source().Who).To(Equal("bor"))
	g.Expect(rules.Compare(old.Rules(), old.Rules()).Empty()).To(BeTrue())
}

// Guards against an edit that changes other lines or leaves outdated line numbers, which charges would include.
func TestEdit(t *testing.T) {
	g := NewWithT(t)
	f, err := rules.ParseAndCheck("f", []byte(valid))
	g.Expect(err).NotTo(HaveOccurred())
	added := &rules.Key{Origin: rules.Origin{Who: "bor", Why: "second"}, Workspace: "inspectors", KeyID: "k2", Hash: rules.HashKey("x")}
	g.Expect(f.Append(added)).To(Succeed())
	g.Expect(f.Rules()[3].Source().Line).To(Equal(6))
	g.Expect(f.Rules()[4].Source().Line).To(Equal(7))
	back, err := rules.ParseAndCheck("f", f.Format())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rules.Compare(f.Rules(), back.Rules()).Empty()).To(BeTrue())
	g.Expect(f.Remove("key inspectors k2")).To(BeTrue())
	g.Expect(f.Remove("key inspectors k2")).To(BeFalse())
	g.Expect(string(f.Format())).To(Equal(valid))
	g.Expect(f.Append(&rules.Zone{Name: "q", Region: "r"})).NotTo(Succeed())
	g.Expect(f.Append(&rules.Zone{Name: "q", Region: "r", Origin: rules.Origin{Who: "a\nzone x region=r # a", Why: "b"}})).NotTo(Succeed())
}

func drawRule(t *rapid.T) rules.Rule {
	name := rapid.StringMatching(`[a-z][a-z0-9._-]{0,8}`)
	o := rules.Origin{Who: name.Draw(t, "who"), Why: rapid.StringMatching(`[a-z#:=é][a-z #:=é]{0,8}[a-z]`).Draw(t, "why")}
	tokens := rapid.Int64Range(1, rules.MaxTokens)
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		return &rules.Zone{Origin: o, Name: name.Draw(t, "name"), Region: name.Draw(t, "region"), Share: rapid.Int64Range(1, 9).Draw(t, "share")}
	case 1:
		return &rules.Workspace{Origin: o, Name: name.Draw(t, "name"), Rate: tokens.Draw(t, "rate"), Burst: tokens.Draw(t, "burst"),
			Isolated: rapid.SampledFrom([]rules.IsolatedPolicy{rules.IsolatedServe, rules.IsolatedRefuse}).Draw(t, "isolated"),
			Priority: rapid.IntRange(-5, 5).Draw(t, "priority")}
	case 2:
		return &rules.Key{Origin: o, Workspace: name.Draw(t, "name"), KeyID: name.Draw(t, "id"), Hash: rules.HashKey(name.Draw(t, "key"))}
	case 3:
		s := &rules.Server{Origin: o, Name: name.Draw(t, "name"), Zone: name.Draw(t, "zone"),
			Addr:  fmt.Sprintf("10.0.0.%d:%d", rapid.IntRange(0, 255).Draw(t, "ip"), rapid.IntRange(1, 65535).Draw(t, "port")),
			Role:  rapid.SampledFrom([]rules.Role{rules.RolePrefill, rules.RoleDecode, rules.RoleBoth, rules.RoleService}).Draw(t, "role"),
			Slots: rapid.IntRange(1, 40).Draw(t, "slots"), State: rapid.SampledFrom([]rules.ServerState{rules.ServerActive, rules.ServerLeaving}).Draw(t, "state"),
			Fencing: rapid.SampledFrom([]rules.Fencing{rules.FencingChecked, rules.FencingUnchecked}).Draw(t, "fencing")}
		if s.Role == rules.RoleService {
			s.Pool = name.Draw(t, "pool")
		} else {
			s.Model = name.Draw(t, "model")
		}
		return s
	default:
		r := &rules.Route{Origin: o, Path: "/" + name.Draw(t, "path") + rapid.SampledFrom([]string{"", "/*"}).Draw(t, "suffix"),
			Repeatable: rapid.Bool().Draw(t, "repeatable"), Open: rapid.Bool().Draw(t, "open"), Cost: 1,
			Class: rapid.SampledFrom([]rules.Class{rules.ClassLatency, rules.ClassWait}).Draw(t, "class")}
		if rapid.Bool().Draw(t, "pooled") {
			r.Pool, r.Cost = name.Draw(t, "pool"), tokens.Draw(t, "cost")
		} else {
			r.Model = name.Draw(t, "model")
		}
		return r
	}
}

// Guards against a canonical form that loses or changes values.
func TestCanonicalFormRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		r := drawRule(rt)
		text, err := rules.FormatRule(r)
		g.Expect(err).NotTo(HaveOccurred())
		f, err := rules.Parse("f", []byte(text))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(f.Rules()).To(HaveLen(1))
		g.Expect(rules.Compare([]rules.Rule{r}, f.Rules()).Empty()).To(BeTrue())
		again, err := rules.FormatRule(f.Rules()[0])
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again).To(Equal(text))
		// The origin has the new text and line; all other fields must be equal.
		back := reflect.ValueOf(f.Rules()[0]).Elem()
		back.FieldByName("Origin").Set(reflect.ValueOf(r.Source()))
		g.Expect(f.Rules()[0]).To(Equal(r))
	})
}

// Guards against panics, and against a formatter that changes an accepted file or rule.
func FuzzParse(f *testing.F) {
	f.Add(valid)
	f.Add("")
	f.Add("zone")
	f.Add("zone a region=b # c: d\r\n\r\n#\n")
	f.Add("route /a/* pool=p cost=2 # é: #x")
	f.Fuzz(func(t *testing.T, text string) {
		file, err := rules.Parse("f", []byte(text))
		if err != nil {
			var fe *rules.FileError
			if !errors.As(err, &fe) || len(fe.Faults) == 0 {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		if string(file.Format()) != text {
			t.Fatalf("formatting changed %q", text)
		}
		_ = rules.Check("f", file.Rules())
		for _, r := range file.Rules() {
			canonical, err := rules.FormatRule(r)
			if err != nil {
				t.Fatalf("%q: %v", r.Source().Text, err)
			}
			back, err := rules.Parse("f", []byte(canonical))
			if err != nil || !rules.Compare([]rules.Rule{r}, back.Rules()).Empty() {
				t.Fatalf("canonical form of %q is not equal: %q", r.Source().Text, canonical)
			}
		}
	})
}
