package faults

import (
	"fmt"
	"sort"
	"strings"
)

// invariants are those of section 2.2 of the design page, and two that the scaffolding adds.
var invariants = []string{
	"I1", "I2", "I3", "I4", "I5", "I6", "I7", "I8", "I9", "I10", "I11", "I12", "I13", "I14",
	// step: the case reached the step at which its fault belongs.
	"step",
	// recovery: the fleet serves again after the fault, and what the design promises to survive was survived.
	"recovery",
}

// record counts the checks of one case and keeps those that failed.
type record struct {
	checks   map[string]int
	failures map[string][]string
}

func newRecord() *record {
	return &record{checks: map[string]int{}, failures: map[string][]string{}}
}

// check counts one check of an invariant and notes its failure. It reports whether it held.
func (r *record) check(invariant string, held bool, format string, args ...any) bool {
	r.checks[invariant]++
	if !held {
		r.failures[invariant] = append(r.failures[invariant], fmt.Sprintf(format, args...))
	}
	return held
}

// all returns the failures as text, one a line.
func (r *record) all() []string {
	var lines []string
	for invariant, failures := range r.failures {
		for _, f := range failures {
			lines = append(lines, invariant+": "+f)
		}
	}
	sort.Strings(lines)
	return lines
}

// table formats how often each invariant was checked.
func table(cases, flagged int, checks map[string]int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "fault matrix: %d cases, and %d broken runs\n%-10s %10s\n", cases, flagged, "invariant", "checks")
	for _, name := range invariants {
		fmt.Fprintf(&b, "%-10s %10d\n", name, checks[name])
	}
	return b.String()
}
