package claim

import (
	"fmt"

	"github.com/boragecourse/boragecourse/internal/outcome"
)

// ReusedKeyError reports an idempotency key that an earlier call with another digest used.
type ReusedKeyError struct {
	Workspace, IdempotencyKey string
}

// Error implements error.
func (e *ReusedKeyError) Error() string {
	return fmt.Sprintf("idempotency key %q of workspace %s was used for another request", e.IdempotencyKey, e.Workspace)
}

// Outcome returns not-run: only the earlier request, which has another digest, can have run.
func (e *ReusedKeyError) Outcome() outcome.Outcome { return outcome.NotRun }

// InProgressError reports that another attempt holds the claim and its call has not ended.
type InProgressError struct {
	Workspace, IdempotencyKey string
	// Host and Attempt hold the claim.
	Host, Attempt string
}

// Error implements error.
func (e *InProgressError) Error() string {
	return fmt.Sprintf("call with idempotency key %q of workspace %s is in progress on host %s (attempt %s)",
		e.IdempotencyKey, e.Workspace, e.Host, e.Attempt)
}

// Outcome returns unknown: this attempt was not dispatched, but the call of the key may be running.
func (e *InProgressError) Outcome() outcome.Outcome { return outcome.Unknown }

// UnknownOutcomeError reports that an earlier attempt may have run the call and that its response cannot be determined.
type UnknownOutcomeError struct {
	Workspace, IdempotencyKey string
	// Host and Attempt hold the claim.
	Host, Attempt string
	Reason        string
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of the call with idempotency key %q of workspace %s is unknown (host %s, attempt %s): %s",
		e.IdempotencyKey, e.Workspace, e.Host, e.Attempt, e.Reason)
}

// Outcome returns unknown: the earlier attempt may have run the call.
func (e *UnknownOutcomeError) Outcome() outcome.Outcome { return outcome.Unknown }

// ResponseTooLargeError reports that the call ran earlier and that its response was too large to be recorded.
type ResponseTooLargeError struct {
	Workspace, IdempotencyKey string
}

// Error implements error.
func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("call with idempotency key %q of workspace %s ran earlier; its response was too large to replay",
		e.IdempotencyKey, e.Workspace)
}

// Outcome returns ran: the earlier attempt ran the call.
func (e *ResponseTooLargeError) Outcome() outcome.Outcome { return outcome.Ran }

// UnavailableError reports that a claim could not be created, released or flushed: the store is unreachable, or a limit
// of this host is reached. When Claim returns it, the attempt was not dispatched and never will be.
type UnavailableError struct {
	Op    string
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("claim %s unavailable: %v", e.Op, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// Outcome returns not-run: Claim, GiveUp and NotRun return this error only for attempts that did not run the call.
func (e *UnavailableError) Outcome() outcome.Outcome { return outcome.NotRun }

// GivenUpError reports that the attempt was given up before its call was sent.
type GivenUpError struct {
	Attempt, Reason string
}

// Error implements error.
func (e *GivenUpError) Error() string {
	return fmt.Sprintf("attempt %s was given up: %s", e.Attempt, e.Reason)
}

// Outcome returns not-run: the call was not sent.
func (e *GivenUpError) Outcome() outcome.Outcome { return outcome.NotRun }

// UnrecordedError reports that a final state is not in the store yet. This host keeps it in memory and retries the
// write.
type UnrecordedError struct {
	Attempt string
	Cause   error
}

// Error implements error.
func (e *UnrecordedError) Error() string {
	return fmt.Sprintf("final state of attempt %s is not recorded yet: %v", e.Attempt, e.Cause)
}

// Unwrap returns the cause.
func (e *UnrecordedError) Unwrap() error { return e.Cause }

// OrderError reports a ticket call that does not fit the attempt's phase, such as Done before Dispatching.
type OrderError struct {
	Attempt string
	Phase   Phase
	Call    string
}

// Error implements error.
func (e *OrderError) Error() string {
	return fmt.Sprintf("%s is not possible for attempt %s in phase %s", e.Call, e.Attempt, e.Phase)
}

// OverloadError reports that a limit of this host prevents another claim.
type OverloadError struct {
	What  string
	Limit int
}

// Error implements error.
func (e *OverloadError) Error() string { return fmt.Sprintf("limit of %d %s reached", e.Limit, e.What) }

// StoreResponseError reports an inconsistent response to a transaction: no condition failed, yet the store did not
// apply it.
type StoreResponseError struct {
	Keys int
}

// Error implements error.
func (e *StoreResponseError) Error() string {
	return fmt.Sprintf("store rejected a transaction of %d keys although all conditions held", e.Keys)
}
