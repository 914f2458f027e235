package charge

import "fmt"

// OverflowError reports that unwritten records use up the memory reserved for them. A request that would be charged
// must then be refused before it runs.
type OverflowError struct {
	// Bytes is the memory in use and Limit is Config.MaxPendingBytes.
	Bytes, Limit int
}

// Error implements error.
func (e *OverflowError) Error() string {
	return fmt.Sprintf("unwritten charge records take %d of %d bytes", e.Bytes, e.Limit)
}

// UnwrittenError reports that a flush ended before all records and copies were in the store.
type UnwrittenError struct {
	// Records counts the unwritten records of this host, Copies the unwritten batches held for other hosts.
	Records, Copies int
	Cause           error
}

// Error implements error.
func (e *UnwrittenError) Error() string {
	return fmt.Sprintf("%d charge records and %d copied batches are not written: %v", e.Records, e.Copies, e.Cause)
}

// Unwrap returns the cause.
func (e *UnwrittenError) Unwrap() error { return e.Cause }

// RequestIDError reports a request id that does not have the format of NewRequestID.
type RequestIDError struct {
	RequestID string
}

// Error implements error.
func (e *RequestIDError) Error() string { return fmt.Sprintf("malformed request id %q", e.RequestID) }

// NotFoundError reports that no charge record of the request was found, neither in this host's memory nor in the stored
// batches that were searched. Host is the host on which the request began; it may still hold the record in memory.
type NotFoundError struct {
	RequestID, Host string
	// Batches is the number of stored batches that were searched.
	Batches int
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no charge record of request %s in %d stored batches of host %s; the request did not run, or its record is not written yet",
		e.RequestID, e.Batches, e.Host)
}

// StoreResponseError reports an inconsistent response to a transaction: no condition failed, yet the store did not
// apply it.
type StoreResponseError struct {
	Keys int
}

// Error implements error.
func (e *StoreResponseError) Error() string {
	return fmt.Sprintf("store rejected a transaction of %d charge batches although all keys were absent", e.Keys)
}

// CorruptBatchError reports a stored batch that cannot be decoded.
type CorruptBatchError struct {
	Cause error
}

// Error implements error.
func (e *CorruptBatchError) Error() string { return fmt.Sprintf("corrupt charge batch: %v", e.Cause) }

// Unwrap returns the cause.
func (e *CorruptBatchError) Unwrap() error { return e.Cause }
