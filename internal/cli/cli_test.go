package cli_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/cli"
	"github.com/boragecourse/boragecourse/internal/operatorapi"
)

const rulesText = `zone piran-a region=primorska # ana: first zone
workspace inspectors rate=2000/s burst=40000 # ana: contract 17
`

// fleet is an in-memory Backend whose Apply compares and swaps by generation, like the real one. before runs once, at
// the start of the next Apply.
type fleet struct {
	operatorapi.Backend
	mu     sync.Mutex
	file   operatorapi.File
	status operatorapi.ApplyStatus
	before func(f *fleet)
}

func (f *fleet) File(context.Context) (operatorapi.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.file, nil
}

func (f *fleet) Apply(_ context.Context, r operatorapi.ApplyRequest) (operatorapi.ApplyResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if before := f.before; before != nil {
		f.before = nil
		before(f)
	}
	if r.BaseGeneration != f.file.Generation {
		return operatorapi.ApplyResult{}, &operatorapi.Error{Code: operatorapi.CodeRace, WinningGeneration: f.file.Generation}
	}
	f.file = operatorapi.File{Generation: r.BaseGeneration + 1, Text: r.Text}
	return operatorapi.ApplyResult{Status: f.status, Generation: f.file.Generation}, nil
}

func (f *fleet) Status(context.Context) (operatorapi.Status, error) {
	return operatorapi.Status{Host: "h1", Zone: "piran-a", Ready: true, Generation: f.file.Generation}, nil
}

type result struct {
	code     int
	out, err string
}

