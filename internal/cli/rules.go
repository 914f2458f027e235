package cli

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/boragecourse/boragecourse/internal/operatorapi"
	"github.com/boragecourse/boragecourse/internal/rules"
)

// maxRaces is the largest number of attempts of an apply when other changes are accepted first.
const maxRaces = 5

// CheckCmd checks a rules file and prints the number of its rules.
type CheckCmd struct {
	File string `arg:"" help:"Rules file."`
}

// Run contacts no host. It returns a *rules.FileError with all faults if the file is invalid.
func (c *CheckCmd) Run(e *Env) error {
	f, err := readFile(c.File)
	if err != nil {
		return err
	}
	n := len(f.Rules())
	return e.print(map[string]int{"rules": n}, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s: %d rules, no faults\n", c.File, n)
	})
}

// DiffCmd compares a rules file with the installed one.
type DiffCmd struct {
	File string `arg:"" help:"Rules file."`
}

// Run prints the rules that an apply of the file would remove, change and add.
func (c *DiffCmd) Run(e *Env) error {
	f, err := readFile(c.File)
	if err != nil {
		return err
	}
	current, err := e.fetchInstalled()
	if err != nil {
		return err
	}
	return e.printDiff(rules.Compare(current.parsed.Rules(), f.Rules()))
}

// GetCmd prints the installed rules file.
type GetCmd struct{}

// Run prints the text of the file. The JSON output also has the generation.
func (c *GetCmd) Run(e *Env) error {
	f, err := e.Client.File(e.Context)
	if err != nil {
		return err
	}
	return e.print(f, func(w io.Writer) { _, _ = io.WriteString(w, f.Text) })
}

// ApplyCmd applies a rules file. Unless Yes is set, it shows the changes first and asks for confirmation.
type ApplyCmd struct {
	File string `arg:"" help:"Rules file."`
	Base uint64 `help:"Generation that the file was based on. Default: the installed one."`
	Yes  bool   `help:"Do not ask before the change." short:"y"`
}

// Run returns an *ExitError if the operator declines the changes or the change is not known to be active.
func (c *ApplyCmd) Run(e *Env) error {
	f, err := readFile(c.File)
	if err != nil {
		return err
	}
	base, err := e.fetchInstalled()
	if err != nil {
		return err
	}
	request := operatorapi.ApplyRequest{BaseGeneration: base.Generation, Text: string(f.Format())}
	if c.Base != 0 {
		request.BaseGeneration = c.Base
	}
	if !c.Yes {
		if err := e.printDiff(rules.Compare(base.parsed.Rules(), f.Rules())); err != nil {
			return err
		}
		if !e.confirm("apply these changes?") {
			return &ExitError{Code: ExitFailure, Err: &declinedError{}}
		}
	}
	return e.applyWithConfirmation(request, base, f)
}

// applyWithConfirmation applies the file. When another change was accepted first, it shows that change and asks whether
// to apply the file on top of it. Without confirmation it returns the race error.
func (e *Env) applyWithConfirmation(request operatorapi.ApplyRequest, base installedFile, f *rules.File) error {
	for range maxRaces {
		result, err := e.Client.Apply(e.Context, request)
		var api *operatorapi.Error
		if err == nil {
			return e.reportApply(result)
		}
		if !errors.As(err, &api) || api.Code != operatorapi.CodeRace {
			return err
		}
		winner, getErr := e.fetchInstalled()
		if getErr != nil {
			return errors.Join(err, getErr)
		}
		_, _ = fmt.Fprintf(e.Out, "another change was accepted first, as generation %d:\n", winner.Generation)
		if err := e.printDiff(rules.Compare(base.parsed.Rules(), winner.parsed.Rules())); err != nil {
			return err
		}
		_, _ = fmt.Fprintln(e.Out, "on top of it, this file would change:")
		if err := e.printDiff(rules.Compare(winner.parsed.Rules(), f.Rules())); err != nil {
			return err
		}
		if !e.confirm("apply all the same?") {
			return err
		}
		base, request.BaseGeneration = winner, winner.Generation
	}
	return &ExitError{Code: ExitRace, Err: &declinedError{}}
}

