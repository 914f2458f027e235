package front

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/boragecourse/boragecourse/internal/fleet"
	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/outcome"
	"github.com/boragecourse/boragecourse/internal/streamversion"
	"github.com/boragecourse/boragecourse/internal/wait"
)

const (
	// softwarePrefix precedes the name of a service; the key holds the software versions of its servers.
	softwarePrefix = storePrefix + "software/"
	// streamPrefix precedes the hash of a stream; the key holds the version that it has begun at. It is not under storePrefix, since
	// these keys are read one by one, and are no part of the hosts' copies.
	streamPrefix = "boragecourse.streams/"
	// versionLookupTimeout bounds the calls to the store that a take-up waits for.
	versionLookupTimeout = 400 * time.Millisecond
	// assumedAge is the age of the copy up to which it is relied on for the version of a stream while the store does not respond.
	// A store that is away for all hosts gets no second version, and callers return to hosts of their own zone.
	assumedAge = time.Minute
	// unknownVersionRetry is the Retry-After of take-ups whose version could not be read from the store.
	unknownVersionRetry = time.Second
	// softwareCheck is the interval at which the versions of the services are compared with those in the store.
	softwareCheck = 250 * time.Millisecond
	// softwareWait and softwareWaitPerHost delay the write of a host that is not the leader, so that most changes are written once.
	softwareWait        = time.Second
	softwareWaitPerHost = 20 * time.Millisecond
)

// streamVersions holds the software versions of the services and of the streams of this host, and keeps those in the store that
// another host may need.
type streamVersions struct {
	store   Store
	log     logr.Logger
	metrics *metrics.Registry
	now     func() time.Time

	mu     sync.Mutex
	sets   map[string]*serviceVersions
	ledger *streamversion.Ledger
	// awaited and unstored are the records that wait for the store: those that streams wait for, which are written first, and the others.
	awaited  []*awaitedRecord
	unstored []streamversion.Entry
	// failing is set from a failed or slow write until the next one that is neither.
	failing bool
	wake    chan struct{}
	// era is the era of the copy of the store.
	era int64
	// lease is the lease of the records, which grantedAt was granted.
	lease     kvstore.LeaseID
	grantedAt time.Time
}

// serviceVersions are the versions of one service, with the revision of their key in the store.
type serviceVersions struct {
	streamversion.Set
	revision int64
	// writeAt is when this host writes the versions if nobody else has until then, zero if they are up to date.
	writeAt time.Time
}

func newStreamVersions(store Store, log logr.Logger, reg *metrics.Registry, now func() time.Time) *streamVersions {
	return &streamVersions{
		store: store, log: log, metrics: reg, now: now, sets: map[string]*serviceVersions{}, ledger: streamversion.NewLedger(), wake: make(chan struct{}, 1),
	}
}

func softwareKey(service string) string { return softwarePrefix + url.PathEscape(service) }

func streamKey(s streamversion.Stream) string {
	sum := sha256.Sum256([]byte(s.Service + "\x00" + s.ID))
	return streamPrefix + hex.EncodeToString(sum[:16])
}

