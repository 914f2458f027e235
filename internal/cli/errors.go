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

// evacuationError reports an evacuation that is in force already, or the end of one that is not.
type evacuationError struct {
	Zone    string
	InForce bool
}

// Error implements error.
func (e *evacuationError) Error() string {
	if e.InForce {
		return fmt.Sprintf("zone %s is evacuated already", e.Zone)
	}
	return fmt.Sprintf("zone %s is not evacuated", e.Zone)
}

// missingAuthorError reports a change without the person who asks for it.
type missingAuthorError struct{}

// Error implements error.
func (*missingAuthorError) Error() string {
	return "--who is required: every rule names the person who asked for it"
}
