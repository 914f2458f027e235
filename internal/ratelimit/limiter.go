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
	// hosts admit before they receive each other's reports, as far as it exceeds the estimate of unreported tokens.
	reportTolerance = 0.5
	// startTolerance is the initial level of a bucket as a fraction of the tolerated excess. A bucket does not start full
	// because it is not known what the previous process of this host admitted.
	startTolerance = 0.2
	// guardTolerance is the fraction of the tolerated excess that is the guard level of a bucket.
	guardTolerance = 0.4
	// sharingPeers is the number of peers from which on the hosts share the rate of a contended bucket. Fewer hosts report
	// to each other directly, within some tens of milliseconds.
	sharingPeers = 8
	// activeWindow is how long a peer counts as one that admits requests of a workspace.
	activeWindow = 3 * time.Second
	// rateWindow is the time constant of the average rate at which the other hosts admit tokens.
	rateWindow = 500 * time.Millisecond
	// maxReportAge bounds the age of a peer's report in the estimate of unreported tokens. Peers that report later count as
	// unreachable.
	maxReportAge = time.Second
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
	updated        time.Time
	// admitted is the number of tokens that this host admitted since its process started.
	admitted int64
	// reported is the number of tokens that the other hosts have reported as admitted, decaying with rateWindow, as of
	// reportedAt.
	reported   float64
	reportedAt time.Time
	// contended is set when the bucket did not cover a request, until its level is above guard. Meanwhile the host admits
	// only its share of the rate. share is the part of the rate, up to a second of it, that this host has not used as its own
	// share, times the number of hosts.
	contended    bool
	guard, share float64
}

// reportedRate returns the average rate at which the other hosts have admitted tokens, per second.
func (t *bucket) reportedRate(now time.Time) float64 {
	return t.reported * math.Exp(-now.Sub(t.reportedAt).Seconds()/rateWindow.Seconds()) / rateWindow.Seconds()
}

// addReported adds tokens that another host has reported as admitted. They may be negative after a refund.
func (t *bucket) addReported(tokens float64, now time.Time) {
	t.reported = math.Max(t.reportedRate(now)*rateWindow.Seconds()+tokens, 0)
	t.reportedAt = now
}

// peer is the state of another host, as this one knows it.
type peer struct {
	// admitted is the number of tokens that the peer last reported as admitted since its process started, by
	// workspace. When baseUnknown is set, the first report was partial, so that a workspace may be missing although the
	// peer had admitted tokens of it before.
	admitted    map[string]int64
	baseUnknown bool
	unreachable bool
	// reportedAt is the time of the last report.
	reportedAt time.Time
	// admittedAt is when a report last showed that the peer had admitted tokens, by workspace.
	admittedAt map[string]time.Time
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
		capacity := w.Burst + reportTolerance*l.tolerance(w)
		if t == nil {
			t = &bucket{updated: now, level: math.Min(startTolerance*l.tolerance(w), capacity), capacity: capacity}
		}
		l.refill(t, now)
		if capacity > t.capacity && t.rate > 0 {
			t.level += capacity - t.capacity
		}
		t.rate, t.capacity, t.guard = w.Rate, capacity, guardTolerance*l.tolerance(w)
		t.level = math.Min(t.level, capacity)
		configured[w.Name] = t
	}
	l.buckets = configured
}

// tolerance returns the number of tokens by which the workspace may exceed its rate and burst in a window.
func (l *Limiter) tolerance(w *fleet.Workspace) float64 {
	return l.limits.Ratio*(w.Rate*l.limits.Window.Seconds()+w.Burst) + float64(l.limits.Slack)
}

func (l *Limiter) refill(t *bucket, now time.Time) {
	if d := now.Sub(t.updated).Seconds(); d > 0 {
		t.level = math.Min(t.capacity, t.level+t.rate*d)
		t.share += t.rate * d
		t.updated = now
	}
}

// admits reports whether a bucket covers the cost of a request. While it does not cover all requests, the hosts share the
// rate evenly: otherwise all of them would admit requests at once when the level suffices for one.
func (l *Limiter) admits(name string, t *bucket, cost float64, now time.Time) bool {
	available := t.level - t.reportedRate(now)*l.reportAge(now).Seconds() - cost
	t.contended = available < 0 || t.contended && available < t.guard
	if !t.contended || available >= 0 && len(l.peers) < sharingPeers {
		return true
	}
	hosts := float64(l.activePeers(name, now) + 1)
	t.share = math.Min(t.share, t.rate+hosts*cost)
	return len(l.peers) >= sharingPeers && t.level >= cost && t.share >= hosts*cost
}

// activePeers returns the number of peers that have admitted tokens of a workspace within activeWindow.
func (l *Limiter) activePeers(name string, now time.Time) int {
	n := 0
	for _, p := range l.peers {
		if at, known := p.admittedAt[name]; known && now.Sub(at) < activeWindow {
			n++
		}
	}
	return n
}

// Admit subtracts the cost of a request, in tokens, if the bucket of the workspace covers it. Otherwise it returns
// false and the time until the bucket is refilled far enough.
func (l *Limiter) Admit(workspace string, cost int64, now time.Time) (bool, time.Duration) {
	t := l.buckets[workspace]
	if t == nil {
		return true, 0
	}
	l.subtractUnreachable(now)
	l.refill(t, now)
	if !l.admits(workspace, t, float64(cost), now) {
		// If only the host's share is used up, the shares of all hosts together cover the request after the time of its cost.
		missing := float64(cost)
		if t.level < float64(cost) {
			missing = float64(cost) - t.level
		}
		return false, time.Duration(missing / t.rate * float64(time.Second))
	}
	t.level -= float64(cost)
	t.share = math.Max(t.share-float64(l.activePeers(workspace, now)+1)*float64(cost), 0)
	t.admitted += cost
	return true, 0
}

// reportAge returns the mean age of the last reports of the peers that are reachable.
func (l *Limiter) reportAge(now time.Time) time.Duration {
	total, n := time.Duration(0), 0
	for _, p := range l.peers {
		if !p.unreachable {
			total += min(max(now.Sub(p.reportedAt), 0), maxReportAge)
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return total / time.Duration(n)
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
		p = &peer{admitted: map[string]int64{}, baseUnknown: partial, reportedAt: now, admittedAt: map[string]time.Time{}}
		maps.Copy(p.admitted, admitted)
		l.peers[id] = p
		return
	}
	l.subtractUnreachable(now)
	p.reportedAt = now
	for name, total := range admitted {
		before, known := p.admitted[name]
		p.admitted[name] = total
		if total > before {
			p.admittedAt[name] = now
		}
		if !known && p.baseUnknown {
			continue
		}
		if t := l.buckets[name]; t != nil {
			l.refill(t, now)
			t.level = math.Min(t.capacity, t.level-float64(total-before)+p.presumed[name])
			t.addReported(float64(total-before), now)
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
	hosts := float64(len(l.peers) + 1)
	for _, p := range l.peers {
		if !p.unreachable {
			continue
		}
		elapsed := now.Sub(p.presumedAt).Seconds()
		p.presumedAt = now
		for name, t := range l.buckets {
			l.refill(t, now)
			share := t.rate * elapsed / hosts
			t.level -= share
			p.presumed[name] += share
		}
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
