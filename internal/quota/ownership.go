package quota

import (
	"slices"
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/membership"
)

// ownershipEpochs is the number of epochs that Ownership keeps. Ownership that began earlier counts from the oldest of
// them, which can only lower the level of a recreated bucket.
const ownershipEpochs = 16

// Ownership tracks for which workspaces this host is the home host of its zone, and since when. It is a pure state
// machine.
//
// A host may act as a new home host in an epoch once every other host of its zone has acknowledged exactly this
// epoch. By then, each of them has stopped using the buckets that moved, and hosts outside the epoch have provably
// stopped admitting. A host that was also the home host in the previous epoch continues without a break.
type Ownership struct {
	self host.ID
	// epochs holds consecutive epochs that contain this incarnation of the host, oldest first.
	epochs []*epochState
}

type epochState struct {
	epoch   membership.Epoch
	acked   map[string]bool
	ready   bool
	readyAt time.Time
	// departedTries counts the handover requests to each host that left with this epoch. It exceeds
	// maxDepartedTries once the host has replied.
	departedTries map[host.ID]int
	// handedOver holds the names of the hosts that already received their buckets in this epoch.
	handedOver map[string]bool
}

// OwnershipState is a host's role for a workspace in its zone.
type OwnershipState int

// Roles of a host. OwnershipPending is a home host whose predecessor may not have stopped yet.
const (
	OwnershipNone OwnershipState = iota
	OwnershipPending
	OwnershipHeld
)

// AddEpoch adds a newer epoch. It returns false when ownership was interrupted: epochs in between are unknown or did
// not contain this host, so that other hosts may have been home hosts. All buckets must then be dropped.
func (o *Ownership) AddEpoch(epoch membership.Epoch) bool {
	current := o.Number()
	if epoch.Number <= current {
		return true
	}
	consecutive := epoch.Number == current+1
	if !epoch.Contains(o.self) {
		o.epochs = nil
		return false
	}
	if !consecutive {
		o.epochs = nil
	}
	o.epochs = append(o.epochs, &epochState{
		epoch: epoch, acked: map[string]bool{o.self.Name: true}, handedOver: map[string]bool{}, departedTries: map[host.ID]int{},
	})
	if len(o.epochs) > ownershipEpochs {
		o.epochs = o.epochs[1:]
	}
	return consecutive
}

// maxDepartedTries is how often the buckets of a departed host are requested, once per tick. The host may be down, so
// nothing waits for it.
const maxDepartedTries = 20

// departedToQuery returns the hosts of the previous epoch in the zone whose buckets are to be requested, and counts
// the request. It skips hosts whose address is in use by a host of the current epoch.
func (o *Ownership) departedToQuery() []host.ID {
	if len(o.epochs) < 2 {
		return nil
	}
	var hosts []host.ID
	for _, h := range o.epochs[len(o.epochs)-2].epoch.InZone(o.self.Zone) {
		addrInUse := slices.ContainsFunc(o.current().epoch.Hosts, func(other host.ID) bool { return other.Addr == h.Addr })
		if !addrInUse && o.current().departedTries[h] < maxDepartedTries {
			o.current().departedTries[h]++
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// firstDepartedReply reports whether this is the first reply of a departed host, and records it.
func (o *Ownership) firstDepartedReply(id host.ID) bool {
	if len(o.epochs) == 0 || o.current().departedTries[id] == 0 || o.current().departedTries[id] > maxDepartedTries {
		return false
	}
	o.current().departedTries[id] = maxDepartedTries + 1
	return true
}

// Number returns the number of the newest epoch that contains this host, or zero.
func (o *Ownership) Number() uint64 {
	if len(o.epochs) == 0 {
		return 0
	}
	return o.current().epoch.Number
}

func (o *Ownership) current() *epochState { return o.epochs[len(o.epochs)-1] }

// Unacknowledged returns the zone's hosts that have not acknowledged the current epoch.
func (o *Ownership) Unacknowledged() []host.ID {
	if len(o.epochs) == 0 || o.current().ready {
		return nil
	}
	var hosts []host.ID
	for _, h := range o.current().epoch.InZone(o.self.Zone) {
		if !o.current().acked[h.Name] {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// RecordAck records the epoch that a host of the zone acknowledged after it stopped using the buckets that moved.
func (o *Ownership) RecordAck(name string, epoch uint64) {
	if len(o.epochs) > 0 && epoch == o.Number() {
		o.current().acked[name] = true
	}
}

// Advance marks the current epoch as ready when all acknowledgements were received and known reports that a majority of
// the hosts of the epoch before it have it. It reports whether the epoch became ready.
func (o *Ownership) Advance(now time.Time, known func(epoch uint64) bool) bool {
	if len(o.epochs) == 0 || o.current().ready || len(o.Unacknowledged()) > 0 || !known(o.Number()) {
		return false
	}
	o.current().ready, o.current().readyAt = true, now
	return true
}

// StateOf returns the role for a workspace and, for OwnershipHeld, the time since which this host has been home host.
func (o *Ownership) StateOf(workspace string) (OwnershipState, time.Time) {
	return o.roleUpTo(workspace, len(o.epochs))
}

// PreviousStateOf returns the role in the epoch before the current one, as StateOf does.
func (o *Ownership) PreviousStateOf(workspace string) (OwnershipState, time.Time) {
	return o.roleUpTo(workspace, len(o.epochs)-1)
}

func (o *Ownership) roleUpTo(workspace string, n int) (OwnershipState, time.Time) {
	role, since := OwnershipNone, time.Time{}
	for i := n - 1; i >= 0; i-- {
		if home, ok := o.epochs[i].epoch.Home(o.self.Zone, workspace); !ok || home != o.self {
			break
		}
		if o.epochs[i].ready {
			role, since = OwnershipHeld, o.epochs[i].readyAt
		} else if role == OwnershipNone {
			role = OwnershipPending
		}
	}
	return role, since
}

// MarkHandedOver records that the buckets that move to the named host in the current epoch were handed over.
func (o *Ownership) MarkHandedOver(name string) { o.current().handedOver[name] = true }

// isNew reports whether a host was not in the epoch before the current one.
func (o *Ownership) isNew(id host.ID) bool {
	return len(o.epochs) < 2 || !o.epochs[len(o.epochs)-2].epoch.Contains(id)
}

// isHandedOverTo reports whether the named host has already received its buckets. It is also true while no epoch is
// known, since there are no buckets then.
func (o *Ownership) isHandedOverTo(name string) bool {
	return len(o.epochs) == 0 || o.current().handedOver[name]
}

func (o *Ownership) isHandedOver(workspace string) bool {
	to, ok := o.Successor(workspace)
	return !ok || o.isHandedOverTo(to.Name)
}

// Successor returns the current home host of a workspace in this host's zone.
func (o *Ownership) Successor(workspace string) (host.ID, bool) {
	if len(o.epochs) == 0 {
		return host.ID{}, false
	}
	return o.current().epoch.Home(o.self.Zone, workspace)
}

func (o *Ownership) isAcked(name string) bool {
	return len(o.epochs) > 0 && (o.current().ready || o.current().acked[name])
}
