package capacity

import (
	"runtime"
	"time"
)

// changes is the number of changes over which the cost of a change is averaged.
const changes = 3

// configCost is the cost of a large configuration in one fleet.
type configCost struct {
	// heap is in bytes. The others are CPU seconds of all hosts together: the first installation, a change of one
	// key, the exclusion of a host, and one idle second.
	heap, install, change, exclude, idle float64
	// file is the size of the rules file in bytes.
	file int
}

// MeasureWorkspaces measures a configuration with one key for each workspace. It compares fleets of two and four hosts
// in one zone: half of the difference is the cost of one host, without that of the store and of the applying host.
func MeasureWorkspaces(r *Report, workspaces int) error {
	two, err := measureConfig(2, workspaces)
	if err != nil {
		return err
	}
	four, err := measureConfig(4, workspaces)
	if err != nil {
		return err
	}
	x, unit := float64(workspaces), "workspaces"
	add := func(name, y string, value func(configCost) float64, scale float64) {
		follower := (value(four) - value(two)) / 2
		r.Add("configuration: "+name, unit, y, x, scale*follower)
	}
	add("memory of a host", "MB", func(c configCost) float64 { return c.heap }, 1e-6)
	add("CPU of the first installation on a host", "ms", func(c configCost) float64 { return c.install }, thousand)
	add("CPU of a change on a host", "ms", func(c configCost) float64 { return c.change }, thousand)
	r.Add("configuration: CPU of a change on the applying host, its text included", unit, "ms", x,
		thousand*(two.change-(four.change-two.change)/2))
	r.Add("configuration: CPU of an exclusion on a host", unit, "ms", x, thousand*four.exclude/3)
	r.Add("configuration: idle CPU of a host", unit, "ms/s", x, thousand*four.idle/4)
	r.Add("configuration: file", unit, "MB", x, float64(four.file)/1e6)
	return nil
}

func measureConfig(hosts, workspaces int) (configCost, error) {
	var c configCost
	heap := heapBytes()
	began := cpuTime()
	f, err := NewFleet(Size{Hosts: hosts, Zones: 1, Workspaces: workspaces})
	c.install = (cpuTime() - began).Seconds()
	if err != nil {
		f.Close()
		return c, err
	}
	defer f.Close()
	c.file = len(f.Rules(0))
	time.Sleep(settle)
	c.idle = f.Measure(func() { time.Sleep(span) }).CPU / span.Seconds()
	c.heap = heapBytes() - heap
	m := f.Measure(func() {
		for v := range changes {
			if _, err = f.change(v + 1); err != nil {
				return
			}
		}
	})
	if err != nil {
		return c, err
	}
	c.change = (m.CPU - m.Span*c.idle) / changes
	m = f.Measure(func() {
		f.Hosts[hosts-1].kill()
		time.Sleep(2 * settle)
	})
	c.exclude = m.CPU - m.Span*c.idle*float64(hosts-1)/float64(hosts)
	return c, nil
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
