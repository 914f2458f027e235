package membership

import (
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
)

// AuthorityCondition names the condition under which a host may admit requests; the package documentation defines them.
type AuthorityCondition string

// Conditions, in the order in which they are checked. ConditionNone means that the host may not admit requests.
const (
	ConditionLease    AuthorityCondition = "lease"
	ConditionMajority AuthorityCondition = "majority"
	ConditionZone     AuthorityCondition = "zone"
	ConditionNone     AuthorityCondition = "none"
)

// Status is the membership state of one host, as shown to operators.
type Status struct {
	Epoch     Epoch
	Condition AuthorityCondition
	// Unreachable holds the epoch's hosts from which nothing has been received for the fencing time.
	Unreachable []host.ID
	// MajorityLost is set when at least half of the epoch's hosts are in Unreachable. Until enough of them return, the
	// epoch cannot change, their quota shares stay unused, and a store outage ends admission.
	MajorityLost bool
}

// Status returns the membership state of this host at the given time.
func (m *Machine) Status(now time.Time) Status {
	s := Status{Epoch: m.Epoch(), Condition: m.condition(now)}
	for _, h := range m.record.Hosts {
		if keyOf(h) != keyOf(m.self) && m.unreachableFor(now, h) >= m.timing.observedTerm(m.timing.FencingTime) {
			s.Unreachable = append(s.Unreachable, h)
		}
	}
	s.MajorityLost = len(s.Unreachable) > 0 && 2*len(s.Unreachable) >= len(m.record.Hosts)
	return s
}

// condition returns the first condition that holds at the given time.
func (m *Machine) condition(now time.Time) AuthorityCondition {
	if m.authority(now) != nil {
		return ConditionNone
	}
	if m.leaseValid(now) {
		return ConditionLease
	}
	if end, everHeld := m.majorityEnd(); everHeld && now.Before(end) {
		return ConditionMajority
	}
	return ConditionZone
}

// Status returns the current membership state of this host.
func (s *Service) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Status(time.Now())
}