func run(t *testing.T, f *fleet, input string, args ...string) result {
	t.Helper()
	sum := sha256.Sum256([]byte("op"))
	h, err := operatorapi.Handler(f, hex.EncodeToString(sum[:]), logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	s := httptest.NewServer(h)
	defer s.Close()
	args = append([]string{"--hosts=" + strings.TrimPrefix(s.URL, "http://"), "--credential=op"}, args...)
	var out, errOut bytes.Buffer
	code := cli.Run(t.Context(), args, strings.NewReader(input), &out, &errOut)
	return result{code, out.String(), errOut.String()}
}

func writeRules(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "fleet.rules")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against applying an invalid file, and against an exit code that scripts cannot distinguish from others.
func TestFaultyFileIsNotApplied(t *testing.T) {
	g := NewWithT(t)
	f := &fleet{status: operatorapi.StatusActive}
	r := run(t, f, "", "apply", "--yes", writeRules(t, "workspace inspectors rate=2000/s burst=40000\n"))
	g.Expect(r.code).To(Equal(cli.ExitInvalidFile), r.err)
	g.Expect(r.err).To(ContainSubstring("fleet.rules:1:"))
	g.Expect(f.file.Generation).To(BeZero())
}

// Guards against a change that is applied without confirmation.
func TestApplyAsksFirst(t *testing.T) {
	g := NewWithT(t)
	f := &fleet{status: operatorapi.StatusActive}
	path := writeRules(t, rulesText)
	g.Expect(run(t, f, "n\n", "apply", path).code).To(Equal(cli.ExitFailure))
	g.Expect(f.file.Generation).To(BeZero())
	g.Expect(run(t, f, "y\n", "apply", path).code).To(Equal(cli.ExitOK))
	g.Expect(f.file.Text).To(Equal(rulesText))
}

// Guards against an apply that replaces another operator's change without showing it.
func TestLostRaceShowsTheOtherChange(t *testing.T) {
	g := NewWithT(t)
	other := strings.Replace(rulesText, "rate=2000/s", "rate=3000/s", 1)
	race := func(f *fleet) { f.file = operatorapi.File{Generation: f.file.Generation + 1, Text: other} }
	f := &fleet{status: operatorapi.StatusActive, file: operatorapi.File{Generation: 1, Text: rulesText}, before: race}
	path := writeRules(t, strings.Replace(rulesText, "burst=40000", "burst=50000", 1))
	r := run(t, f, "", "apply", "--yes", path)
	g.Expect(r.code).To(Equal(cli.ExitRace), r.err)
	g.Expect(r.out).To(ContainSubstring("rate=3000/s"))
	g.Expect(f.file.Text).To(Equal(other))
}

// Guards against exit code 0 for a change that is not known to be accepted or active.
func TestUnknownAndStoredHaveExitCodes(t *testing.T) {
	g := NewWithT(t)
	path := writeRules(t, rulesText)
	g.Expect(run(t, &fleet{status: operatorapi.StatusUnknown}, "", "apply", "--yes", path).code).To(Equal(cli.ExitUnknown))
	g.Expect(run(t, &fleet{status: operatorapi.StatusStored}, "", "apply", "--yes", path).code).To(Equal(cli.ExitNotActive))
}

// Guards against printing a key that is not active, against storing the key itself, and against losing another
// operator's change that was accepted first.
func TestKeyIsIssuedAndWithdrawn(t *testing.T) {
	g := NewWithT(t)
	other := rulesText + "workspace guests rate=10/s burst=100 # bojan: trial\n"
	race := func(f *fleet) { f.file = operatorapi.File{Generation: f.file.Generation + 1, Text: other} }
	f := &fleet{status: operatorapi.StatusActive, file: operatorapi.File{Generation: 1, Text: rulesText}, before: race}
	r := run(t, f, "", "--output=json", "keys", "issue", "inspectors", "--id=k1", "--who=ana", "--why=first key")
	g.Expect(r.code).To(Equal(cli.ExitOK), r.err)
	var issued struct{ Key string }
	g.Expect(json.Unmarshal([]byte(r.out), &issued)).To(Succeed())
	sum := sha256.Sum256([]byte(issued.Key))
	g.Expect(f.file.Text).To(ContainSubstring(hex.EncodeToString(sum[:])))
	g.Expect(f.file.Text).NotTo(ContainSubstring(issued.Key))
	g.Expect(f.file.Text).To(ContainSubstring("workspace guests"))

	g.Expect(run(t, f, "", "keys", "withdraw", "inspectors", "k1").code).To(Equal(cli.ExitOK))
	g.Expect(f.file.Text).To(Equal(other))
	g.Expect(run(t, f, "", "keys", "withdraw", "inspectors", "k1").code).To(Equal(cli.ExitFailure))
}

// Guards against an evacuation without an author, one that replaces another change or rule, and one that can't be ended.
func TestZoneIsEvacuated(t *testing.T) {
	g := NewWithT(t)
	other := rulesText + "workspace guests rate=10/s burst=100 # bojan: trial\n"
	race := func(f *fleet) { f.file = operatorapi.File{Generation: f.file.Generation + 1, Text: other} }
	f := &fleet{status: operatorapi.StatusActive, file: operatorapi.File{Generation: 1, Text: rulesText}, before: race}
	g.Expect(run(t, f, "", "evacuate", "piran-a", "--who=").code).To(Equal(cli.ExitUsage))
	r := run(t, f, "", "evacuate", "piran-a", "--who=ana", "--why=power works")
	g.Expect(r.code).To(Equal(cli.ExitOK), r.err)
	g.Expect(f.file.Text).To(Equal(other + "evacuate piran-a # ana: power works\n"))
	g.Expect(run(t, f, "", "evacuate", "piran-a", "--who=ana").code).To(Equal(cli.ExitFailure))
	g.Expect(run(t, f, "", "evacuate", "piran-a", "--end").code).To(Equal(cli.ExitOK))
	g.Expect(f.file.Text).To(Equal(other))
	g.Expect(run(t, f, "", "evacuate", "piran-a", "--end").code).To(Equal(cli.ExitFailure))
}

// Guards against a status command that fails when one of the hosts is unreachable.
func TestStatusWithADeadHost(t *testing.T) {
	g := NewWithT(t)
	dead := httptest.NewServer(nil)
	dead.Close()
	r := run(t, &fleet{}, "", "status", "--hosts="+strings.TrimPrefix(dead.URL, "http://"))
	g.Expect(r.code).To(Equal(cli.ExitOK), r.err)
	g.Expect(r.out).To(And(ContainSubstring("no answer"), ContainSubstring("ready")))
}

// Guards against exit codes that do not distinguish usage errors from files that cannot be read.
func TestUsageErrors(t *testing.T) {
	g := NewWithT(t)
	g.Expect(run(t, &fleet{}, "", "no-such-command").code).To(Equal(cli.ExitUsage))
	g.Expect(run(t, &fleet{}, "", "check", filepath.Join(t.TempDir(), "missing")).code).To(Equal(cli.ExitFailure))
}

// Guards against explain ID [FILES] that no longer works beside explain route.
func TestExplainReadsLogs(t *testing.T) {
	g := NewWithT(t)
	line := "time=2026-12-06T20:00:00.000Z event=x request=abc\n"
	g.Expect(run(t, &fleet{}, line, "explain", "abc")).To(Equal(result{out: line}))
	g.Expect(run(t, &fleet{}, "", "explain", "abc", writeRules(t, line))).To(Equal(result{out: line}))
	g.Expect(run(t, &fleet{}, "", "explain").code).To(Equal(cli.ExitUsage))
}
