package front

import (
	"fmt"
	"time"

	"github.com/boragecourse/boragecourse/internal/fleet"
	"github.com/boragecourse/boragecourse/internal/overload"
)

// TimeoutError is the cause of a request context that reached the caller's deadline or the route's time-out.
type TimeoutError struct{}

// Error implements error.
func (e *TimeoutError) Error() string { return "request deadline exceeded" }

// DrainEndedError is the cause of a request context that ended because the drain time of this host is over.
type DrainEndedError struct{}

// Error implements error.
func (e *DrainEndedError) Error() string { return "drain time is over" }

// InputEndedError reports a request that was canceled because its caller sends nothing more on its connection.
type InputEndedError struct{ Cause error }

// Error implements error.
func (e *InputEndedError) Error() string {
	return fmt.Sprintf("caller has closed its connection, at least for sending: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *InputEndedError) Unwrap() error { return e.Cause }

// PanicError is a panic in the handler of a request.
type PanicError struct{ Value any }

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.Value) }

// RateExceededError reports a request whose cost exceeds the level of its workspace's token bucket on this host. All
// values are in tokens, Rate in tokens per second.
type RateExceededError struct {
	Cost        int64
	Level       float64
	Rate, Burst float64
}

// Error implements error.
func (e *RateExceededError) Error() string {
	return fmt.Sprintf("cost %d exceeds level %.0f (rate %.0f/s, burst %.0f)", e.Cost, e.Level, e.Rate, e.Burst)
}

// OverloadedError reports a request that was refused on arrival because the backend servers of its service queue more
// requests than they can serve in time.
type OverloadedError struct{ Refusal overload.Refusal }

// Error implements error.
func (e *OverloadedError) Error() string {
	return fmt.Sprintf("service overloaded: queueing delay %v, refusing %.2f of the requests", e.Refusal.Delay.Round(time.Millisecond), e.Refusal.Probability)
}

// RetriesExhaustedError reports that a request failed and may not be retried. Reason says which rule forbids the retry.
type RetriesExhaustedError struct {
	Reason string
	Cause  error
}

// Error implements error.
func (e *RetriesExhaustedError) Error() string {
	return fmt.Sprintf("request failed and was not retried (%s): %v", e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *RetriesExhaustedError) Unwrap() error { return e.Cause }

// StaleServerError reports a backend server that left, or changed its address or stage, after it had been selected and before
// it was called.
type StaleServerError struct{ Key string }

// Error implements error.
func (e *StaleServerError) Error() string {
	return "backend server " + e.Key + " is not usable any more"
}

// BrokenStreamError reports a response that ended early, after a part of it was relayed to the caller. Events is the
// number of relayed events; it is 0 for a plain response.
type BrokenStreamError struct {
	Events int
	Cause  error
}

// Error implements error.
func (e *BrokenStreamError) Error() string {
	return fmt.Sprintf("stream ended after %d events: %v", e.Events, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenStreamError) Unwrap() error { return e.Cause }

// DeliveryError reports that writing a response to the caller failed.
type DeliveryError struct {
	Cause error
}

// Error implements error.
func (e *DeliveryError) Error() string { return fmt.Sprintf("write response to caller: %v", e.Cause) }

// Unwrap returns the cause.
func (e *DeliveryError) Unwrap() error { return e.Cause }

// ListenError reports a listener that could not be opened at Addr.
type ListenError struct {
	Addr  string
	Cause error
}

// Error implements error.
func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Addr, e.Cause) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// NotLeaderError reports that this host is not the leader, or cannot confirm its leadership.
type NotLeaderError struct{}

// Error implements error.
func (e *NotLeaderError) Error() string { return "leadership is not confirmed" }

// EngineBusyError reports an engine that cannot be commanded to a stage, because it is executing another command or
// already has that stage.
type EngineBusyError struct{ State fleet.EngineState }

// Error implements error.
func (e *EngineBusyError) Error() string {
	return fmt.Sprintf("engine in stage %q accepts no stage command (command in progress: %t)", e.State.Stage, e.State.Commanded)
}
