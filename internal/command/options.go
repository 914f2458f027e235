// Package command reconciles the role and model of engines with the rules. The home host of a backend server is the
// host of its zone to which rendezvous hashing assigns it. It owns the server through a record in the store and sends
// commands for the differences, with the revision of the record as the fencing token.
package command

import "time"

// Defaults of Options.
const (
	// defaultLeaseTTL limits 350 hosts to 35 renewals per second. A long term makes takeovers slower, which only delays
	// commands.
	defaultLeaseTTL     = 30 * time.Second
	defaultCommandLimit = 30 * time.Second
	defaultReadInterval = 5 * time.Second
	defaultClaimRetry   = 5 * time.Second
	defaultMinBackoff   = 2 * time.Second
	defaultMaxBackoff   = 2 * time.Minute
	defaultTick         = 500 * time.Millisecond
	defaultCallTimeout  = 2 * time.Second
	defaultLoads        = 2
	// renewalsPerTTL is the number of lease renewals sent within one TTL.
	renewalsPerTTL = 3
	// clockMarginDivisor gives a margin of 5% for differences in clock rate between hosts.
	clockMarginDivisor = 20
)

// Options configures a Service. A zero field takes the default stated with it.
type Options struct {
	// LeaseTTL is the time to live of this host's lease. Default 30 s. It must be the same on all hosts, because a new
	// owner computes its takeover wait from its own value.
	LeaseTTL time.Duration
	// CommandLimit is the longest time from sending a command until the engine has stopped executing it. Default 30 s.
	// An engine that does not check fencing tokens must observe this limit.
	CommandLimit time.Duration
	// ReadInterval is the time between reads of an engine's state. Default 5 s.
	ReadInterval time.Duration
	// ClaimRetry is the time between attempts to take ownership of a server that another host owns. Default 5 s.
	ClaimRetry time.Duration
	// MinBackoff and MaxBackoff bound the exponential backoff after failures. Defaults 2 s and 2 min.
	MinBackoff, MaxBackoff time.Duration
	// Tick is the interval of the reconciliation loop over all servers. Default 500 ms.
	Tick time.Duration
	// CallTimeout bounds each store call and each read of an engine's state. Default 2 s.
	CallTimeout time.Duration
	// LoadsPerZone is the maximum number of concurrent weight-loading commands in a zone. Default 2.
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

// held returns how long the owner of a lease with term d may rely on it. The clock margin is subtracted, since the
// clocks of host and store may differ in rate.
func held(d time.Duration) time.Duration { return d - d/clockMarginDivisor }

// inFlightLimit is how long a command must be assumed to be in flight after it was sent, with the clock margin added.
func (o Options) inFlightLimit() time.Duration {
	return o.CommandLimit + o.CommandLimit/clockMarginDivisor
}

// takeoverWait is the time after which the previous owner's lease has expired and its last command has ended. It
// includes the clock margin.
func (o Options) takeoverWait() time.Duration {
	total := o.LeaseTTL + o.CommandLimit
	return total + total/clockMarginDivisor
}
