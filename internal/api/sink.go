package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/boragecourse/boragecourse/internal/outcome"
	"github.com/boragecourse/boragecourse/internal/request"
)

// copyBufferSize is the buffer size for forwarding a response body, in bytes.
const copyBufferSize = 32 << 10

// sink writes one response. A write that takes longer than writeTimeout fails.
type sink struct {
	w  http.ResponseWriter
	rc *http.ResponseController
	// started is set once the status line is written, streaming if the response is an event stream.
	started, streaming bool
}

var _ request.Sink = (*sink)(nil)

func newSink(w http.ResponseWriter) *sink {
	return &sink{w: w, rc: http.NewResponseController(w)}
}

func (s *sink) start(status int) {
	s.started = true
	s.extendWriteDeadline()
	s.w.WriteHeader(status)
}

// extendWriteDeadline sets the write deadline to writeTimeout from now.
func (s *sink) extendWriteDeadline() {
	_ = s.rc.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// Event implements request.Sink. It sends the headers with the first event and flushes each one.
func (s *sink) Event(data []byte) error {
	if !s.started {
		s.streaming = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-cache")
		s.start(http.StatusOK)
	} else {
		s.extendWriteDeadline()
	}
	return s.writeEvent("", data)
}

func (s *sink) writeEvent(name string, data []byte) error {
	if name != "" {
		name = "event: " + name + "\n"
	}
	if _, err := fmt.Fprintf(s.w, "%sdata: %s\n\n", name, data); err != nil {
		return err
	}
	return s.flush()
}

func (s *sink) flush() error {
	if err := s.rc.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}

// Done implements request.Sink. It sends the [DONE] event of the OpenAI API.
func (s *sink) Done() error { return s.Event([]byte("[DONE]")) }

// Response implements request.Sink. It flushes after each part that it reads from body.
func (s *sink) Response(status int, header http.Header, body io.Reader) error {
	for name, values := range header {
		s.w.Header()[name] = values
	}
	s.start(status)
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			s.extendWriteDeadline()
			if _, err := s.w.Write(buffer[:n]); err != nil {
				return err
			}
			if err := s.flush(); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// errorBody is the body of every refusal and failure.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message   string          `json:"message"`
	Type      string          `json:"type"`
	Code      outcome.Code    `json:"code"`
	Outcome   outcome.Outcome `json:"outcome"`
	RequestID string          `json:"request_id"`
}

// fail reports a refusal or failure to the caller: as a JSON response if none was started, or as the last event of an
// event stream. Within any other response it aborts the connection, since there is no other way to mark the response
// as incomplete.
func (s *sink) fail(requestID string, e *outcome.Error) {
	data, _ := json.Marshal(errorBody{errorDetail{
		Message: e.Message, Type: errorType(e.Status), Code: e.Code, Outcome: e.Outcome, RequestID: requestID,
	}})
	switch {
	case s.streaming:
		s.extendWriteDeadline()
		_ = s.writeEvent("error", data)
	case s.started:
		panic(http.ErrAbortHandler)
	default:
		h := s.w.Header()
		h.Set("Content-Type", "application/json")
		h.Set(request.HeaderOutcome, string(e.Outcome))
		if e.Outcome != outcome.NotRun {
			// OpenAI clients retry failed calls automatically unless this header disables it.
			h.Set("X-Should-Retry", "false")
		}
		if wait := retryAfter(e); wait != "" {
			h.Set("Retry-After", wait)
		}
		s.start(e.Status)
		_, _ = s.w.Write(data)
	}
}

// retryAfter returns the Retry-After value in seconds, rounded up. It is at least 1 for status 429 and 503, and empty
// where no retry time applies.
func retryAfter(e *outcome.Error) string {
	seconds := int(math.Ceil(e.RetryAfter.Seconds()))
	if seconds == 0 && (e.Status == http.StatusTooManyRequests || e.Status == http.StatusServiceUnavailable) {
		seconds = 1
	}
	if seconds == 0 {
		return ""
	}
	return strconv.Itoa(seconds)
}

// errorType returns the OpenAI error type for a status.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	}
	return "invalid_request_error"
}
