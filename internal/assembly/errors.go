package assembly

// NotReadyError says why a host should get no traffic.
type NotReadyError struct {
	Reason string
}

// Error implements error.
func (e *NotReadyError) Error() string { return "not ready: " + e.Reason }
