package events

import "github.com/boragecourse/boragecourse/internal/host"

// Event is a payload type with its own topic. The topic is asked of the zero value, so it must be constant.
type Event interface {
	Topic() string
}

// SnapshotInstalled says that a configuration snapshot is in force on this host.
type SnapshotInstalled struct {
	Generation uint64 `json:"generation"`
}

// Topic implements Event.
func (SnapshotInstalled) Topic() string { return "snapshot_installed" }

// EpochChanged says that this host knows a new epoch.
type EpochChanged struct {
	Number uint64 `json:"number"`
}

// Topic implements Event.
func (EpochChanged) Topic() string { return "epoch_changed" }

// HostExcluded says that a host has provably stopped and has left the epoch.
type HostExcluded struct {
	Host host.ID `json:"host"`
	// Epoch is the first one without the host.
	Epoch uint64 `json:"epoch"`
}

// Topic implements Event.
func (HostExcluded) Topic() string { return "host_excluded" }

// Draining says that this host takes no new requests.
type Draining struct {
	Reason string `json:"reason"`
}

// Topic implements Event.
func (Draining) Topic() string { return "draining" }
