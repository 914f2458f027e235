// Package faults checks the invariants of the design page under each fault at each step of a request or configuration
// change, with complete hosts on the fake clock of testing/synctest.
package faults

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// workers returns the number of cases to run at once. Under the race detector cases run one at a time on one thread:
// with several threads the race runtime can crash in runtime.(*timer).maybeRunChan when tickers in a bubble are
// overdue.
func workers() int {
	if raceEnabled {
		runtime.GOMAXPROCS(1)
		return 1
	}
	return 4
}

// Under the race detector, where a case takes about ten times as long, only one in raceShare cases runs. raceShare is
// coprime to the numbers of steps, so that the selection covers all steps. FAULTS_ALL=1 runs all cases.
const raceShare = 11

// entry is one case of the matrix.
type entry struct {
	name  string
	step  step
	fault fault
	// flags is the invariant that a case with a defective part must violate; empty for other cases.
	flags string
}

// result is the outcome of a case; done is closed when it is available.
type result struct {
	done    chan struct{}
	skipped bool
	*record
}

// suite runs the cases of the tables in synctest bubbles, several at once. The specs wait for the results and report
// them.
type suite struct {
	entries []entry
	results []*result
}

func (s *suite) add(e entry) int {
	s.entries = append(s.entries, e)
	s.results = append(s.results, &result{done: make(chan struct{}), record: newRecord()})
	return len(s.entries) - 1
}

// run runs the cases that runOne does not skip. Ginkgo's goroutines stay outside of the bubbles.
func (s *suite) run(t *testing.T) {
	next := make(chan int)
	var wg sync.WaitGroup
	for range workers() {
		wg.Go(func() {
			for i := range next {
				s.runOne(t, i)
			}
		})
	}
	for i := range s.entries {
		next <- i
	}
	close(next)
	wg.Wait()
}

func (s *suite) runOne(t *testing.T, i int) {
	e, r := s.entries[i], s.results[i]
	defer close(r.done)
	if raceEnabled && e.flags == "" && i%raceShare != 0 && os.Getenv("FAULTS_ALL") == "" {
		r.skipped = true
		return
	}
	if only := os.Getenv("FAULTS_ONLY"); only != "" && !strings.Contains(e.name, only) {
		r.skipped = true
		return
	}
	t.Run(e.name, func(t *testing.T) {
		synctest.Test(t, func(*testing.T) { runCase(e, r.record) })
	})
}

func runCase(e entry, r *record) {
	o := e.fault.options
	o.Log = logr.Discard()
	if os.Getenv("FAULTS_LOG") != "" {
		o.Log = funcr.New(func(prefix, args string) { fmt.Println(prefix, args) }, funcr.Options{Verbosity: 1, LogTimestamp: true})
	}
	t, started := newTrial(e.name, o, r)
	defer t.Close()
	if !started {
		return
	}
	e.step.run(t, e.fault)
	t.finish()
}

var cases suite

var _ = describeMatrix("a generation request", "generation", generationSteps, generationFaults)
var _ = describeMatrix("a booking that may not be repeated", "booking", bookingSteps, bookingFaults)
var _ = describeMatrix("a configuration change", "change", changeSteps, changeFaults)

// describeMatrix adds a table with a case for each fault at each step. Each case fails when an invariant is violated.
func describeMatrix(title, kind string, steps []step, faults []fault) bool {
	var entries []any
	for _, f := range faults {
		for _, s := range steps {
			name := fmt.Sprintf("%s: %s: %s", kind, s.name, f.name)
			entries = append(entries, Entry(f.name+" / "+s.name, cases.add(entry{name: name, step: s, fault: f})))
		}
	}
	return DescribeTable(title, append([]any{expectHeld}, entries...)...)
}

// expectHeld waits for the result of a case and fails the spec with all violations that were found.
func expectHeld(i int) {
	r := cases.results[i]
	<-r.done
	if r.skipped {
		Skip("case is not selected in this run")
	}
	Expect(strings.Join(r.failureLines(), "\n")).To(BeEmpty())
}

var _ = describePairs()

func describePairs() bool {
	var entries []any
	for _, p := range pairs {
		name := p.fault.name + " / " + p.step.name
		entries = append(entries, Entry(name, cases.add(entry{name: "pair: " + name, step: p.step, fault: p.fault})))
	}
	return DescribeTable("pairs of faults", append([]any{expectHeld}, entries...)...)
}

var _ = describeDefects()

func describeDefects() bool {
	var entries []any
	for _, b := range defects {
		f := b.fault
		f.options = b.options
		entries = append(entries, Entry(b.name+" violates "+b.flags, cases.add(entry{name: "broken: " + b.name, step: b.step, fault: f, flags: b.flags})))
	}
	return DescribeTable("deliberately broken parts", append([]any{expectFlagged}, entries...)...)
}

// expectFlagged waits for the result of a case with a defective part and fails the spec unless the check of its
// invariant failed.
func expectFlagged(i int) {
	r := cases.results[i]
	<-r.done
	if r.skipped {
		Skip("case is not selected in this run")
	}
	Expect(r.failures).To(HaveKey(cases.entries[i].flags), "other violations: %s", strings.Join(r.failureLines(), "\n"))
}

func TestFaults(t *testing.T) {
	RegisterFailHandler(Fail)
	ran := make(chan struct{})
	go func() {
		defer close(ran)
		cases.run(t)
	}()
	RunSpecs(t, "fault matrix")
	<-ran
	report(t)
}

// report prints the number of cases that ran, and for those without a defective part the checks of each invariant.
func report(t *testing.T) {
	sum, ran, flagged := map[string]int{}, 0, 0
	for i, r := range cases.results {
		switch {
		case r.skipped:
		case cases.entries[i].flags != "":
			flagged++
		default:
			ran++
			for name, n := range r.checks {
				sum[name] += n
			}
		}
	}
	fmt.Print(table(ran, flagged, sum))
	for name := range sum {
		if !slices.Contains(invariants, name) {
			t.Errorf("unknown invariant %s", name)
		}
	}
}
