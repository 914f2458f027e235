// Package quarantine finds the parts of prompts that crash the engines which start to decode them, and keeps requests with
// such parts away from the engines (poison requests). Hosts exchange what they have seen: for each crash the parts of the
// runs that had just started, and which suspected parts a run has survived with. The package does no I/O and reads no clock.
package quarantine

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/boragecourse/boragecourse/internal/fleet"
)

const (
	// minCrashes is the number of engines that have to crash with a part before it is quarantined. A sound request that
	// meets two failing engines in a row stays below it.
	minCrashes = 3
	// repeatCrashes is the same number for a part of an entry that has several parts, when the entry as a whole does not
	// explain these crashes.
	repeatCrashes = 2
	// crashTTL is how long a crash counts. survivalTTL is how long a part counts as sound after a run with it.
	crashTTL    = time.Minute
	survivalTTL = 15 * time.Second
	// TTL is how long a part stays quarantined.
	TTL = 10 * time.Minute
)

// The bounds keep the state of a host, and what hosts send each other, independent of what callers send.
const (
	// maxCrashes bounds the crashes that one host reports. maxRuns and maxParts bound the runs and their parts in each.
	maxCrashes = 4
	maxRuns    = 4
	maxParts   = 8
	// maxSurvived bounds the survived parts that one host reports.
	maxSurvived = 16
	// maxQuarantined bounds the parts of all entries together.
	maxQuarantined = 32
	// maxSurvivals bounds the survived parts that a host remembers.
	maxSurvivals = 4096
)

// Crash is a crash of an engine. Server is a hash of the engine's incarnation, Runs are the shared parts of the prompts
// whose runs had just started there, except those that are known to be sound.
type Crash struct {
	Server uint64
	Runs   [][]fleet.PromptPart
}

func (c Crash) clone() Crash {
	runs := make([][]fleet.PromptPart, len(c.Runs))
	for i, run := range c.Runs {
		runs[i] = slices.Clone(run)
	}
	return Crash{Server: c.Server, Runs: runs}
}

// Entry is a quarantined set of parts, sorted: a prompt that contains all of them is refused. It has more than one part
// while each crash involved all of them and no run has survived with one of them.
type Entry struct {
	Parts []fleet.PromptPart
	// UntilUnix is when the quarantine ends, in Unix seconds. It is only used to pass the entry on.
	UntilUnix int64
	// until is the same time on this host's monotonic clock.
	until time.Time
	// adopted is set when another host has established the entry. Such entries are not passed on to other hosts.
	adopted bool
}

// Remaining returns how long the entry stays quarantined.
func (e Entry) Remaining(now time.Time) time.Duration { return max(e.until.Sub(now), 0) }

// Evidence is what one host tells the others.
type Evidence struct {
	Crashes []Crash
	// Survived are suspected parts with which a run has survived at the host within survivalTTL.
	Survived []fleet.PromptPart
	Entries  []Entry
}

// Change is an entry that was added, or one that ended because a run survived with its parts.
type Change struct {
	Entry  Entry
	Lifted bool
	// Crashes is the number of crashed engines that led to an added entry, 0 if another host established it.
	Crashes int
}

// Ledger holds the evidence of all hosts and the entries that follow from it. It is not safe for concurrent use.
type Ledger struct {
	own       []ownCrash
	survivals map[fleet.PromptPart]time.Time
	peers     map[string]Evidence
	entries   []Entry
}

type ownCrash struct {
	Crash
	at time.Time
}

// New returns a ledger without evidence.
func New() *Ledger {
	return &Ledger{survivals: map[fleet.PromptPart]time.Time{}, peers: map[string]Evidence{}}
}

