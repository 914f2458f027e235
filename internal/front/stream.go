package front

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/boragecourse/boragecourse/platform"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

// stream passes on a generation's events to the caller, from one run or from several that follow each other. Only
// whole events are passed on, so that another run can go on after the last one.
type stream struct {
	front *Front
	x     *call
	// lastEvent is the id of the last event that was passed on.
	lastEvent string
	events    int
	// run is the present run in the ledger; firstOfRun is when it began.
	run        *run
	firstOfRun time.Time
	watch      *stallWatch
}

// EventTooLargeError reports an event above the limit.
type EventTooLargeError struct{ Bytes int }

// Error implements error.
func (e *EventTooLargeError) Error() string { return fmt.Sprintf("event of %d bytes", e.Bytes) }

// relay passes on the events of one run until its end. Errors are *BrokenStreamError when the run broke off and
// *DeliveryError when the caller does not take them.
func (s *stream) relay(ctx context.Context, a *platform.Answer) error {
	defer func() { _ = a.Body.Close() }()
	s.begin(a)
	flusher := http.NewResponseController(s.x.w)
	in := bufio.NewReader(a.Body)
	var event bytes.Buffer
	for {
		line, err := in.ReadSlice('\n')
		event.Write(line)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if event.Len() > maxEvent {
				return &BrokenStreamError{Events: s.events, Cause: &EventTooLargeError{Bytes: event.Len()}}
			}
			continue
		case errors.Is(err, io.EOF) && event.Len() == 0:
			return nil
		case err != nil:
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			return &BrokenStreamError{Events: s.events, Cause: err}
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		if err := s.pass(event.Bytes(), flusher); err != nil {
			return err
		}
		event.Reset()
	}
}

// begin sends the head of the answer. A stream keeps the head of its first run.
func (s *stream) begin(a *platform.Answer) {
	if s.x.started {
		return
	}
	platform.CopyAnswerHeader(s.x.w.Header(), a.Header)
	s.x.started = true
	s.x.w.WriteHeader(a.Status)
}

func (s *stream) pass(event []byte, flusher *http.ResponseController) error {
	if s.events == 0 {
		s.x.trace.first = s.front.now().Sub(s.x.request.Arrived)
		s.front.observeLatency(s.x, s.x.trace.first)
	}
	if id, found := eventID(event); found {
		s.lastEvent = id
	}
	s.events++
	s.watch.received()
	s.x.trace.events = s.events
	s.front.ledger.progress(s.run, int64(s.events)*s.front.tokensPerEvent(s.x))
	if _, err := s.x.w.Write(event); err != nil {
		return &DeliveryError{Cause: err}
	}
	if err := flusher.Flush(); err != nil {
		return &DeliveryError{Cause: err}
	}
	return nil
}

// eventID returns the id field of an event.
func eventID(event []byte) (string, bool) {
	for len(event) > 0 {
		var line []byte
		line, event, _ = bytes.Cut(event, []byte("\n"))
		if value, found := bytes.CutPrefix(bytes.TrimRight(line, "\r"), []byte("id:")); found {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
