package quota

import (
	"fmt"
	"time"
)

// RefusedError reports that the workspace's rate does not allow a request now.
type RefusedError struct {
	Workspace string
	Tokens    int64
	// RetryAfter is the time in which the refill covers the missing tokens if no other request takes them.
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("rate limit of workspace %s does not allow %d tokens now, retry after %v",
		e.Workspace, e.Tokens, e.RetryAfter)
}

// ExceedsBurstError reports a request for more tokens than the workspace's burst. It can never be admitted.
type ExceedsBurstError struct {
	Workspace     string
	Tokens, Burst int64
}

func (e *ExceedsBurstError) Error() string {
	return fmt.Sprintf("%d tokens exceed the burst of %d tokens of workspace %s", e.Tokens, e.Burst, e.Workspace)
}

// UnavailableError reports that this host cannot admit requests now. Cause is the error of Viewer.CheckAuthority,
// *UnknownWorkspaceError (also while no configuration is active), *DrainingError, or the error of the caller's context.
type UnavailableError struct {
	Workspace string
	Cause     error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("quota of workspace %s unavailable: %v", e.Workspace, e.Cause)
}

func (e *UnavailableError) Unwrap() error { return e.Cause }

// DrainingError reports that the quota service is draining: it returns its grants and admits no requests.
type DrainingError struct{}

func (e *DrainingError) Error() string { return "quota service is draining" }

// UnknownWorkspaceError reports a workspace that is not in the active configuration.
type UnknownWorkspaceError struct {
	Workspace string
}

func (e *UnknownWorkspaceError) Error() string { return "unknown workspace " + e.Workspace }

// InvalidAmountError reports a reservation of a negative number of tokens.
type InvalidAmountError struct {
	Tokens int64
}

func (e *InvalidAmountError) Error() string {
	return fmt.Sprintf("invalid reservation of %d tokens: amount is negative", e.Tokens)
}
