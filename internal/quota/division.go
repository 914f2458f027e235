package quota

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/membership"
)

// Division is how buckets are divided between zones: the share weights of the zones that have hosts in the
// epoch. A zone without hosts has no part, so that its share is not lost.
type Division struct {
	zones   []string
	weights []int64
}

// NewDivision returns the division that a configuration and an epoch define together.
func NewDivision(snapshot *config.Snapshot, epoch membership.Epoch) Division {
	var d Division
	for _, h := range epoch.Hosts {
		zone := snapshot.Zones()[h.Zone]
		if zone != nil && zone.Share > 0 && !slices.Contains(d.zones, h.Zone) {
			d.zones = append(d.zones, h.Zone)
		}
	}
	slices.Sort(d.zones)
	for _, name := range d.zones {
		d.weights = append(d.weights, min(snapshot.Zones()[name].Share, maxWeight))
	}
	return d
}

// maxWeight keeps sums of weights within 63 bits.
const maxWeight = int64(1) << 32

// Hash identifies the division.
func (d Division) Hash() uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for i, zone := range d.zones {
		_, _ = digest.WriteString(zone)
		var weight [9]byte
		binary.LittleEndian.PutUint64(weight[1:], uint64(d.weights[i]))
		_, _ = digest.Write(weight[:])
	}
	return digest.Sum64()
}

// Share returns a zone's share of a bucket.
func (d Division) Share(zone string, burst, rate int64) Share {
	i, ok := slices.BinarySearch(d.zones, zone)
	if !ok {
		return Share{}
	}
	return ShareOf(burst, rate, d.weights, i)
}

// Divisions brings a new division into force. It is a pure state machine.
//
// A zone's share is the minimum over all divisions that may be in use somewhere. So a decrease takes effect at
// once. An increase takes effect when every host of the epoch has acknowledged the division as its newest one
// and the grants that were given under larger shares have ended.
type Divisions struct {
	// base is in force; nil before the first one is, and then no bucket may be used.
	base *Division
	// since is when the first one came into force.
	since   time.Time
	pending []*pendingDivision
	epoch   membership.Epoch
	version uint64
	// fresh is set while this run of the host has never held a grant, nor given or inherited one.
	fresh bool
}

type pendingDivision struct {
	division Division
	hash     uint64
	acked    map[string]bool
	// skipTerm is set when a host reports that the division is already in force.
	skipTerm bool
	// used is set when a host reports that it may hold older grants, or may have given some.
	used bool
	// complete is set when all hosts acknowledged; the division is in force from effectiveAt.
	complete    bool
	effectiveAt time.Time
}

// Learn takes the division of the newest configuration and epoch.
func (d *Divisions) Learn(now time.Time, division Division, epoch membership.Epoch, self string) {
	d.Advance(now)
	changedEpoch := epoch.Number != d.epoch.Number
	d.epoch = epoch
	hash := division.Hash()
	if d.currentHash() != hash {
		d.version++
		d.pending = append(d.pending, &pendingDivision{division: division, hash: hash, acked: map[string]bool{self: true}})
		d.checkComplete(now)
		return
	}
	// Acknowledgements count only within one epoch, because its hosts are the ones that must agree.
	if last := d.last(); changedEpoch && last != nil && !last.complete {
		last.acked, last.used = map[string]bool{self: true}, false
		d.checkComplete(now)
	}
}

// Reset forgets everything, when other hosts may have brought divisions into force without this one. fresh tells
// that this run of the host has never held or given a grant.
func (d *Divisions) Reset(fresh bool) {
	*d = Divisions{version: d.version + 1, fresh: fresh}
}

func (d *Divisions) last() *pendingDivision {
	if len(d.pending) == 0 {
		return nil
	}
	return d.pending[len(d.pending)-1]
}

func (d *Divisions) currentHash() uint64 {
	if last := d.last(); last != nil {
		return last.hash
	}
	if d.base != nil {
		return d.base.Hash()
	}
	return 0
}

// Current returns the hash of the newest division and whether it is in force with no older one left.
func (d *Divisions) Current() (hash uint64, established bool) {
	return d.currentHash(), d.base != nil && len(d.pending) == 0
}

// Waiting returns the names of the hosts whose acknowledgement is missing.
func (d *Divisions) Waiting() []string {
	last := d.last()
	if last == nil || last.complete {
		return nil
	}
	var names []string
	for _, h := range d.epoch.Hosts {
		if !last.acked[h.Name] {
			names = append(names, h.Name)
		}
	}
	return names
}

// Unused reports that this run of the host never held or gave a grant, and that no division but the newest may
// come into force here. What it admits from its own buckets needs no wait, since a decrease of its share takes
// effect before it acknowledges.
func (d *Divisions) Unused() bool { return d.fresh && len(d.pending) == 1 }

// Acked notes a host's newest division in the given epoch.
func (d *Divisions) Acked(now time.Time, name string, epoch, hash uint64, established, unused bool) {
	last := d.last()
	if last == nil || last.complete || epoch != d.epoch.Number || hash != last.hash {
		return
	}
	last.acked[name] = true
	last.skipTerm = last.skipTerm || established
	last.used = last.used || !unused
	d.checkComplete(now)
}

func (d *Divisions) checkComplete(now time.Time) {
	last := d.last()
	for _, h := range d.epoch.Hosts {
		if !last.acked[h.Name] {
			return
		}
	}
	last.complete = true
	last.effectiveAt = now
	// When no host of the epoch ever held or gave a grant, as in a new fleet, there are none to wait for.
	if !last.skipTerm && (last.used || !d.Unused()) {
		last.effectiveAt = now.Add(withMargin(GrantTerm))
	}
	d.Advance(now)
}

// Advance puts divisions into force whose time has come.
func (d *Divisions) Advance(now time.Time) {
	for i := len(d.pending) - 1; i >= 0; i-- {
		p := d.pending[i]
		if p.complete && !now.Before(p.effectiveAt) {
			if d.base == nil {
				d.since = now
			}
			d.base = &p.division
			d.pending = slices.Delete(d.pending, 0, i+1)
			d.version++
			return
		}
	}
}

// DueAt reports whether Advance would change the shares.
func (d *Divisions) DueAt(now time.Time) bool {
	return slices.ContainsFunc(d.pending, func(p *pendingDivision) bool {
		return p.complete && !now.Before(p.effectiveAt)
	})
}

// Ready reports whether a division is in force, and since when.
func (d *Divisions) Ready() (bool, time.Time) { return d.base != nil, d.since }

// Share returns a zone's share of a bucket: the minimum over the division in force and all later ones.
func (d *Divisions) Share(zone string, burst, rate int64) Share {
	share := Share{Burst: maxTokens, Rate: maxTokens * nano}
	if d.base != nil {
		share = d.base.Share(zone, burst, rate)
	}
	for _, p := range d.pending {
		share = share.Min(p.division.Share(zone, burst, rate))
	}
	return share
}
