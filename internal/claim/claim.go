// Package claim ensures that a non-idempotent call with an idempotency key runs at most once across all hosts. A host
// dispatches the call only after it has created or taken over the key's claim in the store by compare-and-swap.
package claim

import (
	"context"
	"crypto/sha256"
)

// Call identifies one attempt at a non-idempotent call.
type Call struct {
	Workspace      string
	IdempotencyKey string
	// Digest is the SHA-256 of method, path and body. A call with the same key and another digest is refused.
	Digest [sha256.Size]byte
	// Attempt is unique across all attempts of all hosts.
	Attempt string
}

// Response is the response of a call as it is recorded for replay to later attempts.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Service grants claims. It is safe for concurrent use.
type Service interface {
	// Claim returns a Ticket if this host may dispatch the call, or the recorded response of an earlier attempt.
	// Errors are *ReusedKeyError, *InProgressError, *UnknownOutcomeError, *ResponseTooLargeError, *GivenUpError,
	// *OrderError and *UnavailableError; after any of them the call must not be dispatched.
	Claim(ctx context.Context, c Call) (Ticket, *Response, error)
}

// Ticket permits one dispatch of one call and records how the call ended.
type Ticket interface {
	// Dispatching marks the call as sent. It fails if the attempt was given up to another host or the dispatch limit
	// has passed; the call must not be sent then.
	Dispatching() error
	// Done records the response.
	Done(ctx context.Context, a Response) error
	// GiveUp ends an attempt whose call was not sent and never will be. After Dispatching it returns an *OrderError
	// and changes nothing; use NotRun, Unknown or Done there.
	GiveUp(ctx context.Context) error
	// NotRun gives up a dispatched call that had no effect and will not be sent again: no backend server accepted a
	// connection, or each server that did responded that it had not run the call. It releases the claim, so that a
	// later attempt with the key can run. If a server may have processed any byte of the call, use Unknown instead.
	// It returns an *OrderError before Dispatching and after Done, Unknown or NotRun. After an *UnavailableError the
	// attempt is given up too, but the store may still hold the claim; other hosts then learn from this host that
	// the attempt was given up.
	NotRun(ctx context.Context) error
	// Unknown records that the call may have run and that its response is not known.
	Unknown(ctx context.Context) error
}
