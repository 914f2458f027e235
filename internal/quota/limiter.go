// Package quota limits each workspace to its token rate and burst across all hosts. The bucket of a workspace is
// divided into one share per availability zone. Within a zone, rendezvous hashing assigns the share to one host,
// its home host. Other hosts borrow tokens from home hosts: a grant is an amount of tokens with a term, and a grant
// from another zone's home host is a loan.
package quota

import "context"

// Limiter admits requests against workspaces' token buckets. It is safe for concurrent use.
type Limiter interface {
	// Reserve takes tokens from the workspace's bucket: the prompt plus the largest possible output. It returns
	// *RefusedError when the rate does not allow them, *ExceedsBurstError when they are more than the burst, and
	// *UnavailableError when this host may not admit requests. Nothing is taken when an error is returned.
	Reserve(ctx context.Context, workspace string, tokens int64) (Reservation, error)
}

// Reservation is an admitted amount of tokens. Its methods are safe for concurrent use.
type Reservation interface {
	// Use marks tokens as consumed, so that Close no longer returns them. If tokens exceeds the reservation, only the
	// reserved tokens count, since the request was admitted for no more.
	Use(tokens int64)
	// Close returns the unused tokens to the bucket. It may be called repeatedly.
	Close()
}
