// Package operatorapi implements the HTTP API between the command-line tool and the daemons: server, client and types.
package operatorapi

import (
	"context"
	"time"
)

// File is the installed rules file and its generation.
type File struct {
	Generation uint64 `json:"generation"`
	Text       string `json:"text"`
}

// ApplyRequest replaces the rules file of the base generation. It fails with CodeRace when another one is installed.
type ApplyRequest struct {
	// BaseGeneration is the generation that the change was based on; zero for the first file.
	BaseGeneration uint64 `json:"base_generation"`
	Text           string `json:"text"`
}

// ApplyStatus is the outcome of an apply that was not refused.
type ApplyStatus string

// Outcomes of an apply. StatusActive means that the file is the active configuration. StatusStored means accepted but
// not yet known to be active on enough hosts. StatusUnknown means that a response was lost and a later read could not
// determine whether the file was stored.
const (
	StatusActive  ApplyStatus = "in-force"
	StatusStored  ApplyStatus = "stored"
	StatusUnknown ApplyStatus = "unknown"
)

// ApplyResult reports the outcome of an apply and the hosts on which the generation is active.
type ApplyResult struct {
	Status     ApplyStatus      `json:"status"`
	Generation uint64           `json:"generation"`
	Hosts      []HostActivation `json:"hosts,omitempty"`
}

// HostActivation reports whether the applied generation is active on a host. Generation is the installed one.
type HostActivation struct {
	Name       string `json:"name"`
	Zone       string `json:"zone"`
	Active     bool   `json:"in_force"`
	Generation uint64 `json:"generation"`
}

// Status is the state of the fleet as seen by one daemon.
type Status struct {
	Host     string `json:"host"`
	Zone     string `json:"zone"`
	Ready    bool   `json:"ready"`
	Draining bool   `json:"draining"`
	Epoch    uint64 `json:"epoch"`
	// Authority is the basis on which the host may admit requests: lease, majority, zone, or none.
	Authority string `json:"authority"`
	// MajorityLost is set when at least half of the epoch's hosts are unreachable, so that the epoch cannot change.
	MajorityLost bool          `json:"majority_lost"`
	Generation   uint64        `json:"generation"`
	Freshness    time.Duration `json:"freshness_nanos"`
	OpenRequests int           `json:"open_requests"`
	Hosts        []HostStatus  `json:"hosts"`
	Servers      []Server      `json:"servers"`
	Shares       []ZoneShare   `json:"shares"`
}

// HostStatus is a host of the epoch as seen by the reporting daemon.
type HostStatus struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	Addr string `json:"addr"`
	// Reachable is false when no message has been received from the host for longer than the fencing time.
	Reachable bool `json:"reachable"`
}

// Server is a backend server as the installed rules describe it. ModelOrPool is the model or the pool that it serves.
type Server struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Role        string `json:"role"`
	ModelOrPool string `json:"for"`
	State       string `json:"state"`
}

// ZoneShare is the fraction of every workspace's token bucket that belongs to a zone. Evacuated is set while the backend servers of
// the zone get no new work.
type ZoneShare struct {
	Zone      string  `json:"zone"`
	Share     float64 `json:"share"`
	Evacuated bool    `json:"evacuated,omitempty"`
}

// Charge is the charge record of a request with the rule that caused it.
type Charge struct {
	RequestID    string    `json:"request_id"`
	Workspace    string    `json:"workspace"`
	KeyID        string    `json:"key_id"`
	Generation   uint64    `json:"generation"`
	RuleLine     int       `json:"rule_line"`
	RuleText     string    `json:"rule_text"`
	Who          string    `json:"who"`
	Why          string    `json:"why"`
	Route        string    `json:"route"`
	PromptTokens int64     `json:"prompt_tokens"`
	CachedTokens int64     `json:"cached_tokens"`
	OutputTokens int64     `json:"output_tokens"`
	CostTokens   int64     `json:"cost_tokens"`
	Outcome      string    `json:"outcome"`
	Finished     time.Time `json:"finished"`
}

// Backend implements the operations of the API. The daemon provides it to Handler.
type Backend interface {
	// File returns the installed rules file.
	File(ctx context.Context) (File, error)
	// Apply stores a file and reports the hosts on which it is active. Errors are *Error with CodeInvalidFile, CodeRace
	// or CodeStoreUnavailable; in these cases nothing is stored.
	Apply(ctx context.Context, r ApplyRequest) (ApplyResult, error)
	// Status returns the state of the fleet as seen by this daemon.
	Status(ctx context.Context) (Status, error)
	// Charge returns the charge of a request, or an *Error with CodeNotFound when there is none.
	Charge(ctx context.Context, requestID string) (Charge, error)
	// Drain starts the drain of this daemon and returns without waiting for its end.
	Drain(ctx context.Context) error
}
