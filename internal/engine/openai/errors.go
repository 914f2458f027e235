package openai

import (
	"errors"
	"fmt"
)

// Causes of a StreamLostError.
var (
	errIncomplete = errors.New("stream ended before [DONE]")
	errEventOrder = errors.New("event id is lower than the offset reached")
)

// AttemptMismatchError reports a response that was dropped because it carries another attempt's id.
type AttemptMismatchError struct {
	Sent, Received string
}

func (e *AttemptMismatchError) Error() string {
	return fmt.Sprintf("response to attempt %q carries attempt id %q", e.Sent, e.Received)
}

// LineTooLongError reports a line, or the data of one event, above the size limit of event streams.
type LineTooLongError struct {
	// Limit is in bytes.
	Limit int
}

func (e *LineTooLongError) Error() string {
	return fmt.Sprintf("event stream line or event data exceeds %d bytes", e.Limit)
}

// StreamEventError reports an event named "error" in a stream. Data is its payload.
type StreamEventError struct {
	Data string
}

func (e *StreamEventError) Error() string { return "engine sent an error event: " + e.Data }

// ResponseError reports the status and the error body of a backend server's response.
type ResponseError struct {
	Status int
	Detail ErrorDetail
}

func (e *ResponseError) Error() string {
	return fmt.Sprintf("response with status %d: %s %s", e.Status, e.Detail.Code, e.Detail.Message)
}

// BodyError reports a request body that cannot be converted to the engine's format.
type BodyError struct {
	Reason string
	Cause  error
}

func (e *BodyError) Error() string { return fmt.Sprintf("request body: %s: %v", e.Reason, e.Cause) }

func (e *BodyError) Unwrap() error { return e.Cause }
