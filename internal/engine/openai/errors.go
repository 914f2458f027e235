package openai

import (
	"errors"
	"fmt"
)

// Causes of failed calls and lost streams.
var (
	errIncomplete = errors.New("stream ended before [DONE]")
	errOrder      = errors.New("event ids do not rise")
)

// CrossedAnswerError reports an answer that carries another attempt's id. It was dropped.
type CrossedAnswerError struct {
	Sent, Received string
}

// Error implements error.
func (e *CrossedAnswerError) Error() string {
	return fmt.Sprintf("answer to attempt %q carries attempt id %q", e.Sent, e.Received)
}

// LineTooLongError reports a line of a server-sent event stream above the limit.
type LineTooLongError struct {
	// Limit is in bytes.
	Limit int
}

// Error implements error.
func (e *LineTooLongError) Error() string {
	return fmt.Sprintf("event stream line is longer than %d bytes", e.Limit)
}

// StreamEventError reports an error event in a stream.
type StreamEventError struct {
	Data string
}

// Error implements error.
func (e *StreamEventError) Error() string { return "engine sent an error event: " + e.Data }

// AnswerError is the failure that a backend server reported.
type AnswerError struct {
	Status int
	Detail ErrorDetail
}

// Error implements error.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("answer with status %d: %s %s", e.Status, e.Detail.Code, e.Detail.Message)
}

// BodyError reports a request body that cannot be sent on.
type BodyError struct {
	Reason string
	Cause  error
}

// Error implements error.
func (e *BodyError) Error() string { return fmt.Sprintf("request body: %s: %v", e.Reason, e.Cause) }

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Cause }
