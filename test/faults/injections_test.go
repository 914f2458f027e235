package faults

import (
	"time"

	"github.com/boragecourse/boragecourse/internal/platform"
	"github.com/boragecourse/boragecourse/test/fleet"
	"github.com/boragecourse/boragecourse/test/standin/engine"
	"github.com/boragecourse/boragecourse/test/standin/service"
)

const (
	// short is for faults that injectFault once.
	short = 2 * time.Second
	// outage outlasts the lease (5 s), the fence time (4 s) and the trust period (3 s).
	outage = 11 * time.Second
	// beyondIsolation outlasts the isolation limit of the fleet.
	beyondIsolation = fleet.Isolation + outage
	// slowStore is the delay of each call to a slow store.
	slowStore = 800 * time.Millisecond
)

// fault is a fault of the matrix.
type fault struct {
	name   string
	inject func(*trial)
	lasts  time.Duration
	// survives is set when the design promises a whole answer to a generation that began before the fault, always
	// when it promises that to one that arrives or waits during the fault as well.
	survives, always bool
	options          fleet.Options
}

// Faults of hosts, of the store, of links and by operators; they injectFault every kind of work.
var (
	noFault     = fault{name: "no fault", inject: func(*trial) {}, lasts: short, survives: true, always: true}
	hostDies    = fault{name: "serving host dies", inject: func(t *trial) { t.serving.Kill() }, lasts: outage}
	hostRestart = fault{name: "serving host dies and starts again at once", lasts: short, inject: func(t *trial) {
		t.serving.Kill()
		t.check("step", t.serving.Start() == nil, "the host did not start again")
	}}
	homeDies = fault{name: "home host dies", inject: func(t *trial) { t.home.Kill() }, lasts: outage, survives: true}
	hostCut  = fault{name: "serving host cut off beyond its lease", inject: func(t *trial) { t.isolate(t.serving) }, lasts: outage, survives: true}
	zoneCut  = fault{name: "zone cut off beyond its lease", inject: cutZone, lasts: outage, survives: true}
	zoneGone = fault{name: "zone cut off beyond the isolation limit", inject: cutZone, lasts: beyondIsolation, survives: true}
	zoneLink = fault{name: "zone cut off from the others but not from the store", lasts: outage, survives: true, inject: func(t *trial) {
		t.cutOff = true
		t.CutZone("a")
	}}
	leaseLapse = fault{name: "leases lapse", lasts: short, survives: true, always: true, inject: func(t *trial) {
		for id := range platform.LeaseID(32) {
			t.Store.LapseLease(id)
		}
	}}
	clientLeaves = fault{name: "client cancels", lasts: short, inject: func(t *trial) {
		if t.target != nil {
			t.target.Cancel()
		}
	}}
	keyWithdrawn = fault{name: "key withdrawn", lasts: 7 * time.Second, survives: true, inject: func(t *trial) {
		t.change(t.other, t.rules.Without("guests"))
	}}
	storeDown = fault{name: "store down", inject: func(t *trial) { t.StoreDown(true, t.All()...) }, lasts: outage, survives: true}
	storeSlow = fault{name: "store slow", lasts: 8 * time.Second, survives: true, inject: func(t *trial) {
		for _, h := range t.All() {
			h.Client.SetDelay(slowStore)
		}
	}}
	answersLost = fault{name: "store answers lost after the effect", lasts: short, survives: true, always: true, inject: func(t *trial) {
		for _, h := range t.All() {
			h.Client.LoseAnswers(4)
		}
	}}
	drained  = fault{name: "serving host drains", inject: func(t *trial) { t.leave(t.serving) }, lasts: short, survives: true}
	watchGap = fault{name: "watch gap", lasts: short, survives: true, always: true, inject: func(t *trial) {
		r := t.rules
		r.Note = "during a watch gap"
		t.change(t.other, r)
		t.Store.BreakWatches()
	}}
	race = fault{name: "operators race", lasts: short, survives: true, always: true, inject: func(t *trial) {
		for i, h := range []*fleet.Host{t.serving, t.home, t.other} {
			r := t.rules
			r.Note = []string{"first", "second", "third"}[i]
			t.change(h, r)
		}
	}}
)

