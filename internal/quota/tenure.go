package quota

import (
	"slices"
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/membership"
)

// tenureEpochs is how many epochs back a tenure is remembered. A longer one counts from the oldest of them,
// which only makes a recreated bucket emptier.
const tenureEpochs = 16

// Tenure knows for which workspaces this host is the home host of its zone, and since when. It is a pure state
// machine.
//
// A host may act as a new home host in an epoch when every other host of its zone has acknowledged exactly
// this epoch. Each then stopped for the workspaces that moved, and hosts outside the epoch have provably
// stopped. A host that was home in the epoch before goes on without a break.
type Tenure struct {
	self host.ID
	// terms are consecutive epochs that contain this run of the host, oldest first.
	terms []*term
}

type term struct {
	epoch   membership.Epoch
	acked   map[string]bool
	ready   bool
	readyAt time.Time
	// left counts how often hosts that left with this epoch were asked for their buckets; answered ones are
	// at leftTries.
	left map[host.ID]int
	// handed names the hosts that already got their buckets in this epoch.
	handed map[string]bool
}

// Standing is a host's position towards a workspace.
type Standing int

// Standings. StandingWaiting is a home host whose predecessor may not have stopped yet.
const (
	StandingNone Standing = iota
	StandingWaiting
	StandingHome
)

// Learn takes a newer epoch. It reports false when the tenure was interrupted: epochs in between are unknown
// or did not contain this host, so that other hosts may have been home. All buckets must then be dropped.
func (t *Tenure) Learn(epoch membership.Epoch) bool {
	current := t.Number()
	if epoch.Number <= current {
		return true
	}
	consecutive := epoch.Number == current+1
	if !epoch.Contains(t.self) {
		t.terms = nil
		return false
	}
	if !consecutive {
		t.terms = nil
	}
	t.terms = append(t.terms, &term{epoch: epoch, acked: map[string]bool{t.self.Name: true}, handed: map[string]bool{}, left: map[host.ID]int{}})
	if len(t.terms) > tenureEpochs {
		t.terms = t.terms[1:]
	}
	return consecutive
}

// leftTries is how often a host that left is asked for its buckets, once per tick. It may be dead, so nothing
// waits for it.
const leftTries = 20

// askLeft returns the hosts of the zone that were in the epoch before and are to be asked for their buckets.
func (t *Tenure) askLeft() []host.ID {
	if len(t.terms) < 2 {
		return nil
	}
	var hosts []host.ID
	for _, h := range t.terms[len(t.terms)-2].epoch.InZone(t.self.Zone) {
		replaced := slices.ContainsFunc(t.current().epoch.Hosts, func(o host.ID) bool { return o.Addr == h.Addr })
		if !replaced && t.current().left[h] < leftTries {
			t.current().left[h]++
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// answeredLeft reports whether this is the first answer of a host that left, and notes it.
func (t *Tenure) answeredLeft(id host.ID) bool {
	if len(t.terms) == 0 || t.current().left[id] == 0 || t.current().left[id] > leftTries {
		return false
	}
	t.current().left[id] = leftTries + 1
	return true
}

// Number is the newest epoch that contains this host, or zero.
func (t *Tenure) Number() uint64 {
	if len(t.terms) == 0 {
		return 0
	}
	return t.current().epoch.Number
}

func (t *Tenure) current() *term { return t.terms[len(t.terms)-1] }

// Waiting returns the zone's hosts that have not acknowledged the current epoch.
func (t *Tenure) Waiting() []host.ID {
	if len(t.terms) == 0 || t.current().ready {
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

// Acked notes the epoch that a host of the zone reported after it stopped for the workspaces that moved.
func (t *Tenure) Acked(name string, epoch uint64) {
	if len(t.terms) > 0 && epoch == t.Number() {
		t.current().acked[name] = true
	}
}

// Advance makes the current epoch ready when all acknowledgements are there and known says that a majority of
// the epoch's hosts know it. It reports whether the epoch became ready.
func (t *Tenure) Advance(now time.Time, known func(epoch uint64) bool) bool {
	if len(t.terms) == 0 || t.current().ready || len(t.Waiting()) > 0 || !known(t.Number()) {
		return false
	}
	t.current().ready, t.current().readyAt = true, now
	return true
}

// Of returns the standing towards a workspace and, for StandingHome, the start of the tenure.
func (t *Tenure) Of(workspace string) (Standing, time.Time) {
	return t.upTo(workspace, len(t.terms))
}

// Before returns the standing in the epoch before the current one.
func (t *Tenure) Before(workspace string) (Standing, time.Time) {
	return t.upTo(workspace, len(t.terms)-1)
}

func (t *Tenure) upTo(workspace string, n int) (Standing, time.Time) {
	standing, since := StandingNone, time.Time{}
	for i := n - 1; i >= 0; i-- {
		if home, ok := t.terms[i].epoch.Home(t.self.Zone, workspace); !ok || home != t.self {
			break
		}
		if t.terms[i].ready {
			standing, since = StandingHome, t.terms[i].readyAt
		} else if standing == StandingNone {
			standing = StandingWaiting
		}
	}
	return standing, since
}

// Hand notes that the buckets that move to the named host in the current epoch are handed over.
func (t *Tenure) Hand(name string) { t.current().handed[name] = true }

// isNew reports whether a host was not in the epoch before the current one.
func (t *Tenure) isNew(id host.ID) bool {
	return len(t.terms) < 2 || !t.terms[len(t.terms)-2].epoch.Contains(id)
}

// isHandedTo reports whether the named host already got its buckets, or none are held in any epoch.
func (t *Tenure) isHandedTo(name string) bool { return len(t.terms) == 0 || t.current().handed[name] }

func (t *Tenure) isHanded(workspace string) bool {
	to, ok := t.Successor(workspace)
	return !ok || t.isHandedTo(to.Name)
}

// Successor returns the current home host of a workspace in this host's zone.
func (t *Tenure) Successor(workspace string) (host.ID, bool) {
	if len(t.terms) == 0 {
		return host.ID{}, false
	}
	return t.current().epoch.Home(t.self.Zone, workspace)
}

func (t *Tenure) isAcked(name string) bool {
	return len(t.terms) > 0 && (t.current().ready || t.current().acked[name])
}
