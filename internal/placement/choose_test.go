package placement

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/rules"
)

// largeView returns a view of n servers, a third of them for prefill, in zones of about the production size.
func largeView(n, hosts, zones int) (*view, *query) {
	var all []rules.Rule
	for i := range n {
		role := rules.RoleDecode
		if i%3 == 0 {
			role = rules.RolePrefill
		}
		name := fmt.Sprintf("s%d", i)
		all = append(all, &rules.Server{Name: name, Addr: name, Zone: fmt.Sprintf("z%d", i%zones), Role: role, Model: "m", Slots: 20})
	}
	e := membership.Epoch{Number: 1}
	for i := range hosts {
		e.Hosts = append(e.Hosts, host.ID{Name: fmt.Sprintf("h%d", i), Zone: fmt.Sprintf("z%d", i%zones), Incarnation: 1})
	}
	o := Options{}.withDefaults()
	v := newView(&o)
	v.rebuild(config.NewSnapshot(1, all), e)
	now := time.Now()
	blocks := make([]uint64, 20)
	for i := range blocks {
		blocks[i] = uint64(i)
	}
	for i := range n {
		s := v.servers[fmt.Sprintf("s%d", i)]
		s.setLoad(now, Load{Slots: 20, Busy: i % 20, PrefillWait: time.Duration(i%50) * time.Millisecond})
		if i%9 == 0 {
			v.index.Hint(s.name, now, blocks[:i%20])
		}
	}
	return v, &query{now: now, tokens: 12000, blocks: blocks}
}

// BenchmarkDecision measures the choice of a pair, without the calls to home hosts.
func BenchmarkDecision(b *testing.B) {
	for _, c := range []struct{ servers, hosts, zones int }{{12, 4, 4}, {48, 8, 4}, {300, 30, 6}, {1200, 120, 22}, {3600, 350, 22}} {
		b.Run(fmt.Sprintf("servers=%d", c.servers), func(b *testing.B) {
			v, q := largeView(c.servers, c.hosts, c.zones)
			m := v.models["m"]
			b.ReportAllocs()
			for b.Loop() {
				if !v.choose(m, q).ok {
					b.Fatal("no pair")
				}
			}
		})
	}
}

// Guards against a term missing from the score, and against unusable servers being chosen.
func TestChooseWeighsEachTerm(t *testing.T) {
	const ms = time.Millisecond
	type server struct {
		zone string
		role rules.Role
		load Load
	}
	idle := Load{Slots: 20}
	base := map[string]server{
		"p1": {"z0", rules.RolePrefill, idle}, "p2": {"z1", rules.RolePrefill, idle},
		"d1": {"z0", rules.RoleDecode, idle}, "d2": {"z1", rules.RoleDecode, idle},
	}
	for name, c := range map[string]struct {
		change          func(v *view, q *query)
		prefill, decode string
	}{
		"own zone": {func(*view, *query) {}, "p1", "d1"},
		"other zone, faster by less than the margin": {func(v *view, _ *query) { v.servers["p1"].load.PrefillWait = 5 * ms }, "p1", "d1"},
		"prefill wait":                   {func(v *view, _ *query) { v.servers["p1"].load.PrefillWait = 50 * ms }, "p2", "d1"},
		"prefill cost":                   {func(v *view, _ *query) { v.servers["p1"].costs.prefill *= 3 }, "p2", "d1"},
		"cached prefix":                  {func(v *view, q *query) { v.index.Hint("p2", q.now, q.blocks) }, "p2", "d1"},
		"decode wait":                    {func(v *view, _ *query) { v.servers["d1"].load = Load{Slots: 20, Busy: 20, SlotWait: 300 * ms} }, "p1", "d2"},
		"decode wait within the prefill": {func(v *view, _ *query) { v.servers["d1"].load = Load{Slots: 20, Busy: 20, SlotWait: 5 * ms} }, "p1", "d1"},
		"link in use": {func(v *view, q *query) {
			v.links.add(q.now, 0, 0, plannedTransfer{start: q.now, end: q.now.Add(time.Second), tokens: 100000})
		}, "p1", "d2"},
		"server down":                  {func(v *view, q *query) { v.servers["d1"].downUntil = q.now.Add(ms) }, "p1", "d2"},
		"home host unreachable":        {func(v *view, q *query) { v.servers["p1"].homeUnreachableUntil = q.now.Add(ms) }, "p2", "d1"},
		"excluded":                     {func(_ *view, q *query) { q.exclude = []string{"d1"} }, "p1", "d2"},
		"decode slot already reserved": {func(v *view, q *query) { q.reservedDecode = v.servers["d2"] }, "p1", "d2"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var all []rules.Rule
			for n, s := range base {
				all = append(all, &rules.Server{Name: n, Addr: n, Zone: s.zone, Role: s.role, Model: "m", Slots: 20})
			}
			o := Options{}.withDefaults()
			v := newView(&o)
			v.zone("z0")
			v.rebuild(config.NewSnapshot(1, all), membership.Epoch{Number: 1, Hosts: []host.ID{{Name: "h", Zone: "z0"}, {Name: "i", Zone: "z1"}}})
			q := &query{now: testStart, tokens: 2000, blocks: []uint64{1, 2, 3}, zone: v.zone("z0")}
			for n, s := range base {
				v.servers[n].setLoad(q.now, s.load)
			}
			c.change(v, q)
			p := v.choose(v.models["m"], q)
			g.Expect(p.ok).To(BeTrue())
			g.Expect([]string{p.prefill.server.name, p.decode.server.name}).To(Equal([]string{c.prefill, c.decode}))
		})
	}
}

// BenchmarkPlace measures a complete placement, releases included, on a host that is the home host of all 12 servers.
func BenchmarkPlace(b *testing.B) {
	v, q := largeView(12, 1, 1)
	f := &fleet{snap: v.snap}
	self := host.ID{Name: "h0", Zone: "z0", Incarnation: 1}
	f.setEpoch(1, self)
	s := New(Deps{Viewer: member{f, self}, Config: f}, Options{})
	b.ReportAllocs()
	for b.Loop() {
		p, err := s.Place(b.Context(), v.snap, Request{Workspace: "w", Weight: 1, Model: "m", PromptTokens: 1000, MaxOutputTokens: 100, PrefixBlocks: q.blocks, Arrived: time.Now()})
		if err != nil {
			b.Fatal(err)
		}
		p.ReleasePrefill()
		p.ReleaseDecode()
	}
}

// Guards against a predicted transfer time that ignores the prompt's size or the transfers already planned on the link.
// The request life cycle would then abort imports that are only waiting for the link.
func TestPlacementPredictsTransferTime(t *testing.T) {
	inFleet(t, Options{}, serverRules(8, "d"), func(g *GomegaWithT, f *fleet) {
		const tokens = 40_000
		alone := stageOverhead + tokens*DefaultTransferPerToken
		for i, want := range []time.Duration{alone, alone + tokens*DefaultTransferPerToken} {
			r := f.request(rules.ClassWait)
			r.PromptTokens = tokens
			p, err := f.services["a"].Place(context.Background(), f.Current(), r)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(p.Transfer).To(Equal(want), "placement %d", i)
			p.ReleasePrefill()
			if i == 0 {
				again, err := f.services["b"].PlaceDecode(context.Background(), f.Current(), r, p.Prefill)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(again.Transfer).To(Equal(alone))
				again.ReleaseDecode()
			}
		}
	})
}
