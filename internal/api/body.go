package api

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/boragecourse/boragecourse/internal/outcome"
)

// statusClientClosed is the non-standard status 499 (client closed request), for callers that have disconnected.
const statusClientClosed = 499

// body reads the request body within its size and time limits. The read deadline was set by wrap. It is kept after a
// failure, since net/http reads the rest of the body before it sends the response.
func (x *exchange) body() ([]byte, *outcome.Error) {
	if x.r.ContentLength > x.MaxBodyBytes {
		return nil, x.tooLarge()
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, x.MaxBodyBytes))
	if err == nil {
		_ = x.rc.SetReadDeadline(time.Time{})
		return body, nil
	}
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, x.tooLarge()
	case isTimeout(err):
		e := outcome.Refuse(http.StatusRequestTimeout, outcome.CodeMalformedRequest, "the body did not arrive in time")
		e.Cause = err
		return nil, e
	case x.r.Context().Err() != nil, errors.Is(err, io.ErrUnexpectedEOF):
		e := outcome.Refuse(statusClientClosed, outcome.CodeCanceled, "the request was canceled")
		e.Cause = err
		return nil, e
	}
	e := outcome.Refuse(http.StatusBadRequest, outcome.CodeMalformedRequest, "the body cannot be read")
	e.Cause = err
	return nil, e
}

func (x *exchange) tooLarge() *outcome.Error {
	return outcome.Refuse(http.StatusRequestEntityTooLarge, outcome.CodeBodyTooLarge,
		"the body exceeds the limit of %d bytes", x.MaxBodyBytes)
}
