package front

import (
	"bufio"
	"bytes"
	"io"
	"iter"
)

// maxEvent is the size limit of one event of a stream, in bytes.
const maxEvent = 1 << 20

// eventReader splits a response body into server-sent events. A line ends with LF, CRLF or CR, an event with an empty line.
type eventReader struct {
	in    *bufio.Reader
	event []byte
	// lineBegun is set when the current line has content.
	lineBegun bool
	// afterCR is set when the last byte read is a CR that has ended a line, which a LF may follow. bareCR is set once such a
	// CR was not followed by a LF.
	afterCR, bareCR bool
	// complete is set with afterCR when the event ends with that line, returned when it has been returned already.
	complete, returned bool
	// hold is called before an event's buffer grows beyond heldEvent, with the number of bytes, and release when they are not
	// used any more. Both may be nil.
	hold    func(n int64) error
	release func(n int64)
	held    int64
}

// heldEvent is the size of the buffer up to which it is kept between events, in bytes.
const heldEvent = 4 << 10

func newEventReader(r io.Reader) *eventReader { return &eventReader{in: bufio.NewReader(r)} }

// next returns the next complete event with its line ends. With an error it returns what has been read of an incomplete one.
// The slice is valid until the next call.
func (r *eventReader) next() ([]byte, error) {
	r.event = r.event[:0]
	r.free()
	for {
		if _, err := r.in.Peek(1); err != nil {
			return r.event, err
		}
		buffered, _ := r.in.Peek(r.in.Buffered())
		n, ended := r.scan(buffered)
		if err := r.grow(n); err != nil {
			return r.event, err
		}
		r.event = append(r.event, buffered[:n]...)
		_, _ = r.in.Discard(n)
		if len(r.event) > maxEvent {
			return r.event, &EventTooLargeError{Bytes: len(r.event)}
		}
		if ended {
			return r.event, nil
		}
	}
}

// grow makes room for n more bytes of the event. A larger buffer doubles, and is held before it is allocated.
func (r *eventReader) grow(n int) error {
	size := len(r.event) + n
	if r.hold == nil || size <= heldEvent || size <= cap(r.event) {
		return nil
	}
	size = max(size, 2*cap(r.event))
	if err := r.hold(int64(size) - r.held); err != nil {
		return err
	}
	r.held = int64(size)
	r.event = append(make([]byte, 0, size), r.event...)
	return nil
}

// free drops a buffer that is larger than heldEvent.
func (r *eventReader) free() {
	if r.held > 0 {
		r.release(r.held)
		r.event, r.held = nil, 0
	}
}

// scan returns how many bytes of b belong to the current event, and whether it ends with them.
func (r *eventReader) scan(b []byte) (n int, ended bool) {
	for n < len(b) {
		if r.afterCR {
			complete, returned := r.complete, r.returned
			r.afterCR, r.complete, r.returned = false, false, false
			if b[n] != '\n' {
				r.bareCR = true
				if complete {
					return n, true
				}
				continue
			}
			n++
			if complete || returned {
				return n, true
			}
			continue
		}
		end := bytes.IndexAny(b[n:], "\r\n")
		if end < 0 {
			r.lineBegun = true
			return len(b), false
		}
		empty := end == 0 && !r.lineBegun
		r.lineBegun = false
		n += end + 1
		switch {
		case b[n-1] == '\n':
			if empty {
				return n, true
			}
		case empty && r.bareCR && n == len(b):
			// Lines of this stream end without a LF, so that the next byte may belong to an event that comes much later.
			r.afterCR, r.returned = true, true
			return n, true
		default:
			r.afterCR, r.complete = true, empty
		}
	}
	return n, false
}

// linesOf returns the lines of an event without their ends.
func linesOf(event []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for len(event) > 0 {
			end := bytes.IndexAny(event, "\r\n")
			if end < 0 {
				yield(event)
				return
			}
			if !yield(event[:end]) {
				return
			}
			if bytes.HasPrefix(event[end:], []byte("\r\n")) {
				end++
			}
			event = event[end+1:]
		}
	}
}
