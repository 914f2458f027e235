package assembly

// NotReadyError reports why a host should receive no traffic.
type NotReadyError struct {
	Reason string
}

// Error implements error.
func (deps *NotReadyError) Error() string { return "not ready: " + deps.Reason }
