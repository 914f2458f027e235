// Package operatorapi is the HTTP API between the command-line tool and the daemons.
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

// ApplyRequest asks for a rules file to replace the one of the base generation.
type ApplyRequest struct {
	// BaseGeneration is the generation that the change was based on; zero for the first file.
	BaseGeneration uint64 `json:"base_generation"`
	Text           string `json:"text"`
}

// ApplyStatus is what became of an apply.
type ApplyStatus string

// Apply outcomes. StatusStored means accepted but not yet known to be in force on enough hosts.
// StatusUnknown means that the store's answer was lost and could not be read back.
const (
	StatusInForce ApplyStatus = "in-force"
	StatusStored  ApplyStatus = "stored"
	StatusUnknown ApplyStatus = "unknown"
)

// ApplyResult reports where a generation is in force.
type ApplyResult struct {
	Status     ApplyStatus   `json:"status"`
	Generation uint64        `json:"generation"`
	Hosts      []HostInForce `json:"hosts,omitempty"`
}

// HostInForce says whether a host has installed the applied generation.
type HostInForce struct {
	Name       string `json:"name"`
	Zone       string `json:"zone"`
	InForce    bool   `json:"in_force"`
	Generation uint64 `json:"generation"`
}

// Status is one daemon's view of the fleet.
type Status struct {
	Host     string `json:"host"`
	Zone     string `json:"zone"`
	Ready    bool   `json:"ready"`
	Draining bool   `json:"draining"`
	Epoch    uint64 `json:"epoch"`
	// Authority is what the right to admit rests on: lease, majority, zone, or none.
	Authority string `json:"authority"`
	// MajorityLost is set when at least half of the epoch's hosts are silent, so that the epoch cannot change.
	MajorityLost bool          `json:"majority_lost"`
	Generation   uint64        `json:"generation"`
	Freshness    time.Duration `json:"freshness_nanos"`
	OpenCalls    int           `json:"open_requests"`
	Hosts        []HostStatus  `json:"hosts"`
	Servers      []Server      `json:"servers"`
	Shares       []ZoneShare   `json:"shares"`
}

// HostStatus is what the reporting daemon knows of another host.
type HostStatus struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	Addr string `json:"addr"`
	// Reachable is false when nothing has arrived from the host for longer than the fence time.
	Reachable bool `json:"reachable"`
}

// Server is a backend server and what the placement knows of it.
type Server struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	Role  string `json:"role"`
	For   string `json:"for"`
	State string `json:"state"`
}

// ZoneShare is a zone's part of every workspace's bucket.
type ZoneShare struct {
	Zone  string  `json:"zone"`
	Share float64 `json:"share"`
}

// Charge is a charge record with the rule that it traces to.
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

// Backend is what the daemon provides to operators.
type Backend interface {
	// File returns the installed rules file.
	File(ctx context.Context) (File, error)
	// Apply stores a file and reports where it is in force. Errors: *Error with CodeInvalidFile, CodeRace or
	// CodeStoreUnavailable; nothing is stored then.
	Apply(ctx context.Context, r ApplyRequest) (ApplyResult, error)
	// Status returns this daemon's view.
	Status(ctx context.Context) (Status, error)
	// Charge finds the charge of a request; *Error with CodeNotFound when there is none.
	Charge(ctx context.Context, requestID string) (Charge, error)
	// Drain starts the drain of this daemon and returns at once.
	Drain(ctx context.Context) error
}
