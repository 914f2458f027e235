package exchange_test

import (
	"maps"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/exchange"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// relayFill is an exchange.Local with one generation that has output since a time.
type relayFill struct {
	connected
	outputSince time.Time
}

func (l *relayFill) Fill(r *peerv1.FrontReport) {
	run := &peerv1.GenerationRun{Prompt: 10, MaxOutput: 6000}
	if !l.outputSince.IsZero() {
		run.Generated = 1 + time.Since(l.outputSince).Milliseconds()
	}
	r.Uses = []*peerv1.ServerUse{{Key: "engine", Slots: 1, Runs: []*peerv1.GenerationRun{run}}}
}

func (l *relayFill) DecodeRate() float64 { return 1000 }

// Guards against uses sent as changes to hosts of earlier versions, which would take them for all uses, and against runs
// that are reported for progress that receivers extrapolate, or not reported when it differs.
func TestUsesAreSentAsChangesToHostsThatMergeThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		local := &relayFill{}
		e := exchange.New(exchange.Options{Address: "10.0.0.001", Zone: "z0", Incarnation: 1, Local: local, Log: logr.Discard(), Now: time.Now})
		var reports []*peerv1.FrontReport
		for i := range 10 {
			reports = append(reports, &peerv1.FrontReport{
				Address: "10.0.0.1" + strconv.Itoa(i), Zone: "z0", Incarnation: uint64(10 + i), Sequence: 1, MergesUses: i > 0,
			})
		}
		since := map[uint64]uint64{}
		pull := func(caller int) *peerv1.FrontReport {
			time.Sleep(100 * time.Millisecond)
			host := reports[caller]
			reply, err := e.Report(t.Context(), &peerv1.ReportRequest{
				Reports: reports, Caller: host.Address, Incarnation: host.Incarnation, Pull: peerv1.Scope_SCOPE_OWN,
				Since: since[host.Incarnation], SinceIncarnation: 1,
			})
			g.Expect(err).NotTo(HaveOccurred())
			since[host.Incarnation] = reply.Position
			reports = reports[:10]
			for _, r := range reply.Reports {
				return r
			}
			return nil
		}
		round := func() { e.Notify(); time.Sleep(600 * time.Millisecond) }
		go func() { _ = e.Serve(t.Context()) }()
		round()
		old, merging := 0, 1
		g.Expect(pull(old).Uses[0].Key).To(Equal("engine"))
		g.Expect(pull(merging).Uses[0].Server).To(Equal(exchange.ServerHash(&peerv1.ServerUse{Key: "engine"})))
		local.outputSince = time.Now()
		round()
		r := pull(old)
		g.Expect([]any{r.KeepsUses, r.MergesUses, r.Uses[0].Key}).To(Equal([]any{false, false, "engine"}))
		r = pull(merging)
		g.Expect([]any{r.KeepsUses, r.MergesUses, r.Uses[0].Runs[0].Generated < 100}).To(Equal([]any{false, true, true}))
		time.Sleep(500 * time.Millisecond)
		r = pull(merging)
		g.Expect(r == nil || r.KeepsUses).To(BeTrue(), "progress as extrapolated")
		local.outputSince = local.outputSince.Add(-time.Second)
		round()
		r = pull(merging)
		g.Expect(r.KeepsUses).To(BeFalse(), "more progress than extrapolated")
	})
}

// Guards against uses that stay after their end, or get lost, when receivers have an earlier position than the one up to
// which the ends of uses are kept.
func TestEndedUsesReachReceiversThatLagBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		all := n.grow(12, 3)
		time.Sleep(settled)
		n.lock(func() { all[5].paused = true })
		for i := range 400 {
			n.lock(func() {
				clear(all[1].uses)
				all[1].uses["s"+strconv.Itoa(i)] = 1
				all[1].exchange.Notify()
			})
			time.Sleep(40 * time.Millisecond)
		}
		n.lock(func() { all[5].paused = false })
		time.Sleep(settled)
		n.lock(func() {
			n.g.Expect(maps.Clone(all[5].seen[all[1].incarnation].uses)).To(Equal(hashed(all[1].uses)))
		})
		n.expectConsistent("after a pause")
		n.stopAll()
	})
}
