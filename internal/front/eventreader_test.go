package front

import (
	"errors"
	"io"
	"regexp"
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"
)

// line matches a complete line with its end.
var line = regexp.MustCompile(`^[^\r\n]*(?:\r\n|\r|\n)`)

// splitEvents is a plain counterpart of eventReader for a complete text. It returns the events and the rest.
func splitEvents(text string) (events []string, rest string) {
	bareCR := false
	for {
		l := line.FindString(text[len(rest):])
		rest += l
		if l == "" || l == "\r" && !bareCR && rest == text {
			return events, text
		}
		bareCR = bareCR || strings.HasSuffix(l, "\r")
		if l == "\n" || l == "\r\n" || l == "\r" {
			events, text, rest = append(events, rest), text[len(rest):], ""
		}
	}
}

func readEvents(r io.Reader) (events []string, rest string, err error) {
	reader := newEventReader(r)
	for {
		event, err := reader.next()
		if err != nil {
			return events, string(event), err
		}
		events = append(events, string(event))
	}
}

// Guards against an event that counts as complete because a part of a long line, or of a line end, is taken for an empty
// line: for lines around the multiples of the buffer's size, cut after each of the last bytes.
func TestEventReaderSplitsAtEmptyLinesOnly(t *testing.T) {
	g := NewWithT(t)
	for _, end := range []string{"\n", "\r\n", "\r"} {
		for _, size := range []int{1, 4094, 4095, 4096, 4097, 4098, 8190, 8191, 8192, 8193, 8194, 12288} {
			first := "id: 1" + end + "data: x" + end + end
			second := "id: 2" + end + "data: " + strings.Repeat("y", max(size-6, 0)) + end + end
			text := first + second
			for cut := len(text) - 12; cut <= len(text); cut++ {
				events, rest, err := readEvents(strings.NewReader(text[:cut]))
				g.Expect(err).To(MatchError(io.EOF))
				want := []string{first}
				if cut == len(text) {
					want = append(want, second)
				}
				g.Expect(events).To(Equal(want), "line end %q, size %d, cut %d", end, size, cut-len(text))
				g.Expect(strings.Join(events, "") + rest).To(Equal(text[:cut]))
			}
		}
	}
}

// Guards against an event that is held back until the next one begins.
func TestEventReaderReturnsEventsAtOnce(t *testing.T) {
	g := NewWithT(t)
	for _, end := range []string{"\n", "\r\n", "\r"} {
		in, out := io.Pipe()
		go func() { _, _ = out.Write([]byte("id: 1" + end + "data: x" + end + end)) }()
		event, err := newEventReader(in).next()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(event)).To(HavePrefix("id: 1"))
		g.Expect(eventID(event)).To(Equal("1"))
		_ = out.Close()
	}
}

func TestEventReaderBoundsEvents(t *testing.T) {
	var tooLarge *EventTooLargeError
	_, _, err := readEvents(strings.NewReader(strings.Repeat("data: x\n", maxEvent/4)))
	NewWithT(t).Expect(errors.As(err, &tooLarge)).To(BeTrue())
}

// merged joins the LF of a line end with the event that was returned at its CR.
func merged(events []string) []string {
	var out []string
	for _, e := range events {
		if e == "\n" && len(out) > 0 && strings.HasSuffix(out[len(out)-1], "\r") {
			out[len(out)-1] += e
			continue
		}
		out = append(out, e)
	}
	return out
}

// FuzzEventReader compares the reader with splitEvents, whatever the sizes of the reads.
func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\ndata: x\n\nid: 2\n\n", uint16(0))
	f.Add("id: 1\r\ndata: x\r\n\r\n\n\r", uint16(4090))
	f.Add("\r\rdata: \r\n\r", uint16(4095))
	f.Fuzz(func(t *testing.T, tail string, fill uint16) {
		text := strings.Repeat("x", int(fill)%9000) + tail
		for name, r := range map[string]io.Reader{
			"whole": strings.NewReader(text), "bytes": iotest.OneByteReader(strings.NewReader(text)), "halves": iotest.HalfReader(strings.NewReader(text)),
		} {
			events, rest, err := readEvents(r)
			if !errors.Is(err, io.EOF) {
				t.Fatalf("%s: %v", name, err)
			}
			wantEvents, wantRest := splitEvents(text)
			if !slices.Equal(merged(events), wantEvents) || rest != wantRest {
				t.Fatalf("%s: %q and rest %q of %q, want %q and %q", name, events, rest, text, wantEvents, wantRest)
			}
		}
	})
}
