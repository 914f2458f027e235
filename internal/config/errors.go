package config

import (
	"errors"
	"fmt"
	"time"
)

// StaleError reports that the last confirmation of the configuration is too old to serve keyed requests of the
// workspace.
type StaleError struct {
	Workspace string
	// Age of the last confirmation; negative if the configuration was never confirmed.
	Age time.Duration
}

// Error implements error.
func (e *StaleError) Error() string {
	if e.Age < 0 {
		return fmt.Sprintf("configuration never confirmed, keyed requests of workspace %s are refused", e.Workspace)
	}
	return fmt.Sprintf("configuration last confirmed %s ago, keyed requests of workspace %s are refused", e.Age, e.Workspace)
}

// ConflictError reports that another change was accepted after the base generation of this one. Nothing was stored.
type ConflictError struct {
	// Base is the generation that the refused change was based on.
	Base uint64
	// Accepted is the head that was accepted instead.
	Accepted Head
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("change is based on generation %d, but generation %d (index %s) was accepted",
		e.Base, e.Accepted.Generation, e.Accepted.Index)
}

// NotStoredError reports that the store did not write a change. The change is certain not to be accepted.
type NotStoredError struct {
	Cause error
}

// Error implements error.
func (e *NotStoredError) Error() string {
	return fmt.Sprintf("configuration was not stored: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NotStoredError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports that the store's response to the commit was lost and that repeating the commit did
// not resolve the outcome. The change may or may not have been accepted.
type UnknownOutcomeError struct {
	// Head is the head that the commit tried to write.
	Head  Head
	Cause error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of the change to generation %d is unknown: %v", e.Head.Generation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// StoreBehindError reports that the store's head is older than a head that was already accepted, which means that
// the store lost data. Nothing is stored, because the generation would decrease.
type StoreBehindError struct {
	Stored, Known uint64
}

// Error implements error.
func (e *StoreBehindError) Error() string {
	return fmt.Sprintf("the store's generation %d is behind the accepted generation %d", e.Stored, e.Known)
}

// CorruptError reports a configuration record that is malformed, does not match its hash or cannot be used.
type CorruptError struct {
	// What names the record, for example "head" or "chunk" with its hash.
	What  string
	Cause error
}

// Error implements error.
func (e *CorruptError) Error() string { return fmt.Sprintf("corrupt %s: %v", e.What, e.Cause) }

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Cause }

// MissingBlobsError reports chunks or an index that could not be fetched from the peers or the store.
type MissingBlobsError struct {
	Generation uint64
	Count      int
	// Cause is the store's error, if any.
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
	errIndexFormat  = errors.New("index is not a list of hashes")
	errHeadFormat   = errors.New("generation or index hash is missing")
	errChunkEnd     = errors.New("chunk ends within a line")
	errAbsent       = errors.New("not in the store")
	errTooLarge     = errors.New("index exceeds the platform's limit for a value")
)

// errEpochChanges is joined into the cause of a NotStoredError.
var errEpochChanges = errors.New("the epoch changed during each attempt")
