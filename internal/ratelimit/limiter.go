// Package ratelimit enforces the rate and burst of each workspace across all hosts together. Each host keeps a token
// bucket for every workspace and subtracts what it admits and what the other hosts report as admitted. For an
// unreachable host it subtracts an equal share of the rate. This limits a workspace that sends several times its rate
// through all hosts at once, also during a partition. The package does no I/O and reads no clock.
package ratelimit

import (
	"maps"
	"math"
	"time"

	"github.com/boragecourse/boragecourse/internal/fleet"
)

const (
	// reportTolerance is the fraction of the tolerated excess that is added to the capacity of the buckets, so that the
	// delay of reports does not lead to refusals of a workspace within its rate. The rest of the excess covers what
	// hosts admit before they receive each other's reports.
	reportTolerance = 0.25
	// resumeReserve is the fraction of the tolerated excess that new streams leave in the bucket for streams that callers resume.
	// After a failure of hosts many are resumed at once, from workspaces whose new streams use up the rate.
	resumeReserve = 0.1
	// resumeWindow is the time over which the refused streams that callers resume are summed up.
	resumeWindow = time.Second
	// maxSpread bounds the time over which the returns of refused streams are spread. It is longer than callers wait.
	maxSpread = time.Minute
	// startLevel is the initial level of a bucket as a fraction of the burst, startTolerance the least one as a fraction of
	// the tolerated excess. A bucket does not start full because it is not known what the previous process of this host
	// admitted. The burst of small workspaces is only a few requests, so that a fraction of it would not cover one.
	startLevel     = 0.2
	startTolerance = 0.1
)

// Limiter is the rate limiter of one host: a token bucket for each workspace. It is not safe for concurrent use.
type Limiter struct {
	limits  fleet.QuotaLimits
	buckets map[string]*bucket
	peers   map[string]*peer
}

// bucket is the token bucket of one workspace.
type bucket struct {
	rate, capacity float64
	level          float64
	// reserve is the part of the level that new streams may not use.
	reserve float64
	// deferred holds the tokens of the resumed streams that were refused since deferredSince, and of resumeWindow before.
	deferred, deferredBefore float64
	deferredSince            time.Time
	updated                  time.Time
	// admitted is the number of tokens that this host admitted since its process started.
	admitted int64
}

// peer is the state of another host, as this one knows it.
type peer struct {
	// admitted is the number of tokens that the peer last reported as admitted since its process started, by
	// workspace. When baseUnknown is set, the first report was partial, so that a workspace may be missing although the
	// peer had admitted tokens of it before.
	admitted    map[string]int64
	baseUnknown bool
	unreachable bool
	// presumed is the number of tokens subtracted from the buckets on behalf of the peer since it became unreachable,
	// by workspace.
	presumed map[string]float64
	// presumedAt is the time up to which presumed includes the peer's share of the rate.
	presumedAt time.Time
}

// New returns a limiter without workspaces. It admits every request until Configure sets the rates.
func New(limits fleet.QuotaLimits) *Limiter {
	return &Limiter{limits: limits, buckets: map[string]*bucket{}, peers: map[string]*peer{}}
}

// Configure sets the rates and bursts of the workspaces. The bucket of a known workspace keeps its level. If its
// capacity grows, the level is raised by the difference; if its capacity shrinks, the level is limited to it.
// Workspaces without a rate, or not listed, are not limited.
func (l *Limiter) Configure(workspaces []*fleet.Workspace, now time.Time) {
	configured := map[string]*bucket{}
	for _, w := range workspaces {
		if w.Rate <= 0 {
			continue
		}
		t := l.buckets[w.Name]
		tolerance := l.limits.Ratio*(w.Rate*l.limits.Window.Seconds()+w.Burst) + float64(l.limits.Slack)
		capacity := w.Burst + reportTolerance*tolerance
		if t == nil {
			t = &bucket{updated: now, level: math.Max(startLevel*w.Burst, startTolerance*tolerance), capacity: capacity}
		}
		l.refill(t, now)
		if capacity > t.capacity && t.rate > 0 {
			t.level += capacity - t.capacity
		}
		t.rate, t.capacity, t.reserve = w.Rate, capacity, resumeReserve*tolerance
		t.level = math.Min(t.level, capacity)
		configured[w.Name] = t
	}
	l.buckets = configured
}

