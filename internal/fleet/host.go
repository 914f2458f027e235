package fleet

import "time"

// HostSettings is what the platform tells one process about its machine and about the fleet's agreed limits.
type HostSettings struct {
	// Name is unique among the fleet's hosts on a day; a replacement has another one.
	Name string
	Zone string
	// FirstStart is set when the whole fleet starts for the first time, so that no process ran before.
	FirstStart bool
	// Callers, Readiness and Peers are the addresses to listen on, ip:port.
	Callers, Readiness, Peers string
	// Metrics is the address of the metrics page, ip:port.
	Metrics string
	// Seeds are peer addresses of a few hosts. They may be out of date.
	Seeds []string
	// Store is the address of the platform's key-value service.
	Store string

	MemoryBytes int64
	Limits      OperatingLimits
}

// OperatingLimits are the fleet-wide time limits and allowances that the platform sets.
type OperatingLimits struct {
	// ShutdownGrace is the time between SIGTERM and SIGKILL.
	ShutdownGrace time.Duration
	// ConfigApply is the time in which an accepted configuration must be in force.
	ConfigApply time.Duration
	// DrainNotice is the time in which a leaving backend server must get no more work.
	DrainNotice time.Duration
	// CommandHandover is the least time between commands of two hosts to one backend server.
	CommandHandover time.Duration
	// Retry is the allowance for sends beyond the first of each request.
	Retry RetryLimits
	// Quota is the tolerance of the workspaces' rates.
	Quota QuotaLimits
}

// RetryLimits bound the repeated sends of a service in any window, over all hosts together.
type RetryLimits struct {
	Window time.Duration
	// Ratio is the allowance per request; Minimum is added to it.
	Ratio   float64
	Minimum int
}

// QuotaLimits say how far a workspace may exceed its rate in any window, over all hosts together.
type QuotaLimits struct {
	Window time.Duration
	// Ratio is the part of rate and burst that may be exceeded; Slack is added to it, in tokens.
	Ratio float64
	Slack int64
}
