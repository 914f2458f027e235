package explain_test

import (
	"errors"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/explain"
)

const logs = `not a log line
time=2026-01-31T04:22:39.000Z severity=info event="store lost" error="range \"x\" timed out"
  1.2 front-1 time=2026-01-31T04:22:45.000Z severity=info event="request refused" request=b server=s2 cause="no room"
time=2026-01-31T04:22:43.900Z severity=info event="backend server draining" server=s2 service=llm
time=2026-01-31T04:22:43.000Z severity=info event="backend server removed" server=s1 service=llm
time=2026-01-31T04:22:44.500Z severity=info event="stream goes on at another backend server" request=a from=s2/17 cause="a b=c"
time=2026-01-31T04:22:45.100Z severity=info event="request served" request=a server=s3
time=2026-01-31T04:22:46.000Z severity=info event="backend server removed" server=s2
`

// Guards against output that contains lines of other requests or backend servers, is out of order, or lacks the events
// that preceded the request.
func TestLinesOfOneRequest(t *testing.T) {
	g := NewWithT(t)
	lines, err := explain.RequestLines(strings.NewReader(logs), "a")
	g.Expect(err).NotTo(HaveOccurred())
	var events []string
	for _, l := range lines {
		events = append(events, l.Fields["event"])
	}
	g.Expect(events).To(Equal([]string{"backend server draining", "stream goes on at another backend server", "request served"}))
	g.Expect(lines[1].Fields["cause"]).To(Equal("a b=c"))
	lines, err = explain.RequestLines(strings.NewReader(logs), "b")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(lines[len(lines)-1].Text).To(HavePrefix("time="), "the prefix added by a log collector is dropped")
	_, err = explain.RequestLines(strings.NewReader(logs), "c")
	var missing *explain.NotFoundError
	g.Expect(errors.As(err, &missing)).To(BeTrue())
}
