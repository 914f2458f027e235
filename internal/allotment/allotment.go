// Package allotment holds workspaces to their rate and burst over all hosts together. Each host keeps an account of
// every workspace, subtracts what it admits and what the other hosts say that they admitted, and assumes a share for
// hosts that it does not hear. It answers the load of a workspace that sends several times its rate through all hosts
// at once, also while hosts cannot hear each other. It does no I/O and reads no clock.
package allotment

import (
	"math"
	"time"

	"github.com/boragecourse/boragecourse/internal/fleet"
)

const (
	// reportTolerance is the part of the tolerated excess that the accounts may use up, so that a request within the
	// rate is not refused for the lag of reports. The rest covers what hosts admit before they hear of each other.
	reportTolerance = 0.25
	// startLevel is the part of the burst that a new process finds in an account: what the previous process of this
	// host admitted is not known.
	startLevel = 0.2
)

// Book holds the accounts of one host. It is not safe for concurrent use.
type Book struct {
	limits   fleet.QuotaLimits
	accounts map[string]*account
	peers    map[string]*peer
}

type account struct {
	rate, capacity float64
	level          float64
	updated        time.Time
	// admitted is what this host admitted since its start, in tokens.
	admitted int64
}

// peer is another host as this one knows it.
type peer struct {
	// admitted is what the peer said that it admitted since its start.
	admitted map[string]int64
	silent   bool
	// presumed is what was subtracted for the peer since it fell silent.
	presumed map[string]float64
	since    time.Time
}

// New returns a book without accounts.
func New(limits fleet.QuotaLimits) *Book {
	return &Book{limits: limits, accounts: map[string]*account{}, peers: map[string]*peer{}}
}

// Configure takes over the rates of a configuration.
func (b *Book) Configure(workspaces []*fleet.Workspace, now time.Time) {
	kept := map[string]*account{}
	for _, w := range workspaces {
		if w.Rate <= 0 {
			continue
		}
		a := b.accounts[w.Name]
		capacity := w.Burst + reportTolerance*(b.limits.Ratio*(w.Rate*b.limits.Window.Seconds()+w.Burst)+float64(b.limits.Slack))
		if a == nil {
			a = &account{updated: now, level: startLevel * w.Burst, capacity: capacity}
		}
		b.refill(a, now)
		if capacity > a.capacity && a.rate > 0 {
			a.level += capacity - a.capacity
		}
		a.rate, a.capacity = w.Rate, capacity
		a.level = math.Min(a.level, capacity)
		kept[w.Name] = a
	}
	b.accounts = kept
}

func (b *Book) refill(a *account, now time.Time) {
	if d := now.Sub(a.updated).Seconds(); d > 0 {
		a.level = math.Min(a.capacity, a.level+a.rate*d)
		a.updated = now
	}
}

// Admit subtracts a request's cost if the account covers it; otherwise it returns the time until it will.
func (b *Book) Admit(workspace string, cost int64, now time.Time) (bool, time.Duration) {
	a := b.accounts[workspace]
	if a == nil {
		return true, 0
	}
	b.presume(now)
	b.refill(a, now)
	if a.level < float64(cost) {
		missing := (float64(cost) - a.level) / a.rate
		return false, time.Duration(missing * float64(time.Second))
	}
	a.level -= float64(cost)
	a.admitted += cost
	return true, 0
}

// Refund gives back the cost of a request that did not run.
func (b *Book) Refund(workspace string, cost int64) {
	if a := b.accounts[workspace]; a != nil {
		a.level = math.Min(a.capacity, a.level+float64(cost))
		a.admitted -= cost
	}
}

// Admitted returns what this host admitted since its start, by workspace.
func (b *Book) Admitted() map[string]int64 {
	out := map[string]int64{}
	for name, a := range b.accounts {
		if a.admitted != 0 {
			out[name] = a.admitted
		}
	}
	return out
}

// Heard takes over what a peer admitted since its start. id names one process of a host.
func (b *Book) Heard(id string, admitted map[string]int64, now time.Time) {
	p := b.peers[id]
	if p == nil {
		// What the peer admitted before it was known is not in this account, and mostly too long ago to matter.
		b.peers[id] = &peer{admitted: admitted}
		return
	}
	b.presume(now)
	for name, total := range admitted {
		if a := b.accounts[name]; a != nil {
			b.refill(a, now)
			a.level = math.Min(a.capacity, a.level-float64(total-p.admitted[name])+p.presumed[name])
		}
		delete(p.presumed, name)
	}
	for name, v := range p.presumed {
		if a := b.accounts[name]; a != nil {
			a.level = math.Min(a.capacity, a.level+v)
		}
	}
	p.admitted, p.silent, p.presumed = admitted, false, nil
}

// Silent records that a peer is no longer heard, though it may go on admitting. Until it is heard again, or
// forgotten, its even share of every account counts as admitted.
func (b *Book) Silent(id string, now time.Time) {
	p := b.peers[id]
	if p == nil || p.silent {
		return
	}
	b.presume(now)
	hosts := float64(len(b.peers) + 1)
	p.silent, p.since, p.presumed = true, now, map[string]float64{}
	for name, a := range b.accounts {
		b.refill(a, now)
		share := math.Max(a.level, 0) / hosts
		a.level -= share
		p.presumed[name] = share
	}
}

// Forget drops a peer that has stopped.
func (b *Book) Forget(id string, now time.Time) {
	b.presume(now)
	delete(b.peers, id)
}

// presume subtracts the share of the rate that silent peers may have admitted.
func (b *Book) presume(now time.Time) {
	hosts := float64(len(b.peers) + 1)
	for _, p := range b.peers {
		if !p.silent {
			continue
		}
		elapsed := now.Sub(p.since).Seconds()
		p.since = now
		for name, a := range b.accounts {
			b.refill(a, now)
			share := a.rate * elapsed / hosts
			a.level -= share
			p.presumed[name] += share
		}
	}
}

// Level returns the tokens in an account, for logs.
func (b *Book) Level(workspace string, now time.Time) float64 {
	a := b.accounts[workspace]
	if a == nil {
		return math.Inf(1)
	}
	b.refill(a, now)
	return a.level
}
