package placement

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/rules"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func decodeTable(slots int, o Options) *ReservationTable {
	return NewReservationTable(&rules.Server{Name: "d", Role: rules.RoleDecode, Slots: slots}, o, NewFairShareTables())
}

func request(n int, workspace string, stage Stage, waitClass bool) ReservationRequest {
	return ReservationRequest{
		ID: ReservationID{Owner: OwnerID{Host: "h"}, ID: fmt.Sprint(n)}, Workspace: workspace, Weight: 100, Stage: stage,
		Tokens: 100, WaitClass: waitClass, Start: testStart, Deadline: testStart.Add(time.Hour), Duration: time.Second,
	}
}

// Guards against more grants than slots, queued requests without a result, two results for one request, and grants
// that outlive their release.
func TestReservationTableNeverOvercommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		const slots = 4
		table := decodeTable(slots, Options{})
		now, next := testStart, 0
		waiting, granted := map[ReservationID]bool{}, map[ReservationID]bool{}
		recordResults := func(results []ReservationResult) {
			for _, a := range results {
				g.Expect(waiting).To(HaveKey(a.ID), "second result, or result of a request that was not queued")
				delete(waiting, a.ID)
				if a.Granted {
					granted[a.ID] = true
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				next++
				a := request(next, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "workspace"), StageDecode, rapid.Bool().Draw(t, "waitClass"))
				// Every start is now, so that no slot is granted on a prediction.
				a.Start, a.Deadline = now, now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait"))*time.Millisecond)
				result, err := table.Reserve(now, a)
				g.Expect(err).NotTo(HaveOccurred())
				waiting[a.ID] = result.Queued
				if !result.Queued {
					delete(waiting, a.ID)
				}
				if result.Granted {
					granted[a.ID] = true
				}
			},
			"release": func(t *rapid.T) {
				for id := range granted {
					g.Expect(table.Release(now, id)).To(BeTrue())
					g.Expect(table.Release(now, id)).To(BeFalse(), "a second release has no effect")
					delete(granted, id)
					break
				}
				recordResults(table.Advance(now))
			},
			"time passes": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
				recordResults(table.Advance(now))
			},
			"": func(*rapid.T) {
				g.Expect(len(granted)).To(BeNumerically("<=", slots))
				g.Expect(table.queues[StageDecode].grants).To(HaveLen(len(granted)))
				g.Expect(table.QueueLength()).To(Equal(len(waiting)))
			},
		})
		recordResults(table.Advance(now.Add(time.Hour)))
		g.Expect(waiting).To(BeEmpty(), "every queued request gets a result by its deadline")
	})
}

// Guards against an order that ignores class, fairness, priority or deadline, and against reserved slots being granted.
func TestReservationTableGrantsInOrder(t *testing.T) {
	early, important := request(6, "a", StageDecode, false), request(7, "a", StageDecode, false)
	early.Deadline, important.Priority = testStart.Add(time.Minute), 5
	heavy := request(1, "heavy", StageDecode, false)
	heavy.Tokens = 100000
	for name, c := range map[string]struct {
		waiting []ReservationRequest
		first   string
	}{
		"latency class before wait class": {[]ReservationRequest{request(4, "a", StageDecode, true), request(5, "a", StageDecode, false)}, "5"},
		"less served workspace":           {[]ReservationRequest{request(4, "heavy", StageDecode, false), request(5, "a", StageDecode, false)}, "5"},
		"priority":                        {[]ReservationRequest{request(5, "a", StageDecode, false), important}, "7"},
		"deadline":                        {[]ReservationRequest{request(5, "a", StageDecode, false), early}, "6"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			table := decodeTable(1, Options{})
			_, err := table.Reserve(testStart, heavy)
			g.Expect(err).NotTo(HaveOccurred())
			for _, a := range c.waiting {
				result, err := table.Reserve(testStart, a)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(result.Queued).To(BeTrue())
			}
			table.Release(testStart, heavy.ID)
			results := table.Advance(testStart)
			g.Expect(results).To(HaveLen(1))
			g.Expect(results[0].ID.ID).To(Equal(c.first))
		})
	}
}

// Guards against an unbounded queue, denials without a retry time, and work for a server that is down or leaving.
func TestReservationTableDenies(t *testing.T) {
	g := NewWithT(t)
	table := decodeTable(1, Options{ServerQueueLimit: 1})
	reserve := func(req ReservationRequest) ReservationResult {
		result, err := table.Reserve(testStart, req)
		g.Expect(err).NotTo(HaveOccurred())
		return result
	}
	g.Expect(reserve(request(1, "a", StageDecode, false)).Granted).To(BeTrue())
	g.Expect(reserve(request(1, "a", StageDecode, false)).Granted).To(BeTrue(), "a repeated request is the same reservation")
	soon := request(2, "a", StageDecode, false)
	soon.Deadline = testStart.Add(time.Millisecond)
	refused := reserve(soon)
	g.Expect(refused.Granted || refused.Queued).To(BeFalse())
	g.Expect(refused.RetryAfter).To(BeNumerically(">", 0))
	g.Expect(reserve(request(3, "a", StageDecode, true)).Queued).To(BeTrue())
	g.Expect(reserve(request(4, "a", StageDecode, true)).QueueFull).To(BeTrue())
	for _, stop := range []*bool{&table.Down, &table.Leaving} {
		*stop = true
		g.Expect(table.Advance(testStart)).To(HaveLen(1))
		table.Release(testStart, request(1, "a", StageDecode, false).ID)
		g.Expect(reserve(request(1, "a", StageDecode, false)).Granted).To(BeFalse(), "a server that is down or leaving grants no free slot")
		*stop = false
		g.Expect(reserve(request(1, "a", StageDecode, false)).Granted).To(BeTrue())
		g.Expect(reserve(request(3, "a", StageDecode, true)).Queued).To(BeTrue())
	}
	_, err := table.Reserve(testStart, request(5, "a", StagePrefill, false))
	var stage *StageError
	g.Expect(err).To(BeAssignableToTypeOf(stage))
}

