// Package metrics provides counters, gauges and histograms with labels, and writes them in the Prometheus text format.
package metrics

import (
	"bufio"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// namePrefix precedes every exported metric name.
const namePrefix = "boragecourse_"

// Registry contains the metrics of the process. The zero value is not usable; call New. A nil Registry discards
// everything, so that tests can do without one. WriteTo requires a registry.
type Registry struct {
	r gometrics.Registry
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{r: gometrics.NewRegistry()}
}

// Label is a name and value that distinguish the series of one metric.
type Label struct {
	Name, Value string
}

// L returns the label with the given name and value.
func L(name, value string) Label { return Label{Name: name, Value: value} }

// totalSuffix is the suffix of counter names, by the naming convention of Prometheus.
const totalSuffix = "_total"

func counterName(name string) string {
	return strings.TrimSuffix(name, totalSuffix) + totalSuffix
}

// Inc adds one to the counter with the given name and labels. The suffix _total is added when the name lacks it.
func (m *Registry) Inc(name string, labels ...Label) { m.Add(name, 1, labels...) }

// Add adds n to the counter with the given name and labels. The suffix _total is added when the name lacks it.
func (m *Registry) Add(name string, n int64, labels ...Label) {
	if m == nil {
		return
	}
	gometrics.GetOrRegisterCounter(seriesName(counterName(name), labels), m.r).Inc(n)
}

// Set sets the gauge with the given name and labels to v.
func (m *Registry) Set(name string, v int64, labels ...Label) {
	if m == nil {
		return
	}
	gometrics.GetOrRegisterGauge(seriesName(name, labels), m.r).Update(v)
}

// sampleSize is the number of values in the sample of a histogram, which favors recent ones.
const sampleSize = 512

// Observe adds a duration to the histogram with the given name, the suffix _seconds and the given labels. The values
// are written in seconds.
func (m *Registry) Observe(name string, d time.Duration, labels ...Label) {
	if m == nil {
		return
	}
	series := seriesName(name+"_seconds", labels)
	h, ok := m.r.Get(series).(gometrics.Histogram)
	if !ok {
		h = gometrics.GetOrRegisterHistogram(series, m.r, gometrics.NewExpDecaySample(sampleSize, 0.015))
	}
	h.Update(int64(d))
}

// Count returns the current value of a counter, or zero when it was never incremented.
func (m *Registry) Count(name string, labels ...Label) int64 {
	if m == nil {
		return 0
	}
	if c, ok := m.r.Get(seriesName(counterName(name), labels)).(gometrics.Counter); ok {
		return c.Count()
	}
	return 0
}

// WriteTo implements io.WriterTo. It writes all metrics in the Prometheus text format, sorted by series.
func (m *Registry) WriteTo(w io.Writer) (int64, error) {
	type line struct{ series, kind, value string }
	var lines []line
	m.r.Each(func(series string, v any) {
		switch v := v.(type) {
		case gometrics.Counter:
			lines = append(lines, line{series, "counter", fmt.Sprint(v.Count())})
		case gometrics.Gauge:
			lines = append(lines, line{series, "gauge", fmt.Sprint(v.Value())})
		case gometrics.Histogram:
			for _, q := range []float64{0.5, 0.9, 0.99} {
				value := time.Duration(v.Percentile(q)).Seconds()
				lines = append(lines, line{withLabel(series, "quantile", fmt.Sprint(q)), "summary", fmt.Sprint(value)})
			}
			lines = append(lines, line{suffixed(series, "_count"), "summary", fmt.Sprint(v.Count())})
		}
	})
	sort.Slice(lines, func(i, j int) bool { return lines[i].series < lines[j].series })
	out := bufio.NewWriter(w)
	var written int64
	last := ""
	for _, l := range lines {
		name, _, _ := strings.Cut(l.series, "{")
		if name != last {
			n, _ := fmt.Fprintf(out, "# TYPE %s %s\n", name, l.kind)
			written += int64(n)
			last = name
		}
		n, _ := fmt.Fprintf(out, "%s %s\n", l.series, l.value)
		written += int64(n)
	}
	if err := out.Flush(); err != nil {
		return written, fmt.Errorf("write metrics: %w", err)
	}
	return written, nil
}

// withLabel inserts a label before the other labels of a series name.
func withLabel(series, name, value string) string {
	label := fmt.Sprintf("%s=%q", name, value)
	if base, rest, found := strings.Cut(series, "{"); found {
		return base + "{" + label + "," + rest
	}
	return series + "{" + label + "}"
}

// suffixed inserts a suffix before the labels of a series name.
func suffixed(series, suffix string) string {
	if base, rest, found := strings.Cut(series, "{"); found {
		return base + suffix + "{" + rest
	}
	return series + suffix
}

// seriesName returns the name of a series in the Prometheus text format, with the labels in the given order.
func seriesName(name string, labels []Label) string {
	if len(labels) == 0 {
		return namePrefix + name
	}
	var b strings.Builder
	b.WriteString(namePrefix)
	b.WriteString(name)
	b.WriteByte('{')
	for i, l := range labels {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%s=%q", l.Name, l.Value)
	}
	b.WriteByte('}')
	return b.String()
}
