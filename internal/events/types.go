package events

import "github.com/boragecourse/boragecourse/internal/host"

// Event is a payload type with its own topic. Subscribe calls Topic on the zero value, so the topic must be constant.
type Event interface {
	Topic() string
}

// SnapshotInstalled is published when a configuration snapshot has become the active one on this host.
type SnapshotInstalled struct {
	Generation uint64 `json:"generation"`
}

// Topic implements Event.
func (SnapshotInstalled) Topic() string { return "snapshot_installed" }

// EpochChanged is published when this host has received a new epoch.
type EpochChanged struct {
	Number uint64 `json:"number"`
}

// Topic implements Event.
func (EpochChanged) Topic() string { return "epoch_changed" }

// HostExcluded is published for each host that has left the epoch. A host is removed from the epoch only when it can no
// longer serve requests.
type HostExcluded struct {
	Host host.ID `json:"host"`
	// Epoch is the number of the first epoch without the host.
	Epoch uint64 `json:"epoch"`
}

// Topic implements Event.
func (HostExcluded) Topic() string { return "host_excluded" }

// Draining is published when the drain of this host starts.
type Draining struct {
	Reason string `json:"reason"`
}

// Topic implements Event.
func (Draining) Topic() string { return "draining" }
