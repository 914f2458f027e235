// Package claim makes a non-repeatable call with an idempotency key run at most once across all hosts. A claim
// in the store precedes the dispatch of the call.
package claim

import (
	"context"
	"crypto/sha256"
)

// Call identifies a non-repeatable call.
type Call struct {
	Workspace      string
	IdempotencyKey string
	// Digest is the SHA-256 of method, path and body; another digest under the same key is refused.
	Digest [sha256.Size]byte
	// Attempt is unique for this try.
	Attempt string
}

// Answer is the recorded answer of a call.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Service grants claims. It is safe for concurrent use.
type Service interface {
	// Claim returns a Ticket when this host may dispatch the call, or the recorded answer of an earlier
	// attempt. Errors are *ReusedKeyError, *InProgressError, *UnknownOutcomeError, *TooLargeError,
	// *GivenUpError, *OrderError and *UnavailableError; the call must not be dispatched then.
	Claim(ctx context.Context, c Call) (Ticket, *Answer, error)
}

// Ticket is the right to dispatch one call once.
type Ticket interface {
	// Dispatching marks the call as sent. It fails when the attempt was given up to another host in between;
	// the call must not be sent then.
	Dispatching() error
	// Done records the answer.
	Done(ctx context.Context, a Answer) error
	// GiveUp ends an attempt whose call was not sent and never will be. After Dispatching it returns an *OrderError
	// and changes nothing; the caller then uses NotRun, Unknown or Done.
	GiveUp(ctx context.Context) error
	// NotRun gives up a dispatched call that certainly had no effect and will not be sent again: no backend server
	// accepted a connection, or each one that did answered that it did not run the call. The claim is released, and
	// a later attempt with the key runs. A call of which a server may have acted on one byte ends with Unknown
	// instead. It returns an *OrderError before Dispatching and after Done, Unknown or NotRun. After an
	// *UnavailableError the attempt is given up all the same; the store may still hold the claim, which other hosts
	// resolve by asking this one.
	NotRun(ctx context.Context) error
	// Unknown records that the call may have run and has no answer.
	Unknown(ctx context.Context) error
}
