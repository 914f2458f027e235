package placement

import "time"

// Options are the placement's settings. Zero fields take the documented defaults.
type Options struct {
	// FirstToken is the target time from arrival to the first token of latency-class requests. Default 310 ms.
	FirstToken time.Duration
	// KVLife is how long an engine keeps a finished prefill's KV cache. Default 800 ms.
	KVLife time.Duration
	// CrossZoneMargin is how much better the prediction of a cross-zone pair must be to win. Default 10 ms.
	CrossZoneMargin time.Duration
	// PrefillAhead is the backlog up to which a prefill server is granted more work. It keeps the engine busy
	// for the round trip of a grant; the rest waits at the home host, where the order is fair. Default 40 ms.
	PrefillAhead time.Duration
	// FairReserve is the number of decode slots kept from workspaces above their fair share while a server is
	// contended. A small number protects the others strongly and costs little. Default 2.
	FairReserve int
	// WaitReserve is the number of decode slots that wait-class requests leave to latency-class ones. Default 1.
	WaitReserve int
	// QueueLimit bounds the wait-class requests that wait at one host. Default 2000.
	QueueLimit int
	// ServerQueueLimit bounds the reservations that wait for one server and stage. Default 256.
	ServerQueueLimit int
	// WaitRound is how long a wait-class request waits at one server before it chooses again. Default 1 s.
	WaitRound time.Duration
	// CallTimeout bounds a call to a home host, without the wait for the grant. Default 50 ms.
	CallTimeout time.Duration
	// HomeRetry is how long an unreachable home host is not asked again. Default 1 s.
	HomeRetry time.Duration
	// RenewInterval is the shortest period of the exchange with the other home hosts. Default 250 ms.
	RenewInterval time.Duration
	// RenewMax is the longest period; within both the period follows ControlBytes. Default 3 s.
	RenewMax time.Duration
	// ControlBytes is how many bytes per second this host's own exchanges may take, both directions together. It
	// serves about as many for others. Default 2200.
	ControlBytes int
	// OwnerTTL is how long reservations outlive the last sign of life of their owner, three
	// longest periods and a margin. Default 10 s.
	OwnerTTL time.Duration
	// PollInterval is the period of load reports and cache events from own servers. Default 250 ms.
	PollInterval time.Duration
	// DownFor is how long a server is avoided after a failure. Default 2 s.
	DownFor time.Duration
}

// withDefaults fills zero fields.
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
	duration(&o.KVLife, 800*time.Millisecond)
	duration(&o.CrossZoneMargin, 10*time.Millisecond)
	duration(&o.PrefillAhead, 40*time.Millisecond)
	duration(&o.WaitRound, time.Second)
	duration(&o.CallTimeout, 50*time.Millisecond)
	duration(&o.HomeRetry, time.Second)
	duration(&o.RenewInterval, 250*time.Millisecond)
	duration(&o.RenewMax, 3*time.Second)
	number(&o.ControlBytes, 2200)
	duration(&o.OwnerTTL, 10*time.Second)
	duration(&o.PollInterval, 250*time.Millisecond)
	duration(&o.DownFor, 2*time.Second)
	number(&o.FairReserve, 2)
	number(&o.WaitReserve, 2)
	number(&o.QueueLimit, 2000)
	number(&o.ServerQueueLimit, 256)
	return o
}
