package openai

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"
)

func parse(r io.Reader) ([]string, error) {
	s := newSSEReader(r)
	var events []string
	for {
		e, err := s.next()
		if errors.Is(err, io.EOF) {
			return events, nil
		}
		if err != nil {
			return events, err
		}
		events = append(events, e.name+"|"+e.id+"|"+string(e.data))
	}
}

// Guards against event boundaries that depend on the kind of line end or on how the input is split into reads.
func TestEventStreamFormat(t *testing.T) {
	cases := map[string][]string{
		"data: a\n\ndata:b\nid: 2\n\n":                         {"||a", "|2|b"},
		"data: a\r\n\r\ndata: b\r\rdata: c\n\n":                {"||a", "||b", "||c"},
		"\xef\xbb\xbf: hi\nevent: error\ndata: x\ndata: y\n\n": {"error||x\ny"},
		"event: lost\n\ndata: a\n\ndata: unfinished\n":         {"||a"},
		"data\n\n": {"||"},
	}
	for in, want := range cases {
		g := NewWithT(t)
		for _, r := range []io.Reader{strings.NewReader(in), iotest.OneByteReader(strings.NewReader(in))} {
			got, err := parse(r)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(got).To(Equal(want), "%q", in)
		}
	}
}

// Guards against memory exhaustion by an engine that sends a line or an event of unlimited length.
func TestEventStreamIsBounded(t *testing.T) {
	for _, in := range []string{strings.Repeat("x", 3*maxLine), strings.Repeat("data: "+strings.Repeat("x", maxLine/4)+"\n", 9)} {
		_, err := parse(strings.NewReader(in))
		NewWithT(t).Expect(err).To(BeAssignableToTypeOf(&LineTooLongError{}))
	}
}

// Guards against panics and against events that depend on how the input is split into reads.
func FuzzEventStream(f *testing.F) {
	f.Add([]byte("data: a\r\n\r\nid: 1\ndata: b\n\n"))
	f.Add([]byte("\xef\xbb\xbfdata\n\r\n:\r"))
	f.Fuzz(func(t *testing.T, in []byte) {
		all, err := parse(bytes.NewReader(in))
		single, errSingle := parse(iotest.OneByteReader(bytes.NewReader(in)))
		g := NewWithT(t)
		g.Expect(single).To(Equal(all))
		g.Expect(errSingle == nil).To(Equal(err == nil))
	})
}
