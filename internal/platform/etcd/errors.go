package etcd

import "fmt"

// ValueTooLargeError reports a value above the platform's limit. It is the cause of an *UnavailableError,
// since nothing was sent.
type ValueTooLargeError struct {
	Key         string
	Size, Limit int
}

// Error implements error.
func (e *ValueTooLargeError) Error() string {
	return fmt.Sprintf("value of %s has %d bytes, limit %d", e.Key, e.Size, e.Limit)
}

// WatchCanceledError reports a watch that the store ended.
type WatchCanceledError struct {
	Reason string
	// CompactRevision is set when the store no longer has the events that the watch should start with.
	CompactRevision int64
}

// Error implements error.
func (e *WatchCanceledError) Error() string {
	return fmt.Sprintf("watch canceled by the store: %s (compact revision %d)", e.Reason, e.CompactRevision)
}

// EndpointsError reports that no store address was given or that the client could not be set up.
type EndpointsError struct {
	Cause error
}

// Error implements error.
func (e *EndpointsError) Error() string { return fmt.Sprintf("store endpoints: %v", e.Cause) }

// Unwrap returns the cause.
func (e *EndpointsError) Unwrap() error { return e.Cause }
