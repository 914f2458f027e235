package front

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/boragecourse/boragecourse/internal/fleet"
	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/outcome"
	"github.com/boragecourse/boragecourse/internal/quarantine"
	"github.com/boragecourse/boragecourse/internal/wait"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

const (
	// storePrefix is the common prefix of all of this project's keys in the store.
	storePrefix = "boragecourse/"
	// quarantineKey is the key whose value lists the quarantined parts, so that they outlast a restart of all hosts.
	quarantineKey = storePrefix + "quarantine"
	// quarantineInterval is the interval at which the leader compares the stored list with its own.
	quarantineInterval = 500 * time.Millisecond
)

// quarantineLedger makes a quarantine.Ledger safe for concurrent use, and logs and counts its changes.
type quarantineLedger struct {
	log     logr.Logger
	metrics *metrics.Registry
	now     func() time.Time
	// changed is called when there is something new to tell the other hosts.
	changed func()

	mu     sync.Mutex
	ledger *quarantine.Ledger
	// adoptedRevision is the store revision of the list that was adopted last.
	adoptedRevision int64
}

func newQuarantineLedger(log logr.Logger, reg *metrics.Registry, now func() time.Time) *quarantineLedger {
	return &quarantineLedger{log: log, metrics: reg, now: now, changed: func() {}, ledger: quarantine.New()}
}

// update applies a change to the ledger and reports what follows from it.
func (q *quarantineLedger) update(change func(l *quarantine.Ledger, now time.Time) []quarantine.Change) {
	q.mu.Lock()
	changes := change(q.ledger, q.now())
	active := len(q.ledger.Entries(q.now()))
	q.mu.Unlock()
	for _, c := range changes {
		event, lifted := "prompt parts quarantined", "no"
		if c.Lifted {
			event, lifted = "quarantine lifted after a run survived", "yes"
		}
		q.log.Info(event, "parts", c.Entry.Parts, "crashes", c.Crashes, "remaining", c.Entry.Remaining(q.now()).Round(time.Second))
		q.metrics.Inc("quarantine_changes", metrics.L("lifted", lifted))
	}
	q.metrics.Set("quarantined_entries", int64(active))
	if len(changes) > 0 {
		q.changed()
	}
}

func (q *quarantineLedger) recordCrash(server string, parts []fleet.PromptPart) {
	q.update(func(l *quarantine.Ledger, now time.Time) []quarantine.Change {
		return l.RecordCrash(server, parts, now)
	})
	q.changed()
}

func (q *quarantineLedger) recordSurvival(parts []fleet.PromptPart) {
	q.update(func(l *quarantine.Ledger, now time.Time) []quarantine.Change { return l.RecordSurvival(parts, now) })
}

func (q *quarantineLedger) receive(host string, e *peerv1.CrashEvidence) {
	decoded := decodeEvidence(e)
	q.update(func(l *quarantine.Ledger, now time.Time) []quarantine.Change { return l.Receive(host, decoded, now) })
}

func (q *quarantineLedger) forget(host string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.Forget(host)
}

func (q *quarantineLedger) evidence() *peerv1.CrashEvidence {
	q.mu.Lock()
	defer q.mu.Unlock()
	return encodeEvidence(q.ledger.Evidence(q.now()))
}

func (q *quarantineLedger) blocked(parts []fleet.PromptPart) (quarantine.Entry, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.Blocked(parts, q.now())
}

// QuarantinedError is the cause of a refusal because of parts of the prompt.
type QuarantinedError struct{ Parts []fleet.PromptPart }

// Error implements error.
func (e *QuarantinedError) Error() string {
	return "engines crash on the prompt parts " + partList(e.Parts)
}

func partList(parts []fleet.PromptPart) string {
	text := ""
	for i, p := range parts {
		if i > 0 {
			text += " "
		}
		text += p.String()
	}
	return text
}

// refuseQuarantined refuses a generation whose prompt contains quarantined parts. A request that an engine may have run is
// not refused as not run.
func (f *Front) refuseQuarantined(x *call) error {
	if x.route.Kind != fleet.Generation {
		return nil
	}
	entry, found := f.quarantine.blocked(x.request.SharedParts)
	switch cause := (&QuarantinedError{Parts: entry.Parts}); {
	case !found:
		return nil
	case x.mayHaveRun:
		return &RetriesExhaustedError{Reason: "quarantined", Cause: cause}
	default:
		refusal := outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeQuarantined, "engines crash on a part of the prompt")
		refusal.RetryAfter, refusal.Cause = entry.Remaining(f.now()), cause
		return refusal
	}
}

// storedEntry is an entry of the list in the store.
type storedEntry struct {
	Parts     []fleet.PromptPart `json:"parts"`
	UntilUnix int64              `json:"until"`
}

// adopt adds the entries of the list in the store.
func (q *quarantineLedger) adopt(item kvstore.KeyValue) {
	q.mu.Lock()
	known := item.ModRevision == q.adoptedRevision
	q.adoptedRevision = item.ModRevision
	q.mu.Unlock()
	if known {
		return
	}
	var stored []storedEntry
	if err := json.Unmarshal(item.Value, &stored); err != nil {
		q.metrics.Inc("unreadable_entries")
		q.log.Error(err, "failed to decode store entry, entry ignored", "key", item.Key)
		return
	}
	entries := make([]quarantine.Entry, len(stored))
	for i, e := range stored {
		entries[i] = quarantine.Entry{Parts: e.Parts, UntilUnix: e.UntilUnix}
	}
	q.update(func(l *quarantine.Ledger, now time.Time) []quarantine.Change { return l.Adopt(entries, now) })
}

func (q *quarantineLedger) entries() []storedEntry {
	q.mu.Lock()
	defer q.mu.Unlock()
	entries := []storedEntry{}
	for _, e := range q.ledger.Entries(q.now()) {
		entries = append(entries, storedEntry{Parts: e.Parts, UntilUnix: e.UntilUnix})
	}
	slices.SortFunc(entries, func(a, b storedEntry) int { return slices.Compare(a.Parts, b.Parts) })
	return entries
}

// storeQuarantine keeps the list in the store equal to that of the leader.
func (f *Front) storeQuarantine(ctx context.Context) error {
	for wait.For(ctx, quarantineInterval) == nil {
		if !f.leader.IsLeader() {
			continue
		}
		items, known := f.state.OwnItems()
		var stored kvstore.KeyValue
		for _, item := range items {
			if item.Key == quarantineKey {
				stored = item
			}
		}
		entries := f.quarantine.entries()
		value, err := json.Marshal(entries)
		if err != nil {
			return err
		}
		if !known || string(value) == string(stored.Value) || len(entries) == 0 && stored.Value == nil {
			continue
		}
		_, err = f.store.Txn(ctx, []kvstore.Condition{{Key: quarantineKey, ModRevision: stored.ModRevision}},
			[]kvstore.Write{{Key: quarantineKey, Value: value}})
		if err != nil {
			f.metrics.Inc("quarantine_writes_failed")
			f.log.Error(err, "failed to store the quarantined parts")
			_ = wait.For(ctx, f.state.retryWait())
		}
	}
	return ctx.Err()
}