// Faults of backend servers.
var (
	stall = fault{name: "transfer stalls", lasts: short, survives: true, always: true, inject: func(t *trial) {
		t.Cores["d-a"].SetFaults(engine.Faults{StallTransfers: 1})
	}}
	decodeCrash  = fault{name: "decode engine crashes", inject: func(t *trial) { t.Cores["d-a"].Crash() }, lasts: short, survives: true, always: true}
	prefillCrash = fault{name: "prefill engine crashes", inject: func(t *trial) { t.Cores["p-a"].Crash() }, lasts: short, survives: true, always: true}
	streamLost   = fault{name: "stream lost", lasts: short, survives: true, always: true, inject: func(t *trial) {
		t.Cores["d-a"].SetFaults(engine.Faults{LoseStreams: 1, LoseAfter: 3})
	}}
	abortsFail = fault{name: "stream lost for good and aborts fail", lasts: short, survives: true, always: true, inject: func(t *trial) {
		t.Cores["d-a"].SetFaults(engine.Faults{LoseStreams: 1, LoseAfter: 3, FailResumes: 1, FailAborts: 5})
	}}
	lateAnswer = fault{name: "late answer", lasts: short, survives: true, always: true, inject: func(t *trial) {
		for _, c := range t.Cores {
			c.SetFaults(engine.Faults{LateAnswers: 900 * time.Millisecond})
		}
		for _, s := range t.Services {
			s.SetFaults(service.Faults{Slow: 1500 * time.Millisecond})
		}
	}}
	crossed = fault{name: "crossed answer", lasts: short, survives: true, always: true, inject: func(t *trial) {
		for _, name := range []string{"p-a", "d-a", "s-a", "s-b"} {
			t.Cross(name, 1)
		}
	}}
	cacheGap = fault{name: "cache event gap", options: fleet.Options{EventGapEvery: 3}, lasts: short, survives: true, always: true, inject: func(t *trial) {
		t.Cores["p-a"].Crash()
	}}
	engineLeaves = fault{name: "decode server set to leaving", lasts: 5 * time.Second, survives: true, always: true, inject: func(t *trial) {
		r := t.rules
		r.Leaving = []string{"d-a"}
		t.change(t.other, r)
	}}
	serviceLeaves = fault{name: "service set to leaving", lasts: 5 * time.Second, survives: true, always: true, inject: func(t *trial) {
		r := t.rules
		r.Leaving = []string{"s-a"}
		t.change(t.other, r)
	}}
	effectLost = fault{name: "answer lost after the effect", lasts: short, inject: func(t *trial) {
		for _, s := range t.Services {
			s.SetFaults(service.Faults{CutAfter: 1})
		}
	}}
	cutBefore = fault{name: "connection lost before the effect", lasts: short, inject: func(t *trial) {
		for _, s := range t.Services {
			s.SetFaults(service.Faults{CutBefore: 1})
		}
	}}
	refusedOnce = fault{name: "service refuses as not run", lasts: short, inject: func(t *trial) {
		for _, s := range t.Services {
			s.SetFaults(service.Faults{FailBefore: 1})
		}
	}}
)

// hostFaults injectFault every kind of work.
var hostFaults = []fault{
	noFault, hostDies, hostRestart, homeDies, hostCut, zoneCut, leaseLapse, storeDown, storeSlow, answersLost,
	drained, watchGap, race,
}

var generationFaults = append([]fault{
	clientLeaves, keyWithdrawn, stall, decodeCrash, prefillCrash, streamLost, abortsFail, lateAnswer, crossed, cacheGap,
	engineLeaves, zoneLink,
}, hostFaults...)

var bookingFaults = append([]fault{
	clientLeaves, keyWithdrawn, effectLost, cutBefore, refusedOnce, lateAnswer, crossed, serviceLeaves, zoneLink,
}, hostFaults...)

var changeFaults = append([]fault{zoneLink}, hostFaults...)

// isolate cuts a host off from the store and all other hosts.
func (t *trial) isolate(h *fleet.Host) {
	t.cutOff = true
	t.CutPeers([]*fleet.Host{h}, t.All())
	t.StoreDown(true, h)
}

func cutZone(t *trial) {
	t.cutOff = true
	t.CutZone("a")
	t.StoreDown(true, t.InZone("a")...)
}

// both combines two faults that injectFault at the same moment.
func both(one, other fault) fault {
	return fault{
		name: one.name + " and " + other.name, lasts: max(one.lasts, other.lasts), survives: one.survives && other.survives,
		options: one.options, inject: func(t *trial) { one.inject(t); other.inject(t) },
	}
}

// twice lets the second fault injectFault while the first one goes on.
func twice(one, other fault, gap time.Duration) fault {
	return fault{
		name: one.name + ", then " + other.name, lasts: max(one.lasts, other.lasts), options: one.options,
		inject: func(t *trial) { one.inject(t); t.pass(gap); other.inject(t) },
	}
}
