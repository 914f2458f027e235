package faults

import (
	"time"

	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/test/fleet"
	"github.com/boragecourse/boragecourse/test/standin/engine"
	"github.com/boragecourse/boragecourse/test/standin/service"
)

const (
	// momentary is the duration of a fault that happens at one moment.
	momentary = 2 * time.Second
	// outage is longer than the lease (5 s), the fencing time (4 s) and the trust period (3 s).
	outage = 11 * time.Second
	// beyondIsolation is longer than the isolation limit of the fleet.
	beyondIsolation = fleet.Isolation + outage
	// slowStoreDelay is the added delay of each call to the store.
	slowStoreDelay = 800 * time.Millisecond
)

// fault is one fault of the matrix. lasts is the time that passes between its injection and the recovery.
type fault struct {
	name   string
	inject func(*trial)
	lasts  time.Duration
	// survives is set when the design guarantees a complete response to a generation request that was running when the
	// fault began; always is set when it also guarantees this to a request that arrives or is queued during the fault.
	survives, always bool
	options          fleet.Options
}

// Faults of hosts, the store and links, and actions of operators. They apply to every kind of work.
var (
	noFault     = fault{name: "no fault", inject: func(*trial) {}, lasts: momentary, survives: true, always: true}
	hostDies    = fault{name: "serving host dies", inject: func(t *trial) { t.serving.Kill() }, lasts: outage}
	hostRestart = fault{name: "serving host dies and starts again at once", lasts: momentary, inject: func(t *trial) {
		t.serving.Kill()
		t.check("step", t.serving.Start() == nil, "the host did not restart")
	}}
	homeDies            = fault{name: "home host dies", inject: func(t *trial) { t.home.Kill() }, lasts: outage, survives: true}
	hostPartitioned     = fault{name: "serving host cut off beyond its lease", inject: func(t *trial) { t.isolate(t.serving) }, lasts: outage, survives: true}
	zonePartitioned     = fault{name: "zone cut off beyond its lease", inject: partitionZone, lasts: outage, survives: true}
	zonePartitionedLong = fault{name: "zone cut off beyond the isolation limit", inject: partitionZone, lasts: beyondIsolation, survives: true}
	zoneLinkCut         = fault{name: "zone cut off from the others but not from the store", lasts: outage, survives: true, inject: func(t *trial) {
		t.cutOff = true
		t.CutZone("a")
	}}
	leasesExpire = fault{name: "leases lapse", lasts: momentary, survives: true, always: true, inject: func(t *trial) {
		for id := range kvstore.LeaseID(32) {
			t.Store.ExpireLease(id)
		}
	}}
	clientLeaves = fault{name: "client cancels", lasts: momentary, inject: func(t *trial) {
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
			h.Client.SetDelay(slowStoreDelay)
		}
	}}
	answersLost = fault{name: "store answers lost after the effect", lasts: momentary, survives: true, always: true, inject: func(t *trial) {
		for _, h := range t.All() {
			h.Client.LoseResponses(4)
		}
	}}
	drained  = fault{name: "serving host drains", inject: func(t *trial) { t.leave(t.serving) }, lasts: momentary, survives: true}
	watchGap = fault{name: "watch gap", lasts: momentary, survives: true, always: true, inject: func(t *trial) {
		r := t.rules
		r.Note = "during a watch gap"
		t.change(t.other, r)
		t.Store.BreakWatches()
	}}
	race = fault{name: "operators race", lasts: momentary, survives: true, always: true, inject: func(t *trial) {
		for i, h := range []*fleet.Host{t.serving, t.home, t.other} {
			r := t.rules
			r.Note = []string{"first", "second", "third"}[i]
			t.change(h, r)
		}
	}}
)

