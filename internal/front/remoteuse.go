package front

import (
	"math"
	"time"

	"github.com/boragecourse/boragecourse/internal/exchange"
	"github.com/boragecourse/boragecourse/internal/kvmemory"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// remoteUse sums the use of backend servers that the other hosts report, and keeps which servers have changed, so that a
// report costs time in proportion to what it changes. Servers are known by the hashes of their keys, since reports may
// name some that this host has not heard of yet. It is not safe for concurrent use.
type remoteUse struct {
	hosts map[uint64]*hostUse
	slots map[uint64]int
	// runs holds the running generations by server and incarnation of the host.
	runs    map[uint64]map[uint64][]kvmemory.Run
	changed map[uint64]bool
}

// hostUse is the use by one host. It counts in the sums while counted is set.
type hostUse struct {
	at      time.Time
	counted bool
	uses    map[uint64]serverUse
}

type serverUse struct {
	slots int
	runs  []kvmemory.Run
}

func newRemoteUse() *remoteUse {
	return &remoteUse{hosts: map[uint64]*hostUse{}, slots: map[uint64]int{}, runs: map[uint64]map[uint64][]kvmemory.Run{}, changed: map[uint64]bool{}}
}

// receive applies a report of another host. The host's uses count again if they had expired.
func (u *remoteUse) receive(r *peerv1.FrontReport, now time.Time) {
	h := u.hosts[r.Incarnation]
	if h == nil {
		h = &hostUse{counted: true, uses: map[uint64]serverUse{}}
		u.hosts[r.Incarnation] = h
	}
	h.at = now
	if !h.counted {
		h.counted = true
		for server, use := range h.uses {
			u.add(r.Incarnation, server, use)
		}
	}
	if r.Partial && r.KeepsUses {
		return
	}
	named := make(map[uint64]bool, len(r.Uses))
	for _, s := range r.Uses {
		server := exchange.ServerHash(s)
		named[server] = true
		u.set(r.Incarnation, h, server, serverUse{slots: int(s.Slots), runs: reportedRuns(s.Runs, now)})
	}
	if r.Partial && r.MergesUses {
		return
	}
	for server := range h.uses {
		if !named[server] {
			u.set(r.Incarnation, h, server, serverUse{})
		}
	}
}

func reportedRuns(runs []*peerv1.GenerationRun, now time.Time) []kvmemory.Run {
	var out []kvmemory.Run
	for _, r := range runs {
		if !plausibleRun(r) {
			continue
		}
		out = append(out, kvmemory.Run{
			Prompt: r.Prompt, Generated: r.Generated, At: now,
			Output: kvmemory.Output{LogMean: float64(r.LogMean), LogSigma: float64(r.LogSigma), Max: r.MaxOutput},
		})
	}
	return out
}

// maxRunTokens bounds the sizes that are believed of a reported generation.
const maxRunTokens = 1 << 31

// plausibleRun reports whether a reported generation can be used in sums and forecasts.
func plausibleRun(r *peerv1.GenerationRun) bool {
	mean, sigma := float64(r.LogMean), float64(r.LogSigma)
	finite := !math.IsNaN(mean) && !math.IsInf(mean, 0) && !math.IsNaN(sigma) && !math.IsInf(sigma, 0)
	return finite && min(r.Prompt, r.Generated, r.MaxOutput) >= 0 && max(r.Prompt, r.Generated, r.MaxOutput) <= maxRunTokens
}

func (u *remoteUse) set(incarnation uint64, h *hostUse, server uint64, use serverUse) {
	u.subtract(incarnation, server, h.uses[server])
	if use.slots == 0 && len(use.runs) == 0 {
		delete(h.uses, server)
		return
	}
	h.uses[server] = use
	u.add(incarnation, server, use)
}

func (u *remoteUse) add(incarnation, server uint64, use serverUse) {
	u.changed[server] = true
	u.slots[server] += use.slots
	if len(use.runs) > 0 {
		if u.runs[server] == nil {
			u.runs[server] = map[uint64][]kvmemory.Run{}
		}
		u.runs[server][incarnation] = use.runs
	}
}

func (u *remoteUse) subtract(incarnation, server uint64, use serverUse) {
	u.changed[server] = true
	if u.slots[server] -= use.slots; u.slots[server] == 0 {
		delete(u.slots, server)
	}
	if len(use.runs) > 0 {
		if delete(u.runs[server], incarnation); len(u.runs[server]) == 0 {
			delete(u.runs, server)
		}
	}
}

// expire stops counting the uses of the hosts that have not reported for useTTL.
func (u *remoteUse) expire(now time.Time) {
	for incarnation, h := range u.hosts {
		if h.counted && now.Sub(h.at) > useTTL {
			u.discount(incarnation, h)
		}
	}
}

// remove forgets a host.
func (u *remoteUse) remove(incarnation uint64) {
	if h := u.hosts[incarnation]; h != nil && h.counted {
		u.discount(incarnation, h)
	}
	delete(u.hosts, incarnation)
}

func (u *remoteUse) discount(incarnation uint64, h *hostUse) {
	h.counted = false
	for server, use := range h.uses {
		u.subtract(incarnation, server, use)
	}
}

// takeChanged returns the slots and runs at the servers that have changed since the last call, by key. Servers without a
// key are left out; recheck is called when they get one.
func (u *remoteUse) takeChanged(keyOf func(server uint64) string) (slots map[string]int, runs map[string][]kvmemory.Run) {
	slots, runs = map[string]int{}, map[string][]kvmemory.Run{}
	for server := range u.changed {
		key := keyOf(server)
		if key == "" {
			continue
		}
		slots[key], runs[key] = u.slots[server], nil
		for _, r := range u.runs[server] {
			runs[key] = append(runs[key], r...)
		}
	}
	clear(u.changed)
	return slots, runs
}

// recheck makes takeChanged return a server again.
func (u *remoteUse) recheck(server uint64) { u.changed[server] = true }
