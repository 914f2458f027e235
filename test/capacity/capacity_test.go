package capacity

import (
	"flag"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

var (
	full     = flag.Bool("capacity.full", false, "measure all series and print their table")
	only     = flag.String("capacity.only", "", "measure only this group: parts, workspaces, load, hosts or replacement")
	jsonPath = flag.String("capacity.json", "", "file for the series as JSON")
)

// bubble runs a measurement in a synctest bubble, on the fake clock, and logs its CPU time.
func bubble(t *testing.T, measure func() error) {
	t.Helper()
	cpu := cpuTime()
	defer func() { t.Logf("%.1f s of CPU", (cpuTime() - cpu).Seconds()) }()
	synctest.Test(t, func(t *testing.T) {
		if err := measure(); err != nil {
			t.Error(err)
		}
	})
}

// Prints all series; run by make capacity. It measures only and checks no limits.
func TestCapacity(t *testing.T) {
	if !*full {
		t.Skip("run by make capacity")
	}
	r := &Report{}
	groups := []struct {
		name    string
		measure func(*testing.T, *Report)
	}{
		{"parts", measureParts}, {"workspaces", measureWorkspaces}, {"load", measureLoad}, {"hosts", measureHosts},
		{"replacement", measureReplacement},
	}
	for _, g := range groups {
		if *only == "" || *only == g.name {
			began := cpuTime()
			g.measure(t, r)
			t.Logf("%s: %.1f s of CPU", g.name, (cpuTime() - began).Seconds())
		}
	}
	r.Fit()
	write(t, r)
}

// Guards against store calls by every host that only some hosts need to make, such as reading the host list in each
// poll of the configuration, and against idle traffic between hosts above the budget of 5 KB/s per host.
func TestIdleFleetStaysWithinCallBudget(t *testing.T) {
	const hosts, zones = 8, 2
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, err := NewFleet(Size{Hosts: hosts, Zones: zones, Workspaces: 2})
		g.Expect(err).NotTo(HaveOccurred())
		defer f.Close()
		time.Sleep(settle)
		m := f.Measure(func() { time.Sleep(span) })
		// Each host reads the epoch with each lease renewal and the host list every ten seconds. In each zone one host
		// reads the configuration head twice a second. The sweep of claims reads five times a second in the fleet.
		g.Expect(m.Reads/m.Span).To(BeNumerically("<", hosts*0.7+zones*2.2+6), "%+v", m.Store)
		g.Expect(m.Writes/m.Span).To(BeNumerically("<", hosts*0.6), "%+v", m.Store)
		g.Expect(float64(Sum(m.Traffic).Bytes)/m.Span/hosts).To(BeNumerically("<", 5000), "%+v", m.Traffic)
	})
}

func measureWorkspaces(t *testing.T, r *Report) {
	for _, n := range []int{2937, 5875, 11750, 23500, 47000} {
		bubble(t, func() error { return MeasureWorkspaces(r, n) })
	}
}

func measureLoad(t *testing.T, r *Report) {
	for _, x := range []float64{0, 3, 6, 10} {
		bubble(t, func() error {
			return MeasureLoad(r, "servers", "servers per host", x, Size{32, 2, 100, int(32 * x)}, Load{})
		})
	}
	for _, x := range []float64{0.1, 5, 10, 20, 30} {
		bubble(t, func() error {
			return MeasureLoad(r, "requests", "requests/s per host", x, Size{32, 2, 1000, 320}, Load{Requests: x})
		})
	}
	for _, n := range []int{30, 300, 3000, 10000} {
		bubble(t, func() error {
			return MeasureLoad(r, "quota at 20 requests/s", "active workspaces", float64(n), Size{32, 2, n, 0}, Load{Quota: 20})
		})
	}
	for _, x := range []float64{0.1, 1, 2, 4} {
		bubble(t, func() error {
			return MeasureLoad(r, "claims", "calls/s per host", x, Size{22, 22, 10, 0}, Load{Claims: x})
		})
	}
}

func measureHosts(t *testing.T, r *Report) {
	for _, n := range []int{22, 44, 88, 176, 350} {
		bubble(t, func() error { return MeasureHosts(r, Size{Hosts: n, Zones: Zones, Workspaces: 5}) })
	}
}

func measureReplacement(t *testing.T, r *Report) {
	for _, n := range []int{44, 66, 88, 110} {
		bubble(t, func() error { return MeasureReplacement(r, Size{Hosts: n, Zones: Zones, Workspaces: 5}) })
	}
}

func measureParts(t *testing.T, r *Report) {
	g := NewWithT(t)
	for _, n := range []int{450, 900, 1800, 2700, 3600} {
		g.Expect(MeasureServers(r, n)).To(Succeed())
	}
	for _, n := range []int{4096, 8192, 16384, 32000} {
		MeasureCache(r, n)
	}
	for _, n := range []int{10, 100, 400, 1600} {
		g.Expect(MeasureCalls(r, n)).To(Succeed())
	}
	for _, n := range []int{20, 50, 100, 200} {
		g.Expect(MeasureConnections(r, n)).To(Succeed())
	}
	for _, n := range []int{1000, 2000, 4000, 8000} {
		g.Expect(MeasurePolls(r, n)).To(Succeed())
	}
}

func write(t *testing.T, r *Report) {
	t.Helper()
	g := NewWithT(t)
	var text strings.Builder
	g.Expect(r.Table(&text)).To(Succeed())
	t.Log("\n" + text.String())
	if *jsonPath == "" {
		return
	}
	file, err := os.Create(*jsonPath)
	g.Expect(err).NotTo(HaveOccurred())
	defer file.Close()
	g.Expect(r.JSON(file)).To(Succeed())
}
