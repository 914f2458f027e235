package exchange

import (
	"maps"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/boragecourse/boragecourse/internal/kvstore"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// tombstoneTime is how long the last report of a host that has left is passed on.
const tombstoneTime = 5 * time.Second

// totalsInterval is the time between two reports of load counters in fleets with relays. They are evaluated once a second.
const totalsInterval = time.Second

// feed holds the newest report of each host, this one included, and the position at which each part of it last changed.
// Positions count the changes of this feed. A receiver that has everything up to a position needs only what changed
// after it, so that reports grow with the changes and not with the number of workspaces and hosts. feed is not safe for
// concurrent use.
type feed struct {
	position uint64
	// entries are kept by the host's address; addresses finds the address of an incarnation.
	entries   map[string]*feedEntry
	addresses map[uint64]string
	// self is the address of this host.
	self string
	// rate is the rate at which the output of runs is extrapolated, in tokens a second; now is the time of the last update.
	rate float64
	now  time.Time
	// keyOf returns the key of the backend server with a hash, empty if it is not known.
	keyOf func(hash uint64) string
}

type feedEntry struct {
	// report is the complete newest report, except that its uses are in serverUses. Its maps change; what they and its
	// slices refer to does not.
	report     *peerv1.FrontReport
	serverUses serverUses
	// recorded is the position at which this incarnation was first recorded, position that of the last change.
	recorded, position               uint64
	uses, evidence, limits, versions uint64
	observations                     uint64
	admitted, generations            changeLog
	leftAt                           time.Time
	// via is the address of the host that has sent all changes after the position viaSince.
	via      string
	viaSince uint64
	// totalsAt is when this host last reported its load counters.
	totalsAt time.Time
}

func newFeed(self string, keyOf func(hash uint64) string) *feed {
	return &feed{self: self, entries: map[string]*feedEntry{}, addresses: map[uint64]string{}, keyOf: keyOf}
}

// update records this host's own report, which is complete, and reports whether its contents have changed. The recorded
// sequence rises when they have, or when bump is set. decodeRate is the rate at which receivers extrapolate the output
// of runs. thin is set in fleets with relays, where the load counters are reported at intervals.
func (f *feed) update(r *peerv1.FrontReport, bump, thin bool, decodeRate float64, now time.Time) bool {
	old := f.entries[r.Address]
	if old == nil || old.report.Incarnation != r.Incarnation {
		r.Sequence, r.MergesUses = 1, true
		f.record(r, now)
		return true
	}
	f.rate, f.now = decodeRate, now
	changes := old.serverUses.changes(r.Uses, thin, decodeRate, now)
	r.KeepsUses = len(changes) == 0 && sameStageChanges(old.report, r)
	if thin {
		changes = old.serverUses.repeat(changes, r.Uses, now)
		r.KeepsUses = r.KeepsUses && len(changes) == 0
		r.Uses, r.Partial, r.MergesUses = changes, true, true
	}
	if thin && now.Sub(old.totalsAt) < totalsInterval {
		r.Generations = nil
	} else {
		old.totalsAt = now
	}
	leaveOutUnchanged(old.report, r)
	changed := old.report.Leaving != r.Leaving || !r.KeepsUses || r.Evidence != nil || r.Limits != nil || r.Observations != nil || countersChanged(old.report, r) ||
		r.ConfigurationVersion > old.report.ConfigurationVersion
	if changed || bump {
		r.Sequence = old.report.Sequence + 1
		f.overlay(old, r, now)
	}
	return changed
}

// leaveOutUnchanged removes those lists from r that are the same in old.
func leaveOutUnchanged(old, r *peerv1.FrontReport) {
	if proto.Equal(old.Evidence, r.Evidence) {
		r.Evidence = nil
	}
	if proto.Equal(old.Limits, r.Limits) {
		r.Limits = nil
	}
	if proto.Equal(old.Observations, r.Observations) {
		r.Observations = nil
	}
}

// countersChanged reports whether a counter of r is new or differs from that of old.
func countersChanged(old, r *peerv1.FrontReport) bool {
	for name, v := range r.Admitted {
		if known, present := old.Admitted[name]; !present || known != v {
			return true
		}
	}
	for name, v := range r.Generations {
		if known, present := old.Generations[name]; !present || !sameTotals(known, v) {
			return true
		}
	}
	return false
}

// record replaces the entry of a host by a complete report.
func (f *feed) record(r *peerv1.FrontReport, now time.Time) {
	if old := f.entries[r.Address]; old != nil {
		delete(f.addresses, old.report.Incarnation)
	}
	f.position++
	e := &feedEntry{report: r, recorded: f.position, position: f.position, uses: f.position, evidence: f.position, limits: f.position, observations: f.position, versions: f.position}
	e.serverUses.apply(r, f.position, now)
	r.Uses = nil
	if r.Admitted == nil {
		r.Admitted = map[string]int64{}
	}
	if r.Generations == nil {
		r.Generations = map[string]*peerv1.GenerationTotals{}
	}
	f.entries[r.Address] = e
	f.addresses[r.Incarnation] = r.Address
}

// merge records a report of another host, which must be newer than the recorded one. from is the address of the host that
// sent it.
func (f *feed) merge(r *peerv1.FrontReport, from string, now time.Time) {
	e := f.entries[f.addresses[r.Incarnation]]
	before := f.position
	if e == nil {
		if r.Partial {
			return
		}
		f.record(cloneReport(r), now)
		e = f.entries[r.Address]
	} else {
		f.overlay(e, r, now)
	}
	if e.via != from {
		e.via, e.viaSince = from, before
	}
	if r.Leaving && e.leftAt.IsZero() {
		e.leftAt = now
	}
}

// overlay applies what a report contains to the entry of the same incarnation. A complete report, too, can only add
// entries to the maps, since counters never disappear.
func (f *feed) overlay(e *feedEntry, r *peerv1.FrontReport, now time.Time) {
	f.position++
	e.position = f.position
	to := e.report
	to.Sequence, to.Leaving, to.StateRevision, to.StateAgeMillis = r.Sequence, r.Leaving, r.StateRevision, r.StateAgeMillis
	to.UptimeMillis = r.UptimeMillis
	if r.StateEra > to.StateEra || r.ConfigurationVersion > to.ConfigurationVersion {
		to.StateEra, to.ConfigurationVersion = max(r.StateEra, to.StateEra), max(r.ConfigurationVersion, to.ConfigurationVersion)
		e.versions = f.position
	}
	to.MergesUses = to.MergesUses || announcesMerging(r)
	if !r.KeepsUses {
		e.serverUses.apply(r, f.position, now)
		to.ChangingStage, e.uses = r.ChangingStage, f.position
	}
	if r.Evidence != nil {
		to.Evidence, e.evidence = r.Evidence, f.position
	}
	if r.Limits != nil {
		to.Limits, e.limits = r.Limits, f.position
	}
	if r.Observations != nil {
		to.Observations, e.observations = r.Observations, f.position
	}
	for name, v := range r.Admitted {
		if old, known := to.Admitted[name]; !known || old != v {
			to.Admitted[name] = v
			e.admitted.add(name, f.position)
		}
	}
	for name, v := range r.Generations {
		if old, known := to.Generations[name]; !known || !sameTotals(old, v) {
			to.Generations[name] = v
			e.generations.add(name, f.position)
		}
	}
}

// incarnation returns the recorded report of an incarnation, or nil.
func (f *feed) incarnation(id uint64) *peerv1.FrontReport {
	if e := f.entries[f.addresses[id]]; e != nil {
		return e.report
	}
	return nil
}

// version returns the version of the store's copy that a report names, completed by earlier reports of the host.
func (f *feed) version(r *peerv1.FrontReport) StateVersion {
	v := StateVersion{Revision: kvstore.InEra(r.StateEra, r.StateRevision), Configuration: r.ConfigurationVersion}
	if known := f.incarnation(r.Incarnation); known != nil {
		v.Revision = kvstore.InEra(max(r.StateEra, known.StateEra), r.StateRevision)
		v.Configuration = max(r.ConfigurationVersion, known.ConfigurationVersion)
	}
	return v
}

// merges reports whether the process at an address is known to merge uses.
func (f *feed) merges(address string, incarnation uint64) bool {
	e := f.entries[address]
	return e != nil && e.report.Incarnation == incarnation && e.report.MergesUses
}

// direct reports whether the newest report was received from its own host, or is this host's.
func (e *feedEntry) direct(self string) bool {
	return e.via == e.report.Address || e.report.Address == self
}

// sentBy reports whether a receiver that has everything up to a position has sent all later changes itself.
func (e *feedEntry) sentBy(receiver string, position uint64) bool {
	return receiver != "" && e.via == receiver && position > 0 && position >= e.viaSince
}

// lacks reports whether a receiver that has got the direct reports up to a position may lack earlier changes of this one,
// because they were not received directly and so not sent to it.
func (e *feedEntry) lacks(position uint64, self string) bool {
	return e.report.Address != self && position <= e.viaSince
}

// form is the form of reports that a receiver supports.
type form struct {
	// changedUses is set if uses may be sent as changes.
	changedUses bool
	// workspaces is the list by whose indices admitted tokens are sent, nil if they are sent by name.
	workspaces *workspaceList
}

// since returns what has changed after a position, for the hosts that include selects, except what the receiver has sent
// itself. With direct set, include selects direct reports.
func (f *feed) since(position uint64, receiver string, form form, direct bool, include func(e *feedEntry) bool) []*peerv1.FrontReport {
	var out []*peerv1.FrontReport
	for _, e := range f.entries {
		if e.position <= position || !include(e) || e.sentBy(receiver, position) {
			continue
		}
		if e.recorded > position || direct && e.lacks(position, f.self) {
			r := cloneReport(e.report)
			r.Uses = e.serverUses.all(form.changedUses, f)
			form.workspaces.compact(r)
			out = append(out, r)
			continue
		}
		r := &peerv1.FrontReport{
			Partial: true, Incarnation: e.report.Incarnation, Sequence: e.report.Sequence, Leaving: e.report.Leaving,
			StateRevision: e.report.StateRevision, StateAgeMillis: e.report.StateAgeMillis, UptimeMillis: e.report.UptimeMillis,
			KeepsUses: e.uses <= position,
			Admitted:  map[string]int64{}, Generations: map[string]*peerv1.GenerationTotals{},
		}
		if r.KeepsUses {
			// Only a host itself knows for sure what its process supports.
			r.MergesUses = e.report.MergesUses && e.report.Address == f.self
		} else {
			r.Uses, r.MergesUses = e.serverUses.since(position, form.changedUses, f)
			r.ChangingStage = e.report.ChangingStage
		}
		if e.evidence > position {
			r.Evidence = e.report.Evidence
		}
		if e.limits > position {
			r.Limits = e.report.Limits
		}
		if e.observations > position {
			r.Observations = e.report.Observations
		}
		if e.versions > position {
			r.StateEra, r.ConfigurationVersion = e.report.StateEra, e.report.ConfigurationVersion
		}
		for name := range e.admitted.since(position) {
			form.workspaces.addAdmitted(r, name, e.report.Admitted[name])
		}
		for name := range e.generations.since(position) {
			r.Generations[name] = e.report.Generations[name]
		}
		out = append(out, r)
	}
	return out
}

// remove forgets a host, unless its address belongs to another incarnation by now.
func (f *feed) remove(address string, incarnation uint64) {
	if e := f.entries[address]; e != nil && e.report.Incarnation == incarnation {
		delete(f.entries, address)
		delete(f.addresses, incarnation)
	}
}

// expire forgets the hosts that left more than tombstoneTime ago.
func (f *feed) expire(now time.Time) {
	for address, e := range f.entries {
		if !e.leftAt.IsZero() && now.Sub(e.leftAt) > tombstoneTime {
			f.remove(address, e.report.Incarnation)
		}
	}
}

// cloneReport returns a complete copy whose maps are not shared.
func cloneReport(r *peerv1.FrontReport) *peerv1.FrontReport {
	return &peerv1.FrontReport{
		Name: r.Name, Address: r.Address, Zone: r.Zone, LinkMbps: r.LinkMbps, Incarnation: r.Incarnation, Sequence: r.Sequence, Leaving: r.Leaving,
		Admitted: maps.Clone(r.Admitted), Uses: r.Uses, MergesUses: r.MergesUses, StateRevision: r.StateRevision, StateAgeMillis: r.StateAgeMillis,
		Generations: maps.Clone(r.Generations), ChangingStage: r.ChangingStage, Evidence: r.Evidence, Limits: r.Limits, Observations: r.Observations,
		UptimeMillis: r.UptimeMillis, StateEra: r.StateEra, ConfigurationVersion: r.ConfigurationVersion,
	}
}

// sameStageChanges compares the backend servers that two reports say change their stage.
func sameStageChanges(a, b *peerv1.FrontReport) bool {
	if len(a.ChangingStage) != len(b.ChangingStage) {
		return false
	}
	for key := range a.ChangingStage {
		if _, present := b.ChangingStage[key]; !present {
			return false
		}
	}
	return true
}

func sameTotals(a, b *peerv1.GenerationTotals) bool {
	return a.Arrived == b.Arrived && a.Prompt == b.Prompt && a.Output == b.Output && a.PrefillMicros == b.PrefillMicros &&
		a.PrefillTokens == b.PrefillTokens && a.SlotMicros == b.SlotMicros && a.SlotTokens == b.SlotTokens
}
