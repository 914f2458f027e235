package faults

import (
	"fmt"
	"sort"
	"strings"
)

// invariants are the names of the invariants in section 2.2 of the design page, and of two conditions of the test
// itself.
var invariants = []string{
	"I1", "I2", "I3", "I4", "I5", "I6", "I7", "I8", "I9", "I10", "I11", "I12", "I13", "I14",
	// step: the case reached the step at which its fault is injected.
	"step",
	// recovery: all hosts serve again after the fault, and requests that must complete in spite of it completed.
	"recovery",
}

// record counts the checks of one case and collects the failures.
type record struct {
	checks   map[string]int
	failures map[string][]string
}

func newRecord() *record {
	return &record{checks: map[string]int{}, failures: map[string][]string{}}
}

// check counts one check of an invariant and records a failure if it did not hold. It returns held.
func (r *record) check(invariant string, held bool, format string, args ...any) bool {
	r.checks[invariant]++
	if !held {
		r.failures[invariant] = append(r.failures[invariant], fmt.Sprintf(format, args...))
	}
	return held
}

// failureLines returns the failures as sorted lines of text.
func (r *record) failureLines() []string {
	var lines []string
	for invariant, failures := range r.failures {
		for _, f := range failures {
			lines = append(lines, invariant+": "+f)
		}
	}
	sort.Strings(lines)
	return lines
}

// table formats the number of checks of each invariant.
func table(cases, flagged int, checks map[string]int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "fault matrix: %d cases, and %d cases with a defective part\n%-10s %10s\n", cases, flagged, "invariant", "checks")
	for _, name := range invariants {
		fmt.Fprintf(&b, "%-10s %10d\n", name, checks[name])
	}
	return b.String()
}
