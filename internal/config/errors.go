package config

import (
	"errors"
	"fmt"
	"time"
)

// StaleError reports that the configuration was not confirmed recently enough to serve keyed requests of the
// workspace.
type StaleError struct {
	Workspace string
	// Age of the last confirmation; negative when there was none.
	Age time.Duration
}

// Error implements error.
func (e *StaleError) Error() string {
	if e.Age < 0 {
		return fmt.Sprintf("configuration never confirmed, keyed requests of workspace %s are refused", e.Workspace)
	}
	return fmt.Sprintf("configuration last confirmed %s ago, keyed requests of workspace %s are refused", e.Age, e.Workspace)
}

// ConflictError reports that another change was accepted since the base of this one. Nothing was applied.
type ConflictError struct {
	// Base is the generation that the refused change was based on.
	Base uint64
	// Winner is the head in force instead.
	Winner Head
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("change is based on generation %d, but generation %d (index %s) was accepted",
		e.Base, e.Winner.Generation, e.Winner.Index)
}

// NotStoredError reports that a change certainly was not accepted because the store did not take it.
type NotStoredError struct {
	Cause error
}

// Error implements error.
func (e *NotStoredError) Error() string {
	return fmt.Sprintf("configuration was not stored: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NotStoredError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports that the answer to the commit was lost and could not be resolved by reading the
// head. The change may or may not be accepted.
type UnknownOutcomeError struct {
	// Head is what the commit would have made current.
	Head  Head
	Cause error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of the change to generation %d is unknown: %v", e.Head.Generation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// StoreBehindError reports that the store's head is older than one that was accepted before, which means that
// the store lost data. Nothing is applied, since the generation would fall.
type StoreBehindError struct {
	Stored, Known uint64
}

// Error implements error.
func (e *StoreBehindError) Error() string {
	return fmt.Sprintf("the store's generation %d is behind the accepted generation %d", e.Stored, e.Known)
}

// CorruptError reports stored data that cannot be read.
type CorruptError struct {
	// What names the record.
	What  string
	Cause error
}

// Error implements error.
func (e *CorruptError) Error() string { return fmt.Sprintf("corrupt %s: %v", e.What, e.Cause) }

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Cause }

// MissingBlobsError reports chunks or an index that neither the peers nor the store gave.
type MissingBlobsError struct {
	Generation uint64
	Count      int
	// Cause is the store's last error, if any.
	Cause error
}

// Error implements error.
func (e *MissingBlobsError) Error() string {
	return fmt.Sprintf("%d chunks of generation %d are missing: %v", e.Count, e.Generation, e.Cause)
}

// Unwrap returns the cause.
func (e *MissingBlobsError) Unwrap() error { return e.Cause }

// Causes of a CorruptError.
var (
	errHashMismatch = errors.New("content does not match its hash")
	errIndexFormat  = errors.New("index is no list of hashes")
	errHeadFormat   = errors.New("generation or index hash is missing")
	errChunkEnd     = errors.New("chunk ends within a line")
	errAbsent       = errors.New("not in the store")
	errTooLarge     = errors.New("index exceeds the platform's limit for a value")
)

// errEpochChanges is a cause of a NotStoredError.
var errEpochChanges = errors.New("the epoch changed during each attempt")
