package membership

import (
	"errors"
	"fmt"
	"time"
)

// NoAuthorityError reports that this host may not admit against the quota at present.
type NoAuthorityError struct {
	// InEpoch is false when the newest known epoch does not contain this host.
	InEpoch bool
	// Leaving is set once the host has started to leave the epoch.
	Leaving bool
	// LostFor is the time since the last of the lease and the majority contact was lost, or zero if the host
	// never had either.
	LostFor time.Duration
}

// Error implements error.
func (e *NoAuthorityError) Error() string {
	switch {
	case e.Leaving:
		return "no authority to admit: the host is leaving the epoch"
	case !e.InEpoch:
		return "no authority to admit: the host is not in the epoch"
	default:
		return fmt.Sprintf("no authority to admit: no lease, majority or zone contact, lost for %v", e.LostFor)
	}
}

// RecordError reports a stored membership record that cannot be decoded.
type RecordError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *RecordError) Error() string { return fmt.Sprintf("decode %s: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// errRecordFormat is a cause of a RecordError.
var errRecordFormat = errors.New("no number, or hosts without a name, an address or a zone, or twice")

// LeaveError reports that the host could not remove itself from the epoch. The other hosts exclude it once
// they have proof that it stopped.
type LeaveError struct {
	Epoch uint64
	Cause error
}

// Error implements error.
func (e *LeaveError) Error() string { return fmt.Sprintf("leave epoch %d: %v", e.Epoch, e.Cause) }

// Unwrap returns the cause.
func (e *LeaveError) Unwrap() error { return e.Cause }

// SettingError reports a timing value that cannot work.
type SettingError struct {
	Name, Expected string
}

// Error implements error.
func (e *SettingError) Error() string {
	return fmt.Sprintf("membership setting %s: expected %s", e.Name, e.Expected)
}
