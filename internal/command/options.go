// Package command brings engines to the role and model that the rules declare. The home host of a server owns it
// through a record in the store and commands the differences, with the record's revision as fencing number.
package command

import "time"

// Defaults of Options.
const (
	// defaultLeaseTTL keeps renewals at 35 a second for 350 hosts; a slower takeover only delays a command.
	defaultLeaseTTL     = 30 * time.Second
	defaultCommandLimit = 30 * time.Second
	defaultReadInterval = 5 * time.Second
	defaultClaimRetry   = 5 * time.Second
	defaultMinBackoff   = 2 * time.Second
	defaultMaxBackoff   = 2 * time.Minute
	defaultTick         = 500 * time.Millisecond
	defaultCallTimeout  = 2 * time.Second
	defaultLoads        = 2
	// renewals is how many renewals are sent in one term of the lease.
	renewals = 3
	// clockMarginDivisor makes the margin for differences in clock rate 5%.
	clockMarginDivisor = 20
)

// Options are the settings of a Service. Zero fields take the defaults given with each field.
type Options struct {
	// LeaseTTL is the term of this host's lease. Default 30 s. It must be the same on all hosts.
	LeaseTTL time.Duration
	// CommandLimit is the longest time from sending a command until no engine works on it. Default 30 s. An engine
	// that does not check fencing numbers must keep to it.
	CommandLimit time.Duration
	// ReadInterval is the time between reads of an engine's state. Default 5 s.
	ReadInterval time.Duration
	// ClaimRetry is the time between attempts to own a server that another host owns. Default 5 s.
	ClaimRetry time.Duration
	// MinBackoff and MaxBackoff bound the wait after failures, which doubles. Defaults 2 s and 2 min.
	MinBackoff, MaxBackoff time.Duration
	// Tick is the time between looks at all servers. Default 500 ms.
	Tick time.Duration
	// CallTimeout bounds a store call and a read of an engine's state. Default 2 s.
	CallTimeout time.Duration
	// LoadsPerZone is how many commands that load weights run at once in a zone. Default 2.
	LoadsPerZone int
}

func (o Options) withDefaults() Options {
	for _, f := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&o.LeaseTTL, defaultLeaseTTL}, {&o.CommandLimit, defaultCommandLimit}, {&o.ReadInterval, defaultReadInterval},
		{&o.ClaimRetry, defaultClaimRetry}, {&o.MinBackoff, defaultMinBackoff}, {&o.MaxBackoff, defaultMaxBackoff},
		{&o.Tick, defaultTick}, {&o.CallTimeout, defaultCallTimeout},
	} {
		if *f.field == 0 {
			*f.field = f.value
		}
	}
	if o.LoadsPerZone == 0 {
		o.LoadsPerZone = defaultLoads
	}
	return o
}

// held is the part of a term that its holder counts on.
func held(d time.Duration) time.Duration { return d - d/clockMarginDivisor }

// commandEnd is how long after sending a command the sender counts it as open.
func (o Options) commandEnd() time.Duration {
	return o.CommandLimit + o.CommandLimit/clockMarginDivisor
}

// takeoverWait is the previous owner's lease, its last command and the clock margin.
func (o Options) takeoverWait() time.Duration {
	total := o.LeaseTTL + o.CommandLimit
	return total + total/clockMarginDivisor
}
