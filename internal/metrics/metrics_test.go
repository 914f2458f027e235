package metrics_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/metrics"
)

// Guards against output that a Prometheus scraper rejects, such as repeated TYPE lines or unescaped label values.
func TestPrometheusText(t *testing.T) {
	g := NewWithT(t)
	m := metrics.New()
	m.Inc("refusals_total", metrics.L("reason", "rate_exceeded"))
	m.Add("refusals", 2, metrics.L("reason", `a"b`))
	m.Set("open_requests", 3)
	var out bytes.Buffer
	_, err := m.WriteTo(&out)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out.String()).To(Equal("# TYPE boragecourse_open_requests gauge\nboragecourse_open_requests 3\n" +
		"# TYPE boragecourse_refusals_total counter\nboragecourse_refusals_total{reason=\"a\\\"b\"} 2\n" +
		"boragecourse_refusals_total{reason=\"rate_exceeded\"} 1\n"))
	g.Expect(m.Count("refusals_total", metrics.L("reason", "rate_exceeded"))).To(BeEquivalentTo(1))
}
