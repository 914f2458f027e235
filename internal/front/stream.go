package front

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/boragecourse/boragecourse/platform"
)

// stream relays a generation's events to the caller, from one run or from several successive ones. Only complete events
// are relayed, so that another run can resume after the last relayed event.
type stream struct {
	front *Front
	x     *call
	// lastEvent is the id of the last event that was relayed, or the one after which the caller resumes.
	lastEvent string
	events    int
	// unnumbered is set when an event without an id was relayed: another run cannot continue after it.
	unnumbered bool
	// resuming is set until the current run, which continues after lastEvent, has sent its first event.
	resuming bool
	// software is the software version of the engine of the current run; recorded is set if the store has it.
	software string
	recorded bool
	// ended is set for a stream that callers can resume, with its first event. It is called at the end of the response.
	ended func(complete bool)
	// run is the current run in the run table; runStartedAt is when its response header was received, firstEventAt when
	// its first event was, zero before.
	run                        *run
	runStartedAt, firstEventAt time.Time
	// survived is set once the current run has gone on for decodeStart.
	survived bool
	watch    *stallWatch
	sample   decodeSampler
}

// EventTooLargeError reports an event that exceeds the size limit. Bytes is the size received so far.
type EventTooLargeError struct{ Bytes int }

// Error implements error.
func (e *EventTooLargeError) Error() string {
	return fmt.Sprintf("event of %d bytes exceeds the size limit", e.Bytes)
}

// EventOrderError reports an event that does not follow the last relayed one. ID is empty for an event without an id, with
// which a resumed run must not begin.
type EventOrderError struct{ ID, After string }

// Error implements error.
func (e *EventOrderError) Error() string {
	return fmt.Sprintf("event with id %.40q does not follow %.40q", e.ID, e.After)
}

// EmptyRunError reports a run that continued a response and ended without an event.
type EmptyRunError struct{}

// Error implements error.
func (e *EmptyRunError) Error() string { return "resumed run ended without an event" }

// ContentTypeError reports a response that is not a stream of events.
type ContentTypeError struct{ Type string }

// Error implements error.
func (e *ContentTypeError) Error() string {
	return fmt.Sprintf("response of type %.80q is not a stream of events", e.Type)
}

// checkEventStream returns *ContentTypeError if a response is declared to be something else than a stream of events.
func checkEventStream(a *platform.Response) error {
	declared := a.Header.Get("Content-Type")
	if kind, _, err := mime.ParseMediaType(declared); declared == "" || err == nil && kind == "text/event-stream" {
		return nil
	}
	return &ContentTypeError{Type: declared}
}

// relay relays the events of one run until its end. It returns *BrokenStreamError when the run ends early or its events do
// not follow those that were relayed before, and *DeliveryError when writing to the caller fails. A run that ends with its
// connection has ended early if it ends inside an event or has none at all, and so has any run without an event that
// continues a response.
func (s *stream) relay(ctx context.Context, a *platform.Response) error {
	defer func() { _ = a.Body.Close() }()
	continued := s.x.accepted
	s.x.accepted = true
	events := newEventReader(a.Body)
	defer s.buffer(ctx, events)()
	before := s.events
	s.resuming = s.x.route.Repeatable() && s.lastEvent != ""
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) && len(event) == 0 {
			return s.finish(a, s.events == before, continued)
		}
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			return &BrokenStreamError{Events: s.events, Cause: err}
		}
		if err := s.relayEvent(ctx, a, event); err != nil {
			return err
		}
	}
}

// finish ends a response whose run has ended between two events.
func (s *stream) finish(a *platform.Response, empty, continued bool) error {
	if err := s.checkEnd(a, empty, continued); err != nil {
		return err
	}
	return s.begin(a)
}

// checkEnd returns an error if a run that has ended between two events has ended early. empty is set for a run without an
// event, continued for one that goes on with the response of another run.
func (s *stream) checkEnd(a *platform.Response, empty, continued bool) error {
	switch {
	case !empty:
		return nil
	case continued:
		return &BrokenStreamError{Events: s.events, Cause: &EmptyRunError{}}
	case a.Delimited || s.lastEvent != "":
		return nil
	}
	return &BrokenStreamError{Events: s.events, Cause: io.EOF}
}

// begin sends the response header of the run with the first event; later runs continue the same response. Until then a failure
// can still be reported with a status.
func (s *stream) begin(a *platform.Response) error {
	if s.x.started {
		return nil
	}
	if err := s.x.begin(); err != nil {
		return err
	}
	platform.CopyResponseHeader(s.x.w.Header(), a.Header)
	s.x.w.WriteHeader(a.Status)
	return nil
}