// reportApply prints the result of an apply and returns an error when the change is not known to be active.
func (e *Env) reportApply(r operatorapi.ApplyResult) error {
	err := e.print(r, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "generation %d: %s\n", r.Generation, r.Status)
		for _, line := range activeByZone(r.Hosts) {
			_, _ = fmt.Fprintln(w, line)
		}
	})
	switch {
	case err != nil:
		return err
	case r.Status == operatorapi.StatusUnknown:
		return &ExitError{Code: ExitUnknown, Err: &unknownApplyError{}}
	case r.Status == operatorapi.StatusStored:
		return &ExitError{Code: ExitNotActive, Err: &notActiveError{Generation: r.Generation}}
	}
	return nil
}

// activeByZone returns one line per zone, with the hosts that have not installed the generation yet.
func activeByZone(hosts []operatorapi.HostActivation) []string {
	var zones []string
	active, total, pending := map[string]int{}, map[string]int{}, map[string][]string{}
	for _, h := range hosts {
		if total[h.Zone] == 0 {
			zones = append(zones, h.Zone)
		}
		total[h.Zone]++
		if h.Active {
			active[h.Zone]++
		} else {
			pending[h.Zone] = append(pending[h.Zone], h.Name)
		}
	}
	lines := make([]string, len(zones))
	for i, z := range zones {
		lines[i] = fmt.Sprintf("  zone %s: in force on %d of %d hosts", z, active[z], total[z])
		if len(pending[z]) > 0 {
			lines[i] += ", not yet on " + strings.Join(pending[z], ", ")
		}
	}
	return lines
}

// installedFile is the installed rules file, parsed.
type installedFile struct {
	operatorapi.File
	parsed *rules.File
}

func (e *Env) fetchInstalled() (installedFile, error) {
	f, err := e.Client.File(e.Context)
	if err != nil {
		return installedFile{}, err
	}
	parsed, err := rules.Parse("installed", []byte(f.Text))
	if err != nil {
		return installedFile{}, fmt.Errorf("parse installed file: %w", err)
	}
	return installedFile{File: f, parsed: parsed}, nil
}

func readFile(path string) (*rules.File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read rules: %w", err)
	}
	f, err := rules.ParseAndCheck(path, data)
	if err != nil {
		return nil, fmt.Errorf("check rules: %w", err)
	}
	return f, nil
}

// diffLine is one changed rule in the tool's output.
type diffLine struct {
	Change string `json:"change"`
	Line   int    `json:"line"`
	Rule   string `json:"rule"`
	Who    string `json:"who"`
	Why    string `json:"why"`
}

func (e *Env) printDiff(d rules.Diff) error {
	var lines []diffLine
	add := func(change string, r rules.Rule) {
		o := r.Source()
		lines = append(lines, diffLine{Change: change, Line: o.Line, Rule: o.Text, Who: o.Who, Why: o.Why})
	}
	for _, r := range d.Removed {
		add("-", r)
	}
	for _, c := range d.Changed {
		add("<", c.Old)
		add(">", c.New)
	}
	for _, r := range d.Added {
		add("+", r)
	}
	return e.print(lines, func(w io.Writer) {
		if len(lines) == 0 {
			_, _ = fmt.Fprintln(w, "no rule differs")
		}
		for _, l := range lines {
			_, _ = fmt.Fprintf(w, "%s %4d %s # %s: %s\n", l.Change, l.Line, l.Rule, l.Who, l.Why)
		}
	})
}

// confirm asks a question and reports whether the answer is y or yes. Any other input, or none, counts as no.
func (e *Env) confirm(question string) bool {
	_, _ = fmt.Fprintf(e.Out, "%s [y/N] ", question)
	line, _ := bufio.NewReader(e.In).ReadString('\n')
	answer := strings.ToLower(strings.TrimSpace(line))
	return answer == "y" || answer == "yes"
}
