// Package streamversion decides which software version of a service a stream has begun at, so that it goes on at that version only. A
// service usually has one version. While it has several, the version of each stream is recorded in the store, since the host that has
// begun a stream may be gone when its caller takes it up. The package does no I/O and reads no clock.
package streamversion

import (
	"slices"
	"time"
)

// Retention is how long after its end a stream may be taken up, and how long a version that has no server any more is kept in the
// set of its service. It is far longer than callers wait for a stream.
const Retention = time.Minute

// registrationTime is how long after a restore of the store servers may be missing there although they serve.
const registrationTime = 2 * time.Second

// Record is what the store holds of the software versions of a service.
type Record struct {
	// Versions are those that streams may have begun at. A version gets no streams before it is recorded.
	Versions []string `json:"versions"`
	// Base is the version that the service had alone before it got others, until Retention after that. A stream without a record has
	// begun at it, since those of the other versions are recorded before their callers get an event.
	Base string `json:"base,omitempty"`
	// Era is the store's era at the time of writing.
	Era int64 `json:"era,omitempty"`
	// Stale is set if the store was restored from an older copy since. Versions and records of streams may have been lost.
	Stale bool `json:"-"`
}

// Assumed returns the version of a stream of which nothing is recorded, and false if that is not known: streams that begin while a
// service has one version are not recorded.
func (r Record) Assumed() (string, bool) {
	switch {
	case r.Stale:
		return "", false
	case len(r.Versions) == 1:
		return r.Versions[0], true
	}
	return r.Base, r.Base != ""
}

// Set holds the software versions of a service: those in the store, and those of its servers.
type Set struct {
	Recorded Record
	// Present are the versions of the registered servers.
	Present []string
	// absentSince is when this host has first seen no server of a recorded version. baseSince is when it has first seen the base, and
	// staleSince when it has first seen that the record is stale.
	absentSince           map[string]time.Time
	baseSince, staleSince time.Time
}

// Update replaces the versions of the registered servers and those in the store.
func (s *Set) Update(recorded Record, present []string, now time.Time) {
	if recorded.Base != s.Recorded.Base {
		s.baseSince = now
	}
	if recorded.Stale && (!s.Recorded.Stale || recorded.Era != s.Recorded.Era) {
		s.staleSince = now
	}
	s.Recorded, s.Present = recorded, present
	absent := map[string]time.Time{}
	for _, v := range recorded.Versions {
		if slices.Contains(present, v) {
			continue
		}
		if absent[v] = s.absentSince[v]; absent[v].IsZero() {
			absent[v] = now
		}
	}
	s.absentSince = absent
}

// Assumed returns the version of a stream of which nothing is recorded, and false if that is not known.
func (s *Set) Assumed(now time.Time) (string, bool) {
	switch {
	case !s.Single(now):
		return s.Recorded.Assumed()
	case len(s.Recorded.Versions) == 1:
		return s.Recorded.Versions[0], true
	case len(s.Present) == 1:
		return s.Present[0], true
	}
	return "", false
}

// Single reports whether the service has one version, so that streams need no record.
func (s *Set) Single(now time.Time) bool {
	switch {
	case len(s.Recorded.Versions) == 0:
		return len(s.Present) <= 1
	case !s.Recorded.Stale:
		return len(s.Recorded.Versions) == 1
	}
	// The present versions can be relied on once all servers are back in the store.
	return len(s.Recorded.Versions) == 1 && slices.Equal(s.Present, s.Recorded.Versions) && now.Sub(s.staleSince) >= registrationTime
}

// RecordedFirst reports whether a stream of a version must be recorded before its caller gets an event.
func (s *Set) RecordedFirst(version string) bool {
	return s.Recorded.Base != "" && !s.Recorded.Stale && version != s.Recorded.Base
}

// Usable reports whether streams may begin at a version.
func (s *Set) Usable(version string) bool {
	return len(s.Recorded.Versions) == 0 && len(s.Present) <= 1 || slices.Contains(s.Recorded.Versions, version)
}

// Next returns the record to be stored, and whether it differs from the present one. Its versions are those of all servers, and those
// that have had a server within Retention.
func (s *Set) Next(now time.Time) (Record, bool) {
	next := Record{Versions: slices.Clone(s.Present)}
	for _, v := range s.Recorded.Versions {
		if since, absent := s.absentSince[v]; absent && (now.Sub(since) < Retention || len(s.Present) == 0) {
			next.Versions = append(next.Versions, v)
		}
	}
	slices.Sort(next.Versions)
	next.Versions = slices.Compact(next.Versions)
	next.Base = s.nextBase(next.Versions, now)
	recorded := slices.Sorted(slices.Values(s.Recorded.Versions))
	renewed := s.Recorded.Stale && now.Sub(s.staleSince) >= registrationTime
	return next, len(next.Versions) > 0 && (renewed || !s.Recorded.Stale && next.Base != s.Recorded.Base || !slices.Equal(next.Versions, recorded))
}

// nextBase returns the base of a record with some versions.
func (s *Set) nextBase(versions []string, now time.Time) string {
	base, known := s.Recorded.Assumed()
	switch {
	case !known, len(versions) < 2, !slices.Contains(versions, base):
		return ""
	case s.Recorded.Base != "" && now.Sub(s.baseSince) >= Retention:
		return ""
	}
	return base
}

// Stream identifies a stream: its service, and the id of the caller's attempt that got its first event.
type Stream struct{ Service, ID string }

// Entry is a stream that this host serves or has served, and its version.
type Entry struct {
	Stream
	Version string
}

type begun struct {
	version  string
	open     int
	endedAt  time.Time
	recorded bool
}

// Ledger holds the versions of the streams that this host serves, or has served until less than Retention ago and not to their end. It is
// not safe for concurrent use.
type Ledger struct {
	streams map[Stream]*begun
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{streams: map[Stream]*begun{}} }

// Begin adds a stream of which an event is relayed, and whether its version is recorded already. Each call is followed by one of End.
func (l *Ledger) Begin(s Stream, version string, recorded bool) {
	b := l.streams[s]
	if b == nil {
		b = &begun{version: version}
		l.streams[s] = b
	}
	b.recorded = b.recorded || recorded
	b.open++
}

// End records that this host no longer serves a stream. A complete one is forgotten.
func (l *Ledger) End(s Stream, complete bool, now time.Time) {
	b := l.streams[s]
	if b == nil {
		return
	}
	b.open--
	b.endedAt = now
	if complete {
		delete(l.streams, s)
	}
}

// Version returns the version at which a stream has begun, if this host knows it.
func (l *Ledger) Version(s Stream) (string, bool) {
	if b := l.streams[s]; b != nil {
		return b.version, true
	}
	return "", false
}

// TakeUnrecorded returns the streams of a service that have not been returned before.
func (l *Ledger) TakeUnrecorded(service string) []Entry {
	var out []Entry
	for s, b := range l.streams {
		if s.Service == service && !b.recorded {
			b.recorded = true
			out = append(out, Entry{s, b.version})
		}
	}
	return out
}

// Expire forgets the streams that ended more than Retention ago.
func (l *Ledger) Expire(now time.Time) {
	for s, b := range l.streams {
		if b.open <= 0 && now.Sub(b.endedAt) > Retention {
			delete(l.streams, s)
		}
	}
}