func (l *Limiter) refill(t *bucket, now time.Time) {
	if now.After(t.updated) {
		t.level, t.updated = t.refilled(now), now
	}
}

// refilled returns the level of a bucket at a time without changing it.
func (t *bucket) refilled(now time.Time) float64 {
	return math.Min(t.capacity, t.level+t.rate*math.Max(now.Sub(t.updated).Seconds(), 0))
}

// wait returns the time until a bucket with a level covers a cost, 0 if it does already.
func (t *bucket) wait(level float64, cost int64) time.Duration {
	return time.Duration(math.Max(float64(cost)-level, 0) / t.rate * float64(time.Second))
}

// Preview returns what Admit, or AdmitNewStream for a new stream, would decide about a request now, and the tokens that are
// available, without changing the limiter. The level is infinite if the workspace is not limited.
func (l *Limiter) Preview(workspace string, cost int64, newStream bool, now time.Time) (level float64, ok bool, until time.Duration) {
	t := l.buckets[workspace]
	if t == nil {
		return math.Inf(1), true, 0
	}
	level = t.refilled(now)
	for _, p := range l.peers {
		if p.unreachable {
			level -= l.presumedShare(t, p, now)
		}
	}
	available := level
	if newStream {
		available -= t.reserve
	}
	return level, available >= float64(cost), t.wait(available, cost)
}

// presumedShare returns the tokens that an unreachable peer may have admitted since they were last subtracted.
func (l *Limiter) presumedShare(t *bucket, p *peer, now time.Time) float64 {
	return t.rate * now.Sub(p.presumedAt).Seconds() / float64(len(l.peers)+1)
}

// Admit subtracts the cost of a request, in tokens, if the bucket of the workspace covers it. Otherwise it returns
// false and the time until the bucket is refilled far enough.
func (l *Limiter) Admit(workspace string, cost int64, now time.Time) (bool, time.Duration) {
	return l.admit(workspace, cost, false, now)
}

// AdmitNewStream is Admit for a stream that the caller does not resume. It leaves a part of the bucket to those that are resumed.
func (l *Limiter) AdmitNewStream(workspace string, cost int64, now time.Time) (bool, time.Duration) {
	return l.admit(workspace, cost, true, now)
}

func (l *Limiter) admit(workspace string, cost int64, newStream bool, now time.Time) (bool, time.Duration) {
	t := l.buckets[workspace]
	if t == nil {
		return true, 0
	}
	l.subtractUnreachable(now)
	l.refill(t, now)
	available := t.level
	if newStream {
		available -= t.reserve
	}
	if available < float64(cost) {
		return false, t.wait(available, cost)
	}
	t.level -= float64(cost)
	t.admitted += cost
	return true, 0
}

// Defer records that a resumed stream was refused, and returns the time over which the returns of such streams are to be spread, so that
// the rate covers them: it covers the streams that all hosts have refused lately if they have refused as many as this one.
func (l *Limiter) Defer(workspace string, cost int64, now time.Time) (spread time.Duration) {
	t := l.buckets[workspace]
	if t == nil {
		return 0
	}
	switch elapsed := now.Sub(t.deferredSince); {
	case elapsed > 2*resumeWindow:
		t.deferred, t.deferredBefore, t.deferredSince = 0, 0, now
	case elapsed > resumeWindow:
		t.deferred, t.deferredBefore, t.deferredSince = 0, t.deferred, now
	}
	t.deferred += float64(cost)
	hosts := float64(len(l.peers) + 1)
	seconds := (t.deferred + t.deferredBefore) * hosts / t.rate
	return time.Duration(math.Min(seconds, maxSpread.Seconds()) * float64(time.Second))
}

