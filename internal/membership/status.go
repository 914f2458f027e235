package membership

import (
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
)

// Condition names what a host's authority to admit rests on.
type Condition string

// Conditions of the design page, in the order in which they are tried.
const (
	ConditionLease    Condition = "lease"
	ConditionMajority Condition = "majority"
	ConditionZone     Condition = "zone"
	ConditionNone     Condition = "none"
)

// Status is what one host says of its membership to operators.
type Status struct {
	Epoch     Epoch
	Condition Condition
	// Silent holds the epoch hosts from which nothing has arrived for longer than the fence time.
	Silent []host.ID
	// MajorityLost is set when at least half of the epoch's hosts are silent. Until enough of them return, the epoch
	// stays as it is, the shares of the silent hosts stay unused, and a store outage ends admission.
	MajorityLost bool
}

// Status returns the present status.
func (m *Machine) Status(now time.Time) Status {
	s := Status{Epoch: m.Epoch(), Condition: m.condition(now)}
	for _, h := range m.record.Hosts {
		if keyOf(h) != keyOf(m.self) && m.silence(now, h) >= m.timing.observed(m.timing.Fence) {
			s.Silent = append(s.Silent, h)
		}
	}
	s.MajorityLost = len(s.Silent) > 0 && 2*len(s.Silent) >= len(m.record.Hosts)
	return s
}

// condition returns the first condition under which the host may admit.
func (m *Machine) condition(now time.Time) Condition {
	if m.authority(now) != nil {
		return ConditionNone
	}
	if m.leaseValid(now) {
		return ConditionLease
	}
	if end, ever := m.majorityEnd(); ever && now.Before(end) {
		return ConditionMajority
	}
	return ConditionZone
}

// Status returns the present status of this host.
func (s *Service) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Status(time.Now())
}
