package fleet

import "time"

// HostSettings are the settings that the platform passes to a process: those of its machine and the fleet-wide limits.
type HostSettings struct {
	// Name is unique in the fleet and is not reused within a day. A replacement host gets a new name.
	Name string
	Zone string
	// FirstStart is set when the whole fleet starts for the first time, so that no earlier process can have run.
	FirstStart bool
	// Callers, Readiness and Peers are the addresses to listen on, ip:port.
	Callers, Readiness, Peers string
	// Metrics is the address of the metrics page, ip:port.
	Metrics string
	// Seeds are the peer addresses of some other hosts, used for discovery. They may be outdated.
	Seeds []string
	// Store is the address of the platform's key-value service.
	Store string

	MemoryBytes int64
	// BoundBufferedBytes is set where callers and backend servers may read so slowly that the bytes held for them have to be
	// bounded.
	BoundBufferedBytes bool
	// LinkMbps is the bandwidth of the host's network link, in Mbit/s.
	LinkMbps float64
	Limits   OperatingLimits
}

// OperatingLimits are the fleet-wide time limits and budgets that the platform sets.
type OperatingLimits struct {
	// ShutdownGrace is the time between SIGTERM and SIGKILL.
	ShutdownGrace time.Duration
	// ConfigApply is the time within which an accepted configuration must be active.
	ConfigApply time.Duration
	// DrainNotice is the time within which hosts must stop sending work to a draining backend server.
	DrainNotice time.Duration
	// CommandHandover is the minimum time between the commands of two different hosts to one backend server.
	CommandHandover time.Duration
	// Retry is the budget for attempts beyond the first one of each request.
	Retry RetryLimits
	// Quota is the tolerance by which workspaces may exceed their rates.
	Quota QuotaLimits
	// Evacuation is the time within which hosts must stop sending to the backend servers of an evacuated zone; zero where
	// zones are not evacuated.
	Evacuation time.Duration
	// Cold is the tolerance of cold backend servers.
	Cold ColdLimits
}

// ColdLimits bound the requests that a cold backend server gets in any second, summed over all hosts: Ratio times the rate
// that its service states, plus Slack.
type ColdLimits struct {
	Ratio, Slack float64
}

// RetryLimits bound the retries of a service in any window, summed over all hosts.
type RetryLimits struct {
	Window time.Duration
	// A window may contain Ratio retries per request in it, plus Minimum retries.
	Ratio   float64
	Minimum int
}

// QuotaLimits bound how far a workspace may exceed its rate in any window, summed over all hosts.
type QuotaLimits struct {
	Window time.Duration
	// Ratio is the permitted excess as a fraction of the tokens that rate and burst allow in the window. Slack is a
	// further permitted excess, in tokens.
	Ratio float64
	Slack int64
}