// update takes over the versions of the registered servers and those in the store.
func (v *streamVersions) update(servers []fleet.Server, items []kvstore.KeyValue) {
	present := map[string][]string{}
	for _, s := range servers {
		if s.Stage != fleet.NoStage && !slices.Contains(present[s.Service], s.Software) {
			present[s.Service] = append(present[s.Service], s.Software)
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	recorded, revisions := map[string]streamversion.Record{}, map[string]int64{}
	for _, item := range items {
		v.era = kvstore.Era(item.ModRevision)
		name, found := strings.CutPrefix(item.Key, softwarePrefix)
		service, err := url.PathUnescape(name)
		if !found || err != nil {
			continue
		}
		revisions[service] = item.ModRevision
		if recorded[service], err = decodeRecord(item); err != nil {
			v.metrics.Inc("unreadable_entries")
			v.log.Error(err, "failed to decode store entry, entry ignored", "key", item.Key)
		}
		if v.sets[service] == nil {
			v.sets[service] = &serviceVersions{}
		}
	}
	for service := range present {
		if v.sets[service] == nil {
			v.sets[service] = &serviceVersions{}
		}
	}
	now := v.now()
	for service, s := range v.sets {
		before := s.Recorded
		s.Update(recorded[service], present[service], now)
		s.revision = revisions[service]
		if before.Base != s.Recorded.Base || !slices.Equal(before.Versions, s.Recorded.Versions) {
			v.log.Info("software versions recorded", "service", service, "versions", s.Recorded.Versions, "base", s.Recorded.Base,
				"present", s.Present)
		}
		v.recordStreams(service, s)
	}
}

func decodeRecord(item kvstore.KeyValue) (r streamversion.Record, err error) {
	if err = json.Unmarshal(item.Value, &r); err != nil {
		return streamversion.Record{}, err
	}
	r.Stale = r.Era != kvstore.Era(item.ModRevision)
	return r, nil
}

// usable reports whether streams of a service may begin at a version.
func (v *streamVersions) usable(service, version string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.sets[service]
	return s == nil || s.Usable(version)
}

// base returns the version of a service that is assumed for streams without a record although it has others, or empty.
func (v *streamVersions) base(service string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if set := v.sets[service]; set != nil {
		return set.Recorded.Base
	}
	return ""
}

// begin records that the first event of a response is relayed, with whether the store has the version of the stream. The returned
// function takes whether the stream was complete.
func (v *streamVersions) begin(s streamversion.Stream, version string, recorded bool) (end func(complete bool)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ledger.Begin(s, version, recorded)
	if set := v.sets[s.Service]; set != nil {
		v.recordStreams(s.Service, set)
	}
	return func(complete bool) {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.ledger.End(s, complete, v.now())
	}
}

// served returns the version of a stream that this host serves or has served lately.
func (v *streamVersions) served(s streamversion.Stream) (version string, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ledger.Version(s)
}

// only returns the version of a service that has no other, by this host's copy of the store.
func (v *streamVersions) only(service string) (version string, found bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if set := v.sets[service]; set != nil && set.Single(v.now()) {
		return set.Assumed(v.now())
	}
	return "", false
}

// readRecord reads the versions of a service from the store. The record is empty if it cannot be decoded.
func (v *streamVersions) readRecord(ctx context.Context, service string) (record streamversion.Record, exists bool, err error) {
	item, exists, err := v.store.Get(ctx, softwareKey(service))
	if err != nil || !exists {
		return streamversion.Record{}, false, err
	}
	record, _ = decodeRecord(item)
	return record, true, nil
}

// UnknownVersionError reports a stream whose software version is not known, so that no server is known to be able to go on with it.
type UnknownVersionError struct {
	// Attempt is the attempt that the caller has named as the one that began the stream, empty if it named none.
	Attempt string
	Cause   error
}

// Error implements error.
func (e *UnknownVersionError) Error() string {
	if e.Cause != nil {
		return "software version of the stream could not be read: " + e.Cause.Error()
	}
	return "software version of the stream is not known"
}

// Unwrap returns the cause.
func (e *UnknownVersionError) Unwrap() error { return e.Cause }

// versionOf returns the version at which a stream has begun that a caller takes up. age is the age of the copy of the store. Errors are
// *UnknownVersionError.
func (v *streamVersions) versionOf(ctx context.Context, s streamversion.Stream, age time.Duration) (version, source string, err error) {
	if version, known := v.served(s); known {
		return version, "host", nil
	}
	ctx, cancel := context.WithTimeout(ctx, versionLookupTimeout)
	defer cancel()
	if only, found := v.only(s.Service); found {
		// Another host may have recorded a second version since the copy was read.
		record, exists, err := v.readRecord(ctx, s.Service)
		switch {
		case err != nil && age < assumedAge, err == nil && !exists, slices.Equal(record.Versions, []string{only}):
			return only, "assumed", nil
		case err != nil:
			return "", "", &UnknownVersionError{Attempt: s.ID, Cause: err}
		}
	}
	if s.ID == "" {
		return "", "", &UnknownVersionError{}
	}
	item, exists, err := v.store.Get(ctx, streamKey(s))
	if err != nil {
		return "", "", &UnknownVersionError{Attempt: s.ID, Cause: err}
	}
	if exists && len(item.Value) > 0 {
		return string(item.Value), "store", nil
	}
	// Read after the record was missing: a host that no longer knows a base records streams after their first event.
	record, _, err := v.readRecord(ctx, s.Service)
	if assumed, known := record.Assumed(); err == nil && known {
		return assumed, "assumed", nil
	}
	return "", "", &UnknownVersionError{Attempt: s.ID, Cause: err}
}

// resumeVersion sets the version of a request that takes up a stream. It refuses the request if the version is not known.
func (f *Front) resumeVersion(ctx context.Context, x *call) error {
	if !x.request.Resumed() {
		return nil
	}
	_, confirmed := f.state.Version()
	version, source, err := f.versions.versionOf(ctx, x.stream(), f.now().Sub(confirmed))
	if err != nil {
		f.metrics.Inc("resumed_versions", metrics.L("source", "unknown"))
		refusal := outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeStreamVersion, "software version of the stream is not known")
		refusal.RetryAfter, refusal.Cause = unknownVersionRetry, err
		return refusal
	}
	f.metrics.Inc("resumed_versions", metrics.L("source", source))
	x.software = version
	return nil
}

// stream returns the identity of the request's stream.
func (x *call) stream() streamversion.Stream {
	return streamversion.Stream{Service: x.group.service, ID: x.request.StreamID()}
}

// storeSoftware keeps the versions of the services in the store up to date.
func (f *Front) storeSoftware(ctx context.Context) error {
	for wait.For(ctx, softwareCheck) == nil {
		for service, write := range f.versions.due(f.leader.IsLeader(), f.hosts()) {
			f.versions.writeSoftware(ctx, service, write)
		}
	}
	return ctx.Err()
}

// softwareWrite is a change of the versions of a service in the store.
type softwareWrite struct {
	record   streamversion.Record
	revision int64
}

// due returns the changes that this host is to write now.
func (v *streamVersions) due(leads bool, hosts int) map[string]softwareWrite {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	v.ledger.Expire(now)
	out := map[string]softwareWrite{}
	for service, s := range v.sets {
		next, changed := s.Next(now)
		switch {
		case !changed:
			s.writeAt = time.Time{}
			continue
		case s.writeAt.IsZero():
			s.writeAt = now
			if !leads {
				s.writeAt = now.Add(softwareWait + rand.N(time.Duration(hosts)*softwareWaitPerHost))
			}
		}
		if !now.Before(s.writeAt) {
			next.Era = v.era
			out[service] = softwareWrite{next, s.revision}
			s.writeAt = now.Add(softwareWait)
		}
	}
	return out
}

func (v *streamVersions) writeSoftware(ctx context.Context, service string, w softwareWrite) {
	value, err := json.Marshal(w.record)
	if err == nil {
		_, err = v.store.Txn(ctx, []kvstore.Condition{{Key: softwareKey(service), ModRevision: w.revision}},
			[]kvstore.Write{{Key: softwareKey(service), Value: value}})
	}
	if err != nil {
		v.metrics.Inc("software_writes_failed")
		v.log.Error(err, "failed to record the software versions of a service", "service", service)
	}
}
