package exchange_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/metrics"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

var largest = flag.Int("exchange.hosts", 30, "largest fleet of TestTrafficByKind: 30, 100 or 300")

var skipped = flag.Int("exchange.skip", 0, "fleet that TestTrafficByKind leaves out")

const (
	serversPerHost                 = 10
	generationTime, generationRate = 3 * time.Second, 1.0
	plainTime, plainRate           = 30 * time.Millisecond, 8.0
	measured                       = 4 * time.Second
)

// hostLoad is the use of backend servers by one host: generations and short requests, which start at random times.
type hostLoad struct {
	r       *rand.Rand
	servers int
	notify  func()
	runs    map[int][]*peerv1.GenerationRun
	plain   map[int]int32
	tokens  map[string]int64
	// generations counts those started.
	generations int64
	started     map[*peerv1.GenerationRun]time.Time
}

// play starts work until the end. lock guards the state, which fill reads.
func (l *hostLoad) play(lock func(func()), until time.Time) {
	start := func(rate float64, begin func() (end func()), lasts time.Duration, notify func()) {
		for time.Now().Before(until) {
			var pause time.Duration
			lock(func() { pause = time.Duration(l.r.ExpFloat64() / rate * float64(time.Second)) })
			time.Sleep(min(pause, time.Until(until)))
			var end func()
			lock(func() { end = begin() })
			notify()
			time.AfterFunc(lasts, func() { lock(end); notify() })
		}
	}
	go start(generationRate, func() func() {
		server := l.servers/2 + l.r.IntN(l.servers/2)
		run := &peerv1.GenerationRun{Prompt: 1000 + l.r.Int64N(8000), LogMean: l.r.Float32(), LogSigma: 0.5, MaxOutput: 6500}
		l.runs[server] = append(l.runs[server], run)
		l.started[run] = time.Now()
		l.generations++
		l.tokens["workspace-"+strconv.Itoa(l.r.IntN(500))] += run.Prompt
		return func() {
			l.runs[server] = slices.DeleteFunc(l.runs[server], func(o *peerv1.GenerationRun) bool { return o == run })
			delete(l.started, run)
		}
	}, generationTime, l.notify)
	go start(plainRate, func() func() {
		server := l.r.IntN(l.servers / 2)
		l.plain[server]++
		l.tokens["workspace-"+strconv.Itoa(l.r.IntN(500))] += 10
		return func() { l.plain[server]-- }
	}, plainTime, func() {})
}

func (l *hostLoad) fill(r *peerv1.FrontReport) {
	r.Admitted = map[string]int64{}
	for w, n := range l.tokens {
		r.Admitted[w] = n
	}
	for server, n := range l.plain {
		if n > 0 {
			r.Uses = append(r.Uses, &peerv1.ServerUse{Key: serverName(server), Slots: n})
		}
	}
	for server, runs := range l.runs {
		if len(runs) == 0 {
			continue
		}
		u := &peerv1.ServerUse{Key: serverName(server), Slots: int32(len(runs))}
		for _, run := range runs {
			u.Runs = append(u.Runs, &peerv1.GenerationRun{
				Prompt: run.Prompt, LogMean: run.LogMean, LogSigma: run.LogSigma, MaxOutput: run.MaxOutput,
				Generated: int64(60 * time.Since(l.started[run]).Seconds()),
			})
		}
		r.Uses = append(r.Uses, u)
	}
	r.Generations = map[string]*peerv1.GenerationTotals{"chat": {Arrived: l.generations, Prompt: 1, Output: 1}}
}

func loadWorkspaces() (names []string) {
	for i := range 500 {
		names = append(names, "workspace-"+strconv.Itoa(i))
	}
	return names
}

func serverName(i int) string { return fmt.Sprintf("server-%04d/1790000000000", i) }

var trafficKinds = []string{"uses", "runs", "admitted", "totals", "evidence", "limits", "observations", "store_copy", "life"}

// usage holds the bytes a second of a fleet's middle and busiest host, sent and received, by kind and in all.
type usage struct{ middle, busiest map[string]float64 }

// playFleet measures the traffic of a fleet in three zones under load.
func playFleet(t *testing.T, hosts int) (out usage) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		all := n.grow(hosts, 3)
		time.Sleep(settled)
		until := time.Now().Add(time.Second + measured)
		for i, m := range all {
			l := &hostLoad{
				r: rand.New(rand.NewPCG(7, uint64(i))), servers: hosts * serversPerHost, notify: m.exchange.Notify, runs: map[int][]*peerv1.GenerationRun{},
				plain: map[int]int32{}, tokens: map[string]int64{}, started: map[*peerv1.GenerationRun]time.Time{},
			}
			n.lock(func() { m.load = l.fill })
			m.exchange.SetWorkspaces(loadWorkspaces())
			l.play(n.lock, until)
		}
		time.Sleep(time.Second)
		before := make([]map[string]float64, hosts)
		for i, m := range all {
			before[i] = m.traffic()
		}
		time.Sleep(measured)
		for i, m := range all {
			for kind, bytes := range m.traffic() {
				before[i][kind] = (bytes - before[i][kind]) / measured.Seconds()
			}
		}
		slices.SortFunc(before, func(a, b map[string]float64) int { return int(a["all"] - b["all"]) })
		out = usage{before[hosts/2], before[hosts-1]}
		time.Sleep(generationTime)
		n.stopAll()
	})
	return out
}

// traffic returns the counted bytes by kind.
func (m *member) traffic() map[string]float64 {
	out := map[string]float64{}
	for _, kind := range trafficKinds {
		for _, direction := range []string{"sent", "received"} {
			n := float64(m.metrics.Count("peer_bytes", metrics.L("direction", direction), metrics.L("kind", kind)))
			out[kind] += n
			out["all"] += n
		}
	}
	return out
}

// Guards against traffic that grows too fast with the fleet. It prints the table of docs/notes/scale.md.
func TestTrafficByKind(t *testing.T) {
	g := NewWithT(t)
	bySize := map[int]usage{}
	for _, hosts := range []int{30, 100, 300} {
		if hosts > *largest || hosts == *skipped {
			continue
		}
		u := playFleet(t, hosts)
		bySize[hosts] = u
		for _, kind := range append(trafficKinds, "all") {
			t.Logf("%3d hosts, %-12s: %9.0f / %9.0f bytes/s", hosts, kind, u.middle[kind], u.busiest[kind])
		}
		g.Expect(u.middle["runs"]).To(BeNumerically(">", 0))
		g.Expect(u.middle["all"]).To(BeNumerically("<", 80_000), "bytes a second of the middle host")
		g.Expect(u.busiest["all"]).To(BeNumerically("<", map[int]float64{30: 300_000, 100: 1_600_000, 300: 1_300_000}[hosts]), "bytes a second of the busiest host")
	}
	for size, u := range bySize {
		if size > 30 {
			power := func(of func(usage) float64) float64 {
				return math.Log(of(u)/of(bySize[30])) / math.Log(float64(size)/30)
			}
			t.Logf("power from 30 to %d hosts: middle %.2f, busiest %.2f", size,
				power(func(u usage) float64 { return u.middle["all"] }), power(func(u usage) float64 { return u.busiest["all"] }))
		}
	}
}