// RecordCrash records that an engine has crashed while a run with these parts had just started there.
func (l *Ledger) RecordCrash(server string, parts []fleet.PromptPart, now time.Time) []Change {
	l.expire(now)
	suspected := l.unclearedOf(parts, now)
	if len(suspected) == 0 {
		return nil
	}
	id := hashServer(server)
	at := slices.IndexFunc(l.own, func(c ownCrash) bool { return c.Server == id })
	if at < 0 {
		if len(l.own) == maxCrashes {
			l.dropCrash()
		}
		at = len(l.own)
		l.own = append(l.own, ownCrash{Crash: Crash{Server: id}, at: now})
	}
	l.own[at].Runs = l.boundRuns(append(l.own[at].Runs, suspected))
	return l.evaluate(now)
}

// boundRuns drops the least suspected runs and parts of a crash above the bounds. Those that share parts with other crashes
// stay, so that the common part of several crashes is kept whatever callers send.
func (l *Ledger) boundRuns(runs [][]fleet.PromptPart) [][]fleet.PromptPart {
	count := countCrashes(l.crashes())
	bySuspicion := func(a, b fleet.PromptPart) int { return cmp.Compare(count[b], count[a]) }
	rand.Shuffle(len(runs), func(i, j int) { runs[i], runs[j] = runs[j], runs[i] })
	for _, run := range runs {
		rand.Shuffle(len(run), func(i, j int) { run[i], run[j] = run[j], run[i] })
		slices.SortStableFunc(run, bySuspicion)
	}
	slices.SortStableFunc(runs, func(a, b []fleet.PromptPart) int { return bySuspicion(a[0], b[0]) })
	room := maxParts
	for i, run := range runs {
		if i == maxRuns || room == 0 {
			return runs[:i]
		}
		runs[i] = run[:min(len(run), room)]
		room -= len(runs[i])
	}
	return runs
}

func hashServer(key string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	return h.Sum64()
}

// dropCrash removes a crash that an entry explains, or else the oldest one.
func (l *Ledger) dropCrash() {
	at := max(slices.IndexFunc(l.own, func(c ownCrash) bool { return l.explains(c.Runs) }), 0)
	l.own = slices.Delete(l.own, at, at+1)
}

// RecordSurvival records that a run with these parts has gone on after its start.
func (l *Ledger) RecordSurvival(parts []fleet.PromptPart, now time.Time) []Change {
	for _, p := range parts {
		l.survivals[p] = now
	}
	if len(l.survivals) > maxSurvivals {
		l.expire(now)
		for p := range l.survivals {
			if len(l.survivals) <= maxSurvivals {
				break
			}
			delete(l.survivals, p)
		}
	}
	if suspects := l.suspects(); !slices.ContainsFunc(parts, func(p fleet.PromptPart) bool { return suspects[p] }) {
		return nil
	}
	return l.evaluate(now)
}

// Receive replaces the evidence of another host.
func (l *Ledger) Receive(host string, e Evidence, now time.Time) []Change {
	l.peers[host] = Evidence{
		Crashes: e.Crashes[:min(len(e.Crashes), maxCrashes)], Survived: e.Survived[:min(len(e.Survived), maxSurvived)],
	}
	// Entries that also follow from this host's evidence are established here, so that they are passed on from here too.
	return append(l.evaluate(now), l.Adopt(e.Entries, now)...)
}

// Forget removes the evidence of a host that has left. The entries that followed from it stay.
func (l *Ledger) Forget(host string) { delete(l.peers, host) }

// Adopt adds entries that other hosts have established.
func (l *Ledger) Adopt(entries []Entry, now time.Time) []Change {
	var changes []Change
	for _, e := range entries {
		e.Parts = l.unclearedOf(e.Parts, now)
		left := min(time.Duration(e.UntilUnix-now.Unix())*time.Second, TTL)
		if len(e.Parts) == 0 || len(e.Parts) > maxParts || left <= 0 {
			continue
		}
		e.until, e.adopted = now.Add(left), true
		if l.add(e) {
			changes = append(changes, Change{Entry: e})
		}
	}
	return changes
}

