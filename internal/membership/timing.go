package membership

import "time"

// Timing holds the durations of the protocol. All hosts of a fleet use the same values.
type Timing struct {
	// Heartbeat is the time between two rounds of heartbeats. Default 500 ms.
	Heartbeat time.Duration
	// LeaseTTL is the term of the store lease. Default 5 s.
	LeaseTTL time.Duration
	// Renewal is the time between two lease renewals. Default 2 s, so that one lost renewal is made good within the term.
	Renewal time.Duration
	// Retry is the time between two attempts of a failed store call, and between two checks of silent hosts.
	// Default 1 s.
	Retry time.Duration
	// Contact is how long a reply counts as recent contact. Default 2 s.
	Contact time.Duration
	// Fence is how long a host must have been silent before it may be reported. Default 4 s; it must exceed Contact.
	Fence time.Duration
	// Isolation is how long a cut-off zone goes on admitting. Default 5 min.
	Isolation time.Duration
	// ClockMargin is the largest relative difference between a host's clock rate and the store's. Holders shorten
	// their terms by it and observers lengthen theirs, so two hosts may differ by twice as much. Default 0.05.
	ClockMargin float64
	// HostsPerZone is how many hosts of each other zone get a heartbeat in each round. They rotate, so several are
	// reached within the contact window. Default 1, which keeps the traffic of a large fleet low.
	HostsPerZone int
}

// Defaults of Timing.
const (
	DefaultHeartbeat    = 500 * time.Millisecond
	DefaultLeaseTTL     = 5 * time.Second
	DefaultRenewal      = 2 * time.Second
	DefaultRetry        = time.Second
	DefaultContact      = 2 * time.Second
	DefaultFence        = 4 * time.Second
	DefaultIsolation    = 5 * time.Minute
	DefaultClockMargin  = 0.05
	DefaultHostsPerZone = 1
)

// maxClockMargin bounds the margin, since shortened terms would become useless beyond it.
const maxClockMargin = 0.5

// DefaultTiming returns the documented defaults.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat: DefaultHeartbeat, LeaseTTL: DefaultLeaseTTL, Renewal: DefaultRenewal, Retry: DefaultRetry,
		Contact: DefaultContact, Fence: DefaultFence, Isolation: DefaultIsolation,
		ClockMargin: DefaultClockMargin, HostsPerZone: DefaultHostsPerZone,
	}
}

// Check returns a *SettingError for the first value that cannot work.
func (t Timing) Check() error {
	checks := []struct {
		ok             bool
		name, expected string
	}{
		{t.Heartbeat > 0, "heartbeat", "more than 0"},
		{t.Contact > t.Heartbeat, "contact", "more than the heartbeat interval"},
		{t.Fence > t.Contact, "fence", "more than the contact window"},
		{t.Renewal > 0 && t.Renewal < t.LeaseTTL/2, "renewal", "more than 0 and less than half of the lease term"},
		{t.Retry > 0, "retry", "more than 0"},
		{t.Isolation > 0, "isolation limit", "more than 0"},
		{t.ClockMargin >= 0 && t.ClockMargin < maxClockMargin, "clock margin", "at least 0 and less than 0.5"},
		{t.HostsPerZone > 0, "hosts per zone", "more than 0"},
	}
	for _, c := range checks {
		if !c.ok {
			return &SettingError{Name: c.name, Expected: c.expected}
		}
	}
	return nil
}

// held shortens a term that this host holds, so that it ends before any observer counts it as ended.
func (t Timing) held(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - t.ClockMargin))
}

// observed lengthens a term of another host that this host waits out.
func (t Timing) observed(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + t.ClockMargin))
}
