package capacity

import (
	"context"
	"fmt"
	"slices"
	"time"
)

const (
	// settle is the time between a change and the measurement of the steady state. Reservations, grants and epochs
	// stabilize within a few seconds.
	settle = 12 * time.Second
	// span is the length of a measurement on the fake clock.
	span = 10 * time.Second
	// thousand converts seconds to milliseconds and bytes to kilobytes.
	thousand = 1e3
)

// addPerHost adds the CPU time and the traffic of one host per second on the fake clock.
func (r *Report) addPerHost(series, xUnit string, x float64, m Measured, hosts int) {
	n := m.Span * float64(hosts)
	sum := Sum(m.Traffic)
	r.Add(series+": CPU of a host", xUnit, "ms/s", x, thousand*m.CPU/n)
	r.Add(series+": messages between hosts", xUnit, "1/s per host", x, float64(sum.Messages)/n)
	r.Add(series+": bytes between hosts", xUnit, "KB/s per host", x, float64(sum.Bytes)/n/thousand)
	for _, name := range sortedKeys(m.Traffic) {
		t := m.Traffic[name]
		if t.Messages == 0 {
			continue
		}
		r.Add(series+": bytes of "+name, xUnit, "KB/s per host", x, float64(t.Bytes)/n/thousand)
		r.Add(series+": messages of "+name, xUnit, "1/s per host", x, float64(t.Messages)/n)
	}
}

// addStore adds the fleet's calls to the store; the series "idle" also gets them by kind.
func (r *Report) addStore(series, xUnit string, x float64, m Measured, hosts int) {
	r.Add(series+": store reads", xUnit, "1/s of the fleet", x, m.Reads/m.Span)
	r.Add(series+": store writes", xUnit, "1/s of the fleet", x, m.Writes/m.Span)
	sum := Sum(m.Store)
	r.Add(series+": bytes to and from the store", xUnit, "KB/s per host", x, float64(sum.Bytes)/m.Span/float64(hosts)/thousand)
	if series != "idle" {
		return
	}
	for _, kind := range sortedKeys(m.Store) {
		if t := m.Store[kind]; t.Messages > 0 {
			r.Add(series+": store calls, "+kind, xUnit, "1/s of the fleet", x, float64(t.Messages)/m.Span)
			r.Add(series+": store bytes, "+kind, xUnit, "KB/s per host", x, float64(t.Bytes)/m.Span/float64(hosts)/thousand)
		}
	}
}

func sortedKeys(m map[string]Traffic) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// MeasureHosts measures an idle fleet and one change of its configuration.
func MeasureHosts(r *Report, size Size) error {
	f, err := NewFleet(size)
	if err != nil {
		f.Close()
		return err
	}
	defer f.Close()
	x, unit := float64(size.Hosts), "hosts"
	time.Sleep(settle)
	idle := f.Measure(func() { time.Sleep(span) })
	r.addPerHost("idle", unit, x, idle, size.Hosts)
	r.addStore("idle", unit, x, idle, size.Hosts)
	var took time.Duration
	m := f.Measure(func() { took, err = f.change(1) })
	if err != nil {
		return err
	}
	r.Add("change: time until in force", unit, "ms", x, float64(took.Milliseconds()))
	r.Add("change: bytes between hosts", unit, "KB per host", x, float64(Sum(m.Traffic).Bytes)/x/thousand)
	r.Add("change: store calls", unit, "calls", x, m.Reads+m.Writes)
	return nil
}

// MeasureReplacement measures what it costs, in time, CPU, traffic and store calls, to kill one host and start a new
// incarnation of it.
func MeasureReplacement(r *Report, size Size) error {
	f, err := NewFleet(size)
	if err != nil {
		f.Close()
		return err
	}
	defer f.Close()
	time.Sleep(settle)
	return f.replace(r, f.Measure(func() { time.Sleep(span) }))
}

// change applies a configuration with a changed key and returns the time until it is active on every host.
func (f *Fleet) change(version int) (time.Duration, error) {
	began := time.Now()
	h := f.Hosts[0]
	report, err := h.Config.Apply(h.ctx, h.Config.Generation(), []byte(f.Rules(version)))
	if err != nil {
		return 0, err
	}
	if !report.Acknowledged {
		return 0, &NotActiveError{Generation: h.Config.Generation()}
	}
	for slices.ContainsFunc(f.Hosts, func(o *Host) bool { return o.Config.Generation() != h.Config.Generation() }) {
		time.Sleep(time.Millisecond)
	}
	return time.Since(began), nil
}

// NotActiveError reports that a change was accepted but did not become the active configuration.
type NotActiveError struct{ Generation uint64 }

// Error implements error.
func (e *NotActiveError) Error() string {
	return fmt.Sprintf("the change was accepted but is not active; the installed generation is %d", e.Generation)
}

// replace kills the last host and starts a new incarnation of it once the epoch excludes the old one. The cost of the
// replacement is the difference to an idle interval of the same length.
func (f *Fleet) replace(r *Report, idle Measured) error {
	last := len(f.Hosts) - 1
	var excluded time.Duration
	var err error
	m := f.Measure(func() {
		f.Hosts[last].kill()
		began := time.Now()
		for len(f.Hosts[0].Members.Epoch().Hosts) > last && time.Since(began) < readyTimeout {
			time.Sleep(50 * time.Millisecond)
		}
		excluded = time.Since(began)
		if err = f.start(last, 2); err == nil {
			err = f.AwaitReady()
		}
		time.Sleep(settle)
	})
	x, unit := float64(len(f.Hosts)), "hosts"
	scale := m.Span / idle.Span
	r.Add("replacement: time until excluded", unit, "s", x, excluded.Seconds())
	r.Add("replacement: CPU of each host", unit, "ms", x, thousand*(m.CPU-scale*idle.CPU)/x)
	r.Add("replacement: bytes between hosts", unit, "KB per host", x, (float64(Sum(m.Traffic).Bytes)-scale*float64(Sum(idle.Traffic).Bytes))/x/thousand)
	r.Add("replacement: bytes to and from the store", unit, "KB per host", x, (float64(Sum(m.Store).Bytes)-scale*float64(Sum(idle.Store).Bytes))/x/thousand)
	r.Add("replacement: store reads", unit, "calls", x, m.Reads-scale*idle.Reads)
	r.Add("replacement: store writes", unit, "calls", x, m.Writes-scale*idle.Writes)
	return err
}

// repeat calls do for each host at the given rate until ctx ends. Each call has its own goroutine and a number that is
// unique in the fleet. The hosts start at different times, so that their calls are spread evenly.
func (f *Fleet) repeat(ctx context.Context, perSecond float64, do func(h *Host, n int)) {
	for i, h := range f.Hosts {
		f.running.Go(func() {
			gap := time.Duration(float64(time.Second) / perSecond)
			time.Sleep(gap * time.Duration(i) / time.Duration(len(f.Hosts)))
			for n := 0; ctx.Err() == nil; n++ {
				f.running.Go(func() { do(h, n*len(f.Hosts)+i) })
				time.Sleep(gap)
			}
		})
	}
}