// follow checks that an event follows the last relayed one, and records its id. It reports false for an event that is not
// relayed: a comment before the first event of a resumed run.
func (s *stream) follow(event []byte) (bool, error) {
	id := eventID(event)
	found := id != ""
	switch {
	case !found && isComment(event):
		return !s.resuming, nil
	case !found && s.resuming, found && (s.resuming || s.events > 0) && !idFollows(id, s.lastEvent):
		return false, &BrokenStreamError{Events: s.events, Cause: &EventOrderError{ID: id, After: s.lastEvent}}
	}
	s.resuming, s.unnumbered = false, !found
	if found {
		s.lastEvent = id
	}
	return true, nil
}

// idFollows reports whether an event with an id may come after the one with the id last. Ids increase if they are numbers.
func idFollows(id, last string) bool {
	n, err1 := strconv.ParseUint(id, 10, 64)
	m, err2 := strconv.ParseUint(last, 10, 64)
	if err1 != nil || err2 != nil {
		return id != last
	}
	return n > m
}

// isComment reports whether all lines of an event are comments.
func isComment(event []byte) bool {
	for line := range linesOf(event) {
		if len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// buffer starts the delivery of the response if it is to be buffered, and makes the reader of a run's events use its account.
// The returned function frees what the reader holds.
func (s *stream) buffer(ctx context.Context, events *eventReader) (free func()) {
	d := s.front.startDelivery(s.x)
	if d == nil {
		return func() {}
	}
	events.hold = func(n int64) error { return s.awaitRoom(func(waits func()) error { return d.hold(ctx, n, waits) }) }
	events.release = d.account.Release
	return events.free
}

// awaitRoom calls a function that may wait for the caller, during which the run is not expected to send anything.
func (s *stream) awaitRoom(call func(waits func()) error) error {
	waited := false
	err := call(func() {
		waited = true
		s.watch.pause()
	})
	if waited {
		s.watch.received()
	}
	return err
}

// send passes an event to the caller, or buffers it for a caller that reads slowly.
func (s *stream) send(ctx context.Context, event []byte) error {
	if d := s.x.delivery; d != nil {
		err := s.awaitRoom(func(waits func()) error { return d.push(ctx, event, waits) })
		var undelivered *DeliveryError
		if err != nil && !errors.As(err, &undelivered) {
			return &BrokenStreamError{Events: s.events, Cause: err}
		}
		return err
	}
	if _, err := s.x.w.Write(event); err != nil {
		return &DeliveryError{Cause: err}
	}
	if err := http.NewResponseController(s.x.w).Flush(); err != nil {
		return &DeliveryError{Cause: err}
	}
	return nil
}

// relayEvent sends one complete event of a run to the caller and updates the request's counters, which count the events that
// were written or buffered. Another run continues after the last of these.
func (s *stream) relayEvent(ctx context.Context, a *platform.Response, event []byte) error {
	lastEvent, unnumbered := s.lastEvent, s.unnumbered
	relayed, err := s.follow(event)
	if err != nil {
		return err
	}
	if !relayed {
		s.watch.received()
		return nil
	}
	if err := s.begin(a); err != nil {
		return err
	}
	if s.x.software == "" {
		s.x.software = s.software
	}
	if s.ended == nil && s.x.route.Repeatable() {
		s.ended = s.front.versions.begin(s.x.stream(), s.x.software, s.recorded)
	}
	if s.events == 0 {
		s.x.trace.first = s.front.now().Sub(s.x.request.Arrived)
		s.front.observeLatency(s.x, s.x.trace.first)
	}
	s.recordProgress()
	s.sample.event(s.front, s.x, s.events+1)
	s.watch.received()
	s.front.runTable.progress(s.run, int64(s.events+1)*s.front.tokensPerEvent(s.x))
	written := s.sample.write(s.front)
	err = s.send(ctx, event)
	written()
	if err != nil {
		s.lastEvent, s.unnumbered = lastEvent, unnumbered
		return err
	}
	s.events++
	s.x.trace.events = s.events
	return nil
}

// recordProgress notes the first event of a run, and that the run has survived its start.
func (s *stream) recordProgress() {
	switch now := s.front.now(); {
	case s.firstEventAt.IsZero():
		s.firstEventAt, s.survived = now, false
	case !s.survived && now.Sub(s.firstEventAt) >= decodeStart:
		s.survived = true
		s.front.quarantine.recordSurvival(s.x.request.SharedParts)
	}
}

// eventID returns the value of the first id field of a server-sent event, or "".
func eventID(event []byte) string {
	for line := range linesOf(event) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
