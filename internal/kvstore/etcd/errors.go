package etcd

import "fmt"

// ValueTooLargeError reports a value above MaxValue. It is the cause of an *UnavailableError, since nothing was sent.
type ValueTooLargeError struct {
	Key         string
	Size, Limit int
}

func (e *ValueTooLargeError) Error() string {
	return fmt.Sprintf("value of %s has %d bytes, limit %d", e.Key, e.Size, e.Limit)
}

// WatchCanceledError reports a watch that was canceled by the store.
type WatchCanceledError struct {
	Reason string
	// CompactRevision is the store's oldest revision if the watch was to start at a compacted one, else zero.
	CompactRevision int64
}

func (e *WatchCanceledError) Error() string {
	return fmt.Sprintf("watch canceled by the store: %s (compact revision %d)", e.Reason, e.CompactRevision)
}

// EndpointsError reports that no store address was given or that the gRPC client could not be created.
type EndpointsError struct {
	Cause error
}

func (e *EndpointsError) Error() string {
	return fmt.Sprintf("store endpoints cannot be used: %v", e.Cause)
}

func (e *EndpointsError) Unwrap() error { return e.Cause }
