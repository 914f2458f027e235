package membership

import "time"

// Timing holds the time limits of the membership protocol. All hosts of a fleet must use the same values.
type Timing struct {
	// Heartbeat is the interval between two rounds of heartbeats. Default 500 ms.
	Heartbeat time.Duration
	// LeaseTTL is the time to live of the store lease. Default 5 s.
	LeaseTTL time.Duration
	// Renewal is the interval between two lease renewals. It must be less than half of LeaseTTL, so that the lease
	// survives one lost renewal. Default 2 s.
	Renewal time.Duration
	// Retry is the interval between two attempts of a failed store call, and between two checks for unreachable hosts.
	// Default 1 s.
	Retry time.Duration
	// ContactWindow is the contact window: how long a heartbeat reply counts as contact, from the time the heartbeat was
	// sent. Default 2 s.
	ContactWindow time.Duration
	// FencingTime is the fencing time: how long nothing must have been received from a host before it may be reported
	// as unreachable. It must exceed ContactWindow. Default 4 s.
	FencingTime time.Duration
	// Isolation is the isolation limit: how long the hosts of a partitioned zone continue to admit requests after they
	// lost their leases and the contact with a majority. Default 5 min.
	Isolation time.Duration
	// ClockMargin is the largest relative difference between a host's clock rate and the store's. The host that holds a
	// time limit shortens it by the margin and the hosts that wait for its end lengthen it, so the rates of two hosts
	// may differ by twice as much. Default 0.05.
	ClockMargin float64
	// HostsPerZone is the number of hosts of each other zone that get a heartbeat in each round. They rotate, so several
	// are contacted within the contact window. Default 1, which keeps the traffic of a large fleet low.
	HostsPerZone int
}

// Default values of the fields of Timing.
const (
	DefaultHeartbeat      = 500 * time.Millisecond
	DefaultLeaseTTL       = 5 * time.Second
	DefaultRenewal        = 2 * time.Second
	DefaultRetry          = time.Second
	DefaultContactWindow  = 2 * time.Second
	DefaultFencingTime    = 4 * time.Second
	DefaultIsolationLimit = 5 * time.Minute
	DefaultClockMargin    = 0.05
	DefaultHostsPerZone   = 1
)

// maxClockMargin is the exclusive upper bound of ClockMargin. A larger margin would make the shortened time limits too
// short to be of use.
const maxClockMargin = 0.5

// DefaultTiming returns a Timing with the default value of each field.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat: DefaultHeartbeat, LeaseTTL: DefaultLeaseTTL, Renewal: DefaultRenewal, Retry: DefaultRetry,
		ContactWindow: DefaultContactWindow, FencingTime: DefaultFencingTime, Isolation: DefaultIsolationLimit,
		ClockMargin: DefaultClockMargin, HostsPerZone: DefaultHostsPerZone,
	}
}

// Check returns a *SettingError for the first value that is out of range or contradicts another one.
func (t Timing) Check() error {
	checks := []struct {
		ok             bool
		name, expected string
	}{
		{t.Heartbeat > 0, "heartbeat", "more than 0"},
		{t.ContactWindow > t.Heartbeat, "contact", "more than the heartbeat interval"},
		{t.FencingTime > t.ContactWindow, "fence", "more than the contact window"},
		{t.Renewal > 0 && t.Renewal < t.LeaseTTL/2, "renewal", "more than 0 and less than half of the lease TTL"},
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

// heldTerm shortens a time limit that this host holds by the clock margin, so that the limit ends here before any other
// host treats it as ended.
func (t Timing) heldTerm(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - t.ClockMargin))
}

// observedTerm lengthens a time limit of another host, whose end this host waits for, by the clock margin.
func (t Timing) observedTerm(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + t.ClockMargin))
}
