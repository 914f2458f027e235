package membership

import (
	"errors"
	"fmt"
	"time"
)

// NoAuthorityError reports that this host may not admit requests against the quota at the time of the call.
type NoAuthorityError struct {
	// InEpoch is false when the newest known epoch does not contain this host.
	InEpoch bool
	// Leaving is set once the host has started to leave the epoch.
	Leaving bool
	// LostFor is how long neither the lease nor the majority condition has held, or zero if neither ever held.
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
		return fmt.Sprintf("no authority to admit: no valid lease or majority contact for %v, zone condition not met",
			e.LostFor)
	}
}

// RecordError reports a membership record that cannot be encoded, or whose stored value is malformed or invalid. Key is
// the store key of the record.
type RecordError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *RecordError) Error() string { return fmt.Sprintf("record %s: %v", e.Key, e.Cause) }

// Unwrap returns the encoding, decoding or validation error.
func (e *RecordError) Unwrap() error { return e.Cause }

// errRecordFormat is the cause of a RecordError when a record can be decoded but fails isValid.
var errRecordFormat = errors.New("epoch number is 0, or a host lacks a name, address or zone, or is listed twice")

// LeaveError reports that the host could not remove itself from the epoch or end its registration. The other hosts
// exclude it from the epoch once they have proof that it has stopped.
type LeaveError struct {
	Epoch uint64
	Cause error
}

// Error implements error.
func (e *LeaveError) Error() string { return fmt.Sprintf("leave epoch %d: %v", e.Epoch, e.Cause) }

// Unwrap returns the error of the context or of the store.
func (e *LeaveError) Unwrap() error { return e.Cause }

// SettingError reports a field of Timing that is out of range.
type SettingError struct {
	Name, Expected string
}

// Error implements error.
func (e *SettingError) Error() string {
	return fmt.Sprintf("membership setting %s: expected %s", e.Name, e.Expected)
}
