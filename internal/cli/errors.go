package cli

import "fmt"

// declinedError reports that the operator did not confirm the change.
type declinedError struct{}

// Error implements error.
func (*declinedError) Error() string { return "not confirmed; nothing was changed" }

// unknownApplyError reports an apply whose outcome could not be determined.
type unknownApplyError struct{}

// Error implements error.
func (*unknownApplyError) Error() string {
	return "the change may or may not have been accepted; run get or diff once the store is reachable"
}

// notActiveError reports an accepted change that is not yet known to be active on every host.
type notActiveError struct {
	Generation uint64
}

// Error implements error.
func (e *notActiveError) Error() string {
	return fmt.Sprintf("generation %d is stored and not yet in force everywhere; hosts that lack it install it as soon as they reach the store or a peer", e.Generation)
}

// noSuchKeyError reports a withdrawal of a key that is not in the rules.
type noSuchKeyError struct {
	Workspace, ID string
}

// Error implements error.
func (e *noSuchKeyError) Error() string {
	return fmt.Sprintf("workspace %s has no key %s", e.Workspace, e.ID)
}
