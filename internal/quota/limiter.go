// Package quota holds each workspace to its rate and burst across all hosts. Each zone has a share of the
// bucket, one home host per workspace and zone keeps it, and other hosts draw grants of tokens from it.
package quota

import "context"

// Limiter admits requests against workspaces' token buckets. It is safe for concurrent use.
type Limiter interface {
	// Reserve takes tokens of the workspace's bucket: the prompt plus the largest possible output.
	// It returns *RefusedError when the rate does not allow it, and *UnavailableError when this host has no
	// authority to admit. Nothing is taken when an error is returned.
	Reserve(ctx context.Context, workspace string, tokens int64) (Reservation, error)
}

// Reservation is an admitted amount of tokens. Its methods are safe for concurrent use.
type Reservation interface {
	// Use marks tokens as consumed; they can no longer be returned. Amounts over the reservation are
	// counted as far as it reaches, since the request was admitted for no more.
	Use(tokens int64)
	// Close returns what was not used. It may be called repeatedly.
	Close()
}