// add adds an entry, unless another one already covers it, and replaces those that it covers.
func (l *Ledger) add(e Entry) bool {
	if slices.ContainsFunc(l.entries, func(old Entry) bool { return containsAll(e.Parts, old.Parts) }) {
		return false
	}
	l.entries = slices.DeleteFunc(l.entries, func(old Entry) bool { return containsAll(old.Parts, e.Parts) })
	l.entries = append(l.entries, e)
	slices.SortStableFunc(l.entries, func(a, b Entry) int { return a.until.Compare(b.until) })
	for countParts(l.entries) > maxQuarantined {
		l.entries = l.entries[1:]
	}
	return true
}

func countParts(entries []Entry) (n int) {
	for _, e := range entries {
		n += len(e.Parts)
	}
	return n
}

// Blocked returns the entry because of which a prompt with these parts is refused.
func (l *Ledger) Blocked(parts []fleet.PromptPart, now time.Time) (Entry, bool) {
	for _, e := range l.entries {
		if now.Before(e.until) && containsAll(parts, e.Parts) {
			return e, true
		}
	}
	return Entry{}, false
}

// Entries returns the current entries.
func (l *Ledger) Entries(now time.Time) []Entry {
	l.expire(now)
	return slices.Clone(l.entries)
}

// Evidence returns what this host tells the others.
func (l *Ledger) Evidence(now time.Time) Evidence {
	l.expire(now)
	e := Evidence{Entries: slices.DeleteFunc(slices.Clone(l.entries), func(e Entry) bool { return e.adopted })}
	for _, c := range l.own {
		e.Crashes = append(e.Crashes, c.clone())
	}
	for p := range l.suspects() {
		if at, survived := l.survivals[p]; survived && now.Sub(at) < survivalTTL {
			e.Survived = append(e.Survived, p)
		}
	}
	slices.Sort(e.Survived)
	e.Survived = e.Survived[:min(len(e.Survived), maxSurvived)]
	return e
}

// evaluate removes from the entries the parts with which a run has survived, and adds the entries that explain the crashes.
func (l *Ledger) evaluate(now time.Time) []Change {
	l.expire(now)
	l.clearCrashes(now)
	var changes []Change
	kept := l.entries[:0]
	for _, e := range l.entries {
		left := l.unclearedOf(e.Parts, now)
		if len(left) == 0 {
			changes = append(changes, Change{Entry: e, Lifted: true})
			continue
		}
		e.Parts = left
		kept = append(kept, e)
	}
	l.entries = kept
	return append(changes, l.addCommonParts(now)...)
}

// clearCrashes removes from this host's crashes the parts with which a run has survived.
func (l *Ledger) clearCrashes(now time.Time) {
	for i := range l.own {
		var runs [][]fleet.PromptPart
		for _, run := range l.own[i].Runs {
			if left := l.unclearedOf(run, now); len(left) > 0 {
				runs = append(runs, left)
			}
		}
		l.own[i].Runs = runs
	}
	l.own = slices.DeleteFunc(l.own, func(c ownCrash) bool { return len(c.Runs) == 0 })
}

// addCommonParts adds entries until they explain all crashes that have enough in common.
func (l *Ledger) addCommonParts(now time.Time) []Change {
	all := l.crashes()
	for server, runs := range all {
		for i := range runs {
			all[server][i] = l.unclearedOf(runs[i], now)
		}
	}
	open := maps.Clone(all)
	var changes []Change
	for {
		maps.DeleteFunc(open, func(_ uint64, runs [][]fleet.PromptPart) bool { return l.explains(runs) })
		count := countCrashes(open)
		most := 0
		for p, n := range count {
			if n >= l.crashesNeeded(p) {
				most = max(most, n)
			}
		}
		if most == 0 {
			return changes
		}
		before := len(changes)
		for _, p := range slices.Sorted(maps.Keys(count)) {
			e := Entry{Parts: companions(all, p), UntilUnix: now.Add(TTL).Unix(), until: now.Add(TTL)}
			if count[p] == most && most >= l.crashesNeeded(p) && l.add(e) {
				changes = append(changes, Change{Entry: e, Crashes: most})
			}
		}
		if len(changes) == before {
			return changes
		}
	}
}

