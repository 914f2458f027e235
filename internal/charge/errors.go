package charge

import "fmt"

// OverflowError reports that unwritten records fill the memory set aside for them. A request that would be charged
// must then be refused before it runs.
type OverflowError struct {
	// Bytes are in use, of Limit.
	Bytes, Limit int
}

// Error implements error.
func (e *OverflowError) Error() string {
	return fmt.Sprintf("unwritten charge records take %d of %d bytes", e.Bytes, e.Limit)
}

// UnwrittenError reports records that were not in the store at the end of a flush.
type UnwrittenError struct {
	// Records of this host; Copies are batches kept for other hosts.
	Records, Copies int
	Cause           error
}

// Error implements error.
func (e *UnwrittenError) Error() string {
	return fmt.Sprintf("%d charge records and %d copied batches are not written: %v", e.Records, e.Copies, e.Cause)
}

// Unwrap returns the cause.
func (e *UnwrittenError) Unwrap() error { return e.Cause }

// RequestIDError reports a request id that this fleet did not make.
type RequestIDError struct {
	RequestID string
}

// Error implements error.
func (e *RequestIDError) Error() string { return fmt.Sprintf("malformed request id %q", e.RequestID) }

// NotFoundError reports that no charge record of the request was found. Host may still hold it unwritten.
type NotFoundError struct {
	RequestID, Host string
	// Batches were searched in the store.
	Batches int
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no charge record of request %s in %d stored batches of host %s; the request did not run, or its record is not written yet",
		e.RequestID, e.Batches, e.Host)
}

// StoreAnswerError reports a transaction answer that contradicts itself: no condition failed, yet nothing was done.
type StoreAnswerError struct {
	Keys int
}

// Error implements error.
func (e *StoreAnswerError) Error() string {
	return fmt.Sprintf("store refused a transaction of %d charge batches although all keys were absent", e.Keys)
}

// CorruptBatchError reports a stored batch that cannot be decoded.
type CorruptBatchError struct {
	Cause error
}

// Error implements error.
func (e *CorruptBatchError) Error() string { return fmt.Sprintf("corrupt charge batch: %v", e.Cause) }

// Unwrap returns the cause.
func (e *CorruptBatchError) Unwrap() error { return e.Cause }
