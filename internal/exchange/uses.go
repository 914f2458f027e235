package exchange

import (
	"math"
	"slices"
	"time"

	"github.com/boragecourse/boragecourse/internal/serverlimit"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

const (
	// progressTolerance is the number of tokens by which the output of a run may differ from what receivers extrapolate
	// before it is reported again. It is half a percent of an engine's memory.
	progressTolerance = 256
	// maxRemovals is the number of ended uses that are kept for receivers with an earlier position. Receivers are about a
	// second behind; later ones get all uses.
	maxRemovals = 128
	// repeatInterval is the interval at which a host repeats all its uses, and those that have ended within removalMemory.
	// Hosts that have missed a change, such as the end of a use while a relay was suspended, then have it.
	repeatInterval = 10 * time.Second
	removalMemory  = 30 * time.Second
)

// serverUses is a host's use of backend servers, with the position at which each entry last changed.
type serverUses struct {
	entries map[uint64]*useEntry
	// complete is the position up to which removals may have been forgotten: receivers that have less need all uses.
	complete uint64
	removals int
	// repeatedAt is when this host last repeated its uses.
	repeatedAt time.Time
}

// useEntry is the use of one backend server.
type useEntry struct {
	// use names the server by its hash, and by its key if that is known. It is nil once the use has ended.
	use      *peerv1.ServerUse
	position uint64
	at       time.Time
}

// ServerHash returns the hash by which a use names its backend server.
func ServerHash(u *peerv1.ServerUse) uint64 {
	if u.Key != "" {
		return serverlimit.Hash(u.Key)
	}
	return u.Server
}

// apply records the uses of a report, which are complete unless the report merges them.
func (s *serverUses) apply(r *peerv1.FrontReport, position uint64, now time.Time) {
	if s.entries == nil {
		s.entries = map[uint64]*useEntry{}
	}
	named := make(map[uint64]bool, len(r.Uses))
	for _, u := range r.Uses {
		hash := ServerHash(u)
		named[hash] = true
		s.set(hash, u, position, now)
	}
	if !mergesUses(r) {
		for hash, e := range s.entries {
			if !named[hash] && e.use != nil {
				s.set(hash, &peerv1.ServerUse{}, position, now)
			}
		}
	}
	if s.removals > maxRemovals {
		s.forgetRemovals()
	}
}

func (s *serverUses) set(hash uint64, u *peerv1.ServerUse, position uint64, now time.Time) {
	e := s.entries[hash]
	switch ended := u.Slots == 0 && len(u.Runs) == 0; {
	case ended && e == nil:
		s.entries[hash] = &useEntry{position: position, at: now}
		s.removals++
		return
	case ended && e.use == nil:
		// A repeated end, which is passed on.
		e.position = position
		return
	case ended:
		e.use, e.position, e.at = nil, position, now
		s.removals++
		return
	case e == nil:
		e = &useEntry{}
		s.entries[hash] = e
	case e.use == nil:
		s.removals--
	}
	e.use = &peerv1.ServerUse{Key: u.Key, Server: hash, Slots: u.Slots, Runs: u.Runs}
	e.position, e.at = position, now
}

// forgetRemovals forgets the earlier half of the ended uses.
func (s *serverUses) forgetRemovals() {
	var positions []uint64
	for _, e := range s.entries {
		if e.use == nil {
			positions = append(positions, e.position)
		}
	}
	slices.Sort(positions)
	s.complete = positions[len(positions)/2]
	for hash, e := range s.entries {
		if e.use == nil && e.position <= s.complete {
			delete(s.entries, hash)
			s.removals--
		}
	}
}

// changes returns what differs in the complete uses of this host's new report, as entries to merge. A run differs when it
// is new or has ended and, with progress, when it has its first output or more or less output than receivers extrapolate
// at decodeRate tokens a second.
func (s *serverUses) changes(uses []*peerv1.ServerUse, progress bool, decodeRate float64, now time.Time) []*peerv1.ServerUse {
	var out []*peerv1.ServerUse
	named := make(map[uint64]bool, len(uses))
	for _, u := range uses {
		hash := ServerHash(u)
		named[hash] = true
		e := s.entries[hash]
		if e == nil || e.use == nil || e.use.Slots != u.Slots || !sameRuns(e.use.Runs, u.Runs) ||
			progress && progressDiffers(e.use.Runs, u.Runs, decodeRate*now.Sub(e.at).Seconds()) {
			out = append(out, u)
		}
	}
	for hash, e := range s.entries {
		if e.use != nil && !named[hash] {
			out = append(out, &peerv1.ServerUse{Server: hash})
		}
	}
	return out
}

// repeat adds to the changes of this host's new report the uses that have not changed, if repeatInterval has passed.
func (s *serverUses) repeat(changes, uses []*peerv1.ServerUse, now time.Time) []*peerv1.ServerUse {
	if now.Sub(s.repeatedAt) < repeatInterval {
		return changes
	}
	s.repeatedAt = now
	changed := make(map[uint64]bool, len(changes))
	for _, u := range changes {
		changed[ServerHash(u)] = true
	}
	for _, u := range uses {
		if !changed[ServerHash(u)] {
			changes = append(changes, u)
		}
	}
	for hash, e := range s.entries {
		if e.use == nil && !changed[hash] && now.Sub(e.at) < removalMemory {
			changes = append(changes, &peerv1.ServerUse{Server: hash})
		}
	}
	return changes
}

// since returns the uses that changed after a position, and whether they are to be merged rather than complete.
func (s *serverUses) since(position uint64, compact bool, f *feed) (uses []*peerv1.ServerUse, merge bool) {
	if !compact || position < s.complete {
		return s.all(compact, f), false
	}
	for hash, e := range s.entries {
		switch {
		case e.position <= position:
		case e.use == nil:
			uses = append(uses, &peerv1.ServerUse{Server: hash})
		default:
			uses = append(uses, &peerv1.ServerUse{Server: hash, Slots: e.use.Slots, Runs: e.use.Runs})
		}
	}
	return uses, true
}

// all returns all uses. With compact they name the servers by their hashes, else by their keys where these are known.
// Hosts of earlier versions ignore uses without a key; a host whose version is not known yet can resolve them. The output
// of runs is as extrapolated at the last update of the feed.
func (s *serverUses) all(compact bool, f *feed) (uses []*peerv1.ServerUse) {
	for hash, e := range s.entries {
		if e.use == nil {
			continue
		}
		u := &peerv1.ServerUse{Server: hash, Slots: e.use.Slots, Runs: extrapolate(e.use.Runs, f.rate*f.now.Sub(e.at).Seconds())}
		if !compact {
			if u.Key = e.use.Key; u.Key == "" {
				u.Key = f.keyOf(hash)
			}
			if u.Key != "" {
				u.Server = 0
			}
		}
		uses = append(uses, u)
	}
	return uses
}

// mergesUses reports whether the uses of a report contain only the entries that have changed.
func mergesUses(r *peerv1.FrontReport) bool { return r.Partial && r.MergesUses && !r.KeepsUses }

// announcesMerging reports whether a report says that its host can merge uses. Hosts set merges_uses for this in their
// full reports and in partial ones without uses; a partial report with uses may have been made by a relay.
func announcesMerging(r *peerv1.FrontReport) bool {
	return r.MergesUses && (!r.Partial || r.KeepsUses)
}

type runIdentity struct {
	prompt, maxOutput int64
	logMean, logSigma float32
}

func identity(r *peerv1.GenerationRun) runIdentity {
	return runIdentity{r.Prompt, r.MaxOutput, r.LogMean, r.LogSigma}
}

// sameRuns compares runs without regard to their order and progress.
func sameRuns(a, b []*peerv1.GenerationRun) bool {
	if len(a) != len(b) {
		return false
	}
	count := map[runIdentity]int{}
	for _, r := range a {
		count[identity(r)]++
	}
	for _, r := range b {
		if count[identity(r)]--; count[identity(r)] < 0 {
			return false
		}
	}
	return true
}

// progressDiffers reports whether a run has its first output, or has progressed differently than by the expected tokens
// since it was reported.
func progressDiffers(reported, present []*peerv1.GenerationRun, expected float64) bool {
	before := make(map[runIdentity]int64, len(reported))
	for _, r := range reported {
		before[identity(r)] = r.Generated
	}
	for _, r := range present {
		old := before[identity(r)]
		extrapolated := math.Min(float64(old)+expected, float64(r.MaxOutput))
		if r.Generated > 0 && (old == 0 || math.Abs(float64(r.Generated)-extrapolated) > progressTolerance) {
			return true
		}
	}
	return false
}

// extrapolate returns runs with the output that they are expected to have after as many more tokens.
func extrapolate(runs []*peerv1.GenerationRun, tokens float64) []*peerv1.GenerationRun {
	if tokens < 1 {
		return runs
	}
	out := make([]*peerv1.GenerationRun, len(runs))
	for i, r := range runs {
		out[i] = &peerv1.GenerationRun{Prompt: r.Prompt, Generated: r.Generated, LogMean: r.LogMean, LogSigma: r.LogSigma, MaxOutput: r.MaxOutput}
		if r.Generated > 0 {
			out[i].Generated = min(r.Generated+int64(tokens), r.MaxOutput)
		}
	}
	return out
}