// crashesNeeded returns the number of unexplained crashes after which a part is quarantined.
func (l *Ledger) crashesNeeded(p fleet.PromptPart) int {
	if slices.ContainsFunc(l.entries, func(e Entry) bool { return len(e.Parts) > 1 && slices.Contains(e.Parts, p) }) {
		return repeatCrashes
	}
	return minCrashes
}

// explains reports whether one of the runs contains all parts of an entry.
func (l *Ledger) explains(runs [][]fleet.PromptPart) bool {
	return slices.ContainsFunc(runs, func(run []fleet.PromptPart) bool {
		return slices.ContainsFunc(l.entries, func(e Entry) bool { return containsAll(run, e.Parts) })
	})
}

// countCrashes returns the number of crashes that involve each part.
func countCrashes(crashes map[uint64][][]fleet.PromptPart) map[fleet.PromptPart]int {
	count := map[fleet.PromptPart]int{}
	for _, runs := range crashes {
		parts := map[fleet.PromptPart]bool{}
		for _, run := range runs {
			for _, p := range run {
				parts[p] = true
			}
		}
		for p := range parts {
			count[p]++
		}
	}
	return count
}

// companions returns the sorted parts that each run with the part p contains, p among them.
func companions(crashes map[uint64][][]fleet.PromptPart, p fleet.PromptPart) []fleet.PromptPart {
	var common []fleet.PromptPart
	for _, runs := range crashes {
		for _, run := range runs {
			switch {
			case !slices.Contains(run, p):
			case common == nil:
				common = slices.Clone(run)
			default:
				common = slices.DeleteFunc(common, func(c fleet.PromptPart) bool { return !slices.Contains(run, c) })
			}
		}
	}
	slices.Sort(common)
	return common
}

// crashes returns the runs that each crash involved, as seen by all hosts.
func (l *Ledger) crashes() map[uint64][][]fleet.PromptPart {
	out := map[uint64][][]fleet.PromptPart{}
	for _, c := range l.own {
		out[c.Server] = append(out[c.Server], c.Runs...)
	}
	for _, e := range l.peers {
		for _, c := range e.Crashes {
			out[c.Server] = append(out[c.Server], c.Runs...)
		}
	}
	return out
}

// suspects returns the parts that a crash involved or that are quarantined.
func (l *Ledger) suspects() map[fleet.PromptPart]bool {
	out := map[fleet.PromptPart]bool{}
	for p := range countCrashes(l.crashes()) {
		out[p] = true
	}
	for _, e := range l.entries {
		for _, p := range e.Parts {
			out[p] = true
		}
	}
	return out
}

// unclearedOf returns the sorted parts with which no run has survived at any host.
func (l *Ledger) unclearedOf(parts []fleet.PromptPart, now time.Time) []fleet.PromptPart {
	left := slices.DeleteFunc(slices.Clone(parts), func(p fleet.PromptPart) bool { return l.cleared(p, now) })
	slices.Sort(left)
	return left
}

func (l *Ledger) cleared(p fleet.PromptPart, now time.Time) bool {
	if at, survived := l.survivals[p]; survived && now.Sub(at) < survivalTTL {
		return true
	}
	for _, e := range l.peers {
		if slices.Contains(e.Survived, p) {
			return true
		}
	}
	return false
}

func (l *Ledger) expire(now time.Time) {
	l.own = slices.DeleteFunc(l.own, func(c ownCrash) bool { return now.Sub(c.at) >= crashTTL })
	maps.DeleteFunc(l.survivals, func(_ fleet.PromptPart, at time.Time) bool { return now.Sub(at) >= survivalTTL })
	l.entries = slices.DeleteFunc(l.entries, func(e Entry) bool { return !now.Before(e.until) })
}

// containsAll reports whether all of want are among parts.
func containsAll(parts, want []fleet.PromptPart) bool {
	return !slices.ContainsFunc(want, func(p fleet.PromptPart) bool { return !slices.Contains(parts, p) })
}
