package quota

import (
	"slices"
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/membership"
)

// ownershipEpochs is the number of epochs that Tenure keeps. Ownership that began earlier counts from the oldest of
// them, which can only lower the level of a recreated bucket.
const ownershipEpochs = 16

// Tenure tracks for which workspaces this host is the home host of its zone, and since when. It is a pure state
// machine.
//
// A host may act as a new home host in an epoch once every other host of its zone has acknowledged exactly this
// epoch. By then, each of them has stopped using the buckets that moved, and hosts outside the epoch have provably
// stopped admitting. A host that was also the home host in the previous epoch continues without a break.
type Tenure struct {
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

// Standing is a host's role for a workspace in its zone.
type Standing int

// Roles of a host. StandingWaiting is a home host whose predecessor may not have stopped yet.
const (
	StandingNone Standing = iota
	StandingWaiting
	StandingHome
)

// Learn adds a newer epoch. It returns false when ownership was interrupted: epochs in between are unknown or did
// not contain this host, so that other hosts may have been home hosts. All buckets must then be dropped.
func (t *Tenure) Learn(epoch membership.Epoch) bool {
	current := t.Number()
	if epoch.Number <= current {
		return true
	}
	consecutive := epoch.Number == current+1
	if !epoch.Contains(t.self) {
		t.epochs = nil
		return false
	}
	if !consecutive {
		t.epochs = nil
	}
	t.epochs = append(t.epochs, &epochState{
		epoch: epoch, acked: map[string]bool{t.self.Name: true}, handedOver: map[string]bool{}, departedTries: map[host.ID]int{},
	})
	if len(t.epochs) > ownershipEpochs {
		t.epochs = t.epochs[1:]
	}
	return consecutive
}

// maxDepartedTries is how often a departed host is asked for its buckets, once per tick. The host may be down, so
// nothing waits for it.
const maxDepartedTries = 20

// departedToAsk returns the zone's hosts of the previous epoch that are to be asked for their buckets, and counts
// the request. It skips hosts whose address is in use by a host of the current epoch.
func (t *Tenure) departedToAsk() []host.ID {
	if len(t.epochs) < 2 {
		return nil
	}
	var hosts []host.ID
	for _, h := range t.epochs[len(t.epochs)-2].epoch.InZone(t.self.Zone) {
		addrInUse := slices.ContainsFunc(t.current().epoch.Hosts, func(o host.ID) bool { return o.Addr == h.Addr })
		if !addrInUse && t.current().departedTries[h] < maxDepartedTries {
			t.current().departedTries[h]++
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// firstDepartedReply reports whether this is the first reply of a departed host, and records it.
func (t *Tenure) firstDepartedReply(id host.ID) bool {
	if len(t.epochs) == 0 || t.current().departedTries[id] == 0 || t.current().departedTries[id] > maxDepartedTries {
		return false
	}
	t.current().departedTries[id] = maxDepartedTries + 1
	return true
}

// Number returns the number of the newest epoch that contains this host, or zero.
func (t *Tenure) Number() uint64 {
	if len(t.epochs) == 0 {
		return 0
	}
	return t.current().epoch.Number
}

func (t *Tenure) current() *epochState { return t.epochs[len(t.epochs)-1] }

// Waiting returns the zone's hosts that have not acknowledged the current epoch.
func (t *Tenure) Waiting() []host.ID {
	if len(t.epochs) == 0 || t.current().ready {
		return nil
	}
	var hosts []host.ID
	for _, h := range t.current().epoch.InZone(t.self.Zone) {
		if !t.current().acked[h.Name] {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// Acked records the epoch that a host of the zone acknowledged after it stopped using the buckets that moved.
func (t *Tenure) Acked(name string, epoch uint64) {
	if len(t.epochs) > 0 && epoch == t.Number() {
		t.current().acked[name] = true
	}
}

// Advance marks the current epoch as ready when all acknowledgements were received and known reports that a
// majority of the epoch's hosts know it. It reports whether the epoch became ready.
func (t *Tenure) Advance(now time.Time, known func(epoch uint64) bool) bool {
	if len(t.epochs) == 0 || t.current().ready || len(t.Waiting()) > 0 || !known(t.Number()) {
		return false
	}
	t.current().ready, t.current().readyAt = true, now
	return true
}

// Of returns the role for a workspace and, for StandingHome, the time since which this host has been home host.
func (t *Tenure) Of(workspace string) (Standing, time.Time) {
	return t.roleUpTo(workspace, len(t.epochs))
}

// Before returns the role in the epoch before the current one, as Of does.
func (t *Tenure) Before(workspace string) (Standing, time.Time) {
	return t.roleUpTo(workspace, len(t.epochs)-1)
}

func (t *Tenure) roleUpTo(workspace string, n int) (Standing, time.Time) {
	role, since := StandingNone, time.Time{}
	for i := n - 1; i >= 0; i-- {
		if home, ok := t.epochs[i].epoch.Home(t.self.Zone, workspace); !ok || home != t.self {
			break
		}
		if t.epochs[i].ready {
			role, since = StandingHome, t.epochs[i].readyAt
		} else if role == StandingNone {
			role = StandingWaiting
		}
	}
	return role, since
}

// Hand records that the buckets that move to the named host in the current epoch were handed over.
func (t *Tenure) Hand(name string) { t.current().handedOver[name] = true }

// isNew reports whether a host was not in the epoch before the current one.
func (t *Tenure) isNew(id host.ID) bool {
	return len(t.epochs) < 2 || !t.epochs[len(t.epochs)-2].epoch.Contains(id)
}

// isHandedOverTo reports whether the named host has already received its buckets. It is also true while no epoch is
// known, since there are no buckets then.
func (t *Tenure) isHandedOverTo(name string) bool {
	return len(t.epochs) == 0 || t.current().handedOver[name]
}

func (t *Tenure) isHandedOver(workspace string) bool {
	to, ok := t.Successor(workspace)
	return !ok || t.isHandedOverTo(to.Name)
}

// Successor returns the current home host of a workspace in this host's zone.
func (t *Tenure) Successor(workspace string) (host.ID, bool) {
	if len(t.epochs) == 0 {
		return host.ID{}, false
	}
	return t.current().epoch.Home(t.self.Zone, workspace)
}

func (t *Tenure) isAcked(name string) bool {
	return len(t.epochs) > 0 && (t.current().ready || t.current().acked[name])
}