// Guards against counting a slot twice when a report crosses a grant in transit, and against a new table that grants
// slots although the engine reports them in use.
func TestReservationTableAppliesDelayedReports(t *testing.T) {
	g := NewWithT(t)
	table := decodeTable(20, Options{})
	at := func(ms int) time.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }
	report := func(ms, running, age int) {
		table.Report(at(ms), engine.LoadReport{Running: running, Slots: 20, Age: time.Duration(age) * time.Millisecond})
	}
	report(0, 15, 0)
	report(250, 15, 0)
	g.Expect(table.Load(at(250)).Busy).To(Equal(15), "load that no reservation accounts for")
	for i := range 5 {
		_, err := table.Reserve(at(300), request(i, "a", StageDecode, false))
		g.Expect(err).NotTo(HaveOccurred())
	}
	report(500, 15, 250)
	g.Expect(table.Load(at(500)).Busy).To(Equal(20), "reservations newer than the report are added")
	report(750, 20, 0)
	report(1000, 20, 0)
	g.Expect(table.Load(at(1000)).Busy).To(Equal(20), "reservations within the report are not added again")
	table.Release(at(1001), request(0, "a", StageDecode, false).ID)
	report(1250, 20, 200)
	g.Expect(table.Load(at(1250)).Busy).To(Equal(19), "one report that crossed a release in transit does not count")
	report(1500, 19, 0)
	g.Expect(table.Load(at(1500)).Busy).To(Equal(19))
}

// Guards against a workspace that sends several times its share and thereby pushes others below theirs, for any
// weights.
func TestFairShareUnderOverload(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		weights := map[string]int64{
			"flood": rapid.Int64Range(1, 5).Draw(t, "flood"), "a": rapid.Int64Range(1, 5).Draw(t, "a"), "b": rapid.Int64Range(1, 5).Draw(t, "b"),
		}
		table, now, n := decodeTable(10, Options{}), testStart, 0
		served := map[string]int{}
		var running []ReservationID
		place := func(workspace string) {
			n++
			a := request(n, workspace, StageDecode, true)
			a.Weight, a.Start, a.Deadline = weights[workspace]*1000, now, now.Add(time.Hour)
			if result, _ := table.Reserve(now, a); result.Granted {
				served[workspace]++
				running = append(running, a.ID)
			}
		}
		owner, requested := map[string]string{}, map[string]int{}
		for range 150 {
			now = now.Add(100 * time.Millisecond)
			for _, w := range []string{"flood", "flood", "flood", "a", "b"} {
				if requested[w]-served[w] < 20 {
					requested[w]++
					owner[fmt.Sprint(n+1)] = w
					place(w)
				}
			}
			if len(running) > 0 {
				table.Release(now, running[0])
				running = running[1:]
			}
			for _, a := range table.Advance(now) {
				if a.Granted {
					served[owner[a.ID.ID]]++
					running = append(running, a.ID)
				}
			}
		}
		sum, total := int64(0), 0
		for w, x := range weights {
			sum += x
			total += served[w]
		}
		for w, x := range weights {
			fair := float64(total) * float64(x) / float64(sum)
			g.Expect(float64(served[w])).To(BeNumerically(">=", 0.8*fair), "%s of %v, weights %v", w, served, weights)
		}
	})
}

// Guards against short or failed samples distorting the cost estimates.
func TestCostsLearn(t *testing.T) {
	for name, c := range map[string]struct {
		o        Observation
		from, to time.Duration
	}{
		"long prefill":        {Observation{Stage: StagePrefill, Tokens: 4000, Duration: 400 * time.Millisecond}, 80 * time.Microsecond, 110 * time.Microsecond},
		"short prefill waits": {Observation{Stage: StagePrefill, Tokens: 128, Duration: 400 * time.Millisecond}, 25 * time.Microsecond, 40 * time.Microsecond},
		"failed":              {Observation{Stage: StagePrefill, Tokens: 4000, Duration: 400 * time.Millisecond, Failed: true}, DefaultPrefillPerToken, DefaultPrefillPerToken},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			costs := DefaultCosts()
			for range 100 {
				costs.Update(c.o)
			}
			g.Expect(costs.Prefill(1000) - stageOverhead).To(And(BeNumerically(">=", 1000*c.from), BeNumerically("<=", 1000*c.to)))
		})
	}
}

// Guards against the last slots going to a workspace above its share while another one got less than it requested.
func TestReservationTableReservesSlotsForWorkspacesWithinFairShare(t *testing.T) {
	g := NewWithT(t)
	shared := NewFairShareTables()
	table := NewReservationTable(&rules.Server{Name: "d", Role: rules.RoleDecode}, Options{}, shared)
	table.queues[StageDecode].slots = 3
	shared.Decode.AddRequested(testStart, "flood", 100, 2000)
	shared.Decode.AddGranted(testStart, "flood", 100, 1000)
	shared.Decode.AddRequested(testStart, "calm", 100, 1000)
	for n, c := range []struct {
		workspace string
		granted   bool
	}{{"flood", false}, {"calm", true}, {"flood", false}, {"calm", true}, {"calm", true}, {"calm", false}} {
		a := request(n, c.workspace, StageDecode, false)
		a.Tokens, a.Deadline = 1, testStart
		result, err := table.Reserve(testStart, a)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Granted).To(Equal(c.granted), "request %d of workspace %s", n, c.workspace)
	}
}