// Faults of backend servers, and changes of their state.
var (
	stall = fault{name: "transfer stalls", lasts: momentary, survives: true, always: true, inject: func(t *trial) {
		t.Engines["d-a"].SetFaults(engine.Faults{StallTransfers: 1})
	}}
	decodeCrash  = fault{name: "decode engine crashes", inject: func(t *trial) { t.Engines["d-a"].Crash() }, lasts: momentary, survives: true, always: true}
	prefillCrash = fault{name: "prefill engine crashes", inject: func(t *trial) { t.Engines["p-a"].Crash() }, lasts: momentary, survives: true, always: true}
	streamLost   = fault{name: "stream lost", lasts: momentary, survives: true, always: true, inject: func(t *trial) {
		t.Engines["d-a"].SetFaults(engine.Faults{LoseStreams: 1, LoseAfter: 3})
	}}
	abortsFail = fault{name: "stream lost for good and aborts fail", lasts: momentary, survives: true, always: true, inject: func(t *trial) {
		t.Engines["d-a"].SetFaults(engine.Faults{LoseStreams: 1, LoseAfter: 3, FailResumes: 1, FailAborts: 5})
	}}
	lateAnswer = fault{name: "late answer", lasts: momentary, survives: true, always: true, inject: func(t *trial) {
		for _, c := range t.Engines {
			c.SetFaults(engine.Faults{LateAnswers: 900 * time.Millisecond})
		}
		for _, s := range t.Services {
			s.SetFaults(service.Faults{Slow: 1500 * time.Millisecond})
		}
	}}
	crossed = fault{name: "crossed answer", lasts: momentary, survives: true, always: true, inject: func(t *trial) {
		for _, name := range []string{"p-a", "d-a", "s-a", "s-b"} {
			t.MismatchAttempts(name, 1)
		}
	}}
	cacheGap = fault{name: "cache event gap", options: fleet.Options{EventGapEvery: 3}, lasts: momentary, survives: true, always: true, inject: func(t *trial) {
		t.Engines["p-a"].Crash()
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
	effectLost = fault{name: "answer lost after the effect", lasts: momentary, inject: func(t *trial) {
		for _, s := range t.Services {
			s.SetFaults(service.Faults{CutAfter: 1})
		}
	}}
	cutBefore = fault{name: "connection lost before the effect", lasts: momentary, inject: func(t *trial) {
		for _, s := range t.Services {
			s.SetFaults(service.Faults{CutBefore: 1})
		}
	}}
	refusedOnce = fault{name: "service refuses as not run", lasts: momentary, inject: func(t *trial) {
		for _, s := range t.Services {
			s.SetFaults(service.Faults{FailBefore: 1})
		}
	}}
)

// hostFaults apply to every kind of work.
var hostFaults = []fault{
	noFault, hostDies, hostRestart, homeDies, hostPartitioned, zonePartitioned, leasesExpire, storeDown, storeSlow, answersLost,
	drained, watchGap, race,
}

var generationFaults = append([]fault{
	clientLeaves, keyWithdrawn, stall, decodeCrash, prefillCrash, streamLost, abortsFail, lateAnswer, crossed, cacheGap,
	engineLeaves, zoneLinkCut,
}, hostFaults...)

var bookingFaults = append([]fault{
	clientLeaves, keyWithdrawn, effectLost, cutBefore, refusedOnce, lateAnswer, crossed, serviceLeaves, zoneLinkCut,
}, hostFaults...)

var changeFaults = append([]fault{zoneLinkCut}, hostFaults...)

// isolate partitions a host from the store and all other hosts.
func (t *trial) isolate(h *fleet.Host) {
	t.cutOff = true
	t.CutPeers([]*fleet.Host{h}, t.All())
	t.StoreDown(true, h)
}

func partitionZone(t *trial) {
	t.cutOff = true
	t.CutZone("a")
	t.StoreDown(true, t.InZone("a")...)
}

// both combines two faults that are injected at the same time.
func both(one, other fault) fault {
	return fault{
		name: one.name + " and " + other.name, lasts: max(one.lasts, other.lasts), survives: one.survives && other.survives,
		options: one.options, inject: func(t *trial) { one.inject(t); other.inject(t) },
	}
}

// staggered combines two faults; the second one is injected after the gap, while the first one lasts.
func staggered(one, other fault, gap time.Duration) fault {
	return fault{
		name: one.name + ", then " + other.name, lasts: max(one.lasts, other.lasts), options: one.options,
		inject: func(t *trial) { one.inject(t); t.pass(gap); other.inject(t) },
	}
}
