package openai

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// Buffer sizes of the event stream parser, in bytes.
const (
	// maxLine bounds one line and the data of one event. Engines send about one token per event; 1 MiB leaves room for
	// log probabilities.
	maxLine = 1 << 20
	// initialBufferSize is the initial size of a stream's read buffer. It is small because most events are far smaller
	// and thousands of streams may be open at the same time.
	initialBufferSize = 1 << 10
)

// sseEvent is one server-sent event.
type sseEvent struct {
	name, id string
	data     []byte
}

// sseReader parses a server-sent event stream according to the HTML standard, with bounded memory.
type sseReader struct {
	lines *bufio.Scanner
	// skipLF is set after a carriage return: a line feed that follows belongs to the same line end.
	skipLF bool
	// atStart is set until the first line has been read, which may begin with a byte order mark.
	atStart bool
}

func newSSEReader(r io.Reader) *sseReader {
	s := &sseReader{lines: bufio.NewScanner(r), atStart: true}
	s.lines.Buffer(make([]byte, 0, initialBufferSize), maxLine)
	s.lines.Split(s.split)
	return s
}

// split is a bufio.SplitFunc for lines that end in CR, LF or CRLF. It does not wait for the byte after a CR, which may
// be received much later.
func (s *sseReader) split(data []byte, _ bool) (int, []byte, error) {
	skipped := 0
	if s.skipLF && len(data) > 0 {
		s.skipLF = false
		if data[0] == '\n' {
			skipped = 1
		}
	}
	if i := bytes.IndexAny(data[skipped:], "\r\n"); i >= 0 {
		s.skipLF = data[skipped+i] == '\r'
		return skipped + i + 1, data[skipped : skipped+i], nil
	}
	return skipped, nil, nil
}

// next returns the next event that has data. The data is valid until the next call. At the end of the input it drops an
// incomplete event and returns io.EOF.
func (s *sseReader) next() (sseEvent, error) {
	var e sseEvent
	hasData := false
	for s.lines.Scan() {
		line := s.lines.Bytes()
		if s.atStart {
			line = bytes.TrimPrefix(line, []byte("\xef\xbb\xbf"))
			s.atStart = false
		}
		if len(line) == 0 {
			if hasData {
				return e, nil
			}
			e = sseEvent{}
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "data":
			if hasData {
				e.data = append(e.data, '\n')
			}
			if len(e.data)+len(value) > maxLine {
				return sseEvent{}, &LineTooLongError{Limit: maxLine}
			}
			e.data = append(e.data, value...)
			hasData = true
		case "event":
			e.name = string(value)
		case "id":
			e.id = string(value)
		}
	}
	switch err := s.lines.Err(); {
	case errors.Is(err, bufio.ErrTooLong):
		return sseEvent{}, &LineTooLongError{Limit: maxLine}
	case err != nil:
		return sseEvent{}, err
	}
	return sseEvent{}, io.EOF
}