// Refund puts the cost of a request back into the bucket, up to the bucket's capacity. It must be called only for a
// request that did not run.
func (l *Limiter) Refund(workspace string, cost int64) {
	if t := l.buckets[workspace]; t != nil {
		t.level = math.Min(t.capacity, t.level+float64(cost))
		t.admitted -= cost
	}
}

// Admitted returns the number of tokens that this host admitted since its process started, by workspace. It is the
// content of the host's reports to its peers.
func (l *Limiter) Admitted() map[string]int64 {
	out := map[string]int64{}
	for name, t := range l.buckets {
		if t.admitted != 0 {
			out[name] = t.admitted
		}
	}
	return out
}

// ApplyReport applies a report of a peer: the number of tokens that it admitted since its process started, by
// workspace. A partial report leaves out workspaces whose number has not changed. id identifies one incarnation of a
// host. If the peer was unreachable, the share that was subtracted on its behalf is replaced by the reported use.
func (l *Limiter) ApplyReport(id string, admitted map[string]int64, partial bool, now time.Time) {
	p := l.peers[id]
	if p == nil {
		// What the peer admitted before its first report is not subtracted: most of it is too old to matter.
		p = &peer{admitted: map[string]int64{}, baseUnknown: partial}
		maps.Copy(p.admitted, admitted)
		l.peers[id] = p
		return
	}
	l.subtractUnreachable(now)
	for name, total := range admitted {
		before, known := p.admitted[name]
		p.admitted[name] = total
		if !known && p.baseUnknown {
			continue
		}
		if t := l.buckets[name]; t != nil {
			l.refill(t, now)
			t.level = math.Min(t.capacity, t.level-float64(total-before)+p.presumed[name])
		}
		delete(p.presumed, name)
	}
	for name, v := range p.presumed {
		if t := l.buckets[name]; t != nil {
			t.level = math.Min(t.capacity, t.level+v)
		}
	}
	p.unreachable, p.presumed = false, nil
}

// MarkUnreachable records that a peer is unreachable but may still admit requests. Until its next report, or until
// RemovePeer, its equal share of every bucket counts as admitted.
func (l *Limiter) MarkUnreachable(id string, now time.Time) {
	p := l.peers[id]
	if p == nil || p.unreachable {
		return
	}
	l.subtractUnreachable(now)
	hosts := float64(len(l.peers) + 1)
	p.unreachable, p.presumedAt, p.presumed = true, now, map[string]float64{}
	for name, t := range l.buckets {
		l.refill(t, now)
		share := math.Max(t.level, 0) / hosts
		t.level -= share
		p.presumed[name] = share
	}
}

// RemovePeer removes a peer whose process has stopped, or is assumed to have stopped. What was subtracted on its behalf
// is not returned to the buckets.
func (l *Limiter) RemovePeer(id string, now time.Time) {
	l.subtractUnreachable(now)
	delete(l.peers, id)
}

// subtractUnreachable subtracts the share of the rate that unreachable peers may have admitted since the last call.
func (l *Limiter) subtractUnreachable(now time.Time) {
	for _, p := range l.peers {
		if !p.unreachable {
			continue
		}
		for name, t := range l.buckets {
			l.refill(t, now)
			share := l.presumedShare(t, p, now)
			t.level -= share
			p.presumed[name] += share
		}
		p.presumedAt = now
	}
}

// Level returns the tokens in the bucket of a workspace, infinity if the workspace is not limited. It is used in logs.
func (l *Limiter) Level(workspace string, now time.Time) float64 {
	t := l.buckets[workspace]
	if t == nil {
		return math.Inf(1)
	}
	l.refill(t, now)
	return t.level
}
