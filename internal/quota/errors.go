package quota

import (
	"fmt"
	"time"
)

// RefusedError reports a request that the workspace's rate does not allow now.
type RefusedError struct {
	Workspace string
	Tokens    int64
	// RetryAfter is the time in which the refill covers the missing tokens when nobody else takes them.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("rate of workspace %s does not allow %d tokens, retry after %v", e.Workspace, e.Tokens, e.RetryAfter)
}

// ExceedsBurstError reports a request that is larger than the whole burst, so that it can never be admitted.
type ExceedsBurstError struct {
	Workspace     string
	Tokens, Burst int64
}

// Error implements error.
func (e *ExceedsBurstError) Error() string {
	return fmt.Sprintf("%d tokens exceed the burst of %d of workspace %s", e.Tokens, e.Burst, e.Workspace)
}

// UnavailableError reports that this host cannot admit at all at the moment: it has no authority, no
// configuration, or is draining.
type UnavailableError struct {
	Workspace string
	Cause     error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("quota of workspace %s unavailable: %v", e.Workspace, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// DrainingError reports that the quota service hands back its grants and admits nothing more.
type DrainingError struct{}

// Error implements error.
func (e *DrainingError) Error() string { return "quota service is draining" }

// UnknownWorkspaceError reports a workspace that the installed configuration does not have.
type UnknownWorkspaceError struct {
	Workspace string
}

// Error implements error.
func (e *UnknownWorkspaceError) Error() string { return "unknown workspace " + e.Workspace }

// InvalidAmountError reports a reservation of a negative number of tokens.
type InvalidAmountError struct {
	Tokens int64
}

// Error implements error.
func (e *InvalidAmountError) Error() string {
	return fmt.Sprintf("invalid amount of %d tokens", e.Tokens)
}
