package quota

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/membership"
)

// Division defines how buckets are divided between availability zones: by the share weights of the zones that have
// hosts in the epoch. A zone without hosts has no weight, so that its share goes to the other zones.
type Division struct {
	zones   []string
	weights []int64
}

// NewDivision returns the division for the zones of a configuration and the hosts of an epoch.
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

// maxWeight bounds a share weight so that sums of weights fit into 63 bits.
const maxWeight = int64(1) << 32

// Hash returns a hash of the zones and weights. Hosts exchange it to check that they use the same division.
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

// Share returns a zone's share of a bucket with the given burst (tokens) and rate (tokens per second). A zone
// without hosts or weight has the zero Share.
func (d Division) Share(zone string, burst, rate int64) Share {
	i, ok := slices.BinarySearch(d.zones, zone)
	if !ok {
		return Share{}
	}
	return ShareOf(burst, rate, d.weights, i)
}

// DivisionRollout tracks the active division and the divisions that are to replace it. It is a pure state machine.
//
// A zone's share is the minimum over all divisions that may be in use on some host. A decrease therefore takes
// effect at once. An increase takes effect when every host of the epoch has acknowledged the division as its newest
// one and the grants that were given under larger shares have ended.
type DivisionRollout struct {
	// active is nil until the first division becomes active; no bucket may be used before.
	active *Division
	// activeSince is the time at which the first division became active.
	activeSince time.Time
	pending     []*pendingDivision
	epoch       membership.Epoch
	version     uint64
	// noGrants is set while this incarnation of the host has never held, given or inherited a grant.
	noGrants bool
}

type pendingDivision struct {
	division Division
	hash     uint64
	acked    map[string]bool
	// skipGrantTerm is set when a host reports that the division is already active there, so the wait for older grants is
	// over.
	skipGrantTerm bool
	// grantsPossible is set when a host reports that it may hold or may have given older grants.
	grantsPossible bool
	// complete is set when all hosts have acknowledged the division. It becomes active at effectiveAt.
	complete    bool
	effectiveAt time.Time
}

// AddDivision adds the division of the newest configuration and epoch as pending unless it is already the newest one.
func (d *DivisionRollout) AddDivision(now time.Time, division Division, epoch membership.Epoch, self string) {
	d.Advance(now)
	epochChanged := epoch.Number != d.epoch.Number
	d.epoch = epoch
	hash := division.Hash()
	if d.newestHash() != hash {
		d.version++
		d.pending = append(d.pending, &pendingDivision{division: division, hash: hash, acked: map[string]bool{self: true}})
		d.checkComplete(now)
		return
	}
	// Acknowledgements count only within one epoch, because all hosts of that epoch must agree.
	if newest := d.newest(); epochChanged && newest != nil && !newest.complete {
		newest.acked, newest.grantsPossible = map[string]bool{self: true}, false
		d.checkComplete(now)
	}
}

// Reset discards all divisions. It is called when other hosts may have activated divisions without an acknowledgement
// of this host. noGrants states that this incarnation of the host has never held or given a grant.
func (d *DivisionRollout) Reset(noGrants bool) {
	*d = DivisionRollout{version: d.version + 1, noGrants: noGrants}
}

func (d *DivisionRollout) newest() *pendingDivision {
	if len(d.pending) == 0 {
		return nil
	}
	return d.pending[len(d.pending)-1]
}

func (d *DivisionRollout) newestHash() uint64 {
	if newest := d.newest(); newest != nil {
		return newest.hash
	}
	if d.active != nil {
		return d.active.Hash()
	}
	return 0
}

// Current returns the hash of the newest division. established is true when that division is active and no division
// is pending.
func (d *DivisionRollout) Current() (hash uint64, established bool) {
	return d.newestHash(), d.active != nil && len(d.pending) == 0
}

// Unacknowledged returns the names of the hosts that have not acknowledged the newest division.
func (d *DivisionRollout) Unacknowledged() []string {
	newest := d.newest()
	if newest == nil || newest.complete {
		return nil
	}
	var names []string
	for _, h := range d.epoch.Hosts {
		if !newest.acked[h.Name] {
			names = append(names, h.Name)
		}
	}
	return names
}

// NoGrantsGiven reports whether this incarnation of the host has never held or given a grant and only the newest
// division can become active here. Tokens that the host admits from its own buckets need no wait, since a decrease of
// its share takes effect before the host acknowledges the division.
func (d *DivisionRollout) NoGrantsGiven() bool { return d.noGrants && len(d.pending) == 1 }

// RecordAck records the newest division that a host reported in the given epoch, with the results of that host's
// Current and NoGrantsGiven.
func (d *DivisionRollout) RecordAck(now time.Time, name string, epoch, hash uint64, established, noGrants bool) {
	newest := d.newest()
	if newest == nil || newest.complete || epoch != d.epoch.Number || hash != newest.hash {
		return
	}
	newest.acked[name] = true
	newest.skipGrantTerm = newest.skipGrantTerm || established
	newest.grantsPossible = newest.grantsPossible || !noGrants
	d.checkComplete(now)
}

func (d *DivisionRollout) checkComplete(now time.Time) {
	newest := d.newest()
	for _, h := range d.epoch.Hosts {
		if !newest.acked[h.Name] {
			return
		}
	}
	newest.complete = true
	newest.effectiveAt = now
	// If no host of the epoch has ever held or given a grant, as in a new fleet, there is no grant to wait for.
	if !newest.skipGrantTerm && (newest.grantsPossible || !d.NoGrantsGiven()) {
		newest.effectiveAt = now.Add(withMargin(GrantTerm))
	}
	d.Advance(now)
}

// Advance activates the newest complete division whose effective time has been reached.
func (d *DivisionRollout) Advance(now time.Time) {
	for i := len(d.pending) - 1; i >= 0; i-- {
		p := d.pending[i]
		if p.complete && !now.Before(p.effectiveAt) {
			if d.active == nil {
				d.activeSince = now
			}
			d.active = &p.division
			d.pending = slices.Delete(d.pending, 0, i+1)
			d.version++
			return
		}
	}
}

// DueAt reports whether Advance would change the shares.
func (d *DivisionRollout) DueAt(now time.Time) bool {
	return slices.ContainsFunc(d.pending, func(p *pendingDivision) bool {
		return p.complete && !now.Before(p.effectiveAt)
	})
}

// Ready reports whether a division is active, and the time at which the first one became active.
func (d *DivisionRollout) Ready() (bool, time.Time) { return d.active != nil, d.activeSince }

// Share returns a zone's share of a bucket: the minimum over the active division and all pending ones.
func (d *DivisionRollout) Share(zone string, burst, rate int64) Share {
	share := Share{Burst: maxTokens, Rate: maxTokens * nano}
	if d.active != nil {
		share = d.active.Share(zone, burst, rate)
	}
	for _, p := range d.pending {
		share = share.Min(p.division.Share(zone, burst, rate))
	}
	return share
}
