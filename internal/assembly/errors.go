package assembly

// NotReadyError reports why a host should receive no traffic.
type NotReadyError struct {
	Reason string
}

// Error implements error.
func (e *NotReadyError) Error() string { return "not ready: " + e.Reason }
