package front

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
	"github.com/boragecourse/boragecourse/test/standin/users"
)

// Guards against each host finding out by itself that an engine fails its runs, at the cost of a processed prompt each time.
func TestFailedGenerationsAreReportedToOtherHosts(t *testing.T) {
	d := newDrainFixture(t, 4500*time.Millisecond, func(*Front) {})
	report := &peerv1.FrontReport{}
	d.fillObservations(report)
	d.g.Expect(report.Observations.Servers).To(BeEmpty())
	d.engine.SetFault(users.Failing)
	_, _ = d.send(t.Context(), &http.Client{}, "/note/1")
	d.g.Eventually(func() []*peerv1.ServerObservation {
		d.fillObservations(report)
		return report.Observations.Servers
	}).Should(HaveLen(1))
	d.g.Expect(report.Observations.Servers[0].Unreachable).To(BeTrue())
}
