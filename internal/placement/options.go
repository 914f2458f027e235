package placement

import "time"

// Options are the settings of placement. Zero fields take the documented defaults.
type Options struct {
	// FirstToken is the target time from arrival to the first token of latency-class requests. Default 310 ms.
	FirstToken time.Duration
	// KVCacheTTL is how long an engine keeps a finished prefill's KV cache. Default 800 ms.
	KVCacheTTL time.Duration
	// CrossZoneMargin is the penalty of a pair with a server outside this host's availability zone. Default 10 ms.
	CrossZoneMargin time.Duration
	// MaxPrefillBacklog is the backlog up to which a prefill server is granted more work. It keeps the engine busy during
	// the round trip of a grant; further requests wait at the home host, which orders them fairly. Default 40 ms.
	MaxPrefillBacklog time.Duration
	// FairShareReserve is the number of decode slots of a contended server that workspaces above their fair share may not
	// take. A few slots are enough to protect the other workspaces and leave little capacity unused. Default 2.
	FairShareReserve int
	// LatencyReserve is the number of decode slots that wait-class requests leave to latency-class ones. Default 2.
	LatencyReserve int
	// QueueLimit bounds the number of wait-class requests that wait at one host. Default 2000.
	QueueLimit int
	// ServerQueueLimit bounds the number of reservation requests that wait for one server and stage. Default 256.
	ServerQueueLimit int
	// WaitPerAttempt is how long a wait-class request waits for one server before servers are chosen again. Default 1 s.
	WaitPerAttempt time.Duration
	// CallTimeout bounds a call to a home host, in addition to the wait for the grant. Default 50 ms.
	CallTimeout time.Duration
	// HomeRetry is how long an unreachable home host gets no further reservation requests. Default 1 s.
	HomeRetry time.Duration
	// RenewMinInterval is the minimum period of the renewals sent to other home hosts. Default 250 ms.
	RenewMinInterval time.Duration
	// RenewMaxInterval is the maximum period. Between the two, the period is the size of the last renewals divided by
	// RenewBytesPerSecond. Default 3 s.
	RenewMaxInterval time.Duration
	// RenewBytesPerSecond is the target rate of the renewals that this host sends, in bytes per second, both directions
	// together. Serving the renewals of other hosts takes about as much again. Default 2200.
	RenewBytesPerSecond int
	// OwnerTTL is how long reservations are kept after the last message from their owner: three maximum renewal periods
	// and a margin. Default 10 s.
	OwnerTTL time.Duration
	// PollInterval is the period of polling the home host's servers for load reports and cache events. Default 250 ms.
	PollInterval time.Duration
	// DownBackoff is how long a server is avoided after its first failure. Default 2 s.
	DownBackoff time.Duration
}

// withDefaults returns the options with zero fields set to their defaults.
func (o Options) withDefaults() Options {
	duration := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	number := func(n *int, v int) {
		if *n == 0 {
			*n = v
		}
	}
	duration(&o.FirstToken, 310*time.Millisecond)
	duration(&o.KVCacheTTL, 800*time.Millisecond)
	duration(&o.CrossZoneMargin, 10*time.Millisecond)
	duration(&o.MaxPrefillBacklog, 40*time.Millisecond)
	duration(&o.WaitPerAttempt, time.Second)
	duration(&o.CallTimeout, 50*time.Millisecond)
	duration(&o.HomeRetry, time.Second)
	duration(&o.RenewMinInterval, 250*time.Millisecond)
	duration(&o.RenewMaxInterval, 3*time.Second)
	number(&o.RenewBytesPerSecond, 2200)
	duration(&o.OwnerTTL, 10*time.Second)
	duration(&o.PollInterval, 250*time.Millisecond)
	duration(&o.DownBackoff, 2*time.Second)
	number(&o.FairShareReserve, 2)
	number(&o.LatencyReserve, 2)
	number(&o.QueueLimit, 2000)
	number(&o.ServerQueueLimit, 256)
	return o
}
